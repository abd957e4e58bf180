"""Which backend server takes a new flow."""

import abc
from collections.abc import Sequence
import dataclasses
import random
import statistics

from fireflyford import core
from fireflyford.flows import _types

# Assumed service time while no agent of the service has measured one.
DEFAULT_SERVICE_MS = 30.0
# A measured service time counts at most this factor away from the median, so
# that one wrong figure has a limited effect.
MAX_SPEED_FACTOR = 4.0


# Candidates drawn for a single request. Homes work on loads that are 0.1 s old
# or more; if each took the best of all, they would all take the same one. Two
# is the least number with a choice (Mitzenmacher, "How useful is old
# information?", IEEE TPDS 11, 2000).
SAMPLE_COUNT = 2
# Requests and reserved flows that a backend server gets for each slot, the one
# that is worked on included. Slots then stay busy while homes with older loads
# look for room, and what queues still ends within some 100 ms.
PENDING_PER_SLOT = 4


def has_room(load: _types.Load, added_count: int = 0) -> bool:
    """Returns whether a backend server should get another flow now.

    Args:
        load: Load of the backend server.
        added_count: Flows that the load does not show yet.

    >>> has_room(_types.Load(slot_count=2, busy_count=7))
    True
    >>> has_room(_types.Load(slot_count=2, busy_count=7), added_count=1)
    False
    """
    pending = load.pending_count + added_count
    return pending < load.slot_count * PENDING_PER_SLOT


def expected_load(load: _types.Load, age_ms: int) -> _types.Load:
    """Returns what a load has become after some time without news.

    With many agents, loads are reported less often than requests end. Each
    slot is taken to finish one request in a service time, and reserved flows
    to have become requests meanwhile. An agent that is busier than expected
    declines and reports its load with that.

    Args:
        load: Load of a backend server.
        age_ms: Time since it was reported.

    >>> expected_load(_types.Load(busy_count=3, service_ms=20.0), 45).busy_count
    1
    """
    service_ms = load.service_ms or DEFAULT_SERVICE_MS
    done_count = int(age_ms * load.slot_count / service_ms)
    if not done_count or not load.pending_count:
        return load
    left_count = max(0, load.pending_count - done_count)
    reserved_count = min(load.reserved_count, left_count)
    return dataclasses.replace(
        load,
        busy_count=left_count - reserved_count,
        reserved_count=reserved_count,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An agent that may take a new flow.

    Attributes:
        address: Address of the agent.
        load: Last known load of its backend server.
        placed_count: Flows placed there since that load was reported.
        is_near: Whether it is in the availability zone of the home.
    """

    address: core.Address
    load: _types.Load
    placed_count: int = 0
    is_near: bool = False

    @property
    def pending_count(self) -> int:
        """Requests ahead of another one, those placed meanwhile included."""
        return self.load.pending_count + self.placed_count


class Placement(abc.ABC):
    """Chooses the backend server of a new flow."""

    @abc.abstractmethod
    def choose(
        self, candidates: Sequence[Candidate], long_lived: bool
    ) -> Candidate:
        """Returns one of the candidates; there is at least one.

        Args:
            candidates: Agents whose backend servers take new flows.
            long_lived: Whether the flow will carry many requests.
        """


class Random(Placement):
    """Baseline: any candidate."""

    def __init__(self, rng: random.Random) -> None:
        """Takes the random source."""
        self._rng = rng

    def choose(
        self, candidates: Sequence[Candidate], long_lived: bool
    ) -> Candidate:
        """Returns a random candidate."""
        return self._rng.choice(candidates)


class LeastCompletion(Placement):
    """Earliest completion for single requests, even shares for lasting flows.

    Answers unequal speeds and work that arrives faster than it is reported:
    of two random candidates, a single request goes to the one where it is
    expected to finish first. A lasting flow goes where the flows already open
    leave the largest share of capacity, because its later requests follow it
    there; such flows come rarely enough for their homes to know the loads.
    """

    def __init__(self, rng: random.Random) -> None:
        """Takes the random source."""
        self._rng = rng

    def choose(
        self, candidates: Sequence[Candidate], long_lived: bool
    ) -> Candidate:
        """Returns the candidate of least cost."""
        times = [
            item.load.service_ms for item in candidates if item.load.service_ms
        ]
        median_ms = statistics.median(times) if times else DEFAULT_SERVICE_MS
        cost = _share_cost
        if not long_lived:
            cost = _completion_cost
            count = min(SAMPLE_COUNT, len(candidates))
            candidates = self._rng.sample(candidates, count)
        return min(
            candidates,
            key=lambda item: cost(item, _service_ms(item.load, median_ms)),
        )


def _service_ms(load: _types.Load, median_ms: float) -> float:
    measured_ms = load.service_ms or median_ms
    return min(
        max(measured_ms, median_ms / MAX_SPEED_FACTOR),
        median_ms * MAX_SPEED_FACTOR,
    )


def _completion_cost(item: Candidate, service_ms: float) -> tuple[float, ...]:
    load = item.load
    ahead = item.pending_count
    queued = max(0, ahead - load.slot_count + 1)
    wait_ms = service_ms * queued / load.slot_count
    share = service_ms * load.long_lived_count / load.slot_count
    return (wait_ms + service_ms, share, not item.is_near)


def _share_cost(item: Candidate, service_ms: float) -> tuple[float, ...]:
    load = item.load
    flows = load.long_lived_count + item.placed_count + 1
    ahead = load.pending_count
    return (service_ms * flows / load.slot_count, ahead, not item.is_near)
