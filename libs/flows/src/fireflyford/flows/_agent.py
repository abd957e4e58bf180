"""Decisions of one agent about its backend server's flows and its directory."""

from fireflyford import core
from fireflyford import telemetry
from fireflyford.flows import _fleet
from fireflyford.flows import _flow_directory
from fireflyford.flows import _messages
from fireflyford.flows import _placement
from fireflyford.flows import _target_forwarder
from fireflyford.flows import _types
from fireflyford.flows import _waiting_list


class AgentFlows:
    """Handles every packet and message of one agent."""

    def __init__(
        self,
        clock: core.Clock,
        own_instance: _types.Instance,
        fleet: _fleet.Fleet,
        placement: _placement.Placement,
        order: _waiting_list.WaitingOrder | None = None,
    ) -> None:
        """Initializes an agent without flows.

        Args:
            clock: Source of time.
            own_instance: This agent.
            fleet: View of all instances.
            placement: Policy for new flows.
            order: Order of flows with terms that wait for a slot.
        """
        self._own_instance = own_instance
        self._fleet = fleet
        self.forwarder = _target_forwarder.TargetForwarder(
            clock, own_instance, fleet, order
        )
        self.directory = _flow_directory.FlowDirectory(
            clock, own_instance, fleet, placement
        )
        self._announced_generation = -1

    def receive(
        self,
        sender: core.Address,
        forward: _messages.Forward,
        packet: _types.Packet,
    ) -> list[_types.Action]:
        """Handles a packet forwarded by a balancer or another agent."""
        if forward.service != self._own_instance.service:
            return self._decline_other_service(sender, forward, packet)
        if forward.handling is _messages.Handling.RESOLVE:
            return self.directory.resolve(forward, packet)
        return self.forwarder.receive(sender, forward, packet)

    def handle_message(
        self, sender: core.Address, message: _messages.Message
    ) -> list[_types.Action]:
        """Handles a message about flows or about an instance."""
        if isinstance(message, _messages.FlowLocated):
            return self.directory.handle_located(sender, message)
        if isinstance(message, _messages.PlacementDeclined):
            return self.directory.handle_declined(sender, message)
        if isinstance(message, _messages.NotHeld):
            return self.directory.handle_not_held(sender, message.flow)
        if isinstance(message, _messages.SlotGranted):
            return self.directory.handle_granted(sender, message.flow)
        if isinstance(message, _messages.PlacementWithdrawn):
            return self.forwarder.handle_withdrawn(sender, message.flow)
        if isinstance(message, _messages.FlowAnnouncement):
            return self.directory.handle_announcement(sender, message.flows)
        if isinstance(message, _messages.LoadReport):
            self.directory.record_load(sender, message.load)
        elif isinstance(message, _messages.Heartbeat):
            self._fleet.apply_heartbeat(message)
            self.directory.record_load(sender, message.load)
        return []

    def sweep(self) -> list[_types.Action]:
        """Handles timeouts, and announces flows after a change of the fleet."""
        actions = [*self.forwarder.sweep(), *self.directory.sweep()]
        if self._fleet.generation != self._announced_generation:
            self._announced_generation = self._fleet.generation
            actions += self.forwarder.announce_moved()
        return actions

    def has_timeouts(self) -> bool:
        """Returns whether an offer, a search or a packet awaits an answer."""
        return self.forwarder.has_timeouts() or self.directory.has_timeouts()

    def expire(self) -> None:
        """Removes idle flows and idle directory entries."""
        self.forwarder.tracker.expire()
        self.directory.expire()

    def _decline_other_service(
        self,
        sender: core.Address,
        forward: _messages.Forward,
        packet: _types.Packet,
    ) -> list[_types.Action]:
        """Declines a packet of another service.

        The sender still knows an earlier agent at this address.
        """
        telemetry.log(
            "foreign-service",
            flow=_types.describe_flow(packet.flow),
            service=forward.service,
        )
        if forward.handling is _messages.Handling.PLACE:
            reason = _messages.DeclineReason.OTHER_SERVICE
            declined = _messages.PlacementDeclined(
                packet.flow, reason, self.forwarder.load()
            )
            return [_messages.Send(sender, declined)]
        return [_messages.Send(sender, _messages.NotHeld(packet.flow))]
