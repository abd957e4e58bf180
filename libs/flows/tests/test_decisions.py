"""Single decisions of agents and balancers."""

import dataclasses
import random

import pytest

from fireflyford import core
from fireflyford import flows
from fireflyford.flows import _held
from fireflyford.flows import _keeper
from fireflyford.flows import _placement

OWN = core.Address("10.0.1.1", 7_000)
PEER = core.Address("10.0.1.2", 7_000)
BALANCER = core.Address("10.0.0.1", 7_000)
FLOW = bytes((10, 9, 0, 7, 1, 1, 198, 18, 0, 1, 1, 187))
ROUTE = core.Address("198.18.0.1", 443)
SEQ = 4_000_000_000


class Clock(core.ManualClock):
    """Clock that a test sets without an event loop."""

    def set(self, now_ms: int) -> None:
        """Sets the time."""
        self._now_ms = now_ms


def instance(
    address: core.Address,
    role: core.Role = core.Role.AGENT,
    incarnation: int = 1,
) -> flows.Instance:
    service = "board" if role is core.Role.AGENT else ""
    return flows.Instance(
        str(address), role, service, "a", address, incarnation
    )


def forward(
    handling: flows.Handling,
    allow_queueing: bool = True,
    service: str = "board",
    long_lived: bool = False,
) -> flows.Forward:
    return flows.Forward(
        handling, service, BALANCER, OWN, 0, long_lived, allow_queueing, b""
    )


def make_forwarder() -> tuple[Clock, flows.Fleet, _keeper.TargetForwarder]:
    clock = Clock(1_000_000)
    fleet = flows.Fleet(clock)
    fleet.replace_entries([instance(OWN), instance(PEER)])
    forwarder = _keeper.TargetForwarder(clock, instance(OWN), fleet)
    forwarder.update_state(flows.TargetState.READY, 2)
    return clock, fleet, forwarder


def sent(actions: list[flows.Action], kind: type) -> list[flows.Send]:
    return [
        action
        for action in actions
        if isinstance(action, flows.Send) and isinstance(action.message, kind)
    ]


def open_flow(forwarder: _keeper.TargetForwarder, flow: bytes = FLOW) -> None:
    opening = flows.Packet(flow, b"", opens=True)
    forwarder.receive(BALANCER, forward(flows.Handling.PLACE), opening)
    accepted = flows.Packet(flow, b"", opens=True, acknowledges=True, seq=SEQ)
    forwarder.receive_from_target(accepted)


def data_packet(ack: int = SEQ + 1, seq: int = 10) -> flows.Packet:
    return flows.Packet(
        FLOW, b"", acknowledges=True, payload_bytes=100, seq=seq, ack=ack
    )


def test_a_flow_opened_elsewhere_is_not_delivered_here() -> None:
    """Guards against packets for another backend server's answer.

    Both backend servers answered the first packet; the client acknowledges
    the other one's sequence.
    """
    _, _, forwarder = make_forwarder()
    open_flow(forwarder)
    actions = forwarder.receive(
        PEER, forward(flows.Handling.SEARCH), data_packet(ack=SEQ + 5_000)
    )
    assert not any(isinstance(item, flows.Deliver) for item in actions)
    assert sent(actions, flows.NotHeld)


def test_a_balancer_that_asks_the_home_is_always_told() -> None:
    """Guards against a request that is delivered twice.

    A balancer that was told where the flow is may not know the holder, asks
    the home, and repeats its packet until it is told again.
    """
    _, _, forwarder = make_forwarder()
    open_flow(forwarder)
    actions = forwarder.receive(
        PEER, forward(flows.Handling.HELD), data_packet()
    )
    assert [item.to for item in sent(actions, flows.FlowLocated)] == [BALANCER]


