"""Signs of life of a whole fleet, as one balancer hears them."""

import itertools
import random

import pytest

from fireflyford import core
from fireflyford import flows
from fireflyford.runtime import _balancer
from fireflyford.runtime import _beats
from fireflyford.runtime import _link_codec

# Headers of UDP and IPv4.
HEADER_BYTES = 28


@pytest.mark.parametrize(("agents", "balancers"), [(10, 6), (62, 24)])
@pytest.mark.parametrize("seed", range(3))
def test_a_balancer_is_never_deaf_while_agents_live(
    agents: int, balancers: int, seed: int
) -> None:
    """Guards against agents that start together and stay in step.

    Agents of 24 balancers once sent their signs together every three seconds,
    and no balancer was ready.
    """
    rng = random.Random(seed)
    interval_ms = _beats.sign_interval_ms(balancers)
    heard = []
    for _ in range(agents):
        at_ms = rng.uniform(0, 300)
        while at_ms < 60_000:
            heard.append(at_ms)
            at_ms += _beats.jittered(interval_ms, rng)
    heard.sort()
    gaps = [later - earlier for earlier, later in itertools.pairwise(heard)]
    assert max(gaps) < _balancer.DEAF_MS


def test_assumed_sizes_hold() -> None:
    """Guards against a budget that is worked out from too small messages."""
    load = flows.Load(flows.TargetState.READY, 2, 100, 100, 2_000, 123.4)
    instance = flows.Instance(
        "side-changwon-shed-12",
        core.Role.AGENT,
        "auction",
        "changwon-shed",
        core.Address("10.128.100.100", 17_720),
        1_796_385_769_363,
    )
    beat = flows.Heartbeat(instance, load, 1_000, False)
    sign = flows.LoadReport(load)
    assert len(_link_codec.pack(beat)) + HEADER_BYTES <= _beats.BEAT_BYTES
    assert len(_link_codec.pack(sign)) + HEADER_BYTES <= _beats.LOAD_BYTES


@pytest.mark.parametrize("receivers", [1, 10, 86, 590])
def test_signs_of_life_keep_to_the_budget(receivers: int) -> None:
    """Guards against control traffic that grows with the fleet.

    The users grant 3 KB a second for control to each node.
    """
    rates = [
        receivers * _beats.BEAT_BYTES / _beats.beat_interval_ms(receivers),
        receivers * _beats.LOAD_BYTES / _beats.sign_interval_ms(receivers),
        receivers * _beats.LOAD_BYTES / _beats.load_interval_ms(receivers),
    ]
    assert sum(rates) * 1_000 <= 3_000
