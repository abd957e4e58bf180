"""Second attempts of requests between simulated targets."""

from collections.abc import Sequence
import dataclasses
import random

import pytest

from fireflyford import config
from fireflyford import core
from fireflyford import requests
from fireflyford.lab import _load
from fireflyford.lab import _model
from fireflyford.lab import _service_runs
from fireflyford.lab import _virtual_time

_KIND = config.Treatment(name="short", method="GET", path_prefix="/")


@pytest.mark.parametrize("seed", [1, 2])
def test_second_attempts_cut_the_slowest_responses(seed: int) -> None:
    """Guards against extra work without a benefit, or beyond the limit."""
    plan = _service_runs.Plan(
        seed, load_ratio=0.4, slow_ratio=0.02, duration_ms=14_000
    )
    limited = dataclasses.replace(plan, second_attempt_ratio=0.05)
    base, result = _service_runs.run(plan), _service_runs.run(limited)
    assert base.second_attempt_count == 0
    assert 0 < result.second_attempt_count <= 0.055 * len(result.samples)
    assert _p99_ms(result) < 0.7 * _p99_ms(base)
    assert all(sample.failure is None for sample in result.samples)


def _p99_ms(result: _service_runs.RunResult) -> float:
    return _load.percentile(result.elapsed_ms("short", 4_000), 0.99)


class _FirstIsSlow(requests.Placement):
    """Chooses the local target first, and any other one after that."""

    def choose(
        self, candidates: Sequence[requests.Candidate]
    ) -> requests.Candidate:
        """Returns the local target, or the first one."""
        return next((c for c in candidates if c.is_local), candidates[0])


async def _run_slow_request(
    second_fails: bool,
) -> tuple[core.Outcome[requests.Response], int, list[_model.ModelNode]]:
    """Runs a request that takes long at its first target only.

    Returns:
        Its outcome, its response time, and the nodes 10 ms later.
    """
    clock = _virtual_time.VirtualClock()
    service = _model.ModelService(
        clock, random.Random(1), lambda rng: _FirstIsSlow()
    )
    nodes = [service.start_node(index) for index in (0, 1)]
    service.connect()
    await clock.sleep(1_000)
    engine = nodes[0].engine
    engine.second_attempts.set_limit(0.1)
    for _ in range(300):
        engine.second_attempts.record_completed(_KIND, 30, 20)
    nodes[0].backend.slow_executions(random.Random(1), 1.0, 50.0)
    nodes[1].backend.failing = second_fails
    started_ms = clock.now_ms()
    work = requests.WorkItem(
        "1", _KIND, "GET", "/?ms=20", b"", "c", started_ms, started_ms + 2_000
    )
    outcome = await engine.submit(work)
    elapsed_ms = clock.now_ms() - started_ms
    await clock.sleep(10)
    service.close()
    return outcome, elapsed_ms, nodes


def test_slower_attempt_is_cancelled() -> None:
    """Guards against a slot that the slower attempt keeps."""
    outcome, elapsed_ms, nodes = _virtual_time.run(_run_slow_request(False))
    assert isinstance(outcome, core.Ok)
    assert elapsed_ms < 100
    assert [node.backend.running_count for node in nodes] == [0, 0]
    assert [node.engine.scheduler.slots.running_count for node in nodes] == [
        0,
        0,
    ]
    assert nodes[0].engine.second_attempts.win_count == 1


def test_failed_second_attempt_does_not_replace_the_first() -> None:
    """Guards against a failure of a request whose first attempt succeeds."""
    outcome, elapsed_ms, nodes = _virtual_time.run(_run_slow_request(True))
    assert isinstance(outcome, core.Ok)
    assert elapsed_ms > 900
    assert nodes[0].engine.second_attempts.attempt_count == 1
    assert nodes[0].engine.second_attempts.win_count == 0
