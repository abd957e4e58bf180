"""Messages between members, and the UDP channel that carries them."""

import abc
import asyncio
import dataclasses
import hashlib

import msgspec

from fireflyford import core
from fireflyford.membership import _types

_TAG_BYTES = 8


@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """A member's own record, sent to an observer."""

    member: _types.Member


@dataclasses.dataclass(frozen=True)
class Acknowledgement:
    """An observer's answer, with the records that the member needs."""

    members: tuple[_types.Member, ...]


@dataclasses.dataclass(frozen=True)
class Envelope:
    """One control message; exactly one field is set."""

    heartbeat: Heartbeat | None = None
    acknowledgement: Acknowledgement | None = None


class Channel(abc.ABC):
    """Carries envelopes between members, unreliably."""

    @abc.abstractmethod
    def send(self, address: core.Address, envelope: Envelope) -> None:
        """Sends one envelope, which may be lost."""

    @abc.abstractmethod
    async def receive(self) -> tuple[core.Address, Envelope]:
        """Waits for the next envelope."""


class UdpChannel(Channel, asyncio.DatagramProtocol):
    """Envelopes in msgpack with a keyed tag, over UDP."""

    def __init__(self, key: bytes) -> None:
        """Takes the link key; call `open` before use."""
        self._key = key
        self._inbox: asyncio.Queue[tuple[core.Address, Envelope]] = (
            asyncio.Queue(maxsize=1_000)
        )
        self._transport: asyncio.DatagramTransport | None = None
        self.sent_bytes = 0
        self.received_bytes = 0
        self.rejected_count = 0

    async def open(self, address: core.Address) -> None:
        """Binds the socket."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=address.pair
        )

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, address: core.Address, envelope: Envelope) -> None:
        """Sends one envelope, which may be lost."""
        if self._transport is None:
            raise RuntimeError("the channel is not open")
        body = msgspec.msgpack.encode(envelope)
        datagram = self._tag(body) + body
        self.sent_bytes += len(datagram)
        self._transport.sendto(datagram, address.pair)

    async def receive(self) -> tuple[core.Address, Envelope]:
        """Waits for the next envelope that verifies."""
        return await self._inbox.get()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Queues an envelope that verifies, counts the others."""
        self.received_bytes += len(data)
        tag, body = data[:_TAG_BYTES], data[_TAG_BYTES:]
        if tag != self._tag(body) or self._inbox.full():
            self.rejected_count += 1
            return
        try:
            envelope = msgspec.msgpack.decode(body, type=Envelope)
        except (msgspec.DecodeError, ValueError):
            self.rejected_count += 1
            return
        self._inbox.put_nowait((core.Address(*addr[:2]), envelope))

    def _tag(self, body: bytes) -> bytes:
        return hashlib.blake2s(
            body, key=self._key, digest_size=_TAG_BYTES
        ).digest()
