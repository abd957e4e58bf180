"""Distribution of configurations to instances, in rising version order.

A few instances per region, the readers, read and watch the store. All instances
pull newer versions that their peers announce. `ConfigFollower.apply_if_newer`
is the only place where a configuration takes effect.
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

# Topic of pulls, in messages between peers.
CONFIG_TOPIC = "config"
# Rendezvous hashing key that selects the readers of a region.
READER_KEY = "config-reader"
READER_COUNT = 3
# Bounds the delay caused by a watch that hangs without an error; a
# configuration must be in force within 3 s.
WATCH_DURATION_MS = 2_000
# Interval at which an instance checks whether it has become a reader.
_READER_POLL_INTERVAL_MS = 500
# Retry interval while the store is unavailable. At 500 ms, readers missed a
# version that was accepted in the 200 ms between two outages.
_RETRY_INTERVAL_MS = 100
# Spreads the pulls of instances that learn of a version simultaneously.
_MAX_PULL_JITTER_MS = 100
# A new instance that has not received the version in force by then starts with
# its configuration file.
SYNC_TIMEOUT_MS = 3_000
_SYNC_POLL_INTERVAL_MS = 20
_INITIAL_BACKOFF_MS = 200
_MAX_BACKOFF_MS = 5_000


@dataclasses.dataclass(frozen=True)
class PullSource:
    """A peer from which an announced version can be pulled."""

    name: str
    address: core.Address
    version: int


class ConfigPeers(abc.ABC):
    """Access to peers that exchange configurations."""

    @abc.abstractmethod
    def is_reader(self) -> bool:
        """Returns whether this instance is a reader, in its own view."""

    @abc.abstractmethod
    def sources(self, above: int) -> Sequence[PullSource]:
        """Returns peers that announce a version higher than `above`."""

    @abc.abstractmethod
    def announce(self, version: int) -> None:
        """Announces to the peers that a version can be pulled here."""

    @abc.abstractmethod
    async def pull(
        self, source: PullSource, payload: bytes
    ) -> core.Outcome[bytes]:
        """Calls `ConfigFollower.handle_pull` of a peer."""


class ConfigFollower:
    """Applies the newest configuration and serves it to peers.

    A record that this instance cannot parse is served to peers but not
    applied; the previous configuration stays in force unchanged.
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
        """Starts without a configuration.

        Args:
            clock: Clock for waits and timeouts.
            rng: Random source for jitter and for the choice of peers.
            peers: Access to other instances.
            apply: Applies a deployment, the parsed configuration, to this
                process.
            config_store: Store to read, or None if this instance never reads.
            service: Service to restrict pulls to, or empty for all services.
        """
        self._clock = clock
        self._rng = rng
        self._peers = peers
        self._apply = apply
        self._config_store = config_store
        self._service = service
        self._applied: _record.ConfigRecord | None = None
        self._deployment: config.Deployment | None = None
        self._highest: _record.ConfigRecord | None = None
        # Cached, because compression takes milliseconds and many peers pull
        # simultaneously.
        self._compressed_highest = b""
        self._announced = asyncio.Event()
        # Version in the store that raised `_store_alarm`, -1 for none.
        self._alarmed_version = -1
        self._is_store_empty = False
        self._created_ms = clock.now_ms()
        self._rejection_alarm = ""
        self._store_alarm = ""
        # Answers to pulls that did not contain the announced version.
        self.stale_answer_count = 0

    @property
    def version(self) -> int:
        """Version in force, 0 for the configuration file."""
        return 0 if self._applied is None else self._applied.version

    @property
    def highest_version(self) -> int:
        """Highest version received, above `version` if it cannot be applied."""
        return 0 if self._highest is None else self._highest.version

    @property
    def synced(self) -> bool:
        """Whether the initial synchronization has finished or timed out.

        Serving earlier could use a configuration file that is older than the
        version that was in force before a restart.
        """
        elapsed_ms = self._clock.now_ms() - self._created_ms
        if elapsed_ms >= SYNC_TIMEOUT_MS:
            return True
        # -1 includes peers that announce version 0.
        versions = [peer.version for peer in self._peers.sources(-1)]
        if versions:
            return self.highest_version >= max(versions)
        return self._is_store_empty or self.highest_version > 0

    async def wait_until_synced(self) -> None:
        """Waits until `synced`, at most `SYNC_TIMEOUT_MS` after creation."""
        while not self.synced:
            await self._clock.sleep(_SYNC_POLL_INTERVAL_MS)

    @property
    def alarm(self) -> str:
        """Condition that needs operator action, or an empty string."""
        return self._store_alarm or self._rejection_alarm

    def status(self) -> dict[str, object]:
        """Returns the configuration state for the status page."""
        record = self._applied
        return {
            "version": self.version,
            "highest_version": self.highest_version,
            "identity": "" if record is None else record.identity,
            "author": "" if record is None else record.author,
            "alarm": self.alarm,
            "stale_answer_count": self.stale_answer_count,
        }

    def notify(self) -> None:
        """Wakes the pull task after an announcement of a peer."""
        self._announced.set()

    def apply_if_newer(self, record: _record.ConfigRecord, source: str) -> bool:
        """Applies a record if its version is the highest received so far.

        Args:
            record: Record from the store or from a peer.
            source: Origin of the record for the log.

        Returns:
            Whether the record was newer.
        """
        if record.version <= self.highest_version:
            return False
        self._highest = record
        self._compressed_highest = b""
        parsed = record.parse()
        if isinstance(parsed, core.Failure):
            self._reject(record.version, parsed.message)
        else:
            self._applied = record
            self._deployment = parsed.value
            self._rejection_alarm = ""
            self._apply(parsed.value)
            telemetry.log(
                "config-in-force", version=record.version, source=source
            )
        self._peers.announce(record.version)
        return True

    def _reject(self, version: int, reason: str) -> None:
        alarm = f"version {version} was not applied: {reason}"
        if alarm != self._rejection_alarm:
            self._rejection_alarm = alarm
            telemetry.log(
                "config-held-back",
                version=version,
                kept_version=self.version,
                reason=reason,
            )

    def handle_pull(self, payload: bytes) -> bytes:
        """Returns the compressed record for a pull; empty if none is newer."""
        request = _record.decode(payload, _record.PullRequest)
        if request is None or request.above >= self.highest_version:
            return b""
        if request.service:
            filtered = self._make_service_record(request)
            return (
                b"" if filtered is None else _record.compress_record(filtered)
            )
        if not self._compressed_highest and self._highest is not None:
            self._compressed_highest = _record.compress_record(self._highest)
        return self._compressed_highest

    def _make_service_record(
        self, request: _record.PullRequest
    ) -> _record.ConfigRecord | None:
        """Returns the record in force, restricted to the requested service.

        A higher record cannot be restricted, as it could not be parsed. Returns
        None if the record in force is not newer than requested.
        """
        record, deployment = self._applied, self._deployment
        if record is None or deployment is None:
            return None
        if record.version <= request.above:
            return None
        text = config.render(deployment.restricted_to(request.service))
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
                await self._clock.sleep(_READER_POLL_INTERVAL_MS)
                continue
            revision = await self._read_store(config_store)
            if revision is None:
                await self._clock.sleep(_RETRY_INTERVAL_MS)
                continue
            watch = config_store.watch(revision + 1, WATCH_DURATION_MS)
            async for outcome in watch:
                if isinstance(outcome, core.Ok):
                    self.apply_if_newer(outcome.value, "store")
                else:
                    # The watch ends here; the store is read again.
                    await self._clock.sleep(_RETRY_INTERVAL_MS)

    async def _read_store(
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
                self._reject(
                    head.version, "its record is missing or cannot be decoded"
                )
            else:
                self.apply_if_newer(record.value, "store")
        self._is_store_empty = head.version == 0
        await self._check_store_version(config_store, state.value)
        return state.value.revision

    async def _check_store_version(
        self,
        config_store: _config_store.ConfigStore,
        state: _config_store.ConfigState,
    ) -> None:
        """Raises alarm and floor if the store lost the highest record."""
        highest = self._highest
        if highest is None or state.head.version > highest.version:
            self._store_alarm = ""
            return
        if state.head == _record.Head(highest.version, highest.identity):
            self._alarmed_version = -1
            self._store_alarm = ""
            return
        # The floor is the lowest base version that a push may have. If two
        # records have the same version, that version is ambiguous as a base, so
        # the floor is one higher.
        same_version = state.head.version == highest.version
        floor = highest.version + same_version
        if self._alarmed_version != state.head.version:
            self._alarmed_version = state.head.version
            self._store_alarm = (
                f"version {state.head.version} in the store differs from "
                f"version {highest.version} received earlier; the store was "
                "restored from an older snapshot: push again with "
                f"--base {floor}"
            )
            telemetry.log(
                "config-store-went-back",
                store_version=state.head.version,
                kept_version=highest.version,
                base_version=floor,
            )
        await config_store.raise_floor(state, floor)

    async def _pull_loop(self) -> None:
        backoff_ms = _INITIAL_BACKOFF_MS
        while True:
            self._announced.clear()
            sources = self._peers.sources(self.highest_version)
            if not sources:
                await self._announced.wait()
                continue
            await self._clock.sleep(self._rng.uniform(0, _MAX_PULL_JITTER_MS))
            if await self._pull(self._rng.choice(sources)):
                backoff_ms = _INITIAL_BACKOFF_MS
            else:
                await self._clock.sleep(backoff_ms)
                backoff_ms = min(2 * backoff_ms, _MAX_BACKOFF_MS)

    async def _pull(self, source: PullSource) -> bool:
        request = _record.PullRequest(self.highest_version, self._service)
        outcome = await self._peers.pull(source, _record.encode(request))
        if isinstance(outcome, core.Failure):
            return False
        record = _record.decompress_record(outcome.value)
        if record is not None and self.apply_if_newer(record, source.name):
            return True
        self.stale_answer_count += self.highest_version < source.version
        return False
