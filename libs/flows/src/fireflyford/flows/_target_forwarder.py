"""Forwarding of packets to the backend server of an agent.

The backend server is the authority on which flows it holds: it returns each
packet of a flow that it does not hold, and each opening packet that it does not
accept.
"""

import collections
import dataclasses
import math

from fireflyford import core
from fireflyford import telemetry
from fireflyford.flows import _fleet
from fireflyford.flows import _flow_tracker
from fireflyford.flows import _messages
from fireflyford.flows import _placement
from fireflyford.flows import _types

# Time limit for the backend server to accept a new flow; a running one takes
# less than a millisecond.
OPENING_LIMIT_MS = 50
# Time limit for the backend server to return a probe, which also takes a
# running one less than a millisecond.
PROBE_LIMIT_MS = 50
# A running backend server sends a report within this time after the start of
# the agent: the interval is at most 1.2 s, and one report may be lost.
FIRST_KEEPALIVE_MS = 2_500
# Probability of taking a running backend server for one that does not run,
# because it holds all the flows whose probes it has not returned.
_MAX_ERROR_PROBABILITY = 1e-5
# A delivery tag identifies a delivered probe, and a returned packet carries it;
# 0 means no tag.
_MAX_DELIVERY_TAG = 0x7FFFFFFF
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


@dataclasses.dataclass(frozen=True, slots=True)
class _Probe:
    """A packet that tests whether the backend server holds a flow."""

    forward: _messages.Forward
    sender: core.Address
    packet: _types.Packet
    deadline_ms: int


