"""Early refusal of work that would wait too long."""

import abc

from fireflyford import config
from fireflyford import core
from fireflyford.requests import _work_item

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


class AdmissionPolicy(abc.ABC):
    """Decides whether a request may wait for a slot."""

    def __init__(self) -> None:
        """Starts without a correction of estimates."""
        self.correction = 1.0
        self.refused_count = 0
        self.admitted_count = 0

    def check(
        self,
        work: _work_item.WorkItem,
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
        failure = self._judge(work, wait_ms, service_ms, now_ms)
        if failure is None:
            self.admitted_count += 1
        else:
            self.refused_count += 1
        return failure

    @abc.abstractmethod
    def _judge(
        self,
        work: _work_item.WorkItem,
        wait_ms: float,
        service_ms: float,
        now_ms: int,
    ) -> core.Failure | None:
        """Returns a refusal or None, as `check` does."""

    def learn(self, expected_ms: float, actual_ms: float) -> None:
        """Compares an expected wait with the actual one."""
        if expected_ms < _MIN_LEARNED_WAIT_MS:
            return
        low, high = _CORRECTION_RANGE
        ratio = min(high, max(low, actual_ms / expected_ms))
        self.correction += _GAIN * (ratio - self.correction)


class AdmitAll(AdmissionPolicy):
    """Baseline: everything may wait until its deadline."""

    def _judge(
        self,
        work: _work_item.WorkItem,
        wait_ms: float,
        service_ms: float,
        now_ms: int,
    ) -> core.Failure | None:
        del work, wait_ms, service_ms, now_ms
        return None


class ExpectedWaitAdmission(AdmissionPolicy):
    """Refuses work whose expected wait is too long."""

    def _judge(
        self,
        work: _work_item.WorkItem,
        wait_ms: float,
        service_ms: float,
        now_ms: int,
    ) -> core.Failure | None:
        remaining_ms = work.deadline_ms - now_ms
        if remaining_ms <= 0:
            return core.Failure(
                core.ErrorKind.DEADLINE_BEFORE_START, "the deadline has passed"
            )
        limit_ms = max(0.0, remaining_ms - service_ms)
        if work.treatment.at_crest is config.CrestPolicy.REFUSE:
            limit_ms = min(
                limit_ms,
                max(MAX_QUEUE_DELAY_MS, service_ms * _DELAY_PER_SERVICE),
            )
        expected_ms = wait_ms * self.correction
        if expected_ms <= limit_ms:
            return None
        return core.Failure(
            core.ErrorKind.OVERLOADED,
            f"a slot is expected in {expected_ms:.0f} ms",
            retry_after_ms=max(
                _MIN_RETRY_AFTER_MS, round(expected_ms - limit_ms)
            ),
        )
