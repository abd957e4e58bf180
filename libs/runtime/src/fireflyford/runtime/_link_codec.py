"""Encoding of messages between instances.

A message is one byte for its type and a msgpack array of its fields. Instances
and loads are nested arrays; addresses are `ip:port`. Values out of range are
rejected here, so that everything that was decoded can be encoded again.

Version 1 of the protocol is that of earlier releases, which drop types and
arrays that they do not know. Version 2 adds types and fields; a message that
has added fields is marked by `EXTENDED` in its first byte.
"""

import dataclasses
import functools
import ipaddress
from typing import Any

import msgspec

from fireflyford import core
from fireflyford import flows

# Incarnations are in ms since the Unix epoch; this is the year 10889.
MAX_INCARNATION = (1 << 48) - 1
# Largest incarnation in an entry, the year 2248. An instance that finds a
# larger one at its address raises its own above it, which must remain below
# `MAX_INCARNATION`, also after many restarts.
MAX_ENTRY_INCARNATION = (1 << 43) - 1
# More than the slots, requests or flows of any backend server.
MAX_COUNT = 1_000_000
# Far above the time limit of any request.
MAX_SERVICE_MS = 3_600_000.0
MAX_VERSION = (1 << 63) - 1
# Far more than the availability zones of any deployment.
MAX_ZONE_COUNT = 64
# Versions of the protocol.
FIRST_PROTOCOL = 1
PROTOCOL = 2
# Marks a message with the fields of version 2.
EXTENDED = 0x80
# Reasons that version 1 does not have are sent as `BUSY` there: the flow has
# not run and may be placed elsewhere.
_LAST_FIRST_PROTOCOL_REASON = flows.DeclineReason.OTHER_SERVICE

_MESSAGE_TYPES: dict[int, type[Any]] = {
    1: flows.Forward,
    2: flows.FlowLocated,
    3: flows.PlacementDeclined,
    4: flows.NotHeld,
    5: flows.FlowNotFound,
    6: flows.PlacementRefused,
    7: flows.FlowAnnouncement,
    8: flows.Heartbeat,
    9: flows.LoadReport,
    10: flows.PlacementQueued,
    11: flows.ProtocolAnnouncement,
    12: flows.SlotGranted,
    13: flows.PlannedRestart,
    14: flows.PlacementWithdrawn,
    15: flows.PathReport,
}
_TYPE_CODES = {
    message_type: code for code, message_type in _MESSAGE_TYPES.items()
}

_Address = str
_Load = tuple[int, int, int, int, int, float]
_Instance = tuple[str, str, str, str, _Address, int, bool]
_FIELDS: dict[int, Any] = {
    1: tuple[int, str, _Address, _Address, int, bool, bool, bytes],
    2: tuple[bytes, _Load],
    3: tuple[bytes, int, _Load],
    4: tuple[bytes],
    5: tuple[bytes, int, bool],
    6: tuple[bytes, int],
    7: tuple[tuple[bytes, ...]],
    8: tuple[_Instance, _Load, int, bool],
    9: tuple[_Load],
    10: tuple[bytes],
    11: tuple[int],
    12: tuple[bytes],
    13: tuple[_Address, int],
    14: tuple[bytes],
    15: tuple[str, int],
}
_ExtendedLoad = tuple[int, int, int, int, int, float, int]
_Terms = tuple[int, int, int, bool, float]
_Evacuation = tuple[int, int, tuple[str, ...]]
_EXTENDED_FIELDS: dict[int, Any] = {
    1: tuple[
        int,
        str,
        _Address,
        _Address,
        int,
        bool,
        bool,
        bytes,
        _Terms | None,
        _Evacuation | None,
    ],
    2: tuple[bytes, _ExtendedLoad],
    3: tuple[bytes, int, _ExtendedLoad],
    8: tuple[_Instance, _ExtendedLoad, int, bool],
    9: tuple[_ExtendedLoad],
}
_DECODERS = {
    code: msgspec.msgpack.Decoder(fields) for code, fields in _FIELDS.items()
} | {
    code | EXTENDED: msgspec.msgpack.Decoder(fields)
    for code, fields in _EXTENDED_FIELDS.items()
}
_ENCODER = msgspec.msgpack.Encoder()
_ENTRY_DECODER = msgspec.json.Decoder(_Instance)
_ENTRIES_DECODER = msgspec.json.Decoder(list[msgspec.Raw])


