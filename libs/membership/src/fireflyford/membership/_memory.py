"""In-memory network with faults, for tests and virtual time."""

import asyncio
from collections.abc import Callable
import random

from fireflyford import core
from fireflyford.membership import _channel
from fireflyford.membership import _codec
from fireflyford.membership import _messages

# Header of IP and UDP, counted for each datagram.
_HEADER_BYTES = 28
_TAG_BYTES = 8


class MemoryNetwork:
    """Carries messages between channels with loss, delay and cuts."""

    def __init__(
        self,
        clock: core.Clock,
        rng: random.Random,
        delay_ms: float = 1,
        loss_ratio: float = 0.0,
    ) -> None:
        """Prepares a network without cuts.

        Args:
            clock: Source of time.
            rng: Decides which messages are lost.
            delay_ms: One-way delay.
            loss_ratio: Part of the messages that is lost.
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
        """Opens the channel of one member; an earlier one is replaced."""
        channel = MemoryChannel(self, control)
        self._channels[control] = channel
        self._channels[bulk] = channel
        return channel

    def block(
        self, blocks: Callable[[core.Address, core.Address], bool]
    ) -> None:
        """Drops what `blocks(source, destination)` returns true for."""
        self._blocks = blocks

    def heal(self) -> None:
        """Ends all cuts."""
        self._blocks = lambda source, destination: False

    def passes(self, source: core.Address, destination: core.Address) -> bool:
        """Returns whether one message arrives."""
        if self._blocks(source, destination):
            return False
        return self._rng.random() >= self._loss_ratio

    async def wait(self) -> None:
        """Waits for the one-way delay."""
        await self._clock.sleep(self._delay_ms)

    def channel(self, address: core.Address) -> "MemoryChannel | None":
        """Returns the channel at an address."""
        return self._channels.get(address)

    def carry(
        self,
        source: core.Address,
        destination: core.Address,
        message: _messages.Message,
    ) -> None:
        """Delivers a message later, or loses it."""
        if self.passes(source, destination):
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
        await self.wait()
        channel = self.channel(destination)
        if channel is not None:
            channel.deliver(source, message)


class MemoryChannel(_channel.Channel):
    """Channel of one member on a `MemoryNetwork`."""

    def __init__(self, network: MemoryNetwork, address: core.Address) -> None:
        """Opened by `MemoryNetwork.open`."""
        self._network = network
        self._address = address
        self._inbox: asyncio.Queue[tuple[core.Address, _messages.Message]] = (
            asyncio.Queue()
        )
        self._source: _channel.PullHandler | None = None
        self._running = asyncio.Event()
        self._running.set()
        self.sent_bytes = 0
        self.sent_count = 0

    def pause(self) -> None:
        """Holds back what arrives, as a paused process does."""
        self._running.clear()

    def resume(self) -> None:
        """Delivers what has arrived meanwhile."""
        self._running.set()

    def send(self, address: core.Address, message: _messages.Message) -> None:
        """Sends one message; a paused member sends nothing."""
        if not self._running.is_set():
            return
        self.sent_count += 1
        self.sent_bytes += (
            _HEADER_BYTES + _TAG_BYTES + len(_codec.encode(message))
        )
        self._network.carry(self._address, address, message)

    async def receive(self) -> tuple[core.Address, _messages.Message]:
        """Waits for the next message."""
        item = await self._inbox.get()
        await self._running.wait()
        return item

    def deliver(self, source: core.Address, message: _messages.Message) -> None:
        """Takes a message from the network."""
        self._inbox.put_nowait((source, message))

    def register_pull_handler(self, source: _channel.PullHandler) -> None:
        """Answers bulk calls from `source`."""
        self._source = source

    async def fetch_differing(
        self, address: core.Address, digests: tuple[int, ...]
    ) -> tuple[int, ...] | None:
        """Asks which buckets differ."""
        source = await self._reach(address)
        return None if source is None else source.differing_buckets(digests)

    async def fetch_records(
        self, address: core.Address, request: _messages.PullRequest
    ) -> _messages.PullReply | None:
        """Pulls records."""
        source = await self._reach(address)
        return None if source is None else source.pull(request)

    async def _reach(
        self, address: core.Address
    ) -> _channel.PullHandler | None:
        await self._network.wait()
        channel = self._network.channel(address)
        if channel is None or not channel._running.is_set():
            return None
        there = self._network.passes(self._address, channel._address)
        back = self._network.passes(channel._address, self._address)
        return channel._source if there and back else None
