"""Client of a service: requests, and feeds that resume."""

from collections.abc import AsyncIterator
import contextlib
import random

from fireflyford import core
from fireflyford.caller import _connection
from fireflyford.caller import _feeds
from fireflyford.caller import _requests


class Client:
    """Client of one service."""

    def __init__(
        self,
        address: core.Address,
        service: str,
        authorities_path: str,
        token: str = "",
    ) -> None:
        """Creates a client; opens no connection.

        Args:
            address: Address of the service.
            service: Name of the service.
            authorities_path: PEM file with the trusted certificate authorities.
            token: Caller token, if the service requires one.
        """
        self._token = token
        self._address = address
        self._service = service
        self._authorities_path = authorities_path
        self._sender = _requests.Sender(self.connect, random.SystemRandom())

    @property
    def attempt_count(self) -> int:
        """Number of attempts, including those that fetch a ticket."""
        return self._sender.attempt_count

    def connect(
        self,
    ) -> contextlib.AbstractAsyncContextManager[_connection.Connection]:
        """Returns a context manager that opens a connection."""
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
        """Sends a request and waits for its complete response.

        A request that is not idempotent carries a ticket, so it runs at most
        once. Refused requests are retried within a retry budget.

        Args:
            connection: An open connection of this client.
            method: HTTP method.
            path: HTTP path.
            body: Request body.
            deadline_ms: Time limit for the response, retries included.
            idempotent: Whether the request may run more than once; by default
                true for GET and HEAD only.

        Returns:
            The response, or a failure that tells whether the request ran.
        """
        request = _requests.make_request(method, path, body, idempotent)
        return await self._sender.send(connection, request, deadline_ms)

    async def feed(
        self,
        path: str,
        after: int = 0,
        statistics: _feeds.FeedStatistics | None = None,
    ) -> AsyncIterator[_feeds.FeedEvent]:
        """Yields each event of a feed once and in order.

        The feed moves to another connection when its target is draining, and
        resumes on another one when its connection fails.

        Args:
            path: HTTP path of the feed.
            after: Sequence number of the last event already received.
            statistics: Counters to update.

        Raises:
            FeedRefusedError: The service refuses the feed permanently.
        """
        reader = _feeds.FeedReader(
            self.connect, path, after, statistics or _feeds.FeedStatistics()
        )
        try:
            async for event in reader.events():
                yield event
        finally:
            reader.close()
