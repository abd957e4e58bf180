"""Simulated flows with production decision code, changes and failures."""

import pytest

from fireflyford import flows
from fireflyford.lab import _packet_fleet

SPECS = [_packet_fleet.TargetSpec() for _ in range(7)]
# Without queueing, a request takes two round trips to the balancer and 30 ms of
# service time.
IDLE_RESPONSE_MS = 60


def open_clients(
    fleet: _packet_fleet.PacketFleet, count: int, gap_ms: int = 20
) -> list[_packet_fleet.Client]:
    clients = []
    for _ in range(count):
        client = fleet.client()
        client.open()
        clients.append(client)
        fleet.run(gap_ms)
    fleet.run(100)
    return clients


def request_on_all(
    fleet: _packet_fleet.PacketFleet,
    clients: list[_packet_fleet.Client],
    gap_ms: int = 20,
) -> None:
    fleet.results.clear()
    for client in clients:
        # A client whose flow was reset would open a new flow instead.
        if not client.is_ended:
            client.request()
            fleet.run(gap_ms)
    fleet.run(3_000)


def outcomes(
    fleet: _packet_fleet.PacketFleet,
) -> set[_packet_fleet.RequestOutcome]:
    return {result.outcome for result in fleet.results}


@pytest.mark.parametrize("seed", range(3))
def test_fleet_without_faults_answers_all_requests_in_time(seed: int) -> None:
    """Guards against unnecessary hops, waits and retransmissions."""
    fleet = _packet_fleet.PacketFleet(seed, SPECS)
    open_clients(fleet, 100)
    assert fleet.answered_share(IDLE_RESPONSE_MS) == 1.0


def test_undiscovered_agent_causes_no_duplicate_requests() -> None:
    """Guards against duplicates from balancers that lack a new agent."""
    fleet = _packet_fleet.PacketFleet(1, SPECS)
    undiscovered = fleet.agents[0].address
    for balancer in fleet.balancers:
        balancer.view.replace_entries(
            node.instance
            for node in (*fleet.agents, *fleet.balancers)
            if node.address != undiscovered
        )
    open_clients(fleet, 30)
    assert outcomes(fleet) == {_packet_fleet.RequestOutcome.ANSWERED}
    delivered = [target.request_counts for target in fleet.targets]
    assert delivered[0]
    assert all(set(counts.values()) <= {1} for counts in delivered)


@pytest.mark.parametrize("seed", range(3))
def test_open_flows_survive_removal_of_balancer_from_rotation(
    seed: int,
) -> None:
    """Guards against flows that depend on the balancer that opened them."""
    fleet = _packet_fleet.PacketFleet(seed, SPECS, 4, long_lived=True)
    clients = open_clients(fleet, 80)
    fleet.rotation = fleet.balancers[1:]
    request_on_all(fleet, clients)
    assert fleet.broken_flows == []
    assert fleet.answered_share(IDLE_RESPONSE_MS) == 1.0


@pytest.mark.parametrize("seed", range(3))
def test_open_flows_survive_restarts_of_agents_and_balancers(seed: int) -> None:
    """Guards against state that is lost when an agent restarts."""
    fleet = _packet_fleet.PacketFleet(seed, SPECS, long_lived=True)
    clients = open_clients(fleet, 80)
    for agent in fleet.agents[:3]:
        agent.up = False
        fleet.run(300)
        agent.start()
        fleet.publish_registry()
        agent.report(flows.TargetState.READY, 2)
    for balancer in fleet.balancers:
        balancer.start()
    fleet.publish_registry()
    fleet.run(400)
    request_on_all(fleet, clients)
    assert fleet.broken_flows == []
    assert outcomes(fleet) == {_packet_fleet.RequestOutcome.ANSWERED}


def test_open_flows_survive_simultaneous_restart_of_all_processes() -> None:
    """Guards against restarted agents that reset flows of their servers."""
    fleet = _packet_fleet.PacketFleet(1, SPECS, long_lived=True)
    clients = open_clients(fleet, 80)
    for node in (*fleet.agents, *fleet.balancers):
        node.start()
    fleet.publish_registry()
    for agent in fleet.agents:
        agent.report(flows.TargetState.READY, 2)
    fleet.run(400)
    request_on_all(fleet, clients)
    assert fleet.broken_flows == []
    assert outcomes(fleet) == {_packet_fleet.RequestOutcome.ANSWERED}


