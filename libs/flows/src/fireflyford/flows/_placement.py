"""Policies that choose the backend server of a new flow."""

import abc
from collections.abc import Sequence
import dataclasses
import random
import statistics

from fireflyford import core
from fireflyford.flows import _types

# Used while no agent of the service has measured a service time.
DEFAULT_SERVICE_MS = 30.0
# Service times are clamped to this factor around the median, which limits the
# effect of a wrong measurement.
MAX_SPEED_FACTOR = 4.0
# Random candidates compared for a single request. Directory agents see loads
# that are at least 0.1 s old; if each chose the best of all, they would all
# choose the same one. Two is the smallest number that leaves a choice
# (Mitzenmacher, "How useful is old information?", IEEE TPDS 11, 2000).
SAMPLE_COUNT = 2
# How much later a request may finish in the client's availability zone than in
# another one before the other is chosen. Answers that cross zones are paid for,
# and measured service times differ by as much between equal backend servers.
OTHER_ZONE_FACTOR = 1.2
# Limit of requests and reserved flows for each slot of a backend server,
# including the request in progress. Keeps slots busy although directory agents
# see old loads, while queued requests still finish within some 100 ms.
PENDING_PER_SLOT = 4


def has_room(load: _types.Load, added_count: int = 0) -> bool:
    """Returns whether a backend server may be given another flow.

    Args:
        load: Load of the backend server.
        added_count: Flows that the load does not include yet.

    >>> has_room(_types.Load(slot_count=2, busy_count=7))
    True
    >>> has_room(_types.Load(slot_count=2, busy_count=7), added_count=1)
    False
    """
    pending = load.pending_count + added_count
    return pending < load.slot_count * PENDING_PER_SLOT


def expected_load(load: _types.Load, age_ms: int) -> _types.Load:
    """Estimates the current load from an older report.

    With many agents, the interval between load reports is longer than the
    service time. Each slot is assumed to finish one request per service time,
    and reserved flows to have sent their request. An agent that is busier than
    estimated declines the flow and reports its load with the answer.

    Args:
        load: Last reported load of a backend server.
        age_ms: Time since the report.

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
    """An agent that may accept a new flow.

    Attributes:
        address: Address of the agent.
        load: Last known load of its backend server.
        placed_count: Flows placed there since that load was reported.
        in_same_zone: Whether it is in the availability zone of the client.
    """

    address: core.Address
    load: _types.Load
    placed_count: int = 0
    in_same_zone: bool = False

    @property
    def pending_count(self) -> int:
        """Number of requests ahead of a new one."""
        return self.load.pending_count + self.placed_count


class Placement(abc.ABC):
    """Chooses the backend server of a new flow."""

    @abc.abstractmethod
    def choose(
        self, candidates: Sequence[Candidate], long_lived: bool
    ) -> Candidate:
        """Returns one of the candidates.

        Args:
            candidates: Agents whose backend servers accept new flows, at least
                one.
            long_lived: Whether the flow will carry many requests.
        """


class Random(Placement):
    """Uniformly random choice, as a baseline."""

    def __init__(self, rng: random.Random) -> None:
        """Initializes a policy with its random source."""
        self._rng = rng

    def choose(
        self, candidates: Sequence[Candidate], long_lived: bool
    ) -> Candidate:
        """Returns a random candidate."""
        return self._rng.choice(candidates)


class EarliestCompletion(Placement):
    """Earliest completion for single requests, even load for long-lived flows.

    Handles backend servers of unequal speed and requests that arrive faster
    than loads are reported: of two random candidates, and two more in the
    client's zone, a single request goes to the one where it is expected to
    finish first. A long-lived flow goes where the open flows leave the largest
    share of capacity, because its later requests go to the same backend server;
    such flows are rare enough for the directory agents to know the current
    loads. Both stay in the zone of the client while that is not slower by more
    than `OTHER_ZONE_FACTOR`; a zone with more demand than its backend servers
    can bear uses those of others.
    """

    def __init__(self, rng: random.Random) -> None:
        """Initializes a policy with its random source."""
        self._rng = rng

    def choose(
        self, candidates: Sequence[Candidate], long_lived: bool
    ) -> Candidate:
        """Returns the candidate with the lowest cost."""
        times = [
            item.load.service_ms for item in candidates if item.load.service_ms
        ]
        median_ms = statistics.median(times) if times else DEFAULT_SERVICE_MS
        cost = _long_lived_cost
        if not long_lived:
            cost = _completion_cost
            near = [item for item in candidates if item.in_same_zone]
            candidates = [*self._sample(near), *self._sample(candidates)]
        return min(
            candidates,
            key=lambda item: cost(
                item, _bounded_service_ms(item.load, median_ms)
            ),
        )

    def _sample(self, candidates: Sequence[Candidate]) -> list[Candidate]:
        count = min(SAMPLE_COUNT, len(candidates))
        return self._rng.sample(candidates, count)


def _zone_factor(item: Candidate) -> float:
    return 1.0 if item.in_same_zone else OTHER_ZONE_FACTOR


def _bounded_service_ms(load: _types.Load, median_ms: float) -> float:
    measured_ms = load.service_ms or median_ms
    return min(
        max(measured_ms, median_ms / MAX_SPEED_FACTOR),
        median_ms * MAX_SPEED_FACTOR,
    )


def _completion_cost(item: Candidate, service_ms: float) -> tuple[float, ...]:
    """Returns the weighted time until a request would finish, tie-breakers."""
    load = item.load
    ahead_count = item.pending_count
    queued = max(0, ahead_count - load.slot_count + 1)
    wait_ms = service_ms * queued / load.slot_count
    long_lived_share = service_ms * load.long_lived_count / load.slot_count
    return ((wait_ms + service_ms) * _zone_factor(item), long_lived_share)


def _long_lived_cost(item: Candidate, service_ms: float) -> tuple[float, ...]:
    """Returns the capacity that open flows would use, and tie-breakers."""
    load = item.load
    flow_count = load.long_lived_count + item.placed_count + 1
    ahead_count = load.pending_count
    share = service_ms * flow_count / load.slot_count
    return (share * _zone_factor(item), ahead_count)
