"""Text encoding of tickets for the header `fireflyford-ticket`."""

import base64
import binascii
import hashlib
import ipaddress
import struct

from fireflyford import core
from fireflyford import requests

# IPv4 address, port, incarnation, serial, issue time (6 bytes).
_TICKET_LAYOUT = struct.Struct("!4sHQI6s")
_TAG_BYTES = 8
TICKET_BYTES = _TICKET_LAYOUT.size + _TAG_BYTES
_TIME_BYTES = 6


class TicketCodec:
    """Codec for tickets: 32 bytes with a keyed tag, encoded as base64url."""

    def __init__(self, key: bytes) -> None:
        """Initializes the codec with the link key of the deployment."""
        self._key = key

    def encode(self, ticket: requests.Ticket) -> str:
        """Returns the encoded ticket."""
        fields = _TICKET_LAYOUT.pack(
            ipaddress.IPv4Address(ticket.issuer.host).packed,
            ticket.issuer.port,
            ticket.incarnation,
            ticket.serial,
            ticket.issued_ms.to_bytes(_TIME_BYTES, "big"),
        )
        return base64.urlsafe_b64encode(
            fields + self._compute_tag(fields)
        ).decode()

    def decode(self, text: str) -> core.Outcome[requests.Ticket]:
        """Returns the decoded ticket, or a `TICKET_INVALID` failure."""
        try:
            data = base64.b64decode(text, altchars=b"-_", validate=True)
        except (binascii.Error, ValueError):
            return _ticket_invalid()
        fields, tag = data[: _TICKET_LAYOUT.size], data[_TICKET_LAYOUT.size :]
        if len(data) != TICKET_BYTES or tag != self._compute_tag(fields):
            return _ticket_invalid()
        host, port, incarnation, serial, issued_bytes = _TICKET_LAYOUT.unpack(
            fields
        )
        address = core.Address(str(ipaddress.IPv4Address(host)), port)
        return core.Ok(
            requests.Ticket(
                address,
                incarnation,
                serial,
                int.from_bytes(issued_bytes, "big"),
            )
        )

    def _compute_tag(self, fields: bytes) -> bytes:
        return hashlib.blake2s(
            fields, key=self._key, digest_size=_TAG_BYTES, person=b"ticket"
        ).digest()


def _ticket_invalid() -> core.Failure:
    return core.Failure(
        core.ErrorKind.TICKET_INVALID,
        "ticket is malformed or its authentication tag is wrong",
    )
