"""Parser and steps of the scenario language."""

import abc
import asyncio
import dataclasses
import difflib
import importlib.resources
import re

import lark

from fireflyford import core
from fireflyford.lab import experiments
from fireflyford.lab.scenarios import _environment

_UNIT_FACTORS = {"": 1.0, "ms": 1.0, "s": 1000.0, "%": 0.01}


class Step(abc.ABC):
    """One step of a scenario."""

    @abc.abstractmethod
    async def perform(
        self, environment: _environment.Environment
    ) -> experiments.Figure | None:
        """Performs the step; a check returns its figure, other steps None."""


@dataclasses.dataclass(frozen=True)
class Deploy(Step):
    """Starts a deployment."""

    deployment: str
    balancer_count: int

    async def perform(self, environment: _environment.Environment) -> None:
        """Starts the processes."""
        await environment.deploy(self.deployment, self.balancer_count)


@dataclasses.dataclass(frozen=True)
class Feeds(Step):
    """Opens feeds."""

    service: str
    count: int

    async def perform(self, environment: _environment.Environment) -> None:
        """Opens the feeds."""
        await environment.add_feeds(self.service, self.count)


@dataclasses.dataclass(frozen=True)
class Requests(Step):
    """Sends orders or sheets at a constant rate."""

    service: str
    kind: str
    rate_per_s: float
    nominal_ms: float

    async def perform(self, environment: _environment.Environment) -> None:
        """Starts the load."""
        environment.add_requests(
            self.service, self.kind, self.rate_per_s, self.nominal_ms
        )


@dataclasses.dataclass(frozen=True)
class Wait(Step):
    """Waits while the load runs."""

    duration_s: float

    async def perform(self, environment: _environment.Environment) -> None:
        """Waits for the duration."""
        await environment.wait(self.duration_s)


@dataclasses.dataclass(frozen=True)
class Action(Step):
    """A planned change or a fault."""

    name: str
    service: str
    values: tuple[float, ...]

    async def perform(self, environment: _environment.Environment) -> None:
        """Performs the action immediately."""
        await environment.perform_action(
            self.name, self.service, list(self.values)
        )


@dataclasses.dataclass(frozen=True)
class Sometime(Step):
    """An action after a random delay, in the background."""

    limit_s: float
    action: Action

    async def perform(self, environment: _environment.Environment) -> None:
        """Schedules the action after a random delay."""
        delay_s = environment.random_delay_s(self.limit_s)
        values = [delay_s, *self.action.values]
        environment.schedule_action(
            self.action.name, self.action.service, values
        )


@dataclasses.dataclass(frozen=True)
class Twice(Step):
    """An action that is performed twice."""

    action: Action

    async def perform(self, environment: _environment.Environment) -> None:
        """Performs the action twice in a row."""
        await self.action.perform(environment)
        await self.action.perform(environment)


@dataclasses.dataclass(frozen=True)
class Together(Step):
    """Two actions that are performed concurrently."""

    first: Action
    second: Action

    async def perform(self, environment: _environment.Environment) -> None:
        """Performs both actions and waits for them."""
        await asyncio.gather(
            self.first.perform(environment), self.second.perform(environment)
        )


@dataclasses.dataclass(frozen=True)
class Check(Step):
    """An assertion on a measured figure."""

    measure: str
    bound: experiments.Bound
    target: float

    async def perform(
        self, environment: _environment.Environment
    ) -> experiments.Figure:
        """Stops the load and measures the figure."""
        await environment.finish()
        value = await environment.measure(self.measure)
        unit = "ms" if self.measure in _TIME_MEASURES else "1"
        return experiments.Figure(
            self.measure.replace("_", " "),
            value,
            unit,
            self.target,
            self.bound,
        )


_TIME_MEASURES = frozenset(
    {"feed_silence", "orders_p99", "sheets_p99", "config_delay"}
)


