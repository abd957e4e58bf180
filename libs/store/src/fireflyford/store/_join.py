"""Addresses in the store through which new instances join.

The readers of each region keep one entry each, under a lease, so that entries
of instances that are gone disappear. A lease guards nothing else: a holder
that was paused past its lease and the reader that took its place both write
addresses of running instances, and either serves a joining instance.
"""

from collections.abc import Callable
from collections.abc import Sequence

from fireflyford import core
from fireflyford import telemetry
from fireflyford.store import _etcd
from fireflyford.store import _store

_PREFIX = "fireflyford/join/"
LEASE_DURATION_S = 10
# Two renewals may be lost before the lease ends.
RENEW_INTERVAL_MS = 3_000
_POLL_MS = 500


class JoinEntry:
    """Keeps one instance's entry while it is wanted."""

    def __init__(
        self,
        store: _store.Store,
        clock: core.Clock,
        instance_id: str,
        address: core.Address,
        wanted: Callable[[], bool],
    ) -> None:
        """Prepares the entry.

        Args:
            store: Where the entry is kept.
            clock: Source of time.
            instance_id: Name of the instance.
            address: Control address of the instance.
            wanted: Whether the instance should have an entry now.
        """
        self._store = store
        self._clock = clock
        self._key = _PREFIX + instance_id
        self._value = str(address).encode()
        self._wanted = wanted
        self._lease_id = 0
        self.lapsed_count = 0

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            if not self._wanted():
                await self._drop()
                await self._clock.sleep(_POLL_MS)
            elif self._lease_id == 0:
                await self._write()
                await self._clock.sleep(
                    RENEW_INTERVAL_MS if self._lease_id else _POLL_MS
                )
            elif await self._renew():
                await self._clock.sleep(RENEW_INTERVAL_MS)

    async def _write(self) -> None:
        lease = await self._store.grant_lease(LEASE_DURATION_S)
        if isinstance(lease, core.Failure):
            return
        write = _store.Write(self._key, self._value, lease.value)
        outcome = await self._store.commit([], [write])
        if isinstance(outcome, core.Ok):
            self._lease_id = lease.value

    async def _renew(self) -> bool:
        """Returns whether the next renewal can wait."""
        outcome = await self._store.renew_lease(self._lease_id)
        if isinstance(outcome, core.Failure):
            return True
        if not outcome.value:
            telemetry.log("join-lease-lapsed", key=self._key)
            self.lapsed_count += 1
            self._lease_id = 0
        return outcome.value

    async def _drop(self) -> None:
        if self._lease_id:
            await self._store.revoke_lease(self._lease_id)
            self._lease_id = 0


async def find_seeds(
    seeds: Sequence[str], gateways: Sequence[str]
) -> tuple[str, ...]:
    """Returns the seeds of the settings and those of the store.

    Args:
        seeds: Control addresses from the settings, as `ip:port`.
        gateways: Gateways of the store, as `ip:port`; may be empty.
    """
    if not gateways:
        return tuple(seeds)
    store = _etcd.EtcdStore([core.Address.parse(item) for item in gateways])
    outcome = await store.read(_PREFIX)
    if isinstance(outcome, core.Failure):
        telemetry.log("join-entries-unknown", reason=outcome.message)
        return tuple(seeds)
    found = (entry.value.decode() for entry in outcome.value.entries)
    return tuple(dict.fromkeys([*seeds, *found]))
