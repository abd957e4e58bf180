"""Checks what callers were told against what backend servers ran."""

from collections.abc import Sequence
import dataclasses
import enum

from fireflyford import core


@dataclasses.dataclass(frozen=True)
class Told:
    """An answer that a caller received.

    Attributes:
        request: Name of the caller's order, over all its tickets.
        ticket: Name of the ticket that the answer belongs to.
        execution: What the answer says; `RAN` for a complete answer and for
            a failure after the run.
        body: Body of a complete answer, else None.
    """

    request: str
    ticket: str
    execution: core.Execution
    body: bytes | None = None


@dataclasses.dataclass(frozen=True)
class Ran:
    """A start of work at a backend server."""

    request: str
    ticket: str
    backend: str


class Rule(enum.Enum):
    """What every history must keep."""

    RAN_TWICE = "ran-twice"
    NOT_RUN_BUT_RAN = "not-run-but-ran"
    COMPLETE_BUT_NOT_RUN = "complete-but-not-run"
    WRONG_ANSWER = "wrong-answer"
    DIFFERENT_ANSWERS = "different-answers"


@dataclasses.dataclass(frozen=True)
class Violation:
    """A broken rule."""

    rule: Rule
    request: str
    ticket: str


def check(
    told: Sequence[Told], ran: Sequence[Ran], bodies: dict[str, bytes]
) -> list[Violation]:
    """Returns every violation of a finished history.

    Args:
        told: All answers.
        ran: All starts of work.
        bodies: Expected body of a complete answer, by ticket.
    """
    found = _check_runs(ran)
    ran_tickets = {item.ticket for item in ran}
    for item in told:
        found += _check_answer(item, ran_tickets, bodies)
    found += _check_agreement(told)
    return found


def _check_runs(ran: Sequence[Ran]) -> list[Violation]:
    seen: set[str] = set()
    found = []
    for item in ran:
        if item.request in seen:
            found.append(Violation(Rule.RAN_TWICE, item.request, item.ticket))
        seen.add(item.request)
    return found


def _check_answer(
    item: Told, ran_tickets: set[str], bodies: dict[str, bytes]
) -> list[Violation]:
    rules = []
    has_run = item.ticket in ran_tickets
    if item.execution is core.Execution.NOT_RUN and has_run:
        rules.append(Rule.NOT_RUN_BUT_RAN)
    if item.execution is core.Execution.RAN and not has_run:
        rules.append(Rule.COMPLETE_BUT_NOT_RUN)
    if item.body is not None and item.body != bodies.get(item.ticket):
        rules.append(Rule.WRONG_ANSWER)
    return [Violation(rule, item.request, item.ticket) for rule in rules]


def _check_agreement(told: Sequence[Told]) -> list[Violation]:
    first: dict[str, core.Execution] = {}
    found = []
    for item in told:
        if item.execution is core.Execution.UNKNOWN:
            continue
        known = first.setdefault(item.ticket, item.execution)
        if known is not item.execution:
            found.append(
                Violation(Rule.DIFFERENT_ANSWERS, item.request, item.ticket)
            )
    return found
