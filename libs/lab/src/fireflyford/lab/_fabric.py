"""Stand-in for the network fabric in front of the balancers.

Each datagram goes to a randomly chosen balancer (per-packet load balancing).
Each caller address gets its own socket towards the balancers, so that a
balancer sees a distinct source address for each caller and can reply to it.
"""

import asyncio
from collections.abc import Sequence
import random
from typing import cast

from fireflyford import core


class _ServiceListener(asyncio.DatagramProtocol):
    """Socket on a service address that receives datagrams from callers."""

    def __init__(
        self, balancers: Sequence[core.Address], rng: random.Random
    ) -> None:
        self.balancers = list(balancers)
        self._rng = rng
        self._transport: asyncio.DatagramTransport | None = None
        self._balancer_transports: dict[
            tuple[str, int], asyncio.DatagramTransport
        ] = {}
        self._pending: dict[tuple[str, int], list[bytes]] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        transport = self._balancer_transports.get(addr)
        if transport is not None:
            self._forward(transport, data)
            return
        if addr not in self._pending:
            self._open_task = asyncio.ensure_future(self._open(addr))
        self._pending.setdefault(addr, []).append(data)

    def _forward(
        self, transport: asyncio.DatagramTransport, data: bytes
    ) -> None:
        if self.balancers:
            transport.sendto(data, self._rng.choice(self.balancers).pair)

    async def _open(self, addr: tuple[str, int]) -> None:
        assert self._transport is not None
        loop = asyncio.get_running_loop()
        service_transport = self._transport
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _CallerSocket(service_transport, addr),
            local_addr=("127.0.0.1", 0),
        )
        self._balancer_transports[addr] = transport
        for data in self._pending.pop(addr):
            self._forward(transport, data)


class _CallerSocket(asyncio.DatagramProtocol):
    """Socket whose address represents one caller to the balancers."""

    def __init__(
        self,
        service_transport: asyncio.DatagramTransport,
        caller: tuple[str, int],
    ) -> None:
        self._service_transport = service_transport
        self._caller = caller

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._service_transport.sendto(data, self._caller)


class Fabric:
    """Distributes the datagrams of service addresses among balancers."""

    def __init__(self, rng: random.Random) -> None:
        """Takes the random source for the choice of balancers."""
        self._rng = rng
        self._listeners: dict[str, _ServiceListener] = {}

    async def add_service(
        self,
        service: str,
        address: core.Address,
        balancers: Sequence[core.Address],
    ) -> None:
        """Opens a service address in front of the given balancers."""
        listener = _ServiceListener(balancers, self._rng)
        self._listeners[service] = listener
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: listener, local_addr=address.pair
        )

    def replace_balancers(
        self, service: str, balancers: Sequence[core.Address]
    ) -> None:
        """Replaces the balancers that receive the datagrams of a service."""
        self._listeners[service].balancers = list(balancers)
