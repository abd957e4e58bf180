"""Requests of a caller, and feeds that resume."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses

from fireflyford import core
from fireflyford.caller import _connection
from fireflyford.caller import _feeds

OUTCOME_HEADER = "fireflyford-outcome"
ERROR_HEADER = "fireflyford-error"
_ERROR_KINDS = {kind.value: kind for kind in core.ErrorKind}


@dataclasses.dataclass(frozen=True)
class Reply:
    """The whole answer to a request."""

    status_code: int
    headers: dict[str, str]
    body: bytes


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
    ) -> core.Outcome[Reply]:
        """Sends one request and waits for its whole answer.

        Args:
            connection: An open connection of this caller.
            method: HTTP method.
            path: HTTP path.
            body: Request body.
            deadline_ms: Longest useful time for the answer.

        Returns:
            The answer, or a failure that says whether the work ran.
        """
        headers = (("fireflyford-deadline-ms", str(deadline_ms)),)
        stream = connection.send(method, path, body, headers)
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                return await _collect(stream)
        except TimeoutError:
            stream.cancel()
            return core.Failure(
                core.ErrorKind.OUTCOME_UNKNOWN, "no answer before the deadline"
            )

    async def feed(
        self,
        path: str,
        after: int = 0,
        report: _feeds.FeedReport | None = None,
    ) -> AsyncIterator[_feeds.FeedEvent]:
        """Yields the events of a feed, in order, each once.

        The feed moves to another connection when its target leaves, and is
        resumed when its connection breaks.

        Args:
            path: HTTP path of the feed.
            after: Sequence number of the last event already seen.
            report: Counts what happened to the feed.

        Raises:
            FeedRefusedError: The service refuses the feed for good.
        """
        reader = _feeds.FeedReader(
            self.connect, path, after, report or _feeds.FeedReport()
        )
        try:
            async for event in reader.events():
                yield event
        finally:
            reader.close()


async def _collect(stream: _connection.Stream) -> core.Outcome[Reply]:
    head = _connection.Head(0, {})
    body = bytearray()
    while True:
        event = await stream.events.get()
        if isinstance(event, _connection.Head):
            head = event
        elif isinstance(event, _connection.Data):
            body += event.payload
        elif isinstance(event, _connection.End) and not event.complete:
            return core.Failure(
                core.ErrorKind.OUTCOME_UNKNOWN, "the connection ended early"
            )
        else:
            return _judge(head, bytes(body))


def _judge(head: _connection.Head, body: bytes) -> core.Outcome[Reply]:
    kind = _ERROR_KINDS.get(head.headers.get(ERROR_HEADER, ""))
    if kind is None:
        return core.Ok(Reply(head.status_code, head.headers, body))
    retry_after = head.headers.get("retry-after-ms", "0")
    return core.Failure(kind, body.decode().strip(), int(retry_after))
