"""Metrics by OpenTelemetry, exposed as text."""

from collections.abc import Callable
from collections.abc import Iterable

from opentelemetry import metrics
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics
import prometheus_client


class Meter:
    """Instruments of one process.

    Hot paths count in plain integers; the instruments read them when the
    metrics are collected, so that counting costs nothing for each packet.
    """

    def __init__(self) -> None:
        """Prepares a meter with the text exporter."""
        reader = prometheus.PrometheusMetricReader()
        provider = sdk_metrics.MeterProvider(metric_readers=[reader])
        self._meter = provider.get_meter("fireflyford")

    def count(
        self, name: str, read: Callable[[], int], unit: str = "1"
    ) -> None:
        """Registers a counter read through `read`."""
        self._meter.create_observable_counter(
            name, callbacks=[_observer(read)], unit=unit
        )

    def gauge(
        self, name: str, read: Callable[[], float], unit: str = "1"
    ) -> None:
        """Registers a gauge read through `read`."""
        self._meter.create_observable_gauge(
            name, callbacks=[_observer(read)], unit=unit
        )

    def histogram(self, name: str, unit: str) -> metrics.Histogram:
        """Creates a histogram."""
        return self._meter.create_histogram(name, unit=unit)

    def expose(self) -> bytes:
        """Returns the text exposition of all instruments."""
        return prometheus_client.generate_latest()


def _observer(
    read: Callable[[], float],
) -> Callable[[metrics.CallbackOptions], Iterable[metrics.Observation]]:
    def observe(
        options: metrics.CallbackOptions,
    ) -> Iterable[metrics.Observation]:
        del options
        return [metrics.Observation(read())]

    return observe
