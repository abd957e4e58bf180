"""Agents and balancers of plain-datagram flows in virtual time.

The decisions are made by the production code of `fireflyford.routing`.
Messages, clock and views are simulated, so that tests and experiments can
choose their order.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from fireflyford import core
from fireflyford import routing

_MAX_PENDING_MESSAGES = 16


class SettableClock(core.Clock):
    """Clock whose time is set by tests and experiments."""

    def __init__(self, now_ms: int = 1_000_000) -> None:
        """Starts at a time well above zero, like a wall clock."""
        self.time_ms = now_ms

    def now_ms(self) -> int:
        """Returns the current setting."""
        return self.time_ms

    def wall_ms(self) -> int:
        """Returns the current setting."""
        return self.time_ms

    async def sleep(self, duration_ms: float) -> None:
        """Advances the time without waiting."""
        self.time_ms += int(duration_ms)


@dataclasses.dataclass(frozen=True)
class Message:
    """A datagram or notice in transit to an agent.

    Attributes:
        recipient: Agent that the message is addressed to.
        sender: Link address of the sender.
        body: Datagram or notice.
        packet_number: Number of the caller's datagram, 0 for a notice.
    """

    recipient: core.Holder
    sender: core.Address
    body: routing.ForwardedDatagram | routing.Notice
    packet_number: int = 0


class Node(routing.FlowPlacement):
    """One agent with its flow table and its view of the targets."""

    def __init__(
        self, network: "FlowNetwork", name: str, holder: core.Holder
    ) -> None:
        """Starts an agent with an empty view."""
        self.name = name
        self.holder = holder
        self.draining = False
        self.table = network.make_table(network.clock, holder, self)
        self.pending_messages: list[Message] = []
        self._ring = routing.TargetRing(())
        self._ring_without_self = routing.TargetRing(())

    def first_target(self, flow_key: int) -> core.Holder | None:
        """Returns the first target for a flow in this agent's view."""
        target = self._ring.find(flow_key)
        return None if target is None else target.holder

    def successor(self, flow_key: int) -> core.Holder | None:
        """Returns the first other target for a flow; None if not draining."""
        target = (
            self._ring_without_self.find(flow_key) if self.draining else None
        )
        return None if target is None else target.holder

    def replace_targets(self, targets: Iterable[routing.Target]) -> None:
        """Replaces the targets of this agent's view."""
        known = tuple(targets)
        self._ring = routing.TargetRing(known)
        self._ring_without_self = routing.TargetRing(
            item for item in known if item.name != self.name
        )


FlowTableFactory = Callable[
    [core.Clock, core.Holder, routing.FlowPlacement], routing.FlowTable
]


@dataclasses.dataclass(frozen=True)
class Delivery:
    """A caller's datagram that reached a backend server."""

    packet_number: int
    flow_key: int
    holder: core.Holder
    hops: int


class FlowNetwork:
    """Agents and the messages in transit between them."""

    def __init__(
        self, make_table: FlowTableFactory = routing.FlowTable
    ) -> None:
        """Starts without agents.

        Args:
            make_table: Creates the flow table of each agent. Tests pass
                faulty tables to verify that a check detects them.
        """
        self.clock = SettableClock()
        self.make_table = make_table
        self.nodes: dict[core.Address, Node] = {}
        self.in_flight: list[Message] = []
        self.deliveries: list[Delivery] = []
        self.incarnation_mismatch_count = 0
        self.dropped_count = 0
        self.max_hops = 0
        self._packet_count = 0

    def start(self, target: routing.Target) -> Node:
        """Starts the agent of a target."""
        node = Node(self, target.name, target.holder)
        self.nodes[target.address] = node
        return node

    def kill(self, address: core.Address) -> None:
        """Removes an agent abruptly, as in a crash."""
        del self.nodes[address]

    def send(
        self, router: routing.Router, balancer: core.Address, flow_key: int
    ) -> int:
        """Sends a caller's datagram via a balancer; returns its number."""
        self._packet_count += 1
        route = router.choose(routing.UnidentifiedFlowHint(flow_key))
        if route is None:
            self.dropped_count += 1
            return self._packet_count
        datagram = routing.ForwardedDatagram(
            flow_key, balancer, 0, route.candidates
        )
        recipient = core.Holder(route.address, route.incarnation)
        self.in_flight.append(
            Message(recipient, balancer, datagram, self._packet_count)
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
        """Delivers a message to its agent; it need not be in `in_flight`."""
        node = self.nodes.get(message.recipient.address)
        if node is None:
            return
        if message.recipient.incarnation not in (0, node.holder.incarnation):
            self.incarnation_mismatch_count += 1
            return
        self._handle_message(node, message)
        self.retry(node)

    def retry(self, node: Node) -> None:
        """Reprocesses the datagrams that an agent holds back."""
        waiting, node.pending_messages = node.pending_messages, []
        for message in waiting:
            self._handle_message(node, message)

    def retry_all(self) -> None:
        """Retries the held datagrams of all agents, as their timers do."""
        for node in tuple(self.nodes.values()):
            self.retry(node)

    def deliver_all(self) -> None:
        """Delivers messages in order until none is in transit."""
        while self.in_flight:
            self.deliver(self.in_flight.pop(0))

    def announce(self, node: Node) -> None:
        """Sends the notices that an agent sends after a change of its view."""
        self._send_notices(node, node.table.announce())

    def _handle_message(self, node: Node, message: Message) -> None:
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
                Delivery(
                    message.packet_number, body.flow_key, node.holder, body.hops
                )
            )
        elif decision.action is routing.Action.FORWARD:
            assert decision.to is not None
            forwarded = routing.ForwardedDatagram(
                body.flow_key,
                node.holder.address,
                body.hops + 1,
                decision.chain,
                decision.timestamp_ms,
            )
            self.in_flight.append(
                Message(
                    decision.to,
                    node.holder.address,
                    forwarded,
                    message.packet_number,
                )
            )
        elif (
            decision.action is routing.Action.HOLD
            and len(node.pending_messages) < _MAX_PENDING_MESSAGES
        ):
            node.pending_messages.append(message)
        else:
            self.dropped_count += 1

    def _send_notices(
        self, node: Node, notices: tuple[routing.Notice, ...]
    ) -> None:
        for notice in notices:
            self.in_flight.append(
                Message(notice.to, node.holder.address, notice)
            )
