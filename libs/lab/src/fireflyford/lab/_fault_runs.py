"""Short simulated runs of one service under faults, with a history check."""

import asyncio
from collections.abc import Coroutine
from collections.abc import Sequence
import dataclasses
import enum
import random
from typing import Any

from fireflyford import config
from fireflyford import core
from fireflyford import requests
from fireflyford.lab import _history
from fireflyford.lab import _model
from fireflyford.lab import _virtual_time

_NODE_COUNT = 4
_ORDER_COUNT = 60
_LOAD_MS = 5_000
_MAX_ATTEMPTS = 3
_ORDER = config.Treatment(
    name="order", method="POST", path_prefix="/orders", idempotent=False
)
# A copy that arrives after the retention time of its ticket must not run
# either.
_EXPIRED_COPY_DELAY_MS = requests.TICKET_RETENTION_MS + 5_000


class Fault(enum.Enum):
    """Kinds of faults that a run can inject."""

    NONE = "none"
    KILL = "kill"
    PAUSE = "pause"
    DUPLICATE = "duplicate"
    LATE_COPY = "late-copy"
    VIEW_CHANGE = "view-change"
    DRAIN = "drain"
    REUSED_ADDRESS = "reused-address"
    LOST_REPLY = "lost-reply"
    CANCEL = "cancel"


@dataclasses.dataclass(frozen=True)
class RunResult:
    """Result of one run."""

    seed: int
    faults: tuple[Fault, ...]
    violations: tuple[_history.Violation, ...]
    answer_count: int
    execution_count: int
    handed_over_count: int
    complete_count: int
    unknown_count: int


