"""Admission policies, which refuse requests that would wait too long."""

import abc

from fireflyford import config
from fireflyford import core
from fireflyford.requests import _work_item

# A longer queue adds no throughput, and the queue has to drain within 2 s after
# a demand peak.
MAX_QUEUE_WAIT_MS = 400.0
# A long request may wait for this multiple of its own service time.
_MAX_WAIT_SERVICE_RATIO = 1.5
_MIN_RETRY_AFTER_MS = 50
_CORRECTION_GAIN = 0.05
_CORRECTION_RANGE = (0.5, 2.0)
# Shorter waits are dominated by the resolution of the clock.
_MIN_SAMPLE_WAIT_MS = 20.0


class AdmissionPolicy(abc.ABC):
    """Decides whether a request may wait for a slot."""

    def __init__(self) -> None:
        """Creates a policy that applies no correction to estimates yet."""
        self.wait_correction_ratio = 1.0
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
        failure = self._evaluate(work, wait_ms, service_ms, now_ms)
        if failure is None:
            self.admitted_count += 1
        else:
            self.refused_count += 1
        return failure

    @abc.abstractmethod
    def _evaluate(
        self,
        work: _work_item.WorkItem,
        wait_ms: float,
        service_ms: float,
        now_ms: int,
    ) -> core.Failure | None:
        """Returns a refusal, or None to admit; see `check`."""

    def record_wait(self, expected_ms: float, actual_ms: float) -> None:
        """Adjusts the correction of estimates to an observed wait."""
        if expected_ms < _MIN_SAMPLE_WAIT_MS:
            return
        low, high = _CORRECTION_RANGE
        ratio = min(high, max(low, actual_ms / expected_ms))
        self.wait_correction_ratio += _CORRECTION_GAIN * (
            ratio - self.wait_correction_ratio
        )


class AdmitAll(AdmissionPolicy):
    """Baseline that lets every request wait until its deadline."""

    def _evaluate(
        self,
        work: _work_item.WorkItem,
        wait_ms: float,
        service_ms: float,
        now_ms: int,
    ) -> core.Failure | None:
        del work, wait_ms, service_ms, now_ms
        return None


class ExpectedWaitAdmission(AdmissionPolicy):
    """Refuses requests whose expected wait exceeds the limit.

    The limit is the time left before the deadline, less the service time. Where
    the treatment asks for refusal under overload, it is also bounded by the
    larger of `MAX_QUEUE_WAIT_MS` and a multiple of the service time.
    """

    def _evaluate(
        self,
        work: _work_item.WorkItem,
        wait_ms: float,
        service_ms: float,
        now_ms: int,
    ) -> core.Failure | None:
        remaining_ms = work.deadline_ms - now_ms
        if remaining_ms <= 0:
            return core.Failure(
                core.ErrorKind.DEADLINE_BEFORE_START,
                "the deadline passed before the request was admitted",
            )
        limit_ms = max(0.0, remaining_ms - service_ms)
        if work.treatment.at_crest is config.CrestPolicy.REFUSE:
            limit_ms = min(
                limit_ms,
                max(MAX_QUEUE_WAIT_MS, service_ms * _MAX_WAIT_SERVICE_RATIO),
            )
        expected_ms = wait_ms * self.wait_correction_ratio
        if expected_ms <= limit_ms:
            return None
        return core.Failure(
            core.ErrorKind.OVERLOADED,
            f"overloaded: expected wait for a slot is {expected_ms:.0f} ms",
            retry_after_ms=max(
                _MIN_RETRY_AFTER_MS, round(expected_ms - limit_ms)
            ),
        )
