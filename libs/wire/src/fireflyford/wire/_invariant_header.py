"""Version-independent part of QUIC packet headers (RFC 8999)."""

import dataclasses
import enum

from fireflyford.wire import _connection_id

_LONG_HEADER_BIT = 0x80
_FIXED_BIT = 0x40
_VERSION_BYTES = 4
# RFC 9000, section 14.1: a smaller datagram cannot open a connection.
MIN_INITIAL_BYTES = 1200
_MAX_CONNECTION_ID_BYTES = 20


class HeaderForm(enum.Enum):
    """Header form of a QUIC packet."""

    SHORT = "short"
    LONG = "long"


@dataclasses.dataclass(frozen=True, slots=True)
class InvariantHeader:
    """Version-independent fields of a QUIC packet header.

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
        The header, or None if the datagram is not a QUIC packet.

    >>> parse_invariant_header(b"") is None
    True
    """
    if not datagram:
        return None
    first_byte = datagram[0]
    if not first_byte & _LONG_HEADER_BIT:
        end = 1 + _connection_id.CONNECTION_ID_BYTES
        if not first_byte & _FIXED_BIT or len(datagram) < end:
            return None
        return InvariantHeader(HeaderForm.SHORT, datagram[1:end])
    start = 2 + _VERSION_BYTES
    if len(datagram) < start:
        return None
    length = datagram[start - 1]
    connection_id = datagram[start : start + length]
    if length > _MAX_CONNECTION_ID_BYTES:
        return None
    if len(connection_id) != length:
        return None
    return InvariantHeader(HeaderForm.LONG, connection_id)
