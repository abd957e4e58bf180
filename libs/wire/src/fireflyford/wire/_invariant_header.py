"""The parts of a QUIC packet that a balancer may read (RFC 8999)."""

import dataclasses
import enum

from fireflyford.wire import _connection_id

_LONG_HEADER_BIT = 0x80
_FIXED_BIT = 0x40
_VERSION_BYTES = 4
# RFC 9000, section 14.1: smaller datagrams cannot start a connection.
MIN_INITIAL_BYTES = 1200
_MAX_CONNECTION_ID_BYTES = 20


class HeaderForm(enum.Enum):
    """Form of the first packet in a datagram."""

    SHORT = "short"
    LONG = "long"


@dataclasses.dataclass(frozen=True, slots=True)
class InvariantHeader:
    """What the invariant header says.

    Attributes:
        form: Header form.
        destination_connection_id: Destination connection ID.
    """

    form: HeaderForm
    destination_connection_id: bytes


def parse_invariant_header(datagram: bytes) -> InvariantHeader | None:
    """Reads the version-independent header of the first packet.

    Args:
        datagram: Payload of a UDP datagram.

    Returns:
        The hint, or None when the datagram is not a QUIC packet.

    >>> parse_invariant_header(b"") is None
    True
    """
    if not datagram:
        return None
    first = datagram[0]
    if not first & _LONG_HEADER_BIT:
        end = 1 + _connection_id.CONNECTION_ID_BYTES
        if not first & _FIXED_BIT or len(datagram) < end:
            return None
        return InvariantHeader(HeaderForm.SHORT, datagram[1:end])
    start = 2 + _VERSION_BYTES
    if len(datagram) < start:
        return None
    length_bytes = datagram[start - 1]
    destination = datagram[start : start + length_bytes]
    if length_bytes > _MAX_CONNECTION_ID_BYTES:
        return None
    if len(destination) != length_bytes:
        return None
    return InvariantHeader(HeaderForm.LONG, destination)
