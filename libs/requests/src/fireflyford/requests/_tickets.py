"""Tickets, whose issuers decide on requests that run at most once."""

import dataclasses

from fireflyford import core

# Time after the issue of a ticket in which its response can be repeated.
TICKET_RETENTION_MS = 120_000


@dataclasses.dataclass(frozen=True)
class Ticket:
    """Permission to run one request, issued by one agent incarnation.

    Attributes:
        issuer: Link address of the issuing agent.
        incarnation: Incarnation of the issuing agent.
        serial: Sequence number of the ticket within the incarnation.
        issued_ms: Time of issue on the issuer's monotonic clock. Only the
            issuer compares it, so clocks need not be synchronized.
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
        """Creates an issuer.

        Args:
            clock: Source of time.
            address: Link address of the agent.
            incarnation: Incarnation of the agent.
        """
        self._clock = clock
        self.address = address
        self.incarnation = incarnation
        self._serial = 0

    def issue(self) -> Ticket:
        """Returns a new, unique ticket."""
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
