"""Intervals of heartbeats, keepalives, load reports and registry calls.

Intervals grow with the number of receivers, so that each kind of message
stays within a byte budget, and the store gets about as many calls from a large
fleet as from a small one.
"""

import math
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
# Each change of a registry wakes every watch, so a rolling replacement of a
# fleet causes calls in proportion to the square of its size unless the watches
# pause. Together they make about 25 calls per second.
REGISTRY_PAUSE_PER_INSTANCE_MS = 40
# Heartbeats announce starts, drains and leaves, so the watch only has to show
# the entries of instances that have failed or that were not heard; while nobody
# is silent, most of the history of the store, 20 s, passes between two watches.
# A later watch would need a full read.
WATCH_DELAY_MS = 12_000
# Applies while an agent that has an entry is silent: its entry is about to
# lapse, and flows are searched there until the watch shows that.
MIN_SILENCE_WATCH_DELAY_MS = 8_000
# How long a silent agent shortens the delay: longer than the longest lease. An
# agent that keeps its entry longer is cut off, but alive.
SILENCE_LIMIT_MS = 15_000
# Applies to the second watch of a process: it shows the entries of instances
# that started at the same time.
MIN_JOIN_WATCH_DELAY_MS = 1_500
# A watch that no longer receives changes does not delay heartbeats, so it may
# stay unnoticed for the longest time that the store lets a watch wait.
REGISTRY_WATCH_LIMIT_MS = 30_000
# Instances that start together do not call the store in step.
WATCH_DELAY_JITTER_RATIO = 0.15
# Time for the calls that write an entry and return it.
ENTRY_DELAY_ALLOWANCE_MS = 1_000
# A renewal costs a tenth of a read; with 3 s, renewals would cost as much as
# the watches. Searches and placements do not wait for the end of a lease.
MIN_LEASE_DURATION_S = 6
MAX_LEASE_DURATION_S = 9
# A lease outlives two failed renewals.
RENEWALS_PER_LEASE = 3.3
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


def keepalive_silence_ms(balancer_count: int) -> int:
    """Returns the longest time between two keepalives of an agent that runs.

    >>> keepalive_silence_ms(17)
    1670
    """
    return (
        longest_keepalive_interval_ms(balancer_count)
        + KEEPALIVE_DELAY_ALLOWANCE_MS
    )


def longest_keepalive_interval_ms(balancer_count: int) -> int:
    """Returns the longest intended time between two keepalives.

    >>> longest_keepalive_interval_ms(23)
    1435
    """
    return int(keepalive_interval_ms(balancer_count) * (1 + JITTER_RATIO))


def longest_report_interval_ms(peer_count: int) -> int:
    """Returns the time after which an unchanged load is reported again.

    It is the first round that is due after `LOAD_REPORT_REPEAT_MS`.

    >>> longest_report_interval_ms(11), longest_report_interval_ms(46)
    (1131, 1577)
    """
    interval_ms = load_report_interval_ms(peer_count)
    return interval_ms * math.ceil(LOAD_REPORT_REPEAT_MS / interval_ms)


def report_silence_ms(peer_count: int) -> int:
    """Returns two intervals of load reports, which are sent if unchanged too.

    >>> report_silence_ms(6), report_silence_ms(37)
    (1605, 2668)
    """
    interval_ms = load_report_interval_ms(peer_count)
    repeat_ms = interval_ms + LOAD_REPORT_REPEAT_MS
    return max(2 * interval_ms, repeat_ms + KEEPALIVE_DELAY_ALLOWANCE_MS)


def silence_watch_delay_ms(instance_count: int) -> int:
    """Returns the delay of a watch while an agent with an entry is silent.

    >>> silence_watch_delay_ms(17), silence_watch_delay_ms(195)
    (8000, 8000)
    """
    return _watch_delay_ms(instance_count, MIN_SILENCE_WATCH_DELAY_MS)


def join_watch_delay_ms(instance_count: int) -> int:
    """Returns the time from the watch that shows the own entry to the next.

    >>> join_watch_delay_ms(17), join_watch_delay_ms(195)
    (1500, 7800)
    """
    return _watch_delay_ms(instance_count, MIN_JOIN_WATCH_DELAY_MS)


def entry_delay_ms(instance_count: int) -> int:
    """Returns after how long an instance without an entry is introduced.

    Others may not have seen the entry of an instance for the delay of a watch,
    but one whose writes the store rejects is introduced sooner, since a process
    that does not know it may take its flows for lost.

    >>> entry_delay_ms(17)
    2500
    """
    return join_watch_delay_ms(instance_count) + ENTRY_DELAY_ALLOWANCE_MS


def _watch_delay_ms(instance_count: int, minimum_ms: int) -> int:
    delay_ms = instance_count * REGISTRY_PAUSE_PER_INSTANCE_MS
    return min(max(delay_ms, minimum_ms), WATCH_DELAY_MS)


def lease_duration_s(instance_count: int) -> int:
    """Returns the duration of the lease of a registry entry.

    >>> lease_duration_s(17), lease_duration_s(195), lease_duration_s(4_590)
    (6, 7, 9)
    """
    duration_s = instance_count * REGISTRY_PAUSE_PER_INSTANCE_MS // 1_000
    return min(max(duration_s, MIN_LEASE_DURATION_S), MAX_LEASE_DURATION_S)


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
