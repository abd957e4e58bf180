"""Whether the backend server beside this agent accepts connections."""

import asyncio
from collections.abc import Callable

from tornado import iostream
from tornado import tcpclient

from fireflyford import core
from fireflyford import telemetry

CHECK_INTERVAL_MS = 500
_START_POLL_MS = 50
_CONNECT_LIMIT_S = 1.0
# A refused connection is a loss at once. One that takes too long may only
# mean that this instance is short of CPU, so several are needed.
_MAX_TIMEOUTS = 3


class BackendWatch:
    """Checks the backend server; one task."""

    def __init__(self, clock: core.Clock, address: core.Address) -> None:
        """Prepares the watch; `run` drives it.

        Args:
            clock: Source of time.
            address: Where the backend server listens.
        """
        self._clock = clock
        self._address = address
        self._client = tcpclient.TCPClient()
        self._listeners: list[Callable[[bool], None]] = []
        # A backend server that starts after its agent is not lost.
        self._seen = False
        self._timeout_count = 0
        self.up = True

    def on_change(self, listener: Callable[[bool], None]) -> None:
        """Calls `listener` with whether the backend server is up."""
        self._listeners.append(listener)

    async def connect(self) -> iostream.IOStream:
        """Opens a connection to the backend server.

        Raises:
            OSError: It does not accept connections.
        """
        async with asyncio.timeout(_CONNECT_LIMIT_S):
            return await self._client.connect(*self._address.pair)

    async def check(self) -> bool:
        """Returns whether the backend server accepts connections now."""
        try:
            stream = await self.connect()
        except TimeoutError:
            self._timeout_count += 1
            if self._timeout_count >= _MAX_TIMEOUTS:
                self._note(False)
        except OSError:
            self._note(False)
        else:
            stream.close()
            self._timeout_count = 0
            self._note(True)
        return self.up

    async def wait_until_seen(self) -> None:
        """Waits until the backend server has accepted a connection.

        A target announced earlier would draw requests that nobody can run.
        Health endpoints may mislead, so this asks for a connection only.
        """
        while True:
            await self.check()
            if self._seen:
                return
            await self._clock.sleep(_START_POLL_MS)

    async def run(self) -> None:
        """Checks until cancelled."""
        while True:
            await self.check()
            await self._clock.sleep(CHECK_INTERVAL_MS)

    def _note(self, reachable: bool) -> None:
        if reachable:
            self._seen = True
        if reachable == self.up or not self._seen:
            return
        self.up = reachable
        telemetry.log("backend-found" if reachable else "backend-lost")
        for listener in self._listeners:
            listener(reachable)
