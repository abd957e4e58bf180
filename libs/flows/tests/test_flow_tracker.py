"""Load of a backend server as its agent counts it."""

import pytest

from fireflyford import core
from fireflyford import flows
from fireflyford.flows import _flow_tracker

FLOW = bytes(range(flows.FLOW_ID_BYTES))
SERVER_SEQ = 4_000_000_000


def request(seq: int, length: int = 100) -> flows.Packet:
    return flows.Packet(
        FLOW,
        b"",
        acknowledges=True,
        payload_bytes=length,
        seq=seq % (1 << 32),
        ack=SERVER_SEQ,
    )


def response(ack: int) -> flows.Packet:
    return flows.Packet(
        FLOW,
        b"",
        acknowledges=True,
        payload_bytes=50,
        seq=SERVER_SEQ,
        ack=ack % (1 << 32),
    )


@pytest.mark.parametrize("seq", [10, (1 << 32) - 50])
def test_late_copy_of_an_answered_request_takes_no_slot(seq: int) -> None:
    """Guards against backend servers that look full after a restart.

    The agent has started anew; the response and the client's copies of the
    request had waited in its sockets.
    """
    tracker = _flow_tracker.FlowTracker(core.ManualClock(1_000_000), 2)
    tracked = tracker.add(FLOW, True, None, None)
    tracker.record_target_packet(tracked, response(seq + 100))
    tracker.record_client_packet(tracked, request(seq))
    state = flows.TargetState.READY
    assert tracker.load(state).busy_count == 0
    tracker.record_client_packet(tracked, request(seq + 100))
    assert tracker.load(state).busy_count == 1
