"""Start of a service with too little capacity, in virtual time.

All backend servers start cold and without flows while demand is about equal to
their warm capacity. Clients open flows anew, retry, and have time limits.
"""

import collections
import dataclasses
import functools
import math
import random

from fireflyford import core
from fireflyford import flows
from fireflyford.lab import _packet_fleet

# A client makes at most this many attempts of a request.
MAX_ATTEMPTS = 3
# Spread of the lognormal service times.
SERVICE_SIGMA = 0.5
# A backend server is slower by this factor for this time after its start.
COLD_FACTOR = 1.6
COLD_MS = 2_000
# Requests whose clients have been waiting when the service starts.
BACKLOG_MS = 1_000
# Requests on one long-lived flow.
FLOW_REQUEST_COUNT = 12


@dataclasses.dataclass(frozen=True)
class Kind:
    """Requests of one route.

    Attributes:
        name: Name of the route.
        long_lived: Whether they share flows.
        work_ms: Mean service time.
        share: Fraction of the requests.
        worth: Value of a response in time.
        terms: Terms of the route.
    """

    name: str
    long_lived: bool
    work_ms: float
    share: float
    worth: float
    terms: flows.RouteTerms


# A deployment with a feed and single requests at 38 backend servers.
BOOKING = (
    Kind(
        "feed",
        True,
        45.0,
        0.78,
        1.0,
        flows.RouteTerms(1, 370, 1_617, True),
    ),
    Kind(
        "single",
        False,
        59.0,
        0.22,
        2.0,
        flows.RouteTerms(0, 383, 2_157, False),
    ),
)


@dataclasses.dataclass(frozen=True)
class Shares:
    """Fractions of the requests of one kind, and their mean worth."""

    count: int
    in_time: float
    late: float
    shed: float
    worth: float


# An open flow without a request, and the number of its requests so far.
_IdleFlow = tuple[_packet_fleet.Client, int]


