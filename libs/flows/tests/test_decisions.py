"""Tests of placement, search and liveness decisions of agents and balancers."""

import dataclasses
import random
import types

import pytest

from fireflyford import core
from fireflyford import flows
from fireflyford import routing
from fireflyford.flows import _fleet
from fireflyford.flows import _flow_probes
from fireflyford.flows import _flow_tracker
from fireflyford.flows import _placement
from fireflyford.flows import _target_forwarder

OWN = core.Address("10.0.1.1", 7_000)
PEER = core.Address("10.0.1.2", 7_000)
BALANCER = core.Address("10.0.0.1", 7_000)
FLOW = bytes((10, 9, 0, 7, 1, 1, 198, 18, 0, 1, 1, 187))
ROUTE = core.Address("198.18.0.1", 443)
SEQ = 4_000_000_000
NOT_FOUND = flows.FlowNotFound(FLOW, SEQ + 1, True)


class Clock(core.ManualClock):
    """Clock whose time a test sets without an event loop."""

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


def make_forwarder() -> tuple[
    Clock, flows.Fleet, _target_forwarder.TargetForwarder
]:
    clock = Clock(1_000_000)
    fleet = flows.Fleet(clock)
    fleet.replace_entries([instance(OWN), instance(PEER)])
    forwarder = _target_forwarder.TargetForwarder(clock, instance(OWN), fleet)
    forwarder.update_state(flows.TargetState.READY, 2)
    return clock, fleet, forwarder


def sent_messages(
    actions: list[flows.Action], kind: type | types.UnionType
) -> list[flows.Send]:
    return [
        action
        for action in actions
        if isinstance(action, flows.Send) and isinstance(action.message, kind)
    ]


def open_flow(
    forwarder: _target_forwarder.TargetForwarder, flow: bytes = FLOW
) -> None:
    opening = flows.Packet(flow, b"", opens=True)
    forwarder.receive(BALANCER, forward(flows.Handling.PLACE), opening)
    accepted = flows.Packet(flow, b"", opens=True, acknowledges=True, seq=SEQ)
    forwarder.receive_from_target(accepted)


def data_packet(ack: int = SEQ + 1, seq: int = 10) -> flows.Packet:
    return flows.Packet(
        FLOW, b"", acknowledges=True, payload_bytes=100, seq=seq, ack=ack
    )


def test_packet_with_mismatched_sequence_is_not_delivered() -> None:
    """Guards against delivery to the wrong backend server.

    Two backend servers answered the opening packet, and the client
    acknowledges the sequence of the other one.
    """
    _, _, forwarder = make_forwarder()
    open_flow(forwarder)
    actions = forwarder.receive(
        PEER, forward(flows.Handling.SEARCH), data_packet(ack=SEQ + 5_000)
    )
    assert not any(isinstance(item, flows.Deliver) for item in actions)
    assert sent_messages(actions, flows.NotHeld)


def test_holder_notifies_balancer_of_packet_from_directory_agent() -> None:
    """Guards against duplicate delivery of a request.

    A balancer whose view of the instances lacks the holder asks the directory
    agent, and retries its packet until it is notified again.
    """
    _, _, forwarder = make_forwarder()
    open_flow(forwarder)
    actions = forwarder.receive(
        PEER, forward(flows.Handling.HELD), data_packet()
    )
    assert [item.to for item in sent_messages(actions, flows.FlowLocated)] == [
        BALANCER
    ]


def test_late_answer_to_opening_packet_is_dropped() -> None:
    """Guards against a flow that is open at two backend servers."""
    clock, _, forwarder = make_forwarder()
    opening = flows.Packet(FLOW, b"", opens=True)
    forwarder.receive(BALANCER, forward(flows.Handling.PLACE), opening)
    clock.set(1_000_000 + _target_forwarder.OPENING_LIMIT_MS)
    declined = sent_messages(forwarder.sweep(), flows.PlacementDeclined)
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
def test_new_flow_is_declined_if_target_is_not_ready(
    state: flows.TargetState, reason: flows.DeclineReason
) -> None:
    """Guards against new flows at a backend server that is not ready."""
    _, _, forwarder = make_forwarder()
    forwarder.update_state(state, 2)
    opening = flows.Packet(FLOW, b"", opens=True)
    actions = forwarder.receive(PEER, forward(flows.Handling.PLACE), opening)
    (declined,) = sent_messages(actions, flows.PlacementDeclined)
    assert isinstance(declined.message, flows.PlacementDeclined)
    assert declined.message.reason is reason
    assert len(actions) == 1


def test_returned_packet_resets_held_flow() -> None:
    """Guards against a client that waits after a backend server restart."""
    _, _, forwarder = make_forwarder()
    open_flow(forwarder)
    returned = dataclasses.replace(data_packet(), returned=True)
    actions = forwarder.receive_from_target(returned)
    assert actions == [flows.Reset(FLOW, SEQ + 1)]
    assert FLOW not in forwarder.tracker


def test_returned_packet_does_not_reset_ended_flow() -> None:
    """Guards against resets after a flow has ended."""
    _, _, forwarder = make_forwarder()
    open_flow(forwarder)
    closing = flows.Packet(FLOW, b"", acknowledges=True, ends=True, ack=SEQ + 1)
    forwarder.receive(BALANCER, forward(flows.Handling.HELD), closing)
    assert (
        forwarder.receive_from_target(
            dataclasses.replace(closing, returned=True)
        )
        == []
    )


def test_probed_flow_is_reported_not_held_when_target_goes_down() -> None:
    """Guards against a search that waits for an agent whose target is down."""
    _, _, forwarder = make_forwarder()
    forwarder.receive(PEER, forward(flows.Handling.SEARCH), data_packet())
    assert sent_messages(forwarder.mark_down("port closed"), flows.NotHeld)


def test_abandoned_request_is_not_counted() -> None:
    """Guards against slots occupied by requests that clients have abandoned.

    While a backend server is slow, clients time out; if their requests stayed
    counted, every backend server would appear full.
    """
    _, _, forwarder = make_forwarder()
    open_flow(forwarder)
    forwarder.receive(BALANCER, forward(flows.Handling.HELD), data_packet())
    assert forwarder.load().busy_count == 1
    closing = flows.Packet(FLOW, b"", acknowledges=True, ends=True, ack=SEQ + 1)
    forwarder.receive(BALANCER, forward(flows.Handling.HELD), closing)
    assert forwarder.load().busy_count == 0
    assert forwarder.load().reserved_count == 0


