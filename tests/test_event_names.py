"""Compares the tables of docs/OPERATIONS.md with the code."""

import ast
import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent
FOLDERS = (
    "libs/flows/src",
    "libs/runtime/src",
    "libs/telemetry/src",
    "platform/src",
)
_QUOTED_NAME = re.compile(r"`([a-z]+(?:[-_][a-z]+)*)`")


def literal_first_arguments(functions: tuple[str, ...]) -> set[str]:
    """Returns the literal first arguments of all calls of the functions."""
    found: set[str] = set()
    for folder in FOLDERS:
        for path in (ROOT / folder).rglob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                if not isinstance(node, ast.Call) or not node.args:
                    continue
                name = ast.unparse(node.func)
                first = node.args[0]
                if name in functions and isinstance(first, ast.Constant):
                    found.add(str(first.value))
    return found


def documented_names(heading: str) -> set[str]:
    """Returns the names in the first column of a table."""
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    table = page.split(f"| {heading} |")[1].split("\n\n")[0]
    found: set[str] = set()
    for line in table.splitlines()[2:]:
        found.update(_QUOTED_NAME.findall(line.split("|")[1]))
    return found


def test_every_event_is_documented() -> None:
    """Guards against log events that are missing in the documentation."""
    logged = literal_first_arguments(("telemetry.log", "log"))
    assert logged | {"log-lines-dropped"} == documented_names("Event")


def test_every_histogram_is_documented() -> None:
    """Guards against histograms that are missing in the documentation."""
    observed = literal_first_arguments(("telemetry.observe",))
    assert observed == documented_names("Histogram")
