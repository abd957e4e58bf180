"""Selection of the balancer that carries the responses of a connection."""

import abc
from collections.abc import Callable
import random

from fireflyford import core

# Round trips within a region take a few ms; 300 ms also covers the delayed
# acknowledgements of a busy caller.
RESPONSE_TIMEOUT_S = 0.3
# Data is retransmitted after at least two round trips. On an instance short of
# CPU, where round trips exceed 300 ms, earlier retransmissions would only add
# load.
_RETRANSMIT_ROUND_TRIPS = 2.0
_MAX_RETRANSMIT_WAIT_S = 1.0


class BalancerSource(abc.ABC):
    """Source of the balancers known to this agent."""

    @abc.abstractmethod
    def weights(self) -> dict[core.Address, float]:
        """Returns the capacity weights of the balancers in service.

        The keys are link addresses; draining balancers are excluded.
        """

    @abc.abstractmethod
    def is_unavailable(self, address: core.Address) -> bool:
        """Returns whether the balancer is draining, dead or departed."""


class ReturnPath:
    """Balancer that carries the responses of one connection.

    The path rotates to another balancer if the current one is unavailable, or
    if the caller acknowledges nothing for `RESPONSE_TIMEOUT_S`.
    """

    def __init__(
        self, source: BalancerSource, count_rotation: Callable[[], None]
    ) -> None:
        """Initializes the path; the first datagram sets the balancer.

        Args:
            source: Source of the known balancers.
            count_rotation: Called whenever the balancer changes.
        """
        self._source = source
        self._count_rotation = count_rotation
        self._balancer: core.Address | None = None
        self._waiting_since_s: float | None = None
        self._failed: set[core.Address] = set()

    def next_rotation_s(self, round_trip_s: float) -> float | None:
        """Returns when data is retransmitted through another balancer.

        Args:
            round_trip_s: Smoothed round-trip time of the connection.

        Returns:
            Event loop time, or None if no acknowledgement is awaited.
        """
        if self._waiting_since_s is None:
            return None
        wait_s = max(RESPONSE_TIMEOUT_S, _RETRANSMIT_ROUND_TRIPS * round_trip_s)
        return self._waiting_since_s + min(wait_s, _MAX_RETRANSMIT_WAIT_S)

    def record_receipt(self, balancer: core.Address | None) -> None:
        """Records the balancer of a received datagram, None if unknown."""
        if balancer is not None:
            self._balancer = balancer
        elif self._balancer is None:
            self._balancer = self._choose_weighted(self._source.weights())
        self._waiting_since_s = None
        if self._failed:
            self._failed.clear()

    def choose(self, now_s: float, awaits_ack: bool) -> core.Address | None:
        """Returns the balancer for the next outgoing datagram.

        Args:
            now_s: Event loop time.
            awaits_ack: Whether the caller has to acknowledge data.
        """
        if self._balancer is None:
            return None
        if self._source.is_unavailable(self._balancer):
            self._rotate(now_s)
        elif self._waiting_since_s is None:
            if awaits_ack:
                self._waiting_since_s = now_s
        elif now_s - self._waiting_since_s >= RESPONSE_TIMEOUT_S:
            self._rotate(now_s)
        return self._balancer

    def _rotate(self, now_s: float) -> None:
        assert self._balancer is not None
        weights = self._source.weights()
        self._failed.add(self._balancer)
        if self._failed >= weights.keys():
            self._failed = {self._balancer}
        chosen = self._choose_weighted(
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

    def _choose_weighted(
        self, weights: dict[core.Address, float]
    ) -> core.Address | None:
        if not weights:
            return None
        return random.choices(list(weights), list(weights.values()))[0]
