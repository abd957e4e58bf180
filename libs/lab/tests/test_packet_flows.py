"""Placement of single requests near capacity, against other policies."""

import pytest

from fireflyford.lab.experiments import _packet_flows

REQUEST_COUNT = 1_500


@pytest.mark.parametrize("utilization", [0.7, 0.9])
@pytest.mark.parametrize("slot_count", [1, 2])
def test_placement_beats_every_baseline_near_capacity(
    slot_count: int, utilization: float
) -> None:
    """Load: single requests near capacity, homes with loads 100 ms old.

    Guards against homes that all choose the same backend server, since all of
    them read the same old loads.
    """
    plan = _packet_flows.RequestPlan(1, slot_count, utilization, REQUEST_COUNT)
    built, *others = _packet_flows.policies(plan.seed)
    result = _packet_flows.run_short_lived(built, plan)
    for other in others:
        baseline = _packet_flows.run_short_lived(other, plan)
        assert result.mean_ms < baseline.mean_ms, other.name
        assert result.p99_ms <= baseline.p99_ms, other.name
        assert (
            result.within_objective_ratio >= baseline.within_objective_ratio
        ), other.name
