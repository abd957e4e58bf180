"""Links of the fault proxy: forwarded datagrams and TCP streams."""

import abc
import asyncio
import collections
import contextlib
import enum
import socket
import struct
import time
from typing import cast

from fireflyford import core
from fireflyford.lab import _faults

# Position of the caller's address and port in a forwarding header.
_CALLER_BYTES = slice(24, 42)
_READ_BYTES = 64 << 10
_FREEZE_POLL_INTERVAL_S = 0.05


class LinkKind(enum.Enum):
    """Traffic that a link carries.

    Attributes:
        DATAGRAM: UDP; each source address is a flow.
        FORWARDED: UDP with forwarding headers; each caller is a flow.
        STREAM: TCP; each connection is a flow.
    """

    DATAGRAM = "datagram"
    FORWARDED = "forwarded"
    STREAM = "stream"


class Link(abc.ABC):
    """Forwards traffic from a listening address to a target."""

    def __init__(
        self, target: core.Address, seed: int, flows: set[bytes]
    ) -> None:
        """Prepares a link without faults.

        Args:
            target: Address to which the link forwards.
            seed: Seed of the random choices.
            flows: Known flows, shared by all links that carry parts of the
                same flows.
        """
        self._target = target
        self._seed = seed
        self._flows = flows
        self._plans = {"": _faults.FaultPlan(_faults.Faults(), seed)}
        self._frozen: dict[str, set[bytes]] = {}
        self.counts: collections.Counter[str] = collections.Counter()

    @abc.abstractmethod
    async def listen(self, address: core.Address) -> None:
        """Starts to listen on an address."""

    def set_faults(self, faults: _faults.Faults, source: str) -> None:
        """Sets the faults of one source, or of all others if it is empty."""
        plan = _faults.FaultPlan(faults, self._seed)
        self._plans[source] = plan
        self._frozen[source] = {
            flow for flow in self._flows if plan.freezes(flow)
        }
        self.counts["frozen"] = len(self._frozen[source])

    def plan(self, source: str) -> _faults.FaultPlan:
        """Returns the fault plan of a source."""
        return self._plans.get(source) or self._plans[""]

    def is_frozen(self, flow: bytes, source: str) -> bool:
        """Returns whether a flow is frozen, so that no traffic passes."""
        key = source if source in self._plans else ""
        return flow in self._frozen.get(key, ())


class DatagramLink(Link, asyncio.DatagramProtocol):
    """UDP link with one socket towards the target for each source."""

    def __init__(
        self,
        target: core.Address,
        seed: int,
        flows: set[bytes],
        forwarded: bool,
    ) -> None:
        """Prepares a link without faults.

        Args:
            target: Address to which the link forwards.
            seed: Seed of the random choices.
            flows: Known flows, shared by all links that carry parts of the
                same flows.
            forwarded: Whether flows are identified by the forwarding header
                instead of the source address.
        """
        super().__init__(target, seed, flows)
        self._forwarded = forwarded
        self._transport: asyncio.DatagramTransport | None = None
        self._target_sockets: dict[tuple[str, int], _TargetSocket] = {}

    async def listen(self, address: core.Address) -> None:
        """Starts to listen."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=address.pair
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Forwards a datagram towards the target."""
        target_socket = self._target_sockets.get(addr)
        if target_socket is None:
            target_socket = self._target_sockets[addr] = _TargetSocket(
                self, addr
            )
            target_socket.open(self._target)
        target_socket.send(data)

    def send_to_source(self, data: bytes, addr: tuple[str, int]) -> None:
        """Sends a datagram back to a source."""
        if self._transport is not None:
            self._transport.sendto(data, addr)

    def delays_ms(
        self,
        data: bytes,
        addr: tuple[str, int],
        direction: _faults.Direction,
    ) -> list[float]:
        """Returns the delay of each copy to deliver; none if it is dropped."""
        source = f"{addr[0]}:{addr[1]}"
        flow = data[_CALLER_BYTES] if self._forwarded else source.encode()
        self._flows.add(flow)
        self.counts[direction.value] += 1
        delays_ms = (
            []
            if self.is_frozen(flow, source)
            else self.plan(source).delays_ms(
                time.monotonic() * 1000, len(data), direction
            )
        )
        if not delays_ms:
            self.counts["dropped"] += 1
        return delays_ms


