"""Exhaustive exploration of the message interleavings of one request.

Two production engines, a ticket issuer and its peer, exchange one request. Each
step of a schedule delivers, duplicates or loses a message, completes a request
or crashes an engine. The test runs all schedules up to a maximum length.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

import pytest

from fireflyford import config
from fireflyford import core
from fireflyford import requests
from fireflyford.lab import _virtual_time

_MAX_STEPS = 5
_YIELD_COUNT = 8
_TREATMENT = config.Treatment(
    name="order", method="POST", path_prefix="/", idempotent=False
)
_ADDRESSES = (core.Address("10.0.0.1", 1), core.Address("10.0.0.2", 2))
_MESSAGE_LOST = core.Failure(core.ErrorKind.OUTCOME_UNKNOWN, "lost")
Outcome = core.Outcome[requests.Response]


class _PeerOnlyPlacement(requests.Placement):
    """Hands off every request to the peer, which is the riskiest choice."""

    def choose(
        self, candidates: Sequence[requests.Candidate]
    ) -> requests.Candidate:
        return next((c for c in candidates if not c.is_local), candidates[0])


class _Executor(requests.Executor):
    def __init__(self, simulation: "_Simulation", index: int) -> None:
        self._simulation = simulation
        self._index = index

    async def execute(self, work: requests.WorkItem) -> Outcome:
        self._simulation.execution_count += 1
        done: asyncio.Future[Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        self._simulation.running.append((self._index, done))
        return await done


@dataclasses.dataclass(frozen=True, eq=False)
class _Message:
    """A request in transit, or its answer if `answer` is set."""

    receiver: int
    handle: Callable[[requests.RequestEngine], object]
    reply: "asyncio.Future[Outcome] | None"
    answer: "Outcome | None" = None


class _Channel(requests.PeerChannel):
    def __init__(self, simulation: "_Simulation") -> None:
        self._simulation = simulation

    async def execute(
        self, address: core.Address, handoff: requests.Handoff
    ) -> Outcome:
        return await self._simulation.post(
            address, lambda engine: engine.accept_handoff(handoff)
        )

    async def present(
        self,
        address: core.Address,
        ticket: requests.Ticket,
        work: requests.WorkItem,
    ) -> Outcome:
        return await self._simulation.post(
            address, lambda engine: engine.accept_presented(ticket, work)
        )

    async def exchange(
        self, address: core.Address, report: requests.TargetReport
    ) -> core.Outcome[requests.TargetReport]:
        engine = self._simulation.engines[_ADDRESSES.index(address)]
        return core.Ok(engine.accept_report(report))

    def cancel(self, address: core.Address, key: tuple[int, int]) -> None:
        pass


class _Simulation:
    """The engines, the messages in transit and the answers to the caller."""

    def __init__(self, clock: core.Clock) -> None:
        self.clock = clock
        self.engines: list[requests.RequestEngine] = []
        self.messages: list[_Message] = []
        self.running: list[tuple[int, asyncio.Future[Outcome]]] = []
        self.execution_count = 0
        self.answers: list[Outcome] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.fault_budget = {"duplicate": 1, "lose": 1, "crash": 1}
        self.incarnation = 0
        for index in (0, 1):
            self.engines.append(self._start_engine(index))
        self._connect_peers()
        self.ticket = self.engines[0].issuer.issue()

    def _start_engine(self, index: int) -> requests.RequestEngine:
        self.incarnation += 1
        info = requests.PeerInfo(
            f"t{index}", _ADDRESSES[index], self.incarnation, ""
        )
        return requests.RequestEngine(
            self.clock,
            _Executor(self, index),
            2,
            _PeerOnlyPlacement(),
            info,
            _Channel(self),
        )

    def _connect_peers(self) -> None:
        for index, engine in enumerate(self.engines):
            peer = self.engines[1 - index].issuer
            info = requests.PeerInfo(
                f"t{1 - index}", peer.address, peer.incarnation, ""
            )
            engine.set_peers([info])

    async def post(
        self,
        address: core.Address,
        handle: Callable[[requests.RequestEngine], object],
    ) -> Outcome:
        reply: asyncio.Future[Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        receiver = _ADDRESSES.index(address)
        self.messages.append(_Message(receiver, handle, reply))
        return await reply

    def submit(self, index: int) -> None:
        now_ms = self.clock.now_ms()
        work = requests.WorkItem(
            "id", _TREATMENT, "POST", "/", b"", "caller", now_ms, now_ms + 2_000
        )
        run = self.engines[index].submit(work, self.ticket)
        self.tasks.append(asyncio.create_task(self._record_answer(run)))

    async def _record_answer(self, run: object) -> None:
        assert asyncio.iscoroutine(run)
        self.answers.append(await run)

    def possible_steps(self) -> list[Callable[[], None]]:
        found: list[Callable[[], None]] = []
        for message in self.messages:
            found.append(lambda m=message: self._deliver(m))  # type: ignore
            if message.answer is None and self.fault_budget["duplicate"]:
                found.append(lambda m=message: self._duplicate(m))  # type: ignore
            if self.fault_budget["lose"]:
                found.append(lambda m=message: self._lose(m))  # type: ignore
        if self.running:
            found.append(self._complete)
        if self.fault_budget["crash"]:
            found.append(lambda: self._crash(0))
            found.append(lambda: self._crash(1))
        return found

    def _deliver(self, message: _Message) -> None:
        self.messages.remove(message)
        if message.answer is not None:
            assert message.reply is not None
            if not message.reply.done():
                message.reply.set_result(message.answer)
            return
        run = message.handle(self.engines[message.receiver])
        assert asyncio.iscoroutine(run)
        task = asyncio.create_task(self._process(message, run))
        self.tasks.append(task)

    async def _process(self, message: _Message, run: object) -> None:
        assert asyncio.iscoroutine(run)
        outcome = await run
        if message.reply is not None:
            self.messages.append(dataclasses.replace(message, answer=outcome))

    def _duplicate(self, message: _Message) -> None:
        self.fault_budget["duplicate"] -= 1
        self.messages.append(dataclasses.replace(message, reply=None))

    def _lose(self, message: _Message) -> None:
        self.fault_budget["lose"] -= 1
        self.messages.remove(message)
        if message.reply is not None and not message.reply.done():
            message.reply.set_result(_MESSAGE_LOST)

    def _complete(self) -> None:
        _, done = self.running.pop(0)
        if not done.done():
            done.set_result(core.Ok(requests.Response(200, (), b"")))

    def _crash(self, index: int) -> None:
        """Restarts an engine; a started request still counts as executed."""
        self.fault_budget["crash"] -= 1
        self.engines[index].close()
        self.running = [item for item in self.running if item[0] != index]
        self.engines[index] = self._start_engine(index)
        self._connect_peers()

    def close(self) -> None:
        for engine in self.engines:
            engine.close()
        for task in self.tasks:
            task.cancel()


async def _let_tasks_run() -> None:
    for _ in range(_YIELD_COUNT):
        await asyncio.sleep(0)


async def _run_schedule(schedule: list[int]) -> tuple[list[int], str]:
    """Runs one schedule; returns the number of choices at each step."""
    clock = _virtual_time.VirtualClock()
    simulation = _Simulation(clock)
    await clock.sleep(1)
    await _let_tasks_run()
    simulation.submit(0)
    simulation.submit(1)
    await _let_tasks_run()
    choice_counts = []
    for step in range(_MAX_STEPS):
        possible_steps = simulation.possible_steps()
        if not possible_steps:
            break
        choice_counts.append(len(possible_steps))
        possible_steps[schedule[step] if step < len(schedule) else 0]()
        await _let_tasks_run()
    # The remaining messages arrive in order.
    while simulation.messages or simulation.running:
        if simulation.messages:
            simulation._deliver(simulation.messages[0])
        else:
            simulation._complete()
        await _let_tasks_run()
    violation = _find_violation(simulation)
    simulation.close()
    await _let_tasks_run()
    return choice_counts, violation


def _find_violation(simulation: _Simulation) -> str:
    if simulation.execution_count > 1:
        return "ran twice"
    for outcome in simulation.answers:
        if isinstance(outcome, core.Ok):
            if simulation.execution_count == 0:
                return "complete but not run"
        elif (
            outcome.spec.execution is core.Execution.NOT_RUN
            and simulation.execution_count
        ):
            return "not run but ran"
    return ""


async def _explore() -> tuple[int, str]:
    """Runs all schedules; returns their number and the first violation."""
    schedule: list[int] = []
    count = 0
    while True:
        choice_counts, violation = await _run_schedule(schedule)
        count += 1
        if violation:
            return count, f"{violation}: {schedule}"
        schedule += [0] * (len(choice_counts) - len(schedule))
        schedule = schedule[: len(choice_counts)]
        while schedule and schedule[-1] + 1 >= choice_counts[len(schedule) - 1]:
            schedule.pop()
        if not schedule:
            return count, ""
        schedule[-1] += 1


def test_request_runs_at_most_once_in_any_message_order() -> None:
    """Guards against repeated execution or false answers in any order."""
    count, violation = _virtual_time.run(_explore())
    assert violation == ""
    assert count > 1_500


def test_exploration_detects_missing_records(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an exploration that cannot detect a second execution."""
    begin = requests.RequestRecords.begin

    def begin_without_record(
        self: requests.RequestRecords, key: object, *rest: object
    ) -> core.Outcome[requests.Claim]:
        return begin(self, object(), *rest)  # type: ignore[arg-type]

    monkeypatch.setattr(requests.RequestRecords, "begin", begin_without_record)
    _, violation = _virtual_time.run(_explore())
    assert violation.startswith("ran twice")


def test_exploration_detects_missing_incarnation_check(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against copies that a restarted peer executes again."""
    accept = requests.RequestEngine.accept_handoff

    async def accept_any_incarnation(
        self: requests.RequestEngine, handoff: requests.Handoff
    ) -> Outcome:
        own = self.issuer.incarnation
        return await accept(self, dataclasses.replace(handoff, executor=own))

    monkeypatch.setattr(
        requests.RequestEngine, "accept_handoff", accept_any_incarnation
    )
    _, violation = _virtual_time.run(_explore())
    assert violation.startswith("ran twice")
