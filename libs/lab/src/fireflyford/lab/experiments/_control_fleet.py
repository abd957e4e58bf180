"""Membership fleet with real sockets in one process, and its measurements."""

import asyncio
from collections.abc import Iterable
import dataclasses
import math
import random
import time

from fireflyford import core
from fireflyford import membership
from fireflyford.lab import _ports

_SERVICE_SIZE = 10
_ZONE_COUNT = 7
# Headers of IPv4 and UDP.
_HEADER_BYTES = 28
# Approximate size of connection set-up, handshake and close of a pull over TCP.
_PULL_OVERHEAD_BYTES = 1_000
# Joining balancers exchange view digests frequently during the first 10 s, and
# refused members retry after 20 s.
_SETTLE_MS = 25_000
_STEADY_MS = 10_000
_TIMEOUT_MS = 20_000
_POLL_INTERVAL_MS = 5
_CHANGE_COUNT = 4
# Time for the gossip about one change to end.
_PROPAGATION_MS = 3_000
_CLOCK = core.SystemClock()
_KEY = b"k" * 16


@dataclasses.dataclass(frozen=True)
class Node:
    """A member with its sockets and tasks."""

    name: str
    member: membership.Membership
    channel: membership.UdpChannel
    tasks: tuple[asyncio.Task[None], ...]

    def traffic(self) -> tuple[int, int]:
        """Returns bytes, with headers, and datagrams, sent and received."""
        channel = self.channel
        count = channel.sent_count + channel.received_count
        total_bytes = (
            channel.sent_bytes
            + channel.received_bytes
            + count * _HEADER_BYTES
            + channel.pulled_bytes
            + channel.pull_count * _PULL_OVERHEAD_BYTES
        )
        return (total_bytes, count)

    async def stop(self) -> None:
        """Stops the member abruptly, without announcing that it leaves."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.channel.close()


@dataclasses.dataclass(frozen=True)
class Sample:
    """Measurements of one fleet.

    Attributes:
        balancer_count: Balancers of the fleet.
        agent_count: Agents of the fleet.
        balancer_loads: Observed members and bytes per second of each balancer.
        agent_bytes_per_s: Traffic of each agent.
        cpu_ratio: CPU time of the process over elapsed time.
        datagrams_per_s: Datagrams that the process sends and receives.
        change_bytes: Traffic of one change, in bytes per balancer.
        detection_ms: Time from a kill until the first view shows it.
        death_ms: Time from a kill until every view shows it.
        drain_ms: Time from a drain until every view shows it.
    """

    balancer_count: int
    agent_count: int
    balancer_loads: tuple[tuple[int, float], ...]
    agent_bytes_per_s: tuple[float, ...]
    cpu_ratio: float
    datagrams_per_s: float
    change_bytes: float
    detection_ms: tuple[float, ...]
    death_ms: tuple[float, ...]
    drain_ms: tuple[float, ...]

    @property
    def member_count(self) -> int:
        """Members of the fleet."""
        return self.balancer_count + self.agent_count


class MemberFleet:
    """Members in this process, each with its own sockets."""

    def __init__(self, rng: random.Random) -> None:
        """Initializes an empty fleet."""
        self._rng = rng
        self._seeds: list[core.Address] = []
        self.balancers: list[Node] = []
        self.agents: list[Node] = []

    async def start(self, balancer_count: int, agent_count: int) -> None:
        """Starts the members and waits until every balancer sees all."""
        for index in range(balancer_count):
            self.balancers.append(await self._start(f"balancer-{index}", ""))
        for index in range(agent_count):
            service = f"service-{index // _SERVICE_SIZE}"
            self.agents.append(await self._start(f"agent-{index}", service))
        names = [node.name for node in (*self.balancers, *self.agents)]
        await self.wait_for(names, membership.State.ALIVE)
        await _CLOCK.sleep(_SETTLE_MS)

    async def _start(self, name: str, service: str) -> Node:
        link, control, bulk, status = (_ports.free_address() for _ in range(4))
        record = membership.Member(
            instance_id=name,
            role=core.Role.AGENT if service else core.Role.BALANCER,
            region="visayas",
            availability_zone=f"zone-{self._rng.randrange(_ZONE_COUNT)}",
            service=service,
            link_address=link,
            control_address=control,
            bulk_address=bulk,
            status_address=status,
            incarnation=membership.new_incarnation(_CLOCK, self._rng),
        )
        server = membership.BulkServer(_KEY)
        channel = membership.UdpChannel(_KEY, server)
        await channel.open(control)
        member = membership.Membership(
            _CLOCK,
            channel,
            record,
            self._seeds[:3],
            random.Random(self._rng.random()),
        )
        tasks = [asyncio.create_task(member.run())]
        if not service:
            self._seeds.append(control)
            tasks.append(asyncio.create_task(server.run(bulk)))
        return Node(name, member, channel, tuple(tasks))

    async def wait_for(
        self, names: Iterable[str], state: membership.State
    ) -> tuple[float, float]:
        """Waits until every balancer's view shows the members in a state.

        Returns:
            Time until the first and until the last view does, in ms.

        Raises:
            TimeoutError: Not all views did within 20 s.
        """
        expected = list(names)
        start_ms = _CLOCK.now_ms()
        waiting = {node.name: node.member for node in self.balancers}
        first_ms = math.inf
        while waiting:
            elapsed_ms = _CLOCK.now_ms() - start_ms
            if elapsed_ms > _TIMEOUT_MS:
                raise TimeoutError(
                    f"{expected[0]} is not {state} in every view after 20 s"
                )
            for name, member in list(waiting.items()):
                if _all_in_state(member.view(), expected, state):
                    del waiting[name]
                    first_ms = min(first_ms, elapsed_ms)
            await _CLOCK.sleep(_POLL_INTERVAL_MS)
        return (first_ms, _CLOCK.now_ms() - start_ms)

    async def stop(self) -> None:
        """Stops all members."""
        for node in (*self.agents, *self.balancers):
            await node.stop()


def _all_in_state(
    view: membership.View, names: list[str], state: membership.State
) -> bool:
    return all(
        name in view.members and view.members[name].state is state
        for name in names
    )


async def measure(
    balancer_count: int, agent_count: int, rng: random.Random
) -> Sample:
    """Runs one fleet and returns its measurements."""
    fleet = MemberFleet(rng)
    try:
        await fleet.start(balancer_count, agent_count)
        nodes = [*fleet.balancers, *fleet.agents]
        before = {node.name: node.traffic() for node in nodes}
        cpu_s = time.process_time()
        start_s = time.monotonic()
        await _CLOCK.sleep(_STEADY_MS)
        elapsed_s = time.monotonic() - start_s
        cpu_s = time.process_time() - cpu_s
        rates = {
            node.name: (node.traffic()[0] - before[node.name][0]) / elapsed_s
            for node in nodes
        }
        count = sum(node.traffic()[1] - before[node.name][1] for node in nodes)
        loads = tuple(
            (node.member.observed_count, rates[node.name])
            for node in fleet.balancers
        )
        change_bytes, drain_ms = await _drain_agents(
            fleet, sum(load[1] for load in loads) / balancer_count
        )
        kill_delays = await _kill_agents(fleet)
    finally:
        await fleet.stop()
    return Sample(
        balancer_count=balancer_count,
        agent_count=agent_count,
        balancer_loads=loads,
        agent_bytes_per_s=tuple(rates[node.name] for node in fleet.agents),
        cpu_ratio=cpu_s / elapsed_s,
        datagrams_per_s=count / elapsed_s,
        change_bytes=change_bytes,
        detection_ms=tuple(first for first, _ in kill_delays),
        death_ms=tuple(last for _, last in kill_delays),
        drain_ms=drain_ms,
    )


async def _drain_agents(
    fleet: MemberFleet, steady_bytes_per_s: float
) -> tuple[float, tuple[float, ...]]:
    """Drains agents one after another.

    Returns:
        Traffic of one change in bytes per balancer, and for each change the
        time until every view shows it.
    """
    before = sum(node.traffic()[0] for node in fleet.balancers)
    start_ms = _CLOCK.now_ms()
    times_ms = []
    drained = fleet.agents[-_CHANGE_COUNT:]
    for node in drained:
        node.member.update(state=membership.State.DRAINING)
        _, last_ms = await fleet.wait_for(
            [node.name], membership.State.DRAINING
        )
        times_ms.append(last_ms)
        await _CLOCK.sleep(_PROPAGATION_MS)
    after = sum(node.traffic()[0] for node in fleet.balancers)
    elapsed_s = (_CLOCK.now_ms() - start_ms) / 1_000
    extra_bytes = (after - before) / len(
        fleet.balancers
    ) - steady_bytes_per_s * elapsed_s
    return (max(0.0, extra_bytes / len(drained)), tuple(times_ms))


async def _kill_agents(fleet: MemberFleet) -> list[tuple[float, float]]:
    times_ms = []
    for node in fleet.agents[:_CHANGE_COUNT]:
        await node.stop()
        times_ms.append(
            await fleet.wait_for([node.name], membership.State.DEAD)
        )
    return times_ms
