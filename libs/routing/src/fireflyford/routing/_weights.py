"""Weights of targets as the ring uses them."""

from collections.abc import Iterable
import dataclasses
import math
import statistics

from fireflyford.routing import _ring

# A target that reports a wrong figure gets at most four times, and at least a
# quarter, of the median target's share.
MAX_RATIO = 4.0
# Weights move in steps of about 19 %, so that small changes of a measured rate
# move no flow keys.
_STEPS_PER_DOUBLING = 4


def normalize_weights(
    targets: Iterable[_ring.Target],
) -> tuple[_ring.Target, ...]:
    """Returns the targets of one service with weights around 1.

    Each weight becomes a multiple of the median of the targets that accept
    flows, between a quarter and four, rounded to a step. A weight that is not
    a positive number counts as the median.
    """
    known = tuple(targets)
    usable = [
        target.weight
        for target in known
        if target.accepts_flows and _is_usable(target.weight)
    ]
    median = statistics.median(usable) if usable else 1.0
    return tuple(
        dataclasses.replace(target, weight=_clamp(target.weight, median))
        for target in known
    )


def _is_usable(weight: float) -> bool:
    return math.isfinite(weight) and weight > 0


def _clamp(weight: float, median: float) -> float:
    if not _is_usable(weight):
        return 1.0
    limit = math.log2(MAX_RATIO)
    doublings = math.log2(weight) - math.log2(median)
    doublings = max(-limit, min(limit, doublings))
    steps = round(doublings * _STEPS_PER_DOUBLING)
    return float(2.0 ** (steps / _STEPS_PER_DOUBLING))
