"""HTTP status endpoints of one process."""

from collections.abc import Callable
from collections.abc import Mapping
import types
from typing import Any

from tornado import httpserver
from tornado import web

from fireflyford import core
from fireflyford.telemetry import _metrics


class _MetricsHandler(web.RequestHandler):
    """Serves the metrics of the process."""

    def initialize(self, meter: _metrics.Meter) -> None:
        """Stores the meter of the process."""
        self._meter = meter

    def get(self) -> None:
        """Responds with the metrics in the Prometheus text format."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self._meter.expose())


class _HealthHandler(web.RequestHandler):
    """Liveness check: responds with 200 while the event loop runs."""

    def get(self) -> None:
        """Responds with a constant text."""
        self.finish("ok\n")


class _ReadyHandler(web.RequestHandler):
    """Readiness check: responds with 200 if new work is accepted."""

    def initialize(self, ready: Callable[[], bool]) -> None:
        """Stores the readiness check."""
        self._ready = ready

    def get(self) -> None:
        """Responds with 200 or 503."""
        if not self._ready():
            self.set_status(503)
        self.finish("ready\n" if self._ready() else "not ready\n")


class _StatusHandler(web.RequestHandler):
    """Serves the state of the process for the command line."""

    def initialize(self, status: Callable[[], dict[str, Any]]) -> None:
        """Stores the function that returns the state."""
        self._status = status

    def get(self) -> None:
        """Responds with the state as a JSON object."""
        self.finish(self._status())


class _PageHandler(web.RequestHandler):
    """Serves a text of the process for the command line."""

    def initialize(self, read: Callable[[], str]) -> None:
        """Stores the function that returns the text."""
        self._read = read

    def get(self) -> None:
        """Responds with the current text."""
        self.set_header("Content-Type", "text/plain; charset=utf-8")
        self.finish(self._read())


class _DrainHandler(web.RequestHandler):
    """Starts a graceful shutdown."""

    def initialize(self, drain: Callable[[], None]) -> None:
        """Stores the function that starts the shutdown."""
        self._drain = drain

    def post(self) -> None:
        """Starts the shutdown and responds without waiting for it."""
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
    """Starts a server for metrics, health, readiness, status and drain.

    Args:
        address: Address to listen on.
        meter: Metrics of the process.
        ready: Returns whether the process accepts new work.
        status: Returns the state for the command line.
        drain: Starts a graceful shutdown.
        pages: Functions that return additional texts, by path.

    Returns:
        The running server; call its `stop()` method at shutdown.
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
