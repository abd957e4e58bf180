"""Encoding of control messages as a type byte followed by a msgpack array."""

from collections.abc import Callable
import dataclasses
import ipaddress
from typing import Any

import msgspec

from fireflyford import core
from fireflyford.membership import _messages
from fireflyford.membership import _types

_ROLES = (core.Role.BALANCER, core.Role.AGENT)
# Weights are encoded as integer hundredths.
_WEIGHT_SCALE = 100
_PORT_BYTES = 2

# A port if the host equals that of the link address, otherwise packed host and
# port.
_WireAddress = int | bytes
_WireMember = tuple[
    str,
    int,
    str,
    str,
    str,
    bytes,
    _WireAddress,
    _WireAddress,
    _WireAddress,
    int,
    int,
    int,
    int,
    int,
]
_WireChange = tuple[int, int, int, int]
_WireSummary = tuple[int, int, int]


def encode(message: _messages.Message) -> bytes:
    """Returns the encoded message."""
    number = _TYPE_NUMBERS[type(message)]
    return bytes([number]) + _ENCODER.encode(_field_values(message))


def decode(data: bytes) -> _messages.Message:
    """Returns the decoded message.

    Raises:
        ValueError: `data` is not a valid message.
        IndexError: The role of a member is unknown.
    """
    if not data or data[0] >= len(_FORMATS):
        raise ValueError("unknown type of control message")
    decoder, build = _FORMATS[data[0]]
    message: _messages.Message = build(*decoder.decode(data[1:]))
    return message


def encode_digests(digests: tuple[int, ...]) -> bytes:
    """Returns encoded bucket digests or bucket numbers."""
    return _ENCODER.encode(digests)


def decode_digests(data: bytes) -> tuple[int, ...]:
    """Returns bucket digests or numbers; raises ValueError if malformed."""
    return msgspec.msgpack.decode(data, type=tuple[int, ...])


def encode_request(request: _messages.PullRequest) -> bytes:
    """Returns an encoded pull request."""
    return _ENCODER.encode(_field_values(request))


def decode_request(data: bytes) -> _messages.PullRequest:
    """Returns a decoded pull request; raises ValueError if malformed."""
    buckets, summaries = msgspec.msgpack.decode(
        data, type=tuple[tuple[int, ...], tuple[_WireSummary, ...]]
    )
    return _messages.PullRequest(
        buckets,
        tuple(
            _messages.RecordSummary(fingerprint, version, _types.State(state))
            for fingerprint, version, state in summaries
        ),
    )


def encode_reply(reply: _messages.PullReply) -> bytes:
    """Returns an encoded reply to a pull request."""
    return _ENCODER.encode(_field_values(reply))


def decode_reply(data: bytes) -> _messages.PullReply:
    """Returns a decoded pull reply; raises the same errors as `decode`."""
    members, changes = msgspec.msgpack.decode(
        data, type=tuple[tuple[_WireMember, ...], tuple[_WireChange, ...]]
    )
    return _messages.PullReply(
        _members_from_wire(members), _changes_from_wire(changes)
    )


def _field_values(message: Any) -> tuple[Any, ...]:
    return tuple(
        _to_wire(getattr(message, field.name))
        for field in dataclasses.fields(message)
    )


def _to_wire(value: Any) -> Any:
    match value:
        case _types.Member():
            return _member_to_wire(value)
        case _messages.RecordChange():
            return (
                value.fingerprint,
                value.version,
                value.state.value,
                round(value.weight * _WEIGHT_SCALE),
            )
        case _messages.RecordSummary():
            return (value.fingerprint, value.version, value.state.value)
        case _messages.HeartbeatStatus():
            return value.value
        case tuple():
            return tuple(_to_wire(item) for item in value)
    return value


def _member_to_wire(member: _types.Member) -> _WireMember:
    host = member.link_address.host
    return (
        member.instance_id,
        _ROLES.index(member.role),
        member.region,
        member.availability_zone,
        member.service,
        _pack_address(member.link_address),
        _compact_address(member.control_address, host),
        _compact_address(member.bulk_address, host),
        _compact_address(member.status_address, host),
        member.incarnation,
        member.version,
        member.state.value,
        round(member.weight * _WEIGHT_SCALE),
        member.config_version,
    )


