"""The header before each datagram between a balancer and an agent.

Layout, 56 bytes: magic 1, version 1, type 1, hops 1, service tag 8, target
incarnation 4, flow key 8, caller address 16 (IPv4 mapped into IPv6), caller
port 2, holder count 1 (its top bit says that a balancer address follows),
stamp 5, keyed tag 8. A balancer address of 6 bytes, when there is one, and
`holder count` holders of 10 bytes each (link address 6, incarnation 4) follow
the header, then the payload. The tag covers all but the payload; of notices
between agents (`ADOPT`, `RELEASE`) it covers the payload too.
"""

from collections.abc import Sequence
import dataclasses
import enum
import functools
import hashlib
import ipaddress
import socket
import struct

from fireflyford import core

_MAGIC = 0xF7
_VERSION = 2
_BODY = struct.Struct("!BBBBQIQ16sHBBI")
_TAG_BYTES = 8
_HOLDER = struct.Struct("!4sHI")
_BALANCER = struct.Struct("!4sH")
_BALANCER_BIT = 0x80
_TAG_END = _BODY.size + _TAG_BYTES
FORWARD_HEADER_BYTES = _TAG_END
# One more than the three earlier holders that a balancer lists.
MAX_HOPS = 4
MAX_HOLDERS = 3
# Stamps are milliseconds of the time of day in 40 bits, which wrap after 34
# years.
TIMESTAMP_MASK = (1 << 40) - 1
_IPV4_PREFIX = b"\0" * 10 + b"\xff\xff"
# Addresses of balancers and agents recur; callers of one service may be
# millions, so the cache is bounded and small.
_CACHED_ADDRESSES = 4_096


class ForwardType(enum.Enum):
    """Direction or purpose of a forwarded datagram."""

    TO_AGENT = 1
    TO_CALLER = 2
    ADOPT = 3
    RELEASE = 4


