"""Intervals and sizes of heartbeats, keepalives and load reports."""

import itertools
import random

import pytest

from fireflyford import core
from fireflyford import flows
from fireflyford.runtime import _balancer
from fireflyford.runtime import _heartbeats
from fireflyford.runtime import _link_codec

# UDP and IPv4.
HEADER_BYTES = 28


@pytest.mark.parametrize(("agents", "balancers"), [(10, 6), (62, 24)])
@pytest.mark.parametrize("seed", range(3))
def test_gaps_between_keepalives_stay_below_silence_limit(
    agents: int, balancers: int, seed: int
) -> None:
    """Guards against synchronized keepalives of all agents.

    Without jitter, agents that start together keep sending at the same time.
    With 24 balancers the gaps were three seconds long, and no balancer was
    ready.
    """
    rng = random.Random(seed)
    interval_ms = _heartbeats.keepalive_interval_ms(balancers)
    sent_ms = []
    for _ in range(agents):
        next_ms = rng.uniform(0, 300)
        while next_ms < 60_000:
            sent_ms.append(next_ms)
            next_ms += _heartbeats.apply_jitter(interval_ms, rng)
    sent_ms.sort()
    gaps = [later - earlier for earlier, later in itertools.pairwise(sent_ms)]
    assert max(gaps) < _balancer.AGENT_SILENCE_LIMIT_MS


def test_encoded_messages_fit_budgeted_sizes() -> None:
    """Guards against messages larger than the sizes in the budget."""
    load = flows.Load(flows.TargetState.READY, 2, 100, 100, 2_000, 123.4)
    instance = flows.Instance(
        "side-changwon-shed-12",
        core.Role.AGENT,
        "auction",
        "changwon-shed",
        core.Address("10.128.100.100", 17_720),
        1_796_385_769_363,
    )
    heartbeat = flows.Heartbeat(instance, load, 1_000, False)
    keepalive = flows.LoadReport(load)
    assert (
        len(_link_codec.pack(heartbeat)) + HEADER_BYTES
        <= _heartbeats.HEARTBEAT_BYTES
    )
    assert (
        len(_link_codec.pack(keepalive)) + HEADER_BYTES
        <= _heartbeats.LOAD_REPORT_BYTES
    )


@pytest.mark.parametrize("receivers", [1, 10, 86, 590])
def test_control_traffic_stays_within_budget(receivers: int) -> None:
    """Guards against control traffic that grows with the fleet.

    The limit is 3 KB/s for each node.
    """
    rates = [
        receivers
        * _heartbeats.HEARTBEAT_BYTES
        / _heartbeats.heartbeat_interval_ms(receivers),
        receivers
        * _heartbeats.LOAD_REPORT_BYTES
        / _heartbeats.keepalive_interval_ms(receivers),
        receivers
        * _heartbeats.LOAD_REPORT_BYTES
        / _heartbeats.load_report_interval_ms(receivers),
    ]
    assert sum(rates) * 1_000 <= 3_000


@pytest.mark.parametrize(
    ("balancers", "peers"), [(6, 7), (24, 50), (59, 109), (590, 200)]
)
def test_one_lost_keepalive_removes_no_living_instance(
    balancers: int, peers: int
) -> None:
    """Guards against flows of a living agent that are taken for lost.

    While entries are lapsed, keepalives are all that shows an agent.
    """
    timeout_ms = _heartbeats.keepalive_timeout_ms(balancers, peers)
    longest_ms = _heartbeats.keepalive_interval_ms(balancers) * (
        1 + _heartbeats.JITTER_RATIO
    )
    assert timeout_ms > 2 * longest_ms
    assert timeout_ms > 2 * _heartbeats.load_report_interval_ms(peers)


@pytest.mark.parametrize("instances", [17, 70, 195, 590])
def test_registry_calls_do_not_grow_with_the_square_of_the_fleet(
    instances: int,
) -> None:
    """Guards against a store that a rolling replacement keeps busy.

    While entries change all the time, every watch returns at once. The bound is
    what a fleet of 17 instances causes, less than a tenth of the smallest rate
    that stores are known to allow.
    """
    delay_ms = min(
        _heartbeats.silence_watch_delay_ms(instances),
        _heartbeats.WATCH_DELAY_MS,
    )
    calls_per_s = instances * 1_000 / delay_ms
    bound_per_s = max(25.0, instances * 1_000 / 12_000)
    assert calls_per_s <= bound_per_s


@pytest.mark.parametrize("instances", [17, 70, 195, 590])
def test_lease_outlives_two_failed_renewals(instances: int) -> None:
    """Guards against an entry that one slow answer of the store removes."""
    duration_ms = _heartbeats.lease_duration_s(instances) * 1_000
    assert duration_ms / _heartbeats.RENEWALS_PER_LEASE * 3 < duration_ms
