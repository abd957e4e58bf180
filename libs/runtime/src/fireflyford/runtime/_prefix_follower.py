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
# Delays after a failed call: short enough for entries to be written again
# within 2 s of the store's recovery, long enough not to overload a failing
# store.
RETRY_MIN_MS = 200
RETRY_MAX_MS = 800


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
        self._resume_requested = asyncio.Event()
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
            if await self._read_and_watch():
                failure_count = 0
            else:
                failure_count += 1
                max_delay_ms = min(RETRY_MAX_MS, RETRY_MIN_MS << failure_count)
                await self._clock.sleep(
                    self._rng.uniform(RETRY_MIN_MS, max_delay_ms)
                )

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
        self._listener.handle_full_read(outcome.value)
        revision = outcome.value.revision
        while True:
            async for change in self._client.watch(
                self._prefix, revision + 1, WATCH_LIMIT_MS
            ):
                if isinstance(change, core.Failure):
                    self._mark_unreachable(change.message)
                    return True
                self._mark_reachable()
                revision = max(revision, change.value.revision)
                if change.value.entries or change.value.deleted:
                    self._listener.handle_changes(change.value)
                    await self._pause(self._listener.watch_delay_ms())

    def resume(self) -> None:
        """Ends the pause before the next watch."""
        self._resume_requested.set()

    async def _pause(self, duration_ms: int) -> None:
        """Waits for `duration_ms`, or until `resume` is called."""
        self._resume_requested.clear()
        await self._clock.wait_for(self._resume_requested, duration_ms)

    def _mark_reachable(self) -> None:
        if self._is_unreachable:
            telemetry.log("store-regained", prefix=self._prefix)
        self._is_unreachable = False
        self.last_response_ms = self._clock.now_ms()

    def _mark_unreachable(self, reason: str) -> None:
        if not self._is_unreachable:
            telemetry.log("store-lost", prefix=self._prefix, reason=reason)
        self._is_unreachable = True
        self._listener.handle_failure(reason)
