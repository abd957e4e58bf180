"""Channels that carry control messages between members."""

import abc
import asyncio
import hashlib

from fireflyford import core
from fireflyford.membership import _bulk
from fireflyford.membership import _codec
from fireflyford.membership import _messages

_TAG_BYTES = 8
_INBOX_COUNT = 1_000
_DIGESTS_TOPIC = "membership-digests"
_PULL_TOPIC = "membership-pull"


class PullHandler(abc.ABC):
    """Answers the bulk calls of other balancers."""

    @abc.abstractmethod
    def differing_buckets(self, digests: tuple[int, ...]) -> tuple[int, ...]:
        """Returns the numbers of the buckets whose digest differs."""

    @abc.abstractmethod
    def pull(self, request: _messages.PullRequest) -> _messages.PullReply:
        """Returns what the asker lacks."""


class Channel(abc.ABC):
    """Carries messages between members, unreliably."""

    @abc.abstractmethod
    def send(self, address: core.Address, message: _messages.Message) -> None:
        """Sends one message, which may be lost."""

    @abc.abstractmethod
    async def receive(self) -> tuple[core.Address, _messages.Message]:
        """Waits for the next message."""

    @abc.abstractmethod
    def register_pull_handler(self, source: PullHandler) -> None:
        """Answers bulk calls of other members from `source`."""

    @abc.abstractmethod
    async def fetch_differing(
        self, address: core.Address, digests: tuple[int, ...]
    ) -> tuple[int, ...] | None:
        """Asks a member's bulk address which buckets differ.

        Returns:
            Numbers of the buckets, or None if there is no answer.
        """

    @abc.abstractmethod
    async def fetch_records(
        self, address: core.Address, request: _messages.PullRequest
    ) -> _messages.PullReply | None:
        """Pulls records from a member's bulk address.

        Returns:
            The records, or None if there is no answer.
        """


class UdpChannel(Channel, asyncio.DatagramProtocol):
    """Messages in msgpack with a keyed tag over UDP, pulls over pynng."""

    def __init__(
        self, key: bytes, bulk_server: _bulk.BulkServer | None = None
    ) -> None:
        """Takes the link key; call `open` before use.

        Args:
            key: Link key.
            bulk_server: Serves the pulls of other balancers.
        """
        self._key = key
        self._bulk_server = bulk_server
        self._inbox: asyncio.Queue[tuple[core.Address, _messages.Message]] = (
            asyncio.Queue(maxsize=_INBOX_COUNT)
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
        datagram = self._tag(body) + body
        self.sent_bytes += len(datagram)
        self.sent_count += 1
        self._transport.sendto(datagram, address.pair)

    async def receive(self) -> tuple[core.Address, _messages.Message]:
        """Waits for the next message that verifies."""
        return await self._inbox.get()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Queues a message that verifies, counts the others."""
        self.received_bytes += len(data)
        self.received_count += 1
        tag, body = data[:_TAG_BYTES], data[_TAG_BYTES:]
        if tag != self._tag(body) or self._inbox.full():
            self.rejected_count += 1
            return
        try:
            message = _codec.decode(body)
        except (ValueError, IndexError):
            self.rejected_count += 1
            return
        self._inbox.put_nowait((core.Address(*addr[:2]), message))

    def register_pull_handler(self, source: PullHandler) -> None:
        """Registers the two calls with the bulk server, if there is one."""
        if self._bulk_server is None:
            return

        def answer_digests(payload: bytes) -> bytes:
            try:
                digests = _codec.decode_digests(payload)
            except ValueError:
                return b""
            return _codec.encode_digests(source.differing_buckets(digests))

        def answer_pull(payload: bytes) -> bytes:
            try:
                request = _codec.decode_request(payload)
            except ValueError:
                return b""
            return _codec.encode_reply(source.pull(request))

        self._bulk_server.register(_DIGESTS_TOPIC, answer_digests)
        self._bulk_server.register(_PULL_TOPIC, answer_pull)

    async def fetch_differing(
        self, address: core.Address, digests: tuple[int, ...]
    ) -> tuple[int, ...] | None:
        """Asks which buckets differ."""
        payload = _codec.encode_digests(digests)
        answer = await self._fetch(address, _DIGESTS_TOPIC, payload)
        try:
            return None if answer is None else _codec.decode_digests(answer)
        except ValueError:
            return None

    async def fetch_records(
        self, address: core.Address, request: _messages.PullRequest
    ) -> _messages.PullReply | None:
        """Pulls records."""
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

    def _tag(self, body: bytes) -> bytes:
        return hashlib.blake2s(
            body, key=self._key, digest_size=_TAG_BYTES
        ).digest()
