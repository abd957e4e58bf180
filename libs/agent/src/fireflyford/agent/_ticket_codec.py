"""Text form of tickets, in the header `fireflyford-ticket`."""

import base64
import binascii
import hashlib
import ipaddress
import struct

from fireflyford import core
from fireflyford import requests

# IPv4 address, port, incarnation, serial, issue time (6 bytes).
_FIELDS = struct.Struct("!4sHQI6s")
_TAG_BYTES = 8
TICKET_BYTES = _FIELDS.size + _TAG_BYTES
_TIME_BYTES = 6


class TicketCodec:
    """Encodes tickets of 32 bytes, with a keyed tag, as base64url."""

    def __init__(self, key: bytes) -> None:
        """Takes the link key, which all agents of a deployment share."""
        self._key = key

    def encode(self, ticket: requests.Ticket) -> str:
        """Returns the text of a ticket."""
        fields = _FIELDS.pack(
            ipaddress.IPv4Address(ticket.issuer.host).packed,
            ticket.issuer.port,
            ticket.incarnation,
            ticket.serial,
            ticket.issued_ms.to_bytes(_TIME_BYTES, "big"),
        )
        return base64.urlsafe_b64encode(fields + self._tag(fields)).decode()

    def decode(self, text: str) -> core.Outcome[requests.Ticket]:
        """Returns the ticket, or `TICKET_INVALID`."""
        try:
            data = base64.b64decode(text, altchars=b"-_", validate=True)
        except (binascii.Error, ValueError):
            return _invalid()
        fields, tag = data[: _FIELDS.size], data[_FIELDS.size :]
        if len(data) != TICKET_BYTES or tag != self._tag(fields):
            return _invalid()
        host, port, incarnation, serial, issued = _FIELDS.unpack(fields)
        address = core.Address(str(ipaddress.IPv4Address(host)), port)
        return core.Ok(
            requests.Ticket(
                address, incarnation, serial, int.from_bytes(issued, "big")
            )
        )

    def _tag(self, fields: bytes) -> bytes:
        return hashlib.blake2s(
            fields, key=self._key, digest_size=_TAG_BYTES, person=b"ticket"
        ).digest()


def _invalid() -> core.Failure:
    return core.Failure(
        core.ErrorKind.TICKET_INVALID, "the ticket is not one of this service"
    )
