"""Every order of messages, with a loss, a copy and a crash, for one order.

Two real engines, an issuer and its peer, pass one ticketed request between
them. The test chooses each step: which message arrives, is copied or lost,
which work ends, who crashes. It runs every sequence of choices up to a depth.
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

_MAX_CHOICES = 5
_PASSES = 8
_ORDER = config.Treatment(
    name="order", method="POST", path_prefix="/", idempotent=False
)
_ADDRESSES = (core.Address("10.0.0.1", 1), core.Address("10.0.0.2", 2))
_LOST = core.Failure(core.ErrorKind.OUTCOME_UNKNOWN, "lost")
Outcome = core.Outcome[requests.Response]


class _ToPeer(requests.Placement):
    """Hands every request over, as the riskiest choice."""

    def choose(
        self, candidates: Sequence[requests.Candidate]
    ) -> requests.Candidate:
        return next((c for c in candidates if not c.is_local), candidates[0])


class _Executor(requests.Executor):
    def __init__(self, world: "_World", index: int) -> None:
        self._world = world
        self._index = index

    async def execute(self, work: requests.WorkItem) -> Outcome:
        self._world.run_count += 1
        done: asyncio.Future[Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        self._world.running.append((self._index, done))
        return await done


@dataclasses.dataclass(frozen=True, eq=False)
class _Message:
    receiver: int
    start: Callable[[requests.RequestEngine], object]
    reply: "asyncio.Future[Outcome] | None"
    answer: "Outcome | None" = None


class _Channel(requests.PeerChannel):
    def __init__(self, world: "_World") -> None:
        self._world = world

    async def execute(
        self, address: core.Address, handoff: requests.Handoff
    ) -> Outcome:
        return await self._world.post(
            address, lambda engine: engine.accept_handoff(handoff)
        )

    async def present(
        self,
        address: core.Address,
        ticket: requests.Ticket,
        work: requests.WorkItem,
    ) -> Outcome:
        return await self._world.post(
            address, lambda engine: engine.accept_presented(ticket, work)
        )

    async def exchange(
        self, address: core.Address, report: requests.TargetReport
    ) -> core.Outcome[requests.TargetReport]:
        engine = self._world.engines[_ADDRESSES.index(address)]
        return core.Ok(engine.accept_report(report))

    def cancel(self, address: core.Address, key: tuple[int, int]) -> None:
        pass


class _World:
    """The engines, the messages on the way, and what the caller was told."""

    def __init__(self, clock: core.Clock) -> None:
        self.clock = clock
        self.engines: list[requests.RequestEngine] = []
        self.messages: list[_Message] = []
        self.running: list[tuple[int, asyncio.Future[Outcome]]] = []
        self.run_count = 0
        self.told: list[Outcome] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.budget = {"copy": 1, "lose": 1, "crash": 1}
        self.incarnation = 0
        for index in (0, 1):
            self.engines.append(self._start(index))
        self._connect()
        self.ticket = self.engines[0].issuer.issue()

    def _start(self, index: int) -> requests.RequestEngine:
        self.incarnation += 1
        info = requests.PeerInfo(
            f"t{index}", _ADDRESSES[index], self.incarnation, ""
        )
        return requests.RequestEngine(
            self.clock,
            _Executor(self, index),
            2,
            _ToPeer(),
            info,
            _Channel(self),
        )

    def _connect(self) -> None:
        for index, engine in enumerate(self.engines):
            peer = self.engines[1 - index].issuer
            info = requests.PeerInfo(
                f"t{1 - index}", peer.address, peer.incarnation, ""
            )
            engine.set_peers([info])

    async def post(
        self,
        address: core.Address,
        start: Callable[[requests.RequestEngine], object],
    ) -> Outcome:
        reply: asyncio.Future[Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        receiver = _ADDRESSES.index(address)
        self.messages.append(_Message(receiver, start, reply))
        return await reply

    def present(self, index: int) -> None:
        now_ms = self.clock.now_ms()
        work = requests.WorkItem(
            "id", _ORDER, "POST", "/", b"", "caller", now_ms, now_ms + 2_000
        )
        run = self.engines[index].submit(work, self.ticket)
        self.tasks.append(asyncio.create_task(self._tell(run)))

    async def _tell(self, run: object) -> None:
        assert asyncio.iscoroutine(run)
        self.told.append(await run)

    def choices(self) -> list[Callable[[], None]]:
        found: list[Callable[[], None]] = []
        for message in self.messages:
            found.append(lambda m=message: self._arrive(m))  # type: ignore
            if message.answer is None and self.budget["copy"]:
                found.append(lambda m=message: self._copy(m))  # type: ignore
            if self.budget["lose"]:
                found.append(lambda m=message: self._lose(m))  # type: ignore
        if self.running:
            found.append(self._finish)
        if self.budget["crash"]:
            found.append(lambda: self._crash(0))
            found.append(lambda: self._crash(1))
        return found

    def _arrive(self, message: _Message) -> None:
        self.messages.remove(message)
        if message.answer is not None:
            assert message.reply is not None
            if not message.reply.done():
                message.reply.set_result(message.answer)
            return
        run = message.start(self.engines[message.receiver])
        assert asyncio.iscoroutine(run)
        task = asyncio.create_task(self._answer(message, run))
        self.tasks.append(task)

    async def _answer(self, message: _Message, run: object) -> None:
        assert asyncio.iscoroutine(run)
        outcome = await run
        if message.reply is not None:
            self.messages.append(dataclasses.replace(message, answer=outcome))

    def _copy(self, message: _Message) -> None:
        self.budget["copy"] -= 1
        self.messages.append(dataclasses.replace(message, reply=None))

    def _lose(self, message: _Message) -> None:
        self.budget["lose"] -= 1
        self.messages.remove(message)
        if message.reply is not None and not message.reply.done():
            message.reply.set_result(_LOST)

    def _finish(self) -> None:
        _, done = self.running.pop(0)
        if not done.done():
            done.set_result(core.Ok(requests.Response(200, (), b"")))

    def _crash(self, index: int) -> None:
        """Restarts an engine; work that has started stays started."""
        self.budget["crash"] -= 1
        self.engines[index].close()
        self.running = [item for item in self.running if item[0] != index]
        self.engines[index] = self._start(index)
        self._connect()

    def close(self) -> None:
        for engine in self.engines:
            engine.close()
        for task in self.tasks:
            task.cancel()


async def _pass_time() -> None:
    for _ in range(_PASSES):
        await asyncio.sleep(0)


async def _run_schedule(schedule: list[int]) -> tuple[list[int], str]:
    """Runs one schedule; returns the number of choices at each step."""
    clock = _virtual_time.VirtualClock()
    world = _World(clock)
    await clock.sleep(1)
    await _pass_time()
    world.present(0)
    world.present(1)
    await _pass_time()
    widths = []
    for step in range(_MAX_CHOICES):
        choices = world.choices()
        if not choices:
            break
        widths.append(len(choices))
        choices[schedule[step] if step < len(schedule) else 0]()
        await _pass_time()
    # What is left on the way arrives in order.
    while world.messages or world.running:
        if world.messages:
            world._arrive(world.messages[0])
        else:
            world._finish()
        await _pass_time()
    fault = _judge(world)
    world.close()
    await _pass_time()
    return widths, fault


def _judge(world: _World) -> str:
    if world.run_count > 1:
        return "ran twice"
    for outcome in world.told:
        if isinstance(outcome, core.Ok):
            if world.run_count == 0:
                return "complete but not run"
        elif (
            outcome.spec.execution is core.Execution.NOT_RUN and world.run_count
        ):
            return "not run but ran"
    return ""


async def _explore() -> tuple[int, str]:
    """Runs all schedules; returns their number and the first fault."""
    schedule: list[int] = []
    count = 0
    while True:
        widths, fault = await _run_schedule(schedule)
        count += 1
        if fault:
            return count, f"{fault}: {schedule}"
        schedule += [0] * (len(widths) - len(schedule))
        schedule = schedule[: len(widths)]
        while schedule and schedule[-1] + 1 >= widths[len(schedule) - 1]:
            schedule.pop()
        if not schedule:
            return count, ""
        schedule[-1] += 1


def test_every_order_of_messages_runs_the_work_once() -> None:
    """Guards against a second run or a false answer in any order."""
    count, fault = _virtual_time.run(_explore())
    assert fault == ""
    assert count > 1_500


def test_exploration_finds_missing_records(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an exploration that cannot see a second run."""
    begin = requests.RequestRecords.begin

    def forgetful(
        self: requests.RequestRecords, key: object, *rest: object
    ) -> core.Outcome[requests.Claim]:
        return begin(self, object(), *rest)  # type: ignore[arg-type]

    monkeypatch.setattr(requests.RequestRecords, "begin", forgetful)
    _, fault = _virtual_time.run(_explore())
    assert fault.startswith("ran twice")


def test_exploration_finds_a_missing_incarnation_check(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against copies that run again at a restarted peer."""
    accept = requests.RequestEngine.accept_handoff

    async def gullible(
        self: requests.RequestEngine, handoff: requests.Handoff
    ) -> Outcome:
        own = self.issuer.incarnation
        return await accept(self, dataclasses.replace(handoff, executor=own))

    monkeypatch.setattr(requests.RequestEngine, "accept_handoff", gullible)
    _, fault = _virtual_time.run(_explore())
    assert fault.startswith("ran twice")
