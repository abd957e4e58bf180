"""Tests of the decision about second attempts."""

import dataclasses

from hypothesis import given
from hypothesis import strategies
import pytest

from fireflyford import config
from fireflyford import requests

KIND = config.Treatment(name="sheet", method="GET", path_prefix="/")
WORK_MS = 20.0


def candidate(utilization_ratio: float) -> requests.Candidate:
    return requests.Candidate(
        "t", False, True, 2, 2, 0.0, WORK_MS, 0.0, utilization_ratio, 100, 0.0
    )


IDLE = [candidate(0.2)]


def make_policy(
    limit_ratio: float, count: int = 200
) -> requests.SecondAttempts:
    """Returns a policy after completed requests of 1 ms to `count` ms."""
    policy = requests.SecondAttempts()
    policy.set_limit(limit_ratio)
    for elapsed_ms in range(1, count + 1):
        policy.record_completed(KIND, elapsed_ms, WORK_MS)
    return policy


def test_no_second_attempt_without_a_limit() -> None:
    """Guards against extra work that no operator has allowed."""
    policy = make_policy(0.0)
    assert policy.delay_ms(KIND) is None
    assert not policy.try_start(IDLE, WORK_MS)


def test_no_second_attempt_before_enough_requests_are_measured() -> None:
    """Guards against attempts after a delay that means nothing."""
    assert make_policy(0.1, 49).delay_ms(KIND) is None
    assert make_policy(0.1, 50).delay_ms(KIND) == 45


@pytest.mark.parametrize(
    "change", [{"idempotent": False}, {"kind": config.Kind.FEED}]
)
def test_request_that_may_not_be_repeated_has_one_attempt(
    change: dict[str, object],
) -> None:
    """Guards against a request that runs twice."""
    kind = dataclasses.replace(KIND, **change)  # type: ignore[arg-type]
    assert make_policy(0.1).delay_ms(kind) is None


def test_no_second_attempt_under_overload() -> None:
    """Guards against extra work that makes other requests wait."""
    policy = make_policy(0.1)
    assert not policy.try_start([candidate(0.9), candidate(0.85)], WORK_MS)
    assert policy.overload_count == 1
    assert policy.try_start(IDLE, WORK_MS)


@given(
    limit_ratio=strategies.floats(0.001, 0.2),
    steps=strategies.lists(strategies.booleans(), max_size=400),
)
def test_extra_work_stays_within_the_limit(
    limit_ratio: float, steps: list[bool]
) -> None:
    """Guards against a budget that a sequence of events exceeds."""
    policy = requests.SecondAttempts()
    policy.set_limit(limit_ratio)
    for is_completed in steps:
        if is_completed:
            policy.record_completed(KIND, 10, WORK_MS)
        else:
            policy.try_start(IDLE, WORK_MS)
        assert policy.extra_work_ratio <= limit_ratio * (1 + 1e-9)
