"""Limit of new flows to cold backend servers, in virtual time."""

import pytest

from fireflyford import core
from fireflyford import flows
from fireflyford.flows import _placement
from fireflyford.flows import _warm_up
from fireflyford.lab import _packet_fleet

ZONES = ("a", "b", "c")
SPECS = [
    _packet_fleet.TargetSpec(service_ms=20, zone=ZONES[index % 3])
    for index in range(12)
]
RATE_PER_S = 5.0
OVERAGE = 1.2
SLACK = 2.0
# floor(5 x 1.2 + 2).
ALLOWANCE = 8
WARMUP_MS = 2_000
REPORT_INTERVAL_MS = 1_200
TERMS = flows.RouteTerms(limit_ms=2_000, warmup_per_s=RATE_PER_S)


def make_fleet(
    seed: int = 1, specs: list[_packet_fleet.TargetSpec] = SPECS
) -> _packet_fleet.PacketFleet:
    fleet = _packet_fleet.PacketFleet(
        seed,
        specs,
        load_interval_ms=300,
        terms=TERMS,
        warmup_overage=OVERAGE,
        warmup_slack=SLACK,
    )
    fleet.evacuate(10, ())
    # The first opening packets bring rate and view; a report follows them.
    open_clients(fleet, 30, 10)
    fleet.run(1_200)
    for agent in fleet.agents:
        agent.report(flows.TargetState.READY, 2)
    fleet.run(1_200)
    assert not any(load(agent).warmup_left_ms for agent in fleet.agents)
    fleet.results.clear()
    return fleet


def load(agent: _packet_fleet.AgentNode) -> flows.Load:
    return agent.flows.forwarder.load()


def open_clients(
    fleet: _packet_fleet.PacketFleet, count: int, gap_ms: int
) -> None:
    for _ in range(count):
        fleet.client().open()
        fleet.run(gap_ms)


def most_in_a_second(times_ms: list[int]) -> int:
    """Returns the largest number of times within any closed second."""
    return max(
        (
            sum(start_ms <= at_ms <= start_ms + 1_000 for at_ms in times_ms)
            for start_ms in times_ms
        ),
        default=0,
    )


def opened(target: _packet_fleet.Target, since_ms: int) -> list[int]:
    return [at_ms for at_ms, _ in target.opened if at_ms >= since_ms]


def schedule_reports(
    fleet: _packet_fleet.PacketFleet,
    agent: _packet_fleet.AgentNode,
    offset_ms: int,
) -> None:
    """Lets a backend server that becomes cold now report its remaining time."""
    for number in range(4):
        delay_ms = offset_ms + number * REPORT_INTERVAL_MS

        def report(number: int = number, delay_ms: int = delay_ms) -> None:
            left_ms = max(0, WARMUP_MS - delay_ms)
            agent.report(flows.TargetState.READY, 3 + number, left_ms)

        fleet.call_later(delay_ms, report)


@pytest.mark.parametrize("seed", range(3))
def test_zone_that_returns_cold_is_bounded_under_a_burst(seed: int) -> None:
    """Load: 250 new flows a second when four of twelve servers return cold.

    Guards against directory agents that together send more than the bound,
    and against flows that are lost because of it: the other zones have room.
    """
    fleet = make_fleet(seed)
    fleet.evacuate(20, ("b",))
    open_clients(fleet, 50, 10)
    fleet.evacuate(30, ())
    returned_ms = fleet.clock.now_ms()
    cold = [agent for agent in fleet.agents if agent.zone() == "b"]
    for index, agent in enumerate(cold):
        # Until its next report, the agent does not know what is left.
        schedule_reports(fleet, agent, 150 + index * 300)
    open_clients(fleet, 750, 4)
    warm_ms = returned_ms + WARMUP_MS
    for agent in cold:
        times_ms = opened(agent.target, returned_ms)
        while_cold = [at_ms for at_ms in times_ms if at_ms < warm_ms]
        assert most_in_a_second(while_cold) <= ALLOWANCE
        # Once warm, it takes its part again.
        assert opened(agent.target, warm_ms + 400)
    fleet.run(3_000)
    assert len(fleet.results) == 800
    answered = [
        item
        for item in fleet.results
        if item.outcome is _packet_fleet.RequestOutcome.ANSWERED
    ]
    assert len(answered) == 800


