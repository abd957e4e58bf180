"""Speed of targets relative to their peers."""

import dataclasses

import pytest

from fireflyford.requests import _speed
from fireflyford.requests import _targets


def make_report(
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


def test_faster_target_has_higher_relative_speed() -> None:
    """Guards against equal relative speeds of unequal machines."""
    peers = [make_report(20.0), make_report(20.0)]
    assert _speed.relative_speed(make_report(10.0), peers) == pytest.approx(2.0)


def test_target_with_few_requests_has_median_speed() -> None:
    """Guards against a speed computed from too few requests."""
    new = make_report(1.0, completed_count=3)
    assert _speed.relative_speed(new, [make_report(20.0)]) == 1.0


def test_reported_load_does_not_affect_relative_speed() -> None:
    """Guards against backend servers whose reported load is wrong."""
    misreporting = dataclasses.replace(make_report(20.0), reported_load=1e9)
    peers = [make_report(20.0), make_report(20.0)]
    assert _speed.relative_speed(misreporting, peers) == pytest.approx(1.0)
