"""Silent agents in simulated fleets with production decision code."""

import pytest

from fireflyford import core
from fireflyford import flows
from fireflyford.lab import _packet_fleet

# A client that is reset within this time can still repeat its request.
LIMIT_MS = 1_400
RESET = _packet_fleet.RequestOutcome.RESET
ANSWERED = _packet_fleet.RequestOutcome.ANSWERED


def make_fleet(
    flow_count: int = 70, agent_count: int = 7
) -> tuple[_packet_fleet.PacketFleet, list[_packet_fleet.Client]]:
    """Returns a fleet with open flows of repeatable requests."""
    specs = [
        _packet_fleet.TargetSpec(queue_count=40) for _ in range(agent_count)
    ]
    fleet = _packet_fleet.PacketFleet(1, specs, long_lived=True)
    clients = []
    for _ in range(flow_count):
        client = fleet.client()
        client.open()
        clients.append(client)
        fleet.run(20)
    fleet.run(2_500)
    fleet.results.clear()
    return fleet, clients


def request(
    fleet: _packet_fleet.PacketFleet,
    clients: list[_packet_fleet.Client],
    gap_ms: int = 10,
) -> None:
    for client in clients:
        client.request(deadline_ms=LIMIT_MS)
        fleet.run(gap_ms)


def clients_of(
    fleet: _packet_fleet.PacketFleet,
    clients: list[_packet_fleet.Client],
    agent: _packet_fleet.AgentNode,
) -> list[_packet_fleet.Client]:
    return [
        client
        for client in clients
        if fleet.holder(client.flow) is agent.target
    ]


def forget_holders(
    fleet: _packet_fleet.PacketFleet,
    agents: list[_packet_fleet.AgentNode],
) -> None:
    """Makes balancers and directory agents search each flow."""
    for balancer in fleet.balancers:
        balancer.start()
        balancer.view.replace_entries(
            node.instance for node in (*fleet.agents, *fleet.balancers)
        )
    for agent in agents:
        agent.flows.directory._entries.clear()