class _TargetSocket(asyncio.DatagramProtocol):
    """Socket towards the target for the datagrams of one source."""

    def __init__(self, link: DatagramLink, addr: tuple[str, int]) -> None:
        self._link = link
        self._addr = addr
        self._transport: asyncio.DatagramTransport | None = None
        self._pending: list[bytes] = []

    def open(self, target: core.Address) -> None:
        self._open_task = asyncio.ensure_future(
            asyncio.get_running_loop().create_datagram_endpoint(
                lambda: self, remote_addr=target.pair
            )
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)
        for data in self._pending:
            self._transport.sendto(data)
        self._pending.clear()

    def error_received(self, exc: Exception) -> None:
        pass  # The target does not listen; its datagrams are lost.

    def send(self, data: bytes) -> None:
        direction = _faults.Direction.FORWARD
        for delay_ms in self._link.delays_ms(data, self._addr, direction):
            if delay_ms:
                loop = asyncio.get_running_loop()
                loop.call_later(delay_ms / 1000, self._forward, data)
            else:
                self._forward(data)

    def _forward(self, data: bytes) -> None:
        if self._transport is None:
            self._pending.append(data)
        else:
            self._transport.sendto(data)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        direction = _faults.Direction.BACKWARD
        for delay_ms in self._link.delays_ms(data, self._addr, direction):
            if delay_ms:
                loop = asyncio.get_running_loop()
                loop.call_later(
                    delay_ms / 1000, self._link.send_to_source, data, self._addr
                )
            else:
                self._link.send_to_source(data, self._addr)


class StreamLink(Link):
    """TCP link with one connection to the target for each accepted one.

    Loss, reordering and duplication do not apply. A cut or frozen stream
    holds its data back without closing.
    """

    def __init__(self, target: core.Address, seed: int) -> None:
        """Prepares a link that shares its flows with no other link."""
        super().__init__(target, seed, set())
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._sequence = 0

    async def listen(self, address: core.Address) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(
            self._accept, address.host, address.port
        )

    def set_faults(self, faults: _faults.Faults, source: str) -> None:
        """Sets the faults; `reset` also resets the open streams."""
        super().set_faults(faults, source)
        if faults.reset:
            for writer in list(self._writers):
                _reset(writer)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        source = str(core.Address(*writer.get_extra_info("peername")[:2]))
        self._sequence += 1
        flow = self._sequence.to_bytes(8, "big")
        writers = [writer]
        try:
            target_stream = await asyncio.open_connection(*self._target.pair)
        except OSError:
            _reset(writer)
            return
        writers.append(target_stream[1])
        self._writers.update(writers)
        self._flows.add(flow)
        self.counts["streams"] += 1
        tasks = [
            asyncio.create_task(
                self._relay(
                    reader,
                    target_stream[1],
                    flow,
                    source,
                    _faults.Direction.FORWARD,
                )
            ),
            asyncio.create_task(
                self._relay(
                    target_stream[0],
                    writer,
                    flow,
                    source,
                    _faults.Direction.BACKWARD,
                )
            ),
        ]
        try:
            # The stream ends when either side closes; HTTP/1.1 needs no
            # half-closed connections.
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            for item in writers:
                item.close()
            self._writers.difference_update(writers)
            self._flows.discard(flow)

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        flow: bytes,
        source: str,
        direction: _faults.Direction,
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(_READ_BYTES):
                plan = self.plan(source)
                faults = plan.faults
                if faults.rate_bytes_per_s:
                    # A rate limit delays a stream instead of dropping data.
                    delay_s = len(data) / faults.rate_bytes_per_s
                    await asyncio.sleep(delay_s)
                if faults.delay_ms:
                    await asyncio.sleep(faults.delay_ms / 1000)
                while self.is_frozen(flow, source) or self.plan(
                    source
                ).faults.cut.stops(direction):
                    await asyncio.sleep(_FREEZE_POLL_INTERVAL_S)
                self.counts[direction.value] += 1
                writer.write(data)
                await writer.drain()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with RST instead of FIN."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


class LinkFactory:
    """Creates the links of one proxy."""

    def __init__(self, seed: int) -> None:
        """Takes the seed of all links, so that they freeze the same flows."""
        self._seed = seed
        self._flows: dict[LinkKind, set[bytes]] = {
            kind: set() for kind in LinkKind
        }

    def make(self, kind: LinkKind, target: core.Address) -> Link:
        """Returns a link of the given kind."""
        if kind is LinkKind.STREAM:
            return StreamLink(target, self._seed)
        forwarded = kind is LinkKind.FORWARDED
        return DatagramLink(target, self._seed, self._flows[kind], forwarded)
