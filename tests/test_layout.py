"""Checks of the workspace's layout."""

import ast
import pathlib

import pytest

LIBS = pathlib.Path(__file__).parent.parent / "libs"
# A library may use only those before it.
ORDER = (
    "core",
    "config",
    "settings",
    "telemetry",
    "wire",
    "store",
    "membership",
    "routing",
    "requests",
    "caller",
    "balancer",
    "agent",
    "cli",
    "lab",
)
# Decision libraries take typed values only; encodings stay elsewhere.
DECISIONS = ("routing", "requests")
ENCODINGS = frozenset({"socket", "struct", "aioquic", "pynng"})


def imported_modules(path: pathlib.Path) -> set[str]:
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            found.add(node.module)
            found.update(f"{node.module}.{alias.name}" for alias in node.names)
    return found


def sources(library: str) -> list[pathlib.Path]:
    return sorted((LIBS / library / "src").rglob("*.py"))


@pytest.mark.parametrize("library", ORDER)
def test_dependencies_point_one_way(library: str) -> None:
    """Guards against a library that imports one built on top of it."""
    allowed = set(ORDER[: ORDER.index(library) + 1])
    for path in sources(library):
        for module in imported_modules(path):
            parts = module.split(".")
            if parts[0] == "fireflyford" and len(parts) > 1:
                assert parts[1] in allowed, f"{path.name} imports {module}"


@pytest.mark.parametrize("library", ORDER)
def test_private_modules_stay_private(library: str) -> None:
    """Guards against imports that go around another library's interface."""
    for path in sources(library):
        for module in imported_modules(path):
            parts = module.split(".")
            if parts[0] != "fireflyford" or len(parts) < 3:
                continue
            if parts[1] != library:
                assert not parts[2].startswith("_"), f"{path}: {module}"


@pytest.mark.parametrize("library", DECISIONS)
def test_decisions_never_see_encodings(library: str) -> None:
    """Guards against sockets or encodings in decision code."""
    for path in sources(library):
        roots = {module.split(".")[0] for module in imported_modules(path)}
        assert not roots & ENCODINGS, path
        assert "fireflyford.wire" not in imported_modules(path), path