def test_flows_of_crashed_target_are_reset_immediately() -> None:
    """Guards against clients that wait for a crashed backend server."""
    fleet = _packet_fleet.PacketFleet(2, SPECS, long_lived=True)
    clients = open_clients(fleet, 80)
    fleet.targets[0].crash()
    request_on_all(fleet, clients)
    assert fleet.broken_flows == []
    failed = [
        result
        for result in fleet.results
        if result.outcome is not _packet_fleet.RequestOutcome.ANSWERED
    ]
    assert len([client for client in clients if client.is_ended]) >= 5
    for result in failed:
        assert result.outcome is _packet_fleet.RequestOutcome.RESET
        assert result.duration_ms <= 50


def test_failed_machine_causes_no_timeouts_after_registry_removal() -> None:
    """Guards against flows that wait for a machine that lost power."""
    fleet = _packet_fleet.PacketFleet(3, SPECS, long_lived=True)
    clients = open_clients(fleet, 80)
    fleet.targets[0].crash()
    fleet.agents[0].up = False
    fleet.run(4_000)
    fleet.publish_registry()
    fleet.run(1_000)
    request_on_all(fleet, clients)
    for result in fleet.results:
        assert result.outcome in (
            _packet_fleet.RequestOutcome.ANSWERED,
            _packet_fleet.RequestOutcome.RESET,
        )
        assert result.duration_ms <= IDLE_RESPONSE_MS


def test_draining_target_gets_no_new_flows() -> None:
    """Guards against new flows from peers that do not yet know of a drain."""
    fleet = _packet_fleet.PacketFleet(4, SPECS)
    fleet.agents[2].report(flows.TargetState.DRAINING, 2)
    drained_ms = fleet.clock.now_ms()
    open_clients(fleet, 100, gap_ms=5)
    assert fleet.answered_share(2 * IDLE_RESPONSE_MS) == 1.0
    assert all(at_ms < drained_ms for at_ms, _ in fleet.targets[2].opened)


def test_reused_address_gets_no_flows_of_earlier_service() -> None:
    """Guards against routing that identifies a target by address alone."""
    fleet = _packet_fleet.PacketFleet(5, SPECS, long_lived=True)
    clients = open_clients(fleet, 80)
    agent = fleet.agents[1]
    fleet.targets[1].crash()
    other_spec = _packet_fleet.TargetSpec(service="sheets")
    fleet.targets[1].spec = other_spec
    fleet.targets[1].up = True
    # The balancers and the other agents do not know of the change yet.
    agent.start()
    agent.report(flows.TargetState.READY, 1)
    opened_count = len(fleet.targets[1].opened)
    request_on_all(fleet, clients)
    open_clients(fleet, 50)
    assert len(fleet.targets[1].opened) == opened_count
    assert fleet.broken_flows == []


def test_flows_of_earlier_service_survive_restart_of_all_balancers() -> None:
    """Guards against resets by balancers that know only the newest routes.

    No process that has applied the earlier version is left.
    """
    other_specs = [_packet_fleet.TargetSpec(service="sheets")] * 3
    fleet = _packet_fleet.PacketFleet(7, SPECS + other_specs, long_lived=True)
    clients = open_clients(fleet, 80)
    fleet.move_route("sheets")
    for balancer in fleet.balancers:
        balancer.start()
    fleet.publish_registry()
    request_on_all(fleet, clients)
    assert fleet.broken_flows == []
    assert outcomes(fleet) == {_packet_fleet.RequestOutcome.ANSWERED}


def test_unregistered_agent_keeps_open_flows() -> None:
    """Guards against resets by directory agents that use only the registry."""
    fleet = _packet_fleet.PacketFleet(6, SPECS, long_lived=True)
    clients = open_clients(fleet, 80)
    fleet.unregistered.add(fleet.agents[0].address)
    fleet.publish_registry()
    fleet.run(6_000)
    for balancer in fleet.balancers:
        balancer.start()
    fleet.publish_registry()
    request_on_all(fleet, clients)
    assert fleet.broken_flows == []
    assert outcomes(fleet) == {_packet_fleet.RequestOutcome.ANSWERED}


def test_reconnect_burst_is_served_without_shedding() -> None:
    """Load: all clients of a two-second period reconnect at once.

    Guards against overload of the backend servers that become ready first,
    and against work for clients that have already given up.
    """
    fleet = _packet_fleet.PacketFleet(7, SPECS)
    clients = [fleet.client() for _ in range(350)]
    for client in clients:
        client.open()
    fleet.run(4_000)
    observed = [result.outcome for result in fleet.results]
    assert _packet_fleet.RequestOutcome.SHED not in observed
    # 350 requests of 30 ms on 14 slots take 750 ms.
    assert observed.count(_packet_fleet.RequestOutcome.ANSWERED) >= 0.6 * len(
        observed
    )
    assert _packet_fleet.RequestOutcome.TIMED_OUT not in observed
    since_ms = fleet.clock.now_ms()
    open_clients(fleet, 100)
    assert fleet.answered_share(IDLE_RESPONSE_MS, since_ms) == 1.0


