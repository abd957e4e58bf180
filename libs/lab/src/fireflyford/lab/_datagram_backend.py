"""UDP echo service of the simulated backend server."""

import asyncio
from typing import cast

from fireflyford import core


class _Echo(asyncio.DatagramProtocol):
    """Replies to each datagram with the server's name and the datagram."""

    def __init__(self, name: str) -> None:
        self._name = name.encode()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._transport.sendto(self._name + b" " + data, addr)


async def open_echo(address: core.Address, name: str) -> None:
    """Starts the echo service on an address until the process exits."""
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(
        lambda: _Echo(name), local_addr=address.pair
    )
