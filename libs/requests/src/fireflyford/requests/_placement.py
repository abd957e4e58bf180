"""Policies that choose the target of a request."""

import abc
from collections.abc import Sequence
import dataclasses
import random
import statistics

from fireflyford.requests import _targets

# Service times are clamped to this factor around the median, which limits the
# effect of wrong ones.
_MAX_SERVICE_TIME_FACTOR = 4.0
# The first requests of a target run with cold caches and take longer.
_WARM_UP_COUNT = 20
_WARM_UP_FACTOR = 2.0
# A target where nearly all requests fail counts as 80 times slower, so that
# immediate failures do not look fast, but it is still tried occasionally.
_FAILURE_WEIGHT = 4.0
_FAILURE_RATIO_BOUND = 1.05
# Idle targets differ only in service time; the weight of recent utilization
# spreads requests to slower targets too, as long as that causes no wait.
DEFAULT_BALANCE_WEIGHT = 6.0


class Placement(abc.ABC):
    """Policy that chooses the target of a request."""

    @abc.abstractmethod
    def choose(
        self, candidates: Sequence[_targets.Candidate]
    ) -> _targets.Candidate:
        """Returns one of the candidates, of which there is at least one."""


class LocalOnly(Placement):
    """Baseline that runs each request at the target of its connection."""

    def choose(
        self, candidates: Sequence[_targets.Candidate]
    ) -> _targets.Candidate:
        """Returns the local target, or the first candidate without one."""
        return next((c for c in candidates if c.is_local), candidates[0])


class RandomPlacement(Placement):
    """Baseline that chooses a target at random."""

    def __init__(self, rng: random.Random) -> None:
        """Creates the policy.

        Args:
            rng: Random source.
        """
        self._rng = rng

    def choose(
        self, candidates: Sequence[_targets.Candidate]
    ) -> _targets.Candidate:
        """Returns a random candidate."""
        return self._rng.choice(candidates)


class RoundRobin(Placement):
    """Baseline that chooses targets in turn."""

    def __init__(self, start: int = 0) -> None:
        """Creates the policy.

        Args:
            start: Index before that of the first choice.
        """
        self._next = start

    def choose(
        self, candidates: Sequence[_targets.Candidate]
    ) -> _targets.Candidate:
        """Returns the next candidate in the order of names."""
        ordered = sorted(candidates, key=lambda c: c.target_id)
        self._next += 1
        return ordered[self._next % len(ordered)]


class LeastReportedLoad(Placement):
    """Baseline that chooses the lowest load reported by backend servers."""

    def __init__(self, rng: random.Random) -> None:
        """Creates the policy.

        Args:
            rng: Random source that breaks ties.
        """
        self._rng = rng

    def choose(
        self, candidates: Sequence[_targets.Candidate]
    ) -> _targets.Candidate:
        """Returns the candidate with the lowest reported load."""
        return min(
            candidates, key=lambda c: (c.reported_load, self._rng.random())
        )


class PowerOfTwoChoices(Placement):
    """Baseline that takes the lower reported load of two random targets."""

    def __init__(self, rng: random.Random) -> None:
        """Creates the policy.

        Args:
            rng: Random source.
        """
        self._rng = rng

    def choose(
        self, candidates: Sequence[_targets.Candidate]
    ) -> _targets.Candidate:
        """Returns the less loaded of two random candidates."""
        pair = self._rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda c: c.reported_load)


@dataclasses.dataclass(frozen=True)
class Score:
    """Expected delay of a request at one candidate."""

    candidate: _targets.Candidate
    total_ms: float


class ShortestExpectedDelay(Placement):
    """Chooses the shortest expected delay among several random targets.

    The delay is the sum of round trip, wait and service time, plus a penalty
    for recent utilization.
    """

    def __init__(
        self,
        rng: random.Random,
        choice_count: int = 12,
        balance_weight: float = DEFAULT_BALANCE_WEIGHT,
    ) -> None:
        """Creates the policy.

        Args:
            rng: Random source.
            choice_count: Number of targets compared for one request, at least
                2; the cost of a decision is independent of the number of
                targets.
            balance_weight: Weight of recent utilization, in median service
                times.

        Raises:
            ValueError: `choice_count` is below 2.
        """
        if choice_count < 2:
            raise ValueError("choice_count must be at least 2")
        self._rng = rng
        self._choice_count = choice_count
        self._balance_weight = balance_weight

    def choose(
        self, candidates: Sequence[_targets.Candidate]
    ) -> _targets.Candidate:
        """Returns the candidate with the shortest expected delay."""
        local = [c for c in candidates if c.is_local]
        peers = [c for c in candidates if not c.is_local]
        count = min(self._choice_count - len(local), len(peers))
        sample = local + self._rng.sample(peers, count)
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
            max(candidate.service_ms, median_ms / _MAX_SERVICE_TIME_FACTOR),
            median_ms * _MAX_SERVICE_TIME_FACTOR,
        )
        if candidate.completed_count < _WARM_UP_COUNT:
            service_ms *= _WARM_UP_FACTOR
        service_ms *= _failure_penalty(candidate.failure_ratio)
        balance_ms = (
            self._balance_weight * candidate.utilization_ratio * median_ms
        )
        return candidate.wait_ms + candidate.hop_ms + service_ms + balance_ms


def _failure_penalty(failure_ratio: float) -> float:
    return 1 + _FAILURE_WEIGHT * failure_ratio / (
        _FAILURE_RATIO_BOUND - failure_ratio
    )
