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
        self.keeper = _keeper.Keeper(clock, own, fleet)
        self.home = _home.Home(clock, own, fleet, placement)
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
            return self.home.resolve(forward, packet)
        return self.keeper.receive(sender, forward, packet)

    def hear(
        self, sender: core.Address, message: _messages.Message
    ) -> list[_types.Action]:
        """Handles a message about flows or about an instance."""
        if isinstance(message, _messages.Located):
            return self.home.locate(sender, message)
        if isinstance(message, _messages.Declined):
            return self.home.decline(sender, message)
        if isinstance(message, _messages.Absent):
            return self.home.absent(sender, message.flow)
        if isinstance(message, _messages.Holding):
            return self.home.hold(sender, message.flows)
        if isinstance(message, _messages.LoadReport):
            self.home.take_load(sender, message.load)
        elif isinstance(message, _messages.Beat):
            self._fleet.hear(message)
            self.home.take_load(sender, message.load)
        return []

    def sweep(self) -> list[_types.Action]:
        """Acts on timeouts and on changes of the view."""
        actions = [*self.keeper.sweep(), *self.home.sweep()]
        if self._fleet.generation != self._announced_generation:
            self._announced_generation = self._fleet.generation
            actions += self.keeper.announce_all()
        return actions

    def expire(self) -> None:
        """Forgets what has not been used for long."""
        self.keeper.held.sweep()
        self.home.expire()

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
            declined = _messages.Declined(
                packet.flow, reason, self.keeper.load()
            )
            return [_messages.Send(sender, declined)]
        return [_messages.Send(sender, _messages.Absent(packet.flow))]
