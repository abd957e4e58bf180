"""Event counters and duration histograms of one process.

Each new label set adds a dictionary entry, so the number of series is limited;
further series are aggregated under the label `other`.
"""

import bisect
import re

from fireflyford.telemetry import _exposition

# Upper bucket bounds, from the transit time of a packet to the longest time
# that a caller waits.
BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000)
# Limit per process; each series takes about 100 bytes in a scrape.
MAX_SERIES = 300
# Reasons that match become labels; all others are error messages of external
# programs, whose number is unbounded.
_IDENTIFIER_PATTERN = re.compile(r"[a-z0-9_-]{1,40}")
_OVERFLOW_LABEL = "other"


class Histogram:
    """Histogram of durations with fixed buckets.

    >>> histogram = Histogram()
    >>> histogram.record(3)
    >>> histogram.counts[BOUNDS_MS.index(5)]
    1
    """

    def __init__(self) -> None:
        """Starts empty."""
        # The last bucket counts durations above all bounds.
        self.counts = [0] * (len(BOUNDS_MS) + 1)
        self.sum_ms = 0.0

    def record(self, duration_ms: float) -> None:
        """Records a duration."""
        self.counts[bisect.bisect_left(BOUNDS_MS, duration_ms)] += 1
        self.sum_ms += duration_ms


class Instruments:
    """Registry of the counters and histograms of a process."""

    def __init__(self) -> None:
        """Starts empty."""
        self._events: dict[tuple[str, str], int] = {}
        self._histograms: dict[tuple[str, str], Histogram] = {}

    def count(self, event: str, reason: object = "") -> None:
        """Counts an event by name and reason.

        Args:
            event: Name of the event.
            reason: Cause of the event; reasons that are not identifiers are
                counted as `other`.
        """
        label = str(reason)
        if label and not _IDENTIFIER_PATTERN.fullmatch(label):
            label = _OVERFLOW_LABEL
        key = (event, label)
        if key not in self._events and len(self._events) >= MAX_SERIES:
            key = (_OVERFLOW_LABEL, "")
        self._events[key] = self._events.get(key, 0) + 1

    def observe(self, name: str, duration_ms: float, kind: str = "") -> None:
        """Records a duration.

        Args:
            name: Name of the operation.
            duration_ms: Duration of the operation.
            kind: Label that distinguishes series of one name, such as the
                result.
        """
        key = (name, kind)
        histogram = self._histograms.get(key)
        if histogram is None:
            if len(self._histograms) >= MAX_SERIES:
                key = (name, _OVERFLOW_LABEL)
            histogram = self._histograms.setdefault(key, Histogram())
        histogram.record(duration_ms)

    def expose(self) -> bytes:
        """Renders all series in the Prometheus text format.

        >>> instruments = Instruments()
        >>> instruments.count("flow-reset", "no-route")
        >>> print(instruments.expose().decode(), end="")
        # TYPE fireflyford_events_total counter
        fireflyford_events_total{event="flow-reset",reason="no-route"} 1
        """
        lines = []
        if self._events:
            lines.append(
                f"# TYPE {_exposition.METRIC_PREFIX}events_total counter"
            )
        for (event, reason), count in sorted(self._events.items()):
            labels = f'event="{event}",reason="{reason}"'
            lines.append(
                f"{_exposition.METRIC_PREFIX}events_total{{{labels}}} {count}"
            )
        last_declared_name = ""
        for (name, kind), histogram in sorted(self._histograms.items()):
            metric_name = f"{_exposition.METRIC_PREFIX}{name}_ms"
            if name != last_declared_name:
                lines.append(f"# TYPE {metric_name} histogram")
                last_declared_name = name
            lines += _bucket_lines(metric_name, kind, histogram)
        return "".join(f"{line}\n" for line in lines).encode()


def _bucket_lines(name: str, kind: str, histogram: Histogram) -> list[str]:
    lines = []
    cumulative_count = 0
    bounds = [*map(str, BOUNDS_MS), "+Inf"]
    for bound, count in zip(bounds, histogram.counts, strict=True):
        cumulative_count += count
        labels = f'kind="{kind}",le="{bound}"'
        lines.append(f"{name}_bucket{{{labels}}} {cumulative_count}")
    labels = f'kind="{kind}"'
    lines.append(f"{name}_sum{{{labels}}} {histogram.sum_ms:g}")
    lines.append(f"{name}_count{{{labels}}} {cumulative_count}")
    return lines


# Registry of this process.
_registry = Instruments()


def count(event: str, reason: object = "") -> None:
    """Counts an event in this process; see `Instruments.count`."""
    _registry.count(event, reason)


def observe(name: str, duration_ms: float, kind: str = "") -> None:
    """Records a duration in this process; see `Instruments.observe`."""
    _registry.observe(name, duration_ms, kind)


def expose_instruments() -> bytes:
    """Renders the counters and histograms of this process."""
    return _registry.expose()
