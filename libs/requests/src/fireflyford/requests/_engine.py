"""The path of a request inside an agent: admission, slot, execution."""

import asyncio

from fireflyford import core
from fireflyford.requests import _work


class Engine:
    """Runs requests on the slots of one backend server."""

    def __init__(
        self, clock: core.Clock, executor: _work.Executor, slot_count: int
    ) -> None:
        """Prepares the slots.

        Args:
            clock: Source of time.
            executor: Runs work on the backend server.
            slot_count: Requests that may run at a time, at least 1.

        Raises:
            ValueError: There is no slot.
        """
        if slot_count < 1:
            raise ValueError("slot_count must be at least 1")
        self._clock = clock
        self._executor = executor
        self._slots = asyncio.Semaphore(slot_count)
        self._draining = False
        self.in_flight_count = 0

    def drain(self) -> None:
        """Refuses new work from now on."""
        self._draining = True

    async def submit(self, work: _work.Work) -> core.Outcome[_work.Response]:
        """Runs the work or refuses it."""
        if self._draining:
            return core.Failure(
                core.ErrorKind.DRAINING, "this target is leaving", 0
            )
        self.in_flight_count += 1
        try:
            return await self._run(work)
        finally:
            self.in_flight_count -= 1

    async def _run(self, work: _work.Work) -> core.Outcome[_work.Response]:
        wait_ms = work.deadline_ms - self._clock.now_ms()
        try:
            async with asyncio.timeout(max(0, wait_ms) / 1000):
                await self._slots.acquire()
        except TimeoutError:
            return core.Failure(
                core.ErrorKind.DEADLINE_BEFORE_START,
                "no slot became free before the deadline",
            )
        try:
            return await self._executor.execute(work)
        finally:
            self._slots.release()
