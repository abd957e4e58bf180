"""Tests of which agent takes a flow as held by its backend server."""

import dataclasses
import random

from fireflyford import core
from fireflyford import flows
from fireflyford.flows import _target_forwarder

OWN = core.Address("10.0.1.1", 7_000)
PEER = core.Address("10.0.1.2", 7_000)
BALANCER = core.Address("10.0.0.1", 7_000)
FLOW = bytes((10, 9, 0, 7, 1, 1, 198, 18, 0, 1, 1, 187))
SEQ = 4_000_000_000
START_MS = 1_000_000
SEARCH = flows.Handling.SEARCH


class Clock(core.ManualClock):
    """Clock whose time a test sets without an event loop."""

    def set(self, now_ms: int) -> None:
        """Sets the time."""
        self._now_ms = now_ms


def make_fleet(clock: Clock) -> flows.Fleet:
    fleet = flows.Fleet(clock)
    fleet.replace_entries([instance(OWN), instance(PEER)])
    return fleet


def instance(address: core.Address) -> flows.Instance:
    role = core.Role.AGENT
    return flows.Instance(str(address), role, "board", "a", address, 1)


def make_forwarder() -> tuple[Clock, _target_forwarder.TargetForwarder]:
    clock = Clock(START_MS)
    forwarder = _target_forwarder.TargetForwarder(
        clock, instance(OWN), make_fleet(clock)
    )
    forwarder.update_state(flows.TargetState.READY, 2)
    return clock, forwarder


def forward(handling: flows.Handling) -> flows.Forward:
    return flows.Forward(handling, "board", BALANCER, OWN, 0, False, True, b"")


def data_packet(payload_bytes: int = 100) -> flows.Packet:
    return flows.Packet(
        FLOW,
        b"",
        acknowledges=True,
        payload_bytes=payload_bytes,
        seq=10,
        ack=SEQ + 1,
    )


def open_flow(forwarder: _target_forwarder.TargetForwarder) -> None:
    opening = flows.Packet(FLOW, b"", opens=True)
    forwarder.receive(BALANCER, forward(flows.Handling.PLACE), opening)
    forwarder.receive_from_target(
        flows.Packet(FLOW, b"", opens=True, acknowledges=True, seq=SEQ)
    )


def report(started_ms: int) -> flows.TargetReport:
    state = flows.TargetState.READY
    return flows.TargetReport("board-1", "board", state, 2, started_ms, 1)


def sent_messages(actions: list[flows.Action], kind: type) -> list[flows.Send]:
    return [
        action
        for action in actions
        if isinstance(action, flows.Send) and isinstance(action.message, kind)
    ]


def probe_dark_target() -> tuple[Clock, _target_forwarder.TargetForwarder]:
    """Returns a forwarder whose target reported and then became silent."""
    clock, forwarder = make_forwarder()
    flows.TargetMonitor(clock, "board", forwarder, 1_200).record_report(
        report(1)
    )
    clock.set(START_MS + 10)
    forwarder.receive(PEER, forward(SEARCH), data_packet())
    return clock, forwarder


def sweep_until(
    clock: Clock, forwarder: _target_forwarder.TargetForwarder, end_ms: int
) -> list[flows.Action]:
    actions: list[flows.Action] = []
    while clock.now_ms() < end_ms:
        clock.set(clock.now_ms() + 20)
        actions += forwarder.sweep()
    return actions


def test_dark_target_draws_no_flow_to_itself() -> None:
    """Guards against packets of a living server's flow at a dead one.

    The dead one reported before, and returns nothing now (review/2).
    """
    clock, forwarder = probe_dark_target()
    actions = sweep_until(clock, forwarder, START_MS + 2_000)
    assert FLOW not in forwarder.tracker
    assert not sent_messages(actions, flows.FlowLocated)