@functools.lru_cache(8_192)
def _parse_address(text: str) -> core.Address:
    return core.Address.parse(text)


@functools.lru_cache(8_192)
def _parse_instance_address(text: str) -> core.Address:
    """Parses the address of an instance, to which datagrams can be sent."""
    address = core.Address.parse(text)
    host = ipaddress.ip_address(address.host)
    is_broadcast = host.packed == b"\xff\xff\xff\xff"
    if (
        not address.port
        or host.is_unspecified
        or host.is_multicast
        or is_broadcast
    ):
        raise ValueError(f"{text} is not the address of an instance")
    return address


@functools.lru_cache(8_192)
def _format_address(address: core.Address) -> str:
    return str(address)


def _pack_load(load: flows.Load, extended: bool) -> _Load | _ExtendedLoad:
    fields = (
        load.state,
        load.slot_count,
        load.busy_count,
        load.reserved_count,
        load.long_lived_count,
        load.service_ms,
    )
    return (*fields, load.warmup_left_ms) if extended else fields


def _unpack_load(fields: _Load | _ExtendedLoad) -> flows.Load:
    state, slots, busy, reserved, long_lived, service_ms, *added = fields
    counts = (slots, busy, reserved, long_lived)
    warmup_left_ms = int(added[0]) if added else 0
    if not 0 <= warmup_left_ms <= MAX_SERVICE_MS:
        raise ValueError(f"warm-up time out of range in load {fields}")
    if slots < 1 or min(counts) < 0 or max(counts) > MAX_COUNT:
        raise ValueError(f"count out of range in load {fields}")
    if not 0 <= service_ms <= MAX_SERVICE_MS:
        raise ValueError(f"service time out of range in load {fields}")
    return flows.Load(
        flows.TargetState(int(state)),
        slots,
        busy,
        reserved,
        long_lived,
        float(service_ms),
        warmup_left_ms,
    )


def _unpack_terms(fields: _Terms | None) -> flows.RouteTerms | None:
    if fields is None:
        return None
    priority, objective_ms, limit_ms, _, warmup_per_s = fields
    if not 0 <= priority <= MAX_COUNT or not 0 <= warmup_per_s <= MAX_COUNT:
        raise ValueError(f"terms {fields} are out of range")
    if not 0 <= min(objective_ms, limit_ms) <= max(objective_ms, limit_ms):
        raise ValueError(f"times out of range in terms {fields}")
    if max(objective_ms, limit_ms) > MAX_SERVICE_MS:
        raise ValueError(f"times out of range in terms {fields}")
    return flows.RouteTerms(*fields)


def _unpack_evacuation(
    fields: _Evacuation | None,
) -> flows.EvacuationView | None:
    if fields is None:
        return None
    return check_view(*fields)


def check_view(
    era: int, revision: int, zones: tuple[str, ...]
) -> flows.EvacuationView:
    """Returns a view; raises `ValueError` if it is out of range."""
    if not (0 <= era <= MAX_VERSION and 0 <= revision <= MAX_VERSION):
        raise ValueError(f"position ({era}, {revision}) is out of range")
    if len(zones) > MAX_ZONE_COUNT:
        raise ValueError(f"{len(zones)} zones in a message")
    return flows.EvacuationView(era, revision, zones)


def _check_flow(flow: bytes) -> bytes:
    if len(flow) != flows.FLOW_ID_BYTES:
        raise ValueError(f"flow identifier of {len(flow)} bytes")
    return flow


def pack(message: flows.Message, protocol: int = PROTOCOL) -> bytes:
    """Encodes a message.

    Args:
        message: The message.
        protocol: Version of the protocol that the receiver decodes. Without
            need, nothing that earlier versions cannot decode is sent.
    """
    extended = protocol >= PROTOCOL and _has_added_fields(message)
    code = _TYPE_CODES[type(message)] | (EXTENDED if extended else 0)
    if protocol < PROTOCOL:
        message = _restrict_reason(message)
    return bytes((code,)) + _ENCODER.encode(_fields(message, extended))


