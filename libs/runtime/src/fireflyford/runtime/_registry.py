"""Entries of instances in the store, by which instances find each other."""

import asyncio
from collections.abc import Callable
import random

import msgspec

from fireflyford import core
from fireflyford import flows
from fireflyford import store
from fireflyford import telemetry
from fireflyford.runtime import _follow
from fireflyford.runtime import _link_codec

PREFIX = "fireflyford/instances/"
# Two renewals may be lost before an entry lapses.
LEASE_DURATION_S = 3
RENEW_INTERVAL_MS = 900
# Starts, drains and ends are told by beats at once, so the watch may be late.
# Below the silence after which an instance without an entry is gone.
WATCH_PAUSE_MS = 1_500
# Until the own entry is seen, so that an entry written before it is seen soon:
# of two instances that start together, one then knows the other.
JOIN_PAUSE_MS = 100
# Pause after a failed write.
RETRY_MS = 400

_DECODER = msgspec.json.Decoder(tuple[str, str, str, str, str, int, bool])


class Registry(_follow.Listener):
    """Keeps the own entry and the fleet's view of all entries."""

    def __init__(
        self,
        client: store.Store,
        clock: core.Clock,
        rng: random.Random,
        own: flows.Instance,
        fleet: flows.Fleet,
        joined: Callable[[flows.Instance | None], None],
        found: Callable[[list[flows.Instance]], None],
    ) -> None:
        """Prepares the registry.

        Args:
            client: The store.
            clock: Source of time.
            rng: Source of jitter.
            own: This instance.
            fleet: View to be kept up to date.
            joined: Called after the first reading with the entry that an
                earlier process left at this address.
            found: Called with the processes that a later reading shows and
                that were not known.
        """
        self._client = client
        self._clock = clock
        self._rng = rng
        self._own = own
        self._fleet = fleet
        self._key = f"{PREFIX}{own.address}"
        self._joined = joined
        self._found = found
        self._has_joined = asyncio.Event()
        self._changed = asyncio.Event()
        self._lease_id = 0
        self._is_missing = True
        self.follower = _follow.PrefixFollower(client, clock, rng, PREFIX, self)

    async def publish(self) -> None:
        """Keeps the own entry until cancelled."""
        # The entry of an earlier process is read before it is replaced.
        await self._has_joined.wait()
        while True:
            if not self._lease_id or self._is_missing:
                done = await self._write()
            else:
                done = await self._renew()
            pause_ms = RENEW_INTERVAL_MS if done else RETRY_MS
            await self._pause(pause_ms * self._rng.uniform(0.9, 1.0))

    def change(self, own: flows.Instance) -> None:
        """Replaces the own entry, at the next write if not at once."""
        self._own = own
        self._is_missing = True
        self._changed.set()

    def _miss(self) -> None:
        """Writes an entry that the store no longer has at once."""
        self._is_missing = True
        self._changed.set()

    async def withdraw(self, limit_ms: int) -> None:
        """Removes the own entry; tries again while the store is away.

        Args:
            limit_ms: How long to try.
        """
        lease_id, self._lease_id = self._lease_id, 0
        if not lease_id:
            return
        try:
            async with asyncio.timeout(max(0, limit_ms) / 1_000):
                while not await self._end_lease(lease_id):
                    await self._clock.sleep(RETRY_MS)
        except TimeoutError:
            # The lease ends by itself.
            telemetry.log("entry-not-withdrawn", reason="no time left")

    async def _end_lease(self, lease_id: int) -> bool:
        outcome = await self._client.revoke_lease(lease_id)
        if isinstance(outcome, core.Failure):
            telemetry.log("entry-not-withdrawn", reason=outcome.message)
            return False
        telemetry.log("entry-withdrawn", lease_id=lease_id)
        return True

    async def _pause(self, duration_ms: float) -> None:
        """Waits, or until the own entry changes."""
        waits = [
            asyncio.create_task(self._clock.sleep(duration_ms)),
            asyncio.create_task(self._changed.wait()),
        ]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        self._changed.clear()

    async def _write(self) -> bool:
        if not self._lease_id:
            lease = await self._client.grant_lease(LEASE_DURATION_S)
            if isinstance(lease, core.Failure):
                telemetry.log("lease-not-granted", reason=lease.message)
                return False
            self._lease_id = lease.value
        value = msgspec.json.encode(_link_codec.pack_instance(self._own))
        write = store.Write(self._key, value, self._lease_id)
        self._is_missing = False
        outcome = await self._client.commit([], [write])
        if isinstance(outcome, core.Failure):
            telemetry.log("entry-not-written", reason=outcome.message)
            # The lease may have ended; a new one is safe in each case.
            self._lease_id = 0
            return False
        telemetry.log("entry-written", lease_id=self._lease_id)
        return True

    async def _renew(self) -> bool:
        outcome = await self._client.renew_lease(self._lease_id)
        if isinstance(outcome, core.Failure):
            return False
        if not outcome.value:
            telemetry.log("lease-lapsed", lease_id=self._lease_id)
            self._lease_id = 0
            return await self._write()
        return True

    def take_all(self, reading: store.ReadResult) -> None:
        """Takes all entries."""
        instances = _instances(reading)
        own = [item for item in instances if item.address == self._own.address]
        if not own:
            self._miss()
        found = self._fleet.replace_entries(instances)
        if self._has_joined.is_set():
            self._found(found)
        else:
            self._has_joined.set()
            self._joined(own[0] if own else None)

    def pause_ms(self) -> int:
        """Returns how long to wait before the next watch."""
        known = self._fleet.find(self._own.address)
        if known is None or known.incarnation != self._own.incarnation:
            return JOIN_PAUSE_MS
        return WATCH_PAUSE_MS

    def take_changes(self, reading: store.ReadResult) -> None:
        """Takes changed entries."""
        if self._key in reading.deleted:
            self._miss()
        written = _instances(reading)
        gone = {key.removeprefix(PREFIX) for key in reading.deleted}
        self._found(self._fleet.update_entries(written, gone))


def _instances(reading: store.ReadResult) -> list[flows.Instance]:
    found = []
    for entry in reading.entries:
        try:
            fields = _DECODER.decode(entry.value)
            found.append(_link_codec.unpack_instance(fields))
        except ValueError as error:
            telemetry.log("bad-entry", key=entry.key, reason=str(error))
    return found
