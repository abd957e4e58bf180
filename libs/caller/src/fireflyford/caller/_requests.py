"""Requests of a caller: tickets, outcomes and the retry budget."""

import asyncio
import collections
from collections.abc import Callable
import contextlib
import dataclasses
import random
import time
import weakref

from fireflyford import core
from fireflyford import requests
from fireflyford.caller import _connection

DEADLINE_HEADER = "fireflyford-deadline-ms"
ERROR_HEADER = "fireflyford-error"
TICKET_HEADER = "fireflyford-ticket"
RETRY_AFTER_HEADER = "retry-after-ms"
_ERROR_KINDS = {kind.value: kind for kind in core.ErrorKind}
_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD"})
# Issuers refuse tickets after 120 s; a younger one leaves time for the way.
_TICKET_USE_LIMIT_S = 100.0
_MAX_SPARE_TICKETS = 32
_MIN_ATTEMPT_MS = 5.0

Connect = Callable[
    [], contextlib.AbstractAsyncContextManager[_connection.Connection]
]


@dataclasses.dataclass(frozen=True)
class Response:
    """The whole answer to a request."""

    status_code: int
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True)
class Call:
    """One request as the caller describes it.

    Attributes:
        method: HTTP method.
        path: HTTP path.
        body: Request body.
        idempotent: Whether running it twice is harmless.
    """

    method: str
    path: str
    body: bytes
    idempotent: bool


@dataclasses.dataclass(frozen=True)
class Attempt:
    """What one attempt gave.

    Attributes:
        outcome: The answer or a failure.
        ticket: Fresh ticket that came with it, or empty.
        answered: Whether the other end has answered at all.
    """

    outcome: core.Outcome[Response]
    ticket: str = ""
    answered: bool = True


class Sender:
    """Sends the requests of one caller; the only layer that retries."""

    def __init__(self, connect: Connect, rng: random.Random) -> None:
        """Prepares a sender.

        Args:
            connect: Opens a connection in place of a lost one.
            rng: Random source of the jitter.
        """
        self._connect = connect
        self._rng = rng
        self._budget = requests.RetryBudget()
        self._tickets: weakref.WeakKeyDictionary[
            _connection.Connection, collections.deque[tuple[float, str]]
        ] = weakref.WeakKeyDictionary()
        self.attempt_count = 0

    async def send(
        self, connection: _connection.Connection, call: Call, deadline_ms: int
    ) -> core.Outcome[Response]:
        """Sends a request until it has an outcome that may not be retried.

        Args:
            connection: Open connection to start with.
            call: The request.
            deadline_ms: Longest useful time for all attempts together.
        """
        end_s = time.monotonic() + deadline_ms / 1000
        async with contextlib.AsyncExitStack() as stack:
            return await self._send(stack, connection, call, end_s)

    async def _send(
        self,
        stack: contextlib.AsyncExitStack,
        connection: _connection.Connection,
        call: Call,
        end_s: float,
    ) -> core.Outcome[Response]:
        ticket = "" if call.idempotent else self._take_ticket(connection)
        asked_for_ticket = False
        while True:
            attempt = await self._attempt(connection, call, ticket, end_s)
            outcome = attempt.outcome
            if isinstance(outcome, core.Ok):
                self._budget.record_success()
                self._keep_ticket(connection, attempt.ticket)
                return outcome
            needs_ticket = outcome.kind is core.ErrorKind.TICKET_REQUIRED
            if needs_ticket and attempt.ticket and not asked_for_ticket:
                asked_for_ticket = True
                ticket = attempt.ticket
                continue
            ask_again = bool(ticket) and not attempt.answered
            if not may_retry(call, outcome, ask_again):
                self._keep_ticket(connection, attempt.ticket)
                return outcome
            if not await self._wait_to_retry(outcome, end_s):
                self._keep_ticket(connection, attempt.ticket)
                return outcome
            if attempt.answered:
                ticket = "" if call.idempotent else attempt.ticket
            if connection.closed or outcome.kind is core.ErrorKind.DRAINING:
                try:
                    connection = await stack.enter_async_context(
                        self._connect()
                    )
                except (ConnectionError, TimeoutError):
                    return outcome

    async def _wait_to_retry(self, failure: core.Failure, end_s: float) -> bool:
        delay_ms = requests.retry_delay_ms(self._rng, failure.retry_after_ms)
        left_ms = (end_s - time.monotonic()) * 1000
        if left_ms < delay_ms + _MIN_ATTEMPT_MS or not self._budget.try_spend():
            return False
        await asyncio.sleep(delay_ms / 1000)
        return True

    async def _attempt(
        self,
        connection: _connection.Connection,
        call: Call,
        ticket: str,
        end_s: float,
    ) -> Attempt:
        left_s = end_s - time.monotonic()
        headers = [(DEADLINE_HEADER, str(max(0, round(left_s * 1000))))]
        if ticket:
            headers.append((TICKET_HEADER, ticket))
        self.attempt_count += 1
        stream = connection.send(
            call.method, call.path, call.body, tuple(headers)
        )
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                return await _collect(stream)
        except TimeoutError:
            stream.cancel()
            failure = core.Failure(
                core.ErrorKind.OUTCOME_UNKNOWN, "no answer before the deadline"
            )
            return Attempt(failure, answered=False)
        except asyncio.CancelledError:
            stream.cancel()
            raise

    def _take_ticket(self, connection: _connection.Connection) -> str:
        spare = self._tickets.get(connection)
        limit_s = time.monotonic() - _TICKET_USE_LIMIT_S
        while spare:
            received_s, ticket = spare.pop()
            if received_s > limit_s:
                return ticket
        return ""

    def _keep_ticket(
        self, connection: _connection.Connection, ticket: str
    ) -> None:
        if ticket:
            spare = self._tickets.setdefault(
                connection, collections.deque(maxlen=_MAX_SPARE_TICKETS)
            )
            spare.append((time.monotonic(), ticket))


