"""Choice of the agent for one datagram."""

import abc
from collections.abc import Iterable
import dataclasses

from fireflyford import core
from fireflyford.routing import _ring

# Possible holders listed with a datagram of a flow without identifier.
MAX_CANDIDATES = 3
# Earlier rings are kept until every balancer has the new view and every agent
# that holds flows has announced them to the new candidates.
HISTORY_MS = 60_000
HISTORY_RINGS = 4


class Hint(abc.ABC):
    """What a datagram says about its flow, without its encoding."""

    @abc.abstractmethod
    def holder(self) -> core.Holder | None:
        """Returns the holder, if the datagram names it."""

    @abc.abstractmethod
    def flow_key(self) -> int:
        """Returns the key by which a new flow is placed."""

    @abc.abstractmethod
    def needs_search(self) -> bool:
        """Returns whether the agents search for the holder."""


@dataclasses.dataclass(frozen=True, slots=True)
class HolderHint(Hint):
    """A datagram that names the agent holding its flow."""

    named: core.Holder

    def holder(self) -> core.Holder:
        """Returns the named holder."""
        return self.named

    def flow_key(self) -> int:
        """Returns 0; the flow is already placed."""
        return 0

    def needs_search(self) -> bool:
        """Returns False; the holder is known."""
        return False


@dataclasses.dataclass(frozen=True, slots=True)
class NewFlowHint(Hint):
    """A datagram that starts a flow whose later datagrams name the holder."""

    key: int

    def holder(self) -> None:
        """Returns None; no holder is named."""
        return

    def flow_key(self) -> int:
        """Returns the key by which the flow is placed."""
        return self.key

    def needs_search(self) -> bool:
        """Returns False; the flow is new."""
        return False


@dataclasses.dataclass(frozen=True, slots=True)
class UnidentifiedFlowHint(Hint):
    """A datagram of a new or open flow that carries no identifier."""

    key: int

    def holder(self) -> None:
        """Returns None; no holder is named."""
        return

    def flow_key(self) -> int:
        """Returns the key by which the flow is placed."""
        return self.key

    def needs_search(self) -> bool:
        """Returns True; any earlier holder may hold the flow."""
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where one datagram goes.

    Attributes:
        address: Link address of the agent.
        incarnation: Incarnation that the agent must have, 0 for a new flow.
        candidates: Other agents that may hold the flow, in search order.
    """

    address: core.Address
    incarnation: int
    candidates: tuple[core.Holder, ...] = ()


class Router:
    """Routes the datagrams of one service without any state of flows."""

    def __init__(self, clock: core.Clock) -> None:
        """Starts without targets.

        Args:
            clock: Source of time for the age of earlier rings.
        """
        self._clock = clock
        self._targets: tuple[_ring.Target, ...] = ()
        self._present: frozenset[core.Holder] = frozenset()
        self._ring = _ring.TargetRing(())
        # Earlier rings with the time at which each was replaced, newest first.
        self._history: tuple[tuple[int, _ring.TargetRing], ...] = ()
        # Changes with each new ring; kept routes are of no use after that.
        self.generation = 0

    def replace_targets(self, targets: Iterable[_ring.Target]) -> bool:
        """Takes the targets of a new view.

        Returns:
            Whether anything has changed; if not, nothing is rebuilt.
        """
        taken = tuple(sorted(targets, key=lambda item: item.name))
        if taken == self._targets:
            return False
        now_ms = self._clock.now_ms()
        if self._targets:
            kept = ((now_ms, self._ring), *self._history)
            self._history = kept[:HISTORY_RINGS]
        self._targets = taken
        self.generation += 1
        self._present = frozenset(target.holder for target in taken)
        self._ring = _ring.TargetRing(taken)
        return True

    def choose(self, hint: Hint) -> Route | None:
        """Returns the route of a datagram, or None if there is no target.

        A named holder is used even when the view has never heard of it.
        """
        holder = hint.holder()
        if holder is not None:
            return Route(holder.address, holder.incarnation)
        flow_key = hint.flow_key()
        target = self._ring.find(flow_key)
        if target is None:
            return self._choose_leaving(hint)
        if not hint.needs_search():
            return Route(target.address, 0)
        return Route(
            target.address,
            target.incarnation,
            self._candidates(flow_key, target.holder),
        )

    def _choose_leaving(self, hint: Hint) -> Route | None:
        # With every target draining, open flows still reach their holders.
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
        """Returns likely holders of a flow besides its first target.

        Those at which earlier rings placed the flow come first, then the next
        targets on the ring: a leaving target hands its keys to the next one,
        and a joining target takes them from the next one.
        """
        found: dict[core.Holder, None] = {}
        if self._history:
            for ring in self._recent_rings():
                earlier = ring.find(flow_key)
                if earlier is not None and earlier.holder in self._present:
                    found[earlier.holder] = None
        for target in self._ring.walk(flow_key, MAX_CANDIDATES + 1):
            found.setdefault(target.holder, None)
        found.pop(first, None)
        return tuple(found)[:MAX_CANDIDATES]

    def _recent_rings(self) -> list[_ring.TargetRing]:
        oldest_ms = self._clock.now_ms() - HISTORY_MS
        if self._history[-1][0] < oldest_ms:
            self._history = tuple(
                item for item in self._history if item[0] >= oldest_ms
            )
        return [ring for _, ring in self._history]
