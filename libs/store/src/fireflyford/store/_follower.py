"""Following the configuration in force, without ever going back.

A few readers read and watch the store; every instance pulls what its peers
announce. All of them pass through `ConfigFollower.apply_if_newer`, the only
place where a configuration takes effect.
"""

import abc
import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import random

from fireflyford import config
from fireflyford import core
from fireflyford import telemetry
from fireflyford.store import _config_store
from fireflyford.store import _record

CONFIG_TOPIC = "config"
# Key of the rendezvous choice of readers, and how many a region has.
READER_KEY = "config-reader"
READER_COUNT = 3
# A watch that hangs without an error costs at most this much of the 3 s in
# which a configuration must be in force.
WATCH_LIMIT_MS = 2_000
# How soon an instance notices that it has become a reader.
_READER_POLL_MS = 500
# How often a reader asks a store that does not answer. At 500 ms the readers
# missed a version that a store accepted right after an outage and 200 ms
# before the next one.
_RETRY_MS = 100
# Spreads the pulls of all instances that hear of a version at once.
_PULL_JITTER_MS = 100
# How long a new instance may wait for the version in force before it serves
# with the configuration file.
SETTLE_LIMIT_MS = 3_000
_SETTLE_POLL_MS = 20
_FIRST_BACKOFF_MS = 200
_LAST_BACKOFF_MS = 5_000


@dataclasses.dataclass(frozen=True)
class PullSource:
    """A peer that announces a configuration version."""

    name: str
    address: core.Address
    version: int


class ConfigPeers(abc.ABC):
    """What following needs of membership."""

    @abc.abstractmethod
    def is_reader(self) -> bool:
        """Whether this instance reads the store, by its own view."""

    @abc.abstractmethod
    def sources(self, above: int) -> Sequence[PullSource]:
        """Returns peers that announce a version above `above`."""

    @abc.abstractmethod
    def announce(self, version: int) -> None:
        """Tells the peers that this instance can hand out a version."""

    @abc.abstractmethod
    async def pull(
        self, source: PullSource, payload: bytes
    ) -> core.Outcome[bytes]:
        """Calls `ConfigFollower.handle_pull` of another instance."""


