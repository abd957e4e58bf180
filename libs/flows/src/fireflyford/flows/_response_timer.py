"""Adaptive timeout for answers of other instances.

A fixed timeout treats a slow instance as failed: each request is retried at
another one, which makes all of them slower. This timeout follows the measured
response time and backs off while no answer arrives.
"""

# Timeout as a multiple of the mean response time.
_TIMEOUT_FACTOR = 4.0
# Weight of a new sample in the mean.
_SAMPLE_WEIGHT = 0.25
# Growth of the timeout with each expiry since the last answer, and its limit.
_BACKOFF_FACTOR = 1.25
_MAX_BACKOFF = 8.0


class ResponseTimer:
    """Timeout that follows response times.

    >>> timer = ResponseTimer(min_ms=70, max_ms=1_000)
    >>> timer.timeout_ms()
    70
    >>> timer.record_response(100)
    >>> timer.timeout_ms()
    400
    """

    def __init__(self, min_ms: int, max_ms: int) -> None:
        """Initializes a timer with the bounds of its timeout."""
        self._min_ms = min_ms
        self._max_ms = max_ms
        self._mean_ms = 0.0
        self._backoff = 1.0

    def timeout_ms(self) -> int:
        """Returns the current timeout."""
        timeout_ms = max(float(self._min_ms), _TIMEOUT_FACTOR * self._mean_ms)
        return min(self._max_ms, int(timeout_ms * self._backoff))

    def record_response(self, duration_ms: int) -> None:
        """Records the time until an answer arrived, even after the timeout."""
        if self._mean_ms:
            duration_ms -= int(self._mean_ms)
            self._mean_ms += _SAMPLE_WEIGHT * duration_ms
        else:
            self._mean_ms = float(duration_ms)
        self._backoff = 1.0

    def record_timeout(self) -> None:
        """Records that no answer arrived in time."""
        self._backoff = min(_MAX_BACKOFF, self._backoff * _BACKOFF_FACTOR)
