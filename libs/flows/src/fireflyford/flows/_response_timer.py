"""How long to wait for an answer before asking again.

A fixed timeout turns a slow instance into a silent one: each request is asked
again elsewhere, which makes all instances slower still. The wait follows the
measured response time and grows while nothing is answered.
"""

# A wait is this multiple of the mean response time.
_WAIT_FACTOR = 4.0
# Weight of a new sample in the mean.
_SAMPLE_WEIGHT = 0.25
# Growth of the wait with each timeout since the last answer, and its limit.
_BACKOFF_FACTOR = 1.25
_MAX_BACKOFF = 8.0


class ResponseTimer:
    """Timeout that follows response times.

    >>> timer = ResponseTimer(least_ms=70, most_ms=1_000)
    >>> timer.timeout_ms()
    70
    >>> timer.sample(100)
    >>> timer.timeout_ms()
    400
    """

    def __init__(self, least_ms: int, most_ms: int) -> None:
        """Takes the bounds of the timeout."""
        self._least_ms = least_ms
        self._most_ms = most_ms
        self._mean_ms = 0.0
        self._backoff = 1.0

    def timeout_ms(self) -> int:
        """Returns how long to wait for an answer now."""
        wait_ms = max(float(self._least_ms), _WAIT_FACTOR * self._mean_ms)
        return min(self._most_ms, int(wait_ms * self._backoff))

    def sample(self, duration_ms: int) -> None:
        """Takes the time until an answer came, a late one included."""
        if self._mean_ms:
            duration_ms -= int(self._mean_ms)
            self._mean_ms += _SAMPLE_WEIGHT * duration_ms
        else:
            self._mean_ms = float(duration_ms)
        self._backoff = 1.0

    def expire(self) -> None:
        """Notes that no answer came in time."""
        self._backoff = min(_MAX_BACKOFF, self._backoff * _BACKOFF_FACTOR)