def test_retransmitted_request_is_counted_once() -> None:
    """Guards against retransmissions that are counted as new requests."""
    _, _, forwarder = make_forwarder()
    open_flow(forwarder)
    for _ in range(3):
        forwarder.receive(BALANCER, forward(flows.Handling.HELD), data_packet())
    assert forwarder.load().busy_count == 1


def test_busy_target_declines_flow_that_allows_queueing() -> None:
    """Guards against queues so long that the backend server would shed them.

    They arise when many clients reconnect at once after an outage.
    """
    _, _, forwarder = make_forwarder()
    limit = 2 * _placement.PENDING_PER_SLOT
    for index in range(limit):
        open_flow(forwarder, FLOW[:5] + bytes((index,)) + FLOW[6:])
    opening = flows.Packet(FLOW[:5] + b"\xff" + FLOW[6:], b"", opens=True)
    actions = forwarder.receive(PEER, forward(flows.Handling.PLACE), opening)
    (declined,) = sent_messages(actions, flows.PlacementDeclined)
    assert isinstance(declined.message, flows.PlacementDeclined)
    assert declined.message.reason is flows.DeclineReason.BUSY


def test_reservation_expires() -> None:
    """Guards against reservations of clients that never send a request."""
    clock, _, forwarder = make_forwarder()
    open_flow(forwarder)
    assert forwarder.load().reserved_count == 1
    clock.set(1_000_000 + _flow_tracker.RESERVATION_MS)
    assert forwarder.load().reserved_count == 0


def make_probing_forwarder() -> tuple[Clock, _target_forwarder.TargetForwarder]:
    """Returns a new forwarder that probes a packet of an unknown flow."""
    clock = Clock(1_000_000)
    fleet = flows.Fleet(clock)
    fleet.replace_entries([instance(OWN), instance(PEER)])
    forwarder = _target_forwarder.TargetForwarder(clock, instance(OWN), fleet)
    forwarder.assume_state(flows.TargetState.DRAINING)
    search = forward(flows.Handling.SEARCH)
    (delivery,) = forwarder.receive(PEER, search, data_packet())
    assert isinstance(delivery, flows.Deliver)
    return clock, forwarder


def test_target_without_keepalive_holds_no_flow() -> None:
    """Guards against packets sent to a backend server that no longer runs.

    After a power cut, its agent was restarted and the backend server was not.
    """
    clock, forwarder = make_probing_forwarder()
    clock.set(1_000_000 + _flow_probes.PROBE_LIMIT_MS)
    assert forwarder.sweep() == []
    clock.set(1_000_000 + _flow_probes.FIRST_KEEPALIVE_MS)
    actions = forwarder.sweep()
    assert FLOW not in forwarder.tracker
    assert [item.to for item in sent_messages(actions, flows.NotHeld)] == [PEER]


def test_flow_of_unreturned_packet_is_adopted_if_target_is_alive() -> None:
    """Guards against a slow request mistaken for a flow held elsewhere."""
    clock, forwarder = make_probing_forwarder()
    monitor = flows.TargetMonitor(clock, "board", forwarder, 1_200)
    clock.set(1_000_700)
    monitor.record_report(report(1))
    actions = forwarder.sweep()
    assert FLOW in forwarder.tracker
    assert [item.to for item in sent_messages(actions, flows.FlowLocated)] == [
        BALANCER
    ]


def make_agent() -> tuple[Clock, flows.Fleet, flows.AgentFlows]:
    clock = Clock(1_000_000)
    fleet = flows.Fleet(clock)
    fleet.replace_entries([instance(OWN), instance(PEER)])
    policy = flows.EarliestCompletion(random.Random(1))
    decisions = flows.AgentFlows(clock, instance(OWN), fleet, policy)
    for address in (OWN, PEER):
        load = flows.Load(flows.TargetState.READY, 2)
        decisions.directory.record_load(address, load)
    return clock, fleet, decisions


def test_queued_flow_is_placed_after_unreported_placements_expire() -> None:
    """Guards against backend servers that appear full indefinitely.

    An unchanged load is not reported again immediately.
    """
    clock, _, decisions = make_agent()
    for index in range(40):
        flow = FLOW[:5] + bytes((index,)) + FLOW[6:]
        decisions.receive(
            BALANCER,
            forward(flows.Handling.RESOLVE),
            flows.Packet(flow, b"", opens=True),
        )
    queued_flow = FLOW[:5] + b"\xfe" + FLOW[6:]
    opening = flows.Packet(queued_flow, b"", opens=True)
    resolve = forward(flows.Handling.RESOLVE)
    first = decisions.receive(BALANCER, resolve, opening)
    assert sent_messages(first, flows.PlacementQueued)
    clock.set(1_000_000 + _flow_tracker.RESERVATION_MS + 40)
    placed = [
        action.message
        for action in sent_messages(decisions.sweep(), flows.Forward)
        if isinstance(action.message, flows.Forward)
    ]
    assert placed
    assert all(item.handling is flows.Handling.PLACE for item in placed)


def test_queued_flow_is_refused_before_client_timeout() -> None:
    """Guards against flows that stay queued until their clients time out."""
    clock, _, decisions = make_agent()

    def report_full() -> None:
        for address in (OWN, PEER):
            full_load = flows.Load(flows.TargetState.READY, 2, busy_count=8)
            decisions.directory.record_load(address, full_load)

    report_full()
    opening = flows.Packet(FLOW, b"", opens=True)
    resolve = forward(flows.Handling.RESOLVE)
    assert sent_messages(
        decisions.receive(BALANCER, resolve, opening), flows.PlacementQueued
    )
    refused = []
    # The client times out 1,400 ms after its first packet.
    for now_ms in range(1_000_020, 1_001_000, 20):
        clock.set(now_ms)
        report_full()
        refused += sent_messages(decisions.sweep(), flows.PlacementRefused)
    assert len(refused) == 1


def test_old_load_does_not_keep_flow_queued() -> None:
    """Guards against waiting for requests that have already finished."""
    clock, _, decisions = make_agent()
    for address in (OWN, PEER):
        full_load = flows.Load(
            flows.TargetState.READY, 2, busy_count=4, reserved_count=4
        )
        decisions.directory.record_load(address, full_load)
    opening = flows.Packet(FLOW, b"", opens=True)
    resolve = forward(flows.Handling.RESOLVE)
    assert sent_messages(
        decisions.receive(BALANCER, resolve, opening), flows.PlacementQueued
    )
    # Two slots finish eight requests of 30 ms in 120 ms.
    clock.set(1_000_130)
    (offer,) = sent_messages(decisions.sweep(), flows.Forward)
    assert isinstance(offer.message, flows.Forward)
    assert offer.message.handling is flows.Handling.PLACE


