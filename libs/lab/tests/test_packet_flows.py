"""Placement of single requests near capacity, compared with baselines."""

import pytest

from fireflyford.lab.experiments import _packet_flows

REQUEST_COUNT = 1_500


@pytest.mark.parametrize("utilization", [0.7, 0.9])
@pytest.mark.parametrize("slot_count", [1, 2])
def test_placement_beats_every_baseline_near_capacity(
    slot_count: int, utilization: float
) -> None:
    """Load: single requests near capacity, with load reports 100 ms old.

    Guards against directory agents that all choose the same backend server,
    because they all use the same stale load reports.
    """
    plan = _packet_flows.RequestPlan(1, slot_count, utilization, REQUEST_COUNT)
    production, *baselines = _packet_flows.policies(plan.seed)
    result = _packet_flows.run_short_lived(production, plan)
    for baseline in baselines:
        baseline_result = _packet_flows.run_short_lived(baseline, plan)
        assert result.mean_ms < baseline_result.mean_ms, baseline.name
        assert result.p99_ms <= baseline_result.p99_ms, baseline.name
        assert (
            result.within_objective_ratio
            >= baseline_result.within_objective_ratio
        ), baseline.name
