"""Pace at which an instance announces changes of its own weight."""

from fireflyford import core

# Smaller changes do not move enough flows to be worth their traffic.
MIN_CHANGE_RATIO = 0.1
_MIN_INTERVAL_MS = 1_000
# Each member's share of the fleet's changes: four a second altogether, which
# is about half of the control traffic that a node may have.
_INTERVAL_PER_MEMBER_MS = 250


class WeightPacer:
    """Holds back changes of weight that are small or too frequent."""

    def __init__(self, clock: core.Clock, weight: float) -> None:
        """Starts with the announced weight."""
        self._clock = clock
        self._announced = weight
        self._announced_ms = clock.now_ms() - _MIN_INTERVAL_MS
        self._wanted = weight

    def want(self, weight: float) -> None:
        """Takes the weight to announce when it is time."""
        self._wanted = round(weight, 2)

    def due(self, member_count: int) -> float | None:
        """Returns the weight to announce now, if any.

        Args:
            member_count: Members of the whole fleet.
        """
        change = abs(self._wanted - self._announced)
        if change < MIN_CHANGE_RATIO * self._announced or not change:
            return None
        interval_ms = max(
            _MIN_INTERVAL_MS, _INTERVAL_PER_MEMBER_MS * member_count
        )
        now_ms = self._clock.now_ms()
        if now_ms - self._announced_ms < interval_ms:
            return None
        self._announced = self._wanted
        self._announced_ms = now_ms
        return self._wanted
