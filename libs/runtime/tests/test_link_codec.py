"""Encoding and decoding of messages between instances."""

from hypothesis import given
from hypothesis import strategies
import pytest

from fireflyford import core
from fireflyford import flows
from fireflyford.runtime import _link_codec

LOAD = flows.Load(flows.TargetState.READY, 2, 1, 3, 40, 26.5)
FIRST_ADDRESS = core.Address("10.0.0.1", 7_000)
SECOND_ADDRESS = core.Address("10.0.0.2", 7_000)
FLOW = bytes(range(flows.FLOW_ID_BYTES))
INSTANCE = flows.Instance(
    "agent-1",
    core.Role.AGENT,
    "board",
    "a",
    FIRST_ADDRESS,
    1_700_000_000_000,
    True,
)
MESSAGES = [
    flows.Forward(
        flows.Handling.PLACE,
        "board",
        FIRST_ADDRESS,
        SECOND_ADDRESS,
        2,
        True,
        False,
        b"data",
    ),
    flows.FlowLocated(FLOW, LOAD),
    flows.PlacementDeclined(FLOW, flows.DeclineReason.DRAINING, LOAD),
    flows.NotHeld(FLOW),
    flows.FlowNotFound(FLOW, 77, True),
    flows.PlacementQueued(FLOW),
    flows.PlacementRefused(FLOW, flows.DeclineReason.BUSY),
    flows.FlowAnnouncement((FLOW, FLOW[::-1])),
    flows.Heartbeat(INSTANCE, LOAD, 12, False),
    flows.LoadReport(LOAD),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda item: type(item))
def test_messages_round_trip(message: flows.Message) -> None:
    """Guards against swapped or lost fields."""
    assert _link_codec.unpack(_link_codec.pack(message)) == core.Ok(message)


@given(strategies.binary(max_size=64))
def test_arbitrary_bytes_are_decoded_or_rejected(data: bytes) -> None:
    """Guards against exceptions on datagrams of other senders."""
    outcome = _link_codec.unpack(data)
    if isinstance(outcome, core.Failure):
        assert outcome.kind is core.ErrorKind.BAD_MESSAGE


@given(strategies.sampled_from(MESSAGES), strategies.data())
def test_truncated_messages_are_rejected(
    message: flows.Message, data: strategies.DataObject
) -> None:
    """Guards against a truncated message decoded as a complete one."""
    encoded = _link_codec.pack(message)
    length = data.draw(strategies.integers(0, len(encoded) - 1))
    assert isinstance(_link_codec.unpack(encoded[:length]), core.Failure)
