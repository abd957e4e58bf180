"""OpenTelemetry metrics with Prometheus text exposition."""

from collections.abc import Callable
from collections.abc import Iterable

from opentelemetry import metrics
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics
import prometheus_client


class Meter:
    """OpenTelemetry instruments of one process.

    Hot paths update plain integers, which observable instruments read only
    during collection. This avoids OpenTelemetry calls per packet.
    """

    def __init__(self) -> None:
        """Creates a meter with a Prometheus reader."""
        reader = prometheus.PrometheusMetricReader()
        provider = sdk_metrics.MeterProvider(metric_readers=[reader])
        self._meter = provider.get_meter("fireflyford")

    def counter(
        self, name: str, read: Callable[[], int], unit: str = "1"
    ) -> None:
        """Registers a counter whose value `read` returns."""
        self._meter.create_observable_counter(
            name, callbacks=[_make_callback(read)], unit=unit
        )

    def gauge(
        self, name: str, read: Callable[[], float], unit: str = "1"
    ) -> None:
        """Registers a gauge whose value `read` returns."""
        self._meter.create_observable_gauge(
            name, callbacks=[_make_callback(read)], unit=unit
        )

    def histogram(self, name: str, unit: str) -> metrics.Histogram:
        """Creates a histogram that the caller records to."""
        return self._meter.create_histogram(name, unit=unit)

    def expose(self) -> bytes:
        """Renders all instruments in the Prometheus text format."""
        return prometheus_client.generate_latest()


def _make_callback(
    read: Callable[[], float],
) -> Callable[[metrics.CallbackOptions], Iterable[metrics.Observation]]:
    def observe(
        options: metrics.CallbackOptions,
    ) -> Iterable[metrics.Observation]:
        del options
        return [metrics.Observation(read())]

    return observe