def test_new_directory_agent_does_not_report_flow_not_found() -> None:
    """Guards against resets before a new agent has discovered all others."""
    _, _, decisions = make_agent()
    resolve = forward(flows.Handling.RESOLVE)
    decisions.receive(BALANCER, resolve, data_packet())
    actions = []
    for address in (OWN, PEER):
        actions += decisions.handle_message(address, flows.NotHeld(FLOW))
    assert actions == []


def test_search_without_holder_reports_flow_not_found() -> None:
    """Guards against clients that wait for a flow without a holder."""
    clock, _, decisions = make_agent()
    clock.set(1_010_000)
    resolve = forward(flows.Handling.RESOLVE)
    decisions.receive(BALANCER, resolve, data_packet())
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


def test_earlier_configuration_is_ignored() -> None:
    """Guards against an earlier version that arrives late."""
    _, _, decisions = make_balancer()
    assert decisions.apply(make_table(5, "board"))
    assert not decisions.apply(make_table(4, "sheets"))
    assert not decisions.apply(make_table(5, "sheets"))
    assert decisions.version == 5


def test_flow_without_route_is_reset_only_if_configuration_is_current() -> None:
    """Guards against resets on routes that the balancer has not received."""
    _, _, decisions = make_balancer()
    other = FLOW[:10] + bytes((0, 99))
    opening = flows.Packet(other, b"", opens=True)
    assert decisions.receive(opening) == []
    decisions.is_current = True
    assert decisions.receive(opening) == [flows.Reset(other, 0)]
    # An open flow may belong to a route that only other balancers have.
    packet = dataclasses.replace(data_packet(), flow=other)
    assert decisions.receive(packet) == []


def test_flow_of_changed_route_is_searched_at_earlier_service() -> None:
    """Guards against a configuration change that moves open flows."""
    clock, fleet, decisions = make_balancer("old")
    old = dataclasses.replace(instance(PEER), service="old")
    fleet.replace_entries([instance(OWN), old])
    decisions.apply(make_table(2, "board"))
    (first,) = sent_messages(decisions.receive(data_packet()), flows.Forward)
    assert first.to == OWN
    clock.set(1_000_010)
    not_found = flows.FlowNotFound(FLOW, SEQ + 1, True)
    (second,) = sent_messages(
        decisions.handle_message(OWN, not_found), flows.Forward
    )
    assert second.to == PEER
    assert decisions.handle_message(PEER, not_found) == [
        flows.Reset(FLOW, SEQ + 1)
    ]


def test_restarted_balancer_searches_services_of_earlier_versions() -> None:
    """Guards against resets of flows that a route change has left in place.

    A balancer that starts after the change knows the new service only.
    """
    clock, fleet, decisions = make_balancer("board")
    earlier = dataclasses.replace(instance(PEER), service="earlier")
    fleet.replace_entries([instance(OWN), earlier])
    (first,) = sent_messages(decisions.receive(data_packet()), flows.Forward)
    assert first.to == OWN
    clock.set(1_010_000)
    (second,) = sent_messages(
        decisions.handle_message(OWN, NOT_FOUND), flows.Forward
    )
    assert second.to == PEER
    assert second.message.service == "earlier"
    assert decisions.handle_message(PEER, NOT_FOUND) == [
        flows.Reset(FLOW, SEQ + 1)
    ]


def locate_flow(decisions: flows.BalancerFlows) -> None:
    """Makes the balancer know that `PEER` holds the flow."""
    decisions.receive(data_packet())
    load = flows.Load(flows.TargetState.READY, 2)
    decisions.handle_message(PEER, flows.FlowLocated(FLOW, load))


@pytest.mark.parametrize("seq", [10, 3_000_000_000])
def test_lost_flow_is_searched_at_its_known_service_only(seq: int) -> None:
    """Guards against searches at every service for each lost flow.

    A flow that uses the port after the known one may be held elsewhere.
    """
    _, fleet, decisions = make_balancer("board")
    other = dataclasses.replace(
        instance(core.Address("10.0.1.3", 7_000)), service="other"
    )
    fleet.replace_entries([instance(OWN), instance(PEER), other])
    locate_flow(decisions)
    decisions.handle_message(PEER, flows.NotHeld(FLOW))
    packet = data_packet(seq=seq)
    (first,) = sent_messages(decisions.receive(packet), flows.Forward)
    (action,) = decisions.handle_message(first.to, NOT_FOUND)
    if seq == 10:
        assert action == flows.Reset(FLOW, SEQ + 1)
    else:
        assert sent_messages([action], flows.Forward)[0].to == other.address


def test_new_flow_is_placed_only_at_service_of_its_route() -> None:
    """Guards against new flows at a service that the route does not name."""
    _, fleet, decisions = make_balancer("board")
    other = dataclasses.replace(instance(PEER), service="other")
    fleet.replace_entries([instance(OWN), other])
    opening = flows.Packet(FLOW, b"", opens=True)
    decisions.receive(opening)
    refused = flows.PlacementRefused(FLOW, flows.DeclineReason.BUSY)
    assert decisions.handle_message(OWN, refused) == [flows.Reset(FLOW, 0)]


def test_balancer_without_complete_view_resets_no_flow() -> None:
    """Guards against resets before the service of the holder is known."""
    clock = Clock(1_000_000)
    fleet = flows.Fleet(clock)
    decisions = flows.BalancerFlows(
        clock, instance(BALANCER, core.Role.BALANCER), fleet
    )
    decisions.apply(make_table(1, "board"))
    fleet.apply_heartbeat(
        flows.Heartbeat(instance(OWN), flows.Load(), 0, False)
    )
    decisions.receive(data_packet())
    assert decisions.handle_message(OWN, NOT_FOUND) == []
    fleet.replace_entries([instance(OWN)])
    decisions.receive(data_packet())
    assert decisions.handle_message(OWN, NOT_FOUND) == [
        flows.Reset(FLOW, SEQ + 1)
    ]


OTHER = core.Address("10.0.1.3", 7_000)


def make_two_services() -> tuple[Clock, flows.BalancerFlows]:
    """Makes a balancer of a route to `board` that knows `other` as well."""
    clock, fleet, decisions = make_balancer("board")
    other = dataclasses.replace(instance(OTHER), service="other")
    fleet.replace_entries([instance(OWN), instance(PEER), other])
    return clock, decisions


