"""Join entries under leases."""

import asyncio

from fireflyford import core
from fireflyford import store
from fireflyford.lab import _ports
from fireflyford.lab import _store_server

CONTROL = core.Address("127.0.0.1", 7_001)
OTHER = core.Address("127.0.0.1", 7_002)


class FastClock(core.SystemClock):
    """Clock whose waits are a hundredth as long."""

    async def sleep(self, duration_ms: float) -> None:
        """Waits for a hundredth of the time."""
        await asyncio.sleep(duration_ms / 100_000)


async def _follow_lapse() -> tuple[store.JoinEntry, tuple[str, ...]]:
    server = _store_server.StoreServer()
    address = _ports.free_address()
    server.listen(address)
    client = store.EtcdStore([address])
    clock = FastClock()
    entry = store.JoinEntry(client, clock, "a", CONTROL, lambda: True)
    other = store.JoinEntry(client, clock, "b", OTHER, lambda: True)
    tasks = [asyncio.create_task(item.run()) for item in (entry, other)]
    await asyncio.sleep(0.2)
    server.state.end_lapsed_leases(every=True)
    await asyncio.sleep(0.2)
    seeds = await store.find_seeds(["127.0.0.1:1"], [str(address)])
    for task in tasks:
        task.cancel()
    server.stop()
    return entry, seeds


def test_a_lapsed_lease_is_taken_again() -> None:
    """Guards against a holder that trusts a lease which it no longer has."""
    entry, seeds = asyncio.run(_follow_lapse())
    assert entry.lapsed_count == 1
    assert seeds == ("127.0.0.1:1", str(CONTROL), str(OTHER))


def test_a_store_that_is_down_leaves_the_seeds() -> None:
    """Guards against an instance that cannot start without the store."""
    gateway = str(_ports.free_address())
    seeds = asyncio.run(store.find_seeds(["127.0.0.1:1"], [gateway]))
    assert seeds == ("127.0.0.1:1",)
