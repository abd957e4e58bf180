"""Decision when a new flow is offered to a second agent.

An opening packet may reach two backend servers: the flow opens only where the
client acknowledges, and no request runs before. A second offer starts when the
first one takes longer to be accepted than most. A budget limits second offers
to a share of all offers; each directory agent enforces it for its own flows,
without messages.
"""

from fireflyford import core
from fireflyford.flows import _routes

# Acceptances that the quantile is measured on.
_WINDOW_COUNT = 256
# Quantile of the time of acceptances after which an offer counts as slow.
_QUANTILE_RATIO = 0.95
# Second offers that may be saved up; it bounds a burst after a quiet time.
_MAX_SAVED_OFFERS = 5.0
# How long the acceptance of the other agent may follow the first one: an agent
# waits 50 ms for its backend server, and messages may be delayed by a freeze.
_LATE_ACCEPTANCE_MS = 2_000


class SecondOffers:
    """Delay, budget and counts of the second offers of a directory agent."""

    def __init__(self, clock: core.Clock, limit_ratio: float) -> None:
        """Creates the policy.

        Args:
            clock: Source of time.
            limit_ratio: Second offers allowed for each offer, 0 for none.
        """
        self._clock = clock
        self.limit_ratio = limit_ratio
        self._budget_count = 0.0
        # After this time an offer counts as slow.
        self._delay_ms = core.RecentQuantile(_WINDOW_COUNT)
        # Agents that may still accept a flow that another one has accepted,
        # and when that was, oldest first.
        self._losers: dict[bytes, tuple[core.Address, int]] = {}
        self.first_count = 0
        self.second_count = 0
        self.win_count = 0

    @property
    def extra_ratio(self) -> float:
        """Second offers for each first one."""
        return self.second_count / max(1, self.first_count)

    def record_offer(self) -> None:
        """Records an offer that is not a second one; it refills the budget."""
        self.first_count += 1
        self._budget_count = min(
            _MAX_SAVED_OFFERS, self._budget_count + self.limit_ratio
        )

    def record_acceptance(self, elapsed_ms: int) -> None:
        """Records the time from an offer to its acceptance."""
        if self.limit_ratio:
            self._delay_ms.record(elapsed_ms, _QUANTILE_RATIO)

    def is_due(
        self, terms: _routes.RouteTerms | None, offer_age_ms: int
    ) -> bool:
        """Returns whether a second offer may be made now.

        Args:
            terms: Terms of the flow's route.
            offer_age_ms: Time since the first offer.
        """
        return (
            terms is not None
            and terms.repeatable
            and self._delay_ms.value is not None
            and offer_age_ms > self._delay_ms.value
            and self._budget_count >= 1.0
        )

    def record_second_offer(self) -> None:
        """Records a second offer and charges it to the budget."""
        self.second_count += 1
        self._budget_count -= 1.0

    def record_outcome(
        self, flow: bytes, is_second: bool, loser: core.Address
    ) -> None:
        """Records which of two offers was accepted first.

        Args:
            flow: The flow.
            is_second: Whether it was the second offer.
            loser: Agent of the other offer.
        """
        self.win_count += is_second
        now_ms = self._clock.now_ms()
        self._losers.pop(flow, None)
        self._losers[flow] = (loser, now_ms)
        while self._losers:
            oldest, (_, accepted_ms) = next(iter(self._losers.items()))
            if now_ms - accepted_ms <= _LATE_ACCEPTANCE_MS:
                break
            del self._losers[oldest]

    def is_late_acceptance(self, sender: core.Address, flow: bytes) -> bool:
        """Returns whether the sender accepted a flow after another agent."""
        loser = self._losers.get(flow)
        if loser is None or loser[0] != sender:
            return False
        del self._losers[flow]
        return self._clock.now_ms() - loser[1] <= _LATE_ACCEPTANCE_MS
