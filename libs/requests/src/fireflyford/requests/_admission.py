"""Early refusal of work that would wait too long."""

from fireflyford import config
from fireflyford import core
from fireflyford.requests import _work

# A longer queue adds no throughput, and it must be gone within 2 s after a
# demand peak.
MAX_QUEUE_DELAY_MS = 400.0
# Long work may wait for a part of its own length as well.
_DELAY_PER_SERVICE = 1.5
_MIN_RETRY_AFTER_MS = 50
_GAIN = 0.05
_CORRECTION_RANGE = (0.5, 2.0)
# Shorter waits are dominated by the resolution of the clock.
_MIN_LEARNED_WAIT_MS = 20.0


class Admission:
    """Decides whether a request may wait for a slot."""

    def __init__(self) -> None:
        """Starts without a correction of estimates."""
        self._correction = 1.0
        self.refused_count = 0
        self.admitted_count = 0

    @property
    def correction(self) -> float:
        """Ratio of actual to expected waits."""
        return self._correction

    def check(
        self,
        work: _work.Work,
        wait_ms: float,
        service_ms: float,
        now_ms: int,
    ) -> core.Failure | None:
        """Returns a refusal, or None when the request is admitted.

        Args:
            work: The request.
            wait_ms: Expected wait for a slot.
            service_ms: Expected service time.
            now_ms: Current time.
        """
        remaining_ms = work.deadline_ms - now_ms
        if remaining_ms <= 0:
            self.refused_count += 1
            return core.Failure(
                core.ErrorKind.DEADLINE_BEFORE_START, "the deadline has passed"
            )
        limit_ms = max(0.0, remaining_ms - service_ms)
        if work.treatment.at_crest is config.CrestPolicy.REFUSE:
            limit_ms = min(
                limit_ms,
                max(MAX_QUEUE_DELAY_MS, service_ms * _DELAY_PER_SERVICE),
            )
        expected_ms = wait_ms * self._correction
        if expected_ms > limit_ms:
            self.refused_count += 1
            return core.Failure(
                core.ErrorKind.OVERLOADED,
                f"a slot is expected in {expected_ms:.0f} ms",
                retry_after_ms=max(
                    _MIN_RETRY_AFTER_MS, round(expected_ms - limit_ms)
                ),
            )
        self.admitted_count += 1
        return None

    def learn(self, expected_ms: float, actual_ms: float) -> None:
        """Compares an expected wait with the actual one."""
        if expected_ms < _MIN_LEARNED_WAIT_MS:
            return
        low, high = _CORRECTION_RANGE
        ratio = min(high, max(low, actual_ms / expected_ms))
        self._correction += _GAIN * (ratio - self._correction)