def test_a_late_answer_to_a_first_packet_is_dropped() -> None:
    """Guards against a flow that opens at two backend servers."""
    clock, _, forwarder = make_forwarder()
    opening = flows.Packet(FLOW, b"", opens=True)
    forwarder.receive(BALANCER, forward(flows.Handling.PLACE), opening)
    clock.set(1_000_000 + _keeper.OPENING_LIMIT_MS)
    declined = sent(forwarder.sweep(), flows.PlacementDeclined)
    assert len(declined) == 1
    accepted = flows.Packet(FLOW, b"", opens=True, acknowledges=True, seq=SEQ)
    assert forwarder.receive_from_target(accepted) == []


@pytest.mark.parametrize(
    ("state", "reason"),
    [
        (flows.TargetState.DRAINING, flows.DeclineReason.DRAINING),
        (flows.TargetState.DOWN, flows.DeclineReason.DOWN),
        (flows.TargetState.UNKNOWN, flows.DeclineReason.UNKNOWN_STATE),
    ],
)
def test_new_flows_are_declined_by_state(
    state: flows.TargetState, reason: flows.DeclineReason
) -> None:
    """Guards against new flows at a backend server that must not get them."""
    _, _, forwarder = make_forwarder()
    forwarder.update_state(state, 2)
    opening = flows.Packet(FLOW, b"", opens=True)
    actions = forwarder.receive(PEER, forward(flows.Handling.PLACE), opening)
    (declined,) = sent(actions, flows.PlacementDeclined)
    assert isinstance(declined.message, flows.PlacementDeclined)
    assert declined.message.reason is reason
    assert len(actions) == 1


def test_a_returned_packet_of_a_held_flow_resets_it() -> None:
    """Guards against a client that waits for a restarted backend server."""
    _, _, forwarder = make_forwarder()
    open_flow(forwarder)
    returned = dataclasses.replace(data_packet(), bounced=True)
    actions = forwarder.receive_from_target(returned)
    assert actions == [flows.Reset(FLOW, SEQ + 1)]
    assert FLOW not in forwarder.tracker


def test_a_returned_packet_of_an_ended_flow_resets_nothing() -> None:
    """Guards against resets after a flow has closed."""
    _, _, forwarder = make_forwarder()
    open_flow(forwarder)
    closing = flows.Packet(FLOW, b"", acknowledges=True, ends=True, ack=SEQ + 1)
    forwarder.receive(BALANCER, forward(flows.Handling.HELD), closing)
    assert (
        forwarder.receive_from_target(
            dataclasses.replace(closing, bounced=True)
        )
        == []
    )


def test_probes_are_answered_when_the_target_is_down() -> None:
    """Guards against a search that waits for an agent without a target."""
    _, _, forwarder = make_forwarder()
    forwarder.receive(PEER, forward(flows.Handling.SEARCH), data_packet())
    assert sent(forwarder.mark_down("port closed"), flows.NotHeld)


def test_work_of_a_client_that_gave_up_does_not_count() -> None:
    """Load: clients that give up while a backend server is slow.

    Guards against slots that stay occupied by requests nobody waits for,
    until every backend server looks full.
    """
    _, _, forwarder = make_forwarder()
    open_flow(forwarder)
    forwarder.receive(BALANCER, forward(flows.Handling.HELD), data_packet())
    assert forwarder.load().busy_count == 1
    given_up = flows.Packet(
        FLOW, b"", acknowledges=True, ends=True, ack=SEQ + 1
    )
    forwarder.receive(BALANCER, forward(flows.Handling.HELD), given_up)
    assert forwarder.load().busy_count == 0
    assert forwarder.load().reserved_count == 0


def test_a_repeated_request_counts_once() -> None:
    """Guards against retransmissions taken for more work."""
    _, _, forwarder = make_forwarder()
    open_flow(forwarder)
    for _ in range(3):
        forwarder.receive(BALANCER, forward(flows.Handling.HELD), data_packet())
    assert forwarder.load().busy_count == 1


