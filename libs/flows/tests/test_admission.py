"""Tests of admission and waiting of flows with terms, without a network."""

import collections
import dataclasses

import pytest

from fireflyford import core
from fireflyford import flows
from fireflyford.flows import _admission
from fireflyford.flows import _candidates
from fireflyford.flows import _flow_placer
from fireflyford.flows import _target_forwarder
from fireflyford.flows import _waiting_list

START_MS = 1_000_000
OWN = core.Address("10.0.1.1", 7_000)
PEERS = tuple(core.Address("10.0.1.1", 7_001 + index) for index in range(5))
BALANCER = core.Address("10.0.0.1", 7_000)
TERMS = flows.RouteTerms(1, 370, 1_617, True)
SERVICE_MS = 40.0
# Long enough for one request beyond each slot to be all that is admitted.
LONG_SERVICE_MS = 120.0


class Clock(core.ManualClock):
    """Clock whose time a test sets without an event loop."""

    def set(self, now_ms: int) -> None:
        """Sets the time."""
        self._now_ms = now_ms


class FirstCandidate(flows.Placement):
    """Chooses the first candidate, so that a test knows which."""

    def choose(self, candidates, long_lived):  # type: ignore[no-untyped-def]
        """Returns the first candidate."""
        return candidates[0]


def flow_id(number: int) -> bytes:
    return bytes((10, 9, 0, number, 1, 1, 198, 18, 0, 1, 1, 187))


def instance(address: core.Address) -> flows.Instance:
    return flows.Instance(
        str(address), core.Role.AGENT, "board", "a", address, 1
    )


def offer(terms: flows.RouteTerms | None = TERMS) -> flows.Forward:
    return flows.Forward(
        flows.Handling.PLACE,
        "board",
        BALANCER,
        OWN,
        0,
        False,
        True,
        b"",
        terms,
    )


def opening(number: int, age_ms: int = 0) -> flows.Packet:
    return flows.Packet(
        flow_id(number), b"", opens=True, seq=9, opening_age_ms=age_ms
    )


def messages(actions: list[flows.Action], kind: type) -> list[flows.Send]:
    return [
        action
        for action in actions
        if isinstance(action, flows.Send) and isinstance(action.message, kind)
    ]


class Holder:
    """Agent of a backend server with one slot."""

    def __init__(self) -> None:
        self.clock = Clock(START_MS)
        fleet = flows.Fleet(self.clock)
        self.forwarder = _target_forwarder.TargetForwarder(
            self.clock, instance(OWN), fleet
        )
        self.forwarder.update_state(flows.TargetState.READY, 1)
        self.forwarder.tracker.service_ms = LONG_SERVICE_MS

    def offer(
        self, number: int, age_ms: int = 0, terms: flows.RouteTerms = TERMS
    ) -> flows.DeclineReason | None:
        """Offers a flow; returns the reason of a decline."""
        actions = self.forwarder.receive(
            PEERS[0], offer(terms), opening(number, age_ms)
        )
        declined = messages(actions, flows.PlacementDeclined)
        if declined:
            assert isinstance(declined[0].message, flows.PlacementDeclined)
            return declined[0].message.reason
        assert isinstance(actions[0], flows.Deliver)
        return None

    def accept(self, number: int) -> list[flows.Action]:
        """Lets the backend server accept a flow and start its request."""
        actions = self.forwarder.receive_from_target(
            flows.Packet(
                flow_id(number), b"", opens=True, acknowledges=True, seq=70
            )
        )
        request = flows.Packet(
            flow_id(number), b"", False, True, payload_bytes=5, seq=10, ack=71
        )
        held = dataclasses.replace(offer(), handling=flows.Handling.HELD)
        return actions + self.forwarder.receive(BALANCER, held, request)

    def answer(self, number: int) -> list[flows.Action]:
        """Lets the backend server answer the request of a flow."""
        return self.forwarder.receive_from_target(
            flows.Packet(flow_id(number), b"", payload_bytes=5, seq=71)
        )

    def fill(self) -> None:
        """Accepts as many flows as are admitted."""
        for number in (1, 2):
            assert self.offer(number) is None
            self.accept(number)


def granted(actions: list[flows.Action]) -> list[bytes]:
    return [
        item.message.flow
        for item in messages(actions, flows.SlotGranted)
        if isinstance(item.message, flows.SlotGranted)
    ]


