"""The story of one flow, from the logs of all instances."""

from collections.abc import Iterable
import dataclasses
import pathlib
import re

from fireflyford import core

# How long before the last line of a flow other events may be its cause: the
# deadline of most requests.
CAUSE_WINDOW_S = 4.0
# Events that concern all flows of the instance that logs them.
_CAUSES = frozenset(
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
_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)')


@dataclasses.dataclass(frozen=True)
class Line:
    """One log line.

    Attributes:
        time_s: Time of day, Unix seconds.
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


def parse_line(text: str) -> Line | None:
    """Reads a log line, None for any other text.

    >>> parse_line("time=1.5 event=started instance=agent-1").event
    'started'
    """
    fields = {key: value.strip('"') for key, value in _PAIR.findall(text)}
    try:
        time_s = float(fields["time"])
    except (KeyError, ValueError):
        return None
    return Line(
        time_s,
        fields.get("event", ""),
        fields.get("instance", ""),
        fields.get("flow", ""),
        text.strip(),
    )


def tell(lines: Iterable[Line], flow: str) -> list[Line]:
    """Returns the lines of a flow, and what may have caused its end.

    Args:
        lines: Lines of all instances, in any order.
        flow: The flow, or a part of its text such as the client's address.
    """
    known = sorted(lines, key=lambda line: line.time_s)
    story = [line for line in known if flow in line.flow]
    if not story:
        return []
    instances = {line.instance for line in story}
    end_s = story[-1].time_s
    causes = [
        line
        for line in known
        if line.event in _CAUSES
        and line.instance in instances
        and end_s - CAUSE_WINDOW_S <= line.time_s <= end_s + CAUSE_WINDOW_S
    ]
    return sorted([*story, *causes], key=lambda line: line.time_s)


def trace(flow: str, paths: tuple[str, ...]) -> core.Outcome[str]:
    """Reads log files and tells the story of a flow."""
    lines: list[Line] = []
    for path in paths:
        try:
            text = pathlib.Path(path).read_text(errors="replace")
        except OSError as error:
            return core.Failure(core.ErrorKind.BAD_REQUEST, str(error))
        found = map(parse_line, text.splitlines())
        lines += [line for line in found if line is not None]
    story = tell(lines, flow)
    if not story:
        return core.Failure(
            core.ErrorKind.BAD_REQUEST,
            f"no line of {len(lines)} names the flow {flow}; flows are "
            "written `client ip:port>route ip:port`",
        )
    return core.Ok("\n".join(line.text for line in story))
