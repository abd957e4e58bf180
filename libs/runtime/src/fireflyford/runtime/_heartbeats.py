"""Intervals of heartbeats, keepalives and load reports.

Intervals grow with the number of receivers, so that each kind of message
stays within a byte budget.
"""

import random

from fireflyford import flows

# Control traffic is limited to 3 KB/s per node; the rest of the limit is left
# for messages about flows.
HEARTBEAT_BUDGET_BYTES_PER_S = 500
KEEPALIVE_BUDGET_BYTES_PER_S = 1_000
LOAD_REPORT_BUDGET_BYTES_PER_S = 1_400
# Largest encoded sizes, with UDP and IP headers.
HEARTBEAT_BYTES = 140
LOAD_REPORT_BYTES = 48
# How late a keepalive may be processed by a busy sender and receiver.
KEEPALIVE_DELAY_ALLOWANCE_MS = 500
# Heartbeats carry the whole entry and are repeated for instances that missed
# earlier ones.
HEARTBEAT_INTERVAL_MS = 1_800
# An instance without a registry entry is removed after 3 s of silence; this
# interval tolerates two lost keepalives.
KEEPALIVE_INTERVAL_MS = 900
# About three service times; messages about flows carry newer loads.
LOAD_REPORT_INTERVAL_MS = 100
# An unchanged load is sent again after this time.
LOAD_REPORT_REPEAT_MS = 900
# Without jitter, instances that start together would keep sending in step.
JITTER_RATIO = 0.3


def heartbeat_interval_ms(receiver_count: int) -> int:
    """Returns the time between two rounds of heartbeats.

    >>> heartbeat_interval_ms(4)
    1800
    >>> heartbeat_interval_ms(70)
    19600
    """
    return _interval_ms(
        receiver_count,
        HEARTBEAT_BYTES,
        HEARTBEAT_BUDGET_BYTES_PER_S,
        HEARTBEAT_INTERVAL_MS,
    )


def keepalive_interval_ms(receiver_count: int) -> int:
    """Returns the time between two rounds of keepalives.

    >>> keepalive_interval_ms(24)
    1152
    """
    return _interval_ms(
        receiver_count,
        LOAD_REPORT_BYTES,
        KEEPALIVE_BUDGET_BYTES_PER_S,
        KEEPALIVE_INTERVAL_MS,
    )


def load_report_interval_ms(receiver_count: int) -> int:
    """Returns the time between two rounds of load reports.

    >>> load_report_interval_ms(6)
    205
    """
    return _interval_ms(
        receiver_count,
        LOAD_REPORT_BYTES,
        LOAD_REPORT_BUDGET_BYTES_PER_S,
        LOAD_REPORT_INTERVAL_MS,
    )


def keepalive_timeout_ms(balancer_count: int, peer_count: int) -> int:
    """Returns the silence after which an instance without an entry is gone.

    It tolerates one lost keepalive, or one lost load report between agents,
    whose intervals grow with the fleet.

    Args:
        balancer_count: Receivers of an agent's keepalives.
        peer_count: Agents that send each other load reports.

    >>> keepalive_timeout_ms(6, 7)
    3000
    >>> keepalive_timeout_ms(59, 109)
    7974
    """
    longest_ms = max(
        keepalive_interval_ms(balancer_count) * (1 + JITTER_RATIO),
        load_report_interval_ms(peer_count),
    )
    return max(
        flows.KEEPALIVE_TIMEOUT_MS,
        int(longest_ms * 2) + KEEPALIVE_DELAY_ALLOWANCE_MS,
    )


def apply_jitter(interval_ms: int, rng: random.Random) -> float:
    """Returns the interval, varied by up to `JITTER_RATIO` either way."""
    return interval_ms * rng.uniform(1 - JITTER_RATIO, 1 + JITTER_RATIO)


def _interval_ms(
    receiver_count: int,
    size_bytes: int,
    budget_bytes_per_s: int,
    minimum_ms: int,
) -> int:
    return max(
        minimum_ms, receiver_count * size_bytes * 1_000 // budget_bytes_per_s
    )
