"""Header of the datagrams forwarded between balancers and agents.

Layout, 56 bytes: magic 1, version 1, type 1, hops 1, service tag 8, target
incarnation 4, flow key 8, caller address 16 (IPv4-mapped IPv6 for IPv4), caller
port 2, holder count 1 (the top bit is set if a balancer address follows),
timestamp 5, keyed tag 8. The header is followed by an optional balancer address
of 6 bytes, by `holder count` holders of 10 bytes each (link address 6,
incarnation 4) and by the payload. The tag authenticates everything but the
payload; in notices between agents (`ADOPT`, `RELEASE`) the payload too.
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
_FIXED_FIELDS = struct.Struct("!BBBBQIQ16sHBBI")
_TAG_BYTES = 8
_HOLDER = struct.Struct("!4sHI")
_BALANCER = struct.Struct("!4sH")
_BALANCER_FLAG = 0x80
_TAG_END = _FIXED_FIELDS.size + _TAG_BYTES
FORWARD_HEADER_BYTES = _TAG_END
# A search for the holder of a flow asks up to `MAX_HOLDERS` agents and then
# returns to the agent that started it.
MAX_HOPS = 4
MAX_HOLDERS = 3
# Timestamps are wall-clock milliseconds in 40 bits, which wrap after 34 years.
TIMESTAMP_MASK = (1 << 40) - 1
_IPV4_PREFIX = b"\0" * 10 + b"\xff\xff"
# Addresses of balancers and agents recur and are worth caching. A service may
# have millions of callers, whose addresses must not fill the memory.
_ADDRESS_CACHE_SIZE = 4_096


class ForwardType(enum.Enum):
    """Type of a forwarded datagram: its direction, or a kind of notice."""

    TO_AGENT = 1
    TO_CALLER = 2
    ADOPT = 3
    RELEASE = 4


_TYPE_BY_VALUE = {kind.value: kind for kind in ForwardType}
_NOTICE_TYPES = frozenset({ForwardType.ADOPT.value, ForwardType.RELEASE.value})
_TO_AGENT = ForwardType.TO_AGENT.value
_TO_CALLER = ForwardType.TO_CALLER.value


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardHeader:
    """Fields of a forwarding header, without its authentication tag.

    Attributes:
        kind: Type of the datagram.
        service: Tag of the service.
        incarnation: Incarnation of the target, 0 for a flow without a holder.
        flow_key: Key of a flow whose packets carry no identifier, else 0.
        caller: Address of the caller.
        hops: Number of agents that have relayed the datagram.
        holders: Possible holders of the flow, in search order; in a notice,
            the holder that it concerns.
        timestamp_ms: Low 40 bits of the wall-clock time at which a search or
            claim started; 0 without one.
        balancer: Link address of the balancer, set by the agent that relays
            the datagram.
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
    """Encodes and authenticates forwarding headers with the link key."""

    def __init__(self, key: bytes) -> None:
        """Creates the codec.

        Args:
            key: Link key of 16 to 32 bytes, the same on all instances.

        Raises:
            ValueError: The key has the wrong length.
        """
        if not 16 <= len(key) <= 32:
            raise ValueError("the link key must have 16 to 32 bytes")
        self._hasher = hashlib.blake2s(key=key, digest_size=_TAG_BYTES)

    def pack(self, header: ForwardHeader, payload: bytes) -> bytes:
        """Returns header and payload as one datagram.

        Raises:
            ValueError: There are more than `MAX_HOLDERS` holders.
        """
        if len(header.holders) > MAX_HOLDERS:
            raise ValueError(
                f"the header can carry at most {MAX_HOLDERS} holders"
            )
        extension = _pack_holders(header.holders)
        count = len(header.holders)
        if header.balancer is not None:
            host = socket.inet_aton(header.balancer.host)
            extension = _BALANCER.pack(host, header.balancer.port) + extension
            count |= _BALANCER_FLAG
        timestamp_ms = header.timestamp_ms & TIMESTAMP_MASK
        body = _FIXED_FIELDS.pack(
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
            timestamp_ms >> 32,
            timestamp_ms & 0xFFFFFFFF,
        )
        authenticated = extension
        if header.kind.value in _NOTICE_TYPES:
            authenticated = extension + payload
        return (
            body + self._compute_tag(body + authenticated) + extension + payload
        )

    def pack_to_agent(
        self,
        service: int,
        incarnation: int,
        flow_key: int,
        caller: tuple[str, int],
        holders: Sequence[core.Holder],
        payload: bytes,
    ) -> bytes:
        """Returns the same as `pack` for a datagram from a caller, but faster.

        Takes no `ForwardHeader`: the caller's address comes from the operating
        system, so validating it again in `core.Address` would only cost time.
        """
        body = _FIXED_FIELDS.pack(
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
            return body + self._compute_tag(body) + payload
        extension = _pack_holders(holders)
        return body + self._compute_tag(body + extension) + extension + payload

    def unpack_to_caller(
        self, datagram: bytes
    ) -> tuple[int, tuple[str, int], bytes] | None:
        """Returns service tag, caller and payload of a datagram to a caller.

        Returns:
            None if the datagram is invalid, is not of type `TO_CALLER` or
            carries holders or a balancer.
        """
        if len(datagram) < _TAG_END:
            return None
        body = datagram[: _FIXED_FIELDS.size]
        if self._compute_tag(body) != datagram[_FIXED_FIELDS.size : _TAG_END]:
            return None
        fields = _FIXED_FIELDS.unpack(body)
        if fields[:3] != (_MAGIC, _VERSION, _TO_CALLER) or fields[9]:
            return None
        caller = (_unpack_host(fields[7]), fields[8])
        return fields[4], caller, datagram[_TAG_END:]

    def unpack(self, datagram: bytes) -> tuple[ForwardHeader, bytes] | None:
        """Returns header and payload, or None if the datagram is invalid."""
        if len(datagram) < _TAG_END:
            return None
        fields = _FIXED_FIELDS.unpack_from(datagram)
        kind = _TYPE_BY_VALUE.get(fields[2])
        if fields[:2] != (_MAGIC, _VERSION) or kind is None:
            return None
        holder_count = fields[9] & ~_BALANCER_FLAG
        start = _TAG_END + holder_count * _HOLDER.size
        if fields[9] & _BALANCER_FLAG:
            start += _BALANCER.size
        if holder_count > MAX_HOLDERS or len(datagram) < start:
            return None
        extension = datagram[_TAG_END:start]
        authenticated = (
            datagram[_TAG_END:] if fields[2] in _NOTICE_TYPES else extension
        )
        tag = datagram[_FIXED_FIELDS.size : _TAG_END]
        if (
            self._compute_tag(datagram[: _FIXED_FIELDS.size] + authenticated)
            != tag
        ):
            return None
        balancer = None
        if fields[9] & _BALANCER_FLAG:
            balancer = _ipv4_address(*_BALANCER.unpack_from(extension))
            extension = extension[_BALANCER.size :]
        header = ForwardHeader(
            kind=kind,
            service=fields[4],
            incarnation=fields[5],
            flow_key=fields[6],
            caller=_caller_address(fields[7], fields[8]),
            hops=fields[3],
            holders=_unpack_holders(extension) if extension else (),
            timestamp_ms=fields[10] << 32 | fields[11],
            balancer=balancer,
        )
        return header, datagram[start:]

    def _compute_tag(self, authenticated: bytes) -> bytes:
        # Copying a keyed hash is about twice as fast as keying a new one.
        hasher = self._hasher.copy()
        hasher.update(authenticated)
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
        core.Holder(_ipv4_address(host, port), incarnation)
        for host, port, incarnation in _HOLDER.iter_unpack(data)
    )


@functools.lru_cache(_ADDRESS_CACHE_SIZE)
def _ipv4_address(host: bytes, port: int) -> core.Address:
    return core.Address(socket.inet_ntoa(host), port)


@functools.lru_cache(_ADDRESS_CACHE_SIZE)
def _caller_address(host: bytes, port: int) -> core.Address:
    return core.Address(_unpack_host(host), port)
