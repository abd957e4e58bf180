"""Packets that wait for the answer of a directory agent."""

from fireflyford import core
from fireflyford.flows import _known_flow
from fireflyford.flows import _routes
from fireflyford.flows import _types


class PendingPacket:
    """A packet whose flow the directory agent has been asked to resolve."""

    def __init__(
        self,
        packet: _types.Packet,
        service: str,
        other_services: list[str],
        directory_agent: core.Address | None,
        route: _routes.Route,
        now_ms: int,
        retry_delay_ms: int,
    ) -> None:
        """Initializes a packet that was just sent to a directory agent.

        Args:
            packet: The packet.
            service: Service that is asked for the flow.
            other_services: Services to ask if this one does not hold it.
            directory_agent: Agent that is asked, None if there is none.
            route: Route of the packet.
            now_ms: Time of the clock.
            retry_delay_ms: Time until the packet is sent again.
        """
        self.packet = packet
        self.service = service
        self.other_services = other_services
        self.directory_agent = directory_agent
        self.route = route
        self.received_ms = now_ms
        self.sent_ms = now_ms
        self.retry_delay_ms = retry_delay_ms
        # Whether the directory agent has queued the flow until a backend server
        # has room, or searches it and waits for silent agents.
        self.is_queued = False

    def awaits(self, service: str | None, ack: int) -> bool:
        """Returns whether an answer of a service is about this packet's flow.

        Args:
            service: Service of the directory agent that answers.
            ack: Acknowledgment number of the client's packet that the directory
                agent has asked about. It is in the sequence of the backend
                server, which differs from that of an earlier flow.
        """
        return (
            not self.packet.opens
            and self.service == service
            and _known_flow.is_near(self.packet.ack, ack)
        )

    def is_copied_by(self, packet: _types.Packet) -> bool:
        """Returns whether a packet is a copy of this opening packet."""
        return (
            packet.opens and self.packet.opens and self.packet.seq == packet.seq
        )

    def continues(self, packet: _types.Packet) -> bool:
        """Returns whether a packet asks for the same open flow as this one."""
        return (
            not packet.opens
            and not self.packet.opens
            and _known_flow.is_near(self.packet.seq, packet.seq)
        )