def test_backend_server_holds_one_request_beyond_each_slot() -> None:
    """Guards against requests that wait where they cannot be ordered."""
    holder = Holder()
    holder.fill()
    assert holder.offer(3) is flows.DeclineReason.BUSY
    assert len(holder.forwarder.admission) == 1


def test_flow_without_terms_is_not_put_on_the_waiting_list() -> None:
    """Guards against a change for deployments without terms."""
    holder = Holder()
    holder.fill()
    declined_offer = dataclasses.replace(offer(None), allow_queueing=False)
    actions = holder.forwarder.receive(PEERS[0], declined_offer, opening(3))
    assert messages(actions, flows.PlacementDeclined)
    assert not len(holder.forwarder.admission)


def test_freed_slot_is_granted_and_kept_for_the_flow() -> None:
    """Guards against a slot that a later flow takes from the waiting one."""
    holder = Holder()
    holder.fill()
    holder.offer(3)
    assert granted(holder.answer(1)) == [flow_id(3)]
    assert holder.offer(4) is flows.DeclineReason.BUSY
    assert holder.offer(3) is None


@pytest.mark.parametrize("withdrawn", [True, False])
def test_unused_grant_passes_to_the_next_flow(withdrawn: bool) -> None:
    """Guards against slots that stay idle for flows served elsewhere."""
    holder = Holder()
    holder.fill()
    holder.offer(3)
    holder.offer(4)
    assert granted(holder.answer(1)) == [flow_id(3)]
    if withdrawn:
        actions = holder.forwarder.handle_withdrawn(PEERS[0], flow_id(3))
    else:
        holder.clock.set(START_MS + _admission.GRANT_MS)
        actions = holder.forwarder.sweep()
    assert granted(actions) == [flow_id(4)]


def test_late_offer_after_a_grant_does_not_count_as_new() -> None:
    """Guards against service of a flow whose client has given up."""
    holder = Holder()
    holder.fill()
    holder.offer(3)
    holder.clock.set(START_MS + TERMS.objective_ms)
    assert granted(holder.answer(1)) == [flow_id(3)]
    holder.offer(4)
    holder.clock.set(START_MS + TERMS.objective_ms + _admission.GRANT_MS)
    assert granted(holder.forwarder.sweep()) == [flow_id(4)]
    # The slot of the expired grant is kept for another flow now.
    assert holder.offer(3) is flows.DeclineReason.BUSY
    assert holder.offer(4) is None
    holder.accept(4)
    holder.clock.set(START_MS + TERMS.limit_ms)
    assert granted(holder.answer(2)) == []


def test_flow_past_its_limit_is_declined_as_too_late() -> None:
    """Guards against service of requests whose clients have given up."""
    holder = Holder()
    terms = dataclasses.replace(TERMS, limit_ms=630)
    reason = holder.offer(3, age_ms=600, terms=terms)
    assert reason is flows.DeclineReason.TOO_LATE


def test_waiting_flow_past_its_limit_is_granted_nothing() -> None:
    """Guards against grants to clients that have given up."""
    holder = Holder()
    holder.fill()
    holder.offer(3)
    holder.clock.set(START_MS + TERMS.limit_ms)
    assert granted(holder.answer(1)) == []
    assert not len(holder.forwarder.admission)


def test_drain_ends_the_waiting_list_and_tells_directory_agents() -> None:
    """Guards against grants of a backend server that is draining."""
    holder = Holder()
    holder.fill()
    holder.offer(3)
    holder.forwarder.update_state(flows.TargetState.DRAINING, 1)
    (declined,) = messages(holder.answer(1), flows.PlacementDeclined)
    assert isinstance(declined.message, flows.PlacementDeclined)
    assert declined.to == PEERS[0]
    assert declined.message.reason is flows.DeclineReason.DRAINING


def test_requests_on_open_flows_do_not_starve_new_flows() -> None:
    """Guards against new flows that wait while open ones fill the server."""
    holder = Holder()
    holder.fill()
    holder.offer(3)
    holder.clock.set(START_MS + _admission.MAX_GRANT_GAP_MS)
    assert granted(holder.forwarder.sweep()) == [flow_id(3)]


