"""From a failed request to its cause, by the logs alone."""

from collections.abc import Iterator

import eliot
import pytest

from fireflyford import flows
from fireflyford.lab import _packet_fleet


@pytest.fixture
def lines() -> Iterator[list[dict[str, object]]]:
    found: list[dict[str, object]] = []
    eliot.add_destinations(found.append)
    yield found
    eliot.remove_destination(found.append)


def of_flow(
    lines: list[dict[str, object]], flow: bytes
) -> list[dict[str, object]]:
    name = flows.describe_flow(flow)
    return [line for line in lines if line.get("flow") == name]


def events(lines: list[dict[str, object]]) -> list[object]:
    return [line["message_type"] for line in lines]


def test_a_request_refused_at_the_crest(
    lines: list[dict[str, object]],
) -> None:
    """Guards against refusals that no line explains."""
    plans = [_packet_fleet.TargetSpec(service_ms=2_000, queue_count=20)]
    fleet = _packet_fleet.PacketFleet(1, plans)
    clients = [fleet.client() for _ in range(30)]
    for client in clients:
        client.open()
    fleet.run(2_000)
    refused = next(
        result
        for result in fleet.results
        if result.outcome is _packet_fleet.RequestOutcome.REFUSED
    )
    story = of_flow(lines, refused.flow)
    assert "flow-waits" in events(story)
    last = story[-1]
    assert last["message_type"] == "flow-reset"
    assert str(last["reason"]).startswith("refused-")
    waits = next(line for line in story if line["message_type"] == "flow-waits")
    assert waits["reason"] == "busy"
    # Four for each of the two slots, in one of three stages.
    assert (waits["slots"], waits["agents"]) == (2, 1)
    stages = [waits[name] for name in ("busy", "reserved", "placed")]
    assert sum(int(str(stage)) for stage in stages) == 8


def test_a_flow_lost_with_its_backend_server(
    lines: list[dict[str, object]],
) -> None:
    """Guards against resets whose holder cannot be told."""
    plans = [_packet_fleet.TargetSpec() for _ in range(3)]
    fleet = _packet_fleet.PacketFleet(2, plans, long_lived=True)
    client = fleet.client()
    client.open()
    fleet.run(500)
    holder = fleet.holder(client.flow)
    assert holder is not None
    holder.crash()
    client.request()
    fleet.run(500)
    assert client.is_ended
    opened = [
        line
        for line in of_flow(lines, client.flow)
        if line["message_type"] == "flow-placed"
    ]
    assert opened[-1]["holder"] == fleet.agents[holder.index].address
    down = [line for line in lines if line["message_type"] == "target-down"]
    assert down
    assert down[-1]["reason"] == "port closed"


def test_a_request_handled_by_an_old_configuration(
    lines: list[dict[str, object]],
) -> None:
    """Guards against a version that cannot be told afterwards."""
    plans = [_packet_fleet.TargetSpec() for _ in range(3)]
    fleet = _packet_fleet.PacketFleet(3, plans)
    newer = flows.RouteTable(2, {})
    for balancer in fleet.balancers[1:]:
        balancer.flows.apply(newer)
    clients = [fleet.client() for _ in range(12)]
    for client in clients:
        client.open()
    fleet.run(500)
    rejected = [
        line
        for line in lines
        if line["message_type"] == "flow-reset" and line["reason"] == "no-route"
    ]
    assert rejected
    assert all(line["version"] == 2 for line in rejected)
    applied = [
        line for line in lines if line["message_type"] == "config-applied"
    ]
    assert [line["version"] for line in applied].count(2) == 2
