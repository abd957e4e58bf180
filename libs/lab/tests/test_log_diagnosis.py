"""Diagnosis of failed requests from the logs alone."""

from collections.abc import Iterator

import eliot
import pytest

from fireflyford import flows
from fireflyford.lab import _packet_fleet


@pytest.fixture
def log_lines() -> Iterator[list[dict[str, object]]]:
    captured: list[dict[str, object]] = []
    eliot.add_destinations(captured.append)
    # The first destination gets the messages of earlier tests as well.
    captured.clear()
    yield captured
    eliot.remove_destination(captured.append)


def lines_of_flow(
    log_lines: list[dict[str, object]], flow: bytes
) -> list[dict[str, object]]:
    name = flows.describe_flow(flow)
    return [line for line in log_lines if line.get("flow") == name]


def event_names(log_lines: list[dict[str, object]]) -> list[object]:
    return [line["message_type"] for line in log_lines]


def test_log_shows_cause_of_refusal_under_overload(
    log_lines: list[dict[str, object]],
) -> None:
    """Guards against refusals whose cause the log does not show."""
    specs = [_packet_fleet.TargetSpec(service_ms=2_000, queue_count=20)]
    fleet = _packet_fleet.PacketFleet(1, specs)
    clients = [fleet.client() for _ in range(30)]
    for client in clients:
        client.open()
    fleet.run(2_000)
    refused = next(
        result
        for result in fleet.results
        if result.outcome is _packet_fleet.RequestOutcome.REFUSED
    )
    flow_lines = lines_of_flow(log_lines, refused.flow)
    assert "flow-waits" in event_names(flow_lines)
    last = flow_lines[-1]
    assert last["message_type"] == "flow-reset"
    assert str(last["reason"]).startswith("refused-")
    queued = next(
        line for line in flow_lines if line["message_type"] == "flow-waits"
    )
    assert queued["reason"] == "busy"
    # Four flows for each of the two slots, each in one of three stages.
    assert (queued["slots"], queued["agents"]) == (2, 1)
    stages = [queued[name] for name in ("busy", "reserved", "placed")]
    assert sum(int(str(stage)) for stage in stages) == 8


def test_log_shows_holder_of_flow_and_crash_of_its_target(
    log_lines: list[dict[str, object]],
) -> None:
    """Guards against resets for which the log does not show the holder."""
    specs = [_packet_fleet.TargetSpec() for _ in range(3)]
    fleet = _packet_fleet.PacketFleet(2, specs, long_lived=True)
    client = fleet.client()
    client.open()
    fleet.run(500)
    holder = fleet.holder(client.flow)
    assert holder is not None
    holder.crash()
    client.request()
    fleet.run(500)
    assert client.is_ended
    placements = [
        line
        for line in lines_of_flow(log_lines, client.flow)
        if line["message_type"] == "flow-placed"
    ]
    assert placements[-1]["holder"] == fleet.agents[holder.index].address
    down = [line for line in log_lines if line["message_type"] == "target-down"]
    assert down
    assert down[-1]["reason"] == "port closed"


def test_log_shows_config_version_of_reset_flow(
    log_lines: list[dict[str, object]],
) -> None:
    """Guards against resets without the version of the configuration."""
    specs = [_packet_fleet.TargetSpec() for _ in range(3)]
    fleet = _packet_fleet.PacketFleet(3, specs)
    newer = flows.RouteTable(2, {})
    for balancer in fleet.balancers[1:]:
        balancer.flows.apply(newer)
    clients = [fleet.client() for _ in range(12)]
    for client in clients:
        client.open()
    fleet.run(500)
    resets = [
        line
        for line in log_lines
        if line["message_type"] == "flow-reset" and line["reason"] == "no-route"
    ]
    assert resets
    assert all(line["version"] == 2 for line in resets)
    applied = [
        line for line in log_lines if line["message_type"] == "config-applied"
    ]
    assert [line["version"] for line in applied].count(2) == 2
