"""Lazy package exports, which import their module on first use."""

from collections.abc import Callable
from collections.abc import Mapping
import importlib
import sys
from typing import Any


def lazy_exports(
    package: str, modules: Mapping[str, tuple[str, ...]]
) -> Callable[[str], Any]:
    """Returns a module-level `__getattr__` for a package (PEP 562).

    Using one name of a package then imports only the module that defines it,
    which shortens the start-up of small processes.

    Args:
        package: Fully qualified name of the package.
        modules: Exported names by private module.
    """
    module_by_name = {
        name: module for module, names in modules.items() for name in names
    }

    def load_export(name: str) -> Any:
        if name not in module_by_name:
            raise AttributeError(
                f"module {package!r} has no attribute {name!r}"
            )
        module = importlib.import_module(f"{package}.{module_by_name[name]}")
        value = getattr(module, name)
        setattr(sys.modules[package], name, value)
        return value

    return load_export
