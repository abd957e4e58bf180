"""Simulation of one service in virtual time, with the production scheduler."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import random
from urllib import parse

from fireflyford import core
from fireflyford import requests

# Connection set-up and HTTP between processes on loopback take this long.
_OVERHEAD_MS = 1.0
_LINK_DELAY_MS = 1.0
_PAUSE_POLL_MS = 5


@dataclasses.dataclass(frozen=True)
class Execution:
    """Start of one execution at a backend server."""

    backend: str
    body: bytes
    started_ms: int


class ModelBackend(requests.Executor):
    """Simulated backend server with slots, a speed and faults."""

    def __init__(
        self, clock: core.Clock, name: str, slot_count: int, speed: float
    ) -> None:
        """Prepares an idle backend server."""
        self._clock = clock
        self.name = name
        self.slot_count = slot_count
        self.speed = speed
        self._slots = asyncio.Semaphore(slot_count)
        self.executions: list[Execution] = []
        # Busy time of all slots, by second.
        self.busy_ms: collections.Counter[int] = collections.Counter()
        self.running_count = 0
        self.dead = False
        self.paused = False
        self.failing = False
        # Whether an execution goes on after its request was cancelled.
        self.finishes_cancelled = False
        self._draw_factor: Callable[[], float] = lambda: 1.0

    def slow_executions(
        self, rng: random.Random, ratio: float, factor: float
    ) -> None:
        """Makes a fraction of the executions take longer."""
        self._draw_factor = lambda: factor if rng.random() < ratio else 1.0

    async def execute(
        self, work: requests.WorkItem
    ) -> core.Outcome[requests.Response]:
        """Runs work for its nominal execution time divided by the speed."""
        if self.dead:
            return core.Failure(core.ErrorKind.BACKEND_REFUSED, "dead")
        if self.failing:
            return core.Failure(core.ErrorKind.BACKEND_FAILED, "failing")
        if self.finishes_cancelled:
            return await asyncio.shield(
                asyncio.create_task(self._run_in_slot(work))
            )
        return await self._run_in_slot(work)

    async def _run_in_slot(
        self, work: requests.WorkItem
    ) -> core.Outcome[requests.Response]:
        async with self._slots:
            await self._wait_while_paused()
            return await self._run(work)

    async def _run(
        self, work: requests.WorkItem
    ) -> core.Outcome[requests.Response]:
        start_ms = self._clock.now_ms()
        self.executions.append(Execution(self.name, work.body, start_ms))
        self.running_count += 1
        try:
            duration_ms = (
                nominal_ms(work.path) / self.speed * self._draw_factor()
            )
            await self._clock.sleep(duration_ms)
            await self._wait_while_paused()
        finally:
            self.running_count -= 1
            self._record_busy_time(start_ms, self._clock.now_ms())
        await self._clock.sleep(_OVERHEAD_MS)
        if self.dead:
            return core.Failure(core.ErrorKind.OUTCOME_UNKNOWN, "died")
        return core.Ok(requests.Response(200, (), work.body))

    async def _wait_while_paused(self) -> None:
        while self.paused and not self.dead:
            await self._clock.sleep(_PAUSE_POLL_MS)

    def _record_busy_time(self, start_ms: int, end_ms: int) -> None:
        while start_ms < end_ms:
            second = start_ms // 1000
            stop_ms = min(end_ms, (second + 1) * 1000)
            self.busy_ms[second] += stop_ms - start_ms
            start_ms = stop_ms


def nominal_ms(path: str) -> float:
    """Returns the nominal execution time that a path requests."""
    query = parse.parse_qs(parse.urlsplit(path).query)
    return float(query.get("ms", ["5"])[0])


class ModelNode:
    """Simulated target: request engine, backend server and reachability."""

    def __init__(
        self,
        info: requests.PeerInfo,
        backend: ModelBackend,
        engine: requests.RequestEngine,
    ) -> None:
        """Prepares a running node."""
        self.info = info
        self.backend = backend
        self.engine = engine
        self.dead = asyncio.Event()
        self.paused = False

    def kill(self) -> None:
        """Terminates the node abruptly, as in a crash."""
        self.dead.set()
        self.backend.dead = True
        self.engine.close()


@dataclasses.dataclass(frozen=True)
class LinkFaults:
    """Faults of the links between agents.

    Attributes:
        duplicate_ratio: Fraction of messages that arrive twice.
        late_ms: Maximum delay of the second copy.
        lost_reply_ratio: Fraction of replies that are lost.
    """

    duplicate_ratio: float = 0.0
    late_ms: int = 0
    lost_reply_ratio: float = 0.0


class ModelNetwork:
    """Simulated network that delivers messages to nodes by address."""

    def __init__(self, clock: core.Clock, rng: random.Random) -> None:
        """Prepares an empty network without faults."""
        self._clock = clock
        self._rng = rng
        self.nodes: dict[core.Address, ModelNode] = {}
        self.faults = LinkFaults()
        self._copy_tasks: set[asyncio.Task[None]] = set()

    async def call(
        self,
        address: core.Address,
        handler: Callable[
            [ModelNode], "asyncio.Task[core.Outcome[requests.Response]]"
        ],
    ) -> core.Outcome[requests.Response]:
        """Delivers a message, subject to faults, and returns the reply."""
        if address not in self.nodes:
            return core.Failure(core.ErrorKind.INSTANCE_UNREACHABLE, "gone")
        await self._clock.sleep(_LINK_DELAY_MS)
        if self._rng.random() < self.faults.duplicate_ratio:
            copy = asyncio.create_task(self._deliver_late(address, handler))
            self._copy_tasks.add(copy)
            copy.add_done_callback(self._copy_tasks.discard)
        outcome = await self.deliver(address, handler)
        await self._clock.sleep(_LINK_DELAY_MS)
        if self._rng.random() < self.faults.lost_reply_ratio:
            return core.Failure(core.ErrorKind.OUTCOME_UNKNOWN, "reply lost")
        return outcome

    async def _deliver_late(
        self,
        address: core.Address,
        handler: Callable[
            [ModelNode], "asyncio.Task[core.Outcome[requests.Response]]"
        ],
    ) -> None:
        await self._clock.sleep(self._rng.uniform(0, self.faults.late_ms))
        await self.deliver(address, handler)

    async def deliver(
        self,
        address: core.Address,
        handler: Callable[
            [ModelNode], "asyncio.Task[core.Outcome[requests.Response]]"
        ],
    ) -> core.Outcome[requests.Response]:
        """Delivers a message once, without faults, and returns the reply."""
        node = self.nodes.get(address)
        while node is not None and node.paused and not node.dead.is_set():
            await self._clock.sleep(_PAUSE_POLL_MS)
        # Another node may have taken over the address during the pause.
        node = self.nodes.get(address)
        if node is None or node.dead.is_set():
            return core.Failure(core.ErrorKind.OUTCOME_UNKNOWN, "died")
        task = handler(node)
        death_task = asyncio.create_task(node.dead.wait())
        try:
            await asyncio.wait(
                {task, death_task}, return_when=asyncio.FIRST_COMPLETED
            )
            if node.dead.is_set() or not task.done():
                return core.Failure(core.ErrorKind.OUTCOME_UNKNOWN, "died")
            return task.result()
        finally:
            death_task.cancel()
            if not task.done():
                task.cancel()


class ModelChannel(requests.PeerChannel):
    """Channel of a node to its peers through the simulated network."""

    def __init__(self, clock: core.Clock, network: ModelNetwork) -> None:
        """Takes the network."""
        self._clock = clock
        self._network = network

    async def execute(
        self, address: core.Address, handoff: requests.Handoff
    ) -> core.Outcome[requests.Response]:
        """Hands off work to a peer and waits for the outcome."""
        outcome = await self._network.call(
            address,
            lambda node: asyncio.create_task(
                node.engine.accept_handoff(handoff)
            ),
        )
        node = self._network.nodes.get(address)
        if node is not None and not node.dead.is_set() and not node.paused:
            self.notify_report(node.engine.scheduler.report())
        return outcome

    async def present(
        self,
        address: core.Address,
        ticket: requests.Ticket,
        work: requests.WorkItem,
    ) -> core.Outcome[requests.Response]:
        """Presents a ticket to its issuer and waits for the outcome."""
        return await self._network.call(
            address,
            lambda node: asyncio.create_task(
                node.engine.accept_presented(ticket, work)
            ),
        )

    async def exchange(
        self, address: core.Address, report: requests.TargetReport
    ) -> core.Outcome[requests.TargetReport]:
        """Sends a report to a peer and returns the peer's report."""
        await self._clock.sleep(_LINK_DELAY_MS)
        node = self._network.nodes.get(address)
        while node is not None and node.paused and not node.dead.is_set():
            await self._clock.sleep(_PAUSE_POLL_MS)
        if node is None or node.dead.is_set():
            return core.Failure(core.ErrorKind.INSTANCE_UNREACHABLE, "gone")
        peer_report = node.engine.accept_report(report)
        await self._clock.sleep(_LINK_DELAY_MS)
        return core.Ok(peer_report)

    def cancel(self, address: core.Address, key: tuple[int, int]) -> None:
        """Cancels work that was handed off to a peer."""
        node = self._network.nodes.get(address)
        if node is not None and not node.paused:
            node.engine.cancel_handoff(key)


