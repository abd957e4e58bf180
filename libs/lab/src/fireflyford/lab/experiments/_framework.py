"""What an experiment is, and the result that it gives."""

import abc
import dataclasses
import enum


class Bound(enum.Enum):
    """Side on which a target bounds a figure."""

    AT_MOST = "at-most"
    AT_LEAST = "at-least"


@dataclasses.dataclass(frozen=True)
class Figure:
    """One measured figure.

    Attributes:
        name: Name of the figure.
        value: Measured value.
        unit: Unit of the value; `ratio` and `1` are units too.
        target: Stated target, or None for a figure without one.
        bound: Side of the target that is allowed.
    """

    name: str
    value: float
    unit: str
    target: float | None = None
    bound: Bound = Bound.AT_MOST

    @property
    def ok(self) -> bool:
        """Whether the figure keeps its target."""
        if self.target is None:
            return True
        if self.bound is Bound.AT_MOST:
            return self.value <= self.target
        return self.value >= self.target


@dataclasses.dataclass(frozen=True)
class Series:
    """Points for a picture.

    Attributes:
        name: Name of the series.
        x_label: Label with unit.
        y_label: Label with unit.
        points: Pairs of x and y.
    """

    name: str
    x_label: str
    y_label: str
    points: tuple[tuple[float, float], ...]


@dataclasses.dataclass(frozen=True)
class Result:
    """Result of one run of an experiment."""

    name: str
    seed: int
    figures: tuple[Figure, ...]
    series: tuple[Series, ...] = ()

    @property
    def ok(self) -> bool:
        """Whether every figure keeps its target."""
        return all(figure.ok for figure in self.figures)


class Experiment(abc.ABC):
    """A measurement with real processes or with decision code alone."""

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """Name on the command line."""

    @property
    @abc.abstractmethod
    def summary(self) -> str:
        """One line for the list."""

    @abc.abstractmethod
    async def run(self, seed: int) -> Result:
        """Runs once.

        Args:
            seed: Seed of everything random in the run.
        """