def may_retry(call: Call, failure: core.Failure, ask_again: bool) -> bool:
    """Returns whether the same request may be sent again.

    Args:
        call: The request.
        failure: Outcome of the last attempt.
        ask_again: Whether the answer to a ticket was lost; the same ticket
            then asks for the outcome and never starts a second run.
    """
    if failure.spec.execution is core.Execution.NOT_RUN:
        return failure.spec.retry_allowed
    return call.idempotent or ask_again


def make_call(
    method: str, path: str, body: bytes, idempotent: bool | None
) -> Call:
    """Returns a call; GET and HEAD are idempotent unless stated otherwise."""
    if idempotent is None:
        idempotent = method in _IDEMPOTENT_METHODS
    return Call(method, path, body, idempotent)


async def _collect(stream: _connection.Stream) -> Attempt:
    head = _connection.Head(0, {})
    body = bytearray()
    while True:
        event = await stream.events.get()
        if isinstance(event, _connection.Head):
            head = event
        elif isinstance(event, _connection.Data):
            body += event.payload
        elif isinstance(event, _connection.End) and not event.complete:
            failure = core.Failure(
                core.ErrorKind.OUTCOME_UNKNOWN, "the connection ended early"
            )
            return Attempt(failure, answered=False)
        else:
            ticket = head.headers.get(TICKET_HEADER, "")
            return Attempt(_judge(head, bytes(body)), ticket)


def _judge(head: _connection.Head, body: bytes) -> core.Outcome[Response]:
    kind = _ERROR_KINDS.get(head.headers.get(ERROR_HEADER, ""))
    if kind is None:
        return core.Ok(Response(head.status_code, head.headers, body))
    retry_after = head.headers.get(RETRY_AFTER_HEADER, "0")
    delay_ms = int(retry_after) if retry_after.isdecimal() else 0
    return core.Failure(kind, body.decode(errors="replace").strip(), delay_ms)
