"""Slots of one backend server and the work that waits for them."""

import asyncio
import heapq
import math

from fireflyford import config
from fireflyford import core
from fireflyford.requests import _queue
from fireflyford.requests import _targets

_LOAD_PERIOD_MS = 4_000.0
# Running work that has exceeded its expected time is expected to need this
# part of it again.
_OVERDUE_RATIO = 0.25


class DecayingMean:
    """Mean of a step function over time, with exponential decay."""

    def __init__(self, clock: core.Clock, period_ms: float) -> None:
        """Takes the period over which the past loses its weight."""
        self._clock = clock
        self._period_ms = period_ms
        self._mean = 0.0
        self._level = 0.0
        self._updated_ms = clock.now_ms()

    def set_level(self, level: float) -> None:
        """Sets the current level."""
        self._mean = self.value()
        self._updated_ms = self._clock.now_ms()
        self._level = level

    def value(self) -> float:
        """Returns the mean up to now."""
        elapsed_ms = self._clock.now_ms() - self._updated_ms
        weight = math.exp(-elapsed_ms / self._period_ms)
        return self._level + (self._mean - self._level) * weight


class SlotPool:
    """Slots, their queue and their use."""

    def __init__(
        self, clock: core.Clock, queue: _queue.WorkQueue, slot_count: int
    ) -> None:
        """Prepares free slots.

        Args:
            clock: Source of time.
            queue: Orders the waiting work.
            slot_count: Requests that may run at a time, at least 1.

        Raises:
            ValueError: There is no slot.
        """
        if slot_count < 1:
            raise ValueError("slot_count must be at least 1")
        self._clock = clock
        self._queue = queue
        self.slot_count = slot_count
        self.long_slot_limit = slot_count
        self._running: dict[_queue.QueueEntry, int] = {}
        self._waiters: dict[
            _queue.QueueEntry, asyncio.Future[core.Failure | None]
        ] = {}
        self._utilization = DecayingMean(clock, _targets.UTILIZATION_PERIOD_MS)
        self._load = {
            size: DecayingMean(clock, _LOAD_PERIOD_MS)
            for size in config.SizeClass
        }

    @property
    def running_count(self) -> int:
        """Requests that hold a slot."""
        return len(self._running)

    @property
    def queued_count(self) -> int:
        """Requests that wait for a slot."""
        return len(self._queue)

    @property
    def idle_count(self) -> int:
        """Free slots."""
        return self.slot_count - len(self._running)

    def utilization(self) -> float:
        """Returns the recent ratio of busy slots."""
        return self._utilization.value()

    def load(self, size: config.SizeClass) -> float:
        """Returns the mean number of slots that a size class holds."""
        return self._load[size].value()

    async def acquire(self, entry: _queue.QueueEntry) -> core.Failure | None:
        """Waits for a slot; returns a refusal when the work has to leave."""
        future: asyncio.Future[core.Failure | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiters[entry] = future
        evicted = self._queue.push(entry)
        if evicted is not None:
            self._refuse(
                evicted,
                core.Failure(
                    core.ErrorKind.OVERLOADED,
                    "the queue is full",
                    retry_after_ms=100,
                ),
            )
        self.dispatch()
        try:
            remaining_ms = entry.work.deadline_ms - self._clock.now_ms()
            async with asyncio.timeout(max(0, remaining_ms) / 1000):
                return await future
        except TimeoutError:
            self._leave(entry, future)
            return _expired()
        except asyncio.CancelledError:
            self._leave(entry, future)
            raise
        finally:
            self._waiters.pop(entry, None)

    def _leave(
        self,
        entry: _queue.QueueEntry,
        future: "asyncio.Future[core.Failure | None]",
    ) -> None:
        self._queue.remove(entry)
        granted = (
            future.done() and not future.cancelled() and not future.result()
        )
        if granted:
            self.release(entry)

    def release(self, entry: _queue.QueueEntry) -> None:
        """Frees the slot that `entry` holds."""
        if self._running.pop(entry, None) is not None:
            self._track()
            self.dispatch()

    def dispatch(self) -> None:
        """Gives free slots to waiting work; drops what has expired."""
        while len(self._running) < self.slot_count:
            entry = self._queue.pop(self._long_count() < self.long_slot_limit)
            if entry is None:
                return
            now_ms = self._clock.now_ms()
            if entry.work.deadline_ms <= now_ms:
                self._refuse(entry, _expired())
                continue
            future = self._waiters.get(entry)
            if future is None or future.done():
                continue
            self._running[entry] = now_ms
            self._track()
            future.set_result(None)

    def _refuse(self, entry: _queue.QueueEntry, failure: core.Failure) -> None:
        future = self._waiters.get(entry)
        if future is not None and not future.done():
            future.set_result(failure)

    def _long_count(self) -> int:
        return sum(
            entry.size is config.SizeClass.LONG for entry in self._running
        )

    def _track(self) -> None:
        count = len(self._running)
        long_count = self._long_count()
        self._utilization.set_level(count / self.slot_count)
        self._load[config.SizeClass.LONG].set_level(long_count)
        self._load[config.SizeClass.SHORT].set_level(count - long_count)

    def expected_wait_ms(self, entry: _queue.QueueEntry) -> float:
        """Returns the expected wait of an entry that is not queued yet."""
        now_ms = self._clock.now_ms()
        free_ms = [0.0] * self.idle_count
        long_free_ms = [0.0] * max(0, self.long_slot_limit - self._long_count())
        for running, started_ms in self._running.items():
            left_ms = max(
                started_ms + running.expected_ms - now_ms,
                running.expected_ms * _OVERDUE_RATIO,
            )
            free_ms.append(left_ms)
            if running.size is config.SizeClass.LONG:
                long_free_ms.append(left_ms)
        heapq.heapify(free_ms)
        heapq.heapify(long_free_ms)
        for ahead in self._queue.ahead(entry):
            _assign(free_ms, long_free_ms, ahead)
        return _assign(free_ms, long_free_ms, entry)


def _assign(
    free_ms: list[float], long_free_ms: list[float], entry: _queue.QueueEntry
) -> float:
    """Gives the next free slot to `entry` and returns when it is free."""
    start_ms = heapq.heappop(free_ms)
    if entry.size is config.SizeClass.LONG:
        start_ms = max(start_ms, heapq.heappop(long_free_ms))
        heapq.heappush(long_free_ms, start_ms + entry.expected_ms)
    heapq.heappush(free_ms, start_ms + entry.expected_ms)
    return start_ms


def _expired() -> core.Failure:
    return core.Failure(
        core.ErrorKind.DEADLINE_BEFORE_START,
        "no slot became free before the deadline",
    )
