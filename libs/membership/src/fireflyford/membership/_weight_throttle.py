"""Rate limit for announcements of an instance's own weight."""

from fireflyford import core

# Smaller changes would move too few flows to justify their control traffic.
MIN_CHANGE_RATIO = 0.1
_MIN_INTERVAL_MS = 1_000
# Limits all members together to four changes a second, which is about half of
# the control traffic that a node may have.
_INTERVAL_PER_MEMBER_MS = 250


class WeightThrottle:
    """Suppresses weight changes that are small or too frequent."""

    def __init__(self, clock: core.Clock, weight: float) -> None:
        """Creates a throttle for a weight that is already announced."""
        self._clock = clock
        self._announced = weight
        self._announced_ms = clock.now_ms() - _MIN_INTERVAL_MS
        self._pending = weight

    def set_weight(self, weight: float) -> None:
        """Sets the weight to announce at the next opportunity."""
        self._pending = round(weight, 2)

    def take_due(self, member_count: int) -> float | None:
        """Returns the weight to announce now, if one is due.

        Args:
            member_count: Number of members in the cluster.
        """
        change = abs(self._pending - self._announced)
        if change < MIN_CHANGE_RATIO * self._announced or not change:
            return None
        interval_ms = max(
            _MIN_INTERVAL_MS, _INTERVAL_PER_MEMBER_MS * member_count
        )
        now_ms = self._clock.now_ms()
        if now_ms - self._announced_ms < interval_ms:
            return None
        self._announced = self._pending
        self._announced_ms = now_ms
        return self._pending
