"""Limit of new flows to a cold backend server, enforced by its agent.

Every new flow of a backend server passes its agent, so the agent alone can
bound them without messages to others. Directory agents learn from load reports
which backend servers are cold and prefer others.
"""

import collections
from collections.abc import Sequence
import math

from fireflyford import core
from fireflyford import telemetry
from fireflyford.flows import _placement
from fireflyford.flows import _routes

# The bound holds for any second at the backend server, which may read one
# packet later after its arrival than the next.
WINDOW_MS = 1_050
# Reported as the remaining time of a backend server that only may be cold; its
# next report, which says more, comes within 1.2 s.
ASSUMED_LEFT_MS = 1_200
# A report that arrives within this time after the end of an evacuation may have
# been made before it.
REPORT_DELAY_MS = 100
# Remaining times in load reports are rounded up to multiples of this, so that
# not every report differs from the one before.
REPORTED_STEP_MS = 250
# An agent that has declined a flow because its backend server is cold is not
# offered another one for this time. The allowance of some 5 to 10 flows a
# second is renewed one by one.
RETRY_MS = 100
# Time after which the rate of a route is forgotten if all new flows come
# without terms: the operators have removed it, or only balancers of the earlier
# release are left.
RATE_RETENTION_MS = 60_000
# Difference between the time of day and the monotonic clock since the start of
# the process that is not taken for a clock that was set.
MAX_CLOCK_STEP_MS = 20


class WarmUpLimit:
    """Bounds the new flows that are delivered to a cold backend server."""

    def __init__(
        self, clock: core.Clock, overage: float = 0.0, slack: float = 0.0
    ) -> None:
        """Starts with a backend server that may be cold.

        An earlier process of the agent may have used the whole allowance of the
        last second.

        Args:
            clock: Source of time.
            overage: Factor of the new flows that a cold backend server bears.
            slack: New flows a second that are allowed beyond that. There is no
                limit if both are 0.
        """
        self._clock = clock
        self._overage = overage
        self._slack = slack
        # Rate of the route of the latest new flow, 0 for no limit.
        self._rate_per_s = 0.0
        self._rate_known_ms = 0
        # Delivery time of each new flow, by flow and sequence number.
        self._delivered: collections.OrderedDict[tuple[bytes, int], int] = (
            collections.OrderedDict()
        )
        self._has_report = False
        # End of the time for which an earlier process may have used up the
        # allowance.
        self._carried_until_ms = clock.now_ms() + WINDOW_MS
        self._started_ms = clock.now_ms()
        self._started_wall_ms = clock.wall_ms()
        # Time of the last report plus the remaining time in it.
        self._cold_until_ms = 0
        # Whether the backend server may have become cold since its last report;
        # only reports from this time on say otherwise.
        self._is_assumed_cold = True
        self._trust_reports_from_ms = 0

    @property
    def is_enabled(self) -> bool:
        """Whether the settings limit new flows."""
        return self._overage > 0 or self._slack > 0

    @property
    def is_cold(self) -> bool:
        """Whether the backend server is cold or may be so."""
        return (
            self._is_assumed_cold or self._clock.now_ms() < self._cold_until_ms
        )

    def left_ms(self) -> int:
        """Returns how long the backend server stays cold, for load reports.

        It is 0 if no limit is in force.
        """
        if not self.is_enabled or not self._rate_per_s or not self.is_cold:
            return 0
        left_ms = self._cold_until_ms - self._clock.now_ms()
        if self._is_assumed_cold:
            left_ms = max(left_ms, ASSUMED_LEFT_MS)
        return math.ceil(left_ms / REPORTED_STEP_MS) * REPORTED_STEP_MS

    def record_report(self, warmup_left_ms: int, started_ms: int = 0) -> None:
        """Records what the backend server reports.

        Args:
            warmup_left_ms: Remaining time for which it stays cold.
            started_ms: Its start time in ms since the Unix epoch.
        """
        now_ms = self._clock.now_ms()
        if not self._has_report and (
            not warmup_left_ms or self._is_younger(started_ms)
        ):
            self._carried_until_ms = now_ms
        self._has_report = True
        self._cold_until_ms = now_ms + warmup_left_ms
        if now_ms >= self._trust_reports_from_ms:
            self._is_assumed_cold = False

    def _is_younger(self, started_ms: int) -> bool:
        """Returns whether the backend server started after this process.

        An earlier process of the agent has sent it nothing then. A clock that
        has been set since the start of this process does not count.
        """
        wall_ms = self._clock.wall_ms()
        elapsed_ms = self._clock.now_ms() - self._started_ms
        step_ms = wall_ms - self._started_wall_ms - elapsed_ms
        return (
            abs(step_ms) <= MAX_CLOCK_STEP_MS
            and self._started_wall_ms + MAX_CLOCK_STEP_MS
            < started_ms
            <= wall_ms
        )

    def assume_cold(self, cause: str, delay_ms: int = 0) -> None:
        """Takes the backend server for cold until its next report.

        Args:
            cause: Why it may be cold.
            delay_ms: Time for which a report may be older than the cause.
        """
        if not self.is_enabled:
            return
        if not self._is_assumed_cold:
            telemetry.log("target-assumed-cold", cause=cause)
        self._is_assumed_cold = True
        self._trust_reports_from_ms = self._clock.now_ms() + delay_ms

    def learn_rate(self, terms: _routes.RouteTerms | None) -> None:
        """Keeps the rate of a new flow's route, for flows without terms.

        Balancers of an earlier release send no terms.
        """
        now_ms = self._clock.now_ms()
        if terms is not None:
            self._rate_per_s = terms.warmup_per_s
            self._rate_known_ms = now_ms
        elif now_ms - self._rate_known_ms > RATE_RETENTION_MS:
            self._rate_per_s = 0.0

    def allows(self, flow: bytes, seq: int) -> bool:
        """Returns whether a new flow may be delivered now.

        Args:
            flow: The flow.
            seq: Sequence number of its opening packet, the same for copies.
        """
        if not self.is_enabled or not self._rate_per_s or not self.is_cold:
            return True
        now_ms = self._clock.now_ms()
        if now_ms < self._carried_until_ms:
            return False
        self._expire(now_ms)
        if (flow, seq) in self._delivered:
            return True
        allowance = math.floor(self._rate_per_s * self._overage + self._slack)
        return len(self._delivered) < allowance

    def record_delivery(self, flow: bytes, seq: int) -> None:
        """Records a new flow; copies of its opening packet count once.

        Flows to a warm backend server count as well: it may have become cold
        before its agent knew it.
        """
        if not self.is_enabled:
            return
        now_ms = self._clock.now_ms()
        self._expire(now_ms)
        # One that was returned and delivered again counts from now on.
        self._delivered.pop((flow, seq), None)
        self._delivered[flow, seq] = now_ms

    def _expire(self, now_ms: int) -> None:
        oldest_ms = now_ms - WINDOW_MS
        while self._delivered:
            key, delivered_ms = next(iter(self._delivered.items()))
            if delivered_ms > oldest_ms:
                break
            del self._delivered[key]


def prefer_warm(
    warm: Sequence[_placement.Candidate], cold: Sequence[_placement.Candidate]
) -> Sequence[_placement.Candidate]:
    """Returns the candidates among which a new flow is placed.

    A cold backend server with a free slot finishes a request sooner than a warm
    one without.
    """
    if not cold:
        return warm
    if any(_has_free_slot(item) for item in warm):
        return warm
    return [item for item in cold if _has_free_slot(item)] or warm or cold


def _has_free_slot(item: _placement.Candidate) -> bool:
    return item.pending_count < item.load.slot_count
