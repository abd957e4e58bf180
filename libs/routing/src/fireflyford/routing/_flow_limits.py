"""Limits and timeouts of flow tables, and the placement interface they use."""

import abc
import dataclasses

from fireflyford import core

# All candidates and the way back to the searching agent.
MAX_HOPS = 4
FLOW_IDLE_TIMEOUT_MS = 120_000
MAX_ENTRIES = 100_000
# Twice the connections a target is designed for; each flow holds a socket.
MAX_HELD_FLOWS = 4_000
# A search completes within a few milliseconds unless a message is lost or an
# agent on the chain is dead.
SEARCH_TIMEOUT_MS = 200
TENTATIVE_LIFETIME_MS = 2_000
# An agent that handled no datagram of a flow for longer than this is treated as
# paused. Exceeds the 3 s within which all members learn of a death.
PAUSE_THRESHOLD_MS = 4_000
CONFIRMATION_INTERVAL_MS = 1_000
# A holder confirms one datagram per second, so this many unconfirmed datagrams
# span at least as many seconds. One lost confirmation must not remove the entry
# of a flow that rarely sends.
MAX_UNCONFIRMED_COUNT = 4
ANNOUNCE_INTERVAL_MS = FLOW_IDLE_TIMEOUT_MS // 2
# A search whose timestamp differs from the local wall clock by more than this
# is treated as a stray copy, so agents' clocks have to agree this closely.
MAX_MESSAGE_AGE_MS = 10_000
# Forwarding headers carry the low 40 bits of the wall-clock time.
TIMESTAMP_RANGE_MS = 1 << 40
MAX_NOTIFIED_AGENTS = 8
MAX_COMPETING_AGENTS = 4
# Forwarding headers carry at most this many holders.
MAX_CANDIDATES = 3


class FlowPlacement(abc.ABC):
    """Placement of flows according to an agent's own membership view."""

    @abc.abstractmethod
    def first_target(self, flow_key: int) -> core.Holder | None:
        """Returns the target on which a flow key is placed, if there is one."""

    @abc.abstractmethod
    def successor(self, flow_key: int) -> core.Holder | None:
        """Returns the agent that adopts flows while this one is draining.

        Returns None if this agent is not draining or no other agent exists.
        """


@dataclasses.dataclass(frozen=True)
class FlowTableLimits:
    """Capacity limits of a flow table.

    Attributes:
        max_entries: Maximum number of held flows, searches and directory
            entries together.
        max_held_flows: Maximum number of flows that the agent holds.
    """

    max_entries: int = MAX_ENTRIES
    max_held_flows: int = MAX_HELD_FLOWS

    def __post_init__(self) -> None:
        """Rejects limits that would admit no flow."""
        if min(self.max_entries, self.max_held_flows) < 1:
            raise ValueError("limits of a flow table must be positive")
