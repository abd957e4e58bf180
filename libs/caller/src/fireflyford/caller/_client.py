"""Requests of a caller, and feeds that resume."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json
import random

from fireflyford import core
from fireflyford.caller import _connection
from fireflyford.caller import _requests

FEED_SILENCE_LIMIT_MS = 4_000


@dataclasses.dataclass(frozen=True)
class FeedEvent:
    """One event of a feed.

    Attributes:
        sequence: Position in the feed; consecutive events differ by one.
        value: Content of the event.
    """

    sequence: int
    value: object


class Client:
    """A caller of one service."""

    def __init__(
        self, address: core.Address, service: str, authorities_path: str
    ) -> None:
        """Prepares a caller.

        Args:
            address: Service address.
            service: Name of the service.
            authorities_path: PEM file with the authorities to trust.
        """
        self._address = address
        self._service = service
        self._authorities_path = authorities_path
        self._sender = _requests.Sender(self.connect, random.SystemRandom())

    @property
    def attempt_count(self) -> int:
        """Attempts of all requests, those that fetch a ticket included."""
        return self._sender.attempt_count

    def connect(
        self,
    ) -> contextlib.AbstractAsyncContextManager[_connection.Connection]:
        """Opens a connection; use it with `async with`."""
        return _connection.open_connection(
            self._address, self._service, self._authorities_path
        )

    async def request(
        self,
        connection: _connection.Connection,
        method: str,
        path: str,
        body: bytes = b"",
        deadline_ms: int = 5_000,
        idempotent: bool | None = None,
    ) -> core.Outcome[_requests.Reply]:
        """Sends one request and waits for its whole answer.

        Work that is not idempotent carries a ticket, so it runs at most once.
        Refused work is retried under the retry budget of this caller.

        Args:
            connection: An open connection of this caller.
            method: HTTP method.
            path: HTTP path.
            body: Request body.
            deadline_ms: Longest useful time for the answer.
            idempotent: Whether running it twice is harmless; by default
                true for GET and HEAD only.

        Returns:
            The answer, or a failure that says whether the work ran.
        """
        call = _requests.make_call(method, path, body, idempotent)
        return await self._sender.send(connection, call, deadline_ms)

    async def feed(self, path: str, after: int = 0) -> AsyncIterator[FeedEvent]:
        """Yields the events of a feed, and resumes it when its flow breaks.

        Args:
            path: HTTP path of the feed.
            after: Sequence number of the last event already seen.
        """
        while True:
            async with self.connect() as connection:
                stream = connection.send("GET", f"{path}?after={after}")
                async for event in _read_events(stream):
                    if event.sequence > after:
                        after = event.sequence
                        yield event


async def _read_events(
    stream: _connection.Stream,
) -> AsyncIterator[FeedEvent]:
    rest = b""
    while True:
        try:
            async with asyncio.timeout(FEED_SILENCE_LIMIT_MS / 1000):
                event = await stream.events.get()
        except TimeoutError:
            return
        if isinstance(event, _connection.End):
            return
        if isinstance(event, _connection.Data):
            *lines, rest = (rest + event.payload).split(b"\n")
            for line in lines:
                fields = json.loads(line)
                yield FeedEvent(fields["sequence"], fields["value"])
