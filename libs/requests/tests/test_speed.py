"""Speed of targets relative to their peers."""

import dataclasses

import pytest

from fireflyford.requests import _speed
from fireflyford.requests import _targets


def report(
    short_ms: float, completed_count: int = 100
) -> _targets.TargetReport:
    values = {
        field.name: 0 for field in dataclasses.fields(_targets.TargetReport)
    }
    values |= {
        "slot_count": 2,
        "short_ms": short_ms,
        "completed_count": completed_count,
    }
    return _targets.TargetReport(**values)  # type: ignore[arg-type]


def test_a_faster_target_gets_a_higher_weight() -> None:
    """Guards against equal weights for machines of unequal speed."""
    peers = [report(20.0), report(20.0)]
    assert _speed.relative_speed(report(10.0), peers) == pytest.approx(2.0)


def test_a_new_target_has_the_median_weight() -> None:
    """Guards against a weight computed from too few requests."""
    new = report(1.0, completed_count=3)
    assert _speed.relative_speed(new, [report(20.0)]) == 1.0


def test_reported_load_does_not_affect_speed() -> None:
    """Guards against backend servers that report a wrong load."""
    misreporting = dataclasses.replace(report(20.0), reported_load=1e9)
    peers = [report(20.0), report(20.0)]
    assert _speed.relative_speed(misreporting, peers) == pytest.approx(1.0)
