"""Channels for control messages between members."""

import abc
import asyncio
import hashlib

from fireflyford import core
from fireflyford.membership import _bulk
from fireflyford.membership import _codec
from fireflyford.membership import _messages

_MAC_BYTES = 8
_INBOX_CAPACITY = 1_000
_DIGESTS_TOPIC = "membership-digests"
_PULL_TOPIC = "membership-pull"


class PullHandler(abc.ABC):
    """Answers bulk requests of other balancers for missing records."""

    @abc.abstractmethod
    def differing_buckets(self, digests: tuple[int, ...]) -> tuple[int, ...]:
        """Returns the numbers of the buckets whose digests differ."""

    @abc.abstractmethod
    def pull(self, request: _messages.PullRequest) -> _messages.PullReply:
        """Returns the records that the requesting balancer lacks."""


class Channel(abc.ABC):
    """Unreliable message transport between members."""

    @abc.abstractmethod
    def send(self, address: core.Address, message: _messages.Message) -> None:
        """Sends one message, which may be lost."""

    @abc.abstractmethod
    async def receive(self) -> tuple[core.Address, _messages.Message]:
        """Waits for the next message."""

    @abc.abstractmethod
    def register_pull_handler(self, handler: PullHandler) -> None:
        """Sets the handler that answers bulk requests of other members."""

    @abc.abstractmethod
    async def fetch_differing_buckets(
        self, address: core.Address, digests: tuple[int, ...]
    ) -> tuple[int, ...] | None:
        """Asks the balancer at a bulk address which buckets differ.

        Returns:
            Numbers of the buckets, or None if there is no answer.
        """

    @abc.abstractmethod
    async def fetch_records(
        self, address: core.Address, request: _messages.PullRequest
    ) -> _messages.PullReply | None:
        """Requests records from a bulk address.

        Returns:
            The records, or None if there is no answer.
        """


class UdpChannel(Channel, asyncio.DatagramProtocol):
    """Authenticated messages over UDP, and bulk requests over pynng."""

    def __init__(
        self, key: bytes, bulk_server: _bulk.BulkServer | None = None
    ) -> None:
        """Creates a closed channel; call `open` before use.

        Args:
            key: Link key, which authenticates messages.
            bulk_server: Server for the bulk requests of other balancers.
        """
        self._key = key
        self._bulk_server = bulk_server
        self._inbox: asyncio.Queue[tuple[core.Address, _messages.Message]] = (
            asyncio.Queue(maxsize=_INBOX_CAPACITY)
        )
        self._transport: asyncio.DatagramTransport | None = None
        self.sent_bytes = 0
        self.sent_count = 0
        self.received_bytes = 0
        self.received_count = 0
        self.rejected_count = 0
        self.pull_count = 0
        self.pulled_bytes = 0

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

    def send(self, address: core.Address, message: _messages.Message) -> None:
        """Sends one message, which may be lost."""
        if self._transport is None:
            raise RuntimeError("the channel is not open")
        body = _codec.encode(message)
        datagram = self._mac(body) + body
        self.sent_bytes += len(datagram)
        self.sent_count += 1
        self._transport.sendto(datagram, address.pair)

    async def receive(self) -> tuple[core.Address, _messages.Message]:
        """Waits for the next authentic message."""
        return await self._inbox.get()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Queues an authentic message; counts rejected datagrams."""
        self.received_bytes += len(data)
        self.received_count += 1
        mac, body = data[:_MAC_BYTES], data[_MAC_BYTES:]
        if mac != self._mac(body) or self._inbox.full():
            self.rejected_count += 1
            return
        try:
            message = _codec.decode(body)
        except (ValueError, IndexError):
            self.rejected_count += 1
            return
        self._inbox.put_nowait((core.Address(*addr[:2]), message))

    def register_pull_handler(self, handler: PullHandler) -> None:
        """Registers both topics with the bulk server, if there is one."""
        if self._bulk_server is None:
            return

        def answer_digests(payload: bytes) -> bytes:
            try:
                digests = _codec.decode_digests(payload)
            except ValueError:
                return b""
            return _codec.encode_digests(handler.differing_buckets(digests))

        def answer_pull(payload: bytes) -> bytes:
            try:
                request = _codec.decode_request(payload)
            except ValueError:
                return b""
            return _codec.encode_reply(handler.pull(request))

        self._bulk_server.register(_DIGESTS_TOPIC, answer_digests)
        self._bulk_server.register(_PULL_TOPIC, answer_pull)

    async def fetch_differing_buckets(
        self, address: core.Address, digests: tuple[int, ...]
    ) -> tuple[int, ...] | None:
        """Asks the balancer at a bulk address which buckets differ."""
        payload = _codec.encode_digests(digests)
        answer = await self._fetch(address, _DIGESTS_TOPIC, payload)
        try:
            return None if answer is None else _codec.decode_digests(answer)
        except ValueError:
            return None

    async def fetch_records(
        self, address: core.Address, request: _messages.PullRequest
    ) -> _messages.PullReply | None:
        """Requests records from a bulk address."""
        payload = _codec.encode_request(request)
        answer = await self._fetch(address, _PULL_TOPIC, payload)
        try:
            return None if answer is None else _codec.decode_reply(answer)
        except (ValueError, IndexError):
            return None

    async def _fetch(
        self, address: core.Address, topic: str, payload: bytes
    ) -> bytes | None:
        outcome = await _bulk.fetch_bulk(address, self._key, topic, payload)
        self.pull_count += 1
        self.pulled_bytes += len(payload)
        if isinstance(outcome, core.Failure):
            return None
        self.pulled_bytes += len(outcome.value)
        return outcome.value

    def _mac(self, body: bytes) -> bytes:
        return hashlib.blake2s(
            body, key=self._key, digest_size=_MAC_BYTES
        ).digest()
