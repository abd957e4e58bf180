"""Logs, metrics and status endpoints."""

import typing

from fireflyford import core

if typing.TYPE_CHECKING:
    from fireflyford.telemetry._exposition import expose_counts
    from fireflyford.telemetry._instruments import expose_instruments
    from fireflyford.telemetry._instruments import observe
    from fireflyford.telemetry._logs import configure_logs
    from fireflyford.telemetry._logs import format_line
    from fireflyford.telemetry._logs import log
    from fireflyford.telemetry._logs import log_task_failure
    from fireflyford.telemetry._metrics import Meter
    from fireflyford.telemetry._status import serve_status

__all__ = [
    "Meter",
    "configure_logs",
    "expose_counts",
    "expose_instruments",
    "format_line",
    "log",
    "log_task_failure",
    "observe",
    "serve_status",
]

__getattr__ = core.lazy_exports(
    __name__,
    {
        "_exposition": ("expose_counts",),
        "_instruments": ("expose_instruments", "observe"),
        "_logs": (
            "configure_logs",
            "format_line",
            "log",
            "log_task_failure",
        ),
        "_metrics": ("Meter",),
        "_status": ("serve_status",),
    },
)