def test_second_answer_of_a_service_is_not_taken_for_that_of_the_next() -> None:
    """Guards against resets when an agent wakes and its peers answer at once.

    Several directory agents were asked while each waited for the frozen one.
    """
    _, decisions = make_two_services()
    decisions.receive(data_packet())
    (second,) = sent_messages(
        decisions.handle_message(OWN, NOT_FOUND), flows.Forward
    )
    assert second.to == OTHER
    assert decisions.handle_message(PEER, NOT_FOUND) == []
    assert decisions.handle_message(OTHER, NOT_FOUND) == [
        flows.Reset(FLOW, SEQ + 1)
    ]


@pytest.mark.parametrize("holder", [None, OTHER, OWN])
def test_answer_without_open_question_resets_no_flow(
    holder: core.Address | None,
) -> None:
    """Guards against resets by an answer that is older than its question.

    The packet was given up, or the holder has become known meanwhile.
    """
    clock, decisions = make_two_services()
    decisions.receive(data_packet())
    if holder is not None:
        decisions.handle_message(holder, flows.FlowLocated(FLOW, flows.Load()))
    clock.set(1_010_000)
    decisions.sweep()
    assert decisions.handle_message(PEER, NOT_FOUND) == []


def test_answer_about_an_earlier_flow_of_the_port_is_ignored() -> None:
    """Guards against resets of a flow whose port was used before."""
    _, decisions = make_two_services()
    decisions.receive(data_packet())
    late = dataclasses.replace(NOT_FOUND, ack=SEQ - 2_000_000_000)
    assert decisions.handle_message(PEER, late) == []
    assert decisions.has_timeouts()


def test_flow_lost_by_its_known_holder_is_reset_at_once() -> None:
    """Guards against clients that wait for the next packet of a lost flow.

    Its holder relays the packet to the directory agent, so the balancer has
    asked nothing.
    """
    _, decisions = make_two_services()
    locate_flow(decisions)
    (relayed,) = sent_messages(decisions.receive(data_packet()), flows.Forward)
    assert relayed.message.handling is flows.Handling.HELD
    decisions.handle_message(PEER, flows.NotHeld(FLOW))
    assert decisions.handle_message(OWN, NOT_FOUND) == [
        flows.Reset(FLOW, SEQ + 1)
    ]


@pytest.mark.parametrize(
    "answer",
    [
        flows.PlacementRefused(FLOW, flows.DeclineReason.BUSY),
        flows.PlacementQueued(FLOW),
    ],
)
def test_late_answer_about_a_placement_is_ignored(
    answer: flows.Message,
) -> None:
    """Guards against resets of a flow that another agent is placing.

    The first directory agent was frozen, and answers after a retry.
    """
    clock, decisions = make_two_services()
    opening = flows.Packet(FLOW, b"", opens=True)
    (first,) = sent_messages(decisions.receive(opening), flows.Forward)
    retries: list[flows.Send] = []
    while not retries or retries[-1].to == first.to:
        clock.set(clock.now_ms() + 20)
        retries += sent_messages(decisions.sweep(), flows.Forward)
    assert decisions.handle_message(first.to, answer) == []
    count = len(retries)
    while len(retries) == count:
        clock.set(clock.now_ms() + 20)
        retries += sent_messages(decisions.sweep(), flows.Forward)
        assert decisions.has_timeouts()


def test_late_holder_of_another_service_is_asked_as_such() -> None:
    """Guards against a holder that is recorded with a service it is not of."""
    _, decisions = make_two_services()
    decisions.receive(data_packet())
    decisions.handle_message(OTHER, flows.FlowLocated(FLOW, flows.Load()))
    (packet,) = sent_messages(decisions.receive(data_packet()), flows.Forward)
    assert (packet.to, packet.message.service) == (OTHER, "other")


@pytest.mark.parametrize("is_located", [True, False])
def test_new_flow_on_used_port_goes_to_service_of_its_route(
    is_located: bool,
) -> None:
    """Guards against new flows at the service of the flow before.

    Its holder may be known, or the opening packet may still be retried.
    """
    clock, decisions = make_two_services()
    opening = flows.Packet(FLOW, b"", opens=True, seq=9)
    (first,) = sent_messages(decisions.receive(opening), flows.Forward)
    if is_located:
        decisions.handle_message(
            first.to, flows.FlowLocated(FLOW, flows.Load())
        )
        decisions.receive(data_packet())
    decisions.apply(make_table(2, "other"))
    clock.set(1_000_900)
    reopening = dataclasses.replace(opening, seq=2_000_000_000)
    (message,) = sent_messages(decisions.receive(reopening), flows.Forward)
    assert message.to == OTHER
    assert message.message.service == "other"
    assert message.message.handling is flows.Handling.RESOLVE
    assert decisions.receive(reopening) == []


def test_copy_of_opening_packet_goes_to_holder() -> None:
    """Guards against a second placement of a flow that is being opened."""
    _, decisions = make_two_services()
    opening = flows.Packet(FLOW, b"", opens=True, seq=9)
    decisions.receive(opening)
    decisions.handle_message(PEER, flows.FlowLocated(FLOW, flows.Load()))
    decisions.apply(make_table(2, "other"))
    (message,) = sent_messages(decisions.receive(opening), flows.Forward)
    assert message.to == PEER
    assert message.message.handling is flows.Handling.HELD


def test_late_news_of_the_earlier_flow_does_not_locate_the_new_one() -> None:
    """Guards against packets of a new flow at the holder of the one before."""
    _, decisions = make_two_services()
    opening = flows.Packet(FLOW, b"", opens=True, seq=9)
    decisions.receive(opening)
    decisions.handle_message(OTHER, flows.FlowLocated(FLOW, flows.Load()))
    assert decisions.has_timeouts()
    assert decisions.cached_count == 0


def test_directory_agent_timeout_retries_next_candidate() -> None:
    """Guards against new flows that wait for an agent that no longer runs."""
    clock, _, decisions = make_balancer()
    opening = flows.Packet(FLOW, b"", opens=True)
    (first,) = sent_messages(decisions.receive(opening), flows.Forward)
    tried_agents = {first.to}
    for now_ms in range(1_000_020, 1_000_600, 20):
        clock.set(now_ms)
        tried_agents |= {
            item.to for item in sent_messages(decisions.sweep(), flows.Forward)
        }
    assert tried_agents == {OWN, PEER}


def report(
    sequence: int,
    state: flows.TargetState = flows.TargetState.READY,
    started_ms: int = 1_000,
    target_id: str = "i-1",
) -> flows.TargetReport:
    return flows.TargetReport(
        target_id, "board", state, 2, started_ms, sequence
    )


