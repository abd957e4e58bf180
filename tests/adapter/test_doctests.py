"""Runs the examples in the docstrings of the adapter.

pytest would import the adapter's folder as `platform`, the name of a module of
the standard library.
"""

import doctest
import importlib
import pkgutil

from fireflyford import platform


def test_docstring_examples_pass() -> None:
    """Guards against examples that do not match the code."""
    attempted_count = 0
    for found in pkgutil.iter_modules(platform.__path__):
        if found.name == "__main__":
            continue
        module = importlib.import_module(f"{platform.__name__}.{found.name}")
        result = doctest.testmod(module)
        assert result.failed == 0
        attempted_count += result.attempted
    assert attempted_count > 0
