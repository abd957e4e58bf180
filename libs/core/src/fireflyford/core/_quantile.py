"""A quantile of the most recent values of a measurement."""

import collections
import math

# Fewer values give no usable quantile.
MIN_SAMPLE_COUNT = 50
# The quantile is computed again after this many values, to bound its cost.
UPDATE_INTERVAL_COUNT = 16


class RecentQuantile:
    """Quantile of the last values by the nearest-rank method.

    >>> quantile = RecentQuantile(window_count=100)
    >>> for value in range(1, 51):
    ...     quantile.record(value, 0.9)
    >>> quantile.value
    45
    """

    def __init__(self, window_count: int) -> None:
        """Initializes without values.

        Args:
            window_count: Values that the quantile is measured on.
        """
        self._recent: collections.deque[float] = collections.deque(
            maxlen=window_count
        )
        self._new_count = 0
        # The quantile, None while there are too few values.
        self.value: float | None = None

    def record(self, value: float, ratio: float) -> None:
        """Records a value.

        Args:
            value: The value.
            ratio: Quantile to compute when that is due, between 0 and 1.
        """
        self._recent.append(value)
        self._new_count += 1
        is_due = self.value is None or self._new_count >= UPDATE_INTERVAL_COUNT
        if is_due and len(self._recent) >= MIN_SAMPLE_COUNT:
            self._new_count = 0
            ordered = sorted(self._recent)
            self.value = ordered[math.ceil(ratio * len(ordered)) - 1]

    def reset(self) -> None:
        """Has the quantile computed anew with the next value."""
        self.value = None
