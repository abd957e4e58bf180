"""Signs of life between instances, within a budget of bytes."""

import random

# Control traffic of a node may reach 3 KB a second, which leaves room for
# messages about flows.
BEAT_BUDGET_BYTES_PER_S = 500
SIGN_BUDGET_BYTES_PER_S = 1_000
LOAD_BUDGET_BYTES_PER_S = 1_400
# Encoded size with UDP and IP headers.
BEAT_BYTES = 140
LOAD_BYTES = 48
# Whole entries are repeated for instances that missed the first ones.
BEAT_INTERVAL_MS = 1_800
# An instance without an entry in the registry is gone after 3 s of silence,
# and two signs may be lost.
SIGN_INTERVAL_MS = 900
# Some three service times; messages about flows bring fresher loads.
LOAD_INTERVAL_MS = 100
# Loads are repeated after this time even if they have not changed.
LOAD_REPEAT_MS = 900
# Instances that start together would otherwise send together for ever.
JITTER = 0.3


def beat_interval_ms(receiver_count: int) -> int:
    """Returns the time between two rounds of beats.

    >>> beat_interval_ms(4)
    1800
    >>> beat_interval_ms(70)
    19600
    """
    return _interval_ms(
        receiver_count, BEAT_BYTES, BEAT_BUDGET_BYTES_PER_S, BEAT_INTERVAL_MS
    )


def sign_interval_ms(receiver_count: int) -> int:
    """Returns the time between two rounds of short signs of life.

    >>> sign_interval_ms(24)
    1152
    """
    return _interval_ms(
        receiver_count, LOAD_BYTES, SIGN_BUDGET_BYTES_PER_S, SIGN_INTERVAL_MS
    )


def load_interval_ms(receiver_count: int) -> int:
    """Returns the time between two rounds of load reports.

    >>> load_interval_ms(6)
    205
    """
    return _interval_ms(
        receiver_count, LOAD_BYTES, LOAD_BUDGET_BYTES_PER_S, LOAD_INTERVAL_MS
    )


def jittered(interval_ms: int, rng: random.Random) -> float:
    """Returns the interval, up to `JITTER` shorter or longer."""
    return interval_ms * rng.uniform(1 - JITTER, 1 + JITTER)


def _interval_ms(
    receiver_count: int, size_bytes: int, budget: int, least_ms: int
) -> int:
    return max(least_ms, receiver_count * size_bytes * 1_000 // budget)
