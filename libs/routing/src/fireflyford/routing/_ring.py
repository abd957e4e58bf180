"""Weighted consistent-hash ring over the targets of one service."""

import bisect
from collections.abc import Iterable
import dataclasses

import xxhash

from fireflyford import core

# More points spread load more evenly and make the ring slower to rebuild; at
# 100 points a target's share deviates by about a tenth.
POINTS_PER_WEIGHT = 100


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


class TargetRing:
    """Immutable ring; finding a target takes logarithmic time."""

    def __init__(self, targets: Iterable[Target]) -> None:
        """Builds the ring from the targets that accept flows."""
        points = [
            (point, target)
            for target in targets
            if target.accepts_flows
            for point in _points(target)
        ]
        points.sort(key=lambda item: item[0])
        self._hashes = [point for point, _ in points]
        self._targets = [target for _, target in points]

    def find(self, flow_key: int) -> Target | None:
        """Returns the target of a flow key, or None if the ring is empty."""
        if not self._hashes:
            return None
        index = bisect.bisect_right(self._hashes, flow_key)
        return self._targets[index % len(self._targets)]


def hash_flow(data: bytes) -> int:
    """Returns the 64-bit flow key of some identifying bytes."""
    return xxhash.xxh64_intdigest(data)


def _points(target: Target) -> list[int]:
    count = max(1, round(target.weight * POINTS_PER_WEIGHT))
    return [
        xxhash.xxh64_intdigest(f"{target.name}#{index}".encode())
        for index in range(count)
    ]
