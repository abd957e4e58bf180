"""Session of a client, which replaces connections that are not usable."""

import asyncio
from collections.abc import Callable
import contextlib

from fireflyford.caller import _connection

_OPEN_TIMEOUT_MS = 3_000
_RETIRE_POLL_INTERVAL_MS = 50


class Session:
    """Provides one usable connection at a time.

    A connection whose target is draining or whose path is silent gets no new
    requests and is closed after its last response.
    """

    def __init__(
        self,
        connect: Callable[
            [], contextlib.AbstractAsyncContextManager[_connection.Connection]
        ],
    ) -> None:
        """Creates a session without a connection.

        Args:
            connect: Opens a connection to the service.
        """
        self._connect = connect
        self._lock = asyncio.Lock()
        self._current: _connection.Connection | None = None
        self._retired: asyncio.Event | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.opened_count = 0

    async def connection(self) -> _connection.Connection:
        """Returns the current connection, or a new one if it is not usable.

        Raises:
            ConnectionError: The connection could not be opened.
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
            task = asyncio.create_task(self._keep_open(opened, self._retired))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            self._current = await opened
            self.opened_count += 1
            return self._current

    async def close(self) -> None:
        """Closes all connections."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _keep_open(
        self,
        opened: "asyncio.Future[_connection.Connection]",
        retired: asyncio.Event,
    ) -> None:
        """Task of one connection; closes it once retired and unused."""
        async with contextlib.AsyncExitStack() as stack:
            try:
                async with asyncio.timeout(_OPEN_TIMEOUT_MS / 1000):
                    connection = await stack.enter_async_context(
                        self._connect()
                    )
            except (OSError, TimeoutError) as error:
                if not opened.cancelled():
                    opened.set_exception(
                        ConnectionError(
                            f"connection could not be opened: {error!r}"
                        )
                    )
                return
            if opened.cancelled():
                return
            opened.set_result(connection)
            await retired.wait()
            while connection.stream_count and not connection.closed:
                await asyncio.sleep(_RETIRE_POLL_INTERVAL_MS / 1000)
