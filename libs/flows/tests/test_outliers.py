"""Tests of the probation of slow backend servers."""

from fireflyford import core
from fireflyford import flows
from fireflyford.flows import _outliers

START_MS = 1_000_000
AGENTS = tuple(core.Address("10.0.1.1", 7_000 + index) for index in range(20))
SLOW = AGENTS[3]


class Clock(core.ManualClock):
    """Clock whose time a test sets without an event loop."""

    def set(self, now_ms: int) -> None:
        """Sets the time."""
        self._now_ms = now_ms


def loads(slow: dict[core.Address, float]) -> dict[core.Address, flows.Load]:
    return {
        address: flows.Load(
            flows.TargetState.READY, service_ms=slow.get(address, 30.0)
        )
        for address in AGENTS
    }


def test_far_slower_agent_gets_a_trickle_of_flows() -> None:
    """Guards against flows that all wait for one slow backend server."""
    clock = Clock(START_MS)
    outliers = _outliers.Outliers(clock)
    outliers.update(loads({SLOW: 200.0}))
    assert not outliers.accepts(SLOW)
    assert outliers.accepts(AGENTS[0])
    interval_ms = _outliers.TRICKLE_INTERVAL_MS * len(AGENTS)
    clock.set(START_MS + interval_ms)
    assert outliers.accepts(SLOW)
    outliers.record_offer(SLOW)
    assert not outliers.accepts(SLOW)


def test_machines_of_lower_speed_are_not_outliers() -> None:
    """Guards against idle capacity where machines differ in speed."""
    outliers = _outliers.Outliers(Clock(START_MS))
    outliers.update(loads({SLOW: 30.0 * 1.7 / 0.7}))
    assert not len(outliers)


def test_agent_near_the_threshold_does_not_go_back_and_forth() -> None:
    """Guards against a decision that changes with each report."""
    outliers = _outliers.Outliers(Clock(START_MS))
    outliers.update(loads({SLOW: 100.0}))
    assert not len(outliers)
    outliers.update(loads({SLOW: 110.0}))
    assert len(outliers) == 1
    outliers.update(loads({SLOW: 100.0}))
    assert len(outliers) == 1
    outliers.update(loads({SLOW: 70.0}))
    assert outliers.accepts(SLOW)


def test_no_more_than_a_fifth_of_the_agents_is_on_probation() -> None:
    """Guards against overload of the others if many are slow."""
    outliers = _outliers.Outliers(Clock(START_MS))
    outliers.update(loads(dict.fromkeys(AGENTS[:9], 300.0)))
    assert len(outliers) == 4


def test_few_measurements_put_no_agent_on_probation() -> None:
    """Guards against a median of too few agents after a start."""
    outliers = _outliers.Outliers(Clock(START_MS))
    few = dict(list(loads({SLOW: 300.0}).items())[:4])
    outliers.update(few)
    assert not len(outliers)