class ScarcityRun(_packet_fleet.PacketFleet):
    """Clients that compete for cold backend servers."""

    def __init__(
        self,
        seed: int,
        kinds: tuple[Kind, ...] = BOOKING,
        order: flows.WaitingOrder | None = None,
        with_terms: bool = True,
        target_count: int = 38,
        slot_count: int = 2,
        load: float = 1.0,
        tail_share: float = 0.0,
        cold: bool = True,
    ) -> None:
        """Starts all processes.

        Args:
            seed: Seed of all random choices.
            kinds: Kinds of requests.
            order: Order of waiting flows.
            with_terms: Whether the routes have terms.
            target_count: Number of backend servers.
            slot_count: Slots of each.
            load: Demand as a fraction of the warm capacity.
            tail_share: Fraction of requests that take 7 times as long.
            cold: Whether the run is a start after a power cut.
        """
        self._kinds = {
            core.Address(f"198.18.0.{index + 1}", 443): kind
            for index, kind in enumerate(kinds)
        }
        self._tail_share = tail_share
        self._cold = cold
        self._mean_ms = sum(kind.share * kind.work_ms for kind in kinds)
        self._rate = load * target_count * slot_count / self._mean_ms
        # Idle open flows of the clients, by route.
        self._idle: dict[core.Address, collections.deque[_IdleFlow]] = {
            address: collections.deque() for address in self._kinds
        }
        self.outcomes: list[tuple[Kind, int, int | None, bool]] = []
        self.shed_count = 0
        routes = tuple(
            flows.Route(
                kind.name,
                address,
                (flows.Share(_packet_fleet.SERVICE, 1),),
                kind.long_lived,
                kind.terms if with_terms else None,
            )
            for address, kind in self._kinds.items()
        )
        spec = _packet_fleet.TargetSpec(slot_count, 12, 45)
        super().__init__(
            seed,
            [spec] * target_count,
            17,
            load_interval_ms=1_300,
            routes=routes,
            order=order,
        )
        self._started_ms = self.clock.now_ms()
        self._work_rng = random.Random(seed + 1)
        self.arrival_count = 0

    def service_ms(self, target: _packet_fleet.Target, flow: bytes) -> int:
        """Draws the service time of a request."""
        kind = self._kinds[flows.route_address(flow)]
        mean_ms = kind.work_ms
        if self._cold and self.clock.now_ms() - self._started_ms < COLD_MS:
            mean_ms *= COLD_FACTOR
        if self._work_rng.random() < self._tail_share:
            mean_ms *= 7
        normal = self._work_rng.gauss(-(SERVICE_SIGMA**2) / 2, SERVICE_SIGMA)
        return max(1, round(mean_ms * math.exp(normal)))

    def simulate(self, duration_ms: int = 8_000) -> None:
        """Runs the demand of a duration, and then until all clients end."""
        if self._cold:
            for _ in range(int(self._rate * BACKLOG_MS)):
                age_ms = self._work_rng.randrange(BACKLOG_MS)
                # The client's next copy of its packet reaches the system.
                self.call_later(
                    self._work_rng.randrange(200),
                    functools.partial(self._arrive, age_ms),
                )
        self._schedule_arrival(self.clock.now_ms() + duration_ms)
        self.run(duration_ms + 3_000)

    def _schedule_arrival(self, end_ms: int) -> None:
        at_ms = float(self.clock.now_ms())
        while True:
            at_ms += self._work_rng.expovariate(self._rate)
            if at_ms >= end_ms:
                return
            delay_ms = int(at_ms) - self.clock.now_ms()
            self.call_later(delay_ms, lambda: self._arrive(0))

    def _arrive(self, age_ms: int) -> None:
        (address,) = self._work_rng.choices(
            list(self._kinds),
            [kind.share for kind in self._kinds.values()],
        )
        self._attempt(address, self.clock.now_ms() - age_ms, 1, age_ms)

    def _attempt(
        self, address: core.Address, since_ms: int, number: int, age_ms: int = 0
    ) -> None:
        """Sends a request on an idle flow or a new one."""
        kind = self._kinds[address]
        left_ms = since_ms + kind.terms.limit_ms - self.clock.now_ms()
        if left_ms <= 0:
            self.outcomes.append((kind, since_ms, None, False))
            return
        idle = self._idle[address]
        while idle:
            known, used_count = idle.popleft()
            if not known.is_ended:
                known.on_result = functools.partial(
                    self._handle_result,
                    address,
                    since_ms,
                    number,
                    known,
                    used_count + 1,
                )
                known.request(left_ms)
                return
        client = self.client(address)
        client.on_result = functools.partial(
            self._handle_result, address, since_ms, number, client, 1
        )
        client.open(left_ms, age_ms)

    def _handle_result(
        self,
        address: core.Address,
        since_ms: int,
        number: int,
        client: _packet_fleet.Client,
        used_count: int,
        result: _packet_fleet.RequestResult,
    ) -> None:
        kind = self._kinds[address]
        outcomes = _packet_fleet.RequestOutcome
        now_ms = self.clock.now_ms()
        left_ms = since_ms + kind.terms.limit_ms - now_ms
        was_shed = result.outcome is outcomes.SHED
        self.shed_count += was_shed
        if result.outcome is outcomes.ANSWERED and left_ms >= 0:
            self.outcomes.append((kind, since_ms, now_ms - since_ms, False))
            if kind.long_lived and used_count < FLOW_REQUEST_COUNT:
                self._idle[address].append((client, used_count))
            return
        may_retry = kind.terms.repeatable or (
            result.outcome in (outcomes.REFUSED, outcomes.SHED)
            or not client.is_open
        )
        if may_retry and number < MAX_ATTEMPTS and left_ms > 0:
            self._attempt(address, since_ms, number + 1)
        else:
            self.outcomes.append((kind, since_ms, None, was_shed))

    def shares(
        self, late_worth: float, from_ms: int = 0, to_ms: int = 1 << 40
    ) -> dict[str, Shares]:
        """Returns the results by kind, and of all weighted by worth.

        Args:
            late_worth: Worth of a late response relative to one in time.
            from_ms: Start of the requests that count, since the start.
            to_ms: End of the requests that count, since the start.
        """
        result = {}
        total_worth = total = 0.0
        for kind in self._kinds.values():
            durations = [
                (duration_ms, was_shed)
                for item, since_ms, duration_ms, was_shed in self.outcomes
                if item is kind
                and from_ms <= since_ms - self._started_ms < to_ms
            ]
            count = max(1, len(durations))
            answered = [item for item, _ in durations if item is not None]
            in_time = sum(item <= kind.terms.objective_ms for item in answered)
            late = len(answered) - in_time
            worth = (in_time + late_worth * late) / count
            result[kind.name] = Shares(
                len(durations),
                in_time / count,
                late / count,
                sum(was_shed for _, was_shed in durations) / count,
                worth,
            )
            total_worth += worth * count * kind.worth
            total += count * kind.worth
        result["all"] = Shares(
            len(self.outcomes), 0.0, 0.0, 0.0, total_worth / max(1.0, total)
        )
        return result
