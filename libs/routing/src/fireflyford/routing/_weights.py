"""Normalization of target weights for the ring."""

from collections.abc import Iterable
import dataclasses
import math
import statistics

from fireflyford.routing import _ring

# Limits a target that reports a wrong weight to between a quarter and four
# times the share of the median target.
MAX_WEIGHT_RATIO = 4.0
# Rounding weights to steps of about 19 % keeps small changes of a measured
# rate from moving flow keys.
_STEPS_PER_DOUBLING = 4


def normalize_weights(
    targets: Iterable[_ring.Target],
) -> tuple[_ring.Target, ...]:
    """Returns the targets of one service with weights relative to the median.

    Each weight is divided by the median weight of the targets that accept
    flows, clamped to between a quarter and four, and rounded to a step. A
    weight that is not a positive finite number is replaced by the median.
    """
    known = tuple(targets)
    usable = [
        target.weight
        for target in known
        if target.accepts_flows and _is_usable(target.weight)
    ]
    median = statistics.median(usable) if usable else 1.0
    return tuple(
        dataclasses.replace(target, weight=_normalize(target.weight, median))
        for target in known
    )


def _is_usable(weight: float) -> bool:
    return math.isfinite(weight) and weight > 0


def _normalize(weight: float, median: float) -> float:
    if not _is_usable(weight):
        return 1.0
    limit = math.log2(MAX_WEIGHT_RATIO)
    doublings = math.log2(weight) - math.log2(median)
    doublings = max(-limit, min(limit, doublings))
    steps = round(doublings * _STEPS_PER_DOUBLING)
    return float(2.0 ** (steps / _STEPS_PER_DOUBLING))
