"""Forwarding of packets to the backend server of an agent.

The backend server is the authority on which flows it holds: it returns each
packet of a flow that it does not hold, and each opening packet that it does not
accept.
"""

import dataclasses

from fireflyford import core
from fireflyford import telemetry
from fireflyford.flows import _admission
from fireflyford.flows import _evacuation
from fireflyford.flows import _fleet
from fireflyford.flows import _flow_probes
from fireflyford.flows import _flow_tracker
from fireflyford.flows import _messages
from fireflyford.flows import _placement
from fireflyford.flows import _types
from fireflyford.flows import _waiting_list
from fireflyford.flows import _warm_up
from fireflyford.flows import _zone_paths

# Time limit for the backend server to accept a new flow; a running one takes
# less than a millisecond.
OPENING_LIMIT_MS = 50
# Interval at which an agent that withholds an answer to a search shows that it
# runs: well below the silence after which it would be taken for gone
# (`_responsiveness.MIN_SILENCE_MS`). Load reports can be further apart.
WITHHELD_REPORT_MS = 150
# Prevents forwarding loops between agents whose views of the fleet differ.
MAX_HOPS = 4
# Flows announced in one message.
ANNOUNCEMENT_BATCH_COUNT = 64


@dataclasses.dataclass(frozen=True, slots=True)
class _Opening:
    """A new flow whose opening packet the backend server has not answered."""

    forward: _messages.Forward
    sender: core.Address
    # Sequence number of the opening packet.
    seq: int
    deadline_ms: int


