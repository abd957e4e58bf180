"""Simulated start of a service with too little capacity."""

import pytest

from fireflyford import flows
from fireflyford.lab import _scarcity_run

LATE_WORTH = 0.5


def run(
    seed: int = 1,
    order: flows.WaitingOrder | None = None,
    with_terms: bool = True,
    load: float = 1.0,
    cold: bool = True,
) -> _scarcity_run.ScarcityRun:
    simulation = _scarcity_run.ScarcityRun(
        seed,
        order=order,
        with_terms=with_terms,
        target_count=6,
        load=load,
        cold=cold,
    )
    simulation.simulate(4_000)
    return simulation


def worth(simulation: _scarcity_run.ScarcityRun) -> float:
    return simulation.shares(LATE_WORTH)["all"].worth


@pytest.mark.parametrize("seed", [1, 2])
def test_cold_start_serves_more_in_time_with_terms(seed: int) -> None:
    """Guards against a backlog that makes every later request late."""
    with_terms = run(seed)
    without_terms = run(seed, with_terms=False)
    assert worth(with_terms) > worth(without_terms) + 0.03
    assert with_terms.broken_flows == []


def test_default_order_is_no_worse_than_others() -> None:
    """Guards against an order that serves flows only once they are late."""
    best = worth(run())
    first_come = worth(run(order=flows.FirstComeFirstServed()))
    assert best > first_come + 0.05
    assert best > worth(run(order=flows.NewestFirst()))


def test_terms_cost_no_messages_and_no_time_while_there_is_room() -> None:
    """Guards against exchanges for flows that need not wait."""
    with_terms = run(load=0.2, cold=False)
    without_terms = run(load=0.2, cold=False, with_terms=False)
    assert worth(with_terms) >= worth(without_terms)
    assert (
        with_terms.flow_message_count <= without_terms.flow_message_count * 1.01
    )