@pytest.mark.parametrize("slot_count", [1, 2])
def test_reconnect_burst_is_served_with_stale_load_reports(
    slot_count: int,
) -> None:
    """Load: many clients reconnect at once, with load reports 2 s old.

    The control budget allows no more frequent reports with about 60 agents.
    Guards against flows that are queued or refused while backend servers are
    idle, because a stale report still counts requests that have completed.
    """
    results = []
    for interval_ms in (_packet_fleet.LOAD_INTERVAL_MS, 2_000):
        specs = [_packet_fleet.TargetSpec(slot_count=slot_count)] * 14
        fleet = _packet_fleet.PacketFleet(
            9, specs, load_interval_ms=interval_ms
        )
        # The work that the slots complete in about 320 ms.
        for _ in range(150 * slot_count):
            fleet.client().open()
        fleet.run(50)
        # 60 % of the capacity of the backend servers.
        open_clients(fleet, 800 * slot_count, 4 // slot_count)
        fleet.run(3_000)
        results.append(fleet)
    fresh, stale = results
    assert outcomes(stale) == {_packet_fleet.RequestOutcome.ANSWERED}
    limit_ms = 3 * IDLE_RESPONSE_MS
    assert stale.answered_share(limit_ms) >= 0.9 * fresh.answered_share(
        limit_ms
    )


def test_first_packets_lost_during_agent_outage_are_retransmitted() -> None:
    """Load: requests that arrive at the end of an outage of all agents.

    Guards against first packets that only a retransmission by the client
    delivers.
    """
    fleet = _packet_fleet.PacketFleet(8, SPECS)
    for agent in fleet.agents:
        agent.up = False
    clients = [fleet.client() for _ in range(20)]
    for client in clients:
        client.open()
    fleet.run(120)
    for agent in fleet.agents:
        agent.start()
        agent.report(flows.TargetState.READY, 2)
    fleet.publish_registry()
    for agent in fleet.agents:
        agent.flows.directory.record_load(
            agent.address, agent.flows.forwarder.load()
        )
    fleet.run(2_000)
    assert fleet.answered_share(OUTAGE_RESPONSE_LIMIT_MS) == 1.0


# The outage of 120 ms, one retransmission after at most 240 ms, the service
# time and the wait for a slot. The client's own retransmission would come
# 600 ms after its first packet.
OUTAGE_RESPONSE_LIMIT_MS = 450


@pytest.mark.parametrize("seed", range(3))
def test_earliest_completion_beats_random_placement_under_high_load(
    seed: int,
) -> None:
    """Load: 70 % of capacity; service times differ by a factor of 2.4.

    The baseline is random placement that ignores load, under the same load.
    """
    service_times_ms = (18, 43, 43, 18, 43, 43, 43)
    specs = [
        _packet_fleet.TargetSpec(service_ms=item) for item in service_times_ms
    ]
    answered_shares = []
    for random_placement in (False, True):
        fleet = _packet_fleet.PacketFleet(seed, specs)
        if random_placement:
            policy = flows.Random(fleet.rng)
            fleet.make_placement = lambda _, policy=policy: policy
            for agent in fleet.agents:
                agent.start()
            fleet.publish_registry()
            for agent in fleet.agents:
                agent.report(flows.TargetState.READY, 2)
            fleet.run(200)
        for _ in range(1_500):
            fleet.client().open()
            gap_ms = fleet.rng.expovariate(1 / 3.2)
            fleet.run(max(1, round(gap_ms)))
        fleet.run(3_000)
        answered_shares.append(fleet.answered_share(100))
    assert answered_shares[0] >= 0.95
    # At most half as many late responses as the baseline.
    assert 1 - answered_shares[0] <= (1 - answered_shares[1]) / 2


def test_open_flow_costs_one_message_for_each_hop() -> None:
    """Guards against safeguards that ask more instances for every packet.

    A balancer that knows the flow sends one message to the holder. One that
    does not sends it by the directory agent, and the holder notifies it.
    """
    specs = [*SPECS, _packet_fleet.TargetSpec(service="sheets")]
    fleet = _packet_fleet.PacketFleet(9, specs, long_lived=True)
    clients = open_clients(fleet, 40)
    for hop_count in (1, 3):
        before_count = fleet.flow_message_count
        request_on_all(fleet, clients)
        added_count = fleet.flow_message_count - before_count
        assert added_count <= hop_count * len(clients)
        for balancer in fleet.balancers:
            balancer.start()
        fleet.publish_registry()
