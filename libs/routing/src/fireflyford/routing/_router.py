"""Routing of datagrams to agents, without state for each flow."""

import abc
from collections.abc import Iterable
import dataclasses

from fireflyford import core
from fireflyford.routing import _ring

# Maximum number of possible holders sent along with a datagram that names no
# holder and may belong to an open flow.
MAX_CANDIDATES = 3
# Previous rings are kept long enough for every balancer to receive the new view
# and for every holder to announce its flows to the new candidates.
RING_HISTORY_MS = 60_000
MAX_HISTORY_RINGS = 4


class Hint(abc.ABC):
    """Routing information in a datagram, independent of its encoding."""

    @abc.abstractmethod
    def holder(self) -> core.Holder | None:
        """Returns the holder, if the datagram names it."""

    @abc.abstractmethod
    def flow_key(self) -> int:
        """Returns the key by which a new flow is placed on the ring."""

    @abc.abstractmethod
    def needs_search(self) -> bool:
        """Returns whether agents have to search for the holder."""


@dataclasses.dataclass(frozen=True, slots=True)
class HolderHint(Hint):
    """Hint of a datagram that names the holder of its flow."""

    named: core.Holder

    def holder(self) -> core.Holder:
        """Returns the named holder."""
        return self.named

    def flow_key(self) -> int:
        """Returns 0, because the flow is already placed."""
        return 0

    def needs_search(self) -> bool:
        """Returns False, because the holder is known."""
        return False


@dataclasses.dataclass(frozen=True, slots=True)
class NewFlowHint(Hint):
    """Hint of a first datagram in a flow whose later ones name the holder."""

    key: int

    def holder(self) -> None:
        """Returns None; no holder is named."""
        return

    def flow_key(self) -> int:
        """Returns the key by which the flow is placed."""
        return self.key

    def needs_search(self) -> bool:
        """Returns False, because a new flow has no holder."""
        return False


@dataclasses.dataclass(frozen=True, slots=True)
class UnidentifiedFlowHint(Hint):
    """Hint of a datagram in a new or open flow that never names its holder."""

    key: int

    def holder(self) -> None:
        """Returns None; no holder is named."""
        return

    def flow_key(self) -> int:
        """Returns the key by which the flow is placed."""
        return self.key

    def needs_search(self) -> bool:
        """Returns True, because another agent may hold the flow already."""
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Destination of one datagram.

    Attributes:
        address: Link address of the agent, at which it receives forwarded
            datagrams.
        incarnation: Required incarnation of the agent; 0 accepts any.
        candidates: Other agents that may hold the flow, in search order.
    """

    address: core.Address
    incarnation: int
    candidates: tuple[core.Holder, ...] = ()


class Router:
    """Routes the datagrams of one service without per-flow state."""

    def __init__(self, clock: core.Clock) -> None:
        """Creates a router without targets.

        Args:
            clock: Source of time for the age of previous rings.
        """
        self._clock = clock
        self._targets: tuple[_ring.Target, ...] = ()
        self._present_holders: frozenset[core.Holder] = frozenset()
        self._ring = _ring.TargetRing(())
        # Previous rings and the times at which they were replaced, newest
        # first.
        self._history: tuple[tuple[int, _ring.TargetRing], ...] = ()
        # Incremented with each new ring; invalidates cached routes.
        self.generation = 0

    def replace_targets(self, targets: Iterable[_ring.Target]) -> bool:
        """Replaces the targets and rebuilds the ring if they have changed.

        Returns:
            Whether the targets have changed.
        """
        new_targets = tuple(sorted(targets, key=lambda item: item.name))
        if new_targets == self._targets:
            return False
        now_ms = self._clock.now_ms()
        if self._targets:
            history = ((now_ms, self._ring), *self._history)
            self._history = history[:MAX_HISTORY_RINGS]
        self._targets = new_targets
        self.generation += 1
        self._present_holders = frozenset(
            target.holder for target in new_targets
        )
        self._ring = _ring.TargetRing(new_targets)
        return True

    def choose(self, hint: Hint) -> Route | None:
        """Returns the route of a datagram, or None if there is no target.

        A holder named by the datagram is used even if it is not among the
        targets of this router.
        """
        holder = hint.holder()
        if holder is not None:
            return Route(holder.address, holder.incarnation)
        flow_key = hint.flow_key()
        target = self._ring.find(flow_key)
        if target is None:
            return self._choose_draining(hint)
        if not hint.needs_search():
            return Route(target.address, 0)
        return Route(
            target.address,
            target.incarnation,
            self._candidates(flow_key, target.holder),
        )

    def _choose_draining(self, hint: Hint) -> Route | None:
        """Routes to a draining target when no target accepts new flows.

        This lets datagrams of open flows reach their holders.
        """
        if not hint.needs_search():
            return None
        found = self._ring.walk(hint.flow_key(), 1)
        if not found:
            return None
        target = found[0]
        candidates = self._candidates(hint.flow_key(), target.holder)
        return Route(target.address, target.incarnation, candidates)

    def _candidates(
        self, flow_key: int, first: core.Holder
    ) -> tuple[core.Holder, ...]:
        """Returns likely holders of a flow other than its first target.

        Targets on which previous rings placed the flow come first, followed by
        the next targets on the current ring: when a target leaves, its keys
        move to the next one, and when a target joins, it takes keys from the
        next one.
        """
        # Used as an ordered set.
        found: dict[core.Holder, None] = {}
        if self._history:
            for ring in self._recent_rings():
                earlier = ring.find(flow_key)
                if (
                    earlier is not None
                    and earlier.holder in self._present_holders
                ):
                    found[earlier.holder] = None
        # One more than the maximum, since `first` is removed below.
        for target in self._ring.walk(flow_key, MAX_CANDIDATES + 1):
            found.setdefault(target.holder, None)
        found.pop(first, None)
        return tuple(found)[:MAX_CANDIDATES]

    def _recent_rings(self) -> list[_ring.TargetRing]:
        """Returns the previous rings that are not too old; forgets the rest."""
        oldest_ms = self._clock.now_ms() - RING_HISTORY_MS
        if self._history[-1][0] < oldest_ms:
            self._history = tuple(
                item for item in self._history if item[0] >= oldest_ms
            )
        return [ring for _, ring in self._history]