def test_out_of_order_target_report_is_ignored() -> None:
    """Guards against late reports of earlier starts and states."""
    clock, _, forwarder = make_forwarder()
    monitor = flows.TargetMonitor(clock, "board", forwarder, 1_200)
    monitor.record_report(report(5, flows.TargetState.DRAINING))
    monitor.record_report(report(4))
    assert forwarder.state is flows.TargetState.DRAINING
    monitor.record_report(report(6))
    assert forwarder.state is flows.TargetState.DRAINING
    # After a restart under the same name, the sequence numbers restart.
    monitor.record_report(report(1, started_ms=2_000))
    assert forwarder.state is flows.TargetState.READY
    monitor.record_report(report(99, flows.TargetState.DRAINING))
    assert forwarder.state is flows.TargetState.READY


def test_late_leave_of_earlier_target_is_ignored() -> None:
    """Guards against a new backend server mistaken for the earlier one."""
    clock, _, forwarder = make_forwarder()
    monitor = flows.TargetMonitor(clock, "board", forwarder, 1_200)
    monitor.record_report(report(1, target_id="i-2"))
    monitor.record_leave("i-1")
    assert forwarder.state is flows.TargetState.READY
    assert not monitor.has_left


def test_target_liveness_requires_report_after_signal() -> None:
    """Guards against an agent that exits while searches await its answer."""
    clock, _, forwarder = make_forwarder()
    monitor = flows.TargetMonitor(clock, "board", forwarder, 1_200)
    monitor.record_report(report(1))
    signal_ms = 1_000_100
    clock.set(signal_ms)
    assert monitor.liveness(signal_ms) is flows.TargetLiveness.UNKNOWN
    # Two reports in a row may be missing, but not three.
    clock.set(signal_ms + 3_000)
    assert monitor.liveness(signal_ms) is flows.TargetLiveness.UNKNOWN
    clock.set(signal_ms + 4_500)
    assert monitor.liveness(signal_ms) is flows.TargetLiveness.GONE
    # After a freeze of the agent, reports are still waiting to be read.
    assert monitor.liveness(clock.now_ms()) is flows.TargetLiveness.UNKNOWN
    clock.set(signal_ms + 900)
    monitor.record_report(report(2))
    assert monitor.liveness(signal_ms) is flows.TargetLiveness.ALIVE
    forwarder.mark_down("port closed")
    assert monitor.liveness(signal_ms) is flows.TargetLiveness.GONE


def test_missing_reports_make_target_state_unknown() -> None:
    """Guards against flows to a backend server that may no longer run."""
    clock, _, forwarder = make_forwarder()
    monitor = flows.TargetMonitor(clock, "board", forwarder, 1_200)
    monitor.record_report(report(1))
    clock.set(1_000_000 + 5_000)
    monitor.sweep()
    assert forwarder.state is flows.TargetState.UNKNOWN
    monitor.record_report(report(2))
    assert forwarder.state is flows.TargetState.READY


def test_heartbeat_of_earlier_incarnation_is_ignored() -> None:
    """Guards against late heartbeats of an earlier process at the address."""
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


def test_slow_agents_do_not_increase_number_of_offers() -> None:
    """Guards against offers and searches that multiply until no flow is served.

    Every answer arrives after its initial timeout. After a power cut on
    machines with 0.15 of a core, several directory agents offered each new flow
    to all agents.
    """
    clock, _, decisions = make_agent()
    offers = []
    for flow_index in range(50):
        flow = FLOW[:5] + bytes((flow_index,)) + FLOW[6:]
        opening = flows.Packet(flow, b"", opens=True)
        resolve = forward(flows.Handling.RESOLVE)
        offers += sent_messages(
            decisions.receive(BALANCER, resolve, opening), flows.Forward
        )
        for _ in range(10):
            clock.set(clock.now_ms() + 20)
            offers += sent_messages(decisions.sweep(), flows.Forward)
        # The answer to the first offer arrives after 200 ms.
        load = flows.Load(flows.TargetState.READY, 2)
        decisions.handle_message(PEER, flows.FlowLocated(flow, load))
    # Three offers for each of the first flows, then one.
    assert len(offers) <= 1.5 * 50


def test_failed_search_is_not_repeated_immediately() -> None:
    """Guards against a search for every retransmission of a packet."""
    clock, _, decisions = make_agent()
    clock.set(1_010_000)
    resolve = forward(flows.Handling.RESOLVE)
    first = decisions.receive(BALANCER, resolve, data_packet())
    assert len(sent_messages(first, flows.Forward)) == 2
    for address in (OWN, PEER):
        decisions.handle_message(address, flows.NotHeld(FLOW))
    clock.set(1_010_100)
    assert decisions.receive(BALANCER, resolve, data_packet()) == []
    clock.set(1_010_400)
    repeated = decisions.receive(BALANCER, resolve, data_packet())
    assert len(sent_messages(repeated, flows.Forward)) == 2


def test_late_return_of_probe_does_not_reset_adopted_flow() -> None:
    """Guards against the reset of a flow that another backend server holds.

    The backend server returns a probe after its time limit, when its agent has
    already adopted the flow.
    """
    clock, forwarder = make_probing_forwarder()
    forwarder.record_keepalive()
    clock.set(1_000_000 + _flow_probes.PROBE_LIMIT_MS)
    forwarder.sweep()
    assert FLOW in forwarder.tracker
    late = dataclasses.replace(data_packet(), returned=True, delivery_tag=1)
    actions = forwarder.receive_from_target(late)
    assert not any(isinstance(item, flows.Reset) for item in actions)
    assert FLOW not in forwarder.tracker


def test_returned_packet_does_not_reset_unconfirmed_flow() -> None:
    """Guards against a reset by an agent that never saw the flow answered.

    Later packets of an adopted flow are delivered without a tag.
    """
    clock, forwarder = make_probing_forwarder()
    forwarder.record_keepalive()
    clock.set(1_000_000 + _flow_probes.PROBE_LIMIT_MS)
    forwarder.sweep()
    forwarder.receive(BALANCER, forward(flows.Handling.HELD), data_packet())
    actions = forwarder.receive_from_target(
        dataclasses.replace(data_packet(), returned=True)
    )
    assert not any(isinstance(item, flows.Reset) for item in actions)
    assert FLOW not in forwarder.tracker
    assert sent_messages(actions, flows.NotHeld)


def test_unconfirmed_flows_are_not_reset_when_target_goes_down() -> None:
    """Guards against the reset of flows that may be held elsewhere."""
    clock, forwarder = make_probing_forwarder()
    forwarder.record_keepalive()
    clock.set(1_000_000 + _flow_probes.PROBE_LIMIT_MS)
    forwarder.sweep()
    actions = forwarder.mark_down("port closed")
    assert not any(isinstance(item, flows.Reset) for item in actions)


