"""Running of a repeatable request with up to two attempts."""

import asyncio

from fireflyford import core
from fireflyford.requests import _hedging
from fireflyford.requests import _scheduler
from fireflyford.requests import _work_item

_Attempt = asyncio.Task[core.Outcome[_work_item.Response]]


class AttemptRunner:
    """Places requests, and slow repeatable ones at a second target."""

    def __init__(
        self,
        clock: core.Clock,
        scheduler: _scheduler.Scheduler,
        policy: _hedging.SecondAttempts,
    ) -> None:
        """Creates a runner.

        Args:
            clock: Source of time.
            scheduler: Places each attempt.
            policy: Decides whether and when a second attempt starts.
        """
        self._clock = clock
        self._scheduler = scheduler
        self._policy = policy

    async def run(
        self, work: _work_item.WorkItem
    ) -> core.Outcome[_work_item.Response]:
        """Runs a repeatable request and returns the first response.

        The other attempt is cancelled, at its peer as well.
        """
        state = _scheduler.DispatchState()
        if not self._policy.limit_ratio:
            return await self._scheduler.place(work, state)
        delay_ms = self._policy.delay_ms(work.treatment)
        if delay_ms is None:
            outcome = await self._scheduler.place(work, state)
        else:
            outcome = await self._run_attempts(work, state, delay_ms)
        if isinstance(outcome, core.Ok):
            expected_ms = self._scheduler.service_times.expected_ms(
                work.treatment
            )
            elapsed_ms = self._clock.now_ms() - work.arrived_ms
            self._policy.record_completed(
                work.treatment, elapsed_ms, expected_ms
            )
        return outcome

    async def _run_attempts(
        self,
        work: _work_item.WorkItem,
        state: _scheduler.DispatchState,
        delay_ms: float,
    ) -> core.Outcome[_work_item.Response]:
        first: _Attempt = asyncio.create_task(
            self._scheduler.place(work, state)
        )
        attempts = [first]
        try:
            await asyncio.wait(attempts, timeout=delay_ms / 1000)
            if first.done():
                return first.result()
            second = self._start_second(work, state.target_id)
            if second is None:
                return await first
            attempts.append(second)
            await asyncio.wait(attempts, return_when=asyncio.FIRST_COMPLETED)
            if first.done() and isinstance(first.result(), core.Ok):
                return first.result()
            outcome = await second
            if isinstance(outcome, core.Ok):
                self._policy.record_win()
                return outcome
            # A second attempt that fails must not replace the first one.
            return await first
        finally:
            for attempt in attempts:
                attempt.cancel()

    def _start_second(
        self, work: _work_item.WorkItem, first_target_id: str
    ) -> _Attempt | None:
        """Starts a second attempt at another target if that is allowed."""
        candidates = self._scheduler.candidates(work)
        chosen = self._scheduler.choose_idle(candidates, first_target_id)
        if chosen is None or not self._policy.try_start(
            candidates, chosen.service_ms
        ):
            return None
        return asyncio.create_task(self._scheduler.run_at(chosen, work))
