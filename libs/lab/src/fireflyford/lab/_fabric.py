"""Stand-in for the fabric: sprays each datagram over the balancers.

Each caller address gets one socket towards the balancers, so that a balancer
sees a distinct source address for each caller and answers to it.
"""

import asyncio
from collections.abc import Sequence
import random
from typing import cast

from fireflyford import core


class _CallerSide(asyncio.DatagramProtocol):
    """Service address towards the callers."""

    def __init__(
        self, balancers: Sequence[core.Address], rng: random.Random
    ) -> None:
        self.balancers = list(balancers)
        self._rng = rng
        self._transport: asyncio.DatagramTransport | None = None
        self._inner: dict[tuple[str, int], asyncio.DatagramTransport] = {}
        self._waiting: dict[tuple[str, int], list[bytes]] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        inner = self._inner.get(addr)
        if inner is not None:
            self._spray(inner, data)
            return
        if addr not in self._waiting:
            self._opening = asyncio.ensure_future(self._open(addr))
        self._waiting.setdefault(addr, []).append(data)

    def _spray(self, inner: asyncio.DatagramTransport, data: bytes) -> None:
        if self.balancers:
            inner.sendto(data, self._rng.choice(self.balancers).pair)

    async def _open(self, addr: tuple[str, int]) -> None:
        assert self._transport is not None
        loop = asyncio.get_running_loop()
        outer = self._transport
        inner, _ = await loop.create_datagram_endpoint(
            lambda: _BalancerSide(outer, addr), local_addr=("127.0.0.1", 0)
        )
        self._inner[addr] = inner
        for data in self._waiting.pop(addr):
            self._spray(inner, data)


class _BalancerSide(asyncio.DatagramProtocol):
    """Address of one caller as the balancers see it."""

    def __init__(
        self, outer: asyncio.DatagramTransport, caller: tuple[str, int]
    ) -> None:
        self._outer = outer
        self._caller = caller

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._outer.sendto(data, self._caller)


class Fabric:
    """Sprays the datagrams of service addresses over balancers."""

    def __init__(self, rng: random.Random) -> None:
        """Takes the random source of the spraying."""
        self._rng = rng
        self._sides: dict[str, _CallerSide] = {}

    async def add_service(
        self,
        service: str,
        address: core.Address,
        balancers: Sequence[core.Address],
    ) -> None:
        """Opens a service address in front of the given balancers."""
        side = _CallerSide(balancers, self._rng)
        self._sides[service] = side
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: side, local_addr=address.pair
        )

    def replace_balancers(
        self, service: str, balancers: Sequence[core.Address]
    ) -> None:
        """Sprays over other balancers from now on."""
        self._sides[service].balancers = list(balancers)