def _member_from_wire(wire: _WireMember) -> _types.Member:
    link = _unpack_address(wire[5])
    return _types.Member(
        instance_id=wire[0],
        role=_ROLES[wire[1]],
        region=wire[2],
        availability_zone=wire[3],
        service=wire[4],
        link_address=link,
        control_address=_expand_address(wire[6], link.host),
        bulk_address=_expand_address(wire[7], link.host),
        status_address=_expand_address(wire[8], link.host),
        incarnation=wire[9],
        version=wire[10],
        state=_types.State(wire[11]),
        weight=wire[12] / _WEIGHT_SCALE,
        config_version=wire[13],
    )


def _pack_address(address: core.Address) -> bytes:
    host = ipaddress.ip_address(address.host).packed
    return host + address.port.to_bytes(_PORT_BYTES)


def _unpack_address(data: bytes) -> core.Address:
    host = ipaddress.ip_address(data[:-_PORT_BYTES])
    return core.Address(str(host), int.from_bytes(data[-_PORT_BYTES:]))


def _compact_address(address: core.Address, host: str) -> _WireAddress:
    return address.port if address.host == host else _pack_address(address)


def _expand_address(wire: _WireAddress, host: str) -> core.Address:
    if isinstance(wire, int):
        return core.Address(host, wire)
    return _unpack_address(wire)


def _members_from_wire(
    wire: tuple[_WireMember, ...],
) -> tuple[_types.Member, ...]:
    return tuple(_member_from_wire(item) for item in wire)


def _changes_from_wire(
    wire: tuple[_WireChange, ...],
) -> tuple[_messages.RecordChange, ...]:
    return tuple(
        _messages.RecordChange(
            fingerprint, version, _types.State(state), weight / _WEIGHT_SCALE
        )
        for fingerprint, version, state, weight in wire
    )


def _build_announcement(
    wire: _WireMember, acknowledged: int
) -> _messages.Announcement:
    return _messages.Announcement(_member_from_wire(wire), acknowledged)


def _build_acknowledgement(status: int) -> _messages.Acknowledgement:
    return _messages.Acknowledgement(_messages.HeartbeatStatus(status))


def _build_update(
    sequence: int,
    config_version: int,
    member_count: int,
    members: tuple[_WireMember, ...],
    changes: tuple[_WireChange, ...],
) -> _messages.Update:
    return _messages.Update(
        sequence,
        config_version,
        member_count,
        _members_from_wire(members),
        _changes_from_wire(changes),
    )


def _build_gossip(
    fingerprint: int,
    config_version: int,
    members: tuple[_WireMember, ...],
    changes: tuple[_WireChange, ...],
) -> _messages.Gossip:
    return _messages.Gossip(
        fingerprint,
        config_version,
        _members_from_wire(members),
        _changes_from_wire(changes),
    )


_ENCODER = msgspec.msgpack.Encoder()
_RECORDS = (tuple[_WireMember, ...], tuple[_WireChange, ...])


def _format(
    build: Callable[..., _messages.Message], *fields: Any
) -> tuple[msgspec.msgpack.Decoder[Any], Callable[..., _messages.Message]]:
    shape: Any = tuple[fields]  # type: ignore[valid-type]
    return (msgspec.msgpack.Decoder(shape), build)


# Indexed by the type byte of a message.
_FORMATS = (
    _format(_messages.Heartbeat, int, int, int),
    _format(_build_announcement, _WireMember, int),
    _format(_build_acknowledgement, int),
    _format(_build_update, int, int, int, *_RECORDS),
    _format(_build_gossip, int, int, *_RECORDS),
    _format(_messages.LivenessQuery, int),
    _format(_messages.LivenessReply, int, bool),
    _format(_messages.ViewDigest, int, int, int, bool),
)
_TYPE_NUMBERS: dict[type, int] = {
    _messages.Heartbeat: 0,
    _messages.Announcement: 1,
    _messages.Acknowledgement: 2,
    _messages.Update: 3,
    _messages.Gossip: 4,
    _messages.LivenessQuery: 5,
    _messages.LivenessReply: 6,
    _messages.ViewDigest: 7,
}
