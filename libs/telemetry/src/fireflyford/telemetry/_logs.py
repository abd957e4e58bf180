"""Structured logs: one line of key=value pairs per event, using eliot."""

import asyncio
import json
import re
from typing import TextIO

import eliot

from fireflyford.telemetry import _instruments
from fireflyford.telemetry import _writer

_UNQUOTED_PATTERN = re.compile(r"[A-Za-z0-9_.:/@+-]+")
_OMITTED_FIELDS = frozenset(
    {"task_uuid", "task_level", "message_type", "timestamp"}
)


# Log writer of this process, None until logs are configured.
_active_writer: _writer.LineWriter | None = None


def configure_logs(stream: TextIO, instance_id: str) -> None:
    """Writes each event as one line to `stream` without blocking.

    Args:
        stream: Open text stream, usually standard error.
        instance_id: Instance ID that is added to each line.
    """
    eliot.add_global_fields(instance=instance_id)

    global _active_writer
    writer = _writer.LineWriter(stream)
    _active_writer = writer

    def write(message: dict[str, object]) -> None:
        writer.write(format_line(message))

    eliot.add_destinations(write)


def format_line(message: dict[str, object]) -> str:
    """Formats an eliot message as a log line.

    >>> format_line({"timestamp": 1.5, "message_type": "start", "port": 80})
    'time=1.500 event=start port=80'
    """
    pairs = [
        f"time={message.get('timestamp', 0):.3f}",
        f"event={message.get('message_type', 'unnamed')}",
    ]
    pairs += [
        f"{key}={_format_value(value)}"
        for key, value in message.items()
        if key not in _OMITTED_FIELDS
    ]
    return " ".join(pairs)


def log(event: str, **fields: object) -> None:
    """Logs an event and counts it by name and `reason`.

    Args:
        event: Name of the event in words joined by hyphens.
        **fields: Fields of the event, with names that end in their unit.
    """
    _instruments.count(event, fields.get("reason", ""))
    if _active_writer is not None and not _active_writer.admit():
        return
    eliot.log_message(message_type=event, **fields)


def log_task_failure(task: asyncio.Task[None]) -> None:
    """Logs the exception of a background task; use as its done callback."""
    if not task.cancelled() and task.exception() is not None:
        log("task-failed", task=task.get_name(), reason=repr(task.exception()))


def _format_value(value: object) -> str:
    text = str(value)
    return text if _UNQUOTED_PATTERN.fullmatch(text) else json.dumps(text)
