"""The main job from end to end, with planned changes and a kill."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import random
import sys

from fireflyford import core
from fireflyford.lab import _callers
from fireflyford.lab import _deployments
from fireflyford.lab import _fleet

_LOAD = _callers.CallerLoad(
    feed_count=10, order_count=3, sheet_count=2, feed_interval_ms=200
)
_MAX_SILENCE_MS = 5_000
_WATCH_INTERVAL_MS = 300


class _Misrouted:
    """Datagrams that agents had to reject, also of agents that left."""

    def __init__(self, fleet: _fleet.Fleet) -> None:
        self._fleet = fleet
        self._counts: dict[str, int] = {}

    @property
    def count(self) -> int:
        return sum(self._counts.values())

    async def watch(self) -> None:
        addresses: dict[str, core.Address] = {}
        while True:
            for target in self._fleet.targets.values():
                addresses[target.name] = target.status_address
            for name, address in addresses.items():
                status = await _fleet.fetch_status(address)
                if status:
                    counters = status["counters"]
                    self._counts[name] = counters["misrouted_count"]
            await asyncio.sleep(_WATCH_INTERVAL_MS / 1000)


@contextlib.asynccontextmanager
async def _running_fleet(
    deployment: str, seed: int
) -> AsyncIterator[_fleet.Fleet]:
    fleet = _fleet.Fleet(
        _deployments.DEPLOYMENTS[deployment], random.Random(seed)
    )
    health = None
    try:
        await fleet.start()
        health = asyncio.create_task(fleet.check_health())
        yield fleet
    finally:
        if health is not None:
            health.cancel()
        fleet.stop()


async def _change(fleet: _fleet.Fleet, pause_s: float) -> None:
    """Replaces a balancer and a target as planned, and kills a balancer."""
    await asyncio.sleep(pause_s)
    balancer = next(iter(fleet.balancers.values()))
    print(f"replacing {balancer.name}", flush=True)
    await fleet.replace_balancer(balancer)
    target = next(iter(fleet.targets.values()))
    print(f"replacing {target.name}", flush=True)
    await fleet.replace_target(target)
    victim = next(iter(fleet.balancers.values()))
    print(f"killing {victim.name}", flush=True)
    fleet.kill(victim.process)
    await asyncio.sleep(pause_s)


async def _demo(
    deployment: str, seed: int, duration_s: float
) -> tuple[_callers.CallerStatistics, int]:
    async with _running_fleet(deployment, seed) as fleet:
        misrouted = _Misrouted(fleet)
        watcher = asyncio.create_task(misrouted.watch())
        callers = [
            _callers.CallerGroup(
                _callers.make_client(fleet, service), _LOAD, service.name
            )
            for service in fleet.deployment.services
        ]
        await asyncio.gather(*(item.open() for item in callers))
        await _change(fleet, duration_s / 2)
        parts = await asyncio.gather(*(item.stop() for item in callers))
        watcher.cancel()
        # Closing in good order matters to nobody here; the fleet ends now.
        for item in callers:
            item.cancel()
        return _callers.merge_statistics(list(parts)), misrouted.count


def _report(figures: _callers.CallerStatistics, misrouted_count: int) -> bool:
    print(f"{'kind':10} {'count':>8} {'p50 ms':>10} {'p99 ms':>10}")
    for kind, values in (
        ("orders", figures.order_ms),
        ("sheets", figures.sheet_ms),
        ("feeds", figures.event_ms),
    ):
        p50, p99 = _percentile(values, 0.5), _percentile(values, 0.99)
        print(f"{kind:10} {len(values):8} {p50:10.1f} {p99:10.1f}")
    print(
        f"requests: {figures.complete} complete, {figures.refused} refused, "
        f"{figures.unknown} unknown, {figures.wrong} wrong"
    )
    print(
        f"feeds: {figures.feeds} open, {figures.moved} moved, "
        f"{figures.broken} broken, {figures.gaps} gaps, "
        f"{figures.duplicates} duplicates, longest silence "
        f"{figures.longest_silence_ms:.0f} ms"
    )
    print(f"misrouted datagrams: {misrouted_count}")
    violations = (
        figures.unknown,
        figures.wrong,
        figures.broken,
        figures.gaps,
        figures.duplicates,
        misrouted_count,
    )
    silent = figures.longest_silence_ms > _MAX_SILENCE_MS
    kept = not any(violations) and not silent and figures.feeds > 0
    print("guarantees: " + ("kept" if kept else "BROKEN"))
    return kept


def _percentile(values: tuple[float, ...], ratio: float) -> float:
    if not values:
        return 0.0
    return sorted(values)[int(ratio * (len(values) - 1))]


def run_demo(
    deployment: str = "bantay", seed: int = 1, duration_s: float = 6.0
) -> None:
    """Runs the main job and prints a table.

    During the run one balancer and one target are replaced as planned, and
    one balancer is killed. Exits with 1 when a guarantee is broken.

    Args:
        deployment: `bantay` or `hanul`.
        seed: Seed of the fabric and of the keys.
        duration_s: Time before and after the changes together.
    """
    if not _report(*asyncio.run(_demo(deployment, seed, duration_s))):
        sys.exit(1)
