"""Messages between the instances of the system."""

import dataclasses
import enum

from fireflyford import core
from fireflyford.flows import _evacuation
from fireflyford.flows import _routes
from fireflyford.flows import _types


class Handling(enum.IntEnum):
    """What the receiver of a forwarded packet does with it.

    RESOLVE: as directory agent of the flow, finds its holder, or places it if
        it is new.
    HELD: delivers the packet as the presumed holder of the flow.
    PLACE: accepts or declines a new flow.
    SEARCH: delivers the packet only if it holds the flow.
    """

    RESOLVE = 0
    HELD = 1
    PLACE = 2
    SEARCH = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """A client's packet on its way to the holder of its flow.

    Attributes:
        handling: What the receiver does with it.
        service: Service of the flow; an agent of another service declines it.
        balancer: Balancer that received the packet from the client.
        directory_agent: Agent that keeps the directory entry of the flow.
        hop_count: Number of agents that have relayed the packet.
        long_lived: Whether flows of this route carry many requests.
        allow_queueing: Whether the receiver accepts the flow even if its
            requests have to wait for a slot.
        data: The encoded packet.
        terms: Terms under which a new flow is placed, None to place it by load
            alone or for other packets.
        evacuation: Evacuated zones as known to the sender, None if it knows
            none or for other packets.
    """

    handling: Handling
    service: str
    balancer: core.Address
    directory_agent: core.Address
    hop_count: int
    long_lived: bool
    allow_queueing: bool
    data: bytes
    terms: _routes.RouteTerms | None = None
    evacuation: _evacuation.EvacuationView | None = None

    def with_newest(self, view: _evacuation.EvacuationView | None) -> "Forward":
        """Returns the message with a view if that is newer than its own."""
        if view is None or not view.is_newer_than(self.evacuation):
            return self
        return dataclasses.replace(self, evacuation=view)

    def relay(
        self,
        handling: Handling,
        directory_agent: core.Address,
        to: core.Address,
        packet: _types.Packet,
        allow_queueing: bool = False,
    ) -> "Send":
        """Returns the message that relays a packet to another agent.

        Args:
            handling: What the receiver does with it.
            directory_agent: Agent that keeps the directory entry of the flow.
            to: The receiver.
            packet: This packet, or another one of the same flow.
            allow_queueing: Whether the receiver accepts the flow even if its
                requests have to wait for a slot.
        """
        message = dataclasses.replace(
            self,
            handling=handling,
            directory_agent=directory_agent,
            hop_count=self.hop_count + 1,
            allow_queueing=allow_queueing,
            data=packet.data,
        )
        return Send(to, message)


@dataclasses.dataclass(frozen=True, slots=True)
class FlowLocated:
    """The sender's backend server holds a flow."""

    flow: bytes
    load: _types.Load


class DeclineReason(enum.IntEnum):
    """Why an agent declines a new flow."""

    BUSY = 0
    DRAINING = 1
    DOWN = 2
    UNKNOWN_STATE = 3
    FULL = 4
    SILENT = 5
    OTHER_SERVICE = 6
    EVACUATED = 7
    COLD = 8
    # The flow cannot be served within its time limit any more.
    TOO_LATE = 9
    # Packets of the client's balancer do not reach the agent.
    UNREACHABLE = 10


# Why an agent declines every new flow in these states of its backend server.
STATE_DECLINE_REASONS = {
    _types.TargetState.DRAINING: DeclineReason.DRAINING,
    _types.TargetState.DOWN: DeclineReason.DOWN,
    _types.TargetState.UNKNOWN: DeclineReason.UNKNOWN_STATE,
}


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementDeclined:
    """The sender declines a new flow and has processed nothing of it."""

    flow: bytes
    reason: DeclineReason
    load: _types.Load


@dataclasses.dataclass(frozen=True, slots=True)
class NotHeld:
    """The sender's backend server does not hold a flow."""

    flow: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class FlowNotFound:
    """No backend server holds a flow; from directory agent to balancer.

    Attributes:
        flow: The flow.
        ack: Last acknowledgment number of the client, for a reset.
        expects_response: Whether the client waits for a response to its packet.
    """

    flow: bytes
    ack: int
    expects_response: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementQueued:
    """A flow has to wait; from directory agent to balancer.

    A new flow waits for room, another one for answers to a search.
    """

    flow: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRefused:
    """No backend server accepts a flow; from directory agent to balancer."""

    flow: bytes
    reason: DeclineReason


@dataclasses.dataclass(frozen=True, slots=True)
class FlowAnnouncement:
    """Flows that the sender holds, for the directory of the receiver."""

    flows: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Keepalive of an instance, with its entry and its load.

    Attributes:
        instance: Entry of the sender.
        load: Load of an agent's backend server.
        config_version: Version of the configuration in force at the sender,
            0 for none.
        leaving: Whether the sender is shutting down.
    """

    instance: _types.Instance
    load: _types.Load
    config_version: int
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of the sender's backend server; also counts as a keepalive."""

    load: _types.Load


@dataclasses.dataclass(frozen=True, slots=True)
class SlotGranted:
    """The sender keeps a free slot for a waiting flow for a short time."""

    flow: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementWithdrawn:
    """The sender no longer asks for a slot for a waiting flow."""

    flow: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ProtocolAnnouncement:
    """The sender decodes messages of this version of the protocol.

    Attributes:
        version: Highest version that the sender decodes.
    """

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedRestart:
    """A process stops while its backend server runs; another one will follow.

    Attributes:
        address: Address of the process, which others may tell new instances.
        incarnation: Incarnation of the process.
    """

    address: core.Address
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class PathReport:
    """Whether messages of the receiver's zone reach the sender.

    Attributes:
        zone: The availability zone of the receiver.
        validity_ms: How long the receiver relies on it that no message of the
            zone arrives, 0 once one has arrived again.
    """

    zone: str
    validity_ms: int


Message = (
    Forward
    | FlowLocated
    | PlacementDeclined
    | NotHeld
    | FlowNotFound
    | PlacementQueued
    | PlacementRefused
    | FlowAnnouncement
    | Heartbeat
    | LoadReport
    | SlotGranted
    | ProtocolAnnouncement
    | PlacementWithdrawn
    | PlannedRestart
    | PathReport
)


@dataclasses.dataclass(frozen=True, slots=True)
class Send(_types.Action):
    """Send a message to another instance, or to this one."""

    to: core.Address
    message: Message