class _StepBuilder(lark.Transformer[lark.Token, list[Step]]):
    """Builds the steps from the parse tree."""

    def __default__(
        self, data: str, children: list[object], meta: object
    ) -> object:
        """Converts an action or a measure to its name and arguments."""
        del meta
        names = [str(c) for c in children if _token_type(c) == "NAME"]
        values = tuple(float(str(c)) for c in children if _is_number(c))
        return Action(str(data), names[0] if names else "", values)

    def start(self, children: list[Step]) -> list[Step]:
        return children

    def step(self, children: list[Step]) -> Step:
        return children[0]

    def deployment(self, children: list[lark.Token]) -> Step:
        return Deploy(str(children[0]), int(children[1]))

    def feeds(self, children: list[lark.Token]) -> Step:
        return Feeds(str(children[1]), int(children[0]))

    def orders(self, children: list[lark.Token]) -> Step:
        return _make_requests("orders", children)

    def sheets(self, children: list[lark.Token]) -> Step:
        return _make_requests("sheets", children)

    def wait(self, children: list[lark.Token]) -> Step:
        return Wait(float(children[0]))

    def sometime(self, children: list[object]) -> Step:
        action = children[1]
        assert isinstance(action, Action)
        return Sometime(float(str(children[0])), action)

    def repeat(self, children: list[Action]) -> Step:
        return Twice(children[0])

    def together(self, children: list[Action]) -> Step:
        return Together(children[0], children[1])

    def check(self, children: list[object]) -> Step:
        measure, bound_text, value, *unit = children
        assert isinstance(measure, Action)
        factor = _UNIT_FACTORS[str(unit[0]) if unit else ""]
        bound = experiments.Bound(str(bound_text).replace(" ", "-"))
        return Check(measure.name, bound, float(str(value)) * factor)


def _make_requests(kind: str, children: list[lark.Token]) -> Requests:
    rate, service, nominal_ms = children
    return Requests(str(service), kind, float(rate), float(nominal_ms))


def _token_type(child: object) -> str:
    return str(getattr(child, "type", ""))


def _is_number(child: object) -> bool:
    return _token_type(child) in ("NUMBER", "INT")


def _read_grammar() -> str:
    files = importlib.resources.files("fireflyford.lab.scenarios")
    return (files / "grammar.lark").read_text()


def parse(text: str, name: str) -> core.Outcome[list[Step]]:
    """Parses a scenario.

    Args:
        text: Content of the file.
        name: Name of the file, for error messages.

    Returns:
        The steps, or `BAD_CONFIG` with line, column and the most similar step.
    """
    parser = lark.Lark(_read_grammar(), parser="earley", lexer="dynamic")
    try:
        tree = parser.parse(text)
    except lark.UnexpectedInput as error:
        return _describe_error(text, name, error)
    steps: list[Step] = _StepBuilder().transform(tree)
    return core.Ok(steps)


def _describe_error(
    text: str, name: str, error: lark.UnexpectedInput
) -> core.Failure:
    lines = text.splitlines() or [""]
    line = error.line if 0 < error.line <= len(lines) else len(lines)
    invalid_line = lines[line - 1].strip()
    column = error.column if error.column > 0 else len(invalid_line) + 1
    nearest = difflib.get_close_matches(
        invalid_line, step_templates(), n=1, cutoff=0.0
    )
    return core.Failure(
        core.ErrorKind.BAD_CONFIG,
        f"{name}:{line}:{column}: unknown step `{invalid_line}`; "
        f"the nearest step is `{nearest[0]}`",
    )


def step_templates() -> list[str]:
    """Returns a template of every step, derived from the grammar.

    >>> "kill a balancer" in step_templates()
    True
    >>> "expect feed gaps at most NUMBER" in step_templates()
    True
    """
    rules = _read_grammar().partition("BOUND:")[0]
    steps, _, measures = rules.partition("measure:")
    found = [_make_template(body) for body in _ALTERNATIVE.findall(steps)]
    found += [
        f"expect {_make_template(body)} at most NUMBER"
        for body in _ALTERNATIVE.findall("measure:" + measures)
    ]
    return sorted(found)


# Right-hand side of a grammar alternative that starts with a word or a number.
_ALTERNATIVE = re.compile(r'[:|] ((?:INT |NUMBER )?"[a-z].*)$', re.M)


def _make_template(body: str) -> str:
    text = body.partition("->")[0].replace('"', "")
    return " ".join(text.replace("?", "").split())
