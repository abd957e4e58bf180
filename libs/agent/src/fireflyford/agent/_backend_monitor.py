"""Health check of the local backend server by TCP connection."""

import asyncio
from collections.abc import Callable

from tornado import iostream
from tornado import tcpclient

from fireflyford import core
from fireflyford import telemetry

CHECK_INTERVAL_MS = 500
_START_POLL_MS = 50
_CONNECT_TIMEOUT_S = 1.0
# A refused connection counts as a loss at once. A timeout may only mean that
# this instance is short of CPU, so several in a row are required.
_MAX_TIMEOUTS = 3


class BackendMonitor:
    """Monitor of the backend server, driven by a single task."""

    def __init__(self, clock: core.Clock, address: core.Address) -> None:
        """Initializes the monitor; `run` drives it.

        Args:
            clock: Source of time.
            address: Address on which the backend server listens.
        """
        self._clock = clock
        self._address = address
        self._client = tcpclient.TCPClient()
        self._listeners: list[Callable[[bool], None]] = []
        # Until the first connection, an unreachable backend server counts as
        # starting, not as lost.
        self._has_connected = False
        self._timeout_count = 0
        self.is_up = True

    def on_change(self, listener: Callable[[bool], None]) -> None:
        """Registers a listener, which is passed the new value of `is_up`."""
        self._listeners.append(listener)

    async def connect(self) -> iostream.IOStream:
        """Opens a connection to the backend server.

        Raises:
            OSError: The backend server does not accept connections.
        """
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            return await self._client.connect(*self._address.pair)

    async def check(self) -> bool:
        """Connects to the backend server; returns whether it counts as up."""
        try:
            stream = await self.connect()
        except TimeoutError:
            self._timeout_count += 1
            if self._timeout_count >= _MAX_TIMEOUTS:
                self._update_state(False)
        except OSError:
            self._update_state(False)
        else:
            stream.close()
            self._timeout_count = 0
            self._update_state(True)
        return self.is_up

    async def wait_until_reachable(self) -> None:
        """Waits until the backend server has accepted a connection.

        A target announced earlier would receive requests that it cannot run.
        Health endpoints may be misleading, so only a connection is required.
        """
        while True:
            await self.check()
            if self._has_connected:
                return
            await self._clock.sleep(_START_POLL_MS)

    async def run(self) -> None:
        """Checks periodically until cancelled."""
        while True:
            await self.check()
            await self._clock.sleep(CHECK_INTERVAL_MS)

    def _update_state(self, reachable: bool) -> None:
        if reachable:
            self._has_connected = True
        if reachable == self.is_up or not self._has_connected:
            return
        self.is_up = reachable
        telemetry.log("backend-found" if reachable else "backend-lost")
        for listener in self._listeners:
            listener(reachable)
