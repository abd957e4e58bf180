"""Agents and balancers of plain-datagram flows in virtual time.

The decision code is the product's own; messages, clock and views are kept
here, so that tests and experiments choose their order.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from fireflyford import core
from fireflyford import routing

_MAX_HELD_BACK = 16


class VirtualClock(core.Clock):
    """Clock that tests and experiments set."""

    def __init__(self, now_ms: int = 1_000_000) -> None:
        """Starts at a time long after zero, as wall clocks do."""
        self.time_ms = now_ms

    def now_ms(self) -> int:
        """Returns the time that was set."""
        return self.time_ms

    def wall_ms(self) -> int:
        """Returns the time that was set."""
        return self.time_ms

    async def sleep(self, duration_ms: float) -> None:
        """Moves the time on at once."""
        self.time_ms += int(duration_ms)


@dataclasses.dataclass(frozen=True)
class Message:
    """A datagram or notice on its way to an agent.

    Attributes:
        to: Agent that it is meant for.
        sender: Link address of the sender.
        body: Datagram or notice.
        packet: Number of the caller's datagram, 0 for a notice.
    """

    to: core.Holder
    sender: core.Address
    body: routing.ForwardedDatagram | routing.Notice
    packet: int = 0


class Node(routing.FlowPlacement):
    """One agent: its flow table and the view it has of its peers."""

    def __init__(
        self, network: "FlowNetwork", name: str, holder: core.Holder
    ) -> None:
        """Starts an agent that knows no peers."""
        self.name = name
        self.holder = holder
        self.draining = False
        self.table = network.make_table(network.clock, holder, self)
        self.held_back: list[Message] = []
        self._ring = routing.TargetRing(())
        self._others = routing.TargetRing(())

    def first_target(self, flow_key: int) -> core.Holder | None:
        """Returns the first target in this agent's view."""
        target = self._ring.find(flow_key)
        return None if target is None else target.holder

    def successor(self, flow_key: int) -> core.Holder | None:
        """Returns the first target besides this agent while it drains."""
        target = self._others.find(flow_key) if self.draining else None
        return None if target is None else target.holder

    def replace_targets(self, targets: Iterable[routing.Target]) -> None:
        """Takes the targets of a new view."""
        known = tuple(targets)
        self._ring = routing.TargetRing(known)
        self._others = routing.TargetRing(
            item for item in known if item.name != self.name
        )


TableMaker = Callable[
    [core.Clock, core.Holder, routing.FlowPlacement], routing.FlowTable
]


@dataclasses.dataclass(frozen=True)
class Delivery:
    """A caller's datagram that reached a backend server."""

    packet: int
    flow_key: int
    holder: core.Holder
    hops: int


class FlowNetwork:
    """Agents, and the messages on their way between them."""

    def __init__(self, make_table: TableMaker = routing.FlowTable) -> None:
        """Starts without agents.

        Args:
            make_table: Makes the flow table of each agent; tests pass faulty
                tables to show that a check notices them.
        """
        self.clock = VirtualClock()
        self.make_table = make_table
        self.nodes: dict[core.Address, Node] = {}
        self.in_flight: list[Message] = []
        self.deliveries: list[Delivery] = []
        self.mismatch_count = 0
        self.dropped_count = 0
        self.max_hops = 0
        self._packet_count = 0

    def start(self, target: routing.Target) -> Node:
        """Starts the agent of a target."""
        node = Node(self, target.name, target.holder)
        self.nodes[target.address] = node
        return node

    def kill(self, address: core.Address) -> None:
        """Ends an agent without warning."""
        del self.nodes[address]

    def send(
        self, router: routing.Router, balancer: core.Address, flow_key: int
    ) -> int:
        """Sends a caller's datagram through a balancer; returns its number."""
        self._packet_count += 1
        route = router.choose(routing.UnidentifiedFlowHint(flow_key))
        if route is None:
            self.dropped_count += 1
            return self._packet_count
        arrival = routing.ForwardedDatagram(
            flow_key, balancer, 0, route.candidates
        )
        to = core.Holder(route.address, route.incarnation)
        self.in_flight.append(
            Message(to, balancer, arrival, self._packet_count)
        )
        return self._packet_count

    def holders(self, flow_key: int) -> list[core.Holder]:
        """Returns the agents that hold a flow."""
        return [
            node.holder
            for node in self.nodes.values()
            if node.table.holds(flow_key)
        ]

    def deliver(self, message: Message) -> None:
        """Hands a message to its agent; it need not be in flight."""
        node = self.nodes.get(message.to.address)
        if node is None:
            return
        if message.to.incarnation not in (0, node.holder.incarnation):
            self.mismatch_count += 1
            return
        self._handle(node, message)
        self.retry(node)

    def retry(self, node: Node) -> None:
        """Decides again about the datagrams that an agent holds back."""
        waiting, node.held_back = node.held_back, []
        for message in waiting:
            self._handle(node, message)

    def retry_all(self) -> None:
        """Does what the timer of every agent does."""
        for node in tuple(self.nodes.values()):
            self.retry(node)

    def settle(self) -> None:
        """Delivers messages in order until none is left."""
        while self.in_flight:
            self.deliver(self.in_flight.pop(0))

    def announce(self, node: Node) -> None:
        """Does what an agent does after a change of its view."""
        self._send_notices(node, node.table.announce())

    def _handle(self, node: Node, message: Message) -> None:
        body = message.body
        if isinstance(body, routing.Notice):
            sender = core.Holder(message.sender, 0)
            self._send_notices(
                node, node.table.handle_notice(body, sender).notices
            )
            return
        self.max_hops = max(self.max_hops, body.hops)
        decision = node.table.handle_datagram(body)
        self._send_notices(node, decision.notices)
        if decision.action is routing.Action.DELIVER:
            self.deliveries.append(
                Delivery(message.packet, body.flow_key, node.holder, body.hops)
            )
        elif decision.action is routing.Action.FORWARD:
            assert decision.to is not None
            onward = routing.ForwardedDatagram(
                body.flow_key,
                node.holder.address,
                body.hops + 1,
                decision.chain,
                decision.timestamp_ms,
            )
            self.in_flight.append(
                Message(
                    decision.to, node.holder.address, onward, message.packet
                )
            )
        elif (
            decision.action is routing.Action.HOLD
            and len(node.held_back) < _MAX_HELD_BACK
        ):
            node.held_back.append(message)
        else:
            self.dropped_count += 1

    def _send_notices(
        self, node: Node, notices: tuple[routing.Notice, ...]
    ) -> None:
        for notice in notices:
            self.in_flight.append(
                Message(notice.to, node.holder.address, notice)
            )
