"""Examples in the docstrings of the adapter.

pytest would import the adapter's folder under the name of the standard
library's module `platform`, so the examples are run from here.
"""

import doctest
import importlib
import pkgutil

from fireflyford import platform


def test_examples_hold() -> None:
    """Guards against examples that no longer show what happens."""
    attempted_count = 0
    for found in pkgutil.iter_modules(platform.__path__):
        if found.name == "__main__":
            continue
        module = importlib.import_module(f"{platform.__name__}.{found.name}")
        result = doctest.testmod(module)
        assert result.failed == 0
        attempted_count += result.attempted
    assert attempted_count > 0
