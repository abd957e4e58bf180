"""Tests of join entries and their leases."""

import asyncio

from fireflyford import core
from fireflyford import store
from fireflyford.lab import _ports
from fireflyford.lab import _store_server

CONTROL = core.Address("127.0.0.1", 7_001)
OTHER = core.Address("127.0.0.1", 7_002)


class FastClock(core.SystemClock):
    """Clock that runs 100 times faster."""

    async def sleep(self, duration_ms: float) -> None:
        """Waits a hundredth of the duration."""
        await asyncio.sleep(duration_ms / 100_000)


async def _run_past_lease_expiry() -> tuple[store.JoinEntry, tuple[str, ...]]:
    server = _store_server.StoreServer()
    address = _ports.free_address()
    server.listen(address)
    client = store.EtcdStore([address])
    clock = FastClock()
    entry = store.JoinEntry(client, clock, "a", CONTROL, lambda: True)
    other = store.JoinEntry(client, clock, "b", OTHER, lambda: True)
    tasks = [asyncio.create_task(item.run()) for item in (entry, other)]
    await asyncio.sleep(0.2)
    server.state.end_expired_leases(every=True)
    await asyncio.sleep(0.2)
    seeds = await store.find_seeds(["127.0.0.1:1"], [str(address)])
    for task in tasks:
        task.cancel()
    server.stop()
    return entry, seeds


def test_entry_is_rewritten_after_lease_expiry() -> None:
    """Guards against an entry that is not rewritten after its lease expired."""
    entry, seeds = asyncio.run(_run_past_lease_expiry())
    assert entry.expired_count == 1
    assert seeds == ("127.0.0.1:1", str(CONTROL), str(OTHER))


def test_configured_seeds_are_used_if_store_is_unavailable() -> None:
    """Guards against a start that fails without the store."""
    gateway = str(_ports.free_address())
    seeds = asyncio.run(store.find_seeds(["127.0.0.1:1"], [gateway]))
    assert seeds == ("127.0.0.1:1",)