@pytest.mark.parametrize("seed", range(3))
def test_power_cut_of_all_zones_is_bounded(seed: int) -> None:
    """Load: 150 new flows a second after everything has started anew.

    Guards against more than the bound where no backend server is warm, and
    against servers that get less than the bound allows.
    """
    fleet = make_fleet(seed)
    for target in fleet.targets:
        target.crash()
    for agent in fleet.agents:
        agent.up = False
    fleet.run(500)
    started_ms = fleet.clock.now_ms()
    for index, agent in enumerate(fleet.agents):
        agent.target.up = True
        agent.start()
        schedule_reports(fleet, agent, 50 + index * 90)
    fleet.publish_registry()
    fleet.results.clear()
    open_clients(fleet, 600, 6)
    fleet.run(2_000)
    served_while_cold = 0
    for target in fleet.targets:
        times_ms = opened(target, started_ms)
        while_cold = [
            at_ms for at_ms in times_ms if at_ms < started_ms + WARMUP_MS
        ]
        served_while_cold += len(while_cold)
        assert most_in_a_second(while_cold) <= ALLOWANCE
    # All but the first second, which an earlier process may have used up.
    assert served_while_cold >= 0.8 * ALLOWANCE * len(fleet.targets)
    late = [
        item for item in fleet.results if item.started_ms > started_ms + 2_500
    ]
    assert late
    assert all(
        item.outcome is _packet_fleet.RequestOutcome.ANSWERED for item in late
    )


def make_limit(
    overage: float = OVERAGE, slack: float = SLACK
) -> tuple[_packet_fleet.EventClock, _warm_up.WarmUpLimit]:
    clock = _packet_fleet.EventClock(1_000_000)
    limit = _warm_up.WarmUpLimit(clock, overage, slack)
    limit.learn_rate(TERMS)
    return clock, limit


def deliver(limit: _warm_up.WarmUpLimit, count: int, start: int = 0) -> int:
    """Offers new flows; returns how many are delivered."""
    delivered_count = 0
    for number in range(start, start + count):
        flow = number.to_bytes(12, "big")
        if limit.allows(flow, 1):
            limit.record_delivery(flow, 1)
            delivered_count += 1
    return delivered_count


def test_restarted_agent_counts_what_its_predecessor_may_have_sent() -> None:
    """Guards against twice the allowance around a restart of the agent."""
    clock, limit = make_limit()
    limit.record_report(2 * WARMUP_MS)
    assert deliver(limit, 20) == 0
    clock.set(1_000_000 + _warm_up.WINDOW_MS)
    assert deliver(limit, 20) == ALLOWANCE
    clock.set(1_000_000 + 2 * _warm_up.WINDOW_MS - 1)
    assert deliver(limit, 20, 100) == 0


@pytest.mark.parametrize(
    ("left_ms", "started_ms", "delivered_count"),
    [
        (0, 999_000, 20),
        (WARMUP_MS, 999_000, 0),
        (WARMUP_MS, 1_000_050, ALLOWANCE),
        (WARMUP_MS, 1_000_010, 0),
        (WARMUP_MS, 1_000_200, 0),
    ],
)
def test_first_report_may_end_the_wait_of_a_restarted_agent(
    left_ms: int, started_ms: int, delivered_count: int
) -> None:
    """Guards against a second without service after a restart or power cut.

    A warm backend server needs no limit, and one that started after the agent
    got nothing from a predecessor. A start time that is still to come by the
    agent's clock does not count.
    """
    clock, limit = make_limit()
    assert deliver(limit, 20) == 0
    clock.set(1_000_100)
    limit.record_report(left_ms, started_ms)
    assert deliver(limit, 20) == delivered_count


def test_copies_count_once_and_pass() -> None:
    """Guards against an allowance used up by retransmissions."""
    clock, limit = make_limit()
    limit.record_report(0)
    clock.set(1_002_000)
    limit.record_report(WARMUP_MS)
    for _ in range(5):
        assert deliver(limit, ALLOWANCE) == ALLOWANCE
    assert deliver(limit, 1, 100) == 0


