"""Signs of life between instances, within a budget of bytes."""

# Control traffic of a node may reach 3 KB a second, which leaves room for
# messages about flows.
BEAT_BUDGET_BYTES_PER_S = 1_000
LOAD_BUDGET_BYTES_PER_S = 1_800
# Encoded size with UDP and IP headers.
BEAT_BYTES = 130
LOAD_BYTES = 45
# An instance without an entry in the registry is gone after 3 s of silence,
# and two beats may be lost.
BEAT_INTERVAL_MS = 900
# Loads are repeated after this time even if they have not changed.
LOAD_REPEAT_MS = 900
# Some three service times; messages about flows bring fresher loads.
LOAD_INTERVAL_MS = 100


def beat_interval_ms(receiver_count: int) -> int:
    """Returns the time between two rounds of beats.

    >>> beat_interval_ms(4)
    900
    >>> beat_interval_ms(70)
    9100
    """
    needed_ms = receiver_count * BEAT_BYTES * 1_000 // BEAT_BUDGET_BYTES_PER_S
    return max(BEAT_INTERVAL_MS, needed_ms)


def load_interval_ms(receiver_count: int) -> int:
    """Returns the time between two rounds of load reports.

    >>> load_interval_ms(6)
    150
    """
    needed_ms = receiver_count * LOAD_BYTES * 1_000 // LOAD_BUDGET_BYTES_PER_S
    return max(LOAD_INTERVAL_MS, needed_ms)
