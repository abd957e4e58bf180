"""Follows the keys of the store that start with a prefix."""

import abc
import asyncio
import random

from fireflyford import core
from fireflyford import store
from fireflyford import telemetry

# Watches are renewed after this time, which bounds how long a watch that no
# longer receives changes stays unnoticed.
WATCH_LIMIT_MS = 10_000
# Delays after a failed call: short enough for a configuration to be in force
# within its 5 s, long enough not to overload a failing store.
RETRY_MIN_MS = 200
RETRY_MAX_MS = 800
# After a restore of the store, all instances read everything again; their calls
# are spread over this time.
RESTORE_SPREAD_MS = 500
# Keeps the doubled delay a small number in a long outage.
_MAX_DOUBLING_COUNT = 10


class PrefixListener(abc.ABC):
    """Receives the entries of a prefix and their changes."""

    @abc.abstractmethod
    def handle_full_read(self, result: store.ReadResult) -> None:
        """Handles a read of all entries."""

    @abc.abstractmethod
    def handle_changes(self, result: store.ReadResult) -> None:
        """Handles written and deleted entries."""

    def watch_delay_ms(self) -> int:
        """Returns the delay between changes and the next watch.

        A delay lets one call return several changes.
        """
        return 0

    def first_watch_delay_ms(self) -> int:
        """Returns the delay between a full read and the first watch."""
        return 0

    def watch_limit_ms(self) -> int:
        """Returns after how long a watch without changes is renewed."""
        return WATCH_LIMIT_MS

    def retry_max_ms(self) -> int:
        """Returns the longest delay after a failed read."""
        return RETRY_MAX_MS

    def continues_cut_watch(self) -> bool:
        """Returns whether a cut watch goes on from its position.

        Otherwise the prefix is read again after each failed watch, which shows
        sooner whether the store is available.
        """
        return False

    def handle_failure(self, reason: str) -> None:
        """Handles a failed call to the store."""
        del reason