def test_a_target_without_room_declines_even_a_firm_flow() -> None:
    """Load: a crowd that returns after an outage.

    Guards against queues at a backend server that it would shed.
    """
    _, _, forwarder = make_forwarder()
    limit = 2 * _placement.PENDING_PER_SLOT
    for index in range(limit):
        open_flow(forwarder, FLOW[:5] + bytes((index,)) + FLOW[6:])
    opening = flows.Packet(FLOW[:5] + b"\xff" + FLOW[6:], b"", opens=True)
    actions = forwarder.receive(PEER, forward(flows.Handling.PLACE), opening)
    (declined,) = sent(actions, flows.PlacementDeclined)
    assert isinstance(declined.message, flows.PlacementDeclined)
    assert declined.message.reason is flows.DeclineReason.BUSY


def test_reservations_end() -> None:
    """Guards against clients that open a flow and send nothing."""
    clock, _, forwarder = make_forwarder()
    open_flow(forwarder)
    assert forwarder.load().reserved_count == 1
    clock.set(1_000_000 + _held.RESERVATION_MS)
    assert forwarder.load().reserved_count == 0


def make_probed_forwarder() -> tuple[Clock, _keeper.TargetForwarder]:
    """Returns a restarted keeper with a packet of an unknown flow."""
    clock = Clock(1_000_000)
    fleet = flows.Fleet(clock)
    fleet.replace_entries([instance(OWN), instance(PEER)])
    forwarder = _keeper.TargetForwarder(clock, instance(OWN), fleet)
    forwarder.assume_state(flows.TargetState.DRAINING)
    search = forward(flows.Handling.SEARCH)
    (delivery,) = forwarder.receive(PEER, search, data_packet())
    assert isinstance(delivery, flows.Deliver)
    return clock, forwarder


def test_a_target_without_a_sign_of_life_holds_no_flow() -> None:
    """Guards against flows that are sent to a backend server that is gone.

    Its agent was started again after a power cut, the backend server was not.
    """
    clock, forwarder = make_probed_forwarder()
    clock.set(1_000_000 + _keeper.PROBE_LIMIT_MS)
    assert forwarder.sweep() == []
    clock.set(1_000_000 + _keeper.FIRST_SIGN_MS)
    actions = forwarder.sweep()
    assert FLOW not in forwarder.tracker
    assert [item.to for item in sent(actions, flows.NotHeld)] == [PEER]


def test_a_silent_packet_stays_where_a_target_lives() -> None:
    """Guards against a slow request that is taken for a flow held elsewhere."""
    clock, forwarder = make_probed_forwarder()
    watch = flows.TargetMonitor(clock, "board", forwarder, 1_200)
    clock.set(1_000_700)
    watch.record_report(report(1))
    actions = forwarder.sweep()
    assert FLOW in forwarder.tracker
    assert [item.to for item in sent(actions, flows.FlowLocated)] == [BALANCER]


def make_home() -> tuple[Clock, flows.Fleet, flows.AgentFlows]:
    clock = Clock(1_000_000)
    fleet = flows.Fleet(clock)
    fleet.replace_entries([instance(OWN), instance(PEER)])
    policy = flows.LeastCompletion(random.Random(1))
    decisions = flows.AgentFlows(clock, instance(OWN), fleet, policy)
    for address in (OWN, PEER):
        load = flows.Load(flows.TargetState.READY, 2)
        decisions.directory.record_load(address, load)
    return clock, fleet, decisions


def test_placements_count_until_they_are_reported_or_old() -> None:
    """Guards against backend servers that look full for ever.

    A load that does not change is not reported again at once.
    """
    clock, _, decisions = make_home()
    for index in range(40):
        flow = FLOW[:5] + bytes((index,)) + FLOW[6:]
        decisions.receive(
            BALANCER,
            forward(flows.Handling.RESOLVE),
            flows.Packet(flow, b"", opens=True),
        )
    waiting = FLOW[:5] + b"\xfe" + FLOW[6:]
    opening = flows.Packet(waiting, b"", opens=True)
    request = forward(flows.Handling.RESOLVE)
    first = decisions.receive(BALANCER, request, opening)
    assert sent(first, flows.PlacementQueued)
    clock.set(1_000_000 + _held.RESERVATION_MS + 40)
    placed = [
        action.message
        for action in sent(decisions.sweep(), flows.Forward)
        if isinstance(action.message, flows.Forward)
    ]
    assert placed
    assert all(item.handling is flows.Handling.PLACE for item in placed)


