"""Seed addresses in the store for instances that join.

Each configuration reader of a region maintains one entry under a lease, so
that entries of stopped instances expire. The lease provides no mutual
exclusion: an instance that was paused beyond its lease and the reader that
replaced it both write addresses of running instances, and a new instance can
join through either.
"""

from collections.abc import Callable
from collections.abc import Sequence

from fireflyford import core
from fireflyford import telemetry
from fireflyford.store import _etcd
from fireflyford.store import _store

_PREFIX = "fireflyford/join/"
LEASE_DURATION_S = 10
# Allows two lost renewals before the lease expires.
RENEW_INTERVAL_MS = 3_000
_POLL_INTERVAL_MS = 500


class JoinEntry:
    """Maintains the entry of one instance while it should exist."""

    def __init__(
        self,
        store: _store.Store,
        clock: core.Clock,
        instance_id: str,
        address: core.Address,
        is_wanted: Callable[[], bool],
    ) -> None:
        """Initializes without contacting the store.

        Args:
            store: Store for the entry.
            clock: Clock for renewals.
            instance_id: ID of the instance.
            address: Control address of the instance.
            is_wanted: Returns whether the entry should exist now.
        """
        self._store = store
        self._clock = clock
        self._key = _PREFIX + instance_id
        self._value = str(address).encode()
        self._is_wanted = is_wanted
        self._lease_id = 0
        self.expired_count = 0

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            if not self._is_wanted():
                await self._revoke()
                await self._clock.sleep(_POLL_INTERVAL_MS)
            elif self._lease_id == 0:
                await self._write()
                await self._clock.sleep(
                    RENEW_INTERVAL_MS if self._lease_id else _POLL_INTERVAL_MS
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
        """Renews the lease; returns False if the entry must be rewritten."""
        outcome = await self._store.renew_lease(self._lease_id)
        if isinstance(outcome, core.Failure):
            return True
        if not outcome.value:
            telemetry.log("join-lease-lapsed", key=self._key)
            self.expired_count += 1
            self._lease_id = 0
        return outcome.value

    async def _revoke(self) -> None:
        if self._lease_id:
            await self._store.revoke_lease(self._lease_id)
            self._lease_id = 0


async def find_seeds(
    seeds: Sequence[str], gateways: Sequence[str]
) -> tuple[str, ...]:
    """Returns the seeds from the settings and from the store, deduplicated.

    Args:
        seeds: Control addresses from the settings as `ip:port`.
        gateways: Store gateways as `ip:port`; may be empty.
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
