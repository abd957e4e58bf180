"""Decisions of one balancer about the packets of clients.

The holder of a flow is the agent whose backend server has the flow; the flow's
directory agent records the holder, or places the flow if it is new. A balancer
keeps no state that a flow depends on: its table of known flows is a cache in
front of the directories at the agents.

Only agents know which flows are open. A balancer knows the services of a route
in the versions of the configuration that it has applied, which need not be all
that flows were opened under. A flow that it does not know may therefore be held
at any service, and is reset only when none has it.
"""

import collections

from fireflyford import core
from fireflyford import telemetry
from fireflyford.flows import _evacuation
from fireflyford.flows import _fleet
from fireflyford.flows import _holder_watch
from fireflyford.flows import _known_flow
from fireflyford.flows import _messages
from fireflyford.flows import _pending_packet
from fireflyford.flows import _response_timer
from fireflyford.flows import _responsiveness
from fireflyford.flows import _routes
from fireflyford.flows import _types
from fireflyford.flows import _zone_paths

# A known flow takes some 200 bytes.
MAX_KNOWN_FLOWS = 65_536
# A directory agent that has not answered within this time is avoided for a
# while: another agent is asked instead. Covers the time limits of an offer
# (`_flow_placer.OFFER_TIMEOUT_MS`) and of a search.
DIRECTORY_TIMEOUT_MS = 150
# Bounds of the delay before an unanswered packet is sent again. It follows the
# measured response times, and doubles with each further retry of the packet.
# A retry reaches a restarted agent sooner than the retransmissions of the
# client, 200, 600 and 1,400 ms after its first packet.
RETRY_MS = 80
MAX_RETRY_MS = 800
# Time after which a packet is no longer retried. By then the client has given
# up opening the flow or retransmitted its packet.
RETRY_LIMIT_MS = 1_300
# Agents on the hash ring that may act as directory agent while earlier ones are
# avoided.
DIRECTORY_CANDIDATE_COUNT = 4
# Those considered while instances are not reached: a lost path affects a third
# of all agents, so that a few in turn are not reached.
REACHABLE_CANDIDATE_COUNT = 16
# Limit of packets that wait for the directory agent's answer.
MAX_PENDING_PACKETS = 16_384


