"""Queueing, admission, slot limits and placement of requests."""

import dataclasses
import random

from fireflyford import config
from fireflyford import core
from fireflyford import requests

_SHORT = config.Treatment(name="short", method="GET", path_prefix="/s")
_LONG = config.Treatment(
    name="long",
    method="GET",
    path_prefix="/l",
    size=config.SizeClass.LONG,
    deadline_ms=20_000,
)


def _make_work_item(
    caller: str = "a",
    treatment: config.Treatment = _SHORT,
    now_ms: int = 0,
    body: bytes = b"",
) -> requests.WorkItem:
    deadline_ms = now_ms + treatment.deadline_ms
    return requests.WorkItem(
        "id", treatment, "GET", "/", body, caller, now_ms, deadline_ms
    )


def _push(
    queue: requests.WorkQueue, work: requests.WorkItem, expected_ms: float = 10
) -> requests.QueueEntry | None:
    return queue.push(queue.make_entry(work, expected_ms, work.arrived_ms))


def _pop_caller(queue: requests.WorkQueue) -> str:
    entry = queue.pop(allow_long=True)
    assert entry is not None
    return entry.work.caller


def test_burst_of_one_caller_does_not_delay_other_callers() -> None:
    """Guards against a burst of one caller that delays all others."""
    queue = requests.FairQueue(slot_count=1)
    for _ in range(20):
        _push(queue, _make_work_item("burst"))
    _push(queue, _make_work_item("other", now_ms=15))
    order = [_pop_caller(queue) for _ in range(4)]
    assert "other" in order


def test_higher_priority_is_served_first_without_starvation() -> None:
    """Guards against ignored priorities and starvation of low ones."""
    queue = requests.FairQueue(slot_count=2)
    low = dataclasses.replace(_SHORT, priority=0)
    high = dataclasses.replace(_SHORT, priority=9)
    _push(queue, _make_work_item("low", low, now_ms=0))
    _push(queue, _make_work_item("high", high, now_ms=1))
    assert _pop_caller(queue) == "high"
    _push(queue, _make_work_item("late", high, now_ms=1_000))
    assert _pop_caller(queue) == "low"


def test_overtaking_of_long_request_is_bounded() -> None:
    """Guards against starvation of long requests by short ones."""
    queue = requests.FairQueue(slot_count=2)
    _push(queue, _make_work_item("long", _LONG), expected_ms=500)
    overtaking_count = 0
    for step in range(100):
        _push(queue, _make_work_item("short", now_ms=step * 10))
        if _pop_caller(queue) == "long":
            break
        overtaking_count += 1
    assert 0 < overtaking_count < 50


def test_queue_is_bounded_by_count_and_bytes() -> None:
    """Guards against unbounded memory and eviction of the wrong entry."""
    queue = requests.FairQueue(1, max_count=2, max_bytes=100)
    first = _make_work_item("a", body=b"x" * 60)
    assert _push(queue, first) is None
    large = _make_work_item("b", now_ms=1, body=b"x" * 60)
    evicted = _push(queue, large)
    assert evicted is not None and evicted.work is large
    assert _push(queue, _make_work_item("c", now_ms=2)) is None
    assert _push(queue, _make_work_item("d", now_ms=3)) is not None
    assert len(queue) == 2 and queue.queued_bytes == 60


def test_request_that_would_miss_deadline_is_refused() -> None:
    """Guards against queueing requests that cannot meet their deadline."""
    admission = requests.ExpectedWaitAdmission()
    assert admission.check(_make_work_item(), 100, 20, 0) is None
    refusal = admission.check(_make_work_item(), 1_900, 200, 0)
    assert refusal is not None
    assert refusal.kind is core.ErrorKind.OVERLOADED
    assert refusal.retry_after_ms > 1_000
    expired = admission.check(_make_work_item(), 0, 20, 2_000)
    assert expired is not None
    assert expired.kind is core.ErrorKind.DEADLINE_BEFORE_START


def _make_candidate(name: str, **fields: object) -> requests.Candidate:
    base = requests.Candidate(
        target_id=name,
        is_local=name == "local",
        same_zone=True,
        hop_ms=0 if name == "local" else 2,
        slot_count=2,
        wait_ms=0,
        service_ms=20,
        failure_ratio=0,
        utilization_ratio=0.5,
        completed_count=100,
        reported_load=0,
    )
    return dataclasses.replace(base, **fields)  # type: ignore[arg-type]


def _choose(*candidates: requests.Candidate) -> str:
    placement = requests.ShortestExpectedDelay(random.Random(1))
    return placement.choose(candidates).target_id


def test_local_target_and_local_zone_are_preferred() -> None:
    """Guards against unnecessary handoffs and cross-zone traffic."""
    near = _make_candidate("near")
    far = _make_candidate("far", same_zone=False, hop_ms=4)
    assert _choose(far, near, _make_candidate("local")) == "local"
    assert _choose(far, near, _make_candidate("local", wait_ms=50)) == "near"
    assert _choose(far, _make_candidate("near", wait_ms=50)) == "far"


def test_failing_target_is_not_preferred_for_short_service_time() -> None:
    """Guards against a target that attracts requests by failing fast."""
    failing = _make_candidate("failing", service_ms=1, failure_ratio=0.9)
    assert _choose(failing, _make_candidate("slow", service_ms=60)) == "slow"


def test_implausible_service_time_does_not_attract_all_requests() -> None:
    """Guards against a wrong report that attracts all requests."""
    misreporting = _make_candidate("misreporting", service_ms=0.001, wait_ms=30)
    assert _choose(
        misreporting, _make_candidate("a"), _make_candidate("b")
    ) in ("a", "b")


def test_warm_target_is_preferred_to_cold_target() -> None:
    """Guards against flooding a target whose caches are cold."""
    cold = _make_candidate("cold", completed_count=0)
    assert _choose(cold, _make_candidate("warm", wait_ms=5)) == "warm"


def _make_report(name: str, short: float, long: float) -> requests.TargetReport:
    return requests.TargetReport(
        target_id=name,
        incarnation=1,
        clock_ms=0,
        slot_count=2,
        idle_count=0,
        short_wait_ms=0,
        long_wait_ms=0,
        short_ms=20,
        long_ms=1_000,
        failure_ratio=0,
        utilization_ratio=0.7,
        short_load=short,
        long_load=long,
        completed_count=9,
        draining=False,
    )


def _long_slot_limits(short: float, long: float) -> list[int]:
    names = [f"target-{index}" for index in range(7)]
    reports = {name: _make_report(name, short, long) for name in names}
    return [requests.long_slot_limit(name, reports) for name in names]


def test_long_slot_limits_follow_load() -> None:
    """Guards against starved long requests and unused reserved slots."""
    assert sum(_long_slot_limits(short=0.4, long=1.0)) in (9, 10, 11)
    assert sum(_long_slot_limits(short=0.01, long=1.2)) >= 13
    assert _long_slot_limits(short=2.0, long=0.0) == [1] * 7
    assert min(_long_slot_limits(short=1.8, long=0.05)) == 1


def test_retry_budget_is_ten_percent_of_successes() -> None:
    """Guards against retries that multiply the load at a demand peak."""
    budget = requests.RetryBudget()
    spent = 0
    for _ in range(1_000):
        budget.record_success()
        spent += budget.try_spend()
    assert 95 <= spent <= 101
