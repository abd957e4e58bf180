"""Prometheus text exposition of plain values, without OpenTelemetry."""

from collections.abc import Mapping

METRIC_PREFIX = "fireflyford_"
_COUNT_SUFFIX = "_count"


def expose_counts(values: Mapping[str, float]) -> bytes:
    """Renders counters and gauges in the Prometheus text format.

    Names that end in `_count` are counters, all others are gauges. Importing
    the exporter library would double the memory of a small process.

    >>> print(expose_counts({"reset_count": 2}).decode(), end="")
    # TYPE fireflyford_reset_total counter
    fireflyford_reset_total 2
    """
    lines = []
    for name, value in sorted(values.items()):
        kind = "gauge"
        if name.endswith(_COUNT_SUFFIX):
            kind = "counter"
            name = name.removesuffix(_COUNT_SUFFIX) + "_total"
        lines.append(f"# TYPE {METRIC_PREFIX}{name} {kind}")
        lines.append(f"{METRIC_PREFIX}{name} {float(value):g}")
    return ("\n".join(lines) + "\n").encode()
