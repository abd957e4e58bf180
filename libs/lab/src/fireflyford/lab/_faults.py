"""Network faults between two parties and their effect on datagrams."""

import dataclasses
import enum
import random

import xxhash


class Direction(enum.Enum):
    """Direction of traffic through the proxy."""

    FORWARD = "forward"
    BACKWARD = "backward"


class Cut(enum.Enum):
    """Directions in which all traffic is blocked."""

    NONE = "none"
    FORWARD = "forward"
    BACKWARD = "backward"
    BOTH = "both"

    def stops(self, direction: Direction) -> bool:
        """Returns whether traffic in this direction is blocked."""
        return self is Cut.BOTH or self.value == direction.value


@dataclasses.dataclass(frozen=True)
class Faults:
    """Faults between two parties; by default there are none.

    Attributes:
        loss_ratio: Fraction of datagrams that are lost.
        delay_ms: One-way delay.
        jitter_ms: Maximum of an additional, uniformly distributed delay.
        reorder_ratio: Fraction of datagrams that are delayed by another
            `reorder_ms`.
        reorder_ms: Additional delay of reordered datagrams.
        duplicate_ratio: Fraction of datagrams that arrive twice.
        rate_bytes_per_s: Throughput limit, 0 for none.
        cut: Directions in which all traffic is blocked.
        freeze_ratio: Fraction of flows whose traffic is blocked, of those
            that exist when the fault is set; later flows are not affected.
        late_ratio: Fraction of datagrams of which a copy arrives `late_ms`
            later.
        late_ms: Delay of late copies, up to a minute.
        reset: Whether open TCP streams are reset when the fault is set.
    """

    loss_ratio: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    reorder_ratio: float = 0.0
    reorder_ms: float = 20.0
    duplicate_ratio: float = 0.0
    rate_bytes_per_s: float = 0.0
    cut: Cut = Cut.NONE
    freeze_ratio: float = 0.0
    late_ratio: float = 0.0
    late_ms: float = 0.0
    reset: bool = False

    def __post_init__(self) -> None:
        """Rejects ratios outside 0 to 1 and negative times."""
        for field in dataclasses.fields(self):
            value = getattr(self, field.name)
            if field.name.endswith("_ratio") and not 0 <= value <= 1:
                raise ValueError(f"{field.name} must be between 0 and 1")
            if field.name.endswith(("_ms", "_per_s")) and value < 0:
                raise ValueError(f"{field.name} must not be negative")


# A datagram that would wait longer for its turn under a rate limit is dropped.
_MAX_QUEUE_MS = 1_000.0


class FaultPlan:
    """Applies the faults between two parties, with seeded random choices."""

    def __init__(self, faults: Faults, seed: int) -> None:
        """Prepares the plan.

        Args:
            faults: Faults to apply.
            seed: Seed of the random choices.
        """
        self.faults = faults
        self._seed = seed
        self._rng = random.Random(seed)
        self._free_ms = dict.fromkeys(Direction, 0.0)

    def freezes(self, flow: bytes) -> bool:
        """Returns whether a flow is selected to be frozen.

        The selection depends only on the flow and the seed, so that all
        proxies on the path of a flow select the same flows.
        """
        point: int = xxhash.xxh32_intdigest(flow, seed=self._seed)
        return point < self.faults.freeze_ratio * 2**32

    def delays_ms(
        self, now_ms: float, size_bytes: int, direction: Direction
    ) -> list[float]:
        """Returns the delay of each copy to deliver; none if it is dropped.

        Args:
            now_ms: Current time.
            size_bytes: Size of the datagram.
            direction: Direction of the datagram through the proxy.
        """
        faults = self.faults
        if faults.cut.stops(direction):
            return []
        if faults.loss_ratio and self._rng.random() < faults.loss_ratio:
            return []
        delay_ms = faults.delay_ms
        if faults.jitter_ms:
            delay_ms += self._rng.uniform(0, faults.jitter_ms)
        if faults.rate_bytes_per_s:
            queue_ms = self.queue_ms(now_ms, size_bytes, direction)
            if queue_ms > _MAX_QUEUE_MS:
                return []
            delay_ms += queue_ms
        if faults.reorder_ratio and self._rng.random() < faults.reorder_ratio:
            delay_ms += faults.reorder_ms
        delays_ms = [delay_ms]
        if (
            faults.duplicate_ratio
            and self._rng.random() < faults.duplicate_ratio
        ):
            delays_ms.append(delay_ms)
        if faults.late_ratio and self._rng.random() < faults.late_ratio:
            delays_ms.append(delay_ms + faults.late_ms)
        return delays_ms

    def queue_ms(
        self, now_ms: float, size_bytes: int, direction: Direction
    ) -> float:
        """Enqueues a datagram at the rate limit and returns its wait.

        A datagram that waits too long takes no capacity, as it is dropped.
        """
        start_ms = max(now_ms, self._free_ms[direction])
        wait_ms = start_ms - now_ms
        if wait_ms <= _MAX_QUEUE_MS:
            cost_ms = size_bytes / self.faults.rate_bytes_per_s * 1000
            self._free_ms[direction] = start_ms + cost_ms
        return wait_ms
