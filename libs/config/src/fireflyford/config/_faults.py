"""Faults of a configuration and their position."""

import dataclasses
import enum

# Names of fields and indices of list elements, from the outermost one.
Path = tuple[str | int, ...]


class Severity(enum.Enum):
    """Whether a fault prevents a push.

    ERROR: the configuration is not accepted.
    WARNING: it is accepted, but a part of it has no effect or cannot hold.
    """

    ERROR = "error"
    WARNING = "warning"


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault of a configuration.

    Attributes:
        path: Position of the value at fault.
        message: What is wrong and what to change.
        severity: Whether the fault prevents a push.
    """

    path: Path
    message: str
    severity: Severity = Severity.ERROR


def format_path(path: Path) -> str:
    """Formats a path as in messages of the parser.

    >>> format_path(("services", 0, "name"))
    '$.services[0].name'
    """
    return "$" + "".join(
        f"[{item}]" if isinstance(item, int) else f".{item}" for item in path
    )
