"""Retry budget of a caller."""

import random

DEFAULT_RATIO = 0.1
# One retry before the first success; a burst of refusals spends at most 20.
_INITIAL_TOKENS = 1.0
_MAX_TOKENS = 20.0
_MIN_DELAY_MS = 10


class RetryBudget:
    """Allows retries up to a ratio of successes.

    >>> budget = RetryBudget(ratio=0.5)
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    >>> budget.record_success(); budget.record_success()
    >>> budget.try_spend()
    True
    """

    def __init__(self, ratio: float = DEFAULT_RATIO) -> None:
        """Takes the retries allowed for each success."""
        self._ratio = ratio
        self._tokens = _INITIAL_TOKENS

    def record_success(self) -> None:
        """Earns a part of a retry."""
        self._tokens = min(_MAX_TOKENS, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Takes one retry from the budget, if there is one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def retry_delay_ms(rng: random.Random, retry_after_ms: int) -> float:
    """Returns a delay of 50 % to 150 % of the one that was asked for.

    Args:
        rng: Random source of the jitter.
        retry_after_ms: Delay that the refusal asked for.
    """
    return max(_MIN_DELAY_MS, retry_after_ms) * rng.uniform(0.5, 1.5)
