"""Tests of tickets and retries in the caller library."""

import asyncio
import contextlib
import random
from typing import Any

from fireflyford import core
from fireflyford.caller import _connection
from fireflyford.caller import _requests

_ScriptedResponse = tuple[core.ErrorKind | None, str] | None


class _ScriptedStream:
    def __init__(self, response: _ScriptedResponse) -> None:
        self.events: asyncio.Queue[_connection.StreamEvent] = asyncio.Queue()
        if response is None:
            self.events.put_nowait(_connection.ResponseEnd(complete=False))
            return
        kind, ticket = response
        headers = {"fireflyford-ticket": ticket}
        if kind is not None:
            headers["fireflyford-error"] = kind.value
        self.events.put_nowait(_connection.ResponseHead(200, headers))
        self.events.put_nowait(_connection.ResponseEnd(complete=True))

    def cancel(self) -> None:
        pass


class _ScriptedConnection:
    """Returns scripted responses; None stands for a lost connection."""

    def __init__(self, *responses: _ScriptedResponse) -> None:
        self.closed = False
        self._responses = list(responses)
        self.tickets: list[str] = []

    def send(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
    ) -> _ScriptedStream:
        del method, path, body
        self.tickets.append(dict(headers).get("fireflyford-ticket", ""))
        return _ScriptedStream(self._responses.pop(0))


def _send(
    connection: _ScriptedConnection, method: str
) -> core.Outcome[_requests.Response]:
    untyped: Any = connection

    def connect() -> Any:
        return contextlib.nullcontext(untyped)

    async def run() -> core.Outcome[_requests.Response]:
        sender = _requests.Sender(connect, random.Random(1))
        request = _requests.make_request(method, "/", b"", None)
        return await sender.send(untyped, request, 1_000)

    return asyncio.run(run())


def test_non_idempotent_request_fetches_ticket_first() -> None:
    """Guards against a non-idempotent request without a ticket."""
    connection = _ScriptedConnection(
        (core.ErrorKind.TICKET_REQUIRED, "t1"), (None, "t2")
    )
    assert isinstance(_send(connection, "POST"), core.Ok)
    assert connection.tickets == ["", "t1"]


def test_refused_request_is_retried_with_new_ticket() -> None:
    """Guards against reusing a ticket whose refusal is final."""
    connection = _ScriptedConnection(
        (core.ErrorKind.TICKET_REQUIRED, "t1"),
        (core.ErrorKind.OVERLOADED, "t2"),
        (None, "t3"),
    )
    assert isinstance(_send(connection, "POST"), core.Ok)
    assert connection.tickets == ["", "t1", "t2"]


def test_unknown_outcome_is_not_retried() -> None:
    """Guards against a second run after an unknown outcome."""
    connection = _ScriptedConnection(
        (core.ErrorKind.TICKET_REQUIRED, "t1"),
        (core.ErrorKind.OUTCOME_UNKNOWN, "t2"),
        (None, "t3"),
    )
    outcome = _send(connection, "POST")
    assert isinstance(outcome, core.Failure)
    assert connection.tickets == ["", "t1"]


def test_request_with_lost_response_is_retried_with_same_ticket() -> None:
    """Guards against a new ticket for a request that may have run."""
    connection = _ScriptedConnection(
        (core.ErrorKind.TICKET_REQUIRED, "t1"), None, (None, "t2")
    )
    assert isinstance(_send(connection, "POST"), core.Ok)
    assert connection.tickets == ["", "t1", "t1"]


def test_idempotent_request_is_retried_within_budget() -> None:
    """Guards against unlimited retries."""
    unknown = (core.ErrorKind.OUTCOME_UNKNOWN, "t")
    connection = _ScriptedConnection(unknown, unknown, unknown)
    assert isinstance(_send(connection, "GET"), core.Failure)
    assert len(connection.tickets) == 2