def test_flows_before_the_target_was_known_to_be_cold_count() -> None:
    """Guards against a restart that its agent learns from the next report."""
    clock, limit = make_limit()
    limit.record_report(0)
    clock.set(1_002_000)
    assert deliver(limit, 50) == 50
    clock.set(1_002_500)
    limit.assume_cold("test")
    assert deliver(limit, 50, 100) == 0
    clock.set(1_002_000 + _warm_up.WINDOW_MS)
    assert deliver(limit, 50, 200) == ALLOWANCE


def test_report_from_before_the_return_does_not_count() -> None:
    """Guards against a report that was on its way when the zone returned."""
    clock, limit = make_limit()
    limit.record_report(0)
    limit.assume_cold("test", _warm_up.REPORT_DELAY_MS)
    clock.set(1_000_050)
    limit.record_report(0)
    assert limit.is_cold
    clock.set(1_001_250)
    limit.record_report(0)
    assert not limit.is_cold


@pytest.mark.parametrize(
    ("overage", "slack", "rate_per_s"),
    [(0.0, 0.0, RATE_PER_S), (OVERAGE, SLACK, 0.0)],
)
def test_nothing_is_limited_without_setting_or_rate(
    overage: float, slack: float, rate_per_s: float
) -> None:
    """Guards against a limit in earlier deployments."""
    _, limit = make_limit(overage, slack)
    limit.learn_rate(flows.RouteTerms(warmup_per_s=rate_per_s))
    limit.record_report(WARMUP_MS)
    assert deliver(limit, 200) == 200
    assert limit.left_ms() == 0


def test_rate_holds_for_flows_of_the_earlier_release() -> None:
    """Guards against flows without terms that pass the limit."""
    clock, limit = make_limit()
    clock.set(1_002_000)
    limit.learn_rate(None)
    assert deliver(limit, 20) == ALLOWANCE
    clock.set(1_002_000 + _warm_up.RATE_RETENTION_MS)
    limit.learn_rate(None)
    assert deliver(limit, 20, 100) == 20


@pytest.mark.parametrize("has_port", [True, False])
def test_signs_of_a_restarted_target_make_it_cold(has_port: bool) -> None:
    """Guards against full use until the report of a restarted server.

    It has lost its flows, and its agent may meet a closed port.
    """
    fleet = make_fleet(specs=SPECS[:1])
    (agent,) = fleet.agents
    client = fleet.client()
    client.open()
    fleet.run(100)
    assert not load(agent).warmup_left_ms
    agent.target.initial_seqs.clear()
    agent.target.up = has_port
    client.request()
    fleet.run(20)
    assert load(agent).warmup_left_ms
    agent.report(flows.TargetState.READY, 9, 0)
    assert not load(agent).warmup_left_ms


def test_paused_agent_does_not_trust_waiting_reports() -> None:
    """Guards against a server that has restarted while its agent was frozen."""
    fleet = make_fleet(specs=SPECS[:2])
    agent = fleet.agents[0]
    agent.pause()
    fleet.run(3_000)
    agent.resume()
    fleet.run(40)
    agent.report(flows.TargetState.READY, 9, 0)
    assert load(agent).warmup_left_ms
    fleet.run(1_200)
    agent.report(flows.TargetState.READY, 10, 0)
    assert not load(agent).warmup_left_ms


def test_directory_agents_prefer_warm_targets() -> None:
    """Guards against offers to cold servers while warm ones have slots."""

    def candidate(port: int, busy_count: int) -> _placement.Candidate:
        state = flows.TargetState.READY
        return flows.Candidate(
            core.Address("10.0.1.1", port),
            flows.Load(state, 2, busy_count=busy_count),
        )

    idle, busy = candidate(1, 0), candidate(2, 2)
    cold, cold_busy = candidate(3, 0), candidate(4, 2)
    prefer = _warm_up.prefer_warm
    assert list(prefer([idle, busy], [cold])) == [idle, busy]
    assert list(prefer([busy], [cold, cold_busy])) == [cold]
    assert list(prefer([busy], [cold_busy])) == [busy]
    assert list(prefer([], [cold_busy])) == [cold_busy]
