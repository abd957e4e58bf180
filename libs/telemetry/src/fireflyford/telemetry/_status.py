"""Status endpoints of one process, served by tornado."""

from collections.abc import Callable
from collections.abc import Mapping
import types
from typing import Any

from tornado import httpserver
from tornado import web

from fireflyford import core
from fireflyford.telemetry import _metrics


class _MetricsHandler(web.RequestHandler):
    """Text exposition of the metrics."""

    def initialize(self, meter: _metrics.Meter) -> None:
        """Takes the meter of the process."""
        self._meter = meter

    def get(self) -> None:
        """Answers with the current values."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self._meter.expose())


class _HealthHandler(web.RequestHandler):
    """Answers 200 while the event loop runs."""

    def get(self) -> None:
        """Answers with a fixed text."""
        self.finish("ok\n")


class _ReadyHandler(web.RequestHandler):
    """Answers 200 only while the process takes new work."""

    def initialize(self, ready: Callable[[], bool]) -> None:
        """Takes the readiness check."""
        self._ready = ready

    def get(self) -> None:
        """Answers 200 or 503."""
        if not self._ready():
            self.set_status(503)
        self.finish("ready\n" if self._ready() else "not ready\n")


class _StatusHandler(web.RequestHandler):
    """State of the process for the command line."""

    def initialize(self, status: Callable[[], dict[str, Any]]) -> None:
        """Takes the function that describes the process."""
        self._status = status

    def get(self) -> None:
        """Answers with one JSON object."""
        self.finish(self._status())


class _PageHandler(web.RequestHandler):
    """A text of the process, for the command line."""

    def initialize(self, read: Callable[[], str]) -> None:
        """Takes the function that returns the text."""
        self._read = read

    def get(self) -> None:
        """Answers with the current text."""
        self.set_header("Content-Type", "text/plain; charset=utf-8")
        self.finish(self._read())


class _DrainHandler(web.RequestHandler):
    """Starts a graceful shutdown."""

    def initialize(self, drain: Callable[[], None]) -> None:
        """Takes the function that starts the drain."""
        self._drain = drain

    def post(self) -> None:
        """Starts the drain and answers at once."""
        self._drain()
        self.set_status(202)
        self.finish("draining\n")


def serve_status(
    address: core.Address,
    meter: _metrics.Meter,
    ready: Callable[[], bool],
    status: Callable[[], dict[str, Any]],
    drain: Callable[[], None],
    pages: Mapping[str, Callable[[], str]] = types.MappingProxyType({}),
) -> httpserver.HTTPServer:
    """Listens for metrics, health, readiness, status and drain requests.

    Args:
        address: Where to listen.
        meter: Metrics of the process.
        ready: Whether the process takes new work.
        status: Returns the state for the command line.
        drain: Starts a graceful shutdown.
        pages: Further texts by path.

    Returns:
        The running server; call `stop()` on it at shutdown.
    """
    application = web.Application(
        [
            ("/metrics", _MetricsHandler, {"meter": meter}),
            ("/healthz", _HealthHandler),
            ("/readyz", _ReadyHandler, {"ready": ready}),
            ("/status", _StatusHandler, {"status": status}),
            ("/drain", _DrainHandler, {"drain": drain}),
            *(
                (path, _PageHandler, {"read": read})
                for path, read in pages.items()
            ),
        ],
        log_function=lambda handler: None,
    )
    return application.listen(address.port, address.host)
