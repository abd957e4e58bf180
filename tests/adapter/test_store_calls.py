"""Calls that the registries of a whole fleet make to a simulated store."""

import asyncio
import collections
import dataclasses
import random
import socket

import pytest

from fireflyford import core
from fireflyford import flows
from fireflyford.lab import _platform_store
from fireflyford.platform import _store
from fireflyford.runtime import _registry

# Intervals of keepalives and of the check for silent agents.
KEEPALIVE_INTERVAL_S = 0.5
CHECK_INTERVAL_S = 1.0
# How long a failed agent stays away.
ABSENCE_S = 4.0
# Price of a renewal relative to that of any other call.
RENEWAL_PRICE = 0.1


@dataclasses.dataclass(frozen=True)
class Member:
    """One instance of the fleet, without its packets."""

    instance: flows.Instance
    fleet: flows.Fleet
    registry: _registry.Registry
    tasks: tuple[asyncio.Task[None], ...]

    def stop(self) -> None:
        """Ends the instance without a word, as a failure does."""
        for task in self.tasks:
            task.cancel()


class Members:
    """Instances in one process that hear each other's heartbeats."""

    def __init__(self, address: core.Address) -> None:
        """Prepares an empty fleet that uses the store at `address`."""
        self._address = address
        self._clock = core.SystemClock()
        self._incarnation = 0
        self.members: dict[int, Member] = {}

    def start(self, index: int) -> None:
        """Starts an instance, which announces itself."""
        self._incarnation += 1
        instance = flows.Instance(
            f"agent-{index}",
            core.Role.AGENT,
            "board",
            "a",
            core.Address(f"10.0.0.{index + 1}", 7_000),
            self._incarnation,
        )
        fleet = flows.Fleet(self._clock)
        registry = _registry.Registry(
            _store.PlatformStore(self._address),
            self._clock,
            random.Random(index),
            instance,
            fleet,
            lambda _: self._announce(instance),
            lambda _: None,
        )
        work = (registry.publish(), registry.follower.run())
        tasks = tuple(asyncio.create_task(item) for item in work)
        self.members[index] = Member(instance, fleet, registry, tasks)

    def _announce(self, instance: flows.Instance) -> None:
        heartbeat = flows.Heartbeat(instance, flows.Load(), 0, False)
        for member in self.members.values():
            member.fleet.apply_heartbeat(heartbeat)

    def fail(self, index: int) -> None:
        """Ends an instance without a word."""
        self.members.pop(index).stop()

    async def send_keepalives(self) -> None:
        """Sends keepalives until cancelled."""
        while True:
            await asyncio.sleep(KEEPALIVE_INTERVAL_S)
            for member in self.members.values():
                for sender in self.members.values():
                    member.fleet.record_load(
                        sender.instance.address, flows.Load()
                    )

    async def expire(self) -> None:
        """Checks for silent agents until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for member in self.members.values():
                member.fleet.refresh()
                member.registry.check_silence()


async def count_calls(
    instance_count: int,
    start_s: float,
    duration_s: float,
    failure_interval_s: float,
) -> collections.Counter[str]:
    """Counts calls of a fleet in which agents fail and return.

    Args:
        instance_count: Size of the fleet.
        start_s: Time from the start of the fleet to the start of the count.
        duration_s: Duration of the count.
        failure_interval_s: Time between two failures.
    """
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = core.Address("127.0.0.1", probe.getsockname()[1])
    server = _platform_store.PlatformStoreServer(address)
    # A page of the platform holds the whole registry.
    server.state.page_size = instance_count + 1
    server.start()
    fleet = Members(address)
    for index in range(instance_count):
        fleet.start(index)
    tasks = [
        asyncio.create_task(fleet.send_keepalives()),
        asyncio.create_task(fleet.expire()),
    ]
    loop = asyncio.get_running_loop()
    await asyncio.sleep(start_s)
    server.state.calls.clear()
    end_s = loop.time() + duration_s
    index = 0
    while loop.time() < end_s:
        fleet.fail(index)
        loop.call_later(ABSENCE_S, fleet.start, index)
        index = (index + 1) % instance_count
        await asyncio.sleep(failure_interval_s)
    counts = collections.Counter(
        call.split("/")[1] for call in server.state.calls
    )
    for task in tasks:
        task.cancel()
    for member in fleet.members.values():
        member.stop()
    server.stop()
    return counts


def price(counts: collections.Counter[str]) -> float:
    """Returns what the calls cost, in calls of the full price."""
    renewals = counts["kv-keep"]
    return counts.total() - renewals + renewals * RENEWAL_PRICE


@pytest.mark.parametrize("instance_count", [17])
def test_failures_cost_few_store_calls(instance_count: int) -> None:
    """Guards against registries that call the store at each change.

    The bound is half of what these failures cost when each change was followed
    by a watch 1.5 s later (docs/design/store-calls.md).
    """
    duration_s = 12
    counts = asyncio.run(count_calls(instance_count, 5, duration_s, 2))
    assert price(counts) / instance_count / duration_s <= 0.35