def is_of_second_protocol(data: bytes) -> bool:
    """Returns whether only a process that knows version 2 sends this message.

    >>> is_of_second_protocol(pack(flows.ProtocolAnnouncement(PROTOCOL)))
    True
    """
    return bool(data) and data[0] >= _TYPE_CODES[flows.ProtocolAnnouncement]


def _has_added_fields(message: flows.Message) -> bool:
    if isinstance(message, flows.Forward):
        return message.terms is not None or message.evacuation is not None
    if isinstance(
        message,
        flows.FlowLocated
        | flows.PlacementDeclined
        | flows.Heartbeat
        | flows.LoadReport,
    ):
        return message.load.warmup_left_ms > 0
    return False


def _restrict_reason(message: flows.Message) -> flows.Message:
    if (
        isinstance(message, flows.PlacementDeclined | flows.PlacementRefused)
        and message.reason > _LAST_FIRST_PROTOCOL_REASON
    ):
        return dataclasses.replace(message, reason=flows.DeclineReason.BUSY)
    return message


def _added_forward_fields(message: flows.Forward) -> tuple[Any, ...]:
    terms, evacuation = message.terms, message.evacuation
    return (
        None
        if terms is None
        else (
            terms.priority,
            terms.objective_ms,
            terms.limit_ms,
            terms.repeatable,
            terms.warmup_per_s,
        ),
        None
        if evacuation is None
        else (evacuation.era, evacuation.revision, evacuation.zones),
    )


def _fields(message: flows.Message, extended: bool) -> tuple[Any, ...]:
    if isinstance(message, flows.Forward):
        fields = (
            message.handling,
            message.service,
            _format_address(message.balancer),
            _format_address(message.directory_agent),
            message.hop_count,
            message.long_lived,
            message.allow_queueing,
            message.data,
        )
        return fields + _added_forward_fields(message) if extended else fields
    if isinstance(message, flows.FlowLocated):
        return (message.flow, _pack_load(message.load, extended))
    if isinstance(message, flows.PlacementDeclined):
        return (
            message.flow,
            message.reason,
            _pack_load(message.load, extended),
        )
    if isinstance(
        message,
        flows.NotHeld
        | flows.PlacementQueued
        | flows.SlotGranted
        | flows.PlacementWithdrawn,
    ):
        return (message.flow,)
    if isinstance(message, flows.ProtocolAnnouncement):
        return (message.version,)
    if isinstance(message, flows.PathReport):
        return (message.zone, message.validity_ms)
    if isinstance(message, flows.PlannedRestart):
        return (_format_address(message.address), message.incarnation)
    if isinstance(message, flows.FlowNotFound):
        return (message.flow, message.ack, message.expects_response)
    if isinstance(message, flows.PlacementRefused):
        return (message.flow, message.reason)
    if isinstance(message, flows.FlowAnnouncement):
        return (message.flows,)
    if isinstance(message, flows.LoadReport):
        return (_pack_load(message.load, extended),)
    return (
        pack_instance(message.instance),
        _pack_load(message.load, extended),
        message.config_version,
        message.leaving,
    )


def pack_instance(instance: flows.Instance) -> _Instance:
    """Returns the fields of an instance as built-in types."""
    return (
        instance.instance_id,
        instance.role.value,
        instance.service,
        instance.availability_zone,
        _format_address(instance.address),
        instance.incarnation,
        instance.is_draining,
    )


def unpack_instance(fields: _Instance) -> flows.Instance:
    """Restores an instance from the fields of `pack_instance`.

    Raises:
        ValueError: The role, the address or the incarnation is invalid.
    """
    name, role, service, zone, address, incarnation, is_draining = fields
    if not 0 <= incarnation <= MAX_INCARNATION:
        raise ValueError(f"incarnation {incarnation} is out of range")
    return flows.Instance(
        name,
        core.Role(role),
        service,
        zone,
        _parse_instance_address(address),
        incarnation,
        is_draining,
    )


