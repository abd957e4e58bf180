"""Decision when a repeatable request gets a second attempt.

A second attempt starts when the first one takes longer than most requests of
its kind. A budget limits the additional work to a share of the completed work;
each agent enforces it for the requests that it receives, without messages.
"""

from collections.abc import Sequence

from fireflyford import config
from fireflyford import core
from fireflyford.requests import _targets

# Completed requests of a kind that the quantile is measured on: enough for the
# 0.99 quantile, few enough to follow a change of load within seconds.
_WINDOW_COUNT = 512
# Bounds of the quantile of response times after which an attempt counts as
# slow. Between them it follows the limit, so that the budget is spent on the
# slowest requests.
_MIN_QUANTILE = 0.9
_MAX_QUANTILE = 0.99
# Extra work that may be saved up, in mean requests; it bounds a burst of second
# attempts after a quiet time.
_MAX_SAVED_REQUESTS = 10.0
# Slot utilization of the known targets above which the service counts as
# overloaded: an additional attempt would make other requests wait.
MAX_UTILIZATION_RATIO = 0.85


class SecondAttempts:
    """Delay, budget and counts of the second attempts of one agent."""

    def __init__(self) -> None:
        """Creates a policy that is switched off."""
        self._limit_ratio = 0.0
        # Extra work that may be spent, in ms of execution time.
        self._budget_ms = 0.0
        # After this time an attempt counts as slow, by kind of request.
        self._delays_ms: dict[str, core.RecentQuantile] = {}
        self._completed_work_ms = 0.0
        self._extra_work_ms = 0.0
        self.attempt_count = 0
        self.win_count = 0
        # Slow attempts that got no second one.
        self.over_budget_count = 0
        self.overload_count = 0

    @property
    def limit_ratio(self) -> float:
        """Extra work allowed for each unit of completed work; 0 is off."""
        return self._limit_ratio

    def set_limit(self, ratio: float) -> None:
        """Sets the extra work allowed for each unit of completed work."""
        if ratio == self._limit_ratio:
            return
        self._limit_ratio = ratio
        self._budget_ms = 0.0
        for delay_ms in self._delays_ms.values():
            delay_ms.reset()

    @property
    def extra_work_ratio(self) -> float:
        """Work of second attempts relative to the completed work."""
        if not self._completed_work_ms:
            return 0.0
        return self._extra_work_ms / self._completed_work_ms

    def record_completed(
        self, treatment: config.Treatment, elapsed_ms: float, work_ms: float
    ) -> None:
        """Records a completed request, which refills the budget.

        Args:
            treatment: Kind of the request.
            elapsed_ms: Time from its arrival to its response.
            work_ms: Expected execution time.
        """
        self._completed_work_ms += work_ms
        self._budget_ms = min(
            self._budget_ms + self._limit_ratio * work_ms,
            _MAX_SAVED_REQUESTS * work_ms,
        )
        delay_ms = self._delays_ms.setdefault(
            treatment.name, core.RecentQuantile(_WINDOW_COUNT)
        )
        delay_ms.record(elapsed_ms, self._quantile_ratio())

    def delay_ms(self, treatment: config.Treatment) -> float | None:
        """Returns after which time a second attempt starts, None for never."""
        is_repeatable = (
            treatment.idempotent and treatment.kind is config.Kind.REQUEST
        )
        if not self._limit_ratio or not is_repeatable:
            return None
        delay_ms = self._delays_ms.get(treatment.name)
        return None if delay_ms is None else delay_ms.value

    def try_start(
        self, candidates: Sequence[_targets.Candidate], work_ms: float
    ) -> bool:
        """Returns whether a second attempt may start, and charges its work.

        Args:
            candidates: All targets that accept requests.
            work_ms: Expected execution time of the attempt.
        """
        if is_overloaded(candidates):
            self.overload_count += 1
            return False
        if self._budget_ms < work_ms:
            self.over_budget_count += 1
            return False
        self._budget_ms -= work_ms
        self._extra_work_ms += work_ms
        self.attempt_count += 1
        return True

    def record_win(self) -> None:
        """Records a second attempt that responded before the first one."""
        self.win_count += 1

    def status(self) -> dict[str, object]:
        """Returns the `second_attempts` section of the status page."""
        return {
            "limit_ratio": self._limit_ratio,
            "extra_work_ratio": round(self.extra_work_ratio, 4),
            "attempt_count": self.attempt_count,
            "win_count": self.win_count,
            "over_budget_count": self.over_budget_count,
            "overload_count": self.overload_count,
            "delays_ms": {
                name: delay_ms.value
                for name, delay_ms in self._delays_ms.items()
                if delay_ms.value is not None
            },
        }

    def _quantile_ratio(self) -> float:
        return min(_MAX_QUANTILE, max(_MIN_QUANTILE, 1 - self._limit_ratio))


def is_overloaded(candidates: Sequence[_targets.Candidate]) -> bool:
    """Returns whether the targets have no capacity for additional work."""
    slot_count = sum(item.slot_count for item in candidates)
    busy_count = sum(
        item.slot_count * min(1.0, item.utilization_ratio)
        for item in candidates
    )
    return busy_count >= MAX_UTILIZATION_RATIO * slot_count
