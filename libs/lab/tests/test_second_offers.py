"""Second offers of new flows in the simulated fleet."""

import dataclasses
import random

import pytest

from fireflyford import core
from fireflyford import flows
from fireflyford.lab import _load
from fireflyford.lab import _packet_fleet

SPECS = [_packet_fleet.TargetSpec() for _ in range(7)]
# Time limit below an attempt to open a flow plus the objective.
TERMS = flows.RouteTerms(1, 370, 1_617, True, 0.0)
SLOW_RATIO = 0.03
# Within the time-out of an offer (70 ms), which a second offer precedes.
SLOW_MS = 60


def play(
    seed: int, limit_ratio: float, flow_count: int = 1_500
) -> _packet_fleet.PacketFleet:
    """Opens flows while a few offers reach their agent late."""
    fleet = _packet_fleet.PacketFleet(seed, SPECS)
    route = fleet.table.routes[_packet_fleet.ROUTE_ADDRESS]
    table = flows.make_route_table(2, [dataclasses.replace(route, terms=TERMS)])
    for balancer in fleet.balancers:
        balancer.flows.apply(table)
    rng = random.Random(seed)
    for agent in fleet.agents:
        agent.flows.directory.second_offers.limit_ratio = limit_ratio
        delay_offers(fleet, agent, rng)
    clients = []
    for _ in range(flow_count):
        client = fleet.client()
        client.open()
        clients.append(client)
        fleet.run(20)
    fleet.run(3_000)
    return fleet


def delay_offers(
    fleet: _packet_fleet.PacketFleet,
    agent: _packet_fleet.AgentNode,
    rng: random.Random,
) -> None:
    """Delays a fraction of the offers to an agent."""
    receive = agent.receive

    def receive_slowly(sender: core.Address, message: flows.Message) -> None:
        is_offer = (
            isinstance(message, flows.Forward)
            and message.handling is flows.Handling.PLACE
        )
        if is_offer and rng.random() < SLOW_RATIO:
            fleet.call_later(SLOW_MS, lambda: receive(sender, message))
        else:
            receive(sender, message)

    agent.receive = receive_slowly  # type: ignore[method-assign]


def quantile_ms(fleet: _packet_fleet.PacketFleet, ratio: float) -> float:
    # Delays are measured in the first third.
    late = sorted(fleet.results, key=lambda item: item.started_ms)[500:]
    return _load.percentile([float(item.duration_ms) for item in late], ratio)


@pytest.mark.parametrize("seed", [1, 2])
def test_second_offers_cut_slow_openings(seed: int) -> None:
    """Guards against second offers that break flows or gain nothing."""
    base, fleet = play(seed, 0.0), play(seed, 0.05)
    counts = [
        agent.flows.directory.second_offers.second_count
        for agent in fleet.agents
    ]
    assert 0 < sum(counts) <= 0.05 * 1_500
    assert quantile_ms(fleet, 0.99) < quantile_ms(base, 0.99) - 20
    assert {item.outcome for item in fleet.results} == {
        _packet_fleet.RequestOutcome.ANSWERED
    }
    assert not fleet.broken_flows
    # Each request has reached one backend server.
    runs = [key for target in fleet.targets for key in target.request_counts]
    assert len(runs) == len(set(runs)) == 1_500
