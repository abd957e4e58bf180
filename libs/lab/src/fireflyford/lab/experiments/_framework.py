"""Interface of experiments and types of their results."""

import abc
import dataclasses
import enum


class Bound(enum.Enum):
    """Whether a target is an upper or a lower bound of a figure."""

    AT_MOST = "at-most"
    AT_LEAST = "at-least"


@dataclasses.dataclass(frozen=True)
class Figure:
    """One measured figure.

    Attributes:
        name: Name of the figure.
        value: Measured value.
        unit: Unit of the value; dimensionless values use `ratio` or `1`.
        target: Target of the value, or None for a figure without one.
        bound: Whether the target is an upper or a lower bound.
    """

    name: str
    value: float
    unit: str
    target: float | None = None
    bound: Bound = Bound.AT_MOST

    @property
    def ok(self) -> bool:
        """Whether the figure meets its target."""
        if self.target is None:
            return True
        if self.bound is Bound.AT_MOST:
            return self.value <= self.target
        return self.value >= self.target


@dataclasses.dataclass(frozen=True)
class Series:
    """Data points of one line of a plot.

    Attributes:
        name: Name of the series.
        x_label: Label of the axis, with its unit.
        y_label: Label of the axis, with its unit.
        points: Pairs of x and y values.
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
        """Whether every figure meets its target."""
        return all(figure.ok for figure in self.figures)


class Experiment(abc.ABC):
    """A measurement of real processes, or of decision code in virtual time."""

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """Name on the command line."""

    @property
    @abc.abstractmethod
    def summary(self) -> str:
        """One-line description that `list` prints."""

    @abc.abstractmethod
    async def run(self, seed: int) -> Result:
        """Runs the experiment once.

        Args:
            seed: Seed of all random choices of the run.
        """
