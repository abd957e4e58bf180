"""All decisions of one agent: its backend server's flows and its directory."""

from fireflyford import core
from fireflyford import telemetry
from fireflyford.flows import _fleet
from fireflyford.flows import _home
from fireflyford.flows import _keeper
from fireflyford.flows import _messages
from fireflyford.flows import _placement
from fireflyford.flows import _types


class AgentFlows:
    """Decides about every packet and message of one agent."""

    def __init__(
        self,
        clock: core.Clock,
        own: _types.Instance,
        fleet: _fleet.Fleet,
        placement: _placement.Placement,
    ) -> None:
        """Starts without flows.

        Args:
            clock: Source of time.
            own: This agent.
            fleet: View of the other instances.
            placement: Policy for new flows.
        """
        self._own = own
        self._fleet = fleet
        self.forwarder = _keeper.TargetForwarder(clock, own, fleet)
        self.directory = _home.FlowDirectory(clock, own, fleet, placement)
        self._announced_generation = -1

    def receive(
        self,
        sender: core.Address,
        forward: _messages.Forward,
        packet: _types.Packet,
    ) -> list[_types.Action]:
        """Handles a packet that a balancer or another agent passed on."""
        if forward.service != self._own.service:
            return self._refuse_foreign(sender, forward, packet)
        if forward.handling is _messages.Handling.RESOLVE:
            return self.directory.resolve(forward, packet)
        return self.forwarder.receive(sender, forward, packet)

    def handle_message(
        self, sender: core.Address, message: _messages.Message
    ) -> list[_types.Action]:
        """Handles a message about flows or about an instance."""
        if isinstance(message, _messages.FlowLocated):
            return self.directory.locate(sender, message)
        if isinstance(message, _messages.PlacementDeclined):
            return self.directory.decline(sender, message)
        if isinstance(message, _messages.NotHeld):
            return self.directory.absent(sender, message.flow)
        if isinstance(message, _messages.FlowAnnouncement):
            return self.directory.hold(sender, message.flows)
        if isinstance(message, _messages.LoadReport):
            self.directory.record_load(sender, message.load)
        elif isinstance(message, _messages.Heartbeat):
            self._fleet.apply_heartbeat(message)
            self.directory.record_load(sender, message.load)
        return []

    def sweep(self) -> list[_types.Action]:
        """Acts on timeouts and on changes of the view."""
        actions = [*self.forwarder.sweep(), *self.directory.sweep()]
        if self._fleet.generation != self._announced_generation:
            self._announced_generation = self._fleet.generation
            actions += self.forwarder.announce_all()
        return actions

    def expire(self) -> None:
        """Forgets what has not been used for long."""
        self.forwarder.tracker.sweep()
        self.directory.expire()

    def _refuse_foreign(
        self,
        sender: core.Address,
        forward: _messages.Forward,
        packet: _types.Packet,
    ) -> list[_types.Action]:
        """Refuses a packet of a service that had this address before."""
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
