"""End-to-end demo with planned replacements and a killed balancer."""

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
_POLL_INTERVAL_MS = 300


class _MisroutedCounter:
    """Counts misrouted datagrams at all agents, including stopped ones."""

    def __init__(self, fleet: _fleet.Fleet) -> None:
        self._fleet = fleet
        self._counts: dict[str, int] = {}

    @property
    def count(self) -> int:
        return sum(self._counts.values())

    async def poll(self) -> None:
        addresses: dict[str, core.Address] = {}
        while True:
            for target in self._fleet.targets.values():
                addresses[target.name] = target.status_address
            for name, address in addresses.items():
                status = await _fleet.fetch_status(address)
                if status:
                    counters = status["counters"]
                    self._counts[name] = counters["misrouted_count"]
            await asyncio.sleep(_POLL_INTERVAL_MS / 1000)


@contextlib.asynccontextmanager
async def _running_fleet(
    deployment: str, seed: int
) -> AsyncIterator[_fleet.Fleet]:
    fleet = _fleet.Fleet(
        _deployments.DEPLOYMENTS[deployment], random.Random(seed)
    )
    health_task = None
    try:
        await fleet.start()
        health_task = asyncio.create_task(fleet.check_health())
        yield fleet
    finally:
        if health_task is not None:
            health_task.cancel()
        fleet.stop()


async def _apply_changes(fleet: _fleet.Fleet, pause_s: float) -> None:
    """Replaces a balancer and a target gracefully, then kills a balancer."""
    await asyncio.sleep(pause_s)
    balancer = next(iter(fleet.balancers.values()))
    print(f"replacing {balancer.name}", flush=True)
    await fleet.replace_balancer(balancer)
    target = next(iter(fleet.targets.values()))
    print(f"replacing {target.name}", flush=True)
    await fleet.replace_target(target)
    killed = next(iter(fleet.balancers.values()))
    print(f"killing {killed.name}", flush=True)
    fleet.kill(killed.process)
    await asyncio.sleep(pause_s)


async def _demo(
    deployment: str, seed: int, duration_s: float
) -> tuple[_callers.CallerStatistics, int]:
    async with _running_fleet(deployment, seed) as fleet:
        misrouted = _MisroutedCounter(fleet)
        poll_task = asyncio.create_task(misrouted.poll())
        callers = [
            _callers.CallerGroup(
                _callers.make_client(fleet, service), _LOAD, service.name
            )
            for service in fleet.deployment.services
        ]
        await asyncio.gather(*(item.open() for item in callers))
        await _apply_changes(fleet, duration_s / 2)
        statistics = await asyncio.gather(*(item.stop() for item in callers))
        poll_task.cancel()
        # Connections need no graceful close, since the fleet stops now.
        for item in callers:
            item.cancel()
        return _callers.merge_statistics(list(statistics)), misrouted.count


def _report(
    statistics: _callers.CallerStatistics, misrouted_count: int
) -> bool:
    print(f"{'kind':10} {'count':>8} {'p50 ms':>10} {'p99 ms':>10}")
    for kind, values in (
        ("orders", statistics.order_ms),
        ("sheets", statistics.sheet_ms),
        ("feeds", statistics.event_ms),
    ):
        p50, p99 = _percentile(values, 0.5), _percentile(values, 0.99)
        print(f"{kind:10} {len(values):8} {p50:10.1f} {p99:10.1f}")
    print(
        f"requests: {statistics.complete} complete, "
        f"{statistics.refused} refused, "
        f"{statistics.unknown} unknown, {statistics.wrong} wrong"
    )
    print(
        f"feeds: {statistics.feeds} open, {statistics.moved} moved, "
        f"{statistics.broken} broken, {statistics.gaps} gaps, "
        f"{statistics.duplicates} duplicates, longest silence "
        f"{statistics.longest_silence_ms:.0f} ms"
    )
    print(f"misrouted datagrams: {misrouted_count}")
    violations = (
        statistics.unknown,
        statistics.wrong,
        statistics.broken,
        statistics.gaps,
        statistics.duplicates,
        misrouted_count,
    )
    is_silence_too_long = statistics.longest_silence_ms > _MAX_SILENCE_MS
    guarantees_hold = (
        not any(violations) and not is_silence_too_long and statistics.feeds > 0
    )
    print("guarantees: " + ("kept" if guarantees_hold else "BROKEN"))
    return guarantees_hold


def _percentile(values: tuple[float, ...], ratio: float) -> float:
    if not values:
        return 0.0
    return sorted(values)[int(ratio * (len(values) - 1))]


def run_demo(
    deployment: str = "bantay", seed: int = 1, duration_s: float = 6.0
) -> None:
    """Runs callers against a deployment and prints a table of results.

    During the run one balancer and one target are replaced gracefully, and
    one balancer is killed. Exits with 1 when a guarantee is broken.

    Args:
        deployment: `bantay` or `hanul`.
        seed: Seed of the fabric and of the keys.
        duration_s: Total time before and after the changes.
    """
    if not _report(*asyncio.run(_demo(deployment, seed, duration_s))):
        sys.exit(1)
