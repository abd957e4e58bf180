"""Choice of the agent for one datagram."""

import abc
from collections.abc import Iterable
import dataclasses

from fireflyford import core
from fireflyford.routing import _ring


class Hint(abc.ABC):
    """What a datagram says about its flow, without its encoding."""

    @abc.abstractmethod
    def holder(self) -> tuple[core.Address, int] | None:
        """Returns address and incarnation of the holder, if it is named."""

    @abc.abstractmethod
    def flow_key(self) -> int:
        """Returns the key by which a new flow is placed."""


@dataclasses.dataclass(frozen=True, slots=True)
class HolderHint(Hint):
    """A datagram that names the agent holding its flow."""

    address: core.Address
    incarnation: int

    def holder(self) -> tuple[core.Address, int]:
        """Returns the named holder."""
        return (self.address, self.incarnation)

    def flow_key(self) -> int:
        """Returns 0; the flow is already placed."""
        return 0


@dataclasses.dataclass(frozen=True, slots=True)
class NewFlowHint(Hint):
    """A datagram that starts a flow, or belongs to one without identifier."""

    key: int

    def holder(self) -> None:
        """Returns None; no holder is named."""
        return

    def flow_key(self) -> int:
        """Returns the key by which the flow is placed."""
        return self.key


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where one datagram goes.

    Attributes:
        address: Link address of the agent.
        incarnation: Incarnation that the agent must have, 0 for a new flow.
    """

    address: core.Address
    incarnation: int


class Router:
    """Routes the datagrams of one service without any state of flows."""

    def __init__(self) -> None:
        """Starts without targets."""
        self._ring = _ring.TargetRing(())

    def replace_targets(self, targets: Iterable[_ring.Target]) -> None:
        """Takes the targets of a new view."""
        self._ring = _ring.TargetRing(targets)

    def choose(self, hint: Hint) -> Route | None:
        """Returns the route of a datagram, or None if there is no target.

        A named holder is used even when the view has never heard of it.
        """
        holder = hint.holder()
        if holder is not None:
            return Route(*holder)
        target = self._ring.find(hint.flow_key())
        return None if target is None else Route(target.address, 0)