def waiting(
    number: int, age_ms: int, priority: int = 1, client: str = ""
) -> _waiting_list.WaitingFlow:
    terms = dataclasses.replace(TERMS, priority=priority)
    return _waiting_list.make_waiting_flow(
        flow_id(number),
        PEERS[0],
        terms,
        START_MS - age_ms,
        client or str(number),
        "a",
    )


def pop(waiting_list: _waiting_list.WaitingList) -> bytes:
    item = waiting_list.pop_next(START_MS, SERVICE_MS)
    assert item is not None
    return item.flow


def test_late_flow_does_not_precede_one_that_can_be_in_time() -> None:
    """Guards against a backlog that makes every later request late too."""
    waiting_list = _waiting_list.WaitingList(flows.EarliestLimit())
    late = waiting(1, 400, priority=0)
    for item in (late, waiting(2, 50), waiting(3, 0, priority=0)):
        waiting_list.add(item, START_MS, SERVICE_MS)
    assert [pop(waiting_list) for _ in range(3)] == [
        flow_id(3),
        flow_id(2),
        flow_id(1),
    ]


@pytest.mark.parametrize(("count", "first"), [(3, 2), (40, 39)])
def test_newest_flow_is_first_only_on_a_long_list(
    count: int, first: int
) -> None:
    """Guards against flows that are all served just after their objective.

    On a short list, newest first would make the oldest late for no reason.
    """
    waiting_list = _waiting_list.WaitingList(flows.Deadline())
    for number in range(count):
        age_ms = number if count == 3 else count - number
        item = waiting(number, age_ms)
        waiting_list.add(item, START_MS, SERVICE_MS)
    assert pop(waiting_list) == flow_id(first)


def test_lower_priority_gets_every_fourth_grant() -> None:
    """Guards against starvation of the lower priority."""
    waiting_list = _waiting_list.WaitingList(flows.EarliestLimit())
    waiting_list.add(waiting(99, 300, priority=2), START_MS, SERVICE_MS)
    for number in range(8):
        item = waiting(number, 0, priority=0)
        waiting_list.add(item, START_MS, SERVICE_MS)
    order = [pop(waiting_list) for _ in range(4)]
    assert order.index(flow_id(99)) == _waiting_list.LONGEST_WAIT_TURN - 1


def test_client_with_many_flows_does_not_displace_others() -> None:
    """Guards against a client that takes all slots by opening more flows."""
    waiting_list = _waiting_list.WaitingList(flows.EarliestLimit())
    for number in range(9):
        item = waiting(number, 90 - number, client="greedy")
        waiting_list.add(item, START_MS, SERVICE_MS)
    waiting_list.add(waiting(50, 0, client="other"), START_MS, SERVICE_MS)
    assert flow_id(50) in [pop(waiting_list) for _ in range(2)]


def test_waiting_list_is_bounded() -> None:
    """Guards against memory that grows with the demand."""
    waiting_list = _waiting_list.WaitingList(flows.EarliestLimit())
    left = collections.Counter(
        waiting_list.add(
            dataclasses.replace(waiting(1, 0), flow=number.to_bytes(12)),
            START_MS,
            SERVICE_MS,
        )
        is not None
        for number in range(_waiting_list.MAX_WAITING_FLOWS + 5)
    )
    assert len(waiting_list) == _waiting_list.MAX_WAITING_FLOWS
    assert left[True] == 5


class Directory:
    """Directory agent with several agents of its service."""

    def __init__(self) -> None:
        self.clock = Clock(START_MS)
        self.draining: set[core.Address] = set()
        self.fleet = flows.Fleet(self.clock)
        self.fleet.replace_entries([instance(item) for item in PEERS])
        self.placer = _flow_placer.FlowPlacer(
            self.clock,
            instance(OWN),
            self.fleet,
            FirstCandidate(),
            flows.Responsiveness(self.clock),
        )
        for peer in PEERS:
            self.report(peer)

    def report(self, peer: core.Address) -> flows.Load:
        state = flows.TargetState.READY
        if peer in self.draining:
            state = flows.TargetState.DRAINING
        load = flows.Load(state, 1, busy_count=2, service_ms=LONG_SERVICE_MS)
        self.placer.record_load(peer, load)
        return load

    def decline(
        self,
        peer: core.Address,
        reason: flows.DeclineReason = flows.DeclineReason.BUSY,
    ) -> list[flows.Action]:
        load = self.report(peer)
        return self.placer.handle_declined(
            peer, flows.PlacementDeclined(flow_id(1), reason, load)
        )

    def wait(self) -> list[core.Address]:
        """Lets a flow wait with all agents that it is offered to."""
        agents = []
        actions = self.placer.begin(offer(), opening(1))
        while offers := messages(actions, flows.Forward):
            agents.append(offers[0].to)
            actions = self.decline(offers[0].to)
        assert messages(actions, flows.PlacementQueued)
        return agents

    def sweep_until(self, end_ms: int) -> list[flows.Action]:
        """Passes time while all agents decline; returns other actions."""
        actions: list[flows.Action] = []
        while self.clock.now_ms() < end_ms:
            self.clock.set(self.clock.now_ms() + 20)
            for peer in PEERS:
                self.report(peer)
            made = self.placer.sweep()
            while made:
                actions += made
                offers = messages(made, flows.Forward)
                made = self.decline(offers[0].to) if offers else []
        return actions


