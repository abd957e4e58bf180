"""Log lines of one flow, from the logs of all instances."""

from collections.abc import Iterable
import dataclasses
import pathlib
import re

from fireflyford import core

# Events within this time of the last line of a flow may have caused its end.
# Equals the deadline of most requests.
CAUSE_WINDOW_S = 4.0
# Events that concern all flows of the instance that logs them.
_CAUSE_EVENTS = frozenset(
    {
        "target-down",
        "target-silent",
        "target-state",
        "target-left",
        "started",
        "stopping",
        "store-lost",
        "store-regained",
        "config-applied",
        "log-lines-dropped",
    }
)
_FIELD_PATTERN = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)')


@dataclasses.dataclass(frozen=True)
class LogLine:
    """One log line.

    Attributes:
        time_s: Unix time in seconds.
        event: Name of the event.
        instance: Instance that logged it.
        flow: Flow that it concerns, empty for none.
        text: The whole line.
    """

    time_s: float
    event: str
    instance: str
    flow: str
    text: str


def parse_line(text: str) -> LogLine | None:
    """Parses a log line; returns None for any other text.

    >>> parse_line("time=1.5 event=started instance=agent-1").event
    'started'
    """
    fields = {
        key: value.strip('"') for key, value in _FIELD_PATTERN.findall(text)
    }
    try:
        time_s = float(fields["time"])
    except (KeyError, ValueError):
        return None
    return LogLine(
        time_s,
        fields.get("event", ""),
        fields.get("instance", ""),
        fields.get("flow", ""),
        text.strip(),
    )


def select_lines(lines: Iterable[LogLine], flow: str) -> list[LogLine]:
    """Selects the lines of a flow and events that may have caused its end.

    Args:
        lines: Lines of all instances, in any order.
        flow: The flow, or a part of its text such as the client's address.
    """
    sorted_lines = sorted(lines, key=lambda line: line.time_s)
    selected = [line for line in sorted_lines if flow in line.flow]
    if not selected:
        return []
    instances = {line.instance for line in selected}
    end_s = selected[-1].time_s
    causes = [
        line
        for line in sorted_lines
        if line.event in _CAUSE_EVENTS
        and line.instance in instances
        and end_s - CAUSE_WINDOW_S <= line.time_s <= end_s + CAUSE_WINDOW_S
    ]
    return sorted([*selected, *causes], key=lambda line: line.time_s)


def trace(flow: str, paths: tuple[str, ...]) -> core.Outcome[str]:
    """Returns the lines of a flow, and possible causes, from log files."""
    lines: list[LogLine] = []
    for path in paths:
        try:
            text = pathlib.Path(path).read_text(errors="replace")
        except OSError as error:
            return core.Failure(core.ErrorKind.BAD_REQUEST, str(error))
        found = map(parse_line, text.splitlines())
        lines += [line for line in found if line is not None]
    selected = select_lines(lines, flow)
    if not selected:
        return core.Failure(
            core.ErrorKind.BAD_REQUEST,
            f"none of {len(lines)} log lines has the flow {flow}; flows are "
            "written `client ip:port>route ip:port`",
        )
    return core.Ok("\n".join(line.text for line in selected))