def test_lost_flows_are_reset_in_time_if_one_agent_is_gone() -> None:
    """Guards against searches that wait for the entry of a gone agent."""
    fleet, clients = make_fleet(120, 12)
    fleet.cut_power(fleet.agents[0])
    started_ms = fleet.clock.now_ms()
    request(fleet, clients)
    fleet.run(3_000)
    assert {result.outcome for result in fleet.results} == {RESET}
    durations = sorted(result.duration_ms for result in fleet.results)
    assert durations[len(durations) // 2] <= 250
    assert durations[-1] <= 800
    last_ms = max(result.ended_ms for result in fleet.results)
    assert last_ms - started_ms <= 1_500


@pytest.mark.parametrize("is_told", [True, False])
def test_planned_restart_during_searches_resets_nothing(is_told: bool) -> None:
    """Guards against resets while the next process of an agent starts.

    Agents that start in between have missed the announcement.
    """
    fleet, clients = make_fleet()
    stopped = fleet.agents[0]
    stopped.announce_restart()
    fleet.run(5)
    stopped.up = False
    if is_told:
        forget_holders(fleet, fleet.agents[1:])
        for balancer in fleet.balancers:
            balancer.run(
                balancer.flows.handle_message(
                    fleet.agents[1].address,
                    flows.PlannedRestart(
                        stopped.address, stopped.instance.incarnation
                    ),
                )
            )
    else:
        forget_holders(fleet, [])
        for agent in fleet.agents[1:]:
            agent.start()
            agent.view.replace_entries(
                node.instance for node in (*fleet.agents, *fleet.balancers)
            )
            agent.report(flows.TargetState.READY, 2)
    affected = clients_of(fleet, clients, stopped)
    assert len(affected) >= 5
    request(fleet, affected)
    fleet.run(1_350)
    stopped.start()
    fleet.publish_registry()
    stopped.report(flows.TargetState.READY, 2)
    fleet.run(3_000)
    assert fleet.broken_flows == []
    assert not any(result.outcome is RESET for result in fleet.results)


def test_frozen_directory_agent_resets_nothing_when_it_wakes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a process that takes its own pause for others' silence."""
    fleet, clients = make_fleet()
    holder = fleet.agents[0]
    affected = clients_of(fleet, clients, holder)
    directory_agents = {
        holder.view.directory_agents(_packet_fleet.SERVICE, client.flow, 1)[0]
        for client in affected
    }
    frozen = next(
        agent for agent in fleet.agents[1:] if agent.address in directory_agents
    )
    links = {
        (frozen.address, holder.address),
        (holder.address, frozen.address),
    }
    fleet.cut_links |= links
    forget_holders(fleet, fleet.agents)
    for client in affected:
        client.request(deadline_ms=LIMIT_MS)
    fleet.run(400)
    assert frozen.flows.directory.has_timeouts()
    fleet.cut_links -= links
    frozen.up = False
    # It wakes between two load reports of the holder.
    fleet.run(515)
    frozen.up = True
    not_found = []
    perform = fleet.perform

    def record(sender: core.Address, action: flows.Action) -> None:
        if isinstance(action, flows.Send) and isinstance(
            action.message, flows.FlowNotFound
        ):
            not_found.append(action)
        perform(sender, action)

    monkeypatch.setattr(fleet, "perform", record)
    fleet.run(3_000)
    assert not_found == []
    assert fleet.broken_flows == []
    assert not any(result.outcome is RESET for result in fleet.results)


def test_directory_agent_that_is_cut_off_resets_nothing() -> None:
    """Guards against a judgement of most agents by one that sees few."""
    fleet, clients = make_fleet()
    asker = fleet.agents[0]
    hidden = fleet.agents[3:]
    for agent in hidden:
        fleet.cut_links.add((agent.address, asker.address))
        fleet.cut_links.add((asker.address, agent.address))
    forget_holders(fleet, fleet.agents)
    # The hidden agents rightly miss the asker, so its own flows are left out.
    own = clients_of(fleet, clients, asker)
    request(fleet, [item for item in clients if item not in own], 40)
    fleet.run(1_500)
    assert fleet.broken_flows == []
    assert not any(result.outcome is RESET for result in fleet.results)


def test_client_of_dark_holder_is_reset_at_its_second_repetition() -> None:
    """Guards against requests that wait for a dark machine to their limit."""
    fleet, clients = make_fleet()
    dark = fleet.agents[0]
    affected = clients_of(fleet, clients, dark)
    dark.up = False
    dark.target.up = False
    fleet.run(1_500)
    request(fleet, clients)
    fleet.run(2_000)
    durations = [
        result.duration_ms
        for result in fleet.results
        if result.outcome is RESET
    ]
    assert len(durations) == len(affected)
    assert min(durations) >= 600
    assert max(durations) <= 700
    answered = [item.outcome is ANSWERED for item in fleet.results]
    assert sum(answered) == len(clients) - len(affected)


def test_client_of_slow_holder_is_not_reset() -> None:
    """Guards against resets by balancers because of slow answers."""
    fleet, clients = make_fleet()
    for target in fleet.targets:
        target.spec = _packet_fleet.TargetSpec(queue_count=40, service_ms=5_000)
    request(fleet, clients)
    fleet.run(4_000)
    assert fleet.broken_flows == []
    assert not any(result.outcome is RESET for result in fleet.results)


def test_agent_that_appears_during_a_search_is_asked() -> None:
    """Guards against a reset while the holder has not been discovered yet."""
    fleet, clients = make_fleet()
    holder, silent = fleet.agents[:2]
    affected = clients_of(fleet, clients, holder)
    silent.up = False
    forget_holders(fleet, fleet.agents)
    instances = [node.instance for node in (*fleet.agents, *fleet.balancers)]
    for agent in fleet.agents[2:]:
        # Load reports and registry have not shown the holder yet.
        fleet.cut_links.add((holder.address, agent.address))
        agent.view = flows.Fleet(fleet.clock)
        agent.create_logic()
        agent.view.replace_entries(
            item for item in instances if item != holder.instance
        )
        agent.report(flows.TargetState.READY, 2)
        agent.flows.responsiveness.is_after_crash = True
    fleet.run(400)
    request(fleet, affected, 1)
    fleet.run(400)
    fleet.cut_links.clear()
    for agent in fleet.agents[2:]:
        agent.view.replace_entries(instances)
    fleet.run(3_000)
    assert fleet.broken_flows == []
