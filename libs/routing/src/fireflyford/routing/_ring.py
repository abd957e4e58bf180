"""Weighted consistent-hash ring over the targets of one service."""

import bisect
from collections.abc import Iterable
import dataclasses
import functools

import xxhash

from fireflyford import core

# More points spread load more evenly and make the ring slower to rebuild; at
# 100 points a target's share deviates by about a tenth.
POINTS_PER_WEIGHT = 100
# Points of every target that the system is meant to have, so that a view
# change hashes only the new ones.
_CACHED_TARGETS = 8_192


@dataclasses.dataclass(frozen=True)
class Target:
    """One target as routing sees it.

    Attributes:
        name: Instance name of the agent.
        address: Link address of the agent.
        incarnation: Incarnation of the agent, low 32 bits.
        weight: Share of new flows against the other targets.
        accepts_flows: Whether it takes new flows; a draining target does not.
    """

    name: str
    address: core.Address
    incarnation: int
    weight: float = 1.0
    accepts_flows: bool = True

    @functools.cached_property
    def holder(self) -> core.Holder:
        """The target as the holder of a flow."""
        return core.Holder(self.address, self.incarnation)


class TargetRing:
    """Immutable ring; finding a target takes logarithmic time.

    Draining targets keep their points. They are skipped when a flow is
    placed, but searched as possible holders.
    """

    def __init__(self, targets: Iterable[Target]) -> None:
        """Builds the ring."""
        owners: dict[int, Target] = {}
        names = set()
        accepting_count = 0
        for target in sorted(targets, key=lambda item: item.name):
            names.add(target.name)
            accepting_count += target.accepts_flows
            for point in _points(target.name, _point_count(target.weight)):
                owners.setdefault(point, target)
        self._hashes = sorted(owners)
        self._targets = [owners[point] for point in self._hashes]
        self._target_count = len(names)
        self._is_plain = accepting_count == len(names)
        self._accepting_count = accepting_count

    def find(self, flow_key: int) -> Target | None:
        """Returns the target of a flow key, or None if none accepts flows."""
        if not self._accepting_count:
            return None
        index = bisect.bisect_right(self._hashes, flow_key)
        if index == len(self._targets):
            index = 0
        target = self._targets[index]
        if self._is_plain:
            return target
        while not target.accepts_flows:
            index = (index + 1) % len(self._targets)
            target = self._targets[index]
        return target

    def walk(self, flow_key: int, count: int) -> list[Target]:
        """Returns up to `count` distinct targets from a flow key on.

        Draining targets are included.
        """
        targets = self._targets
        wanted = min(count, self._target_count)
        index = bisect.bisect_right(self._hashes, flow_key)
        found: list[Target] = []
        while len(found) < wanted:
            if index >= len(targets):
                index = 0
            target = targets[index]
            index += 1
            # Each target is one object in its ring, and comparing its fields
            # would take longer than the whole walk.
            if all(target is not item for item in found):
                found.append(target)
        return found


def hash_flow(data: bytes) -> int:
    """Returns the 64-bit flow key of some identifying bytes."""
    return xxhash.xxh64_intdigest(data)


def _point_count(weight: float) -> int:
    return max(1, round(weight * POINTS_PER_WEIGHT))


@functools.lru_cache(_CACHED_TARGETS)
def _points(name: str, count: int) -> tuple[int, ...]:
    return tuple(
        xxhash.xxh64_intdigest(f"{name}#{index}".encode())
        for index in range(count)
    )