class PrefixFollower:
    """Reads a prefix, then watches it for changes."""

    def __init__(
        self,
        client: store.Store,
        clock: core.Clock,
        rng: random.Random,
        prefix: str,
        listener: PrefixListener,
    ) -> None:
        """Prepares to follow.

        Args:
            client: The store.
            clock: Source of time.
            rng: Source of jitter.
            prefix: Start of the keys.
            listener: Receives entries and changes.
        """
        self._client = client
        self._clock = clock
        self._rng = rng
        self._prefix = prefix
        self._listener = listener
        self._is_unreachable = False
        # Whether the last watch failed and goes on from its position.
        self._is_cut = False
        self._work: asyncio.Future[bool] | None = None
        # Era of the last full read, None before the first one.
        self._read_era: int | None = None
        # Era after whose rise everything is, or was last, read again.
        self._restored_era: int | None = None
        # Rises of the era after which everything was read again.
        self.restore_count = 0
        client.add_era_listener(self._handle_new_era)
        self._resume_requested = asyncio.Event()
        # How long the present pause has to last at least, in spite of a request
        # to resume; None without such a request.
        self._min_pause_ms: int | None = None
        # Time of the last response of the store, None before the first one.
        self.last_response_ms: int | None = None

    @property
    def is_unreachable(self) -> bool:
        """Whether the last call to the store failed."""
        return self._is_unreachable

    async def run(self) -> None:
        """Follows until cancelled."""
        failure_count = 0
        while True:
            if await self._read_in_one_era():
                failure_count = 0
            else:
                failure_count += 1
                max_delay_ms = min(
                    self._listener.retry_max_ms(),
                    RETRY_MIN_MS << min(failure_count, _MAX_DOUBLING_COUNT),
                )
                await self._pause(self._rng.uniform(RETRY_MIN_MS, max_delay_ms))

    async def _read_in_one_era(self) -> bool:
        """Reads and watches until a call fails or the era rises."""
        era = self._client.era
        if self._read_era not in (None, era) and self._restored_era != era:
            self._restored_era = era
            self.restore_count += 1
            await self._pause(self._rng.uniform(0, RESTORE_SPREAD_MS))
        self._work = asyncio.ensure_future(self._read_and_watch())
        try:
            await asyncio.wait([self._work])
            return self._work.cancelled() or self._work.result()
        finally:
            self._work.cancel()
            self._work = None

    def _handle_new_era(self) -> None:
        """Ends a watch of an earlier era, which may wait for its limit."""
        # A response to a call of this follower shows the era by itself.
        if self._work is not None and asyncio.current_task() is not self._work:
            self._work.cancel()
        self.resume()

    async def _read_and_watch(self) -> bool:
        """Reads the prefix, then watches it until a call fails.

        Returns:
            Whether the read succeeded. If only a watch failed, the next read
            follows without delay.
        """
        outcome = await self._client.read(self._prefix)
        if isinstance(outcome, core.Failure):
            self._mark_unreachable(outcome.message)
            return False
        self._mark_reachable()
        self._read_era = outcome.value.era
        self._listener.handle_full_read(outcome.value)
        await self._pause(self._listener.first_watch_delay_ms())
        position = outcome.value.position
        while True:
            async for change in self._client.watch(
                self._prefix,
                position.revision + 1,
                self._listener.watch_limit_ms(),
            ):
                if isinstance(change, core.Failure):
                    if not self._may_continue(change):
                        self._handle_watch_failure(change)
                        return True
                    self._is_cut = True
                    telemetry.log(
                        "watch-cut", prefix=self._prefix, reason=change.message
                    )
                    await self._pause(
                        self._rng.uniform(RETRY_MIN_MS, RETRY_MAX_MS)
                    )
                    break
                self._mark_reachable()
                if change.value.era != position.era:
                    # Changes from before the restore may be undone.
                    return True
                position = max(position, change.value.position)
                if change.value.entries or change.value.deleted:
                    self._listener.handle_changes(change.value)
                    await self._pause(self._listener.watch_delay_ms())

    def _may_continue(self, failure: core.Failure) -> bool:
        """Returns whether a failed watch may go on from its position.

        It may after one failure. Entries may lapse in a longer outage, and the
        store may not report that, so a second failure asks for a full read.
        """
        return (
            self._listener.continues_cut_watch()
            and not self._is_cut
            and failure.kind is core.ErrorKind.STORE_UNAVAILABLE
        )

    def _handle_watch_failure(self, failure: core.Failure) -> None:
        """Records a failed watch that a full read follows."""
        if failure.kind is core.ErrorKind.STORE_HISTORY_GONE:
            telemetry.log("history-gone", prefix=self._prefix)
        else:
            self._mark_unreachable(failure.message)

    def resume(self, min_pause_ms: int = 0) -> None:
        """Ends the pause before the next call.

        Args:
            min_pause_ms: How long the pause has to last at least.
        """
        if self._min_pause_ms is not None:
            min_pause_ms = min(min_pause_ms, self._min_pause_ms)
        self._min_pause_ms = min_pause_ms
        self._resume_requested.set()

    async def _pause(self, duration_ms: float) -> None:
        """Waits for `duration_ms`, or until `resume` ends the pause."""
        self._resume_requested.clear()
        self._min_pause_ms = None
        started_ms = self._clock.now_ms()
        while True:
            if self._min_pause_ms is not None:
                duration_ms = min(duration_ms, self._min_pause_ms)
            remaining_ms = started_ms + duration_ms - self._clock.now_ms()
            if remaining_ms <= 0:
                return
            await self._clock.wait_for(self._resume_requested, remaining_ms)
            self._resume_requested.clear()

    def _mark_reachable(self) -> None:
        if self._is_unreachable:
            telemetry.log("store-regained", prefix=self._prefix)
        self._is_unreachable = False
        self._is_cut = False
        self.last_response_ms = self._clock.now_ms()

    def _mark_unreachable(self, reason: str) -> None:
        if not self._is_unreachable:
            telemetry.log("store-lost", prefix=self._prefix, reason=reason)
        self._is_unreachable = True
        self._listener.handle_failure(reason)
