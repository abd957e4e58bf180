"""Checks of the workspace's layout."""

import ast
import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent
LIBS = ROOT / "libs"
ADAPTER = ROOT / "platform" / "src"
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
    "flows",
    "requests",
    "caller",
    "runtime",
    "balancer",
    "agent",
    "cli",
    "lab",
)
# Decision libraries take typed values only; encodings stay elsewhere.
DECISIONS = ("routing", "flows", "requests")
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


def test_only_the_adapter_knows_the_platform() -> None:
    """Guards against the platform's formats in the product itself."""
    for library in ORDER[:-1]:
        for path in sources(library):
            for module in imported_modules(path):
                assert not module.startswith("fireflyford.platform"), path


def test_the_adapter_uses_what_front_ends_may_use() -> None:
    """Guards against an adapter that decides or goes around interfaces."""
    allowed = {"core", "telemetry", "store", "flows", "runtime", "platform"}
    for path in ADAPTER.rglob("*.py"):
        for module in imported_modules(path):
            parts = module.split(".")
            if parts[0] != "fireflyford" or len(parts) < 2:
                continue
            assert parts[1] in allowed, f"{path.name}: {module}"
            if parts[1] != "platform" and len(parts) > 2:
                assert not parts[2].startswith("_"), f"{path}: {module}"


def test_a_flow_process_starts_small() -> None:
    """Guards against libraries that only the QUIC front end needs."""
    heavy = ("aioquic", "pynng", "fire", "opentelemetry", "cryptography")
    check = (
        "import sys, fireflyford.platform.__main__;"
        f"print([name for name in {heavy!r} if name in sys.modules])"
    )
    found = subprocess.run(
        [sys.executable, "-c", check],
        capture_output=True,
        check=True,
        text=True,
        cwd=ROOT / "tests",
    )
    assert found.stdout.strip() == "[]"


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
