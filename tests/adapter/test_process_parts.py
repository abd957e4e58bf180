"""Parts of a balancer process, without sockets."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

import pytest

from fireflyford import core
from fireflyford import flows
from fireflyford.lab import _platform_settings
from fireflyford.platform import _front_end
from fireflyford.runtime import _agent
from fireflyford.runtime import _balancer
from fireflyford.runtime import _link
from fireflyford.runtime import _link_codec
from fireflyford.runtime import _process

STORE = core.Address("127.1.0.99", 1)
OWN = core.Address("10.0.0.1", 7_000)
PEER = core.Address("10.0.0.2", 7_000)
OPTIONS = _platform_settings.make_balancer_settings(OWN, STORE)


class RecordedBalancer(_balancer.Balancer):
    """Balancer that records what it would send."""

    def __init__(self, clock: core.Clock) -> None:
        """Creates the process without opening its sockets."""
        super().__init__(OPTIONS, _front_end.PlatformFrontEnd(STORE), clock)
        self.sent: list[tuple[core.Address, flows.Message]] = []
        self.link.send = self._record  # type: ignore[method-assign]

    def _record(self, to: core.Address, message: flows.Message) -> None:
        self.sent.append((to, message))


def run(body: Callable[[RecordedBalancer], Awaitable[None]]) -> None:
    """Runs a test in an event loop, at 1,000 s of the time of day."""

    async def main() -> None:
        await body(RecordedBalancer(core.ManualClock(1_000_000)))

    asyncio.run(main())


def agent(incarnation: int) -> flows.Instance:
    return flows.Instance(
        "agent-1", core.Role.AGENT, "board", "a", PEER, incarnation
    )


def heartbeat(instance: flows.Instance) -> flows.Heartbeat:
    return flows.Heartbeat(instance, flows.Load(), 0, False)


def test_process_outranks_its_predecessor_after_clock_is_set_back() -> None:
    """Guards against a new process that all others take for an earlier one."""

    async def body(process: RecordedBalancer) -> None:
        known = flows.Instance(
            "balancer-1", core.Role.BALANCER, "", "a", OWN, 1_090_000
        )
        process.handle_message(PEER, heartbeat(known))
        assert process.own_instance.incarnation == 1_090_001
        process.handle_message(PEER, heartbeat(known))
        assert process.own_instance.incarnation == 1_090_001

    run(body)


def test_entry_of_predecessor_with_later_clock_is_outranked() -> None:
    """Guards against a registry that keeps the entry of an ended process."""

    async def body(process: RecordedBalancer) -> None:
        known = flows.Instance(
            "balancer-1", core.Role.BALANCER, "", "a", OWN, 1_090_000
        )
        process._complete_join(known)
        assert process.own_instance.incarnation == 1_090_001

    run(body)


def test_incarnation_that_cannot_be_exceeded_is_ignored() -> None:
    """Guards against an incarnation that every peer rejects."""

    async def body(process: RecordedBalancer) -> None:
        own = process.own_instance
        process.supersede(_link_codec.MAX_INCARNATION)
        assert process.own_instance == own
        process.supersede(_link_codec.MAX_INCARNATION - 1)
        heard = _link_codec.unpack(
            _link_codec.pack(heartbeat(process.own_instance))
        )
        assert isinstance(heard, core.Ok)

    run(body)


def test_process_with_clock_set_back_is_told_its_predecessor() -> None:
    """Guards against heartbeats that are ignored for good."""

    async def body(process: RecordedBalancer) -> None:
        process.handle_message(PEER, heartbeat(agent(1_090_000)))
        process.sent.clear()
        process.handle_message(PEER, heartbeat(agent(1_000_500)))
        assert process.sent == [(PEER, heartbeat(agent(1_090_000)))]
        process.handle_message(PEER, heartbeat(agent(1_090_001)))
        assert process.fleet.find(PEER) == agent(1_090_001)

    run(body)


def test_successor_of_instance_that_left_is_told_its_incarnation() -> None:
    """Guards against a process that is ignored after a planned restart."""

    async def body(process: RecordedBalancer) -> None:
        present = heartbeat(agent(1_090_000))
        process.handle_message(PEER, present)
        process.handle_message(PEER, dataclasses.replace(present, leaving=True))
        process.sent.clear()
        process.handle_message(PEER, heartbeat(agent(1_000_500)))
        assert process.sent == [(PEER, present)]
        process.handle_message(PEER, heartbeat(agent(1_090_001)))
        assert process.fleet.find(PEER) == agent(1_090_001)

    run(body)


def test_new_process_is_told_of_announced_restarts() -> None:
    """Guards against flows reset by a process that missed an announcement."""

    async def body(process: RecordedBalancer) -> None:
        restarting = core.Address("10.0.0.3", 7_000)
        message = flows.PlannedRestart(restarting, 500)
        process.handle_message(restarting, message)
        process.handle_message(PEER, heartbeat(agent(1_000)))
        assert (PEER, message) in process.sent
        process.sent.clear()
        successor = dataclasses.replace(agent(501), address=restarting)
        process.handle_message(restarting, heartbeat(successor))
        process.handle_message(PEER, heartbeat(agent(2_000)))
        assert (PEER, message) not in process.sent

    run(body)


def test_failed_task_is_started_again() -> None:
    """Guards against a part of a process that stays dead after an error.

    The process would report that it is ready, and follow no configuration.
    """
    starts: list[int] = []

    async def fail_twice() -> None:
        starts.append(len(starts))
        if len(starts) < 3:
            raise RecursionError("nested too deeply")

    async def main() -> None:
        clock = core.ManualClock(1_000_000)
        process = RecordedBalancer(clock)
        process.start_task("config", fail_twice)
        for _ in range(3):
            await clock.advance(_process.TASK_RESTART_DELAY_MS)
        assert len(starts) == 3

    asyncio.run(main())


def test_introductions_to_a_new_process_are_few_in_a_large_fleet() -> None:
    """Guards against thousands of introductions for each restart.

    A third of 200 instances has lost its entries, and each of the others
    introduces them to a process that starts.
    """

    async def body(process: RecordedBalancer) -> None:
        instances = [
            flows.Instance(
                f"agent-{number}",
                core.Role.AGENT,
                "board",
                "a",
                core.Address(f"10.0.3.{number}", 7_000),
                1,
            )
            for number in range(1, 201)
        ]
        process.fleet.replace_entries(instances)
        lost = instances[:66]
        for instance in lost:
            process.handle_message(instance.address, heartbeat(instance))
        process.fleet.update_entries([], [item.address for item in lost])
        process.sent.clear()
        starts = 20
        for start in range(starts):
            process.handle_message(PEER, heartbeat(agent(1_000 + start)))
        # One heartbeat of its own, and two messages for each introduction.
        mean_count = (len(process.sent) - starts) / starts / 2
        expected_count = len(lost) * _process.INTRODUCER_COUNT / 200
        assert mean_count < 2 * expected_count

    run(body)


def test_agent_is_not_ready_before_it_handles_signals(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an agent that SIGTERM ends without any of its duties.

    It answered that it was ready while the default handler was in force, so the
    flows of a backend server that was gone were not reset.
    """
    steps: list[object] = []

    async def record_start(process: _process.FlowProcess) -> None:
        steps.append("handles signals")
        process.stopping.set()

    async def do_nothing(*args: object, **options: object) -> None:
        del args, options

    def record_listen(
        process: _process.FlowProcess, address: core.Address, handlers: object
    ) -> None:
        del process, handlers
        steps.append(address)

    monkeypatch.setattr(_process.FlowProcess, "start", record_start)
    monkeypatch.setattr(_process.FlowProcess, "listen", record_listen)
    monkeypatch.setattr(_process.FlowProcess, "shut_down", do_nothing)
    monkeypatch.setattr(_process.FlowProcess, "start_task", lambda *_: None)
    monkeypatch.setattr(_agent.Agent, "_leave_if_target_gone", do_nothing)
    monkeypatch.setattr(_link.DatagramSocket, "open", do_nothing)
    options = dataclasses.replace(
        OPTIONS, service="board", report_address=core.Address("10.0.0.1", 1)
    )

    async def main() -> None:
        front_end = _front_end.PlatformFrontEnd(STORE)
        clock = core.ManualClock(1_000_000)
        await _agent.Agent(options, front_end, clock).run()

    asyncio.run(main())
    ready = steps.index(options.readiness_check_address)
    assert steps.index("handles signals") < ready