def test_only_flows_of_restarted_directory_agent_are_announced() -> None:
    """Guards against messages that grow with the square of the fleet.

    During a rolling replacement of 200 agents every agent sees 200 restarts. If
    it announced all its flows after each, each replacement of the service would
    cost tens of thousands of messages.
    """
    clock, fleet, forwarder = make_forwarder()
    agents = [
        instance(core.Address(f"10.0.2.{number}", 7_000))
        for number in range(1, 201)
    ]
    fleet.replace_entries([instance(OWN), *agents])
    opened = [
        FLOW[:4] + number.to_bytes(2, "big") + FLOW[6:] for number in range(60)
    ]
    for flow in opened:
        open_flow(forwarder, flow)
    forwarder.announce_moved()
    owners = {
        flow: fleet.directory_agents("board", flow, 1)[0] for flow in opened
    }
    restarted = owners[opened[0]]
    fleet.update_entries([instance(restarted, incarnation=2)], [])
    sent = sent_messages(forwarder.announce_moved(), flows.FlowAnnouncement)
    assert [item.to for item in sent] == [restarted]
    (item,) = sent
    assert isinstance(item.message, flows.FlowAnnouncement)
    assert set(item.message.flows) == {
        flow for flow in opened if owners[flow] == restarted
    }
    assert forwarder.announce_moved() == []
    clock.set(1_010_000)
    assert forwarder.announce_moved() == []


