"""Packets of clients and backend servers, as PROTOCOL.md describes them."""

import dataclasses
import ipaddress
import struct
import zlib

SYN, ACK, FIN, RST, BOUNCED = 128, 1, 2, 16, 8
MAX_DATA_BYTES = 1_200
MODULUS = 1 << 32
# A reset of the system is valid on an open flow if its sequence number is this
# close to the last acknowledgment of the client.
RESET_WINDOW = 76_800
# len, echo, dport, src, dst, sport, flags, pad, sum, seq, ack
_HEADER = struct.Struct("<HIHIIHB5sIII")
_CHECKSUM_KEY = b"known to both ends only"

# Client address and port, route address and port.
FlowKey = tuple[str, int, str, int]


@dataclasses.dataclass(frozen=True)
class Packet:
    """One packet of a flow."""

    src: str
    sport: int
    dst: str
    dport: int
    flags: int
    seq: int
    ack: int
    data: bytes = b""
    echo: int = 0
    checksum: int = 0

    def describe(self) -> str:
        """Returns the header for the record of a run."""
        names = (
            (SYN, "SYN"),
            (ACK, "ACK"),
            (FIN, "FIN"),
            (RST, "RST"),
            (BOUNCED, "BOUNCED"),
        )
        flags = "+".join(name for bit, name in names if self.flags & bit)
        return (
            f"{flags or 'none'} {self.src}:{self.sport}>"
            f"{self.dst}:{self.dport} seq={self.seq} ack={self.ack} "
            f"len={len(self.data)}"
        )


def _checksum(packet: Packet) -> int:
    text = (
        f"{packet.src}:{packet.sport}:{packet.dst}:{packet.dport}:"
        f"{packet.flags & ~BOUNCED}:{packet.seq}:{packet.ack}:"
    )
    return zlib.crc32(_CHECKSUM_KEY + text.encode() + packet.data)


def is_intact(packet: Packet) -> bool:
    """Returns whether the packet is as its sender wrote it."""
    return packet.checksum == _checksum(packet)


def encode(packet: Packet) -> bytes:
    """Encodes a packet of a client or a backend server, with its checksum."""
    return (
        _HEADER.pack(
            len(packet.data),
            0,
            packet.dport,
            int(ipaddress.IPv4Address(packet.src)),
            int(ipaddress.IPv4Address(packet.dst)),
            packet.sport,
            packet.flags,
            bytes(5),
            _checksum(packet),
            packet.seq,
            packet.ack,
        )
        + packet.data
    )


def decode(data: bytes) -> Packet:
    """Decodes a packet."""
    length, echo, dport, src, dst, sport, flags, _, checksum, seq, ack = (
        _HEADER.unpack_from(data)
    )
    body = data[_HEADER.size :]
    if length != len(body):
        raise ValueError("the length field differs from the length")
    return Packet(
        str(ipaddress.IPv4Address(src)),
        sport,
        str(ipaddress.IPv4Address(dst)),
        dport,
        flags,
        seq,
        ack,
        body,
        echo,
        checksum,
    )


def bounce(data: bytes) -> bytes:
    """Returns a received packet as a backend server sends it back."""
    returned = bytearray(data)
    returned[18] |= BOUNCED
    returned[19:24] = bytes(5)
    return bytes(returned)


def distance(start: int, end: int) -> int:
    """Returns the distance of two sequence numbers, in either direction."""
    ahead = (end - start) % MODULUS
    return min(ahead, MODULUS - ahead)
