"""Other policies for new flows, for comparison with the one in use."""

from collections.abc import Sequence
import heapq
import random

from fireflyford import core
from fireflyford import flows


class DirectoryAgentFirst(flows.Placement):
    """Ring with search: a flow goes to its home, whatever the load.

    Answers no load; a flow is moved on only when its home has no room.
    """

    def __init__(self, own: core.Address) -> None:
        """Takes the address of the home."""
        self._own = own

    def choose(
        self, candidates: Sequence[flows.Candidate], long_lived: bool
    ) -> flows.Candidate:
        """Returns the home if it is a candidate, else the first one."""
        del long_lived
        for candidate in candidates:
            if candidate.address == self._own:
                return candidate
        return candidates[0]


class PowerOfTwoChoices(flows.Placement):
    """The less loaded of two random candidates, by their reported load."""

    def __init__(self, rng: random.Random) -> None:
        """Takes the random source."""
        self._rng = rng

    def choose(
        self, candidates: Sequence[flows.Candidate], long_lived: bool
    ) -> flows.Candidate:
        """Returns the candidate with fewer requests or flows per slot."""
        count = min(2, len(candidates))
        drawn = self._rng.sample(list(candidates), count)
        return min(drawn, key=lambda item: _pending(item, long_lived))


class JoinIdleQueue(flows.Placement):
    """A random idle candidate, else a random one."""

    def __init__(self, rng: random.Random) -> None:
        """Takes the random source."""
        self._rng = rng

    def choose(
        self, candidates: Sequence[flows.Candidate], long_lived: bool
    ) -> flows.Candidate:
        """Returns a candidate with a free slot if there is one."""
        del long_lived
        idle = [
            item
            for item in candidates
            if item.pending_count < item.load.slot_count
        ]
        return self._rng.choice(idle or list(candidates))


def _pending(item: flows.Candidate, lasting: bool) -> float:
    count = item.pending_count
    if lasting:
        count += item.load.long_lived_count
    return count / max(1, item.load.slot_count)


def central_queue_response_ms(
    arrivals_ms: Sequence[int], service_ms: Sequence[int]
) -> list[int]:
    """Returns response times of one queue in front of all slots.

    No policy without knowledge of the future keeps slots busier: a request
    takes the fastest free slot, or the first one to be free.

    Args:
        arrivals_ms: Times of the requests, ascending.
        service_ms: Time for a request at each slot.

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