class ConfigFollower:
    """Highest configuration that this instance has seen.

    A record that this instance cannot read is held: it is passed on to peers,
    but the configuration before it stays in force as a whole.
    """

    def __init__(
        self,
        clock: core.Clock,
        rng: random.Random,
        peers: ConfigPeers,
        apply: Callable[[config.Deployment], None],
        config_store: _config_store.ConfigStore | None = None,
        service: str = "",
    ) -> None:
        """Prepares following.

        Args:
            clock: Source of time.
            rng: Spreads and shuffles pulls.
            peers: Other instances.
            apply: Puts a deployment in force in this process.
            config_store: The store, or None for an instance that never reads.
            service: Follow only this service's part.
        """
        self._clock = clock
        self._rng = rng
        self._peers = peers
        self._apply = apply
        self._config_store = config_store
        self._service = service
        self._in_force: _record.ConfigRecord | None = None
        self._deployment: config.Deployment | None = None
        self._highest: _record.ConfigRecord | None = None
        # Packing takes milliseconds, and many peers ask at once.
        self._packed = b""
        self._changed = asyncio.Event()
        self._alarmed_version = -1
        self._store_is_empty = False
        self._created_ms = clock.now_ms()
        self._held_alarm = ""
        self._store_alarm = ""
        self.stale_answer_count = 0

    @property
    def version(self) -> int:
        """Version in force, 0 for the configuration file."""
        return 0 if self._in_force is None else self._in_force.version

    @property
    def highest_version(self) -> int:
        """Highest version seen, higher than `version` when it is held back."""
        return 0 if self._highest is None else self._highest.version

    @property
    def synced(self) -> bool:
        """Whether the version in force is known, or cannot be learned.

        An instance that took work earlier could, after a restart, serve with
        a configuration file that is older than what it ran before.
        """
        waited_ms = self._clock.now_ms() - self._created_ms
        if waited_ms >= SETTLE_LIMIT_MS:
            return True
        versions = [peer.version for peer in self._peers.sources(-1)]
        if versions:
            return self.highest_version >= max(versions)
        return self._store_is_empty or self.highest_version > 0

    async def wait_until_synced(self) -> None:
        """Waits until `synced`, at most `SETTLE_LIMIT_MS` after the start."""
        while not self.synced:
            await self._clock.sleep(_SETTLE_POLL_MS)

    @property
    def alarm(self) -> str:
        """What an operator has to repair, or an empty text."""
        return self._store_alarm or self._held_alarm

    def status(self) -> dict[str, object]:
        """Describes the configuration for the command line."""
        record = self._in_force
        return {
            "version": self.version,
            "highest_version": self.highest_version,
            "identity": "" if record is None else record.identity,
            "author": "" if record is None else record.author,
            "alarm": self.alarm,
            "stale_answer_count": self.stale_answer_count,
        }

    def notify(self) -> None:
        """Wakes the pull task, because peers may announce a new version."""
        self._changed.set()

    def apply_if_newer(self, record: _record.ConfigRecord, source: str) -> bool:
        """Puts a record in force if it is newer than all before it.

        Args:
            record: Record from the store or from a peer.
            source: Where it came from, for the log.

        Returns:
            Whether the record was newer.
        """
        if record.version <= self.highest_version:
            return False
        self._highest = record
        self._packed = b""
        readable = record.read()
        if isinstance(readable, core.Failure):
            self._hold(record.version, readable.message)
        else:
            self._in_force = record
            self._deployment = readable.value
            self._held_alarm = ""
            self._apply(readable.value)
            telemetry.log(
                "config-in-force", version=record.version, source=source
            )
        self._peers.announce(record.version)
        return True

    def _hold(self, version: int, reason: str) -> None:
        alarm = f"version {version} is held back: {reason}"
        if alarm != self._held_alarm:
            self._held_alarm = alarm
            telemetry.log(
                "config-held-back",
                version=version,
                kept_version=self.version,
                reason=reason,
            )

    def handle_pull(self, payload: bytes) -> bytes:
        """Answers a peer's pull with a record, or nothing."""
        request = _record.decode(payload, _record.PullRequest)
        if request is None or request.above >= self.highest_version:
            return b""
        if request.service:
            part = self._part(request)
            return b"" if part is None else _record.pack(part)
        if not self._packed and self._highest is not None:
            self._packed = _record.pack(self._highest)
        return self._packed

    def _part(
        self, request: _record.PullRequest
    ) -> _record.ConfigRecord | None:
        record, deployment = self._in_force, self._deployment
        if record is None or deployment is None:
            return None
        if record.version <= request.above:
            return None
        text = config.render(deployment.only(request.service))
        return dataclasses.replace(record, text=text)

    async def run(self) -> None:
        """Runs until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._pull_loop())
            if self._config_store is not None:
                tasks.create_task(self._read_loop(self._config_store))

    async def _read_loop(self, config_store: _config_store.ConfigStore) -> None:
        while True:
            if not self._peers.is_reader():
                await self._clock.sleep(_READER_POLL_MS)
                continue
            revision = await self._read(config_store)
            if revision is None:
                await self._clock.sleep(_RETRY_MS)
                continue
            watch = config_store.watch(revision + 1, WATCH_LIMIT_MS)
            async for outcome in watch:
                if isinstance(outcome, core.Ok):
                    self.apply_if_newer(outcome.value, "store")
                else:
                    await self._clock.sleep(_RETRY_MS)

    async def _read(
        self, config_store: _config_store.ConfigStore
    ) -> int | None:
        state = await config_store.read_state()
        if isinstance(state, core.Failure):
            return None
        head = state.value.head
        if head.version > self.highest_version:
            record = await config_store.read(head.version)
            if isinstance(record, core.Failure):
                return None
            if record.value is None:
                self._hold(head.version, "its record is missing or unreadable")
            else:
                self.apply_if_newer(record.value, "store")
        self._store_is_empty = head.version == 0
        await self._check_store(config_store, state.value)
        return state.value.revision

    async def _check_store(
        self,
        config_store: _config_store.ConfigStore,
        state: _config_store.ConfigState,
    ) -> None:
        """Raises an alarm when the store lost what instances run."""
        known = self._highest
        if known is None or state.head.version > known.version:
            self._store_alarm = ""
            return
        if state.head == _record.Head(known.version, known.identity):
            self._alarmed_version = -1
            self._store_alarm = ""
            return
        # With another record under the same number, neither number can serve
        # as a base, so the floor is one above both.
        same_number = state.head.version == known.version
        floor = known.version + same_number
        if self._alarmed_version != state.head.version:
            self._alarmed_version = state.head.version
            self._store_alarm = (
                f"the store holds version {state.head.version}, which is not "
                f"what runs ({known.version}); it was restored from an older "
                f"snapshot: push again with --base {floor}"
            )
            telemetry.log(
                "config-store-went-back",
                store_version=state.head.version,
                kept_version=known.version,
                base_version=floor,
            )
        await config_store.raise_floor(state, floor)

    async def _pull_loop(self) -> None:
        backoff_ms = _FIRST_BACKOFF_MS
        while True:
            self._changed.clear()
            sources = self._peers.sources(self.highest_version)
            if not sources:
                await self._changed.wait()
                continue
            await self._clock.sleep(self._rng.uniform(0, _PULL_JITTER_MS))
            if await self._pull(self._rng.choice(sources)):
                backoff_ms = _FIRST_BACKOFF_MS
            else:
                await self._clock.sleep(backoff_ms)
                backoff_ms = min(2 * backoff_ms, _LAST_BACKOFF_MS)

    async def _pull(self, source: PullSource) -> bool:
        request = _record.PullRequest(self.highest_version, self._service)
        outcome = await self._peers.pull(source, _record.encode(request))
        if isinstance(outcome, core.Failure):
            return False
        record = _record.unpack(outcome.value)
        if record is not None and self.apply_if_newer(record, source.name):
            return True
        self.stale_answer_count += self.highest_version < source.version
        return False
