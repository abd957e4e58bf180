"""Which target of a service runs a request."""

import abc
from collections.abc import Sequence
import dataclasses
import random
import statistics

from fireflyford.requests import _targets

# A wrong service time counts at most this factor away from the median.
_MAX_SPEED_FACTOR = 4.0
# A target runs its first requests with cold caches.
_WARM_COUNT = 20
_COLD_FACTOR = 2.0
# A target where nearly all work fails counts as 80 times slower, so that
# failing at once does not look fast, and is still tried now and then.
_FAILURE_FACTOR = 4.0
_FAILURE_LIMIT = 1.05
# Idle targets differ by service time only; this weight of recent use spreads
# work over slow targets as well, as far as nobody waits for it.
DEFAULT_BALANCE = 6.0


class Placement(abc.ABC):
    """Chooses a target."""

    @abc.abstractmethod
    def choose(
        self, candidates: Sequence[_targets.Candidate]
    ) -> _targets.Candidate:
        """Returns one of the candidates; there is at least one."""


class LocalOnly(Placement):
    """Baseline: the target of the caller's connection."""

    def choose(
        self, candidates: Sequence[_targets.Candidate]
    ) -> _targets.Candidate:
        """Returns the agent's own target."""
        return next((c for c in candidates if c.is_local), candidates[0])


class RandomPlacement(Placement):
    """Baseline: any target."""

    def __init__(self, rng: random.Random) -> None:
        """Takes the random source."""
        self._rng = rng

    def choose(
        self, candidates: Sequence[_targets.Candidate]
    ) -> _targets.Candidate:
        """Returns a random candidate."""
        return self._rng.choice(candidates)


class RoundRobin(Placement):
    """Baseline: targets in turn."""

    def __init__(self, start: int = 0) -> None:
        """Takes the place in the turn to start from."""
        self._next = start

    def choose(
        self, candidates: Sequence[_targets.Candidate]
    ) -> _targets.Candidate:
        """Returns the next candidate by name."""
        ordered = sorted(candidates, key=lambda c: c.target_id)
        self._next += 1
        return ordered[self._next % len(ordered)]


class LeastReportedLoad(Placement):
    """Baseline: the lowest load that backend servers report."""

    def __init__(self, rng: random.Random) -> None:
        """Takes the random source that breaks ties."""
        self._rng = rng

    def choose(
        self, candidates: Sequence[_targets.Candidate]
    ) -> _targets.Candidate:
        """Returns the candidate that reports the lowest load."""
        return min(
            candidates, key=lambda c: (c.reported_load, self._rng.random())
        )


class PowerOfTwoChoices(Placement):
    """Baseline: the lower reported load of two random targets."""

    def __init__(self, rng: random.Random) -> None:
        """Takes the random source."""
        self._rng = rng

    def choose(
        self, candidates: Sequence[_targets.Candidate]
    ) -> _targets.Candidate:
        """Returns the better of two random candidates."""
        pair = self._rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda c: c.reported_load)


@dataclasses.dataclass(frozen=True)
class Score:
    """Expected completion of a request at one candidate."""

    candidate: _targets.Candidate
    total_ms: float


class ShortestExpectedDelay(Placement):
    """The earliest expected completion among several random targets."""

    def __init__(
        self,
        rng: random.Random,
        choice_count: int = 12,
        balance: float = DEFAULT_BALANCE,
    ) -> None:
        """Prepares the placement.

        Args:
            rng: Random source.
            choice_count: Targets compared for one request, at least 2; the
                cost of a decision does not grow with the service.
            balance: Weight of recent use, in median service times.

        Raises:
            ValueError: `choice_count` is below 2.
        """
        if choice_count < 2:
            raise ValueError("choice_count must be at least 2")
        self._rng = rng
        self._choice_count = choice_count
        self._balance = balance

    def choose(
        self, candidates: Sequence[_targets.Candidate]
    ) -> _targets.Candidate:
        """Returns the candidate with the earliest expected completion."""
        own = [c for c in candidates if c.is_local]
        others = [c for c in candidates if not c.is_local]
        count = min(self._choice_count - len(own), len(others))
        sample = own + self._rng.sample(others, count)
        median_ms = statistics.median(c.service_ms for c in sample)
        return min(
            sample,
            key=lambda c: (
                self._score_ms(c, median_ms),
                not c.same_zone,
                self._rng.random(),
            ),
        )

    def _score_ms(
        self, candidate: _targets.Candidate, median_ms: float
    ) -> float:
        service_ms = min(
            max(candidate.service_ms, median_ms / _MAX_SPEED_FACTOR),
            median_ms * _MAX_SPEED_FACTOR,
        )
        if candidate.completed_count < _WARM_COUNT:
            service_ms *= _COLD_FACTOR
        service_ms *= _failure_factor(candidate.failure_ratio)
        balance_ms = self._balance * candidate.utilization_ratio * median_ms
        return candidate.wait_ms + candidate.hop_ms + service_ms + balance_ms


def _failure_factor(failure_ratio: float) -> float:
    return 1 + _FAILURE_FACTOR * failure_ratio / (
        _FAILURE_LIMIT - failure_ratio
    )
