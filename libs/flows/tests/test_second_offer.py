"""Tests of offers of a new flow to a second agent."""

import random

import pytest

from fireflyford import core
from fireflyford import flows

ADDRESSES = [core.Address(f"10.0.1.{number}", 7_000) for number in range(1, 6)]
OWN = ADDRESSES[0]
BALANCER = core.Address("10.0.0.1", 7_000)
START_MS = 1_000_000
REPEATABLE = flows.RouteTerms(0, 370, 1_300, True, 0.0)


class Clock(core.ManualClock):
    """Clock whose time a test sets without an event loop."""

    def advance(self, duration_ms: int) -> None:
        """Advances the time."""
        self._now_ms += duration_ms


class Directory:
    """A directory agent whose offers a test answers."""

    def __init__(self, limit_ratio: float) -> None:
        """Starts the agent with load reports of five agents."""
        self.clock = Clock(START_MS)
        fleet = flows.Fleet(self.clock)
        fleet.replace_entries(
            flows.Instance(
                str(address), core.Role.AGENT, "board", "a", address, 1
            )
            for address in ADDRESSES
        )
        self.decisions = flows.AgentFlows(
            self.clock,
            fleet.agents("board")[0],
            fleet,
            flows.EarliestCompletion(random.Random(1)),
            limit_ratio,
        )
        self.report_loads()

    @property
    def second_offers(self) -> int:
        """Number of second offers so far."""
        return self.decisions.directory.second_offers.second_count

    def report_loads(self, busy_count: int = 0) -> None:
        """Reports the load of all agents."""
        for address in ADDRESSES:
            load = flows.Load(flows.TargetState.READY, 2, busy_count)
            self.decisions.directory.record_load(address, load)

    def open(
        self, number: int, terms: flows.RouteTerms | None
    ) -> tuple[bytes, list[core.Address]]:
        """Returns a new flow and the agents to which it is offered."""
        flow = bytes((10, 9, 0, 7)) + number.to_bytes(2) + bytes(6)
        resolve = flows.Forward(
            flows.Handling.RESOLVE,
            "board",
            BALANCER,
            OWN,
            0,
            False,
            True,
            b"",
            terms,
        )
        opening = flows.Packet(flow, b"", opens=True)
        return flow, offers(self.decisions.receive(BALANCER, resolve, opening))

    def accept(self, flow: bytes, address: core.Address) -> None:
        """Accepts a flow at an agent."""
        load = flows.Load(flows.TargetState.READY, 2)
        self.decisions.handle_message(address, flows.FlowLocated(flow, load))

    def decline_busy(
        self, flow: bytes, address: core.Address
    ) -> list[core.Address]:
        """Declines a flow; returns the agents to which it is offered next."""
        load = flows.Load(flows.TargetState.READY, 2, 100)
        busy = flows.DeclineReason.BUSY
        declined = flows.PlacementDeclined(flow, busy, load)
        return offers(self.decisions.handle_message(address, declined))

    def measure(self, count: int = 100) -> None:
        """Opens flows that are accepted after 4 ms."""
        for number in range(count):
            flow, (first,) = self.open(number, REPEATABLE)
            self.clock.advance(4)
            self.accept(flow, first)

    def sweep(self, duration_ms: int = 20) -> list[core.Address]:
        """Returns the agents to which flows are offered some time later."""
        self.clock.advance(duration_ms)
        return offers(self.decisions.sweep())


def offers(actions: list[flows.Action]) -> list[core.Address]:
    return [
        action.to
        for action in actions
        if isinstance(action, flows.Send)
        and isinstance(action.message, flows.Forward)
        and action.message.handling is flows.Handling.PLACE
    ]


def test_slow_offer_goes_to_a_second_agent_once() -> None:
    """Guards against an opening that waits for one slow agent."""
    directory = Directory(0.05)
    directory.measure()
    _, (first,) = directory.open(1_000, REPEATABLE)
    (second,) = directory.sweep()
    assert second != first
    assert directory.sweep() == []


@pytest.mark.parametrize(
    ("limit_ratio", "terms"),
    [
        (0.0, REPEATABLE),
        (0.05, None),
        (0.05, flows.RouteTerms(0, 370, 1_300, False, 0.0)),
    ],
)
def test_flow_that_may_not_be_offered_twice_is_not(
    limit_ratio: float, terms: flows.RouteTerms | None
) -> None:
    """Guards against extra offers without a limit or for other routes."""
    directory = Directory(limit_ratio)
    directory.measure()
    directory.open(1_000, terms)
    assert directory.sweep() == []


def test_no_second_offer_while_flows_wait_for_room() -> None:
    """Guards against extra offers when there is too little capacity."""
    directory = Directory(0.05)
    directory.measure()
    directory.open(1_000, REPEATABLE)
    directory.report_loads(busy_count=100)
    # Agents without room take the flow on their waiting lists.
    flow, offered = directory.open(1_001, REPEATABLE)
    while offered:
        offered = directory.decline_busy(flow, offered[0])
    directory.clock.advance(10)
    assert directory.sweep(0) == []
    assert directory.second_offers == 0


def test_second_offers_stay_within_their_share() -> None:
    """Guards against a load of offers when all agents become slow."""
    directory = Directory(0.05)
    directory.measure()
    for number in range(1_000, 1_200):
        flow, (first, *_) = directory.open(number, REPEATABLE)
        directory.sweep()
        directory.accept(flow, first)
        directory.report_loads()
    assert 0 < directory.second_offers <= 0.05 * 300


def test_later_acceptance_does_not_replace_the_first() -> None:
    """Guards against packets at a server where the flow did not open."""
    directory = Directory(0.05)
    directory.measure()
    flow, (first,) = directory.open(1_000, REPEATABLE)
    (second,) = directory.sweep()
    directory.accept(flow, second)
    directory.accept(flow, first)
    packet = flows.Packet(flow, b"", acknowledges=True, payload_bytes=9)
    resolve = flows.Forward(
        flows.Handling.RESOLVE, "board", BALANCER, OWN, 0, False, True, b""
    )
    for holder in (second, first):
        (action,) = directory.decisions.receive(BALANCER, resolve, packet)
        assert isinstance(action, flows.Send)
        assert action.to == holder
        # The client has opened the flow at the other one.
        directory.decisions.handle_message(holder, flows.NotHeld(flow))
    assert directory.decisions.directory.second_offers.win_count == 1
