"""Slots of one backend server and the requests that wait for them."""

import asyncio
import heapq
import math

from fireflyford import config
from fireflyford import core
from fireflyford.requests import _queue
from fireflyford.requests import _targets

_LOAD_TIME_CONSTANT_MS = 4_000.0
# Minimum remaining time of a running request, as a fraction of its expected
# service time. It applies to requests that run longer than expected.
_OVERDUE_REMAINING_RATIO = 0.25


class ExponentialMovingAverage:
    """Exponentially weighted average of a piecewise constant value."""

    def __init__(self, clock: core.Clock, time_constant_ms: float) -> None:
        """Creates an average of zero.

        Args:
            clock: Source of time.
            time_constant_ms: Time after which the weight of a value has
                fallen to 1/e.
        """
        self._clock = clock
        self._time_constant_ms = time_constant_ms
        self._mean = 0.0
        self._level = 0.0
        self._updated_ms = clock.now_ms()

    def set_level(self, level: float) -> None:
        """Sets the value that holds from now on."""
        self._mean = self.value()
        self._updated_ms = self._clock.now_ms()
        self._level = level

    def value(self) -> float:
        """Returns the average up to now."""
        elapsed_ms = self._clock.now_ms() - self._updated_ms
        weight = math.exp(-elapsed_ms / self._time_constant_ms)
        return self._level + (self._mean - self._level) * weight


class SlotPool:
    """Allocates slots to queued requests and measures their utilization.

    Each slot runs one request at a time.

    Attributes:
        slot_count: Number of slots.
        long_slot_limit: Maximum number of slots that long requests may occupy
            at the same time. It may be changed at any time.
    """

    def __init__(
        self, clock: core.Clock, queue: _queue.WorkQueue, slot_count: int
    ) -> None:
        """Creates a pool of free slots.

        Args:
            clock: Source of time.
            queue: Holds and orders the waiting requests.
            slot_count: Maximum number of concurrent requests, at least 1.

        Raises:
            ValueError: `slot_count` is below 1.
        """
        if slot_count < 1:
            raise ValueError("slot_count must be at least 1")
        self._clock = clock
        self._queue = queue
        self.slot_count = slot_count
        self.long_slot_limit = slot_count
        # Start times of the running requests in ms.
        self._running: dict[_queue.QueueEntry, int] = {}
        # Results of the waiting calls of `acquire`.
        self._waiters: dict[
            _queue.QueueEntry, asyncio.Future[core.Failure | None]
        ] = {}
        self._utilization = ExponentialMovingAverage(
            clock, _targets.UTILIZATION_TIME_CONSTANT_MS
        )
        self._load_by_size = {
            size: ExponentialMovingAverage(clock, _LOAD_TIME_CONSTANT_MS)
            for size in config.SizeClass
        }

    @property
    def running_count(self) -> int:
        """Number of running requests."""
        return len(self._running)

    @property
    def queued_count(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    @property
    def idle_count(self) -> int:
        """Number of free slots."""
        return self.slot_count - len(self._running)

    def utilization(self) -> float:
        """Returns the moving average of the ratio of busy slots."""
        return self._utilization.value()

    def load(self, size: config.SizeClass) -> float:
        """Returns the moving average of the slots used by a size class."""
        return self._load_by_size[size].value()

    async def acquire(self, entry: _queue.QueueEntry) -> core.Failure | None:
        """Waits for a slot.

        Returns:
            None when a slot was assigned, or the reason why the request was
            refused: the queue was full or the deadline passed.
        """
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
                    "overloaded: the queue of the target is full",
                    retry_after_ms=100,
                ),
            )
        self.dispatch()
        try:
            remaining_ms = entry.work.deadline_ms - self._clock.now_ms()
            async with asyncio.timeout(max(0, remaining_ms) / 1000):
                return await future
        except TimeoutError:
            self._withdraw(entry, future)
            return _deadline_failure()
        except asyncio.CancelledError:
            self._withdraw(entry, future)
            raise
        finally:
            self._waiters.pop(entry, None)

    def _withdraw(
        self,
        entry: _queue.QueueEntry,
        future: "asyncio.Future[core.Failure | None]",
    ) -> None:
        """Stops waiting; releases the slot if it was assigned meanwhile."""
        self._queue.remove(entry)
        granted = (
            future.done() and not future.cancelled() and not future.result()
        )
        if granted:
            self.release(entry)

    def release(self, entry: _queue.QueueEntry) -> None:
        """Frees the slot of `entry`."""
        if self._running.pop(entry, None) is not None:
            self._update_averages()
            self.dispatch()

    def dispatch(self) -> None:
        """Assigns free slots to queued requests and refuses expired ones."""
        while len(self._running) < self.slot_count:
            entry = self._queue.pop(
                self._long_running_count() < self.long_slot_limit
            )
            if entry is None:
                return
            now_ms = self._clock.now_ms()
            if entry.work.deadline_ms <= now_ms:
                self._refuse(entry, _deadline_failure())
                continue
            future = self._waiters.get(entry)
            if future is None or future.done():
                continue
            self._running[entry] = now_ms
            self._update_averages()
            future.set_result(None)

    def _refuse(self, entry: _queue.QueueEntry, failure: core.Failure) -> None:
        future = self._waiters.get(entry)
        if future is not None and not future.done():
            future.set_result(failure)

    def _long_running_count(self) -> int:
        return sum(
            entry.size is config.SizeClass.LONG for entry in self._running
        )

    def _update_averages(self) -> None:
        count = len(self._running)
        long_count = self._long_running_count()
        self._utilization.set_level(count / self.slot_count)
        self._load_by_size[config.SizeClass.LONG].set_level(long_count)
        self._load_by_size[config.SizeClass.SHORT].set_level(count - long_count)

    def expected_wait_ms(self, entry: _queue.QueueEntry) -> float:
        """Returns the expected wait of an entry that has not been queued.

        Simulates the assignment of slots to all entries ahead of it.
        """
        now_ms = self._clock.now_ms()
        # Times from now until slots become free: of all slots, and of those
        # that long requests may use.
        free_ms = [0.0] * self.idle_count
        long_free_ms = [0.0] * max(
            0, self.long_slot_limit - self._long_running_count()
        )
        for running, started_ms in self._running.items():
            remaining_ms = max(
                started_ms + running.expected_ms - now_ms,
                running.expected_ms * _OVERDUE_REMAINING_RATIO,
            )
            free_ms.append(remaining_ms)
            if running.size is config.SizeClass.LONG:
                long_free_ms.append(remaining_ms)
        heapq.heapify(free_ms)
        heapq.heapify(long_free_ms)
        for queued in self._queue.entries_ahead(entry):
            _assign_slot(free_ms, long_free_ms, queued)
        return _assign_slot(free_ms, long_free_ms, entry)


def _assign_slot(
    free_ms: list[float], long_free_ms: list[float], entry: _queue.QueueEntry
) -> float:
    """Assigns the earliest free slot to `entry`; returns when it starts.

    Args:
        free_ms: Heap of the times until slots become free.
        long_free_ms: The same for the slots that long requests may use.
        entry: A request of either size class.
    """
    start_ms = heapq.heappop(free_ms)
    if entry.size is config.SizeClass.LONG:
        start_ms = max(start_ms, heapq.heappop(long_free_ms))
        heapq.heappush(long_free_ms, start_ms + entry.expected_ms)
    heapq.heappush(free_ms, start_ms + entry.expected_ms)
    return start_ms


def _deadline_failure() -> core.Failure:
    return core.Failure(
        core.ErrorKind.DEADLINE_BEFORE_START,
        "no slot became free before the deadline",
    )
