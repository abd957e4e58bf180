"""Choice of the balancer that carries a connection's answers."""

import abc
from collections.abc import Callable
import random

from fireflyford import core

# A path within a region answers in a few ms; 300 ms also covers the delayed
# acknowledgements of a busy caller.
SILENCE_LIMIT_S = 0.3
# Data is sent again after at least two round trips: on an instance short of
# CPU, where answers take longer than 300 ms, it would only add to the load.
_RETRANSMIT_ROUND_TRIPS = 2.0
_MAX_RETRANSMIT_S = 1.0


class BalancerSource(abc.ABC):
    """Knows the balancers."""

    @abc.abstractmethod
    def weights(self) -> dict[core.Address, float]:
        """Returns the link addresses of the balancers in service.

        Each has its capacity weight; a draining balancer is not listed.
        """

    @abc.abstractmethod
    def is_leaving(self, address: core.Address) -> bool:
        """Returns whether the balancer is known to leave or to be gone."""


class ReturnPath:
    """The balancer of one connection's answers."""

    def __init__(
        self, source: BalancerSource, count_rotation: Callable[[], None]
    ) -> None:
        """Starts without a balancer; the first datagram names one.

        Args:
            source: Knows the balancers.
            count_rotation: Called whenever another balancer is chosen.
        """
        self._source = source
        self._count_rotation = count_rotation
        self._balancer: core.Address | None = None
        self._waiting_since_s: float | None = None
        self._failed: set[core.Address] = set()

    def next_rotation_s(self, round_trip_s: float) -> float | None:
        """Returns when data is due to be sent again by another balancer.

        Args:
            round_trip_s: Smoothed round trip of the connection.

        Returns:
            Time of the event loop, or None when no answer is awaited.
        """
        if self._waiting_since_s is None:
            return None
        wait_s = max(SILENCE_LIMIT_S, _RETRANSMIT_ROUND_TRIPS * round_trip_s)
        return self._waiting_since_s + min(wait_s, _MAX_RETRANSMIT_S)

    def receive(self, balancer: core.Address | None) -> None:
        """Takes the balancer of a received datagram, None if unknown."""
        if balancer is not None:
            self._balancer = balancer
        elif self._balancer is None:
            self._balancer = self._pick(self._source.weights())
        self._waiting_since_s = None
        if self._failed:
            self._failed.clear()

    def choose(self, now_s: float, expects_answer: bool) -> core.Address | None:
        """Returns the balancer for a datagram that is sent now.

        Args:
            now_s: Time of the event loop.
            expects_answer: Whether the other end will acknowledge.
        """
        if self._balancer is None:
            return None
        if self._source.is_leaving(self._balancer):
            self._rotate(now_s)
        elif self._waiting_since_s is None:
            if expects_answer:
                self._waiting_since_s = now_s
        elif now_s - self._waiting_since_s >= SILENCE_LIMIT_S:
            self._rotate(now_s)
        return self._balancer

    def _rotate(self, now_s: float) -> None:
        assert self._balancer is not None
        weights = self._source.weights()
        self._failed.add(self._balancer)
        if self._failed >= weights.keys():
            self._failed = {self._balancer}
        chosen = self._pick(
            {
                item: weight
                for item, weight in weights.items()
                if item not in self._failed
            }
        )
        if chosen is not None:
            self._count_rotation()
            self._balancer = chosen
        self._waiting_since_s = now_s

    def _pick(self, weights: dict[core.Address, float]) -> core.Address | None:
        if not weights:
            return None
        return random.choices(list(weights), list(weights.values()))[0]