class TargetForwarder:
    """Delivers packets to one backend server and tracks its flows."""

    def __init__(
        self,
        clock: core.Clock,
        own_instance: _types.Instance,
        fleet: _fleet.Fleet,
    ) -> None:
        """Initializes a forwarder without flows.

        Args:
            clock: Source of time.
            own_instance: This agent.
            fleet: View of all instances.
        """
        self._clock = clock
        self._started_ms = clock.now_ms()
        self._own_instance = own_instance
        self._fleet = fleet
        # Whether the backend server has sent anything since this process
        # started.
        self._has_keepalive = False
        # Whether the backend server is taken for not running until it sends
        # something.
        self._is_presumed_gone = False
        self.tracker = _flow_tracker.FlowTracker(clock)
        self.state = _types.TargetState.UNKNOWN
        # Whether the backend server may hold flows that were opened before
        # this process started.
        self.may_hold_untracked_flows = True
        self._openings: dict[bytes, _Opening] = {}
        self._probes: collections.OrderedDict[int, _Probe] = (
            collections.OrderedDict()
        )
        self._last_delivery_tag = 0
        # When load reports were last sent in place of an answer to a search.
        self._withheld_report_ms = self._started_ms

    def load(self) -> _types.Load:
        """Returns the load of the backend server."""
        return self.tracker.load(self.state)

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
                    is_repeat and tracked.long_lived,
                ),
            ]
        if packet.opens:
            if packet.flow in self._openings:
                return []
            return self._report_not_held(sender, forward, packet)
        may_hold = self.may_hold_untracked_flows and not self._is_presumed_gone
        if tracked is None and may_hold:
            return self._probe(sender, forward, packet)
        return self._report_not_held(sender, forward, packet)

    def _open(
        self,
        sender: core.Address,
        forward: _messages.Forward,
        packet: _types.Packet,
    ) -> list[_types.Action]:
        tracked = self._tracked_flow(packet)
        if tracked is not None:
            self.tracker.record_client_packet(tracked, packet)
            return [
                _types.Deliver(packet),
                _messages.Send(
                    sender, _messages.FlowLocated(packet.flow, self.load())
                ),
            ]
        if packet.flow in self._openings:
            return []
        reason = self._decline_reason(forward)
        if reason is not None:
            return [self._decline(sender, packet.flow, reason)]
        opening = _Opening(
            forward,
            sender,
            packet.seq,
            self._clock.now_ms() + OPENING_LIMIT_MS,
        )
        self._openings[packet.flow] = opening
        return [_types.Deliver(packet)]

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
        self, forward: _messages.Forward
    ) -> _messages.DeclineReason | None:
        reasons = _messages.DeclineReason
        if self.state is _types.TargetState.DRAINING:
            return reasons.DRAINING
        if self.state is _types.TargetState.DOWN:
            return reasons.DOWN
        if self.state is _types.TargetState.UNKNOWN:
            return reasons.UNKNOWN_STATE
        load = self.load()
        pending = load.pending_count + len(self._openings)
        needs_free_slot = not forward.allow_queueing and not forward.long_lived
        if needs_free_slot and pending >= load.slot_count:
            return reasons.BUSY
        if not _placement.has_room(load, len(self._openings)):
            return reasons.BUSY
        return None

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

    def _probe(
        self,
        sender: core.Address,
        forward: _messages.Forward,
        packet: _types.Packet,
    ) -> list[_types.Action]:
        self._last_delivery_tag = (
            self._last_delivery_tag % _MAX_DELIVERY_TAG + 1
        )
        self._probes[self._last_delivery_tag] = _Probe(
            forward, sender, packet, self._clock.now_ms() + PROBE_LIMIT_MS
        )
        return [_types.Deliver(packet, self._last_delivery_tag)]

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
        located = _messages.FlowLocated(flow, self.load())
        return [_messages.Send(to, located) for to in receivers]

    # Packets of the backend server.

    def receive_from_target(self, packet: _types.Packet) -> list[_types.Action]:
        """Handles a packet from the backend server."""
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
            self._probes.pop(packet.delivery_tag, None)
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
        if not tracked.is_confirmed:
            return self._disown(packet.flow)
        telemetry.log(
            "flow-lost-by-target", flow=_types.describe_flow(packet.flow)
        )
        self.tracker.remove(packet.flow)
        if packet.resets:
            return []
        return [_types.Reset(packet.flow, packet.ack)]

    def _disown(self, flow: bytes) -> list[_types.Action]:
        """Stops tracking a flow that was wrongly presumed to be held here.

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
        self._has_keepalive = True
        self._is_presumed_gone = False

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
        that are only presumed to be held here may be open elsewhere.
        """
        if self.state is _types.TargetState.DOWN:
            return []
        telemetry.log("target-down", reason=reason, held=len(self.tracker))
        self.state = _types.TargetState.DOWN
        self.may_hold_untracked_flows = False
        actions: list[_types.Action] = []
        for flow, opening in tuple(self._openings.items()):
            actions.append(
                self._decline(
                    opening.sender, flow, _messages.DeclineReason.DOWN
                )
            )
        self._openings.clear()
        for probe in self._probes.values():
            actions += self._report_not_held(
                probe.sender, probe.forward, probe.packet
            )
        self._probes.clear()
        for flow in self.tracker.open_flows():
            tracked = self.tracker.get(flow)
            assert tracked is not None
            if tracked.is_confirmed:
                actions.append(_types.Reset(flow, tracked.client_ack))
        self.tracker.clear()
        return actions

    # Timeouts and announcements.

    def has_timeouts(self) -> bool:
        """Returns whether the backend server has packets to answer."""
        return bool(self._openings or self._probes)

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
        while self._probes:
            delivery_tag, probe = next(iter(self._probes.items()))
            if now_ms < probe.deadline_ms:
                break
            if not self._has_keepalive and not self._is_target_gone():
                # A probe that is not returned shows that the flow is held only
                # if the backend server is running, which is not known before
                # its first report.
                actions += self._report_withheld(now_ms)
                break
            if not self._has_keepalive:
                actions += self._report_not_held(
                    probe.sender, probe.forward, probe.packet
                )
            elif probe.packet.flow not in self.tracker:
                actions += self._adopt(probe.packet.flow)
            self._probes.pop(delivery_tag, None)
        return actions

    def _report_withheld(self, now_ms: int) -> list[_types.Action]:
        """Shows the senders of overdue searches that this process runs."""
        if now_ms - self._withheld_report_ms < WITHHELD_REPORT_MS:
            return []
        self._withheld_report_ms = now_ms
        senders = {
            probe.sender
            for probe in self._probes.values()
            if probe.forward.handling is _messages.Handling.SEARCH
            and now_ms >= probe.deadline_ms
        }
        report = _messages.LoadReport(self.load())
        return [_messages.Send(to, report) for to in sorted(senders)]

    def _is_target_gone(self) -> bool:
        """Returns whether a backend server that has sent nothing is not there.

        A running one reports within `FIRST_KEEPALIVE_MS`, and returns packets
        of flows that it does not hold at once. Searches reach all agents, so
        each of their flows is held here with a probability of one in as many.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._started_ms >= FIRST_KEEPALIVE_MS:
            return True
        if self._is_presumed_gone:
            return True
        agent_count = len(self._fleet.agents(self._own_instance.service))
        if agent_count < 2:
            return False
        needed_count = math.log(1 / _MAX_ERROR_PROBABILITY, agent_count)
        searched_flows = {
            probe.packet.flow
            for probe in self._probes.values()
            if probe.forward.handling is _messages.Handling.SEARCH
            and now_ms >= probe.deadline_ms
        }
        if len(searched_flows) < needed_count:
            return False
        self._is_presumed_gone = True
        telemetry.log("target-presumed-gone", probes=len(searched_flows))
        return True

    def _adopt(self, flow: bytes) -> list[_types.Action]:
        """Starts to track a flow that was opened before this process started.

        The backend server has sent a packet of the flow, or has not returned
        a probe in time.
        """
        telemetry.log("flow-adopted", flow=_types.describe_flow(flow))
        probes = [
            (delivery_tag, probe)
            for delivery_tag, probe in self._probes.items()
            if probe.packet.flow == flow
        ]
        long_lived = any(probe.forward.long_lived for _, probe in probes)
        tracked = self.tracker.add(flow, long_lived, None, None)
        for delivery_tag, _ in probes:
            del self._probes[delivery_tag]
        located = _messages.FlowLocated(flow, self.load())
        balancers = {probe.forward.balancer for _, probe in probes}
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
