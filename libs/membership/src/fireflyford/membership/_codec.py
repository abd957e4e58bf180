"""Encoding of control messages: a type byte and one msgpack array."""

from collections.abc import Callable
import dataclasses
import ipaddress
from typing import Any

import msgspec

from fireflyford import core
from fireflyford.membership import _messages
from fireflyford.membership import _types

_ROLES = (core.Role.BALANCER, core.Role.AGENT)
# Weights travel as whole hundredths.
_WEIGHT_SCALE = 100
_PORT_BYTES = 2

# A port on the host of the link address, or another host and port.
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
    """Returns a message as bytes."""
    number = _NUMBERS[type(message)]
    return bytes([number]) + _ENCODER.encode(_values(message))


def decode(data: bytes) -> _messages.Message:
    """Returns the message in `data`.

    Raises:
        ValueError: The bytes are no message.
    """
    if not data or data[0] >= len(_FORMATS):
        raise ValueError("unknown type of control message")
    decoder, build = _FORMATS[data[0]]
    message: _messages.Message = build(*decoder.decode(data[1:]))
    return message


def encode_digests(digests: tuple[int, ...]) -> bytes:
    """Returns the digests of buckets, or numbers of buckets, as bytes."""
    return _ENCODER.encode(digests)


def decode_digests(data: bytes) -> tuple[int, ...]:
    """Returns digests or numbers; raises ValueError on anything else."""
    return msgspec.msgpack.decode(data, type=tuple[int, ...])


def encode_request(request: _messages.PullRequest) -> bytes:
    """Returns a pull request as bytes."""
    return _ENCODER.encode(_values(request))


def decode_request(data: bytes) -> _messages.PullRequest:
    """Returns a pull request; raises ValueError on anything else."""
    buckets, summaries = msgspec.msgpack.decode(
        data, type=tuple[tuple[int, ...], tuple[_WireSummary, ...]]
    )
    return _messages.PullRequest(
        buckets,
        tuple(
            _messages.Summary(fingerprint, version, _types.State(state))
            for fingerprint, version, state in summaries
        ),
    )


def encode_reply(reply: _messages.PullReply) -> bytes:
    """Returns the answer to a pull request as bytes."""
    return _ENCODER.encode(_values(reply))


def decode_reply(data: bytes) -> _messages.PullReply:
    """Returns an answer; raises ValueError on anything else."""
    members, changes = msgspec.msgpack.decode(
        data, type=tuple[tuple[_WireMember, ...], tuple[_WireChange, ...]]
    )
    return _messages.PullReply(_members(members), _changes(changes))


def _values(message: Any) -> tuple[Any, ...]:
    return tuple(
        _plain(getattr(message, field.name))
        for field in dataclasses.fields(message)
    )


def _plain(value: Any) -> Any:
    match value:
        case _types.Member():
            return _plain_member(value)
        case _messages.Change():
            return (
                value.fingerprint,
                value.version,
                value.state.value,
                round(value.weight * _WEIGHT_SCALE),
            )
        case _messages.Summary():
            return (value.fingerprint, value.version, value.state.value)
        case _messages.Answer():
            return value.value
        case tuple():
            return tuple(_plain(item) for item in value)
    return value


def _plain_member(member: _types.Member) -> _WireMember:
    host = member.link_address.host
    return (
        member.instance_id,
        _ROLES.index(member.role),
        member.region,
        member.availability_zone,
        member.service,
        _pack_address(member.link_address),
        _short_address(member.control_address, host),
        _short_address(member.bulk_address, host),
        _short_address(member.status_address, host),
        member.incarnation,
        member.version,
        member.state.value,
        round(member.weight * _WEIGHT_SCALE),
        member.config_version,
    )


def _build_member(wire: _WireMember) -> _types.Member:
    link = _unpack_address(wire[5])
    return _types.Member(
        instance_id=wire[0],
        role=_ROLES[wire[1]],
        region=wire[2],
        availability_zone=wire[3],
        service=wire[4],
        link_address=link,
        control_address=_long_address(wire[6], link.host),
        bulk_address=_long_address(wire[7], link.host),
        status_address=_long_address(wire[8], link.host),
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


def _short_address(address: core.Address, host: str) -> _WireAddress:
    return address.port if address.host == host else _pack_address(address)


def _long_address(wire: _WireAddress, host: str) -> core.Address:
    if isinstance(wire, int):
        return core.Address(host, wire)
    return _unpack_address(wire)


def _members(
    wire: tuple[_WireMember, ...],
) -> tuple[_types.Member, ...]:
    return tuple(_build_member(item) for item in wire)


def _changes(wire: tuple[_WireChange, ...]) -> tuple[_messages.Change, ...]:
    return tuple(
        _messages.Change(
            fingerprint, version, _types.State(state), weight / _WEIGHT_SCALE
        )
        for fingerprint, version, state, weight in wire
    )


def _build_announcement(
    wire: _WireMember, acknowledged: int
) -> _messages.Announcement:
    return _messages.Announcement(_build_member(wire), acknowledged)


def _build_acknowledgement(answer: int) -> _messages.Acknowledgement:
    return _messages.Acknowledgement(_messages.Answer(answer))


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
        _members(members),
        _changes(changes),
    )


def _build_gossip(
    fingerprint: int,
    config_version: int,
    members: tuple[_WireMember, ...],
    changes: tuple[_WireChange, ...],
) -> _messages.Gossip:
    return _messages.Gossip(
        fingerprint, config_version, _members(members), _changes(changes)
    )


_ENCODER = msgspec.msgpack.Encoder()
_RECORDS = (tuple[_WireMember, ...], tuple[_WireChange, ...])


def _format(
    build: Callable[..., _messages.Message], *fields: Any
) -> tuple[msgspec.msgpack.Decoder[Any], Callable[..., _messages.Message]]:
    shape: Any = tuple[fields]  # type: ignore[valid-type]
    return (msgspec.msgpack.Decoder(shape), build)


# The position of a format is the type byte of its messages.
_FORMATS = (
    _format(_messages.Heartbeat, int, int, int),
    _format(_build_announcement, _WireMember, int),
    _format(_build_acknowledgement, int),
    _format(_build_update, int, int, int, *_RECORDS),
    _format(_build_gossip, int, int, *_RECORDS),
    _format(_messages.Query, int),
    _format(_messages.Reply, int, bool),
    _format(_messages.Digest, int, int, int, bool),
)
_NUMBERS: dict[type, int] = {
    _messages.Heartbeat: 0,
    _messages.Announcement: 1,
    _messages.Acknowledgement: 2,
    _messages.Update: 3,
    _messages.Gossip: 4,
    _messages.Query: 5,
    _messages.Reply: 6,
    _messages.Digest: 7,
}
