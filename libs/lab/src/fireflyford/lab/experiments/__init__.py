"""Named experiments.

A module lists its experiments in a tuple `EXPERIMENTS`, which `find_all` reads.
"""

import importlib
import pkgutil

from fireflyford.lab.experiments._framework import Bound
from fireflyford.lab.experiments._framework import Experiment
from fireflyford.lab.experiments._framework import Figure
from fireflyford.lab.experiments._framework import Result
from fireflyford.lab.experiments._framework import Series

__all__ = ["Bound", "Experiment", "Figure", "Result", "Series", "find_all"]


def find_all() -> dict[str, Experiment]:
    """Returns every experiment by name."""
    found: dict[str, Experiment] = {}
    for info in pkgutil.iter_modules(__path__):
        module = importlib.import_module(f"{__name__}.{info.name}")
        for experiment in getattr(module, "EXPERIMENTS", ()):
            found[experiment.name] = experiment
    return dict(sorted(found.items()))
