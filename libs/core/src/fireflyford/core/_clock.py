"""System clock and manually advanced clock, in milliseconds."""

import abc
import asyncio
import heapq
import time


class Clock(abc.ABC):
    """Interface of a clock with millisecond resolution."""

    @abc.abstractmethod
    def now_ms(self) -> int:
        """Returns the monotonic time, for durations and timeouts."""

    @abc.abstractmethod
    def wall_ms(self) -> int:
        """Returns the time since the Unix epoch, for timestamps."""

    @abc.abstractmethod
    async def sleep(self, duration_ms: float) -> None:
        """Waits for `duration_ms` milliseconds."""

    async def wait_for(self, event: asyncio.Event, duration_ms: float) -> None:
        """Waits until an event is set, at most `duration_ms` milliseconds."""
        tasks = [
            asyncio.ensure_future(self.sleep(duration_ms)),
            asyncio.ensure_future(event.wait()),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()


class SystemClock(Clock):
    """Clock based on the operating system's time."""

    def now_ms(self) -> int:
        """Returns the monotonic time of the system."""
        return time.monotonic_ns() // 1_000_000

    def wall_ms(self) -> int:
        """Returns the system time since the Unix epoch."""
        return time.time_ns() // 1_000_000

    async def sleep(self, duration_ms: float) -> None:
        """Sleeps in the running event loop."""
        await asyncio.sleep(duration_ms / 1000)


class ManualClock(Clock):
    """Clock that only `advance` moves, for tests and virtual time.

    >>> clock = ManualClock(start_ms=100)
    >>> asyncio.run(clock.advance(50))
    >>> clock.now_ms()
    150
    """

    def __init__(self, start_ms: int = 0) -> None:
        """Starts the clock at `start_ms`."""
        self._now_ms = start_ms
        self._sleepers: list[tuple[float, int, asyncio.Future[None]]] = []
        self._sequence = 0

    def now_ms(self) -> int:
        """Returns the virtual time."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Returns the same value as `now_ms`."""
        return self._now_ms

    async def sleep(self, duration_ms: float) -> None:
        """Waits until `advance` reaches the wake-up time."""
        future = asyncio.get_running_loop().create_future()
        self._sequence += 1
        wake_ms = self._now_ms + duration_ms
        heapq.heappush(self._sleepers, (wake_ms, self._sequence, future))
        await future

    async def advance(self, duration_ms: int) -> None:
        """Advances the time and wakes due tasks in order of wake-up time."""
        end_ms = self._now_ms + duration_ms
        while self._sleepers and self._sleepers[0][0] <= end_ms:
            wake_ms, _, future = heapq.heappop(self._sleepers)
            self._now_ms = int(wake_ms)
            if not future.done():
                future.set_result(None)
            await _run_ready_tasks()
        self._now_ms = end_ms
        await _run_ready_tasks()


# A task may need several event loop iterations before it sleeps again.
_LOOP_ITERATIONS_PER_WAKE = 20


async def _run_ready_tasks() -> None:
    for _ in range(_LOOP_ITERATIONS_PER_WAKE):
        await asyncio.sleep(0)
