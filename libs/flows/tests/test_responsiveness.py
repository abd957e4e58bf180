"""Tests of the judgement of silent instances and of what follows from it."""

import itertools

import pytest

from fireflyford import core
from fireflyford import flows
from fireflyford.flows import _holder_watch
from fireflyford.flows import _responsiveness
from fireflyford.flows import _target_forwarder

PEER = core.Address("10.0.1.2", 7_000)
OTHER = core.Address("10.0.1.3", 7_000)
ROUTE = flows.Route(
    "feed", core.Address("198.18.0.1", 443), (flows.Share("board", 1),), True
)
FLOW = bytes((10, 9, 0, 7, 1, 1, 198, 18, 0, 1, 1, 187))
SWEEP_MS = 50


class Clock(core.ManualClock):
    """Clock whose time a test sets without an event loop."""

    def advance_ms(self, duration_ms: int) -> None:
        """Moves the time on."""
        self._now_ms += duration_ms


def make_judge() -> tuple[Clock, _responsiveness.Responsiveness]:
    """Returns a judge that has heard from `PEER`."""
    clock = Clock(1_000_000)
    judge = _responsiveness.Responsiveness(clock)
    judge.record_message(PEER)
    return clock, judge


def pass_time(
    clock: Clock, judge: _responsiveness.Responsiveness, duration_ms: int
) -> None:
    """Lets a process run that sweeps regularly."""
    for _ in range(0, duration_ms, SWEEP_MS):
        clock.advance_ms(SWEEP_MS)
        judge.sweep()


def query(
    clock: Clock,
    judge: _responsiveness.Responsiveness,
    count: int,
    gap_ms: int,
    address: core.Address = PEER,
) -> None:
    for _ in range(count):
        judge.record_query(address)
        pass_time(clock, judge, gap_ms)


def test_instance_is_unresponsive_after_queries_over_the_minimum_time() -> None:
    """Guards against a judgement by one burst or by too short a silence."""
    clock, judge = make_judge()
    query(clock, judge, 100, 0)
    pass_time(clock, judge, 700)
    assert not judge.is_unresponsive(PEER)
    query(clock, judge, 2, 200)
    assert judge.is_unresponsive(PEER)
    judge.record_message(PEER)
    query(clock, judge, 3, 150)
    assert not judge.is_unresponsive(PEER)


def test_rare_queries_judge_nobody() -> None:
    """Guards against silence that is inferred from time without queries."""
    clock, judge = make_judge()
    query(clock, judge, 10, 1_050)
    assert not judge.is_unresponsive(PEER)


@pytest.mark.parametrize("pause_ms", [400, 900, 5_000])
def test_paused_process_does_not_judge_others_by_its_pause(
    pause_ms: int,
) -> None:
    """Guards against answers that wait unread in the socket."""
    clock, judge = make_judge()
    query(clock, judge, 3, 150)
    clock.advance_ms(pause_ms)
    assert not judge.is_unresponsive(PEER)
    judge.record_query(PEER)
    judge.sweep()
    assert not judge.is_unresponsive(PEER)


def test_announced_restart_is_waited_for_up_to_its_limit() -> None:
    """Guards against flows reset during planned work."""
    clock, judge = make_judge()
    judge.record_planned_restart(PEER, 7)
    query(clock, judge, 20, 200)
    assert not judge.is_unresponsive(PEER)
    query(clock, judge, 10, 200)
    assert judge.is_unresponsive(PEER)


def test_unheard_instance_is_judged_later() -> None:
    """Guards against announcements that a process missed before its start."""
    clock, judge = make_judge()
    query(clock, judge, 5, 200, OTHER)
    assert not judge.is_unresponsive(OTHER)
    judge.is_after_crash = True
    assert judge.is_unresponsive(OTHER)
    judge.is_after_crash = False
    query(clock, judge, 20, 200, OTHER)
    assert judge.is_unresponsive(OTHER)


def test_instance_of_earlier_release_is_not_judged() -> None:
    """Guards against resets while a release is rolled out.

    Such an instance does not announce that it restarts.
    """
    clock = Clock(1_000_000)
    judge = _responsiveness.Responsiveness(clock, lambda address: False)
    judge.record_message(PEER)
    query(clock, judge, 20, 200)
    assert not judge.is_unresponsive(PEER)


