"""Simulated runs of a service: faults and policies take effect."""

import dataclasses

import pytest

from fireflyford.lab import _load
from fireflyford.lab import _service_runs

_PLAN = _service_runs.Plan(
    seed=1,
    speeds=(1.0, 1.0, 1.0),
    mean_ms=60.0,
    load_ratio=1.5,
    duration_ms=4_000,
    fault_ms=1_000,
)


@pytest.mark.parametrize("fault", list(_service_runs.TargetFault))
def test_target_fault_does_not_reduce_goodput_of_other_targets(
    fault: _service_runs.TargetFault,
) -> None:
    """Guards against a fault that stalls the other targets or the run."""
    result = _service_runs.run(dataclasses.replace(_PLAN, fault=fault))
    live_ratio = 1.0 if fault is _service_runs.TargetFault.NONE else 2 / 3
    assert result.goodput_ratio(2_500, 4_000) > 0.8 * live_ratio


def test_fifo_policy_replaces_default_queue_order() -> None:
    """Guards against an empty queue that is treated as no queue at all."""
    # Both orders are the same unless long requests queue ahead of short ones.
    plan = dataclasses.replace(_PLAN, load_ratio=1.3, long_ratio=0.3)
    fifo = dataclasses.replace(plan, policy=_service_runs.Policy.FIFO)
    default_run, fifo_run = _service_runs.run(plan), _service_runs.run(fifo)
    assert [s.job for s in sorted(default_run.samples, key=_job_number)] == [
        s.job for s in sorted(fifo_run.samples, key=_job_number)
    ]
    assert default_run.elapsed_ms("short") != fifo_run.elapsed_ms("short")


def _job_number(sample: _load.Sample) -> int:
    return sample.job.number


def test_ideal_scheduler_runs_short_requests_first() -> None:
    """Guards against an ideal bound that a real scheduler could exceed."""
    plan = dataclasses.replace(_PLAN, speeds=(0.5,))
    jobs = [("long", 0.0, 50.0), ("long", 1.0, 50.0), ("short", 2.0, 10.0)]
    samples = tuple(
        _load.Sample(_load.Job(i, kind, length_ms, 2_000), start_ms, 0, None)
        for i, (kind, start_ms, length_ms) in enumerate(jobs)
    )
    result = _service_runs.RunResult(plan, samples, (), 3)
    assert _service_runs.ideal_elapsed_ms(result) == [58.0]