def test_change_of_one_agent_does_not_rebuild_the_ring(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against rebuilding all points of a large service per change."""
    clock = Clock(1_000_000)
    fleet = flows.Fleet(clock)
    agents = [
        instance(core.Address(f"10.0.2.{number}", 7_000))
        for number in range(1, 201)
    ]
    fleet.replace_entries(agents)
    before = fleet.ring("board")
    built: list[int] = []
    build = routing.TargetRing.__init__

    def count(ring: routing.TargetRing, targets: object) -> None:
        items = list(targets)  # type: ignore[call-overload]
        built.append(len(items))
        build(ring, items)

    monkeypatch.setattr(routing.TargetRing, "__init__", count)
    draining = flows.Load(flows.TargetState.DRAINING)
    fleet.record_load(agents[0].address, draining)
    fleet.update_entries([], [agents[1].address])
    after = fleet.ring("board")
    assert after is not before
    assert sum(built) == 0
    assert agents[1].address not in {
        item.address for item in after.walk(0, 200)
    }
    assert fleet.ring("board") is after


def test_load_counts_equal_a_count_of_all_flows() -> None:
    """Guards against counts of a load that drift from the tracked flows."""
    clock = Clock(1_000_000)
    tracker = _flow_tracker.FlowTracker(clock)
    rng = random.Random(7)
    for step in range(2_000):
        clock.set(1_000_000 + step * 7)
        flow = FLOW[:5] + bytes((rng.randrange(40),)) + FLOW[6:]
        tracked = tracker.get(flow)
        choice = rng.randrange(6)
        if choice == 0 or tracked is None:
            first_seq = rng.choice([None, SEQ])
            tracker.add(flow, rng.random() < 0.5, first_seq, 1)
        elif choice == 1:
            tracker.remove(flow)
        else:
            packet = dataclasses.replace(
                data_packet(seq=step * 200), flow=flow, ends=choice == 2
            )
            if choice < 5:
                tracker.record_client_packet(tracked, packet)
            else:
                tracker.record_target_packet(tracked, packet)
        if step % 50 == 0:
            tracker.expire()
        open_flows = [
            item
            for key in tracker.open_flows()
            if (item := tracker.get(key)) is not None
        ]
        load = tracker.load(flows.TargetState.READY)
        assert load.long_lived_count == sum(
            item.long_lived for item in open_flows
        )
        assert load.reserved_count == sum(
            item.reserved_until_ms > clock.now_ms() for item in open_flows
        )
        assert load.busy_count == sum(
            item.busy_since_ms is not None for item in open_flows
        )


def test_new_instances_await_their_entries_before_introduction() -> None:
    """Guards against introductions that grow with the cube of the fleet.

    After a mass restart every instance is new to every other, and its entry is
    only seen when the watch of the registry returns.
    """
    clock = Clock(1_000_000)
    fleet = flows.Fleet(clock)
    others = [
        instance(core.Address(f"10.0.2.{number}", 7_000))
        for number in range(1, 201)
    ]
    for other in others:
        fleet.apply_heartbeat(flows.Heartbeat(other, flows.Load(), 0, False))
    assert fleet.unregistered(2_500) == ()
    fleet.update_entries(others[1:], [])
    clock.set(1_002_500)
    assert fleet.unregistered(2_500) == (others[0],)


def test_instance_that_lost_its_entry_is_introduced_at_once() -> None:
    """Guards against new processes that miss an instance with open flows."""
    clock = Clock(1_000_000)
    fleet = flows.Fleet(clock)
    fleet.replace_entries([instance(PEER)])
    fleet.apply_heartbeat(
        flows.Heartbeat(instance(PEER), flows.Load(), 0, False)
    )
    fleet.update_entries([], [PEER])
    assert fleet.unregistered(2_500) == (instance(PEER),)


def make_silent_forwarder(
    handling: flows.Handling, agent_count: int, flow_count: int
) -> tuple[Clock, _target_forwarder.TargetForwarder]:
    """Returns a new forwarder whose target has returned none of its probes."""
    clock = Clock(1_000_000)
    fleet = flows.Fleet(clock)
    fleet.replace_entries(
        [instance(OWN)]
        + [
            instance(core.Address(f"10.0.2.{number}", 7_000))
            for number in range(1, agent_count)
        ]
    )
    forwarder = _target_forwarder.TargetForwarder(clock, instance(OWN), fleet)
    for number in range(flow_count):
        flow = FLOW[:4] + number.to_bytes(2, "big") + FLOW[6:]
        packet = dataclasses.replace(data_packet(), flow=flow)
        forwarder.receive(PEER, forward(handling), packet)
    clock.set(1_000_000 + _flow_probes.PROBE_LIMIT_MS)
    return clock, forwarder


def test_searches_do_not_wait_for_agent_whose_target_is_gone() -> None:
    """Guards against flows that nobody resets for seconds after a power cut.

    The machine of a backend server that left is powered on again. Its agent
    runs, and its backend server never reports. Every search waits for it.
    """
    _, forwarder = make_silent_forwarder(flows.Handling.SEARCH, 8, 40)
    # What the backend server sent may be unread at the first check.
    assert sent_messages(forwarder.sweep(), flows.NotHeld) == []
    assert len(sent_messages(forwarder.sweep(), flows.NotHeld)) == 40
    packet = dataclasses.replace(data_packet(), flow=FLOW[::-1])
    actions = forwarder.receive(PEER, forward(flows.Handling.SEARCH), packet)
    assert sent_messages(actions, flows.NotHeld)


@pytest.mark.parametrize(
    ("handling", "agent_count", "flow_count"),
    [
        # Flows that balancers know to be held here.
        (flows.Handling.HELD, 8, 40),
        # So few that all of them may be held here.
        (flows.Handling.SEARCH, 8, 4),
        (flows.Handling.SEARCH, 2, 12),
        # No other agent could hold them.
        (flows.Handling.SEARCH, 1, 40),
    ],
)
def test_slow_target_is_not_taken_for_gone(
    handling: flows.Handling, agent_count: int, flow_count: int
) -> None:
    """Guards against the reset of flows at a slow backend server.

    It returns packets of other flows at once, and takes long for its own.
    """
    _, forwarder = make_silent_forwarder(handling, agent_count, flow_count)
    assert not sent_messages(forwarder.sweep(), flows.NotHeld)


def test_reporting_target_is_not_taken_for_gone() -> None:
    """Guards against a conclusion that outlives the start of the target."""
    clock, forwarder = make_silent_forwarder(flows.Handling.SEARCH, 8, 40)
    forwarder.sweep()
    monitor = flows.TargetMonitor(clock, "board", forwarder, 1_200)
    monitor.record_report(report(1))
    packet = dataclasses.replace(data_packet(), flow=FLOW[::-1])
    actions = forwarder.receive(PEER, forward(flows.Handling.SEARCH), packet)
    assert not sent_messages(actions, flows.NotHeld)


@pytest.mark.parametrize(
    ("change", "is_reset"),
    [
        ({"payload_bytes": 0, "ends": True}, True),
        ({"payload_bytes": 0}, False),
        ({"payload_bytes": 0, "ends": True, "resets": True}, False),
    ],
)
def test_unknown_flow_is_reset_if_its_client_awaits_an_answer(
    change: dict[str, object], is_reset: bool
) -> None:
    """Guards against clients that repeat the end of a lost flow for long.

    Each repetition would be searched at all agents of the service.
    """
    clock, _, decisions = make_agent()
    clock.set(1_010_000)
    packet = dataclasses.replace(data_packet(), **change)  # type: ignore[arg-type]
    decisions.receive(BALANCER, forward(flows.Handling.RESOLVE), packet)
    decisions.handle_message(OWN, flows.NotHeld(FLOW))
    (action,) = decisions.handle_message(PEER, flows.NotHeld(FLOW))
    assert isinstance(action, flows.Send)
    assert isinstance(action.message, flows.FlowNotFound)
    assert action.message.expects_response is is_reset


def test_instance_that_left_is_not_added_again() -> None:
    """Guards against new flows at an agent that has left.

    Its last heartbeat is overtaken by the announcement that it leaves, another
    instance introduces it, or the watch returns its entry late.
    """
    clock = Clock(1_000_000)
    fleet = flows.Fleet(clock)
    present = flows.Heartbeat(instance(PEER), flows.Load(), 0, False)
    fleet.apply_heartbeat(present)
    fleet.apply_heartbeat(dataclasses.replace(present, leaving=True))
    fleet.apply_heartbeat(present)
    assert PEER not in fleet
    fleet.update_entries([instance(PEER)], [])
    assert PEER not in fleet
    fleet.replace_entries([instance(PEER)])
    assert PEER not in fleet
    successor = instance(PEER, incarnation=2)
    fleet.apply_heartbeat(flows.Heartbeat(successor, flows.Load(), 0, False))
    assert fleet.find(PEER) == successor


def test_record_of_left_instances_is_bounded() -> None:
    """Guards against memory that grows with each instance that leaves."""
    clock = Clock(1_000_000)
    fleet = flows.Fleet(clock)
    leaving = flows.Heartbeat(instance(PEER), flows.Load(), 0, True)
    fleet.apply_heartbeat(leaving)
    clock.set(1_000_000 + _fleet.LEFT_RETENTION_MS + 1)
    fleet.refresh()
    fleet.replace_entries([instance(PEER)])
    assert PEER in fleet


def close_flow(forwarder: _target_forwarder.TargetForwarder) -> None:
    """Ends a flow from both sides."""
    closing = dataclasses.replace(data_packet(), payload_bytes=0, ends=True)
    forwarder.receive(BALANCER, forward(flows.Handling.HELD), closing)
    forwarder.receive_from_target(
        dataclasses.replace(closing, seq=SEQ + 1, ack=11)
    )


def test_port_of_ended_flow_can_be_used_again() -> None:
    """Guards against a new flow that is taken for an ended one.

    It would go to the backend server of the ended flow, which may be full or
    draining, and whose answer would not match the tracked sequence numbers.
    """
    _, _, forwarder = make_forwarder()
    open_flow(forwarder)
    close_flow(forwarder)
    opening = flows.Packet(FLOW, b"", opens=True, seq=77)
    actions = forwarder.receive(BALANCER, forward(flows.Handling.HELD), opening)
    assert not any(isinstance(item, flows.Deliver) for item in actions)
    assert sent_messages(actions, flows.NotHeld)
    assert FLOW not in forwarder.tracker


def test_flow_that_is_opened_anew_is_tracked_anew() -> None:
    """Guards against dropped packets of a client that has started again.

    It uses the port of a flow that was not ended, and the backend server
    accepts the new flow with another sequence number.
    """
    _, _, forwarder = make_forwarder()
    open_flow(forwarder)
    opening = flows.Packet(FLOW, b"", opens=True, seq=77)
    actions = forwarder.receive(BALANCER, forward(flows.Handling.HELD), opening)
    # The directory agent places it like any other new flow.
    (relayed,) = sent_messages(actions, flows.Forward)
    assert relayed.message.handling is flows.Handling.RESOLVE
    offered = forwarder.receive(PEER, forward(flows.Handling.PLACE), opening)
    assert any(isinstance(item, flows.Deliver) for item in offered)
    accepted = flows.Packet(FLOW, b"", opens=True, acknowledges=True, seq=500)
    assert forwarder.receive_from_target(accepted)
    request = data_packet(ack=501, seq=78)
    actions = forwarder.receive(BALANCER, forward(flows.Handling.HELD), request)
    assert any(isinstance(item, flows.Deliver) for item in actions)


@pytest.mark.parametrize(
    "handling", [flows.Handling.HELD, flows.Handling.PLACE]
)
def test_draining_target_gets_no_new_flow_on_port_of_tracked_flow(
    handling: flows.Handling,
) -> None:
    """Guards against new flows that a leaving backend server loses.

    The client has discarded an idle flow that the agent still tracks.
    """
    _, _, forwarder = make_forwarder()
    open_flow(forwarder)
    forwarder.update_state(flows.TargetState.DRAINING, 2)
    opening = flows.Packet(FLOW, b"", opens=True, seq=77)
    actions = forwarder.receive(BALANCER, forward(handling), opening)
    assert not any(isinstance(item, flows.Deliver) for item in actions)
    assert sent_messages(actions, flows.NotHeld | flows.PlacementDeclined)


@pytest.mark.parametrize(
    "handling", [flows.Handling.HELD, flows.Handling.PLACE]
)
def test_copy_of_opening_packet_is_delivered_by_holder(
    handling: flows.Handling,
) -> None:
    """Guards against a second placement when the first answer is lost."""
    _, _, forwarder = make_forwarder()
    open_flow(forwarder)
    forwarder.update_state(flows.TargetState.DRAINING, 2)
    copy = flows.Packet(FLOW, b"", opens=True)
    actions = forwarder.receive(BALANCER, forward(handling), copy)
    assert any(isinstance(item, flows.Deliver) for item in actions)


def test_flow_that_is_opened_anew_replaces_one_that_is_being_placed() -> None:
    """Guards against answers to a client that has started again meanwhile."""
    _, _, decisions = make_agent()
    resolve = forward(flows.Handling.RESOLVE)
    opening = flows.Packet(FLOW, b"", opens=True, seq=9)
    assert decisions.receive(BALANCER, resolve, opening)
    assert decisions.receive(BALANCER, resolve, opening) == []
    again = dataclasses.replace(opening, seq=77)
    (offer,) = sent_messages(
        decisions.receive(BALANCER, resolve, again), flows.Forward
    )
    assert offer.message.handling is flows.Handling.PLACE


def test_placement_on_port_of_ended_flow_is_accepted_once() -> None:
    """Guards against a flow that is accepted here and offered elsewhere."""
    clock, _, forwarder = make_forwarder()
    open_flow(forwarder)
    close_flow(forwarder)
    opening = flows.Packet(FLOW, b"", opens=True, seq=77)
    forwarder.receive(PEER, forward(flows.Handling.PLACE), opening)
    accepted = flows.Packet(FLOW, b"", opens=True, acknowledges=True, seq=500)
    actions = forwarder.receive_from_target(accepted)
    assert sent_messages(actions, flows.FlowLocated)
    clock.set(1_000_000 + _target_forwarder.OPENING_LIMIT_MS)
    assert forwarder.sweep() == []


def probe_dark_target() -> tuple[Clock, _target_forwarder.TargetForwarder]:
    """Returns a forwarder whose target reported and then became silent."""
    clock, _, forwarder = make_forwarder()
    flows.TargetMonitor(clock, "board", forwarder, 1_200).record_report(
        report(1)
    )
    clock.set(1_000_000 + 10)
    forwarder.receive(PEER, forward(flows.Handling.SEARCH), data_packet())
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
    actions = sweep_until(clock, forwarder, 1_000_000 + 2_000)
    assert FLOW not in forwarder.tracker
    assert not sent_messages(actions, flows.FlowLocated)


def test_search_does_not_wait_for_dark_target_for_long() -> None:
    """Guards against clients of a lost flow that nobody resets."""
    clock, forwarder = probe_dark_target()
    actions = sweep_until(
        clock, forwarder, 1_000_000 + 50 + _flow_probes.FIRST_KEEPALIVE_MS
    )
    assert [item.to for item in sent_messages(actions, flows.NotHeld)] == [PEER]


def test_frozen_agent_does_not_take_its_target_for_gone() -> None:
    """Guards against resets by an agent that has not read its sockets yet."""
    clock, forwarder = probe_dark_target()
    sweep_until(clock, forwarder, 1_000_000 + 100)
    clock.set(1_000_000 + 4_000)
    assert not sent_messages(forwarder.sweep(), flows.NotHeld)


def test_restarted_target_holds_no_flow_of_its_earlier_process() -> None:
    """Guards against an adoption because the new process reports."""
    clock, _, forwarder = make_forwarder()
    monitor = flows.TargetMonitor(clock, "board", forwarder, 1_200)
    monitor.record_report(report(1))
    forwarder.receive(PEER, forward(flows.Handling.SEARCH), data_packet())
    clock.set(1_000_700)
    monitor.record_report(report(1, started_ms=2_000))
    actions = forwarder.sweep()
    assert FLOW not in forwarder.tracker
    assert sent_messages(actions, flows.NotHeld)


def test_flow_that_no_client_has_opened_is_not_reset() -> None:
    """Guards against the reset of a flow that is open at another server.

    An agent that was frozen offers an old opening packet again, and the server
    accepts it (review/other/unopened-flow).
    """
    _, _, forwarder = make_forwarder()
    open_flow(forwarder)
    actions = forwarder.mark_down("left")
    assert not any(isinstance(item, flows.Reset) for item in actions)


def test_flow_that_the_client_has_acknowledged_is_reset() -> None:
    """Guards against clients that wait for a server that is gone."""
    _, _, forwarder = make_forwarder()
    open_flow(forwarder)
    acknowledgment = dataclasses.replace(data_packet(), payload_bytes=0)
    forwarder.receive(BALANCER, forward(flows.Handling.HELD), acknowledgment)
    actions = forwarder.mark_down("left")
    assert any(isinstance(item, flows.Reset) for item in actions)


def test_flow_accepted_twice_is_found_without_a_search() -> None:
    """Guards against a search at all agents for a flow accepted by two."""
    _, _, decisions = make_agent()
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
    clock, _, forwarder = make_forwarder()
    opening = flows.Packet(FLOW, b"", opens=True)
    offer = forward(flows.Handling.PLACE, long_lived=True)
    forwarder.receive(BALANCER, offer, opening)
    forwarder.receive_from_target(
        flows.Packet(FLOW, b"", opens=True, acknowledges=True, seq=SEQ)
    )
    forwarder.tracker.expire()
    assert forwarder.load().long_lived_count == 1
    clock.set(1_000_000 + 2_100)
    forwarder.tracker.expire()
    assert forwarder.load().long_lived_count == 0
    forwarder.tracker.remove(FLOW)
    assert forwarder.load().long_lived_count == 0