def test_majority_of_silent_agents_is_not_judged() -> None:
    """Guards against a process that is cut off and blames all others."""
    clock, judge = make_judge()
    judge.record_message(OTHER)
    for _ in range(6):
        judge.record_query(OTHER)
        query(clock, judge, 1, 150)
    third = core.Address("10.0.1.4", 7_000)
    assert not judge.unresponsive([PEER, OTHER, third])
    judge.record_message(OTHER)
    assert judge.unresponsive([PEER, OTHER, third]) == {PEER}


def test_avoidance_doubles_until_a_message_arrives() -> None:
    """Guards against a timeout each second for an agent that is gone."""
    clock = Clock(1_000_000)
    avoidance = _responsiveness.Avoidance(clock)
    durations = []
    for _ in range(5):
        durations.append(avoidance.record_silence(PEER))
        assert avoidance.record_silence(PEER) == 0
        clock.advance_ms(durations[-1])
        assert PEER not in avoidance
    assert durations == [1_000, 2_000, 4_000, 8_000, 8_000]
    avoidance.record_message(PEER)
    assert avoidance.record_silence(PEER) == 1_000


def watch_silent_holder(
    sends_keepalives: bool, is_restarting: bool = False
) -> tuple[int, list[_holder_watch.WaitingClient]]:
    """Lets a client repeat its data; returns when its flow was given up."""
    clock, judge = make_judge()
    fleet = flows.Fleet(clock)
    agents = [PEER, OTHER, core.Address("10.0.1.4", 7_000)]
    fleet.replace_entries(
        flows.Instance(str(item), core.Role.AGENT, "board", "a", item, 1)
        for item in agents
    )
    watch = _holder_watch.HolderWatch(clock, fleet, judge)
    for address in agents:
        fleet.record_load(address, flows.Load())
    packet = flows.Packet(FLOW, b"", payload_bytes=1, seq=5)
    if is_restarting:
        judge.record_planned_restart(PEER, 1)
    for now_ms in range(0, 4_000, SWEEP_MS):
        pass_time(clock, judge, SWEEP_MS)
        if not now_ms % 900:
            for address in agents[0 if sends_keepalives else 1 :]:
                fleet.record_load(address, flows.Load())
        if now_ms in (1_700, 2_100, 2_900):
            watch.record_repeat(packet, "board", PEER)
        stranded = watch.take_stranded()
        if stranded:
            return now_ms, stranded
    return 0, []


def test_flow_of_silent_holder_is_given_up_at_second_repetition() -> None:
    """Guards against clients that wait for a dark machine to their limit."""
    now_ms, stranded = watch_silent_holder(sends_keepalives=False)
    assert now_ms == 2_100
    assert [item.packet.flow for item in stranded] == [FLOW]


def test_flow_of_slow_holder_is_kept() -> None:
    """Guards against the reset of a flow whose holder merely is slow."""
    assert watch_silent_holder(sends_keepalives=True) == (0, [])


def test_flow_of_restarting_holder_is_kept() -> None:
    """Guards against resets by balancers during planned work."""
    assert watch_silent_holder(False, is_restarting=True) == (0, [])


def test_agent_that_withholds_an_answer_shows_that_it_runs() -> None:
    """Guards against flows reset while their restarted agent runs.

    It does not know yet whether its backend server, which has not answered,
    runs, and load reports can be more than a second apart.
    """
    clock = Clock(1_000_000)
    fleet = flows.Fleet(clock)
    own, *others = (
        flows.Instance(str(item), core.Role.AGENT, "board", "a", item, 1)
        for item in (core.Address("10.0.1.1", 7_000), PEER, OTHER)
    )
    fleet.replace_entries([own, *others])
    forwarder = _target_forwarder.TargetForwarder(clock, own, fleet)
    packet = flows.Packet(FLOW, b"", acknowledges=True, payload_bytes=1)
    search = flows.Forward(
        flows.Handling.SEARCH, "board", OTHER, PEER, 1, True, False, b""
    )
    forwarder.receive(PEER, search, packet)
    reported_ms = []
    for now_ms in range(0, 1_000, SWEEP_MS):
        for action in forwarder.sweep():
            assert isinstance(action, flows.Send)
            assert isinstance(action.message, flows.LoadReport)
            assert action.to == PEER
            reported_ms.append(now_ms)
        clock.advance_ms(SWEEP_MS)
    gaps = [
        later - earlier for earlier, later in itertools.pairwise(reported_ms)
    ]
    assert reported_ms[0] <= 200
    assert max(gaps) < _responsiveness.MIN_SILENCE_MS / 2
