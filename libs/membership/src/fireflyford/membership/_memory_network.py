"""In-memory network with fault injection, for tests in virtual time."""

import asyncio
from collections.abc import Callable
import random

from fireflyford import core
from fireflyford.membership import _channel
from fireflyford.membership import _codec
from fireflyford.membership import _messages

# IPv4 and UDP headers, counted for each datagram.
_HEADER_BYTES = 28
_MAC_BYTES = 8


class MemoryNetwork:
    """Delivers messages between channels with loss, delay and partitions."""

    def __init__(
        self,
        clock: core.Clock,
        rng: random.Random,
        delay_ms: float = 1,
        loss_ratio: float = 0.0,
    ) -> None:
        """Creates a network without partitions.

        Args:
            clock: Source of time.
            rng: Random source for message loss.
            delay_ms: One-way delay.
            loss_ratio: Fraction of messages that are lost.
        """
        self._clock = clock
        self._rng = rng
        self._delay_ms = delay_ms
        self._loss_ratio = loss_ratio
        self._channels: dict[core.Address, MemoryChannel] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._blocks: Callable[[core.Address, core.Address], bool] = (
            lambda source, destination: False
        )

    def open(
        self, control: core.Address, bulk: core.Address
    ) -> "MemoryChannel":
        """Opens the channel of a member, replacing any earlier one."""
        channel = MemoryChannel(self, control)
        self._channels[control] = channel
        self._channels[bulk] = channel
        return channel

    def block(
        self, blocks: Callable[[core.Address, core.Address], bool]
    ) -> None:
        """Drops messages for which `blocks(source, destination)` is true."""
        self._blocks = blocks

    def heal(self) -> None:
        """Delivers messages between all channels again."""
        self._blocks = lambda source, destination: False

    def is_delivered(
        self, source: core.Address, destination: core.Address
    ) -> bool:
        """Returns whether the next message between two addresses arrives."""
        if self._blocks(source, destination):
            return False
        return self._rng.random() >= self._loss_ratio

    async def apply_delay(self) -> None:
        """Waits for the one-way delay."""
        await self._clock.sleep(self._delay_ms)

    def find_channel(self, address: core.Address) -> "MemoryChannel | None":
        """Returns the channel at an address, if there is one."""
        return self._channels.get(address)

    def send(
        self,
        source: core.Address,
        destination: core.Address,
        message: _messages.Message,
    ) -> None:
        """Delivers a message after the delay, or drops it."""
        if self.is_delivered(source, destination):
            task = asyncio.create_task(
                self._deliver(source, destination, message)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _deliver(
        self,
        source: core.Address,
        destination: core.Address,
        message: _messages.Message,
    ) -> None:
        await self.apply_delay()
        channel = self.find_channel(destination)
        if channel is not None:
            channel.deliver(source, message)


class MemoryChannel(_channel.Channel):
    """Channel of one member in a `MemoryNetwork`."""

    def __init__(self, network: MemoryNetwork, address: core.Address) -> None:
        """Creates the channel; called by `MemoryNetwork.open`."""
        self._network = network
        self._address = address
        self._inbox: asyncio.Queue[tuple[core.Address, _messages.Message]] = (
            asyncio.Queue()
        )
        self._pull_handler: _channel.PullHandler | None = None
        self._running = asyncio.Event()
        self._running.set()
        self.sent_bytes = 0
        self.sent_count = 0

    def pause(self) -> None:
        """Holds back received messages, as a paused process does."""
        self._running.clear()

    def resume(self) -> None:
        """Delivers the messages received while paused."""
        self._running.set()

    def send(self, address: core.Address, message: _messages.Message) -> None:
        """Sends one message, unless the channel is paused."""
        if not self._running.is_set():
            return
        self.sent_count += 1
        self.sent_bytes += (
            _HEADER_BYTES + _MAC_BYTES + len(_codec.encode(message))
        )
        self._network.send(self._address, address, message)

    async def receive(self) -> tuple[core.Address, _messages.Message]:
        """Waits for the next message."""
        item = await self._inbox.get()
        await self._running.wait()
        return item

    def deliver(self, source: core.Address, message: _messages.Message) -> None:
        """Queues a message from the network."""
        self._inbox.put_nowait((source, message))

    def register_pull_handler(self, handler: _channel.PullHandler) -> None:
        """Sets the handler that answers bulk requests."""
        self._pull_handler = handler

    async def fetch_differing_buckets(
        self, address: core.Address, digests: tuple[int, ...]
    ) -> tuple[int, ...] | None:
        """Asks the balancer at a bulk address which buckets differ."""
        handler = await self._reach_peer(address)
        return None if handler is None else handler.differing_buckets(digests)

    async def fetch_records(
        self, address: core.Address, request: _messages.PullRequest
    ) -> _messages.PullReply | None:
        """Requests records from a bulk address."""
        handler = await self._reach_peer(address)
        return None if handler is None else handler.pull(request)

    async def _reach_peer(
        self, address: core.Address
    ) -> _channel.PullHandler | None:
        await self._network.apply_delay()
        channel = self._network.find_channel(address)
        if channel is None or not channel._running.is_set():
            return None
        request_arrives = self._network.is_delivered(
            self._address, channel._address
        )
        reply_arrives = self._network.is_delivered(
            channel._address, self._address
        )
        return (
            channel._pull_handler if request_arrives and reply_arrives else None
        )
