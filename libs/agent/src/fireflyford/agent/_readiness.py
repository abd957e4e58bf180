"""Waits for the backend server before the agent announces its target."""

import asyncio

from fireflyford import core

_POLL_MS = 50


async def wait_for_backend(clock: core.Clock, address: core.Address) -> None:
    """Waits until the backend server accepts connections.

    A target announced earlier would draw requests that nobody can run. Health
    endpoints may mislead, so this asks for a connection only.
    """
    while not await _accepts_connections(address):
        await clock.sleep(_POLL_MS)


async def _accepts_connections(address: core.Address) -> bool:
    try:
        _, writer = await asyncio.open_connection(address.host, address.port)
    except OSError:
        return False
    writer.close()
    return True
