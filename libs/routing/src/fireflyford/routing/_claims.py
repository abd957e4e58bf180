"""What agents tell one another about flows without identifier."""

import dataclasses
import enum

from fireflyford import core


class Action(enum.Enum):
    """What the agent does with a datagram."""

    DELIVER = "deliver"
    FORWARD = "forward"
    HOLD = "hold"
    DROP = "drop"


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedDatagram:
    """One forwarded datagram, without its payload.

    Attributes:
        flow_key: Key of the flow.
        sender: Link address of the balancer or agent that sent it.
        hops: How many agents have passed it on.
        chain: Agents still to be asked; in a datagram that an agent passed
            on, the last one adopts the flow when nobody holds it.
        stamp: Start of the search in ms of the time of day, 0 when the
            datagram follows a directory entry.
    """

    flow_key: int
    sender: core.Address
    hops: int = 0
    chain: tuple[core.Holder, ...] = ()
    timestamp_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """A message about a flow from one agent to another.

    Attributes:
        to: Agent that it is meant for.
        flow_key: Key of the flow.
        holder: Agent that holds the flow, or that does not when `released`.
        stamp: When the holder adopted the flow, in ms of the time of day.
        released: Whether the holder does not hold the flow.
    """

    to: core.Holder
    flow_key: int
    holder: core.Holder
    timestamp_ms: int
    released: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What the agent does with one datagram or notice.

    Attributes:
        action: What happens to the datagram; `DROP` for a notice.
        to: Next agent when the action is `FORWARD`.
        chain: Chain to send along.
        stamp: Stamp to send along.
        notices: Messages to send to other agents.
        lost: Whether this agent gives up the flow and its socket.
    """

    action: Action
    to: core.Holder | None = None
    chain: tuple[core.Holder, ...] = ()
    timestamp_ms: int = 0
    notices: tuple[Notice, ...] = ()
    flow_lost: bool = False