PlacementFactory = Callable[[random.Random], requests.Placement]
QueueFactory = Callable[[int], requests.WorkQueue]
AdmissionFactory = Callable[[], requests.AdmissionPolicy]


def shortest_expected_delay(rng: random.Random) -> requests.Placement:
    """Returns the placement policy that agents use."""
    return requests.ShortestExpectedDelay(rng)


class ModelService:
    """Simulated service whose nodes can hand off work to each other."""

    def __init__(
        self,
        clock: core.Clock,
        rng: random.Random,
        make_placement: PlacementFactory = shortest_expected_delay,
        make_queue: QueueFactory = requests.FairQueue,
        make_admission: AdmissionFactory = requests.ExpectedWaitAdmission,
    ) -> None:
        """Prepares a service without nodes."""
        self._clock = clock
        self._rng = rng
        self._make_placement = make_placement
        self._make_queue = make_queue
        self._make_admission = make_admission
        self._incarnation = 0
        self.network = ModelNetwork(clock, rng)
        self.nodes: list[ModelNode] = []
        self.backends: list[ModelBackend] = []

    def start_node(
        self, index: int, speed: float = 1.0, slot_count: int = 2
    ) -> ModelNode:
        """Starts a node; it replaces any node with the same index."""
        self._incarnation += 1
        info = requests.PeerInfo(
            target_id=f"target-{index}",
            address=core.Address("10.0.0.1", 7000 + index),
            incarnation=self._incarnation,
            availability_zone=f"zone-{index % 3}",
        )
        backend = ModelBackend(self._clock, info.target_id, slot_count, speed)
        engine = requests.RequestEngine(
            self._clock,
            backend,
            slot_count,
            self._make_placement(self._rng),
            info,
            ModelChannel(self._clock, self.network),
            self._make_queue(slot_count),
            self._make_admission(),
        )
        node = ModelNode(info, backend, engine)
        self.backends.append(backend)
        self.network.nodes[info.address] = node
        self.nodes = [n for n in self.nodes if n.info.address != info.address]
        self.nodes.append(node)
        return node

    def connect(self) -> None:
        """Updates all live nodes with the same view of their peers."""
        alive = [node for node in self.nodes if not node.dead.is_set()]
        for node in alive:
            node.engine.set_peers([n.info for n in alive if n is not node])

    def close(self) -> None:
        """Stops the engines of all nodes."""
        for node in self.nodes:
            node.engine.close()
