"""Tests of the selection of the balancer that carries responses."""

from fireflyford import core
from fireflyford.agent import _return_path

FIRST = core.Address("127.0.0.1", 1)
SECOND = core.Address("127.0.0.1", 2)
THIRD = core.Address("127.0.0.1", 3)


class _FakeBalancerSource(_return_path.BalancerSource):
    def __init__(self) -> None:
        self.balancer_weights = {FIRST: 1.0, SECOND: 1.0, THIRD: 1.0}
        self.unavailable: set[core.Address] = set()

    def weights(self) -> dict[core.Address, float]:
        return self.balancer_weights

    def is_unavailable(self, address: core.Address) -> bool:
        return address in self.unavailable


def make_path(balancers: _FakeBalancerSource) -> _return_path.ReturnPath:
    path = _return_path.ReturnPath(balancers, lambda: None)
    path.record_receipt(FIRST)
    return path


def test_responses_use_last_balancer_while_datagrams_arrive() -> None:
    """Guards against rotation away from a balancer that works."""
    path = make_path(_FakeBalancerSource())
    for step in range(20):
        assert path.choose(step * 0.1, True) == FIRST
        path.record_receipt(FIRST)


def test_rotation_tries_every_live_balancer() -> None:
    """Guards against a flow that keeps sending through a dead balancer."""
    path = make_path(_FakeBalancerSource())
    path.choose(0.0, True)
    tried = [path.choose(0.31 * step, True) for step in (1, 2)]
    assert set(tried) == {SECOND, THIRD}


def test_rotation_requires_awaited_acknowledgement() -> None:
    """Guards against rotation while no acknowledgement is awaited."""
    path = make_path(_FakeBalancerSource())
    path.choose(0.0, False)
    assert path.choose(9.0, True) == FIRST


def test_draining_balancer_is_replaced_immediately() -> None:
    """Guards against a stall of 300 ms at every planned replacement."""
    balancers = _FakeBalancerSource()
    path = make_path(balancers)
    balancers.unavailable.add(FIRST)
    balancers.balancer_weights = {SECOND: 1.0}
    assert path.choose(0.0, True) == SECOND


def test_only_balancer_is_kept() -> None:
    """Guards against an agent that stops sending without an alternative."""
    balancers = _FakeBalancerSource()
    balancers.balancer_weights = {FIRST: 1.0}
    path = make_path(balancers)
    path.choose(0.0, True)
    assert path.choose(1.0, True) == FIRST


def test_responses_of_relayed_flow_use_balancer() -> None:
    """Guards against responses sent to the agent that relayed the flow."""
    path = _return_path.ReturnPath(_FakeBalancerSource(), lambda: None)
    path.record_receipt(None)
    assert path.choose(0.0, True) in (FIRST, SECOND, THIRD)


def test_rotation_skips_balancer_with_zero_weight() -> None:
    """Guards against rotation to balancers without capacity."""
    balancers = _FakeBalancerSource()
    balancers.balancer_weights = {FIRST: 1.0, SECOND: 0.0, THIRD: 1.0}
    for _ in range(20):
        path = make_path(balancers)
        path.choose(0.0, True)
        assert path.choose(0.31, True) == THIRD
