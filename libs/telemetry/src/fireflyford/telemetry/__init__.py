"""Logs, metrics and status endpoints."""

from fireflyford.telemetry._logs import configure_logs
from fireflyford.telemetry._logs import format_line
from fireflyford.telemetry._logs import log
from fireflyford.telemetry._logs import log_task_failure
from fireflyford.telemetry._metrics import Meter
from fireflyford.telemetry._status import serve_status

__all__ = [
    "Meter",
    "configure_logs",
    "format_line",
    "log",
    "log_task_failure",
    "serve_status",
]
