"""Evacuation of availability zones, with production decisions in virtual time.

Backend servers are in three zones; clients open some 250 flows a second.
"""

import pytest

from fireflyford import core
from fireflyford import flows
from fireflyford.lab import _packet_fleet

ZONES = ("a", "b", "c")
SPECS = [_packet_fleet.TargetSpec(zone=ZONES[index % 3]) for index in range(9)]
GAP_MS = 4


def make_fleet(
    seed: int = 1,
    specs: list[_packet_fleet.TargetSpec] = SPECS,
    long_lived: bool = False,
) -> _packet_fleet.PacketFleet:
    fleet = _packet_fleet.PacketFleet(seed, specs, long_lived=long_lived)
    fleet.evacuate(10, ())
    return fleet


def open_clients(
    fleet: _packet_fleet.PacketFleet, count: int
) -> list[_packet_fleet.Client]:
    clients = []
    for _ in range(count):
        clients.append(fleet.client())
        clients[-1].open()
        fleet.run(GAP_MS)
    return clients


def opened_since(
    fleet: _packet_fleet.PacketFleet, since_ms: int
) -> dict[str, int]:
    """Returns the flows that each zone's backend servers have accepted."""
    counts = dict.fromkeys(ZONES, 0)
    for target in fleet.targets:
        times = [at_ms for at_ms, _ in target.opened if at_ms > since_ms]
        counts[target.spec.zone] += len(times)
    return counts


def outcomes(
    fleet: _packet_fleet.PacketFleet,
) -> set[_packet_fleet.RequestOutcome]:
    return {result.outcome for result in fleet.results}


@pytest.mark.parametrize("seed", range(3))
def test_evacuated_zone_gets_no_new_flows_until_it_returns(seed: int) -> None:
    """Guards against new flows in an evacuated zone, and against lost ones."""
    fleet = make_fleet(seed)
    open_clients(fleet, 100)
    assert all(opened_since(fleet, 0).values())
    fleet.evacuate(20, ("b",))
    # Offers that an agent has accepted shortly before are on their way.
    fleet.run(5)
    evacuated_ms = fleet.clock.now_ms()
    open_clients(fleet, 300)
    fleet.run(1_000)
    counts = opened_since(fleet, evacuated_ms)
    assert not counts["b"]
    assert counts["a"] + counts["c"] == 300
    fleet.evacuate(30, ())
    returned_ms = fleet.clock.now_ms()
    open_clients(fleet, 100)
    fleet.run(1_000)
    assert opened_since(fleet, returned_ms)["b"]
    assert outcomes(fleet) == {_packet_fleet.RequestOutcome.ANSWERED}


def test_open_flows_stay_in_an_evacuated_zone() -> None:
    """Guards against resets of open flows by an evacuation."""
    fleet = make_fleet(long_lived=True)
    clients = open_clients(fleet, 60)
    fleet.run(1_000)
    fleet.evacuate(20, ("a", "b"))
    open_clients(fleet, 20)
    fleet.results.clear()
    for client in clients:
        client.request()
        fleet.run(20)
    fleet.run(2_000)
    assert outcomes(fleet) == {_packet_fleet.RequestOutcome.ANSWERED}
    assert not fleet.broken_flows


def test_one_informed_balancer_is_enough() -> None:
    """Guards against flows of balancers that the store rejects.

    Two of three balancers keep sending the earlier view.
    """
    fleet = make_fleet()
    fleet.evacuate(20, ("b",), fleet.balancers[:1])
    open_clients(fleet, 150)
    fleet.run(100)
    informed_ms = fleet.clock.now_ms()
    open_clients(fleet, 200)
    fleet.run(1_000)
    counts = opened_since(fleet, informed_ms)
    assert not counts["b"]
    assert counts["a"] + counts["c"] == 200


def offer(
    fleet: _packet_fleet.PacketFleet,
    agent: _packet_fleet.AgentNode,
    view: flows.EvacuationView | None,
) -> list[flows.Action]:
    """Offers a new flow to an agent; returns what the agent does."""
    forward = flows.Forward(
        flows.Handling.PLACE,
        _packet_fleet.SERVICE,
        fleet.balancers[0].address,
        fleet.agents[0].address,
        1,
        False,
        True,
        b"new",
        evacuation=view,
    )
    opening = flows.Packet(fleet.client().flow, b"new", opens=True, seq=1)
    return agent.flows.receive(fleet.agents[0].address, forward, opening)


def declines(actions: list[flows.Action]) -> list[flows.DeclineReason]:
    return [
        item.message.reason
        for item in actions
        if isinstance(item, flows.Send)
        and isinstance(item.message, flows.PlacementDeclined)
    ]


