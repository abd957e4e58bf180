"""Tickets: who decides about a request that must run at most once."""

import dataclasses

from fireflyford import core

# A response may be repeated for this long after its ticket was issued.
TICKET_RETENTION_MS = 120_000


@dataclasses.dataclass(frozen=True)
class Ticket:
    """Permission to run one request, held by one agent incarnation.

    Attributes:
        issuer: Link address of the agent that issued it.
        incarnation: Incarnation of that agent.
        serial: Number of the ticket within the incarnation.
        issued_ms: Time of issue on the issuer's monotonic clock. Only the
            issuer compares it, so clocks of instances need not agree.
    """

    issuer: core.Address
    incarnation: int
    serial: int
    issued_ms: int


class TicketIssuer:
    """Issues the tickets of one agent incarnation."""

    def __init__(
        self, clock: core.Clock, address: core.Address, incarnation: int
    ) -> None:
        """Takes the identity that tickets carry."""
        self._clock = clock
        self.address = address
        self.incarnation = incarnation
        self._serial = 0

    def issue(self) -> Ticket:
        """Returns a ticket that no other request has."""
        self._serial += 1
        return Ticket(
            self.address, self.incarnation, self._serial, self._clock.now_ms()
        )

    def is_issuer_of(self, ticket: Ticket) -> bool:
        """Returns whether this incarnation issued the ticket."""
        return (
            ticket.issuer == self.address
            and ticket.incarnation == self.incarnation
        )
