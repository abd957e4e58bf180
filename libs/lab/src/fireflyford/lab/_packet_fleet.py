"""Discrete-event simulation of balancers, agents, backend servers and clients.

The decisions are made by the production code of `fireflyford.flows`. Messages
have a fixed delay, backend servers have slots and a queue, and clients
retransmit their packets. A single event queue drives the simulation.
"""

import abc
import collections
from collections.abc import Callable
import dataclasses
import enum
import functools
import heapq
import itertools
import random

from fireflyford import core
from fireflyford import flows

LINK_DELAY_MS = 1
CLIENT_DELAY_MS = 2
SWEEP_INTERVAL_MS = 20
LOAD_INTERVAL_MS = 100
HEARTBEAT_INTERVAL_MS = 900
# Transmissions of the packet that opens a flow, and the time-out of the
# attempt.
OPENING_SEND_TIMES_MS = (0, 200, 600)
OPENING_TIMEOUT_MS = 1_400
# Transmissions of a request while there is no response.
REQUEST_SEND_TIMES_MS = (0, 200, 600, 1_400)
ROUTE_ADDRESS = core.Address("198.18.0.1", 443)
SERVICE = "board"
ZONE = "zone"

PlacementFactory = Callable[[core.Address], flows.Placement]


class EventClock(core.ManualClock):
    """Clock that the event queue sets."""

    def set(self, now_ms: int) -> None:
        """Sets the time."""
        self._now_ms = now_ms


