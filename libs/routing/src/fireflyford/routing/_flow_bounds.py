"""Bounds and times of flow tables, and what a table asks of its agent."""

import abc
import dataclasses

from fireflyford import core

MAX_HOPS = 4
FLOW_IDLE_MS = 120_000
MAX_ENTRIES = 100_000
# Twice the connections that a target is meant for; each holds a socket.
MAX_HELD = 4_000
# A search takes a few milliseconds unless a message is lost or an agent on
# the chain is dead.
SEARCH_TIMEOUT_MS = 200
TENTATIVE_MS = 2_000
# Longer than the 3 s in which members learn of a dead one.
PAUSE_LIMIT_MS = 4_000
CONFIRM_INTERVAL_MS = 1_000
# A holder confirms one datagram in a second, so this many mean as many
# seconds, or a flow that sends rarely; one lost confirmation means nothing.
MAX_UNANSWERED = 4
ANNOUNCE_INTERVAL_MS = FLOW_IDLE_MS // 2
# A search that arrives later than this, or from a clock that differs by more,
# is a stray copy.
MAX_MESSAGE_AGE_MS = 10_000
# Forwarding headers carry 40 bits of the time of day.
STAMP_RANGE_MS = 1 << 40
MAX_TOLD = 8
MAX_RIVALS = 4
MAX_CANDIDATES = 3


class FlowPlacement(abc.ABC):
    """Where an agent's own view places flows."""

    @abc.abstractmethod
    def first_target(self, flow_key: int) -> core.Holder | None:
        """Returns the first target of a flow key, or None without targets."""

    @abc.abstractmethod
    def successor(self, flow_key: int) -> core.Holder | None:
        """Returns the agent that adopts a flow in place of this one.

        None while this agent is not draining, and when there is no other.
        """


@dataclasses.dataclass(frozen=True)
class FlowTableLimits:
    """Bounds of a flow table.

    Attributes:
        max_entries: Flows and directory entries together.
        max_held: Flows that this agent holds.
    """

    max_entries: int = MAX_ENTRIES
    max_held_flows: int = MAX_HELD

    def __post_init__(self) -> None:
        """Rejects bounds that admit nothing."""
        if min(self.max_entries, self.max_held_flows) < 1:
            raise ValueError("bounds of a flow table must be positive")
