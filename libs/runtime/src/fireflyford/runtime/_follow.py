"""Following the keys of the store that start with a prefix."""

import abc
import random

from fireflyford import core
from fireflyford import store
from fireflyford import telemetry

# A watch ends after this time at the latest and begins anew, which bounds the
# effect of a watch that no longer hears anything.
WATCH_LIMIT_MS = 10_000
# Pauses after a failed call: short enough for entries to be back within 2 s
# of the store's return, long enough to spare a store that is in trouble.
RETRY_MIN_MS = 200
RETRY_MAX_MS = 800


class Listener(abc.ABC):
    """Takes what the store holds under a prefix."""

    @abc.abstractmethod
    def take_all(self, reading: store.ReadResult) -> None:
        """Takes a complete reading."""

    @abc.abstractmethod
    def take_changes(self, reading: store.ReadResult) -> None:
        """Takes written and deleted keys."""

    def pause_ms(self) -> int:
        """Returns how long to wait after changes before the next watch.

        Changes that come together then cost one call.
        """
        return 0

    def lose(self, reason: str) -> None:
        """Notes that the store does not answer."""
        del reason


class PrefixFollower:
    """Reads a prefix and watches it from there on."""

    def __init__(
        self,
        client: store.Store,
        clock: core.Clock,
        rng: random.Random,
        prefix: str,
        listener: Listener,
    ) -> None:
        """Prepares to follow.

        Args:
            client: The store.
            clock: Source of time.
            rng: Source of jitter.
            prefix: Start of the keys.
            listener: Takes readings.
        """
        self._client = client
        self._clock = clock
        self._rng = rng
        self._prefix = prefix
        self._listener = listener
        self._is_lost = False
        # When the store last answered, None before the first answer.
        self.heard_ms: int | None = None

    @property
    def is_lost(self) -> bool:
        """Whether the last call failed."""
        return self._is_lost

    async def run(self) -> None:
        """Follows until cancelled."""
        failure_count = 0
        while True:
            if await self._read_and_watch():
                failure_count = 0
            else:
                failure_count += 1
                longest_ms = min(RETRY_MAX_MS, RETRY_MIN_MS << failure_count)
                await self._clock.sleep(
                    self._rng.uniform(RETRY_MIN_MS, longest_ms)
                )

    async def _read_and_watch(self) -> bool:
        """Returns whether the reading succeeded."""
        outcome = await self._client.read(self._prefix)
        if isinstance(outcome, core.Failure):
            self._lose(outcome.message)
            return False
        self._hear()
        self._listener.take_all(outcome.value)
        revision = outcome.value.revision
        while True:
            async for change in self._client.watch(
                self._prefix, revision + 1, WATCH_LIMIT_MS
            ):
                if isinstance(change, core.Failure):
                    self._lose(change.message)
                    return True
                self._hear()
                revision = max(revision, change.value.revision)
                if change.value.entries or change.value.deleted:
                    self._listener.take_changes(change.value)
                    await self._clock.sleep(self._listener.pause_ms())

    def _hear(self) -> None:
        if self._is_lost:
            telemetry.log("store-regained", prefix=self._prefix)
        self._is_lost = False
        self.heard_ms = self._clock.now_ms()

    def _lose(self, reason: str) -> None:
        if not self._is_lost:
            telemetry.log("store-lost", prefix=self._prefix, reason=reason)
        self._is_lost = True
        self._listener.lose(reason)
