"""Tickets and retries of the caller library."""

import asyncio
import contextlib
import random
from typing import Any

from fireflyford import core
from fireflyford.caller import _connection
from fireflyford.caller import _requests

_Step = tuple[core.ErrorKind | None, str] | None


class _Stream:
    def __init__(self, step: _Step) -> None:
        self.events: asyncio.Queue[_connection.Event] = asyncio.Queue()
        if step is None:
            self.events.put_nowait(_connection.End(complete=False))
            return
        kind, ticket = step
        headers = {"fireflyford-ticket": ticket}
        if kind is not None:
            headers["fireflyford-error"] = kind.value
        self.events.put_nowait(_connection.Head(200, headers))
        self.events.put_nowait(_connection.End(complete=True))

    def cancel(self) -> None:
        pass


class _Connection:
    """Gives scripted answers; None is a connection that breaks."""

    def __init__(self, *steps: _Step) -> None:
        self.closed = False
        self._steps = list(steps)
        self.tickets: list[str] = []

    def send(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
    ) -> _Stream:
        del method, path, body
        self.tickets.append(dict(headers).get("fireflyford-ticket", ""))
        return _Stream(self._steps.pop(0))


def _send(
    connection: _Connection, method: str
) -> core.Outcome[_requests.Response]:
    other: Any = connection

    def connect() -> Any:
        return contextlib.nullcontext(other)

    async def run() -> core.Outcome[_requests.Response]:
        sender = _requests.Sender(connect, random.Random(1))
        call = _requests.make_call(method, "/", b"", None)
        return await sender.send(other, call, 1_000)

    return asyncio.run(run())


def test_order_fetches_a_ticket_first() -> None:
    """Guards against an order that runs without a ticket."""
    connection = _Connection(
        (core.ErrorKind.TICKET_REQUIRED, "t1"), (None, "t2")
    )
    assert isinstance(_send(connection, "POST"), core.Ok)
    assert connection.tickets == ["", "t1"]


def test_refused_order_is_retried_with_a_fresh_ticket() -> None:
    """Guards against a final refusal that is presented again."""
    connection = _Connection(
        (core.ErrorKind.TICKET_REQUIRED, "t1"),
        (core.ErrorKind.OVERLOADED, "t2"),
        (None, "t3"),
    )
    assert isinstance(_send(connection, "POST"), core.Ok)
    assert connection.tickets == ["", "t1", "t2"]


def test_unknown_order_is_not_retried() -> None:
    """Guards against a second run after an unknown outcome."""
    connection = _Connection(
        (core.ErrorKind.TICKET_REQUIRED, "t1"),
        (core.ErrorKind.OUTCOME_UNKNOWN, "t2"),
        (None, "t3"),
    )
    outcome = _send(connection, "POST")
    assert isinstance(outcome, core.Failure)
    assert connection.tickets == ["", "t1"]


def test_lost_answer_is_asked_for_with_the_same_ticket() -> None:
    """Guards against a fresh ticket for an order that may have run."""
    connection = _Connection(
        (core.ErrorKind.TICKET_REQUIRED, "t1"), None, (None, "t2")
    )
    assert isinstance(_send(connection, "POST"), core.Ok)
    assert connection.tickets == ["", "t1", "t1"]


def test_idempotent_work_is_retried_within_the_budget() -> None:
    """Guards against retries without end."""
    unknown = (core.ErrorKind.OUTCOME_UNKNOWN, "t")
    connection = _Connection(unknown, unknown, unknown)
    assert isinstance(_send(connection, "GET"), core.Failure)
    assert len(connection.tickets) == 2
