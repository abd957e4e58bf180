"""Messages between the instances of the system."""

import dataclasses
import enum

from fireflyford import core
from fireflyford.flows import _types


class Handling(enum.IntEnum):
    """What the receiver of a forwarded packet does with it.

    RESOLVE: the home of the flow finds its holder, or places a new flow.
    HELD: the receiver is believed to hold the flow.
    PLACE: the receiver is asked to take a new flow.
    SEARCH: the receiver takes the packet only if it holds the flow.
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
        service: Service of the flow; an agent of another one refuses it.
        balancer: Balancer that took the packet from the client.
        home: Agent that keeps the directory entry of the flow.
        hop_count: Agents that have passed it on.
        lasting: Whether flows of this route carry many requests.
        firm: Whether the receiver takes the flow even without a free slot.
        data: The encoded packet.
    """

    handling: Handling
    service: str
    balancer: core.Address
    home: core.Address
    hop_count: int
    lasting: bool
    firm: bool
    data: bytes

    def pass_on(
        self,
        handling: Handling,
        home: core.Address,
        to: core.Address,
        packet: _types.Packet,
        firm: bool = False,
    ) -> "Send":
        """Returns the message with which an agent passes a packet on.

        Args:
            handling: What the receiver does with it.
            home: Agent that keeps the directory entry of the flow.
            to: The receiver.
            packet: This packet, or another one of its flow.
            firm: Whether the receiver takes the flow without a free slot.
        """
        message = dataclasses.replace(
            self,
            handling=handling,
            home=home,
            hop_count=self.hop_count + 1,
            firm=firm,
            data=packet.data,
        )
        return Send(to, message)


@dataclasses.dataclass(frozen=True, slots=True)
class Located:
    """The sender's backend server holds a flow."""

    flow: bytes
    load: _types.Load


class DeclineReason(enum.IntEnum):
    """Why an agent does not take a new flow."""

    BUSY = 0
    DRAINING = 1
    DOWN = 2
    UNKNOWN_STATE = 3
    FULL = 4
    SILENT = 5
    OTHER_SERVICE = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Declined:
    """The sender does not take a new flow; nothing of it has run there."""

    flow: bytes
    reason: DeclineReason
    load: _types.Load


@dataclasses.dataclass(frozen=True, slots=True)
class Absent:
    """The sender's backend server does not hold a flow."""

    flow: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """No backend server of the service holds a flow; from home to balancer.

    Attributes:
        flow: The flow.
        ack: Last acknowledgment of the client, for a reset.
        awaited: Whether the client waits for a response to its packet.
    """

    flow: bytes
    ack: int
    awaited: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A new flow waits at its home for a backend server with room."""

    flow: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """No backend server takes a new flow; from home to balancer."""

    flow: bytes
    reason: DeclineReason


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """Flows that the sender holds, for their home's directory."""

    flows: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Beat:
    """Sign of life of an instance, with its own entry and its load.

    Attributes:
        instance: Entry of the sender.
        load: Load of an agent's backend server.
        config_version: Version of the configuration in force at the sender,
            0 for none.
        leaving: Whether the sender ends now.
    """

    instance: _types.Instance
    load: _types.Load
    config_version: int
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of the sender's backend server, a short sign of life as well."""

    load: _types.Load


Message = (
    Forward
    | Located
    | Declined
    | Absent
    | Unknown
    | Waiting
    | Refused
    | Holding
    | Beat
    | LoadReport
)


@dataclasses.dataclass(frozen=True, slots=True)
class Send(_types.Action):
    """Send a message to another instance, or to this one."""

    to: core.Address
    message: Message