class TargetForwarder:
    """Delivers packets to one backend server and tracks its flows."""

    def __init__(
        self,
        clock: core.Clock,
        own_instance: _types.Instance,
        fleet: _fleet.Fleet,
        evacuation: _evacuation.Evacuations | None = None,
        warm_up: _warm_up.WarmUpLimit | None = None,
        order: _waiting_list.WaitingOrder | None = None,
        zone_paths: _zone_paths.ZonePaths | None = None,
    ) -> None:
        """Initializes a forwarder without flows.

        Args:
            clock: Source of time.
            own_instance: This agent.
            fleet: View of all instances.
            evacuation: Evacuated zones, None if there are none.
            warm_up: Limit of new flows while the backend server is cold, None
                if there is none.
            order: Order of flows with terms that wait for a slot.
            zone_paths: Knows which zones do not reach this process, None if
                all do.
        """
        self._zone_paths = zone_paths
        self.warm_up = warm_up or _warm_up.WarmUpLimit(clock)
        self._evacuation = evacuation or _evacuation.Evacuations(clock)
        self._clock = clock
        self._own_instance = own_instance
        self._fleet = fleet
        self.tracker = _flow_tracker.FlowTracker(clock)
        # Flows with terms that wait for a slot.
        self.admission = _admission.Admission(
            clock, fleet, order or _waiting_list.Deadline()
        )
        self.state = _types.TargetState.UNKNOWN
        # Whether the backend server may hold flows that were opened before
        # this process started.
        self.may_hold_untracked_flows = True
        self._openings: dict[bytes, _Opening] = {}
        self._probes = _flow_probes.FlowProbes(clock, own_instance, fleet)
        # When load reports were last sent in place of an answer to a search.
        self._withheld_report_ms = clock.now_ms()

    def load(self) -> _types.Load:
        """Returns the load of the backend server."""
        load = self.tracker.load(self.state)
        left_ms = self.warm_up.left_ms()
        return (
            dataclasses.replace(load, warmup_left_ms=left_ms)
            if left_ms
            else load
        )

    # Packets of clients.

    def receive(
        self,
        sender: core.Address,
        forward: _messages.Forward,
        packet: _types.Packet,
    ) -> list[_types.Action]:
        """Handles a packet for the backend server.

        With `Handling.PLACE` the packet offers a new flow, with `HELD` its flow
        is presumed to be held here, and with `SEARCH` every agent receives it.
        """
        if forward.handling is _messages.Handling.PLACE:
            return self._open(sender, forward, packet)
        tracked = self._tracked_flow(packet)
        if self.state is _types.TargetState.DOWN:
            return self._report_not_held(sender, forward, packet)
        if tracked is not None and tracked.matches(packet):
            is_repeat = self.tracker.record_client_packet(tracked, packet)
            return [
                _types.Deliver(packet),
                *self._notify_located(
                    packet.flow,
                    forward,
                    sender,
                    is_repeat and (tracked.long_lived or forward.long_lived),
                ),
                *(self.grant_slots() if packet.ends or packet.resets else ()),
            ]
        if packet.opens:
            if packet.flow in self._openings:
                return []
            return self._report_not_held(sender, forward, packet)
        may_hold = (
            self.may_hold_untracked_flows
            and not self._probes.is_target_presumed_gone
        )
        if tracked is None and may_hold:
            delivery_tag = self._probes.add(forward, sender, packet)
            return [_types.Deliver(packet, delivery_tag)]
        return self._report_not_held(sender, forward, packet)

    def _open(
        self,
        sender: core.Address,
        forward: _messages.Forward,
        packet: _types.Packet,
    ) -> list[_types.Action]:
        known = self._handle_known(sender, packet)
        if known is not None:
            return known
        reason = self._decline_reason(sender, forward, packet)
        if reason is not None:
            if reason is not _messages.DeclineReason.BUSY:
                # The slot that was kept for the flow is free again.
                self.admission.withdraw(sender, packet.flow)
            return [self._decline(sender, packet.flow, reason)]
        opening = _Opening(
            forward,
            sender,
            packet.seq,
            self._clock.now_ms() + OPENING_LIMIT_MS,
        )
        self._openings[packet.flow] = opening
        self.warm_up.record_delivery(packet.flow, packet.seq)
        return [_types.Deliver(packet)]

    def _handle_known(
        self, sender: core.Address, packet: _types.Packet
    ) -> list[_types.Action] | None:
        """Handles a copy of an opening packet; returns None for a new one."""
        tracked = self._tracked_flow(packet)
        if tracked is not None:
            self.tracker.record_client_packet(tracked, packet)
            return [
                _types.Deliver(packet),
                _messages.Send(
                    sender, _messages.FlowLocated(packet.flow, self.load())
                ),
            ]
        return [] if packet.flow in self._openings else None

    def decline_unless_known(
        self, sender: core.Address, packet: _types.Packet
    ) -> list[_types.Action]:
        """Declines an offered flow of which nothing has been delivered."""
        known = self._handle_known(sender, packet)
        if known is not None:
            return known
        reason = _messages.DeclineReason.UNKNOWN_STATE
        return [self._decline(sender, packet.flow, reason)]

    def _tracked_flow(
        self, packet: _types.Packet
    ) -> _flow_tracker.TrackedFlow | None:
        """Returns the tracked flow that a client's packet may belong to.

        If the client uses the ports of a tracked flow for a new one, that one
        is over, and the new one is placed like any other.
        """
        tracked = self.tracker.get(packet.flow)
        if tracked is None or not packet.opens or tracked.matches(packet):
            return tracked
        telemetry.log(
            "flow-replaced",
            flow=_types.describe_flow(packet.flow),
            ended=tracked.ended,
            state=self.state.name.lower(),
        )
        self.tracker.remove(packet.flow)
        return None

    def _decline_reason(
        self,
        sender: core.Address,
        forward: _messages.Forward,
        packet: _types.Packet,
    ) -> _messages.DeclineReason | None:
        reasons = _messages.DeclineReason
        if self._own_instance.availability_zone in self._evacuation.zones:
            return reasons.EVACUATED
        state_reason = _messages.STATE_DECLINE_REASONS.get(self.state)
        if state_reason is not None:
            return state_reason
        if not self._hears(forward.balancer):
            return reasons.UNREACHABLE
        if not self.warm_up.allows(packet.flow, packet.seq):
            return reasons.COLD
        load = self.load()
        if forward.terms is not None:
            return self.admission.decide(
                sender, forward, packet, load, len(self._openings)
            )
        pending = load.pending_count + len(self._openings)
        needs_free_slot = not forward.allow_queueing and not forward.long_lived
        if needs_free_slot and pending >= load.slot_count:
            return reasons.BUSY
        if not _placement.has_room(load, len(self._openings)):
            return reasons.BUSY
        return None

    def _hears(self, balancer: core.Address) -> bool:
        """Returns whether packets of a balancer arrive, True if unknown."""
        instance = self._fleet.find(balancer)
        return (
            self._zone_paths is None
            or instance is None
            or self._zone_paths.is_heard(instance.availability_zone)
        )

    def _decline(
        self,
        directory_agent: core.Address,
        flow: bytes,
        reason: _messages.DeclineReason,
    ) -> _messages.Send:
        return _messages.Send(
            directory_agent,
            _messages.PlacementDeclined(flow, reason, self.load()),
        )

    def _report_not_held(
        self,
        sender: core.Address,
        forward: _messages.Forward,
        packet: _types.Packet,
    ) -> list[_types.Action]:
        """Reports a flow as not held and relays its packet.

        The packet of a search is not relayed, because all agents receive it.
        """
        actions: list[_types.Action] = [
            _messages.Send(sender, _messages.NotHeld(packet.flow))
        ]
        if forward.handling is _messages.Handling.SEARCH:
            return actions
        return actions + self._relay_to_directory_agent(forward, packet)

    def _relay_to_directory_agent(
        self, forward: _messages.Forward, packet: _types.Packet
    ) -> list[_types.Action]:
        if forward.hop_count >= MAX_HOPS:
            return []
        directory_agents = self._fleet.directory_agents(
            self._own_instance.service, packet.flow, 1
        )
        if not directory_agents:
            return []
        (directory_agent,) = directory_agents
        handling = _messages.Handling.RESOLVE
        return [
            forward.relay(handling, directory_agent, directory_agent, packet)
        ]

    def _notify_located(
        self,
        flow: bytes,
        forward: _messages.Forward,
        sender: core.Address,
        confirms: bool,
    ) -> list[_types.Action]:
        """Notifies the instances that did not know the holder of the flow.

        A balancer that has asked the directory agent retries its packet until
        it is notified, so each such packet is answered.

        Args:
            flow: The flow.
            forward: Message with the packet.
            sender: Instance that sent the message.
            confirms: Whether to notify a balancer that knows the holder too.
                One that sees repeated data takes a silent holder for gone.
        """
        receivers = []
        if sender != forward.balancer or confirms:
            receivers.append(forward.balancer)
        if forward.handling is _messages.Handling.SEARCH:
            receivers.append(forward.directory_agent)
        if not receivers:
            return []
        located = _messages.FlowLocated(flow, self.load())
        return [_messages.Send(to, located) for to in receivers]

    # Packets of the backend server.

    def receive_from_target(self, packet: _types.Packet) -> list[_types.Action]:
        """Handles a packet from the backend server."""
        return [*self._record_target_packet(packet), *self.grant_slots()]

    def grant_slots(self) -> list[_types.Action]:
        """Grants free slots to flows with terms that wait for one."""
        if not len(self.admission):
            return []
        return self.admission.grant_slots(self.load(), len(self._openings))

    def handle_withdrawn(
        self, sender: core.Address, flow: bytes
    ) -> list[_types.Action]:
        """Removes a waiting flow that its directory agent has placed."""
        self.admission.withdraw(sender, flow)
        return self.grant_slots()

    def _record_target_packet(
        self, packet: _types.Packet
    ) -> list[_types.Action]:
        self.record_keepalive()
        if packet.returned:
            return self._handle_returned(packet)
        if self.state is _types.TargetState.DOWN:
            telemetry.log("target-back")
            self.state = _types.TargetState.UNKNOWN
        if packet.opens:
            return self._handle_accepted(packet)
        tracked = self.tracker.get(packet.flow)
        actions: list[_types.Action] = [_types.Reply(packet)]
        if tracked is None:
            actions += self._adopt(packet.flow)
            tracked = self.tracker.get(packet.flow)
            assert tracked is not None
        self.tracker.record_target_packet(tracked, packet)
        return actions

    def _handle_accepted(self, packet: _types.Packet) -> list[_types.Action]:
        """Handles the backend server's answer that accepts a flow."""
        tracked = self.tracker.get(packet.flow)
        if tracked is not None:
            if tracked.first_seq not in (None, packet.seq):
                # The client has started again and uses the port once more.
                self.tracker.add(
                    packet.flow,
                    tracked.long_lived,
                    packet.seq,
                    tracked.opening_seq,
                )
            return [_types.Reply(packet)]
        opening = self._openings.pop(packet.flow, None)
        if opening is None:
            # The offer timed out, so the flow may be placed elsewhere.
            return []
        tracked = self.tracker.add(
            packet.flow, opening.forward.long_lived, packet.seq, opening.seq
        )
        # The message below tells the directory agent that offered the flow.
        process = self._directory_process(packet.flow)
        if process is not None and process[0] == opening.sender:
            tracked.announced_to = process
        located = _messages.FlowLocated(packet.flow, self.load())
        receivers = {opening.sender, opening.forward.balancer}
        telemetry.log(
            "flow-opened",
            flow=_types.describe_flow(packet.flow),
            balancer=opening.forward.balancer,
            lasting=opening.forward.long_lived,
            busy=located.load.busy_count,
        )
        return [
            _types.Reply(packet),
            *(_messages.Send(to, located) for to in sorted(receivers)),
        ]

    def _handle_returned(self, packet: _types.Packet) -> list[_types.Action]:
        if packet.opens:
            opening = self._openings.pop(packet.flow, None)
            if opening is None:
                return []
            return [
                self._decline(
                    opening.sender,
                    packet.flow,
                    _messages.DeclineReason.FULL,
                )
            ]
        probe = (
            self._probes.take_returned(packet.delivery_tag)
            if packet.delivery_tag
            else None
        )
        if probe is not None:
            return self._report_not_held(
                probe.sender, probe.forward, probe.packet
            )
        tracked = self.tracker.get(packet.flow)
        if tracked is None or tracked.ended:
            return []
        if not tracked.is_confirmed and not tracked.is_opened_by(packet):
            return self._disown(packet.flow)
        telemetry.log(
            "flow-lost-by-target", flow=_types.describe_flow(packet.flow)
        )
        self.warm_up.assume_cold("flow-lost")
        self.tracker.remove(packet.flow)
        if packet.resets:
            return []
        return [_types.Reset(packet.flow, packet.ack)]

    def _disown(self, flow: bytes) -> list[_types.Action]:
        """Stops tracking a flow that was wrongly taken to be open here.

        Another backend server may hold it, so it is not reset. Its directory
        agent searches again when the client's next packet arrives.
        """
        telemetry.log("flow-disowned", flow=_types.describe_flow(flow))
        self.tracker.remove(flow)
        return [
            _messages.Send(directory_agent, _messages.NotHeld(flow))
            for directory_agent in self._fleet.directory_agents(
                self._own_instance.service, flow, 1
            )
        ]

    # State of the backend server.

    def record_keepalive(self) -> None:
        """Records that the backend server has sent something."""
        self._probes.record_heard()

    def record_restart(self) -> None:
        """Records that another process of the backend server has started."""
        self._probes.record_restart()

    def update_state(self, state: _types.TargetState, slot_count: int) -> None:
        """Applies the state that the backend server reports.

        Args:
            state: State of the backend server.
            slot_count: Requests that it processes concurrently.
        """
        self.tracker.slot_count = max(1, slot_count)
        if state is not self.state:
            telemetry.log(
                "target-state",
                state=state.name.lower(),
                before=self.state.name.lower(),
                held=len(self.tracker),
            )
            self.state = state

    def assume_state(self, state: _types.TargetState) -> None:
        """Applies the state that an earlier process of this agent registered.

        It is used until the first report of the backend server, so that a
        restarted agent does not have to wait for one.
        """
        if self.state is _types.TargetState.UNKNOWN:
            telemetry.log("target-assumed", state=state.name.lower())
            self.state = state

    def mark_down(self, reason: str) -> list[_types.Action]:
        """Handles the failure of the backend server.

        Its flows are lost, so the open ones are reset at their clients. Flows
        that are only presumed to be held here, and those that the client has
        not acknowledged, may be open elsewhere.
        """
        if self.state is _types.TargetState.DOWN:
            return []
        telemetry.log("target-down", reason=reason, held=len(self.tracker))
        self.state = _types.TargetState.DOWN
        self.warm_up.assume_cold("target-down")
        self.may_hold_untracked_flows = False
        actions: list[_types.Action] = []
        for flow, opening in tuple(self._openings.items()):
            actions.append(
                self._decline(
                    opening.sender, flow, _messages.DeclineReason.DOWN
                )
            )
        self._openings.clear()
        for probe in self._probes.clear():
            actions += self._report_not_held(
                probe.sender, probe.forward, probe.packet
            )
        for flow in self.tracker.open_flows():
            tracked = self.tracker.get(flow)
            assert tracked is not None
            if tracked.is_confirmed:
                actions.append(_types.Reset(flow, tracked.client_ack))
        self.tracker.clear()
        return actions + self.grant_slots()

    # Timeouts and announcements.

    def has_timeouts(self) -> bool:
        """Returns whether the backend server has packets to answer."""
        return bool(self._openings or self._probes or len(self.admission))

    def sweep(self) -> list[_types.Action]:
        """Handles openings and probes that have timed out."""
        now_ms = self._clock.now_ms()
        actions: list[_types.Action] = []
        for flow, opening in tuple(self._openings.items()):
            if now_ms >= opening.deadline_ms:
                del self._openings[flow]
                actions.append(
                    self._decline(
                        opening.sender, flow, _messages.DeclineReason.SILENT
                    )
                )
        results = self._probes.take_results()
        for probe in results.not_held:
            actions += self._report_not_held(
                probe.sender, probe.forward, probe.packet
            )
        for probe in results.held:
            if probe.packet.flow not in self.tracker:
                actions += self._adopt(probe.packet.flow, probe)
        actions += self._report_withheld(now_ms)
        return actions + self.grant_slots()

    def _report_withheld(self, now_ms: int) -> list[_types.Action]:
        """Shows the senders of overdue searches that this process runs."""
        if now_ms - self._withheld_report_ms < WITHHELD_REPORT_MS:
            return []
        senders = self._probes.overdue_searchers()
        if not senders:
            return []
        self._withheld_report_ms = now_ms
        report = _messages.LoadReport(self.load())
        return [_messages.Send(to, report) for to in sorted(senders)]

    def _adopt(
        self, flow: bytes, *unreturned: _flow_probes.Probe
    ) -> list[_types.Action]:
        """Starts to track a flow that was opened before this process started.

        The backend server has sent a packet of the flow, or has not returned
        a probe in time although it was running.
        """
        telemetry.log("flow-adopted", flow=_types.describe_flow(flow))
        probes = [*unreturned, *self._probes.take_flow(flow)]
        long_lived = any(probe.forward.long_lived for probe in probes)
        tracked = self.tracker.add(flow, long_lived, None, None)
        located = _messages.FlowLocated(flow, self.load())
        balancers = {probe.forward.balancer for probe in probes}
        return [
            *self._announce(flow, tracked),
            *(_messages.Send(to, located) for to in sorted(balancers)),
        ]

    def _announce(
        self, flow: bytes, tracked: _flow_tracker.TrackedFlow
    ) -> list[_types.Action]:
        tracked.announced_to = process = self._directory_process(flow)
        if process is None:
            return []
        message = _messages.FlowAnnouncement((flow,))
        return [_messages.Send(process[0], message)]

    def _directory_process(
        self, flow: bytes
    ) -> tuple[core.Address, int] | None:
        """Returns address and incarnation of the directory agent of a flow."""
        addresses = self._fleet.directory_agents(
            self._own_instance.service, flow, 1
        )
        agent = self._fleet.find(addresses[0]) if addresses else None
        return None if agent is None else (agent.address, agent.incarnation)

    def announce_moved(self) -> list[_types.Action]:
        """Announces open flows whose directory agent is another process.

        It is another one if the ring maps the flow to another agent, or if the
        agent has started anew and lost its entries.
        """
        by_agent: dict[core.Address, list[bytes]] = {}
        for flow in self.tracker.open_flows():
            tracked = self.tracker.get(flow)
            process = self._directory_process(flow)
            if (
                tracked is None
                or process is None
                or process == tracked.announced_to
            ):
                continue
            tracked.announced_to = process
            by_agent.setdefault(process[0], []).append(flow)
        return [
            _messages.Send(
                directory_agent,
                _messages.FlowAnnouncement(
                    tuple(flows[start : start + ANNOUNCEMENT_BATCH_COUNT])
                ),
            )
            for directory_agent, flows in by_agent.items()
            for start in range(0, len(flows), ANNOUNCEMENT_BATCH_COUNT)
        ]
