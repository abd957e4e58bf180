"""Speed of a target relative to its peers, from measured service times."""

from collections.abc import Iterable
import statistics

from fireflyford.requests import _targets

# Fewer samples reflect single requests rather than the target.
MIN_COMPLETED_COUNT = 50


def relative_speed(
    target: _targets.TargetReport, peers: Iterable[_targets.TargetReport]
) -> float:
    """Returns the service rate of a target relative to the median.

    Reported load is ignored because it may be stale or wrong.

    Args:
        target: Report of the target.
        peers: Reports of the other targets of the service.

    Returns:
        The ratio, or 1.0 while the target has too few samples.
    """
    if target.completed_count < MIN_COMPLETED_COUNT or target.short_ms <= 0:
        return 1.0
    rates = [
        _rate_per_s(report)
        for report in (target, *peers)
        if report.completed_count >= MIN_COMPLETED_COUNT and report.short_ms > 0
    ]
    return _rate_per_s(target) / statistics.median(rates)


def _rate_per_s(report: _targets.TargetReport) -> float:
    return report.slot_count / report.short_ms * 1_000
