"""The main job from end to end, with planned changes and a kill."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import random
import sys
import time

from fireflyford import caller
from fireflyford import core
from fireflyford.lab import _deployments
from fireflyford.lab import _fleet


class Tally:
    """Outcomes of the demo."""

    def __init__(self) -> None:
        """Starts all counters at zero."""
        self.complete_count = 0
        self.refused_count = 0
        self.unknown_count = 0
        self.wrong_count = 0
        self.feed_event_count = 0
        self.feed_gap_count = 0
        self.durations_ms: dict[str, list[float]] = {}


async def _orders(
    client: caller.Client, tally: Tally, stop: asyncio.Event, name: str
) -> None:
    number = 0
    async with client.connect() as connection:
        while not stop.is_set():
            number += 1
            body = f"{name}-{number}".encode()
            start = time.monotonic()
            outcome = await client.request(
                connection, "POST", "/orders?ms=10", body
            )
            elapsed_ms = (time.monotonic() - start) * 1000
            tally.durations_ms.setdefault("order", []).append(elapsed_ms)
            _count(outcome, body, tally)
            await asyncio.sleep(0.05)


def _count(
    outcome: core.Outcome[caller.Reply], body: bytes, tally: Tally
) -> None:
    if isinstance(outcome, core.Ok):
        tally.complete_count += 1
        tally.wrong_count += outcome.value.body != body
    elif outcome.answer.execution is core.Execution.NOT_RUN:
        tally.refused_count += 1
    else:
        tally.unknown_count += 1


async def _feed(client: caller.Client, tally: Tally) -> None:
    last = 0
    async for event in client.feed("/feed"):
        if last and event.sequence != last + 1:
            tally.feed_gap_count += 1
        last = event.sequence
        tally.feed_event_count += 1


@contextlib.asynccontextmanager
async def _running_fleet(
    deployment: str, seed: int
) -> AsyncIterator[_fleet.Fleet]:
    fleet = _fleet.Fleet(
        _deployments.DEPLOYMENTS[deployment], random.Random(seed)
    )
    try:
        await fleet.start()
        yield fleet
    finally:
        fleet.stop()


async def _demo(deployment: str, seed: int, duration_s: float) -> bool:
    tally = Tally()
    async with _running_fleet(deployment, seed) as fleet:
        stop = asyncio.Event()
        tasks = []
        for service in fleet.deployment.services:
            client = caller.Client(
                core.Address.parse(service.address),
                service.name,
                fleet.authorities_path(service.name),
            )
            for index in range(3):
                name = f"{service.name}-{index}"
                tasks.append(
                    asyncio.create_task(_orders(client, tally, stop, name))
                )
                tasks.append(asyncio.create_task(_feed(client, tally)))
        await asyncio.sleep(duration_s)
        stop.set()
        await asyncio.sleep(0.5)
        for task in tasks:
            task.cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                print(f"caller failed: {result!r}", file=sys.stderr)
    return _report(tally)


def _report(tally: Tally) -> bool:
    for name, values in tally.durations_ms.items():
        values.sort()
        print(f"{name} p50 {values[len(values) // 2]:.1f} ms")
    print(f"complete {tally.complete_count}, refused {tally.refused_count},")
    print(f"unknown {tally.unknown_count}, wrong {tally.wrong_count},")
    print(f"feed events {tally.feed_event_count}, gaps {tally.feed_gap_count}")
    return tally.wrong_count == 0 and tally.feed_gap_count == 0


def run_demo(
    deployment: str = "bantay", seed: int = 1, duration_s: float = 10.0
) -> None:
    """Runs the main job and prints a table.

    Args:
        deployment: `bantay` or `hanul`.
        seed: Seed of the fabric and of the keys.
        duration_s: Length of the run in seconds.
    """
    if not asyncio.run(_demo(deployment, seed, duration_s)):
        sys.exit(1)