def test_waiting_flow_is_not_offered_again_to_agents_that_declined() -> None:
    """Guards against thousands of offers to full backend servers."""
    directory = Directory()
    agents = directory.wait()
    assert len(agents) == _candidates.MAX_WAITING_AGENTS
    actions = directory.sweep_until(START_MS + 1_000)
    assert actions == []


def test_grant_is_answered_with_an_offer() -> None:
    """Guards against a grant that is left unused by a waiting flow."""
    directory = Directory()
    agents = directory.wait()
    actions = directory.placer.handle_granted(agents[1], flow_id(1))
    assert [item.to for item in messages(actions, flows.Forward)] == [agents[1]]


def test_placed_flow_leaves_the_other_waiting_lists() -> None:
    """Guards against grants for flows that have been served elsewhere."""
    directory = Directory()
    agents = directory.wait()
    directory.placer.handle_granted(agents[1], flow_id(1))
    # Another agent has a slot before the first one has answered.
    assert directory.placer.handle_granted(agents[0], flow_id(1)) == []
    actions = directory.placer.finish(agents[1], flow_id(1))
    withdrawn = messages(actions, flows.PlacementWithdrawn)
    assert {item.to for item in withdrawn} == {agents[0], agents[2]}
    actions = directory.placer.handle_granted(agents[2], flow_id(1))
    assert messages(actions, flows.PlacementWithdrawn)


def test_flow_leaves_agent_that_gives_up_its_waiting_list() -> None:
    """Guards against a wait at an agent that will grant nothing."""
    directory = Directory()
    agents = directory.wait()
    directory.draining.add(agents[0])
    directory.decline(agents[0], flows.DeclineReason.DRAINING)
    actions = directory.sweep_until(
        START_MS + _flow_placer.WAITING_RETRY_MS + 20
    )
    (renewed,) = messages(actions, flows.Forward)
    assert renewed.to not in agents


def test_waiting_flow_is_refused_once_it_can_not_be_served() -> None:
    """Guards against silence until the client's attempt ends."""
    directory = Directory()
    directory.wait()
    actions = directory.sweep_until(START_MS + 1_380)
    (refused,) = messages(actions, flows.PlacementRefused)
    assert isinstance(refused.message, flows.PlacementRefused)
    assert refused.message.reason is flows.DeclineReason.TOO_LATE
    assert not len(directory.placer)


def test_flow_with_unanswered_offer_is_not_refused_as_too_late() -> None:
    """Guards against a reset of a flow that a slow agent has opened."""
    directory = Directory()
    directory.placer.begin(offer(), opening(1))
    directory.clock.set(START_MS + _flow_placer.MAX_OFFER_TIMEOUT_MS)
    (renewed,) = messages(directory.placer.sweep(), flows.Forward)
    directory.clock.set(START_MS + 1_380)
    actions = directory.decline(renewed.to)
    assert not messages(actions, flows.PlacementRefused)


def test_copy_of_an_opening_packet_counts_its_age() -> None:
    """Guards against an offer of a flow whose client has given up."""
    directory = Directory()
    short = dataclasses.replace(TERMS, limit_ms=620)
    actions = directory.placer.begin(offer(short), opening(1, age_ms=600))
    assert [type(item.message) for item in messages(actions, object)] == [
        flows.PlacementRefused
    ]
