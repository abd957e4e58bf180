"""Registry of instances in the store, for discovery."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import random

import msgspec

from fireflyford import core
from fireflyford import flows
from fireflyford import store
from fireflyford import telemetry
from fireflyford.runtime import _heartbeats
from fireflyford.runtime import _link_codec
from fireflyford.runtime import _prefix_follower

PREFIX = "fireflyford/instances/"
# Applies until the watch has returned the entry of this instance, and thus all
# entries written before it: of two instances that start together, the one that
# writes its entry later soon finds the other. A successful write ends the
# delay, so that one watch returns both.
JOIN_WATCH_DELAY_MS = 250
# Delay after a failed renewal.
RETRY_MS = 400
# Delay after a failed write, which costs ten times as much; the entry is back
# within 2 s of the recovery of the store.
WRITE_RETRY_MS = 800
# Longest delay after a failed read: the first call to the store that succeeds
# after a failure ends the delay.
READ_RETRY_MAX_MS = 3_000


class Registry(_prefix_follower.PrefixListener):
    """Publishes the entry of this instance and keeps the fleet up to date."""

    def __init__(
        self,
        client: store.Store,
        clock: core.Clock,
        rng: random.Random,
        own_instance: flows.Instance,
        fleet: flows.Fleet,
        on_loaded: Callable[[flows.Instance | None], None],
        on_discovered: Callable[[list[flows.Instance]], None],
    ) -> None:
        """Prepares the registry.

        Args:
            client: The store.
            clock: Source of time.
            rng: Source of jitter.
            own_instance: Instance to publish.
            fleet: View of all instances, updated with the registry entries.
            on_loaded: Called after the first read with the entry that a
                previous process left at this address, None if there was none.
            on_discovered: Called after each later read or change with the
                instances whose process was not known before.
        """
        self._client = client
        self._clock = clock
        self._rng = rng
        self._own_instance = own_instance
        self._fleet = fleet
        self._key = f"{PREFIX}{own_instance.address}"
        self._on_loaded = on_loaded
        self._on_discovered = on_discovered
        self._is_loaded = asyncio.Event()
        self._write_requested = asyncio.Event()
        self._lease_id = 0
        self._lease_granted_ms = 0
        # Whether the next write waits, so that instances do not write together.
        self._is_spread = False
        # Era of the entries in the fleet, None before the first read.
        self._view_era: int | None = None
        client.add_era_listener(self._handle_new_era)
        self._lease_duration_s = _heartbeats.MIN_LEASE_DURATION_S
        self._needs_write = True
        # The entry as it was last written.
        self._written_value = b""
        # Whether a watch has returned the entry of this instance.
        self._has_joined = False
        self.follower = _prefix_follower.PrefixFollower(
            client, clock, rng, PREFIX, self
        )

    async def publish(self) -> None:
        """Publishes the entry and renews its lease until cancelled."""
        # The entry of a previous process must be read before it is overwritten.
        await self._is_loaded.wait()
        had_failed = False
        while True:
            if self._is_spread:
                self._is_spread = False
                await self._clock.sleep(
                    self._rng.uniform(0, _prefix_follower.RESTORE_SPREAD_MS)
                )
            is_write = not self._lease_id or self._needs_write
            if is_write:
                succeeded = await self._write()
            else:
                succeeded = await self._renew()
            if succeeded and had_failed:
                # The store may have lost entries while it was unavailable.
                self.follower.resume()
            had_failed = not succeeded
            pause_ms = float(WRITE_RETRY_MS if is_write else RETRY_MS)
            if succeeded:
                pause_ms = self._renewal_interval_ms()
            await self._wait_for_write_request(
                pause_ms * self._rng.uniform(0.9, 1.0)
            )

    def _renewal_interval_ms(self) -> float:
        return self._lease_duration_s * 1_000 / _heartbeats.RENEWALS_PER_LEASE

    def _handle_new_era(self) -> None:
        """Gives up the lease of the earlier era and has the entry written.

        The store may have lost both, and may have issued the identifier of the
        lease again to another instance.
        """
        self._lease_id = 0
        self._is_spread = True
        self._request_write()

    def check_silence(self) -> None:
        """Shortens the pause of the watch while an agent is silent.

        Called periodically.
        """
        if self._fleet.has_silent_agents(_heartbeats.SILENCE_LIMIT_MS):
            self.follower.resume(
                _heartbeats.silence_watch_delay_ms(len(self._fleet.instances()))
            )

    def update(self, own_instance: flows.Instance) -> None:
        """Replaces the entry of this instance; a failed write is repeated."""
        self._own_instance = own_instance
        self._needs_write = True
        self._write_requested.set()

    def _request_write(self) -> None:
        """Requests a write of the entry, which the store does not have."""
        self._needs_write = True
        self._write_requested.set()

    async def withdraw(self, limit_ms: int) -> None:
        """Removes the entry; retries while the store is unavailable.

        Args:
            limit_ms: Time limit.
        """
        lease_id = self._lease_id
        if not lease_id:
            return
        try:
            async with asyncio.timeout(max(0, limit_ms) / 1_000):
                while not await self._end_lease(lease_id):
                    await self._clock.sleep(RETRY_MS)
                    if self._lease_id != lease_id:
                        # An entry of an earlier era ends with its lease.
                        telemetry.log(
                            "entry-not-withdrawn", reason="earlier-era"
                        )
                        break
        except TimeoutError:
            # The entry is deleted when the lease expires.
            telemetry.log("entry-not-withdrawn", reason="no time left")
        self._lease_id = 0

    async def _end_lease(self, lease_id: int) -> bool:
        outcome = await self._client.revoke_lease(lease_id)
        if isinstance(outcome, core.Failure):
            telemetry.log("entry-not-withdrawn", reason=outcome.message)
            return False
        telemetry.log("entry-withdrawn", lease_id=lease_id)
        return True

    async def _wait_for_write_request(self, duration_ms: float) -> None:
        """Waits for `duration_ms`, or until the entry has to be written."""
        await self._clock.wait_for(self._write_requested, duration_ms)
        self._write_requested.clear()

    async def _write(self) -> bool:
        if not self._lease_id:
            duration_s = _heartbeats.lease_duration_s(
                len(self._fleet.instances())
            )
            lease = await self._client.grant_lease(duration_s)
            if isinstance(lease, core.Failure):
                telemetry.log("lease-not-granted", reason=lease.message)
                return False
            self._lease_duration_s = duration_s
            self._lease_id = lease.value
            self._lease_granted_ms = self._clock.now_ms()
        value = msgspec.json.encode(
            _link_codec.pack_instance(self._own_instance)
        )
        write = store.Write(self._key, value, self._lease_id)
        self._needs_write = False
        self._written_value = value
        outcome = await self._client.commit([], [write])
        if isinstance(outcome, core.Failure):
            telemetry.log("entry-not-written", reason=outcome.message)
            self._needs_write = True
            age_ms = self._clock.now_ms() - self._lease_granted_ms
            if age_ms >= self._renewal_interval_ms():
                # The lease may have expired; a new one is always safe.
                self._lease_id = 0
            return False
        telemetry.log("entry-written", lease_id=self._lease_id)
        if not self._has_joined:
            self.follower.resume()
        return True

    async def _renew(self) -> bool:
        outcome = await self._client.renew_lease(self._lease_id)
        if isinstance(outcome, core.Failure):
            return False
        if not self._lease_id:
            # The response showed a new era; the entry is written next.
            return True
        if not outcome.value:
            telemetry.log("lease-lapsed", lease_id=self._lease_id)
            self._lease_id = 0
            return await self._write()
        return True

    def handle_full_read(self, result: store.ReadResult) -> None:
        """Replaces the entries in the fleet."""
        instances = _decode_instances(result)
        own_entries = [
            item
            for item in instances
            if item.address == self._own_instance.address
        ]
        if not own_entries or self._is_overwritten(result):
            self._request_write()
        if self._view_era is not None and result.era > self._view_era:
            # The copy may lack entries that their instances write again.
            duration_s = _heartbeats.lease_duration_s(
                len(self._fleet.instances())
            )
            self._fleet.retain_entries(duration_s * 1_000)
        self._view_era = result.era
        found = self._fleet.replace_entries(instances)
        if self._is_loaded.is_set():
            self._on_discovered(found)
        else:
            self._is_loaded.set()
            self._on_loaded(own_entries[0] if own_entries else None)

    def _is_overwritten(self, result: store.ReadResult) -> bool:
        """Returns whether another writer has changed the entry."""
        return bool(self._written_value) and any(
            entry.key == self._key and entry.value != self._written_value
            for entry in result.entries
        )

    def watch_delay_ms(self) -> int:
        """Returns the delay before the next watch."""
        if not self._is_own_entry_known():
            return JOIN_WATCH_DELAY_MS
        instance_count = len(self._fleet.instances())
        if not self._has_joined:
            self._has_joined = True
            return _heartbeats.join_watch_delay_ms(instance_count)
        if self._fleet.has_silent_agents(_heartbeats.SILENCE_LIMIT_MS):
            return _heartbeats.silence_watch_delay_ms(instance_count)
        jitter_ratio = _heartbeats.WATCH_DELAY_JITTER_RATIO
        return int(
            _heartbeats.WATCH_DELAY_MS
            * self._rng.uniform(1 - jitter_ratio, 1 + jitter_ratio)
        )

    def first_watch_delay_ms(self) -> int:
        """Returns the delay between a full read and the first watch."""
        return 0 if self._is_own_entry_known() else JOIN_WATCH_DELAY_MS

    def watch_limit_ms(self) -> int:
        """Returns after how long a watch without changes is renewed."""
        return _heartbeats.REGISTRY_WATCH_LIMIT_MS

    def retry_max_ms(self) -> int:
        """Returns the longest delay after a failed read."""
        if not self._is_loaded.is_set():
            # The entry is not written before the first read, so that no other
            # call ends the delay.
            return _prefix_follower.RETRY_MAX_MS
        return READ_RETRY_MAX_MS

    def continues_cut_watch(self) -> bool:
        """Returns True: a large registry takes several calls to read."""
        return True

    def _is_own_entry_known(self) -> bool:
        """Returns whether the entry of this process has been read."""
        known = self._fleet.find(self._own_instance.address)
        return (
            known is not None
            and known.incarnation == self._own_instance.incarnation
        )

    def handle_changes(self, result: store.ReadResult) -> None:
        """Updates changed entries in the fleet."""
        if self._key in result.deleted or self._is_overwritten(result):
            self._request_write()
        written = _decode_instances(result)
        self._on_discovered(
            self._fleet.update_entries(
                written, _parse_deleted_keys(result.deleted)
            )
        )


def _decode_instances(result: store.ReadResult) -> list[flows.Instance]:
    """Decodes entries; leaves out those that another writer has damaged."""
    found = []
    for entry in result.entries:
        try:
            instance = _link_codec.unpack_entry(entry.value)
        except ValueError as error:
            telemetry.log("bad-entry", key=entry.key, reason=str(error))
            continue
        if entry.key != f"{PREFIX}{instance.address}":
            telemetry.log(
                "bad-entry",
                key=entry.key,
                reason="other-address",
                address=instance.address,
            )
            continue
        found.append(instance)
    return found


def _parse_deleted_keys(keys: Iterable[str]) -> list[core.Address]:
    found = []
    for key in keys:
        try:
            found.append(core.Address.parse(key.removeprefix(PREFIX)))
        except ValueError as error:
            telemetry.log("bad-entry", key=key, reason=str(error))
    return found
