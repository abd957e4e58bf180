"""One-way paths between zones in simulated fleets with production code."""

from fireflyford.lab import _packet_fleet

ZONES = ("a", "b", "c")
# Time limit of the attempts of a client.
LIMIT_MS = 1_400
# Load reports of some 45 agents of a service; keepalives are as frequent.
REPORT_INTERVAL_MS = 1_500
# Time until a path that is lost must have been noticed, and one that is back.
NOTICE_MS = 2_000
RECOVERY_MS = 1_000
ANSWERED = _packet_fleet.RequestOutcome.ANSWERED
RESET = _packet_fleet.RequestOutcome.RESET


def make_fleet(long_lived: bool = False) -> _packet_fleet.PacketFleet:
    """Returns a fleet of 36 agents and 9 balancers in 3 zones."""
    specs = [
        _packet_fleet.TargetSpec(queue_count=40, service_ms=200, zone=zone)
        for zone in ZONES * 12
    ]
    fleet = _packet_fleet.PacketFleet(
        1,
        specs,
        balancer_count=9,
        long_lived=long_lived,
        load_interval_ms=REPORT_INTERVAL_MS,
        balancer_zones=ZONES,
        in_step=False,
    )
    for node in (*fleet.agents, *fleet.balancers):
        node.view.silence_limit_ms = 2 * REPORT_INTERVAL_MS
        node.flows.zone_paths.report_interval_ms = REPORT_INTERVAL_MS
    return fleet


def serve(
    fleet: _packet_fleet.PacketFleet, duration_ms: int, zone: str = "b"
) -> float:
    """Returns the share of new requests of a zone that are served in time."""
    since_ms = fleet.clock.now_ms()
    for _ in range(duration_ms // 5):
        fleet.client(zone=zone).open(LIMIT_MS)
        fleet.run(5)
    fleet.run(LIMIT_MS)
    return fleet.answered_share(LIMIT_MS, since_ms)


def agents_in(
    fleet: _packet_fleet.PacketFleet, zone: str
) -> list[_packet_fleet.AgentNode]:
    return [node for node in fleet.agents if node.zone() == zone]


def open_flows(
    fleet: _packet_fleet.PacketFleet, count: int
) -> list[_packet_fleet.Client]:
    clients = [fleet.client(zone="b") for _ in range(count)]
    for client in clients:
        client.open()
        fleet.run(40)
    fleet.run(2_500)
    fleet.results.clear()
    return clients


def unheard(fleet: _packet_fleet.PacketFleet) -> set[tuple[str, str]]:
    """Returns the zones of processes that miss a zone, with that zone."""
    return {
        (node.zone(), zone)
        for node in (*fleet.agents, *fleet.balancers)
        for zone in node.flows.zone_paths.unheard_zones()
        if node.up
    }


def test_new_flows_avoid_a_path_that_is_lost() -> None:
    """Guards against flows placed where the client's data does not arrive."""
    fleet = make_fleet()
    fleet.run(4_000)
    assert serve(fleet, 1_000) == 1.0
    fleet.cut_path("b", "c")
    serve(fleet, 1_000)
    assert unheard(fleet) == {("c", "b")}
    assert serve(fleet, 4_000) == 1.0
    assert serve(fleet, 500, "a") == serve(fleet, 500, "c") == 1.0


def test_flows_behind_a_lost_path_are_reset_in_time() -> None:
    """Guards against long-lived flows that stay silent for seconds."""
    fleet = make_fleet(long_lived=True)
    fleet.run(4_000)
    clients = open_flows(fleet, 240)
    cut_off = {
        client.flow
        for client in clients
        if fleet.holder(client.flow)
        in [n.target for n in agents_in(fleet, "c")]
    }
    assert len(cut_off) > 20
    fleet.cut_path("b", "c")
    fleet.run(NOTICE_MS)
    for client in clients:
        client.request(LIMIT_MS)
        fleet.run(10)
    fleet.run(LIMIT_MS)
    resets = [item for item in fleet.results if item.outcome is RESET]
    assert {item.flow for item in resets} == cut_off
    assert min(item.duration_ms for item in resets) >= 600
    assert max(item.duration_ms for item in resets) <= 700
    assert serve(fleet, 500) == 1.0


def test_everything_is_normal_soon_after_the_path_is_back() -> None:
    """Guards against instances that stay avoided after a fault."""
    fleet = make_fleet()
    fleet.run(4_000)
    fleet.cut_path("b", "c")
    fleet.run(5_000)
    assert unheard(fleet) == {("c", "b")}
    fleet.cut_links.clear()
    fleet.run(RECOVERY_MS)
    assert not unheard(fleet)
    for node in (*fleet.agents, *fleet.balancers):
        assert not node.flows.zone_paths.unreachable_count()


def test_a_paused_agent_declines_and_resets_nothing() -> None:
    """Guards against a process that takes its own pause for a lost path."""
    fleet = make_fleet(long_lived=True)
    fleet.run(4_000)
    clients = open_flows(fleet, 60)
    paused = agents_in(fleet, "c")
    for agent in paused:
        agent.pause()
    fleet.run(1_500)
    for agent in paused:
        agent.resume()
    for client in clients:
        client.request(LIMIT_MS)
        fleet.run(10)
        assert not any(zone == "c" for zone, _ in unheard(fleet))
    fleet.run(LIMIT_MS)
    assert not fleet.broken_flows
    assert not [item for item in fleet.results if item.outcome is RESET]


def test_a_zone_that_is_gone_costs_no_more_than_before() -> None:
    """Guards against reports or avoidance that hurt the other zones."""
    fleet = make_fleet()
    fleet.run(4_000)
    for zone in ("a", "b"):
        fleet.cut_path("c", zone)
        fleet.cut_path(zone, "c")
    fleet.run(NOTICE_MS)
    assert serve(fleet, 2_000, "a") == serve(fleet, 2_000, "b") == 1.0
    # The zone that is cut off still serves its own clients.
    assert serve(fleet, 500, "c") >= 0.9


def test_instances_of_the_earlier_release_serve_as_before() -> None:
    """Guards against flows that need every instance to know the reports."""
    fleet = make_fleet()
    for node in (*fleet.agents[::4], *fleet.balancers[::4]):
        paths = node.flows.zone_paths
        paths.record_message = lambda sender: None  # type: ignore[method-assign]
        paths.record_report = (  # type: ignore[method-assign]
            lambda sender, report: None
        )
    fleet.run(4_000)
    assert serve(fleet, 1_000) == 1.0
    fleet.cut_path("b", "c")
    fleet.run(NOTICE_MS)
    assert serve(fleet, 2_000) >= 0.9
