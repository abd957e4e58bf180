"""Names of a package that load their module at the first use."""

from collections.abc import Callable
from collections.abc import Mapping
import importlib
import sys
from typing import Any


def lazy_exports(
    package: str, modules: Mapping[str, tuple[str, ...]]
) -> Callable[[str], Any]:
    """Returns a `__getattr__` for a package (PEP 562).

    A process that uses one name of a package then loads only the module of
    that name, which keeps the start of small processes short.

    Args:
        package: Full name of the package.
        modules: Exported names by the private module that defines them.
    """
    owners = {
        name: module for module, names in modules.items() for name in names
    }

    def load(name: str) -> Any:
        if name not in owners:
            raise AttributeError(
                f"module {package!r} has no attribute {name!r}"
            )
        module = importlib.import_module(f"{package}.{owners[name]}")
        value = getattr(module, name)
        setattr(sys.modules[package], name, value)
        return value

    return load
