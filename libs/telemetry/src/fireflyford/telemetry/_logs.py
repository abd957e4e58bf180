"""Logs: one line of key=value pairs for each event, through eliot."""

import asyncio
import json
import re
from typing import TextIO

import eliot

from fireflyford.telemetry import _instruments
from fireflyford.telemetry import _writer

_PLAIN = re.compile(r"[A-Za-z0-9_.:/@+-]+")
_HIDDEN = frozenset({"task_uuid", "task_level", "message_type", "timestamp"})


# Writer of this process, None while logs go nowhere.
_active_writer: _writer.LineWriter | None = None


def configure_logs(stream: TextIO, instance_id: str) -> None:
    """Writes every event to `stream`, one line each, without waiting.

    Args:
        stream: Open text stream, usually standard error.
        instance_id: Added to every line.
    """
    eliot.add_global_fields(instance=instance_id)

    global _active_writer
    writer = _writer.LineWriter(stream)
    _active_writer = writer

    def write(message: dict[str, object]) -> None:
        writer.write(format_line(message))

    eliot.add_destinations(write)


def format_line(message: dict[str, object]) -> str:
    """Formats one eliot message.

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
        if key not in _HIDDEN
    ]
    return " ".join(pairs)


def log(event: str, **fields: object) -> None:
    """Logs one event and counts it by its name and `reason`.

    Args:
        event: Name of the event, words joined by hyphens.
        **fields: Values of the event, names ending in their unit.
    """
    _instruments.count(event, fields.get("reason", ""))
    if _active_writer is not None and not _active_writer.admit():
        return
    eliot.log_message(message_type=event, **fields)


def log_task_failure(task: asyncio.Task[None]) -> None:
    """Logs why a background task ended; use it as its done callback."""
    if not task.cancelled() and task.exception() is not None:
        log("task-failed", task=task.get_name(), reason=repr(task.exception()))


def _format_value(value: object) -> str:
    text = str(value)
    return text if _PLAIN.fullmatch(text) else json.dumps(text)
