"""Messages and decisions of the search for flows without identifier."""

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
        hops: Number of agents that have forwarded it.
        chain: Agents still to be asked. In a datagram forwarded by an agent,
            the last one adopts the flow if no agent holds it.
        timestamp_ms: Wall-clock start of the search, low 40 bits; 0 when the
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
        to: Receiver.
        flow_key: Key of the flow.
        holder: Agent that the notice is about.
        timestamp_ms: Wall-clock time at which the holder adopted the flow,
            low 40 bits.
        released: True if `holder` does not hold the flow, False if it does.
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
        action: What happens to the datagram; always `DROP` for a notice.
        to: Next agent if the action is `FORWARD`.
        chain: Chain of the forwarded datagram.
        timestamp_ms: Timestamp of the forwarded datagram.
        notices: Notices to send to other agents.
        flow_lost: Whether this agent no longer holds the flow and has to close
            its socket.
    """

    action: Action
    to: core.Holder | None = None
    chain: tuple[core.Holder, ...] = ()
    timestamp_ms: int = 0
    notices: tuple[Notice, ...] = ()
    flow_lost: bool = False