def test_a_flow_that_finds_no_room_is_refused_in_time() -> None:
    """Guards against clients held until they give up."""
    clock, _, decisions = make_home()

    def report_full() -> None:
        for address in (OWN, PEER):
            full = flows.Load(flows.TargetState.READY, 2, busy_count=8)
            decisions.directory.record_load(address, full)

    report_full()
    opening = flows.Packet(FLOW, b"", opens=True)
    request = forward(flows.Handling.RESOLVE)
    assert sent(
        decisions.receive(BALANCER, request, opening), flows.PlacementQueued
    )
    refused = []
    # The client gives up 1,400 ms after its first packet.
    for now_ms in range(1_000_020, 1_001_000, 20):
        clock.set(now_ms)
        report_full()
        refused += sent(decisions.sweep(), flows.PlacementRefused)
    assert len(refused) == 1


def test_an_old_load_does_not_keep_a_flow_waiting() -> None:
    """Guards against waiting for work that has ended since the last report."""
    clock, _, decisions = make_home()
    for address in (OWN, PEER):
        full = flows.Load(
            flows.TargetState.READY, 2, busy_count=4, reserved_count=4
        )
        decisions.directory.record_load(address, full)
    opening = flows.Packet(FLOW, b"", opens=True)
    request = forward(flows.Handling.RESOLVE)
    assert sent(
        decisions.receive(BALANCER, request, opening), flows.PlacementQueued
    )
    # Two slots end eight requests of 30 ms in 120 ms.
    clock.set(1_000_130)
    (offer,) = sent(decisions.sweep(), flows.Forward)
    assert isinstance(offer.message, flows.Forward)
    assert offer.message.handling is flows.Handling.PLACE


def test_a_fresh_home_says_of_no_flow_that_it_is_gone() -> None:
    """Guards against resets by a home that cannot know all agents yet."""
    _, _, decisions = make_home()
    request = forward(flows.Handling.RESOLVE)
    decisions.receive(BALANCER, request, data_packet())
    actions = []
    for address in (OWN, PEER):
        actions += decisions.handle_message(address, flows.NotHeld(FLOW))
    assert actions == []


def test_a_search_that_every_agent_denies_ends_the_flow() -> None:
    """Guards against clients that wait for a flow nobody holds."""
    clock, _, decisions = make_home()
    clock.set(1_010_000)
    request = forward(flows.Handling.RESOLVE)
    decisions.receive(BALANCER, request, data_packet())
    assert decisions.handle_message(OWN, flows.NotHeld(FLOW)) == []
    actions = decisions.handle_message(PEER, flows.NotHeld(FLOW))
    assert actions == [
        flows.Send(BALANCER, flows.FlowNotFound(FLOW, SEQ + 1, True))
    ]


def make_balancer(
    service: str = "board",
) -> tuple[Clock, flows.Fleet, flows.BalancerFlows]:
    clock = Clock(1_000_000)
    fleet = flows.Fleet(clock)
    fleet.replace_entries([instance(OWN), instance(PEER)])
    decisions = flows.BalancerFlows(
        clock, instance(BALANCER, core.Role.BALANCER), fleet
    )
    decisions.apply(make_table(1, service))
    return clock, fleet, decisions


def make_table(version: int, service: str) -> flows.RouteTable:
    route = flows.Route("r", ROUTE, (flows.Share(service, 1),), True)
    return flows.RouteTable(version, {ROUTE: route})


