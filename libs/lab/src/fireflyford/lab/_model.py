"""Model of one service in virtual time, around the real decision code."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import random
from urllib import parse

from fireflyford import core
from fireflyford import requests

# Connection set-up and HTTP on loopback, as measured between processes.
_OVERHEAD_MS = 1.0
_LINK_DELAY_MS = 1.0
_PAUSE_POLL_MS = 5


@dataclasses.dataclass(frozen=True)
class Execution:
    """One start of work at a backend server."""

    backend: str
    body: bytes
    started_ms: int


class ModelBackend(requests.Executor):
    """Backend server with slots, a speed and faults."""

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
        self.busy_ms: collections.Counter[int] = collections.Counter()
        self.running_count = 0
        self.dead = False
        self.paused = False
        self.failing = False

    async def execute(
        self, work: requests.WorkItem
    ) -> core.Outcome[requests.Response]:
        """Runs work for its nominal time divided by the speed."""
        if self.dead:
            return core.Failure(core.ErrorKind.BACKEND_REFUSED, "dead")
        if self.failing:
            return core.Failure(core.ErrorKind.BACKEND_FAILED, "failing")
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
            duration_ms = nominal_ms(work.path) / self.speed
            await self._clock.sleep(duration_ms)
            await self._wait_while_paused()
        finally:
            self.running_count -= 1
            self._count_busy(start_ms, self._clock.now_ms())
        await self._clock.sleep(_OVERHEAD_MS)
        if self.dead:
            return core.Failure(core.ErrorKind.OUTCOME_UNKNOWN, "died")
        return core.Ok(requests.Response(200, (), work.body))

    async def _wait_while_paused(self) -> None:
        while self.paused and not self.dead:
            await self._clock.sleep(_PAUSE_POLL_MS)

    def _count_busy(self, start_ms: int, end_ms: int) -> None:
        while start_ms < end_ms:
            second = start_ms // 1000
            stop_ms = min(end_ms, (second + 1) * 1000)
            self.busy_ms[second] += stop_ms - start_ms
            start_ms = stop_ms


def nominal_ms(path: str) -> float:
    """Returns the duration that a path asks for."""
    query = parse.parse_qs(parse.urlsplit(path).query)
    return float(query.get("ms", ["5"])[0])


class ModelNode:
    """One target: engine, backend server and its reachability."""

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
        """Ends the node without warning."""
        self.dead.set()
        self.backend.dead = True
        self.engine.close()


@dataclasses.dataclass(frozen=True)
class Faults:
    """Faults of the links between agents.

    Attributes:
        duplicate_ratio: Messages that arrive twice.
        late_ms: Longest delay of the second copy.
        lost_reply_ratio: Answers that are lost.
    """

    duplicate_ratio: float = 0.0
    late_ms: int = 0
    lost_reply_ratio: float = 0.0


class ModelNetwork:
    """Reaches nodes by address."""

    def __init__(self, clock: core.Clock, rng: random.Random) -> None:
        """Prepares an empty network without faults."""
        self._clock = clock
        self._rng = rng
        self.nodes: dict[core.Address, ModelNode] = {}
        self.faults = Faults()
        self._copies: set[asyncio.Task[None]] = set()

    async def call(
        self,
        address: core.Address,
        answer: Callable[
            [ModelNode], "asyncio.Task[core.Outcome[requests.Response]]"
        ],
    ) -> core.Outcome[requests.Response]:
        """Delivers a message and returns the answer, under the faults."""
        if address not in self.nodes:
            return core.Failure(core.ErrorKind.INSTANCE_UNREACHABLE, "gone")
        await self._clock.sleep(_LINK_DELAY_MS)
        if self._rng.random() < self.faults.duplicate_ratio:
            copy = asyncio.create_task(self._deliver_late(address, answer))
            self._copies.add(copy)
            copy.add_done_callback(self._copies.discard)
        outcome = await self.deliver(address, answer)
        await self._clock.sleep(_LINK_DELAY_MS)
        if self._rng.random() < self.faults.lost_reply_ratio:
            return core.Failure(core.ErrorKind.OUTCOME_UNKNOWN, "lost answer")
        return outcome

    async def _deliver_late(
        self,
        address: core.Address,
        answer: Callable[
            [ModelNode], "asyncio.Task[core.Outcome[requests.Response]]"
        ],
    ) -> None:
        await self._clock.sleep(self._rng.uniform(0, self.faults.late_ms))
        await self.deliver(address, answer)

    async def deliver(
        self,
        address: core.Address,
        answer: Callable[
            [ModelNode], "asyncio.Task[core.Outcome[requests.Response]]"
        ],
    ) -> core.Outcome[requests.Response]:
        """Delivers a message once and returns the answer."""
        node = self.nodes.get(address)
        while node is not None and node.paused and not node.dead.is_set():
            await self._clock.sleep(_PAUSE_POLL_MS)
        # A paused node may have been replaced at its address meanwhile.
        node = self.nodes.get(address)
        if node is None or node.dead.is_set():
            return core.Failure(core.ErrorKind.OUTCOME_UNKNOWN, "died")
        task = answer(node)
        death = asyncio.create_task(node.dead.wait())
        try:
            await asyncio.wait(
                {task, death}, return_when=asyncio.FIRST_COMPLETED
            )
            if node.dead.is_set() or not task.done():
                return core.Failure(core.ErrorKind.OUTCOME_UNKNOWN, "died")
            return task.result()
        finally:
            death.cancel()
            if not task.done():
                task.cancel()


class ModelChannel(requests.PeerChannel):
    """Channel of one node through the model network."""

    def __init__(self, clock: core.Clock, network: ModelNetwork) -> None:
        """Takes the network."""
        self._clock = clock
        self._network = network

    async def execute(
        self, address: core.Address, handoff: requests.Handoff
    ) -> core.Outcome[requests.Response]:
        """Hands work to a peer and waits for the outcome."""
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
        """Sends the own report and returns that of the peer."""
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
        """Tells a peer that handed-over work is no longer wanted."""
        node = self._network.nodes.get(address)
        if node is not None and not node.paused:
            node.engine.cancel_handoff(key)


MakePlacement = Callable[[random.Random], requests.Placement]
MakeQueue = Callable[[int], requests.WorkQueue]
MakeAdmission = Callable[[], requests.AdmissionPolicy]


def expected_completion(rng: random.Random) -> requests.Placement:
    """Returns the placement that agents use."""
    return requests.ShortestExpectedDelay(rng)


class ModelService:
    """Nodes of one service that know each other."""

    def __init__(
        self,
        clock: core.Clock,
        rng: random.Random,
        make_placement: MakePlacement = expected_completion,
        make_queue: MakeQueue = requests.FairQueue,
        make_admission: MakeAdmission = requests.ExpectedWaitAdmission,
    ) -> None:
        """Prepares an empty service."""
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
        """Starts a node; at the index of an old one it takes its address."""
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
        """Gives every node the same view of all living nodes."""
        alive = [node for node in self.nodes if not node.dead.is_set()]
        for node in alive:
            node.engine.set_peers([n.info for n in alive if n is not node])

    def close(self) -> None:
        """Ends all tasks of the nodes."""
        for node in self.nodes:
            node.engine.close()
