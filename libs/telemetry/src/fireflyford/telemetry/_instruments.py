"""Counts of events and histograms of durations of one process.

Both grow by one dictionary entry for each new name, so their number is
bounded; what exceeds the bound is counted under the label `other`.
"""

import bisect
import re

from fireflyford.telemetry import _exposition

# Upper bounds of the buckets: from one packet's way to the longest wait of a
# client.
BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000)
# Series of one process; each takes some 100 bytes in a reading.
MAX_SERIES = 300
# Reasons that name a kind; others are texts of foreign programs.
_KIND = re.compile(r"[a-z0-9_-]{1,40}")
_OTHER = "other"


class Histogram:
    """Durations by bucket.

    >>> histogram = Histogram()
    >>> histogram.add(3)
    >>> histogram.counts[BOUNDS_MS.index(5)]
    1
    """

    def __init__(self) -> None:
        """Starts empty."""
        # One more than bounds, for longer durations.
        self.counts = [0] * (len(BOUNDS_MS) + 1)
        self.sum_ms = 0.0

    def add(self, duration_ms: float) -> None:
        """Adds one duration."""
        self.counts[bisect.bisect_left(BOUNDS_MS, duration_ms)] += 1
        self.sum_ms += duration_ms


class Instruments:
    """All counts and histograms of a process."""

    def __init__(self) -> None:
        """Starts empty."""
        self._events: dict[tuple[str, str], int] = {}
        self._histograms: dict[tuple[str, str], Histogram] = {}

    def count(self, event: str, reason: object = "") -> None:
        """Counts an event by its name and reason.

        Args:
            event: Name of the event.
            reason: Why it happened; a text that names no kind counts as
                `other`.
        """
        label = str(reason)
        if label and not _KIND.fullmatch(label):
            label = _OTHER
        key = (event, label)
        if key not in self._events and len(self._events) >= MAX_SERIES:
            key = (_OTHER, "")
        self._events[key] = self._events.get(key, 0) + 1

    def observe(self, name: str, duration_ms: float, kind: str = "") -> None:
        """Adds a duration.

        Args:
            name: Name of what took the time.
            duration_ms: The time.
            kind: Distinguishes durations of one name, such as the result.
        """
        key = (name, kind)
        histogram = self._histograms.get(key)
        if histogram is None:
            if len(self._histograms) >= MAX_SERIES:
                key = (name, _OTHER)
            histogram = self._histograms.setdefault(key, Histogram())
        histogram.add(duration_ms)

    def expose(self) -> bytes:
        """Returns everything in the Prometheus text format.

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
        described = ""
        for (name, kind), histogram in sorted(self._histograms.items()):
            full = f"{_exposition.METRIC_PREFIX}{name}_ms"
            if name != described:
                lines.append(f"# TYPE {full} histogram")
                described = name
            lines += _bucket_lines(full, kind, histogram)
        return "".join(f"{line}\n" for line in lines).encode()


def _bucket_lines(name: str, kind: str, histogram: Histogram) -> list[str]:
    lines = []
    total = 0
    edges = [*map(str, BOUNDS_MS), "+Inf"]
    for edge, count in zip(edges, histogram.counts, strict=True):
        total += count
        labels = f'kind="{kind}",le="{edge}"'
        lines.append(f"{name}_bucket{{{labels}}} {total}")
    labels = f'kind="{kind}"'
    lines.append(f"{name}_sum{{{labels}}} {histogram.sum_ms:g}")
    lines.append(f"{name}_count{{{labels}}} {total}")
    return lines


# The instruments of this process.
_active = Instruments()


def count(event: str, reason: object = "") -> None:
    """Counts an event of this process; see `Instruments.count`."""
    _active.count(event, reason)


def observe(name: str, duration_ms: float, kind: str = "") -> None:
    """Adds a duration of this process; see `Instruments.observe`."""
    _active.observe(name, duration_ms, kind)


def expose_instruments() -> bytes:
    """Returns the counts and histograms of this process as text."""
    return _active.expose()