def choose_faults(seed: int) -> tuple[Fault, ...]:
    """Returns the faults of a seed.

    Even seeds cycle through all single faults; odd seeds choose a random pair.
    """
    kinds = [fault for fault in Fault if fault is not Fault.NONE]
    if seed % 2 == 0:
        return (kinds[seed // 2 % len(kinds)],)
    pair = random.Random(seed).sample(kinds, 2)
    return tuple(sorted(pair, key=lambda fault: fault.value))


def run_once(seed: int) -> RunResult:
    """Runs once with the faults of a seed and checks the history."""
    return _virtual_time.run(_FaultRun(seed, choose_faults(seed)).run())


class _FaultRun:
    """One run: callers that send orders, and one task for each fault."""

    def __init__(self, seed: int, faults: Sequence[Fault]) -> None:
        self._seed = seed
        self._faults = tuple(faults)
        self._rng = random.Random(seed)
        self._clock = _virtual_time.VirtualClock()
        self._service = _model.ModelService(self._clock, self._rng)
        self._answers: list[_history.Answer] = []
        self._bodies: dict[str, bytes] = {}
        self._copies: set[asyncio.Task[None]] = set()

    async def run(self) -> RunResult:
        for index in range(_NODE_COUNT):
            self._service.start_node(index, self._rng.choice((0.5, 1.0, 2.0)))
        self._service.connect()
        await self._clock.sleep(500)
        self._service.network.faults = self._link_faults()
        async with asyncio.TaskGroup() as tasks:
            for number in range(_ORDER_COUNT):
                tasks.create_task(self._run_order(f"order-{number}"))
            for fault in self._faults:
                tasks.create_task(self._inject_fault(fault))
        while self._copies:
            await asyncio.wait(self._copies)
        self._service.close()
        return self._result()

    def _link_faults(self) -> _model.LinkFaults:
        copied = {Fault.DUPLICATE, Fault.LATE_COPY} & set(self._faults)
        late = Fault.LATE_COPY in self._faults
        lost = Fault.LOST_REPLY in self._faults
        return _model.LinkFaults(
            duplicate_ratio=0.5 if copied else 0.0,
            late_ms=15_000 if late else 50,
            lost_reply_ratio=0.2 if lost else 0.0,
        )

    async def _run_order(self, name: str) -> None:
        await self._clock.sleep(self._rng.uniform(0, _LOAD_MS))
        for attempt in range(_MAX_ATTEMPTS):
            answer = await self._attempt(name, f"{name}/{attempt}")
            if answer is None or answer.execution is not core.Execution.NOT_RUN:
                return
            await self._clock.sleep(self._rng.uniform(10, 200))

    async def _attempt(
        self, name: str, ticket_name: str
    ) -> _history.Answer | None:
        alive = [n for n in self._service.nodes if not n.dead.is_set()]
        issuer = self._rng.choice(alive)
        ticket = issuer.engine.issuer.issue()
        self._bodies[ticket_name] = ticket_name.encode()
        if self._rng.random() < 0.3:
            self._copy_later(name, ticket_name, ticket, self._copy_delay_ms())
        target = issuer if self._rng.random() < 0.7 else self._rng.choice(alive)
        run = self._present(name, ticket_name, ticket, target.info.address)
        if Fault.CANCEL in self._faults and self._rng.random() < 0.4:
            await self._cancel(run)
            return None
        return await run

    def _copy_delay_ms(self) -> float:
        if Fault.LATE_COPY in self._faults and self._rng.random() < 0.2:
            return _EXPIRED_COPY_DELAY_MS
        return self._rng.uniform(0, 2_500)

    async def _cancel(self, run: Coroutine[Any, Any, object]) -> None:
        task = asyncio.ensure_future(run)
        await self._clock.sleep(self._rng.uniform(0, 60))
        lost = self._rng.random() < 0.5
        task.cancel(requests.CONNECTION_LOST if lost else None)
        await asyncio.wait({task})

    def _copy_later(
        self,
        name: str,
        ticket_name: str,
        ticket: requests.Ticket,
        delay_ms: float,
    ) -> None:
        async def copy() -> None:
            await self._clock.sleep(delay_ms)
            address = self._rng.choice(self._service.nodes).info.address
            await self._present(name, ticket_name, ticket, address)

        task = asyncio.create_task(copy())
        self._copies.add(task)
        task.add_done_callback(self._copies.discard)

    async def _present(
        self,
        name: str,
        ticket_name: str,
        ticket: requests.Ticket,
        address: core.Address,
    ) -> _history.Answer:
        now_ms = self._clock.now_ms()
        body = ticket_name.encode()
        work = requests.WorkItem(
            request_id=ticket_name,
            treatment=_ORDER,
            method="POST",
            path=f"/orders?ms={20 + len(name) % 3 * 30}",
            body=body,
            caller=name,
            arrived_ms=now_ms,
            deadline_ms=now_ms + _ORDER.deadline_ms,
        )
        outcome = await self._service.network.deliver(
            address,
            lambda node: asyncio.create_task(node.engine.submit(work, ticket)),
        )
        if isinstance(outcome, core.Ok):
            execution = core.Execution.RAN
            answer_body: bytes | None = outcome.value.body
        else:
            execution, answer_body = outcome.spec.execution, None
        answer = _history.Answer(name, ticket_name, execution, answer_body)
        self._answers.append(answer)
        return answer

    async def _inject_fault(self, fault: Fault) -> None:
        await self._clock.sleep(self._rng.uniform(500, _LOAD_MS - 1_000))
        node = self._rng.choice(self._service.nodes)
        index = int(node.info.target_id.rpartition("-")[2])
        if fault is Fault.KILL:
            node.kill()
            await self._clock.sleep(self._rng.uniform(100, 2_000))
            self._service.connect()
        elif fault is Fault.REUSED_ADDRESS:
            node.kill()
            await self._clock.sleep(self._rng.uniform(0, 300))
            self._service.start_node(index)
            await self._clock.sleep(self._rng.uniform(0, 1_000))
            self._service.connect()
        elif fault is Fault.PAUSE:
            node.paused = node.backend.paused = True
            await self._clock.sleep(self._rng.uniform(200, 14_000))
            node.paused = node.backend.paused = False
        elif fault is Fault.DRAIN:
            node.engine.drain()
            await self._clock.sleep(2_500)
            node.kill()
        elif fault is Fault.VIEW_CHANGE:
            await self._change_views()

    async def _change_views(self) -> None:
        for _ in range(10):
            infos = [node.info for node in self._service.nodes]
            for node in self._service.nodes:
                others = [info for info in infos if info is not node.info]
                count = self._rng.randint(0, len(others))
                if not node.dead.is_set():
                    node.engine.set_peers(self._rng.sample(others, count))
            await self._clock.sleep(200)
        self._service.connect()

    def _result(self) -> RunResult:
        executions = [
            _history.ExecutionRecord(
                execution.body.decode().partition("/")[0],
                execution.body.decode(),
                execution.backend,
            )
            for backend in self._service.backends
            for execution in backend.executions
        ]
        outcomes = [answer.execution for answer in self._answers]
        return RunResult(
            seed=self._seed,
            faults=self._faults,
            violations=tuple(
                _history.check(self._answers, executions, self._bodies)
            ),
            answer_count=len(self._answers),
            execution_count=len(executions),
            handed_over_count=sum(
                node.engine.scheduler.handed_over_count
                for node in self._service.nodes
            ),
            complete_count=outcomes.count(core.Execution.RAN),
            unknown_count=outcomes.count(core.Execution.UNKNOWN),
        )