def test_search_does_not_wait_for_dark_target_for_long() -> None:
    """Guards against clients of a lost flow that nobody resets."""
    clock, forwarder = probe_dark_target()
    actions = sweep_until(
        clock, forwarder, START_MS + 50 + _target_forwarder.FIRST_KEEPALIVE_MS
    )
    assert [item.to for item in sent_messages(actions, flows.NotHeld)] == [PEER]


def test_frozen_agent_does_not_take_its_target_for_gone() -> None:
    """Guards against resets by an agent that has not read its sockets yet."""
    clock, forwarder = probe_dark_target()
    sweep_until(clock, forwarder, START_MS + 100)
    clock.set(START_MS + 4_000)
    assert not sent_messages(forwarder.sweep(), flows.NotHeld)


def test_restarted_target_holds_no_flow_of_its_earlier_process() -> None:
    """Guards against an adoption because the new process reports."""
    clock, forwarder = make_forwarder()
    monitor = flows.TargetMonitor(clock, "board", forwarder, 1_200)
    monitor.record_report(report(1))
    forwarder.receive(PEER, forward(SEARCH), data_packet())
    clock.set(START_MS + 700)
    monitor.record_report(report(2))
    actions = forwarder.sweep()
    assert FLOW not in forwarder.tracker
    assert sent_messages(actions, flows.NotHeld)


def test_flow_that_no_client_has_opened_is_not_reset() -> None:
    """Guards against the reset of a flow that is open at another server.

    An agent that was frozen offers an old opening packet again, and the server
    accepts it (review/other/unopened-flow).
    """
    _, forwarder = make_forwarder()
    open_flow(forwarder)
    actions = forwarder.mark_down("left")
    assert not any(isinstance(item, flows.Reset) for item in actions)


def test_flow_that_the_client_has_acknowledged_is_reset() -> None:
    """Guards against clients that wait for a server that is gone."""
    _, forwarder = make_forwarder()
    open_flow(forwarder)
    acknowledgment = data_packet(payload_bytes=0)
    forwarder.receive(BALANCER, forward(flows.Handling.HELD), acknowledgment)
    actions = forwarder.mark_down("left")
    assert any(isinstance(item, flows.Reset) for item in actions)


def test_flow_accepted_twice_is_found_without_a_search() -> None:
    """Guards against a search at all agents for a flow accepted by two."""
    clock = Clock(START_MS)
    policy = flows.EarliestCompletion(random.Random(1))
    decisions = flows.AgentFlows(
        clock, instance(OWN), make_fleet(clock), policy
    )
    located = flows.FlowLocated(FLOW, flows.Load())
    decisions.handle_message(PEER, located)
    decisions.handle_message(OWN, located)
    decisions.handle_message(OWN, flows.NotHeld(FLOW))
    (action,) = decisions.receive(
        BALANCER, forward(flows.Handling.RESOLVE), data_packet()
    )
    assert isinstance(action, flows.Send)
    assert action.to == PEER
    assert isinstance(action.message, flows.Forward)
    assert action.message.handling is flows.Handling.HELD
    decisions.handle_message(PEER, flows.NotHeld(FLOW))
    actions = decisions.receive(
        BALANCER, forward(flows.Handling.RESOLVE), data_packet()
    )
    assert len(sent_messages(actions, flows.Forward)) == 2


def test_unopened_flow_does_not_count_in_the_load() -> None:
    """Guards against load that no client brings.

    A long-lived flow that was accepted by two counts at both for a minute.
    """
    clock, forwarder = make_forwarder()
    opening = flows.Packet(FLOW, b"", opens=True)
    offer = dataclasses.replace(forward(flows.Handling.PLACE), long_lived=True)
    forwarder.receive(BALANCER, offer, opening)
    forwarder.receive_from_target(
        flows.Packet(FLOW, b"", opens=True, acknowledges=True, seq=SEQ)
    )
    forwarder.tracker.expire()
    assert forwarder.load().long_lived_count == 1
    clock.set(START_MS + 2_100)
    forwarder.tracker.expire()
    assert forwarder.load().long_lived_count == 0
    forwarder.tracker.remove(FLOW)
    assert forwarder.load().long_lived_count == 0