def test_agent_that_starts_in_the_middle_takes_no_flows() -> None:
    """Guards against an agent that has lost the view with its process.

    All balancers but one are uninformed; the first offer brings the view.
    """
    fleet = make_fleet()
    fleet.evacuate(20, ("b",), fleet.balancers[:1])
    open_clients(fleet, 100)
    restarted_ms = fleet.clock.now_ms()
    agent = fleet.agents[1]
    agent.start()
    fleet.publish_registry()
    agent.report(flows.TargetState.READY, 2)
    view = fleet.agents[0].flows.evacuation.view
    assert declines(offer(fleet, agent, view)) == [
        flows.DeclineReason.EVACUATED
    ]
    open_clients(fleet, 100)
    fleet.run(1_000)
    assert not opened_since(fleet, restarted_ms)["b"]


def test_offers_that_waited_during_a_pause_are_declined() -> None:
    """Guards against flows that reach a zone evacuated during a freeze.

    The offers wait in the socket of the paused agent, in front of the packets
    that carry the new view.
    """
    fleet = make_fleet()
    open_clients(fleet, 60)
    paused = [agent for agent in fleet.agents if agent.zone() == "b"]
    for agent in paused:
        agent.pause()
    open_clients(fleet, 60)
    fleet.run(100)
    waiting = [
        message
        for agent in paused
        for _, message in agent.backlog or ()
        if isinstance(message, flows.Forward)
        and message.handling is flows.Handling.PLACE
    ]
    assert waiting
    fleet.evacuate(20, ("b",))
    fleet.run(5_500)
    resumed_ms = fleet.clock.now_ms()
    for agent in paused:
        agent.resume()
    fleet.run(500)
    assert not opened_since(fleet, resumed_ms - 1)["b"]


def test_paused_agent_takes_new_flows_again() -> None:
    """Guards against an agent that declines for good after a freeze."""
    fleet = make_fleet()
    open_clients(fleet, 60)
    agent = fleet.agents[1]
    agent.pause()
    fleet.run(3_000)
    agent.resume()
    fleet.run(2_000)
    resumed_ms = fleet.clock.now_ms()
    open_clients(fleet, 200)
    assert [at_ms for at_ms, _ in fleet.targets[1].opened if at_ms > resumed_ms]


def test_flow_is_refused_at_once_if_all_zones_are_evacuated() -> None:
    """Guards against flows that wait for what cannot come."""
    fleet = make_fleet()
    fleet.evacuate(20, ZONES)
    open_clients(fleet, 50)
    fleet.run(20)
    assert outcomes(fleet) == {_packet_fleet.RequestOutcome.REFUSED}
    assert len(fleet.results) == 50
    assert max(result.duration_ms for result in fleet.results) < 20
    assert not any(opened_since(fleet, 0).values())


def test_flow_waits_for_room_outside_the_evacuated_zone() -> None:
    """Guards against refusals while a backend server elsewhere is busy."""
    specs = [
        _packet_fleet.TargetSpec(1, service_ms=120, zone=zone) for zone in "ab"
    ]
    fleet = make_fleet(specs=specs)
    fleet.evacuate(20, ("a",))
    open_clients(fleet, 7)
    fleet.run(2_000)
    assert not opened_since(fleet, 0)["a"]
    assert outcomes(fleet) == {_packet_fleet.RequestOutcome.ANSWERED}


def test_offers_of_the_earlier_release_are_declined() -> None:
    """Guards against a directory agent that does not know of evacuations.

    It sends no view and offers flows to all zones; the decline reaches it as
    BUSY.
    """
    fleet = make_fleet()
    fleet.evacuate(20, ("b",))
    open_clients(fleet, 100)
    actions = offer(fleet, fleet.agents[1], None)
    assert declines(actions) == [flows.DeclineReason.EVACUATED]
    assert len(actions) == 1


def test_uninformed_directory_agent_learns_from_a_decline() -> None:
    """Guards against repeated offers to a zone that declines.

    The directory agent has seen no view, and the only agents are evacuated.
    """
    fleet = make_fleet(specs=SPECS[1:2])
    (agent,) = fleet.agents
    view = flows.EvacuationView(0, 20, ("b",))
    agent.flows.forwarder._evacuation = flows.Evacuations(fleet.clock)
    agent.flows.forwarder._evacuation.learn(view, "test")
    open_clients(fleet, 1)
    fleet.run(20)
    (result,) = fleet.results
    assert result.outcome is _packet_fleet.RequestOutcome.REFUSED


def test_older_view_changes_nothing() -> None:
    """Guards against an evacuation that ends by a late packet."""
    evacuations = flows.Evacuations(core.ManualClock(1_000_000))
    evacuations.learn(flows.EvacuationView(0, 20, ("b",)), "store")
    assert not evacuations.learn(flows.EvacuationView(0, 19, ()), "late")
    assert not evacuations.learn(flows.EvacuationView(0, 20, ()), "late")
    assert not evacuations.learn(None, "earlier release")
    assert evacuations.zones == ("b",)
