"""Estimates of the service times of one target."""

from fireflyford import config

_EWMA_GAIN = 0.1
_PRIOR_MEAN_MS = {config.SizeClass.SHORT: 20.0, config.SizeClass.LONG: 500.0}
# The first samples of a cold target are averaged with equal weights instead of
# the gain.
_WARM_UP_COUNT = 10
_FAILURE_EWMA_GAIN = 0.2
_MIN_SERVICE_MS = 0.5


class ServiceTimeEstimates:
    """Moving averages of service times, by treatment and by size class."""

    def __init__(self) -> None:
        """Creates estimates with prior means."""
        self._by_treatment: dict[str, float] = {}
        self._by_size = dict(_PRIOR_MEAN_MS)
        self._counts: dict[str, int] = {}
        self.failure_ratio = 0.0
        self.completed_count = 0

    def expected_ms(self, treatment: config.Treatment) -> float:
        """Returns the expected service time of one request."""
        return self._by_treatment.get(
            treatment.name, self._by_size[treatment.size]
        )

    def mean_ms(self, size: config.SizeClass) -> float:
        """Returns the mean service time of a size class."""
        return self._by_size[size]

    def record_success(
        self, treatment: config.Treatment, elapsed_ms: float
    ) -> None:
        """Updates the estimates with a completed request."""
        self.completed_count += 1
        self.failure_ratio *= 1 - _FAILURE_EWMA_GAIN
        self._update_means(treatment, max(_MIN_SERVICE_MS, elapsed_ms))

    def record_failure(self) -> None:
        """Updates the failure ratio; a failure has no useful duration."""
        self.failure_ratio += _FAILURE_EWMA_GAIN * (1 - self.failure_ratio)

    def _update_means(
        self, treatment: config.Treatment, sample_ms: float
    ) -> None:
        count = self._counts.get(treatment.name, 0) + 1
        self._counts[treatment.name] = count
        gain = (
            max(_EWMA_GAIN, 1 / count)
            if count <= _WARM_UP_COUNT
            else _EWMA_GAIN
        )
        treatment_mean_ms = self._by_treatment.get(treatment.name, sample_ms)
        self._by_treatment[treatment.name] = treatment_mean_ms + gain * (
            sample_ms - treatment_mean_ms
        )
        size_count = self._counts.get(treatment.size.value, 0) + 1
        self._counts[treatment.size.value] = size_count
        size_gain = max(_EWMA_GAIN, 1 / size_count)
        mean_ms = self._by_size[treatment.size]
        self._by_size[treatment.size] = mean_ms + size_gain * (
            sample_ms - mean_ms
        )
