"""Checks the answers that callers received against what was executed."""

from collections.abc import Sequence
import dataclasses
import enum

from fireflyford import core


@dataclasses.dataclass(frozen=True)
class Answer:
    """Answer that a caller received.

    Attributes:
        request: Name of the order; all tickets of an order share it.
        ticket: Name of the ticket that the answer belongs to.
        execution: Whether the work ran according to the answer; `RAN` for a
            complete answer and for a failure after execution.
        body: Body of a complete answer, else None.
    """

    request: str
    ticket: str
    execution: core.Execution
    body: bytes | None = None


@dataclasses.dataclass(frozen=True)
class ExecutionRecord:
    """Start of the execution of a request at a backend server."""

    request: str
    ticket: str
    backend: str


class Rule(enum.Enum):
    """Consistency rules of a history, named by their violation.

    Attributes:
        RAN_TWICE: A request was executed more than once.
        NOT_RUN_BUT_RAN: An answer says "not run", but the work was executed.
        COMPLETE_BUT_NOT_RUN: An answer says that the work ran, but it was not
            executed.
        WRONG_ANSWER: The body of a complete answer is wrong.
        DIFFERENT_ANSWERS: Two answers to one ticket contradict each other.
    """

    RAN_TWICE = "ran-twice"
    NOT_RUN_BUT_RAN = "not-run-but-ran"
    COMPLETE_BUT_NOT_RUN = "complete-but-not-run"
    WRONG_ANSWER = "wrong-answer"
    DIFFERENT_ANSWERS = "different-answers"


@dataclasses.dataclass(frozen=True)
class Violation:
    """Violation of a rule by a request."""

    rule: Rule
    request: str
    ticket: str


def check(
    answers: Sequence[Answer],
    executions: Sequence[ExecutionRecord],
    bodies: dict[str, bytes],
) -> list[Violation]:
    """Returns all violations of a complete history.

    Args:
        answers: All answers that callers received.
        executions: All starts of work at backend servers.
        bodies: Expected body of a complete answer, by ticket.
    """
    found = _check_executions(executions)
    executed_tickets = {item.ticket for item in executions}
    for item in answers:
        found += _check_answer(item, executed_tickets, bodies)
    found += _check_agreement(answers)
    return found


def _check_executions(executions: Sequence[ExecutionRecord]) -> list[Violation]:
    seen: set[str] = set()
    found = []
    for item in executions:
        if item.request in seen:
            found.append(Violation(Rule.RAN_TWICE, item.request, item.ticket))
        seen.add(item.request)
    return found


def _check_answer(
    item: Answer, executed_tickets: set[str], bodies: dict[str, bytes]
) -> list[Violation]:
    rules = []
    has_run = item.ticket in executed_tickets
    if item.execution is core.Execution.NOT_RUN and has_run:
        rules.append(Rule.NOT_RUN_BUT_RAN)
    if item.execution is core.Execution.RAN and not has_run:
        rules.append(Rule.COMPLETE_BUT_NOT_RUN)
    if item.body is not None and item.body != bodies.get(item.ticket):
        rules.append(Rule.WRONG_ANSWER)
    return [Violation(rule, item.request, item.ticket) for rule in rules]


def _check_agreement(answers: Sequence[Answer]) -> list[Violation]:
    first: dict[str, core.Execution] = {}
    found = []
    for item in answers:
        if item.execution is core.Execution.UNKNOWN:
            continue
        known = first.setdefault(item.ticket, item.execution)
        if known is not item.execution:
            found.append(
                Violation(Rule.DIFFERENT_ANSWERS, item.request, item.ticket)
            )
    return found
