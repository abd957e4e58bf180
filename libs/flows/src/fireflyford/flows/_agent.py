"""Decisions of one agent about its backend server's flows and its directory."""

from fireflyford import core
from fireflyford import telemetry
from fireflyford.flows import _evacuation
from fireflyford.flows import _fleet
from fireflyford.flows import _flow_directory
from fireflyford.flows import _messages
from fireflyford.flows import _placement
from fireflyford.flows import _responsiveness
from fireflyford.flows import _target_forwarder
from fireflyford.flows import _types
from fireflyford.flows import _waiting_list
from fireflyford.flows import _warm_up
from fireflyford.flows import _zone_paths

# Time after a pause in which reports that waited meanwhile may be read.
REPORT_BACKLOG_MS = 100


class AgentFlows:
    """Handles every packet and message of one agent."""

    def __init__(
        self,
        clock: core.Clock,
        own_instance: _types.Instance,
        fleet: _fleet.Fleet,
        placement: _placement.Placement,
        second_offer_ratio: float = 0.0,
        responsiveness: _responsiveness.Responsiveness | None = None,
        warmup_overage: float = 0.0,
        warmup_slack: float = 0.0,
        order: _waiting_list.WaitingOrder | None = None,
        zone_paths: _zone_paths.ZonePaths | None = None,
    ) -> None:
        """Initializes an agent without flows.

        Args:
            clock: Source of time.
            own_instance: This agent.
            fleet: View of all instances.
            placement: Policy for new flows.
            second_offer_ratio: Second offers of new flows allowed for each
                offer, 0 for none.
            responsiveness: Judges the agents by their answers. Defaults to one
                that expects announcements of restarts from all agents.
            warmup_overage: Factor of the new flows that a cold backend server
                bears, 0 if they are not limited.
            warmup_slack: New flows a second that are allowed beyond that.
            order: Order of flows with terms that wait for a slot.
            zone_paths: Knows which zones do not reach this process. Defaults
                to one for a small fleet.
        """
        self.responsiveness = responsiveness or _responsiveness.Responsiveness(
            clock
        )
        self.zone_paths = zone_paths or _zone_paths.ZonePaths(
            clock, own_instance, fleet, self.responsiveness
        )
        self._own_instance = own_instance
        self._fleet = fleet
        # Evacuated zones, as known from opening packets.
        self.evacuation = _evacuation.Evacuations(clock)
        # Bounds the new flows of a cold backend server.
        self.warm_up = _warm_up.WarmUpLimit(clock, warmup_overage, warmup_slack)
        # Reports may have waited during a pause as well.
        self._pause_guard = _evacuation.PauseGuard(
            clock, lambda: self.warm_up.assume_cold("pause", REPORT_BACKLOG_MS)
        )
        self.forwarder = _target_forwarder.TargetForwarder(
            clock,
            own_instance,
            fleet,
            self.evacuation,
            self.warm_up,
            order,
            self.zone_paths,
        )
        self.directory = _flow_directory.FlowDirectory(
            clock,
            own_instance,
            fleet,
            placement,
            self.responsiveness,
            second_offer_ratio,
            evacuation=self.evacuation,
            zone_paths=self.zone_paths,
        )
        self._announced_generation = -1

    def receive(
        self,
        sender: core.Address,
        forward: _messages.Forward,
        packet: _types.Packet,
    ) -> list[_types.Action]:
        """Handles a packet forwarded by a balancer or another agent."""
        if forward.handling is not _messages.Handling.HELD:
            # Most packets are for the holder. They cost no extra time, as their
            # senders send other messages too.
            self.responsiveness.record_message(sender)
            self.zone_paths.record_message(sender)
        if packet.opens:
            self._learn_evacuation(forward.evacuation, sender)
            forward = forward.with_newest(self.evacuation.view)
        if forward.service != self._own_instance.service:
            return self._decline_other_service(sender, forward, packet)
        if packet.opens:
            self.warm_up.learn_rate(forward.terms)
        if forward.handling is _messages.Handling.RESOLVE:
            return self.directory.resolve(forward, packet)
        if (
            forward.handling is _messages.Handling.PLACE
            and self._pause_guard.is_backlog()
            and self.evacuation.view is not None
        ):
            # The zone may have been evacuated during the pause.
            return self.forwarder.decline_unless_known(sender, packet)
        return self.forwarder.receive(sender, forward, packet)

    def handle_message(
        self, sender: core.Address, message: _messages.Message
    ) -> list[_types.Action]:
        """Handles a message about flows or about an instance."""
        self.responsiveness.record_message(sender)
        self.zone_paths.record_message(sender)
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
        elif isinstance(message, _messages.PlannedRestart):
            self.responsiveness.record_planned_restart(
                message.address, message.incarnation
            )
        elif isinstance(message, _messages.PathReport):
            self.zone_paths.record_report(sender, message)
        elif isinstance(message, _messages.Heartbeat):
            self.responsiveness.record_heartbeat(message)
            self._fleet.apply_heartbeat(message)
            self.directory.record_load(sender, message.load)
        return []

    def sweep(self) -> list[_types.Action]:
        """Handles timeouts, and announces flows after a change of the fleet."""
        self.responsiveness.sweep()
        self._pause_guard.sweep()
        actions = [
            *self.zone_paths.sweep(),
            *self.forwarder.sweep(),
            *self.directory.sweep(),
        ]
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

    def _learn_evacuation(
        self, view: _evacuation.EvacuationView | None, sender: core.Address
    ) -> None:
        """Keeps a newer view; the backend server may be cold after it.

        A process that has just started does not know whether its zone was
        evacuated before the first view.
        """
        zone = self._own_instance.availability_zone
        may_return = (
            self.evacuation.view is None or zone in self.evacuation.zones
        )
        self.evacuation.learn(view, sender)
        if (
            may_return
            and self.evacuation.view is not None
            and zone not in self.evacuation.zones
        ):
            self.warm_up.assume_cold(
                "evacuation-ended", _warm_up.REPORT_DELAY_MS
            )

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
