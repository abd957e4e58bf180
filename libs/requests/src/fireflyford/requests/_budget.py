"""Retry budget of a caller."""

import random

DEFAULT_RETRY_RATIO = 0.1
# Allows one retry before the first success; a burst of refusals causes at most
# 20 retries.
_INITIAL_TOKENS = 1.0
_MAX_TOKENS = 20.0
_MIN_DELAY_MS = 10


class RetryBudget:
    """Token bucket that limits retries to a ratio of successful requests.

    >>> budget = RetryBudget(ratio=0.5)
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    >>> budget.record_success(); budget.record_success()
    >>> budget.try_spend()
    True
    """

    def __init__(self, ratio: float = DEFAULT_RETRY_RATIO) -> None:
        """Creates a budget.

        Args:
            ratio: Retries allowed for each successful request.
        """
        self._ratio = ratio
        self._tokens = _INITIAL_TOKENS

    def record_success(self) -> None:
        """Adds the tokens that a successful request earns."""
        self._tokens = min(_MAX_TOKENS, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Consumes a token for one retry; returns False if none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def retry_delay_ms(rng: random.Random, retry_after_ms: int) -> float:
    """Returns a random delay of 50 % to 150 % of the requested one.

    Args:
        rng: Random source of the jitter.
        retry_after_ms: Delay requested by the refusal.
    """
    return max(_MIN_DELAY_MS, retry_after_ms) * rng.uniform(0.5, 1.5)
