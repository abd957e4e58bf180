"""Requests of a caller, and feeds that resume."""

from collections.abc import AsyncIterator
import contextlib
import random

from fireflyford import core
from fireflyford.caller import _connection
from fireflyford.caller import _feeds
from fireflyford.caller import _requests


class Client:
    """A caller of one service."""

    def __init__(
        self,
        address: core.Address,
        service: str,
        authorities_path: str,
        token: str = "",
    ) -> None:
        """Prepares a caller.

        Args:
            address: Service address.
            service: Name of the service.
            authorities_path: PEM file with the authorities to trust.
            token: Caller token of a closed service.
        """
        self._token = token
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
            self._address, self._service, self._authorities_path, self._token
        )

    async def request(
        self,
        connection: _connection.Connection,
        method: str,
        path: str,
        body: bytes = b"",
        deadline_ms: int = 5_000,
        idempotent: bool | None = None,
    ) -> core.Outcome[_requests.Response]:
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

    async def feed(
        self,
        path: str,
        after: int = 0,
        statistics: _feeds.FeedStatistics | None = None,
    ) -> AsyncIterator[_feeds.FeedEvent]:
        """Yields the events of a feed, in order, each once.

        The feed moves to another connection when its target leaves, and is
        resumed when its connection breaks.

        Args:
            path: HTTP path of the feed.
            after: Sequence number of the last event already seen.
            statistics: Counts what happened to the feed.

        Raises:
            FeedRefusedError: The service refuses the feed for good.
        """
        reader = _feeds.FeedReader(
            self.connect, path, after, statistics or _feeds.FeedStatistics()
        )
        try:
            async for event in reader.events():
                yield event
        finally:
            reader.close()
