"""Judgement of zones that do not reach a process."""

import random

from fireflyford import core
from fireflyford import flows

INTERVAL_MS = 1_200
LIMIT_MS = 1_600


class Clock(core.ManualClock):
    """Clock whose time a test sets without an event loop."""

    def advance_ms(self, duration_ms: int) -> None:
        """Moves the time on."""
        self._now_ms += duration_ms


class Process:
    """One agent that sweeps, and hears others when told."""

    def __init__(self, agent_count: int = 4) -> None:
        """Starts a process that has heard from every zone."""
        self.clock = Clock(1_000_000)
        self.fleet = flows.Fleet(self.clock)
        self.instances = [
            flows.Instance(
                f"agent-{zone}-{index}",
                core.Role.AGENT,
                "board",
                zone,
                core.Address(f"10.0.{number}.{index + 1}", 7_000),
                1,
            )
            for number, zone in enumerate("abc")
            for index in range(agent_count)
        ]
        self.fleet.replace_entries(self.instances)
        self.own = self.instances[0]
        self.judge = flows.Responsiveness(self.clock)
        self.paths = flows.ZonePaths(
            self.clock, self.own, self.fleet, self.judge
        )
        self.sent: list[flows.Send] = []
        self.run(1_200, "abc")

    def run(self, duration_ms: int, zones: str) -> None:
        """Hears all agents of some zones every 200 ms."""
        for step in range(duration_ms // 50):
            self.clock.advance_ms(50)
            if step % 4 == 0:
                for item in self.instances:
                    if item.availability_zone in zones:
                        self.paths.record_message(item.address)
            for action in self.paths.sweep():
                assert isinstance(action, flows.Send)
                self.sent.append(action)


def test_a_silent_zone_is_told_each_second() -> None:
    """Guards against senders that never learn that they are not heard."""
    process = Process()
    process.run(LIMIT_MS, "ab")
    assert process.paths.unheard_zones() == ("c",)
    process.sent.clear()
    process.run(3_000, "ab")
    receivers = {item.to for item in process.sent}
    assert receivers == {item.address for item in process.instances[8:]}
    assert len(process.sent) == 3 * len(receivers)
    process.sent.clear()
    process.run(100, "abc")
    assert not process.paths.unheard_zones()
    assert {item.message for item in process.sent} == {flows.PathReport("c", 0)}


def test_chance_gaps_and_restarts_are_no_lost_path() -> None:
    """Guards against a small or restarting zone that is declared lost."""
    small = Process(agent_count=1)
    small.run(2 * INTERVAL_MS, "ab")
    assert not small.paths.unheard_zones()
    restarting = Process()
    for item in restarting.instances[8:]:
        restarting.judge.record_planned_restart(item.address, 1)
    restarting.run(4_000, "ab")
    assert not restarting.paths.unheard_zones()


def test_a_process_that_hears_nobody_judges_nobody() -> None:
    """Guards against an agent that is cut off and declines everything."""
    process = Process()
    process.run(5_000, "")
    assert not process.paths.unheard_zones()
    assert not process.sent


def test_a_zone_that_was_never_heard_is_not_judged() -> None:
    """Guards against a new process that declines before it hears a zone."""
    process = Process()
    fresh = flows.ZonePaths(
        process.clock, process.own, process.fleet, process.judge
    )
    process.paths = fresh
    process.run(5_000, "ab")
    assert not fresh.unheard_zones()


def test_a_pause_of_the_process_is_no_silence() -> None:
    """Guards against judging others by the time of an own pause."""
    process = Process()
    process.clock.advance_ms(3_000)
    assert process.paths.is_heard("c")
    process.paths.sweep()
    process.run(900, "ab")
    assert process.paths.is_heard("c")
    process.run(LIMIT_MS, "ab")
    process.clock.advance_ms(3_000)
    assert process.paths.is_heard("c")
    process.paths.record_report(
        process.instances[8].address, flows.PathReport("a", 2_500)
    )
    assert not process.paths.unreachable_count()


def test_reports_end_by_themselves() -> None:
    """Guards against an instance that stays avoided after a lost report."""
    process = Process()
    address = process.instances[8].address
    process.paths.record_report(address, flows.PathReport("b", 2_500))
    assert process.paths.is_reachable(address)
    process.paths.record_report(address, flows.PathReport("a", 2_500))
    assert not process.paths.is_reachable(address)
    process.run(2_400, "abc")
    assert not process.paths.is_reachable(address)
    process.run(100, "abc")
    assert process.paths.is_reachable(address)


def test_reports_of_a_large_fleet_stay_within_their_budget() -> None:
    """Guards against a fault that fills the limit of control messages."""
    process = Process(agent_count=200)
    process.run(LIMIT_MS, "ab")
    process.sent.clear()
    process.run(16_000, "ab")
    assert 0 < len(process.sent) <= 16 * 25
    (report,) = {item.message for item in process.sent}
    assert report == flows.PathReport("c", 20_000)


def test_only_flows_of_a_zone_that_is_not_heard_are_declined() -> None:
    """Guards against flows whose data never arrives, and needless declines."""
    process = Process()
    agent = flows.AgentFlows(
        process.clock,
        process.own,
        process.fleet,
        flows.EarliestCompletion(random.Random(1)),
        zone_paths=process.paths,
    )
    agent.forwarder.state = flows.TargetState.READY
    process.run(LIMIT_MS, "ab")
    directory_agent = process.instances[4].address
    unknown = core.Address("10.0.9.9", 7_000)
    reasons = []
    for number, balancer in enumerate(
        (process.instances[8].address, directory_agent, unknown)
    ):
        packet = flows.Packet(bytes(11) + bytes((number,)), b"", opens=True)
        forward = flows.Forward(
            flows.Handling.PLACE,
            "board",
            balancer,
            directory_agent,
            1,
            True,
            False,
            b"",
        )
        (action,) = agent.receive(directory_agent, forward, packet)
        reasons.append(
            action.message.reason if isinstance(action, flows.Send) else None
        )
    assert reasons == [flows.DeclineReason.UNREACHABLE, None, None]