_TYPES = {kind.value: kind for kind in ForwardType}
_NOTICES = frozenset({ForwardType.ADOPT.value, ForwardType.RELEASE.value})
_TO_AGENT = ForwardType.TO_AGENT.value
_TO_CALLER = ForwardType.TO_CALLER.value


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
        holders: Possible holders of the flow, in search order. Of a notice,
            the holder that it is about.
        timestamp_ms: Time of day at which a search or a claim started, the
            low 40 bits; 0 when there is neither.
        balancer: Link address of the balancer, set by the agent that passes a
            datagram on.
    """

    kind: ForwardType
    service: int
    incarnation: int
    flow_key: int
    caller: core.Address
    hops: int = 0
    holders: tuple[core.Holder, ...] = ()
    timestamp_ms: int = 0
    balancer: core.Address | None = None


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
        """Returns header and payload as one datagram.

        Raises:
            ValueError: There are more than `MAX_HOLDERS` holders.
        """
        if len(header.holders) > MAX_HOLDERS:
            raise ValueError(f"more than {MAX_HOLDERS} holders")
        lists = _pack_holders(header.holders)
        count = len(header.holders)
        if header.balancer is not None:
            host = socket.inet_aton(header.balancer.host)
            lists = _BALANCER.pack(host, header.balancer.port) + lists
            count |= _BALANCER_BIT
        stamp = header.timestamp_ms & TIMESTAMP_MASK
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
            count,
            stamp >> 32,
            stamp & 0xFFFFFFFF,
        )
        covered = lists
        if header.kind.value in _NOTICES:
            covered = lists + payload
        return body + self._tag(body + covered) + lists + payload

    def pack_to_agent(
        self,
        service: int,
        incarnation: int,
        flow_key: int,
        caller: tuple[str, int],
        holders: Sequence[core.Holder],
        payload: bytes,
    ) -> bytes:
        """Returns a caller's datagram as `pack` does, without a header value.

        The caller's address comes from the operating system, so checking it
        once more, as `core.Address` does, would only cost time.
        """
        body = _BODY.pack(
            _MAGIC,
            _VERSION,
            _TO_AGENT,
            0,
            service,
            incarnation,
            flow_key,
            _pack_host(caller[0]),
            caller[1],
            len(holders),
            0,
            0,
        )
        if not holders:
            return body + self._tag(body) + payload
        lists = _pack_holders(holders)
        return body + self._tag(body + lists) + lists + payload

    def unpack_to_caller(
        self, datagram: bytes
    ) -> tuple[int, tuple[str, int], bytes] | None:
        """Returns service tag, caller and payload of an agent's answer.

        Returns:
            None if the datagram is not ours or goes another way.
        """
        if len(datagram) < _TAG_END:
            return None
        body = datagram[: _BODY.size]
        if self._tag(body) != datagram[_BODY.size : _TAG_END]:
            return None
        fields = _BODY.unpack(body)
        if fields[:3] != (_MAGIC, _VERSION, _TO_CALLER) or fields[9]:
            return None
        caller = (_unpack_host(fields[7]), fields[8])
        return fields[4], caller, datagram[_TAG_END:]

    def unpack(self, datagram: bytes) -> tuple[ForwardHeader, bytes] | None:
        """Returns header and payload, or None if the datagram is not ours."""
        if len(datagram) < _TAG_END:
            return None
        fields = _BODY.unpack_from(datagram)
        kind = _TYPES.get(fields[2])
        if fields[:2] != (_MAGIC, _VERSION) or kind is None:
            return None
        holder_count = fields[9] & ~_BALANCER_BIT
        start = _TAG_END + holder_count * _HOLDER.size
        if fields[9] & _BALANCER_BIT:
            start += _BALANCER.size
        if holder_count > MAX_HOLDERS or len(datagram) < start:
            return None
        lists = datagram[_TAG_END:start]
        covered = datagram[_TAG_END:] if fields[2] in _NOTICES else lists
        tag = datagram[_BODY.size : _TAG_END]
        if self._tag(datagram[: _BODY.size] + covered) != tag:
            return None
        balancer = None
        if fields[9] & _BALANCER_BIT:
            balancer = _make_address(*_BALANCER.unpack_from(lists))
            lists = lists[_BALANCER.size :]
        header = ForwardHeader(
            kind=kind,
            service=fields[4],
            incarnation=fields[5],
            flow_key=fields[6],
            caller=_make_caller(fields[7], fields[8]),
            hops=fields[3],
            holders=_unpack_holders(lists) if lists else (),
            timestamp_ms=fields[10] << 32 | fields[11],
            balancer=balancer,
        )
        return header, datagram[start:]

    def _tag(self, covered: bytes) -> bytes:
        # Copying a keyed hash is about twice as fast as keying a new one.
        hasher = self._hasher.copy()
        hasher.update(covered)
        return hasher.digest()


def _pack_host(host: str) -> bytes:
    if ":" in host:
        return socket.inet_pton(socket.AF_INET6, host.partition("%")[0])
    return _IPV4_PREFIX + socket.inet_aton(host)


def _unpack_host(data: bytes) -> str:
    if data.startswith(_IPV4_PREFIX):
        return socket.inet_ntoa(data[12:])
    return str(ipaddress.IPv6Address(data))


def _pack_holders(holders: Sequence[core.Holder]) -> bytes:
    return b"".join(
        [
            _HOLDER.pack(
                socket.inet_aton(holder.address.host),
                holder.address.port,
                holder.incarnation,
            )
            for holder in holders
        ]
    )


def _unpack_holders(data: bytes) -> tuple[core.Holder, ...]:
    return tuple(
        core.Holder(_make_address(host, port), incarnation)
        for host, port, incarnation in _HOLDER.iter_unpack(data)
    )


@functools.lru_cache(_CACHED_ADDRESSES)
def _make_address(host: bytes, port: int) -> core.Address:
    return core.Address(socket.inet_ntoa(host), port)


@functools.lru_cache(_CACHED_ADDRESSES)
def _make_caller(host: bytes, port: int) -> core.Address:
    return core.Address(_unpack_host(host), port)
