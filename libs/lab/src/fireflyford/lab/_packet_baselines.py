"""Baseline placement policies for new flows."""

from collections.abc import Sequence
import heapq
import random

from fireflyford import core
from fireflyford import flows


class DirectoryAgentFirst(flows.Placement):
    """Places a flow on the target of its directory agent.

    This is consistent hashing with a search. It does not react to load: a
    flow goes to another target only when that of its directory agent is full.
    """

    def __init__(self, own_address: core.Address) -> None:
        """Takes the address of the directory agent."""
        self._own_address = own_address

    def choose(
        self, candidates: Sequence[flows.Candidate], long_lived: bool
    ) -> flows.Candidate:
        """Returns the directory agent's target, else the first candidate."""
        del long_lived
        for candidate in candidates:
            if candidate.address == self._own_address:
                return candidate
        return candidates[0]


class PowerOfTwoChoices(flows.Placement):
    """Chooses the less loaded of two random candidates, by reported load."""

    def __init__(self, rng: random.Random) -> None:
        """Takes the random source."""
        self._rng = rng

    def choose(
        self, candidates: Sequence[flows.Candidate], long_lived: bool
    ) -> flows.Candidate:
        """Returns the candidate with fewer pending requests per slot.

        For long-lived flows, the open ones count as well.
        """
        count = min(2, len(candidates))
        sampled = self._rng.sample(list(candidates), count)
        return min(
            sampled, key=lambda item: _pending_per_slot(item, long_lived)
        )


class JoinIdleQueue(flows.Placement):
    """Chooses a random idle candidate, or any candidate if none is idle."""

    def __init__(self, rng: random.Random) -> None:
        """Takes the random source."""
        self._rng = rng

    def choose(
        self, candidates: Sequence[flows.Candidate], long_lived: bool
    ) -> flows.Candidate:
        """Returns a random candidate with a free slot, if there is one."""
        del long_lived
        idle = [
            item
            for item in candidates
            if item.pending_count < item.load.slot_count
        ]
        return self._rng.choice(idle or list(candidates))


def _pending_per_slot(item: flows.Candidate, long_lived: bool) -> float:
    count = item.pending_count
    if long_lived:
        count += item.load.long_lived_count
    return count / max(1, item.load.slot_count)


def central_queue_response_ms(
    arrivals_ms: Sequence[int], service_ms: Sequence[int]
) -> list[int]:
    """Returns the response times of a central queue in front of all slots.

    Each request takes the fastest free slot, or the first slot to become
    free. The queue is work-conserving: no policy without knowledge of future
    arrivals keeps slots busier.

    Args:
        arrivals_ms: Arrival times of the requests, ascending.
        service_ms: Service time of each slot.

    >>> central_queue_response_ms([0, 0, 0], [10, 30])
    [10, 30, 20]
    """
    free = [(0, duration) for duration in service_ms]
    heapq.heapify(free)
    times = []
    for arrived_ms in arrivals_ms:
        idle = [item for item in free if item[0] <= arrived_ms]
        slot = min(idle, key=lambda item: item[1]) if idle else free[0]
        free.remove(slot)
        done_ms = max(arrived_ms, slot[0]) + slot[1]
        times.append(done_ms - arrived_ms)
        free.append((done_ms, slot[1]))
        heapq.heapify(free)
    return times
