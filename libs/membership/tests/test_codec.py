"""Tests of the encoding of control messages."""

import pytest

from fireflyford import core
from fireflyford import membership
from fireflyford.membership import _codec
from fireflyford.membership import _messages

MEMBER = membership.Member(
    instance_id="tahian-3",
    role=core.Role.AGENT,
    region="visayas",
    availability_zone="cebu",
    service="tahian",
    link_address=core.Address("10.1.2.3", 9_000),
    control_address=core.Address("10.1.2.3", 9_001),
    bulk_address=core.Address("10.9.9.9", 9_002),
    status_address=core.Address("fd00::1", 9_003),
    incarnation=1_790_000_000_000 << 20,
    version=4,
    state=membership.State.DRAINING,
    weight=1.25,
    config_version=380,
)
CHANGE = _messages.RecordChange.from_member(MEMBER)
FINGERPRINT = MEMBER.fingerprint
MESSAGES = (
    _messages.Heartbeat(FINGERPRINT, 4, 65_000),
    _messages.Announcement(MEMBER, 0),
    _messages.Acknowledgement(_messages.HeartbeatStatus.UNKNOWN_MEMBER),
    _messages.Update(3, 380, 4_590, (MEMBER,), (CHANGE,)),
    _messages.Gossip(FINGERPRINT, 380, (MEMBER,), (CHANGE, CHANGE)),
    _messages.LivenessQuery(FINGERPRINT),
    _messages.LivenessReply(FINGERPRINT, True),
    _messages.ViewDigest(FINGERPRINT, 380, (1 << 64) - 1, False),
)


@pytest.mark.parametrize("message", MESSAGES)
def test_encode_decode_round_trip(message: _messages.Message) -> None:
    """Guards against fields that are lost or altered in transit."""
    assert _codec.decode(_codec.encode(message)) == message


@pytest.mark.parametrize("message", MESSAGES)
def test_truncated_message_is_refused(message: _messages.Message) -> None:
    """Guards against an unexpected exception in the receiving task."""
    data = _codec.encode(message)
    for end in range(len(data)):
        with pytest.raises((ValueError, IndexError)):
            _codec.decode(data[:end])


def test_frequent_messages_stay_within_size_limits() -> None:
    """Guards against frequent messages that exceed the traffic budget."""
    assert len(_codec.encode(MESSAGES[0])) <= 16
    assert len(_codec.encode(MESSAGES[2])) <= 4
    assert len(_codec.encode(MESSAGES[1])) <= 120
