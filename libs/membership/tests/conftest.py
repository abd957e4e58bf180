"""Simulated fleet of members in virtual time."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random

import pytest

from fireflyford import core
from fireflyford import membership

START_MS = 1_000_000


class PausableClock(core.Clock):
    """Clock of one member, whose sleeps do not end while it is paused."""

    def __init__(self, clock: core.Clock) -> None:
        """Wraps the clock of the fleet."""
        self._clock = clock
        self.running = asyncio.Event()
        self.running.set()

    def now_ms(self) -> int:
        """Returns the fleet's time."""
        return self._clock.now_ms()

    def wall_ms(self) -> int:
        """Returns the fleet's time."""
        return self._clock.wall_ms()

    async def sleep(self, duration_ms: float) -> None:
        """Waits for the duration and until the member is not paused."""
        await self._clock.sleep(duration_ms)
        await self.running.wait()


class SimulatedFleet:
    """Members on an in-memory network with fault injection."""

    def __init__(self, seed: int = 1, loss_ratio: float = 0.0) -> None:
        """Creates a fleet without members."""
        self.rng = random.Random(seed)
        self.clock = core.ManualClock(START_MS)
        self.network = membership.MemoryNetwork(
            self.clock, self.rng, loss_ratio=loss_ratio
        )
        self.members: dict[str, membership.Membership] = {}
        self.records: dict[str, membership.Member] = {}
        self.channels: dict[str, membership.MemoryChannel] = {}
        self.clocks: dict[str, PausableClock] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._port = 10_000

    def start(
        self,
        name: str,
        service: str = "",
        zone: str = "cebu",
        region: str = "visayas",
        seeds: list[str] | None = None,
        control: core.Address | None = None,
    ) -> membership.Membership:
        """Starts an agent if a service is given, otherwise a balancer."""
        self._port += 10
        control = control or core.Address("127.0.0.1", self._port)
        bulk = core.Address("127.0.0.1", self._port + 1)
        record = membership.Member(
            instance_id=name,
            role=core.Role.AGENT if service else core.Role.BALANCER,
            region=region,
            availability_zone=zone,
            service=service,
            link_address=core.Address("127.0.0.1", self._port + 2),
            control_address=control,
            bulk_address=bulk,
            status_address=core.Address("127.0.0.1", self._port + 3),
            incarnation=membership.new_incarnation(self.clock, self.rng),
        )
        if seeds is None:
            seeds = [other for other in self.records if "balancer" in other][:3]
        channel = self.network.open(control, bulk)
        clock = PausableClock(self.clock)
        member = membership.Membership(
            clock,
            channel,
            record,
            [self.records[seed].control_address for seed in seeds],
            random.Random(self.rng.random()),
        )
        self.members[name] = member
        self.records[name] = record
        self.channels[name] = channel
        self.clocks[name] = clock
        self._tasks[name] = asyncio.create_task(member.run())
        return member

    def start_many(self, balancers: int, agents: int = 0) -> None:
        """Starts members spread over three availability zones."""
        for index in range(balancers):
            self.start(f"balancer-{index}", zone=f"zone-{index % 3}")
        for index in range(agents):
            self.start(f"tahian-{index}", "tahian", zone=f"zone-{index % 3}")

    async def run(self, duration_ms: int) -> None:
        """Advances virtual time."""
        # New tasks have to reach their first sleep before time advances.
        await self.clock.advance(0)
        await self.clock.advance(duration_ms)

    async def kill(self, name: str) -> None:
        """Stops a member without a notice to others."""
        self.channels[name].pause()
        task = self._tasks.pop(name)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        del self.members[name]

    def pause(self, name: str) -> None:
        """Pauses a member as SIGSTOP does."""
        self.channels[name].pause()
        self.clocks[name].running.clear()

    def resume(self, name: str) -> None:
        """Continues a paused member."""
        self.channels[name].resume()
        self.clocks[name].running.set()

    async def stop(self) -> None:
        """Stops all members."""
        for name in list(self.members):
            await self.kill(name)

    def cut(self, senders: set[str], receivers: set[str]) -> None:
        """Drops messages from `senders` to `receivers`, but not the reverse."""
        sources = {self.records[name].control_address for name in senders}
        destinations = {
            self.records[name].control_address for name in receivers
        }
        self.network.block(
            lambda source, destination: (
                source in sources and destination in destinations
            )
        )

    def partition(self, left: set[str], right: set[str]) -> None:
        """Drops all messages between the two sides."""
        sides = [
            {self.records[name].control_address for name in side}
            for side in (left, right)
        ]
        self.network.block(
            lambda source, destination: (
                (source in sides[0] and destination in sides[1])
                or (source in sides[1] and destination in sides[0])
            )
        )

    def state(self, observer: str, name: str) -> membership.State | None:
        """Returns the state of one member in the view of another."""
        member = self.members[observer].view().members.get(name)
        return None if member is None else member.state

    def states(self, name: str) -> set[membership.State | None]:
        """Returns a member's states in the views of all other balancers."""
        return {
            self.state(other, name)
            for other in self.members
            if other.startswith("balancer") and other != name
        }


@pytest.fixture
def simulate() -> Callable[..., None]:
    """Returns a function that runs a scenario on a new fleet."""

    def run(
        scenario: Callable[[SimulatedFleet], Awaitable[None]],
        seed: int = 1,
        loss_ratio: float = 0.0,
    ) -> None:
        async def body() -> None:
            fleet = SimulatedFleet(seed, loss_ratio)
            try:
                await scenario(fleet)
            finally:
                await fleet.stop()

        asyncio.run(body())

    return run