class RequestOutcome(enum.Enum):
    """Outcome of a client's request.

    Attributes:
        ANSWERED: The backend server responded.
        REFUSED: The flow was reset before it was open.
        RESET: The open flow was reset.
        SHED: The queue of the backend server was full.
        TIMED_OUT: The client got no response in time.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    RESET = "reset"
    SHED = "shed"
    TIMED_OUT = "silence"


@dataclasses.dataclass(frozen=True)
class RequestResult:
    """Result of one request as its client observed it.

    Attributes:
        flow: Flow of the request.
        started_ms: Time when the client opened the flow or sent the request.
        ended_ms: Time of the outcome.
        outcome: Outcome of the request.
    """

    flow: bytes
    started_ms: int
    ended_ms: int
    outcome: RequestOutcome

    @property
    def duration_ms(self) -> int:
        """Response time, or time until the failure."""
        return self.ended_ms - self.started_ms


@dataclasses.dataclass(frozen=True)
class TargetSpec:
    """Parameters of a backend server.

    Attributes:
        slot_count: Number of requests that run concurrently.
        queue_count: Maximum length of the queue; further requests are shed.
        service_ms: Service time of a request.
        service: Service to which the backend server belongs.
        zone: Availability zone of the backend server.
    """

    slot_count: int = 2
    queue_count: int = 8
    service_ms: int = 30
    service: str = SERVICE
    zone: str = ZONE


class Target:
    """Simulated backend server."""

    def __init__(self, fleet: "PacketFleet", spec: TargetSpec, index: int):
        """Starts without flows."""
        self._fleet = fleet
        self.spec = spec
        self.index = index
        self.up = True
        self.initial_seqs: dict[bytes, int] = {}
        self.opened: list[tuple[int, bytes]] = []
        self.foreign_count = 0
        # Deliveries of each request, by flow and sequence number.
        self.request_counts: collections.Counter[tuple[bytes, int]] = (
            collections.Counter()
        )
        # Total service time of all requests.
        self.busy_ms = 0
        self.running: list[bytes] = []
        self.queue: list[bytes] = []

    def crash(self) -> None:
        """Drops all flows and closes the port."""
        self.up = False
        self.initial_seqs.clear()
        self.running.clear()
        self.queue.clear()

    def receive(self, packet: flows.Packet, delivery_tag: int) -> None:
        """Handles a packet that the agent delivered."""
        node = self._fleet.agents[self.index]
        if not self.up:
            node.handle_connection_refused()
            return
        if packet.opens:
            self._accept(packet)
            return
        if packet.flow not in self.initial_seqs:
            returned = dataclasses.replace(
                packet, returned=True, delivery_tag=delivery_tag
            )
            node.answer(returned)
            return
        if packet.payload_bytes:
            self.request_counts[packet.flow, packet.seq] += 1
        if packet.payload_bytes and packet.flow not in (
            *self.running,
            *self.queue,
        ):
            self._start_or_queue(packet.flow)

    def _accept(self, packet: flows.Packet) -> None:
        seq = self.initial_seqs.get(packet.flow)
        if seq is None:
            seq = self._fleet.rng.randrange(1 << 32)
            self.initial_seqs[packet.flow] = seq
            self.opened.append((self._fleet.clock.now_ms(), packet.flow))
        self._answer(packet.flow, opens=True, seq=seq)

    def _start_or_queue(self, flow: bytes) -> None:
        if len(self.running) < self.spec.slot_count:
            self._start_work(flow)
        elif len(self.queue) < self.spec.queue_count:
            self.queue.append(flow)
        else:
            self._fleet.shed_flows.add(flow)
            self._answer(flow, payload_bytes=1)

    def _start_work(self, flow: bytes) -> None:
        self.running.append(flow)
        service_ms = self._fleet.service_ms(self, flow)
        self.busy_ms += service_ms
        self._fleet.call_later(service_ms, lambda: self._finish(flow))

    def _finish(self, flow: bytes) -> None:
        if flow not in self.running:
            return
        self.running.remove(flow)
        if self.queue:
            self._start_work(self.queue.pop(0))
        self._answer(flow, payload_bytes=1)

    def _answer(
        self,
        flow: bytes,
        opens: bool = False,
        payload_bytes: int = 0,
        seq: int = 0,
    ) -> None:
        if not opens:
            seq = self.initial_seqs.get(flow, 0) + 1
        packet = flows.Packet(
            flow,
            b"",
            opens=opens,
            acknowledges=True,
            payload_bytes=payload_bytes,
            seq=seq % (1 << 32),
        )
        self._fleet.agents[self.index].answer(packet)


class Node(abc.ABC):
    """Simulated process with its view of the others; a restart clears both."""

    def __init__(
        self,
        fleet: "PacketFleet",
        role: core.Role,
        address: core.Address,
    ):
        """Starts a process."""
        self._fleet = fleet
        self._role = role
        self.address = address
        self.start()

    def start(self) -> None:
        """Starts a new process without state."""
        clock = self._fleet.clock
        self.up = True
        self.instance = flows.Instance(
            f"{self._role.value}-{self.address.host}",
            self._role,
            self.service(),
            self.zone(),
            self.address,
            clock.wall_ms(),
        )
        self.view = flows.Fleet(clock)
        self.create_logic()

    def service(self) -> str:
        """Returns the service of an agent, empty for a balancer."""
        return ""

    def zone(self) -> str:
        """Returns the availability zone of the process."""
        return ZONE

    @abc.abstractmethod
    def create_logic(self) -> None:
        """Creates the decision code of a new process."""

    @abc.abstractmethod
    def receive(self, sender: core.Address, message: flows.Message) -> None:
        """Handles a message."""


class AgentNode(Node):
    """Simulated agent."""

    def __init__(self, fleet: "PacketFleet", index: int, target: Target):
        """Starts a process."""
        self.target = target
        address = core.Address(f"10.0.1.{index + 1}", 7000)
        super().__init__(fleet, core.Role.AGENT, address)

    def service(self) -> str:
        """Returns the service of the backend server."""
        return self.target.spec.service

    def zone(self) -> str:
        """Returns the availability zone of the backend server."""
        return self.target.spec.zone

    def create_logic(self) -> None:
        """Creates the decision code of a new process."""
        fleet = self._fleet
        # Messages that arrived while the process is paused, None if it runs.
        self.backlog: list[tuple[core.Address, flows.Message]] | None = None
        self.flows = flows.AgentFlows(
            fleet.clock,
            self.instance,
            self.view,
            fleet.make_placement(self.address),
            warmup_overage=fleet.warmup_overage,
            warmup_slack=fleet.warmup_slack,
            order=fleet.order,
        )
        self.monitor = flows.TargetMonitor(
            fleet.clock, self.target.spec.service, self.flows.forwarder, 1_200
        )

    def announce_restart(self) -> None:
        """Tells all instances that another process of this agent follows."""
        message = flows.PlannedRestart(self.address, self.instance.incarnation)
        for peer in self.view.instances():
            self._fleet.perform(self.address, flows.Send(peer.address, message))

    def receive(self, sender: core.Address, message: flows.Message) -> None:
        """Handles a message, or keeps it while the process is paused."""
        if not self.up:
            return
        if self.backlog is not None:
            self.backlog.append((sender, message))
            return
        if isinstance(message, flows.Forward):
            packet = self._fleet.packet(message.data)
            self.run(self.flows.receive(sender, message, packet))
        else:
            self.run(self.flows.handle_message(sender, message))

    def pause(self) -> None:
        """Stops the process; its sockets keep what arrives."""
        self.backlog = []

    def resume(self) -> None:
        """Continues a paused process, which first reads its sockets."""
        backlog, self.backlog = self.backlog or [], None
        for sender, message in backlog:
            self.receive(sender, message)

    def answer(self, packet: flows.Packet) -> None:
        """Handles a packet from the backend server."""
        if self.up:
            self.run(self.flows.forwarder.receive_from_target(packet))

    def handle_connection_refused(self) -> None:
        """Handles a closed port at the backend server."""
        self.run(self.flows.forwarder.mark_down("port closed"))

    def report(
        self,
        state: flows.TargetState,
        sequence: int,
        warmup_left_ms: int = 0,
    ) -> None:
        """Handles a status report of the backend server."""
        spec = self.target.spec
        self.monitor.record_report(
            flows.TargetReport(
                "target",
                spec.service,
                state,
                spec.slot_count,
                1,
                sequence,
                warmup_left_ms,
            )
        )

    def run(self, actions: list[flows.Action]) -> None:
        """Performs the actions that the decision code returned."""
        for action in actions:
            if isinstance(action, flows.Deliver):
                self.target.receive(action.packet, action.delivery_tag)
            else:
                self._fleet.perform(self.address, action)


class BalancerNode(Node):
    """Simulated balancer."""

    def __init__(self, fleet: "PacketFleet", index: int):
        """Starts a process."""
        address = core.Address(f"10.0.0.{index + 1}", 7000)
        zones = fleet.balancer_zones
        self._zone = zones[index % len(zones)]
        super().__init__(fleet, core.Role.BALANCER, address)

    def zone(self) -> str:
        """Returns the availability zone of the balancer."""
        return self._zone

    def create_logic(self) -> None:
        """Creates the decision code of a new process."""
        fleet = self._fleet
        self.flows = flows.BalancerFlows(fleet.clock, self.instance, self.view)
        self.flows.apply(fleet.table)
        self.flows.is_current = True

    def receive(self, sender: core.Address, message: flows.Message) -> None:
        """Handles a message."""
        if self.up:
            self.run(self.flows.handle_message(sender, message))

    def receive_packet(self, packet: flows.Packet) -> None:
        """Handles a packet from a client."""
        if self.up:
            self.run(self.flows.receive(packet))

    def run(self, actions: list[flows.Action]) -> None:
        """Performs the actions that the decision code returned."""
        for action in actions:
            self._fleet.perform(self.address, action)


class Client:
    """Client of one flow, with at most one request at a time."""

    def __init__(self, fleet: "PacketFleet", flow: bytes, zone: str | None):
        """Prepares a flow that is not yet open."""
        self._fleet = fleet
        self.flow = flow
        self.zone = zone
        self.is_open = False
        self.is_ended = False
        self._first_seq = 0
        self._seq = 1
        self._started_ms = 0
        self.is_waiting = False
        self._deadline_ms = 0
        # Called with the result of each request.
        self.on_result: Callable[[RequestResult], None] | None = None

    def open(self, deadline_ms: int = 2_500, age_ms: int = 0) -> None:
        """Opens the flow and sends a request.

        Args:
            deadline_ms: Time until the client gives up.
            age_ms: Time since the first opening packet, if earlier ones have
                reached no balancer. The client then sends a copy at once.
        """
        self._started_ms = self._fleet.clock.now_ms()
        self._deadline_ms = deadline_ms
        self.is_waiting = True
        if age_ms:
            known_ms = max(
                sent_ms
                for sent_ms in OPENING_SEND_TIMES_MS
                if sent_ms <= age_ms
            )
            self._send_opening(known_ms)
        for sent_ms in OPENING_SEND_TIMES_MS:
            if sent_ms >= age_ms:
                self._fleet.call_later(
                    sent_ms - age_ms,
                    functools.partial(self._send_opening, sent_ms),
                )
        self._fleet.call_later(
            OPENING_TIMEOUT_MS - age_ms, self._time_out_opening
        )

    def request(self, deadline_ms: int = 2_500) -> None:
        """Sends a request on the open flow."""
        self._started_ms = self._fleet.clock.now_ms()
        self._deadline_ms = deadline_ms
        self.is_waiting = True
        self._send_request()

    def receive(self, packet: flows.Packet) -> None:
        """Handles a packet from the backend server."""
        if self.is_ended:
            return
        if packet.opens:
            if not self.is_open:
                self.is_open = True
                self._first_seq = packet.seq
                self._send_request()
        elif packet.payload_bytes and self.is_waiting:
            shed = self.flow in self._fleet.shed_flows
            self._fleet.shed_flows.discard(self.flow)
            self._end(RequestOutcome.SHED if shed else RequestOutcome.ANSWERED)

    def reset(self) -> None:
        """Handles a reset of the flow."""
        if self.is_ended:
            return
        self.is_ended = True
        holder = self._fleet.holder(self.flow)
        if self.is_open and holder is not None:
            self._fleet.broken_flows.append(self.flow)
        if self.is_waiting:
            self._end(
                RequestOutcome.RESET if self.is_open else RequestOutcome.REFUSED
            )

    def _send_opening(self, age_ms: int) -> None:
        if not self.is_open and not self.is_ended:
            self._fleet.send_from_client(
                flows.Packet(
                    self.flow,
                    b"",
                    opens=True,
                    seq=self._seq,
                    opening_age_ms=age_ms,
                )
            )

    def _time_out_opening(self) -> None:
        if not self.is_open and not self.is_ended:
            self.is_ended = True
            self._end(RequestOutcome.TIMED_OUT)

    def _send_request(self) -> None:
        self._seq += 1
        seq = self._seq
        request_started_ms = self._started_ms

        def send_copy() -> None:
            if (
                self.is_waiting
                and not self.is_ended
                and request_started_ms == self._started_ms
            ):
                self._fleet.send_from_client(
                    flows.Packet(
                        self.flow,
                        b"",
                        acknowledges=True,
                        payload_bytes=1,
                        seq=seq,
                        ack=(self._first_seq + 1) % (1 << 32),
                    )
                )

        def time_out() -> None:
            if self.is_waiting and request_started_ms == self._started_ms:
                self.is_ended = True
                self._end(RequestOutcome.TIMED_OUT)

        for delay_ms in REQUEST_SEND_TIMES_MS:
            self._fleet.call_later(delay_ms, send_copy)
        left_ms = (
            request_started_ms + self._deadline_ms - self._fleet.clock.now_ms()
        )
        self._fleet.call_later(max(0, left_ms), time_out)

    def _end(self, outcome: RequestOutcome) -> None:
        self.is_waiting = False
        result = RequestResult(
            self.flow,
            self._started_ms,
            self._fleet.clock.now_ms(),
            outcome,
        )
        self._fleet.results.append(result)
        if self.on_result is not None:
            self.on_result(result)


class PacketFleet:
    """Simulation of the complete path from clients to backend servers."""

    def __init__(
        self,
        seed: int,
        specs: list[TargetSpec],
        balancer_count: int = 3,
        make_placement: PlacementFactory | None = None,
        long_lived: bool = False,
        load_interval_ms: int = LOAD_INTERVAL_MS,
        terms: flows.RouteTerms | None = None,
        warmup_overage: float = 0.0,
        warmup_slack: float = 0.0,
        routes: tuple[flows.Route, ...] = (),
        order: flows.WaitingOrder | None = None,
        balancer_zones: tuple[str, ...] = (ZONE,),
        in_step: bool = True,
    ) -> None:
        """Starts all processes with the same view.

        Args:
            seed: Seed of all random choices.
            specs: Parameters of the backend servers.
            balancer_count: Number of balancers.
            make_placement: Creates the placement policy for new flows of the
                agent with a given address. Defaults to the production policy.
            long_lived: Whether flows carry many requests.
            load_interval_ms: Interval at which agents report their load. In
                production the control budget makes it longer the more agents
                there are.
            terms: Terms of the route.
            warmup_overage: Setting of the agents, see `flows.AgentFlows`.
            warmup_slack: Setting of the agents.
            routes: Routes in place of one without terms to `SERVICE`.
            order: Order of waiting flows, the production order by default.
            balancer_zones: Availability zones of the balancers, in rotation.
            in_step: Whether all agents report their load at the same time.
        """
        self.balancer_zones = balancer_zones
        self.rng = random.Random(seed)
        self.clock = EventClock(1_000_000)
        policy = flows.EarliestCompletion(random.Random(seed))
        self.make_placement = make_placement or (lambda _: policy)
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._packets: dict[bytes, flows.Packet] = {}
        self._clients: dict[bytes, Client] = {}
        self.results: list[RequestResult] = []
        self.broken_flows: list[bytes] = []
        self.shed_flows: set[bytes] = set()
        # Messages about flows, without keepalives and load reports.
        self.flow_message_count = 0
        self._long_lived = long_lived
        self._terms = terms
        self.warmup_overage = warmup_overage
        self.warmup_slack = warmup_slack
        self.order = order
        self.table = (
            flows.make_route_table(1, routes)
            if routes
            else self._make_table(1, SERVICE)
        )
        self.targets = [
            Target(self, spec, index) for index, spec in enumerate(specs)
        ]
        self.agents = [
            AgentNode(self, index, target)
            for index, target in enumerate(self.targets)
        ]
        self.balancers = [
            BalancerNode(self, index) for index in range(balancer_count)
        ]
        self.rotation = list(self.balancers)
        self._nodes_by_address = {node.address: node for node in self._nodes()}
        # Instances that are missing from the registry.
        self.unregistered: set[core.Address] = set()
        # Pairs of sender and receiver between which messages are lost.
        self.cut_links: set[tuple[core.Address, core.Address]] = set()
        self.publish_registry()
        for node in self.agents:
            node.report(flows.TargetState.READY, 1)
        self._every(SWEEP_INTERVAL_MS, self._sweep)
        if in_step:
            self._every(load_interval_ms, self._report_loads)
        else:
            self._spread_reports(load_interval_ms)
        self._every(HEARTBEAT_INTERVAL_MS, self._send_heartbeats)
        self._report_loads()

    def _make_table(self, version: int, service: str) -> flows.RouteTable:
        route = flows.Route(
            "board",
            ROUTE_ADDRESS,
            (flows.Share(service, 1),),
            self._long_lived,
            self._terms,
        )
        return flows.RouteTable(version, {ROUTE_ADDRESS: route})

    def move_route(self, service: str) -> None:
        """Applies a configuration that sends new flows to another service."""
        self.table = self._make_table(self.table.version + 1, service)
        for balancer in self.balancers:
            if balancer.up:
                balancer.flows.apply(self.table)

    def evacuate(
        self,
        revision: int,
        zones: tuple[str, ...],
        balancers: list[BalancerNode] | None = None,
    ) -> None:
        """Shows balancers, by default all, which zones are evacuated."""
        view = flows.EvacuationView(0, revision, zones)
        for balancer in self.balancers if balancers is None else balancers:
            balancer.flows.evacuation.learn(view, "store")

    # Event queue.

    def call_later(self, delay_ms: int, work: Callable[[], None]) -> None:
        """Schedules a call after a delay."""
        at_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self._events, (at_ms, next(self._event_numbers), work))

    def _every(self, interval_ms: int, work: Callable[[], None]) -> None:
        def step() -> None:
            work()
            self.call_later(interval_ms, step)

        self.call_later(interval_ms, step)

    def run(self, duration_ms: int) -> None:
        """Processes all events of the next `duration_ms`."""
        end_ms = self.clock.now_ms() + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            at_ms, _, work = heapq.heappop(self._events)
            self.clock.set(at_ms)
            work()
        self.clock.set(end_ms)

    def _sweep(self) -> None:
        for agent in self.agents:
            if agent.up and agent.backlog is None:
                agent.run(agent.flows.sweep())
        for balancer in self.balancers:
            if balancer.up:
                balancer.run(balancer.flows.sweep())

    def _spread_reports(self, interval_ms: int) -> None:
        """Starts the load reports of each agent at a random time."""
        rng = random.Random(len(self.agents))
        for agent in self.agents:
            report = functools.partial(self._report_load, agent)
            start = functools.partial(self._every, interval_ms, report)
            self.call_later(rng.randrange(interval_ms), start)

    def _report_loads(self) -> None:
        for agent in self.agents:
            self._report_load(agent)

    def _report_load(self, agent: AgentNode) -> None:
        if not agent.up or agent.backlog is not None:
            return
        load = agent.flows.forwarder.load()
        agent.flows.directory.record_load(agent.address, load)
        for peer in agent.view.agents(agent.instance.service):
            if peer.address != agent.address:
                report = flows.LoadReport(load)
                self.perform(agent.address, flows.Send(peer.address, report))

    def _send_heartbeats(self) -> None:
        for agent in self.agents:
            if agent.up and agent.backlog is None:
                heartbeat = flows.Heartbeat(
                    agent.instance, agent.flows.forwarder.load(), 0, False
                )
                for balancer in self.balancers:
                    self.perform(
                        agent.address, flows.Send(balancer.address, heartbeat)
                    )
        for node in self._nodes():
            if node.up:
                node.view.refresh()

    def cut_power(self, gone: AgentNode) -> None:
        """Kills everything and starts it anew, except one agent.

        The registry entry of that agent stays.
        """
        for target in self.targets:
            target.crash()
            target.up = target is not gone.target
        entries = []
        for node in self._nodes():
            if node is gone:
                node.up = False
            else:
                node.start()
            entries.append(node.instance)
        for node in self._nodes():
            if node.up:
                node.view.replace_entries(entries)
        for agent in self.agents:
            if agent.up:
                agent.report(flows.TargetState.READY, 2)
                agent.flows.responsiveness.is_after_crash = True

    def publish_registry(self) -> None:
        """Sends the current registry to all running processes."""
        instances = [
            node.instance
            for node in self._nodes()
            if node.up and node.address not in self.unregistered
        ]
        for node in self._nodes():
            if node.up:
                node.view.replace_entries(instances)

    def service_ms(self, target: Target, flow: bytes) -> int:
        """Returns the service time of the next request of a flow."""
        del flow
        return target.spec.service_ms

    # Packets and messages.

    def packet(self, data: bytes) -> flows.Packet:
        """Returns the packet that was sent as `data`."""
        return self._packets[data]

    def send_from_client(self, packet: flows.Packet) -> None:
        """Sends a client's packet to a balancer in rotation, by its flow."""
        data = len(self._packets).to_bytes(8, "big")
        packet = dataclasses.replace(packet, data=data)
        self._packets[data] = packet
        if not self.rotation:
            return
        client = self._clients.get(packet.flow)
        rotation = self.rotation
        if client is not None and client.zone is not None:
            rotation = [
                item for item in rotation if item.zone() == client.zone
            ] or rotation
        index = int.from_bytes(packet.flow, "big") % len(rotation)
        balancer = rotation[index]
        self.call_later(
            CLIENT_DELAY_MS, lambda: balancer.receive_packet(packet)
        )

    def perform(self, sender: core.Address, action: flows.Action) -> None:
        """Performs an action that sends something from an instance."""
        if isinstance(action, flows.Send):
            self.flow_message_count += not isinstance(
                action.message, flows.Heartbeat | flows.LoadReport
            )
            if (sender, action.to) in self.cut_links:
                return
            node = self._node(action.to)
            delay_ms = 0 if action.to == sender else LINK_DELAY_MS
            message = action.message
            if node is not None:
                receive = node.receive
                self.call_later(delay_ms, lambda: receive(sender, message))
        elif isinstance(action, flows.Reply):
            client = self._clients.get(action.packet.flow)
            packet = action.packet
            if client is not None:
                deliver = client.receive
                self.call_later(CLIENT_DELAY_MS, lambda: deliver(packet))
        elif isinstance(action, flows.Reset):
            client = self._clients.get(action.flow)
            if client is not None:
                self.call_later(CLIENT_DELAY_MS, client.reset)

    def cut_path(self, source: str, destination: str) -> None:
        """Loses all messages from one availability zone to another."""
        self.cut_links |= {
            (sender.address, receiver.address)
            for sender in self._nodes()
            for receiver in self._nodes()
            if sender.zone() == source and receiver.zone() == destination
        }

    def _nodes(self) -> list[AgentNode | BalancerNode]:
        return [*self.agents, *self.balancers]

    def _node(self, address: core.Address) -> AgentNode | BalancerNode | None:
        return self._nodes_by_address.get(address)

    # Clients.

    def client(
        self, route: core.Address = ROUTE_ADDRESS, zone: str | None = None
    ) -> Client:
        """Returns a client with a new flow to a route.

        Args:
            route: The route.
            zone: Zone whose balancers receive its packets, None for all.
        """
        number = len(self._clients)
        host = 0x0A800000 + number // 40_000
        port = 1_024 + number % 40_000
        flow = host.to_bytes(4, "big") + port.to_bytes(2, "big")
        flow += bytes(int(part) for part in route.host.split("."))
        flow += route.port.to_bytes(2, "big")
        client = Client(self, flow, zone)
        self._clients[flow] = client
        return client

    def holder(self, flow: bytes) -> Target | None:
        """Returns the backend server that holds a flow."""
        for target in self.targets:
            if target.up and flow in target.initial_seqs:
                return target
        return None

    def answered_share(self, limit_ms: int, since_ms: int = 0) -> float:
        """Returns the fraction of requests answered within a time limit.

        Args:
            limit_ms: Maximum response time.
            since_ms: Start time from which requests are included.
        """
        results = [item for item in self.results if item.started_ms >= since_ms]
        good = sum(
            item.outcome is RequestOutcome.ANSWERED
            and item.duration_ms <= limit_ms
            for item in results
        )
        return good / max(1, len(results))
