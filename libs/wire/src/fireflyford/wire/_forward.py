"""The header before each datagram between a balancer and an agent.

Layout, 56 bytes: magic 1, version 1, type 1, hops 1, service tag 8, target
incarnation 4, flow key 8, caller address 16 (IPv4 mapped into IPv6), caller
port 2, holder count 1, reserved 5, keyed tag 8. A list of `holder count`
link addresses of 6 bytes each follows the header, then the payload.
"""

from collections.abc import Sequence
import dataclasses
import enum
import hashlib
import ipaddress
import struct

from fireflyford import core

_MAGIC = 0xF7
_VERSION = 1
_BODY = struct.Struct("!BBBBQIQ16sHB5x")
_TAG_BYTES = 8
_HOLDER = struct.Struct("!4sH")
FORWARD_HEADER_BYTES = _BODY.size + _TAG_BYTES
# One more than the three earlier holders that a balancer lists.
MAX_HOPS = 4
MAX_HOLDERS = 3
_IPV4_PREFIX = b"\0" * 10 + b"\xff\xff"


class ForwardType(enum.Enum):
    """Direction or purpose of a forwarded datagram."""

    TO_AGENT = 1
    TO_CALLER = 2
    ADOPT = 3


_TYPES = {kind.value: kind for kind in ForwardType}


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardHeader:
    """Where a forwarded datagram comes from and whom it is meant for.

    Attributes:
        kind: Direction or purpose.
        service: Tag of the service.
        incarnation: Target incarnation, 0 for a flow that has no holder.
        flow_key: Key of a flow that carries no identifier, else 0.
        caller: Address of the caller.
        hops: How many agents have passed the datagram on.
        holders: Link addresses of earlier holders, in search order.
    """

    kind: ForwardType
    service: int
    incarnation: int
    flow_key: int
    caller: core.Address
    hops: int = 0
    holders: tuple[core.Address, ...] = ()


class ForwardCodec:
    """Writes and verifies forwarding headers with the link key."""

    def __init__(self, key: bytes) -> None:
        """Prepares the codec.

        Args:
            key: Link key of 16 to 32 bytes, equal on all instances.

        Raises:
            ValueError: The key has the wrong length.
        """
        if not 16 <= len(key) <= 32:
            raise ValueError("the link key needs 16 to 32 bytes")
        self._hasher = hashlib.blake2s(key=key, digest_size=_TAG_BYTES)

    def pack(self, header: ForwardHeader, payload: bytes) -> bytes:
        """Returns header and payload as one datagram."""
        body = _BODY.pack(
            _MAGIC,
            _VERSION,
            header.kind.value,
            header.hops,
            header.service,
            header.incarnation & 0xFFFFFFFF,
            header.flow_key,
            _pack_host(header.caller.host),
            header.caller.port,
            len(header.holders),
        )
        holders = _pack_holders(header.holders)
        return body + self._tag(body, holders) + holders + payload

    def unpack(self, datagram: bytes) -> tuple[ForwardHeader, bytes] | None:
        """Returns header and payload, or None if the datagram is not ours."""
        if len(datagram) < FORWARD_HEADER_BYTES:
            return None
        fields = _BODY.unpack_from(datagram)
        kind = _TYPES.get(fields[2])
        if fields[:2] != (_MAGIC, _VERSION) or kind is None:
            return None
        holder_count = fields[9]
        start = FORWARD_HEADER_BYTES + holder_count * _HOLDER.size
        if holder_count > MAX_HOLDERS or len(datagram) < start:
            return None
        holders = datagram[FORWARD_HEADER_BYTES:start]
        body = datagram[: _BODY.size]
        tag = datagram[_BODY.size : FORWARD_HEADER_BYTES]
        if self._tag(body, holders) != tag:
            return None
        header = ForwardHeader(
            kind=kind,
            service=fields[4],
            incarnation=fields[5],
            flow_key=fields[6],
            caller=core.Address(_unpack_host(fields[7]), fields[8]),
            hops=fields[3],
            holders=_unpack_holders(holders) if holders else (),
        )
        return header, datagram[start:]

    def _tag(self, body: bytes, holders: bytes) -> bytes:
        hasher = self._hasher.copy()
        hasher.update(body)
        hasher.update(holders)
        return hasher.digest()


def _pack_host(host: str) -> bytes:
    if ":" in host:
        return ipaddress.IPv6Address(host).packed
    return _IPV4_PREFIX + bytes(map(int, host.split(".")))


def _unpack_host(data: bytes) -> str:
    if data.startswith(_IPV4_PREFIX):
        return "%d.%d.%d.%d" % tuple(data[12:])  # noqa: UP031 - faster here
    return str(ipaddress.IPv6Address(data))


def _pack_holders(holders: Sequence[core.Address]) -> bytes:
    return b"".join(
        _HOLDER.pack(bytes(map(int, holder.host.split("."))), holder.port)
        for holder in holders
    )


def _unpack_holders(data: bytes) -> tuple[core.Address, ...]:
    return tuple(
        core.Address(".".join(map(str, host)), port)
        for host, port in _HOLDER.iter_unpack(data)
    )