def test_a_configuration_never_goes_back() -> None:
    """Guards against an earlier version that comes late."""
    _, _, decisions = make_balancer()
    assert decisions.apply(make_table(5, "board"))
    assert not decisions.apply(make_table(4, "sheets"))
    assert not decisions.apply(make_table(5, "sheets"))
    assert decisions.version == 5


def test_only_a_current_configuration_says_that_a_route_is_missing() -> None:
    """Guards against resets on routes that are too new for this balancer."""
    _, _, decisions = make_balancer()
    other = FLOW[:10] + bytes((0, 99))
    opening = flows.Packet(other, b"", opens=True)
    assert decisions.receive(opening) == []
    decisions.is_current = True
    assert decisions.receive(opening) == [flows.Reset(other, 0)]
    # An open flow may belong to a route that is only known elsewhere.
    packet = dataclasses.replace(data_packet(), flow=other)
    assert decisions.receive(packet) == []


def test_a_flow_of_a_changed_route_is_found_at_its_earlier_service() -> None:
    """Guards against a configuration that moves open flows."""
    clock, fleet, decisions = make_balancer("old")
    old = dataclasses.replace(instance(PEER), service="old")
    fleet.replace_entries([instance(OWN), old])
    decisions.apply(make_table(2, "board"))
    (first,) = sent(decisions.receive(data_packet()), flows.Forward)
    assert first.to == OWN
    clock.set(1_000_010)
    unknown = flows.FlowNotFound(FLOW, SEQ + 1, True)
    (second,) = sent(decisions.handle_message(OWN, unknown), flows.Forward)
    assert second.to == PEER
    assert decisions.handle_message(PEER, unknown) == [
        flows.Reset(FLOW, SEQ + 1)
    ]


def test_a_silent_home_is_passed_over() -> None:
    """Guards against new flows that wait for an agent that is gone."""
    clock, _, decisions = make_balancer()
    opening = flows.Packet(FLOW, b"", opens=True)
    (first,) = sent(decisions.receive(opening), flows.Forward)
    asked = {first.to}
    for now_ms in range(1_000_020, 1_000_600, 20):
        clock.set(now_ms)
        asked |= {item.to for item in sent(decisions.sweep(), flows.Forward)}
    assert asked == {OWN, PEER}


def report(
    sequence: int,
    state: flows.TargetState = flows.TargetState.READY,
    started_ms: int = 1_000,
    target_id: str = "i-1",
) -> flows.TargetReport:
    return flows.TargetReport(
        target_id, "board", state, 2, started_ms, sequence
    )


def test_reports_count_in_the_order_in_which_they_were_sent() -> None:
    """Guards against late reports of earlier starts and states."""
    clock, _, forwarder = make_forwarder()
    watch = flows.TargetMonitor(clock, "board", forwarder, 1_200)
    watch.record_report(report(5, flows.TargetState.DRAINING))
    watch.record_report(report(4))
    assert forwarder.state is flows.TargetState.DRAINING
    watch.record_report(report(6))
    assert forwarder.state is flows.TargetState.DRAINING
    # A new start under the same name counts anew.
    watch.record_report(report(1, started_ms=2_000))
    assert forwarder.state is flows.TargetState.READY
    watch.record_report(report(99, flows.TargetState.DRAINING))
    assert forwarder.state is flows.TargetState.READY


def test_a_late_leave_of_an_earlier_target_changes_nothing() -> None:
    """Guards against a new backend server that is taken for the old one."""
    clock, _, forwarder = make_forwarder()
    watch = flows.TargetMonitor(clock, "board", forwarder, 1_200)
    watch.record_report(report(1, target_id="i-2"))
    watch.record_leave("i-1")
    assert forwarder.state is flows.TargetState.READY
    assert not watch.has_left