def unpack(data: bytes) -> core.Outcome[flows.Message]:
    """Decodes a message.

    Returns:
        The message, or a failure `BAD_MESSAGE`.
    """
    try:
        return core.Ok(_unpack(data[0], data[1:]))
    except (IndexError, KeyError, ValueError, RecursionError) as error:
        return core.Failure(
            core.ErrorKind.BAD_MESSAGE, f"malformed link message: {error}"
        )


def unpack_entry(document: bytes) -> flows.Instance:
    """Restores an instance from the JSON form of `pack_instance`.

    Raises:
        ValueError: The document is no entry of an instance.
    """
    try:
        instance = unpack_instance(_ENTRY_DECODER.decode(document))
    except RecursionError as error:
        raise ValueError(f"nested too deeply: {error}") from error
    if instance.incarnation > MAX_ENTRY_INCARNATION:
        raise ValueError(
            f"incarnation {instance.incarnation} is not a start time"
        )
    return instance


def unpack_entries(document: bytes) -> tuple[list[flows.Instance], int]:
    """Restores a JSON list of instances.

    Returns:
        The instances, and the number of entries that were left out because
        they are malformed.

    Raises:
        ValueError: The document is no list.
    """
    try:
        entries = _ENTRIES_DECODER.decode(document)
    except RecursionError as error:
        raise ValueError(f"nested too deeply: {error}") from error
    found = []
    for entry in entries:
        try:
            found.append(unpack_entry(bytes(entry)))
        except ValueError:
            continue
    return found, len(entries) - len(found)


def _unpack(code: int, body: bytes) -> flows.Message:
    fields = _DECODERS[code].decode(body)
    message_type = _MESSAGE_TYPES[code & ~EXTENDED]
    if message_type is flows.Forward:
        handling, service, balancer, directory_agent, *rest = fields
        hop_count, long_lived, allow_queueing, data, *added = rest
        terms, evacuation = added or (None, None)
        return flows.Forward(
            flows.Handling(handling),
            service,
            _parse_address(balancer),
            _parse_address(directory_agent),
            hop_count,
            long_lived,
            allow_queueing,
            data,
            _unpack_terms(terms),
            _unpack_evacuation(evacuation),
        )
    if message_type is flows.ProtocolAnnouncement:
        (version,) = fields
        if not FIRST_PROTOCOL <= version <= MAX_COUNT:
            raise ValueError(f"protocol {version} is out of range")
        return flows.ProtocolAnnouncement(version)
    if message_type is flows.PathReport:
        zone, validity_ms = fields
        if not 0 <= validity_ms <= MAX_SERVICE_MS:
            raise ValueError(f"validity {validity_ms} ms is out of range")
        return flows.PathReport(zone, validity_ms)
    if message_type is flows.PlannedRestart:
        address, incarnation = fields
        if not 0 <= incarnation <= MAX_INCARNATION:
            raise ValueError(f"incarnation {incarnation} is out of range")
        return flows.PlannedRestart(
            _parse_instance_address(address), incarnation
        )
    if message_type is flows.FlowLocated:
        return flows.FlowLocated(
            _check_flow(fields[0]), _unpack_load(fields[1])
        )
    if message_type is flows.PlacementDeclined:
        reason = flows.DeclineReason(fields[1])
        return flows.PlacementDeclined(
            _check_flow(fields[0]), reason, _unpack_load(fields[2])
        )
    if message_type is flows.LoadReport:
        return flows.LoadReport(_unpack_load(fields[0]))
    if message_type is flows.PlacementRefused:
        reason = flows.DeclineReason(fields[1])
        return flows.PlacementRefused(_check_flow(fields[0]), reason)
    if message_type is flows.Heartbeat:
        instance, load, version, leaving = fields
        if not 0 <= version <= MAX_VERSION:
            raise ValueError(f"version {version} is out of range")
        return flows.Heartbeat(
            unpack_instance(instance), _unpack_load(load), version, leaving
        )
    if message_type is flows.FlowAnnouncement:
        return flows.FlowAnnouncement(tuple(map(_check_flow, fields[0])))
    _check_flow(fields[0])
    message: flows.Message = message_type(*fields)
    return message
