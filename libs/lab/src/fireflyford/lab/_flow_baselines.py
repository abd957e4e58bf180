"""Baseline routing methods for flows without an identifier."""

import abc
from collections.abc import Sequence

import xxhash

from fireflyford import routing


class Baseline(abc.ABC):
    """Chooses a target from the view of a single balancer."""

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """Name in results."""

    @abc.abstractmethod
    def choose(
        self, balancer: int, view: Sequence[routing.Target], flow_key: int
    ) -> str:
        """Returns the name of the target for a datagram."""


def _accepting(view: Sequence[routing.Target]) -> list[str]:
    return sorted(target.name for target in view if target.accepts_flows)


class ModuloHash(Baseline):
    """Flow key modulo the number of targets."""

    @property
    def name(self) -> str:
        """Name in results."""
        return "modulo hash"

    def choose(
        self, balancer: int, view: Sequence[routing.Target], flow_key: int
    ) -> str:
        """Returns the target whose index is the remainder."""
        names = _accepting(view)
        return names[flow_key % len(names)]


class RendezvousHash(Baseline):
    """Rendezvous hashing of flow key and target name, without a search."""

    @property
    def name(self) -> str:
        """Name in results."""
        return "rendezvous hash"

    def choose(
        self, balancer: int, view: Sequence[routing.Target], flow_key: int
    ) -> str:
        """Returns the target with the highest hash."""
        seed = flow_key
        return max(
            _accepting(view),
            key=lambda name: xxhash.xxh64_intdigest(name.encode(), seed),
        )


class BalancerFlowTable(Baseline):
    """Flow table local to each balancer, with rendezvous hashing of misses."""

    def __init__(self) -> None:
        """Starts with empty tables."""
        self._placed: dict[tuple[int, int], str] = {}
        self._hash = RendezvousHash()

    @property
    def name(self) -> str:
        """Name in results."""
        return "flow table in each balancer"

    def choose(
        self, balancer: int, view: Sequence[routing.Target], flow_key: int
    ) -> str:
        """Returns the table's target; chooses a new one if it is gone."""
        placed = self._placed.get((balancer, flow_key))
        if placed is None or all(target.name != placed for target in view):
            placed = self._hash.choose(balancer, view, flow_key)
            self._placed[(balancer, flow_key)] = placed
        return placed
