"""Weighted consistent-hash ring over the targets of one service."""

import bisect
from collections.abc import Iterable
import dataclasses
import functools

import xxhash

from fireflyford import core

# Points on the ring for a target of weight 1. More points spread load more
# evenly but make the ring slower to rebuild; with 100 points a target's share
# deviates by about 10 %.
POINTS_PER_WEIGHT = 100
# Large enough for every target of a deployment of the intended size, so that a
# view change computes the points of new targets only.
_CACHED_TARGETS = 8_192


@dataclasses.dataclass(frozen=True)
class Target:
    """One target as the ring and the router use it.

    Attributes:
        name: Instance name of the agent.
        address: Link address of the agent.
        incarnation: Low 32 bits of the agent's incarnation.
        weight: Relative share of new flows.
        accepts_flows: Whether new flows may be placed on the target; False
            while it is draining.
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
    """Immutable consistent-hash ring with lookup in logarithmic time.

    Draining targets keep their points: lookups for new flows skip them, but
    they are returned as possible holders of open flows.
    """

    def __init__(self, targets: Iterable[Target]) -> None:
        """Builds the ring."""
        self._by_name: dict[str, Target] = {}
        owners: dict[int, Target] = {}
        for target in sorted(targets, key=lambda item: item.name):
            self._by_name.setdefault(target.name, target)
            for point in _points(target.name, _point_count(target.weight)):
                owners.setdefault(point, target)
        self._hashes = sorted(owners)
        self._targets = [owners[point] for point in self._hashes]
        self._count_accepting()

    def _count_accepting(self) -> None:
        self._target_count = len(self._by_name)
        self._accepting_count = sum(
            target.accepts_flows for target in self._by_name.values()
        )
        self._all_accept_flows = self._accepting_count == self._target_count

    def updated(
        self, changed: Iterable[Target], removed: Iterable[str]
    ) -> "TargetRing":
        """Returns a ring with some targets added, changed or removed.

        The result equals a ring built from all targets, but takes time in
        proportion to the number of changes.

        Args:
            changed: Targets to add, or to put in place of those of the same
                name.
            removed: Names of targets to remove.
        """
        ring = TargetRing(())
        ring._by_name = dict(self._by_name)
        ring._hashes = list(self._hashes)
        ring._targets = list(self._targets)
        for name in removed:
            ring._remove(name)
        for target in changed:
            ring._put(target)
        ring._count_accepting()
        return ring

    def _put(self, target: Target) -> None:
        known = self._by_name.get(target.name)
        if known is not None and known.weight != target.weight:
            self._remove(target.name)
            known = None
        self._by_name[target.name] = target
        for point in _points(target.name, _point_count(target.weight)):
            index = bisect.bisect_left(self._hashes, point)
            is_known = (
                index < len(self._hashes) and self._hashes[index] == point
            )
            if not is_known:
                self._hashes.insert(index, point)
                self._targets.insert(index, target)
            elif self._targets[index].name >= target.name:
                # Of two targets with the same point, the first by name owns it.
                self._targets[index] = target

    def _remove(self, name: str) -> None:
        target = self._by_name.pop(name, None)
        if target is None:
            return
        for point in _points(name, _point_count(target.weight)):
            index = bisect.bisect_left(self._hashes, point)
            if self._targets[index].name == name:
                del self._hashes[index]
                del self._targets[index]

    def find(self, flow_key: int) -> Target | None:
        """Returns the target that owns a flow key.

        Targets that do not accept flows are skipped; returns None if no target
        accepts flows.
        """
        if not self._accepting_count:
            return None
        index = bisect.bisect_right(self._hashes, flow_key)
        if index == len(self._targets):
            index = 0
        target = self._targets[index]
        if self._all_accept_flows:
            return target
        while not target.accepts_flows:
            index = (index + 1) % len(self._targets)
            target = self._targets[index]
        return target

    def walk(self, flow_key: int, count: int) -> list[Target]:
        """Returns up to `count` distinct targets in ring order.

        The walk starts at the flow key and includes draining targets.
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
            # A ring holds one object for each target. Comparing by identity
            # matters because comparing all fields would take longer than the
            # rest of the walk.
            if all(target is not item for item in found):
                found.append(target)
        return found


def hash_flow(data: bytes) -> int:
    """Returns the 64-bit flow key of the bytes that identify a flow."""
    return xxhash.xxh64_intdigest(data)


def _point_count(weight: float) -> int:
    return max(1, round(weight * POINTS_PER_WEIGHT))


@functools.lru_cache(_CACHED_TARGETS)
def _points(name: str, count: int) -> tuple[int, ...]:
    return tuple(
        xxhash.xxh64_intdigest(f"{name}#{index}".encode())
        for index in range(count)
    )
