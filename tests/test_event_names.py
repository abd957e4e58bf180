"""The table of log events in docs/OPERATIONS.md against the code."""

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
_NAME = re.compile(r"`([a-z]+(?:-[a-z]+)*)`")


def logged_events() -> set[str]:
    found = {"log-lines-dropped"}
    for folder in FOLDERS:
        for path in (ROOT / folder).rglob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                if not isinstance(node, ast.Call) or not node.args:
                    continue
                name = ast.unparse(node.func)
                first = node.args[0]
                if name in ("telemetry.log", "log") and isinstance(
                    first, ast.Constant
                ):
                    found.add(str(first.value))
    return found


def documented_events() -> set[str]:
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    table = page.split("| Event |")[1].split("\n\n")[0]
    found: set[str] = set()
    for line in table.splitlines()[2:]:
        found.update(_NAME.findall(line.split("|")[1]))
    return found


def test_every_event_is_documented() -> None:
    """Guards against events that an on-call engineer cannot look up."""
    assert logged_events() == documented_events()