def test_only_a_report_after_the_signal_shows_that_a_target_lives() -> None:
    """Guards against an agent that ends while searches wait for its answer."""
    clock, _, forwarder = make_forwarder()
    watch = flows.TargetMonitor(clock, "board", forwarder, 1_200)
    watch.record_report(report(1))
    signal_ms = 1_000_100
    clock.set(signal_ms)
    assert watch.liveness(signal_ms) is flows.TargetLiveness.UNKNOWN
    # Some reports may be lost, so many are not.
    clock.set(signal_ms + 3_000)
    assert watch.liveness(signal_ms) is flows.TargetLiveness.UNKNOWN
    clock.set(signal_ms + 4_500)
    assert watch.liveness(signal_ms) is flows.TargetLiveness.GONE
    # An agent that wakes after a freeze has its reports still to read.
    assert watch.liveness(clock.now_ms()) is flows.TargetLiveness.UNKNOWN
    clock.set(signal_ms + 900)
    watch.record_report(report(2))
    assert watch.liveness(signal_ms) is flows.TargetLiveness.ALIVE
    forwarder.mark_down("port closed")
    assert watch.liveness(signal_ms) is flows.TargetLiveness.GONE


def test_a_silent_target_gets_no_new_flows() -> None:
    """Guards against flows to a backend server that may be gone."""
    clock, _, forwarder = make_forwarder()
    watch = flows.TargetMonitor(clock, "board", forwarder, 1_200)
    watch.record_report(report(1))
    clock.set(1_000_000 + 5_000)
    watch.sweep()
    assert forwarder.state is flows.TargetState.UNKNOWN
    watch.record_report(report(2))
    assert forwarder.state is flows.TargetState.READY


def test_an_earlier_process_is_not_heard_any_more() -> None:
    """Guards against a late beat of what had this address before."""
    clock = Clock(1_000_000)
    fleet = flows.Fleet(clock)
    fleet.apply_heartbeat(
        flows.Heartbeat(instance(OWN, incarnation=2), flows.Load(), 0, False)
    )
    earlier = instance(OWN, incarnation=1)
    fleet.apply_heartbeat(flows.Heartbeat(earlier, flows.Load(), 0, True))
    found = fleet.find(OWN)
    assert found is not None
    assert found.incarnation == 2


def test_a_slow_agent_is_not_asked_more_the_slower_it_is() -> None:
    """Load: agents so slow that every answer comes after its first timeout.

    Guards against offers and searches that multiply until nothing is served:
    after a power cut on machines of 0.15 of a core each new flow was offered
    to all agents by several homes.
    """
    clock, _, decisions = make_home()
    offers = []
    for flow_index in range(50):
        flow = FLOW[:5] + bytes((flow_index,)) + FLOW[6:]
        opening = flows.Packet(flow, b"", opens=True)
        request = forward(flows.Handling.RESOLVE)
        offers += sent(
            decisions.receive(BALANCER, request, opening), flows.Forward
        )
        for _ in range(10):
            clock.set(clock.now_ms() + 20)
            offers += sent(decisions.sweep(), flows.Forward)
        # The answer to the first offer comes after 200 ms.
        load = flows.Load(flows.TargetState.READY, 2)
        decisions.handle_message(PEER, flows.FlowLocated(flow, load))
    # At first three offers for a flow, later one.
    assert len(offers) <= 1.5 * 50


def test_a_flow_searched_in_vain_is_not_searched_again_at_once() -> None:
    """Guards against searches for each copy of a packet."""
    clock, _, decisions = make_home()
    clock.set(1_010_000)
    request = forward(flows.Handling.RESOLVE)
    first = decisions.receive(BALANCER, request, data_packet())
    assert len(sent(first, flows.Forward)) == 2
    for address in (OWN, PEER):
        decisions.handle_message(address, flows.NotHeld(FLOW))
    clock.set(1_010_100)
    assert decisions.receive(BALANCER, request, data_packet()) == []
    clock.set(1_010_400)
    again = decisions.receive(BALANCER, request, data_packet())
    assert len(sent(again, flows.Forward)) == 2
