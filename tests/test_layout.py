"""Checks the layout of the workspace and the imports between libraries."""

import ast
import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent
LIBS = ROOT / "libs"
ADAPTER = ROOT / "platform" / "src"
# Each library may import only those before it.
LAYERS = (
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
# Libraries of decision code take typed values; they do not encode or decode.
DECISION_LIBRARIES = ("routing", "flows", "requests")
ENCODING_MODULES = frozenset({"socket", "struct", "aioquic", "pynng"})


def imported_modules(path: pathlib.Path) -> set[str]:
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            found.add(node.module)
            found.update(f"{node.module}.{alias.name}" for alias in node.names)
    return found


def source_files(library: str) -> list[pathlib.Path]:
    return sorted((LIBS / library / "src").rglob("*.py"))


@pytest.mark.parametrize("library", LAYERS)
def test_libraries_import_only_lower_layers(library: str) -> None:
    """Guards against a library that imports one of a higher layer."""
    allowed = set(LAYERS[: LAYERS.index(library) + 1])
    for path in source_files(library):
        for module in imported_modules(path):
            parts = module.split(".")
            if parts[0] == "fireflyford" and len(parts) > 1:
                assert parts[1] in allowed, f"{path.name} imports {module}"


def test_libraries_do_not_import_platform() -> None:
    """Guards against dependencies of libraries on the platform's formats."""
    for library in LAYERS[:-1]:
        for path in source_files(library):
            for module in imported_modules(path):
                assert not module.startswith("fireflyford.platform"), path


def test_adapter_imports_only_front_end_libraries() -> None:
    """Guards against decision code or private imports in the adapter."""
    allowed = {"core", "telemetry", "store", "flows", "runtime", "platform"}
    for path in ADAPTER.rglob("*.py"):
        for module in imported_modules(path):
            parts = module.split(".")
            if parts[0] != "fireflyford" or len(parts) < 2:
                continue
            assert parts[1] in allowed, f"{path.name}: {module}"
            if parts[1] != "platform" and len(parts) > 2:
                assert not parts[2].startswith("_"), f"{path}: {module}"


def test_platform_process_does_not_import_quic_front_end_dependencies() -> None:
    """Guards against loading libraries that only the QUIC front end needs.

    Processes on the platform are small and restart often.
    """
    quic_only = (
        "aioquic",
        "pynng",
        "fire",
        "opentelemetry",
        "cryptography",
    )
    program = (
        "import sys, fireflyford.platform._programs;"
        f"print([name for name in {quic_only!r} if name in sys.modules])"
    )
    found = subprocess.run(
        [sys.executable, "-c", program],
        capture_output=True,
        check=True,
        text=True,
        cwd=ROOT / "tests",
    )
    assert found.stdout.strip() == "[]"


@pytest.mark.parametrize("library", LAYERS)
def test_libraries_import_no_private_modules_of_other_libraries(
    library: str,
) -> None:
    """Guards against imports that bypass another library's interface."""
    for path in source_files(library):
        for module in imported_modules(path):
            parts = module.split(".")
            if parts[0] != "fireflyford" or len(parts) < 3:
                continue
            if parts[1] != library:
                assert not parts[2].startswith("_"), f"{path}: {module}"


@pytest.mark.parametrize("library", DECISION_LIBRARIES)
def test_decision_libraries_import_no_encodings(library: str) -> None:
    """Guards against sockets or message encodings in decision code."""
    for path in source_files(library):
        packages = {module.split(".")[0] for module in imported_modules(path)}
        assert not packages & ENCODING_MODULES, path
        assert "fireflyford.wire" not in imported_modules(path), path
