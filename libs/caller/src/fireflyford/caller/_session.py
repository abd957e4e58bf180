"""A caller's current connection, replaced when it should not be used."""

import asyncio
from collections.abc import Callable
import contextlib

from fireflyford.caller import _connection

_OPEN_LIMIT_MS = 3_000
_RETIRE_POLL_MS = 50


class Session:
    """Hands out one usable connection at a time.

    A connection whose target leaves, or whose path is silent, gets no more
    requests; it is closed when its last answer has arrived.
    """

    def __init__(
        self,
        connect: Callable[
            [], contextlib.AbstractAsyncContextManager[_connection.Connection]
        ],
    ) -> None:
        """Prepares a session without a connection.

        Args:
            connect: Opens a connection to the service.
        """
        self._connect = connect
        self._lock = asyncio.Lock()
        self._current: _connection.Connection | None = None
        self._retired: asyncio.Event | None = None
        self._holders: set[asyncio.Task[None]] = set()
        self.opened_count = 0

    async def connection(self) -> _connection.Connection:
        """Returns the current connection, or opens another one.

        Raises:
            ConnectionError: No connection could be opened.
        """
        async with self._lock:
            if self._current is not None and self._current.usable:
                return self._current
            if self._retired is not None:
                self._retired.set()
            opened: asyncio.Future[_connection.Connection] = (
                asyncio.get_running_loop().create_future()
            )
            self._retired = asyncio.Event()
            holder = asyncio.create_task(self._hold(opened, self._retired))
            self._holders.add(holder)
            holder.add_done_callback(self._holders.discard)
            self._current = await opened
            self.opened_count += 1
            return self._current

    async def close(self) -> None:
        """Closes all connections."""
        holders = list(self._holders)
        for holder in holders:
            holder.cancel()
        await asyncio.gather(*holders, return_exceptions=True)

    async def _hold(
        self,
        opened: "asyncio.Future[_connection.Connection]",
        retired: asyncio.Event,
    ) -> None:
        """Keeps one connection open; one task for each connection."""
        async with contextlib.AsyncExitStack() as stack:
            try:
                async with asyncio.timeout(_OPEN_LIMIT_MS / 1000):
                    connection = await stack.enter_async_context(
                        self._connect()
                    )
            except (OSError, TimeoutError) as error:
                if not opened.cancelled():
                    opened.set_exception(
                        ConnectionError(f"not opened: {error!r}")
                    )
                return
            if opened.cancelled():
                return
            opened.set_result(connection)
            await retired.wait()
            while connection.stream_count and not connection.closed:
                await asyncio.sleep(_RETIRE_POLL_MS / 1000)