class BalancerFlows:
    """Handles every packet and message of one balancer."""

    def __init__(
        self,
        clock: core.Clock,
        own_instance: _types.Instance,
        fleet: _fleet.Fleet,
        responsiveness: _responsiveness.Responsiveness | None = None,
        zone_paths: _zone_paths.ZonePaths | None = None,
    ) -> None:
        """Initializes a balancer without a configuration.

        Args:
            clock: Source of time.
            own_instance: This balancer.
            fleet: View of all instances.
            responsiveness: Judges the agents by their answers. Defaults to one
                that expects announcements of restarts from all agents.
            zone_paths: Knows which instances are not reached. Defaults to one
                for a small fleet.
        """
        self.responsiveness = responsiveness or _responsiveness.Responsiveness(
            clock
        )
        self.zone_paths = zone_paths or _zone_paths.ZonePaths(
            clock, own_instance, fleet, self.responsiveness
        )
        self.holder_watch = _holder_watch.HolderWatch(
            clock, fleet, self.responsiveness, self.zone_paths
        )
        self._clock = clock
        self._own_instance = own_instance
        self._fleet = fleet
        self._table: _routes.RouteTable | None = None
        # Services of each route in earlier versions that this process has
        # applied. There may be more, so these are only asked first.
        self._earlier_services: dict[core.Address, tuple[str, ...]] = {}
        # Addresses of routes that only earlier versions contain.
        self._removed_addresses: set[core.Address] = set()
        # Least recently used first.
        self._known_flows: collections.OrderedDict[
            bytes, _known_flow.KnownFlow
        ] = collections.OrderedDict()
        self._pending: collections.OrderedDict[
            bytes, _pending_packet.PendingPacket
        ] = collections.OrderedDict()
        # Directory agents that have not answered in time.
        self._avoidance = _responsiveness.Avoidance(clock)
        self._timer = _response_timer.ResponseTimer(RETRY_MS, MAX_RETRY_MS)
        # Whether the configuration is known to be the latest version.
        self.is_current = False
        # Evacuated zones, sent with opening packets; without a view if zones
        # cannot be evacuated or none is known yet.
        self.evacuation = _evacuation.Evacuations(clock)

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 for none."""
        return 0 if self._table is None else self._table.version

    @property
    def cached_count(self) -> int:
        """Number of flows whose holder has been reported."""
        return len(self._known_flows)

    def apply(self, table: _routes.RouteTable) -> bool:
        """Applies a configuration; returns False if it is not newer."""
        if table.version <= self.version:
            return False
        if self._table is not None:
            for address, route in self._table.routes.items():
                services = tuple(share.service for share in route.shares)
                known = self._earlier_services.get(address, ())
                self._earlier_services[address] = tuple(
                    dict.fromkeys([*services, *known])
                )
                if address not in table.routes:
                    self._removed_addresses.add(address)
        self._removed_addresses -= table.routes.keys()
        telemetry.log(
            "config-applied",
            version=table.version,
            before=self.version,
            routes=len(table.routes),
        )
        self._table = table
        return True

    def receive(self, packet: _types.Packet) -> list[_types.Action]:
        """Handles a packet of a client."""
        address = _types.route_address(packet.flow)
        route = None
        if self._table is not None:
            route = self._table.routes.get(address)
        if route is None or not route.shares:
            return self._reset_unrouted(packet, address)
        known = self._known_flows.get(packet.flow)
        if known is not None and not known.accept(packet):
            # Another flow that uses the same ports.
            if packet.opens:
                self._forget_earlier_flow(packet.flow, known, route)
            known = None
        if (
            known is not None
            and known.holder is not None
            and known.holder in self._fleet
        ):
            self._known_flows.move_to_end(packet.flow)
            if packet.payload_bytes and route.long_lived:
                self._watch_data(packet, known, known.holder)
            return [
                self._forward(
                    _messages.Handling.HELD,
                    known.holder,
                    packet,
                    known.service,
                    route,
                )
            ]
        services = self._candidate_services(route, packet, known)
        pending = self._pending.get(packet.flow)
        if pending is not None:
            if pending.is_copied_by(packet):
                # The copy states the age of the attempt.
                pending.packet = packet
                if not pending.is_queued:
                    # It is already being retried.
                    return []
                # The directory agent may have been replaced meanwhile.
                pending.is_queued = False
                return self._send_again(pending)
            self._suspect_if_overdue(pending)
            if pending.continues(packet):
                # The flow was not found at the services before these.
                services = [pending.service, *pending.other_services]
        return self._resolve(packet, services, route)

    def _watch_data(
        self,
        packet: _types.Packet,
        known: _known_flow.KnownFlow,
        holder: core.Address,
    ) -> None:
        """Notices that the client of a long-lived flow repeats its data."""
        had_repeats = known.has_repeats
        if not known.accept_data(packet):
            self.holder_watch.record_repeat(packet, known.service, holder)
        elif had_repeats:
            self.holder_watch.forget(packet.flow)

    def _forget_earlier_flow(
        self, flow: bytes, known: _known_flow.KnownFlow, route: _routes.Route
    ) -> None:
        """Forgets a flow whose ports the client uses for a new one.

        The new flow is placed by the configuration in force, whatever the
        earlier one was placed by.
        """
        telemetry.log(
            "port-used-again",
            flow=_types.describe_flow(flow),
            holder=known.holder,
            held_at=known.service,
            service=route.service(flow),
            version=self.version,
        )
        del self._known_flows[flow]

    def handle_message(
        self, sender: core.Address, message: _messages.Message
    ) -> list[_types.Action]:
        """Handles a message about flows or about an instance."""
        self.responsiveness.record_message(sender)
        self._avoidance.record_message(sender)
        self.zone_paths.record_message(sender)
        if isinstance(message, _messages.FlowLocated):
            self.holder_watch.record_confirmation(message.flow, sender)
            self._record_holder(sender, message.flow)
        elif isinstance(message, _messages.NotHeld):
            known = self._known_flows.get(message.flow)
            if known is not None and known.holder == sender:
                known.holder = None
        elif isinstance(message, _messages.FlowNotFound):
            return self._handle_not_found(sender, message)
        elif isinstance(message, _messages.PlacementQueued):
            self._handle_queued(sender, message.flow)
        elif isinstance(message, _messages.PlacementRefused):
            return self._handle_refused(sender, message)
        elif isinstance(message, _messages.LoadReport):
            self._fleet.record_load(sender, message.load)
        elif isinstance(message, _messages.PlannedRestart):
            self.responsiveness.record_planned_restart(
                message.address, message.incarnation
            )
        elif isinstance(message, _messages.PathReport):
            self.zone_paths.record_report(sender, message)
        elif isinstance(message, _messages.Heartbeat):
            self.responsiveness.record_heartbeat(message)
            self._fleet.apply_heartbeat(message)
        return []

    def has_timeouts(self) -> bool:
        """Returns whether a packet awaits the answer of a directory agent."""
        return bool(self._pending or len(self.holder_watch))

    def sweep(self) -> list[_types.Action]:
        """Retries unanswered packets and resets flows of silent holders."""
        now_ms = self._clock.now_ms()
        self.responsiveness.sweep()
        actions = self.zone_paths.sweep()
        if len(self.holder_watch):
            actions += self._reset_stranded()
        for flow, pending in tuple(self._pending.items()):
            if now_ms - pending.received_ms >= RETRY_LIMIT_MS:
                del self._pending[flow]
            elif not pending.is_queued and self._is_retry_due(pending):
                actions += self._retry(pending)
        return actions

    def _is_retry_due(self, pending: _pending_packet.PendingPacket) -> bool:
        """Returns whether to send a packet again, maybe to another agent.

        The silence of a directory agent towards one packet ends the wait of
        the others for it, however long answers take at the moment.
        """
        waited_ms = self._clock.now_ms() - pending.sent_ms
        if waited_ms >= pending.retry_delay_ms:
            return True
        asked = pending.directory_agent
        return (
            waited_ms >= DIRECTORY_TIMEOUT_MS
            and asked is not None
            and (
                asked in self._avoidance
                or self._is_silent(asked)
                or not self.zone_paths.is_reachable(asked)
            )
        )

    def _is_silent(self, address: core.Address) -> bool:
        """Returns whether an agent neither answers nor sends keepalives.

        One that runs answers late while it searches a flow in vain.
        """
        return (
            self._fleet.is_silent(address)
            and self.responsiveness.unanswered_ms(address)
            >= DIRECTORY_TIMEOUT_MS
        )

    def _reset_stranded(self) -> list[_types.Action]:
        """Resets flows whose clients wait for a silent holder.

        The client opens a new flow and still meets its time limit.
        """
        if not self._fleet.is_complete:
            return []
        actions: list[_types.Action] = []
        for waiting in self.holder_watch.take_stranded():
            packet = waiting.packet
            known = self._known_flows.get(packet.flow)
            if known is None or known.holder != waiting.holder:
                continue
            del self._known_flows[packet.flow]
            telemetry.log(
                "flow-reset",
                flow=_types.describe_flow(packet.flow),
                reason="holder-silent",
                holder=waiting.holder,
            )
            actions.append(_types.Reset(packet.flow, packet.ack))
        return actions

    def _retry(
        self, pending: _pending_packet.PendingPacket
    ) -> list[_types.Action]:
        self._timer.record_timeout()
        self._suspect_if_overdue(pending)
        pending.retry_delay_ms *= 2
        return self._send_again(pending)

    def _send_again(
        self, pending: _pending_packet.PendingPacket
    ) -> list[_types.Action]:
        """Sends a packet to its present directory agent once more."""
        pending.sent_ms = self._clock.now_ms()
        packet = pending.packet
        directory_agent = self._directory_agent(pending.service, packet.flow)
        if directory_agent is None:
            return []
        pending.directory_agent = directory_agent
        return [
            self._forward(
                _messages.Handling.RESOLVE,
                directory_agent,
                packet,
                pending.service,
                pending.route,
            )
        ]

    def _candidate_services(
        self,
        route: _routes.Route,
        packet: _types.Packet,
        known: _known_flow.KnownFlow | None,
    ) -> list[str]:
        """Returns the services that may hold the flow, most likely first."""
        first = route.service(packet.flow)
        if packet.opens:
            return [first]
        if known is not None:
            return [known.service]
        of_route = [share.service for share in route.shares]
        earlier = self._earlier_services.get(route.address, ())
        # A route may have had other services before this process applied its
        # first configuration.
        others = self._fleet.services()
        return list(dict.fromkeys([first, *of_route, *earlier, *others]))

    def _resolve(
        self, packet: _types.Packet, services: list[str], route: _routes.Route
    ) -> list[_types.Action]:
        """Asks the directory agent of the first service for the holder.

        The other services are asked in turn if the flow is not found.
        """
        service, *other_services = services
        directory_agent = self._directory_agent(service, packet.flow)
        pending = _pending_packet.PendingPacket(
            packet,
            service,
            other_services,
            directory_agent,
            route,
            self._clock.now_ms(),
            self._timer.timeout_ms(),
        )
        self._pending[packet.flow] = pending
        self._pending.move_to_end(packet.flow)
        if len(self._pending) > MAX_PENDING_PACKETS:
            self._pending.popitem(last=False)
        if directory_agent is None:
            telemetry.log(
                "no-agent",
                flow=_types.describe_flow(packet.flow),
                service=service,
            )
            return []
        return [
            self._forward(
                _messages.Handling.RESOLVE,
                directory_agent,
                packet,
                service,
                route,
            )
        ]

    def _directory_agent(
        self, service: str, flow: bytes
    ) -> core.Address | None:
        directory_agents = self._fleet.directory_agents(
            service, flow, DIRECTORY_CANDIDATE_COUNT
        )
        for directory_agent in directory_agents:
            if self._may_ask(directory_agent):
                return directory_agent
        if not all(map(self.zone_paths.is_reachable, directory_agents)):
            for directory_agent in self._fleet.directory_agents(
                service, flow, REACHABLE_CANDIDATE_COUNT
            ):
                if self._may_ask(directory_agent):
                    return directory_agent
        return directory_agents[0] if directory_agents else None

    def _may_ask(self, directory_agent: core.Address) -> bool:
        return (
            directory_agent not in self._avoidance
            and self.zone_paths.is_reachable(directory_agent)
        )

    def _suspect_if_overdue(
        self, pending: _pending_packet.PendingPacket
    ) -> None:
        """Avoids a directory agent that has not answered in time."""
        now_ms = self._clock.now_ms()
        if pending.directory_agent is None or pending.is_queued:
            return
        limit_ms = max(DIRECTORY_TIMEOUT_MS, self._timer.timeout_ms())
        if now_ms - pending.sent_ms >= limit_ms or self._is_silent(
            pending.directory_agent
        ):
            avoided_ms = self._avoidance.record_silence(pending.directory_agent)
            if avoided_ms:
                telemetry.log(
                    "home-silent",
                    flow=_types.describe_flow(pending.packet.flow),
                    home=pending.directory_agent,
                    avoided_ms=avoided_ms,
                )

    def _record_holder(self, sender: core.Address, flow: bytes) -> None:
        pending = self._pending.pop(flow, None)
        known = self._known_flows.pop(flow, None)
        holder = self._fleet.find(sender)
        if (
            pending is not None
            and pending.packet.opens
            and holder is not None
            and holder.service != pending.service
        ):
            # Late news of an earlier flow that used the same ports.
            self._pending[flow] = pending
            return
        if pending is not None:
            duration_ms = self._clock.now_ms() - pending.received_ms
            self._timer.record_response(duration_ms)
            packet = pending.packet
            kind = "new" if packet.opens else "known"
            telemetry.observe("flow_locate", duration_ms, kind)
            service = pending.service if holder is None else holder.service
            ack = packet.ack if packet.acknowledges else None
            data_seq = packet.seq if packet.payload_bytes else None
            known = _known_flow.KnownFlow(
                service, sender, packet.seq, ack, data_seq
            )
        elif known is not None and holder is not None:
            known.service, known.holder = holder.service, sender
        if known is None:
            return
        self._known_flows[flow] = known
        if len(self._known_flows) > MAX_KNOWN_FLOWS:
            self._known_flows.popitem(last=False)

    def _handle_not_found(
        self, sender: core.Address, message: _messages.FlowNotFound
    ) -> list[_types.Action]:
        """Asks the next service that may hold a flow, or resets the flow."""
        flow = message.flow
        directory_agent = self._fleet.find(sender)
        service = None if directory_agent is None else directory_agent.service
        pending = self._pending.get(flow)
        is_answer = pending is not None and pending.awaits(service, message.ack)
        known = self._known_flows.get(flow)
        telemetry.log(
            "flow-not-found",
            flow=_types.describe_flow(flow),
            home=sender,
            service=service,
            awaited=pending and pending.service,
            asked_ms=pending and self._clock.now_ms() - pending.received_ms,
            remaining=pending and ",".join(pending.other_services),
            counts=is_answer,
            version=self.version,
        )
        if pending is not None and is_answer:
            del self._pending[flow]
            if pending.other_services:
                return self._resolve(
                    pending.packet, pending.other_services, pending.route
                )
        elif (
            known is None
            or known.holder in self._fleet
            or not known.is_of(service, message.ack)
        ):
            # Without a question, an answer counts only if the last holder no
            # longer has the flow: it has relayed the packet to its service.
            return []
        if not message.expects_response or not self._fleet.is_complete:
            return []
        self._known_flows.pop(flow, None)
        telemetry.log(
            "flow-reset", flow=_types.describe_flow(flow), reason="no-holder"
        )
        return [_types.Reset(flow, message.ack)]

    def _handle_queued(self, sender: core.Address, flow: bytes) -> None:
        """Stops asking a directory agent that is at work on a flow."""
        pending = self._pending.get(flow)
        if pending is not None and not pending.packet.opens:
            # The time of a search that waits for silent agents says nothing
            # about that of an answer.
            if pending.directory_agent == sender:
                pending.is_queued = True
            return
        pending = self._pending_placement(sender, flow)
        if pending is not None:
            pending.is_queued = True
            self._timer.record_response(
                self._clock.now_ms() - pending.received_ms
            )

    def _pending_placement(
        self, sender: core.Address, flow: bytes
    ) -> _pending_packet.PendingPacket | None:
        """Returns the new flow that the sender was asked last to place.

        Another directory agent may have placed the flow by the time that an
        earlier one answers.
        """
        pending = self._pending.get(flow)
        if (
            pending is not None
            and pending.packet.opens
            and pending.directory_agent == sender
        ):
            return pending
        telemetry.log(
            "late-answer", flow=_types.describe_flow(flow), home=sender
        )
        return None

    def _handle_refused(
        self, sender: core.Address, message: _messages.PlacementRefused
    ) -> list[_types.Action]:
        pending = self._pending_placement(sender, message.flow)
        if pending is None:
            return []
        del self._pending[message.flow]
        telemetry.log(
            "flow-reset",
            flow=_types.describe_flow(message.flow),
            reason=f"refused-{message.reason.name.lower()}",
            service=pending.service,
        )
        return [_types.Reset(message.flow, 0)]

    def _reset_unrouted(
        self, packet: _types.Packet, address: core.Address
    ) -> list[_types.Action]:
        """Resets a flow if its route is known not to exist."""
        is_certain = address in self._removed_addresses or packet.opens
        if self._table is None or not self.is_current or not is_certain:
            return []
        if packet.resets:
            return []
        telemetry.log(
            "flow-reset",
            flow=_types.describe_flow(packet.flow),
            reason="no-route",
            version=self.version,
        )
        return [_types.Reset(packet.flow, packet.ack)]

    def _forward(
        self,
        handling: _messages.Handling,
        to: core.Address,
        packet: _types.Packet,
        service: str,
        route: _routes.Route,
    ) -> _messages.Send:
        if handling is _messages.Handling.RESOLVE:
            self.responsiveness.record_query(to)
        message = _messages.Forward(
            handling,
            service,
            self._own_instance.address,
            to,
            0,
            route.long_lived,
            False,
            packet.data,
            route.terms if packet.opens else None,
            self.evacuation.view if packet.opens else None,
        )
        return _messages.Send(to, message)
