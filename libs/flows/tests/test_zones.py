"""Placement across availability zones, on the decision code in virtual time."""

import heapq
import random
import statistics

import pytest

from fireflyford import core
from fireflyford import flows
from fireflyford.flows import _flow_tracker
from fireflyford.flows import _placement

SERVICE_MS = 30.0
TARGETS_PER_ZONE = 10
# Loads are as old as the control budget allows with some 30 agents.
REPORT_INTERVAL_MS = 1_000.0
REQUEST_COUNT = 6_000


class Zones:
    """Backend servers of several zones, as their directory agents see them."""

    def __init__(self, zone_count: int, seed: int) -> None:
        """Starts with idle backend servers."""
        self.rng = random.Random(seed)
        self.count = zone_count * TARGETS_PER_ZONE
        self.free_at_ms = [0.0] * self.count
        self.ends: list[list[float]] = [[] for _ in range(self.count)]
        self.loads = [self.load(index) for index in range(self.count)]
        self.reported_ms = [0.0] * self.count
        self.placed_ms: list[list[float]] = [[] for _ in range(self.count)]

    def load(self, index: int) -> flows.Load:
        return flows.Load(
            flows.TargetState.READY,
            busy_count=len(self.ends[index]),
            service_ms=SERVICE_MS,
        )

    def report(self, index: int, now_ms: float) -> None:
        self.loads[index] = self.load(index)
        self.reported_ms[index] = now_ms
        self.placed_ms[index].clear()

    def candidate(
        self, index: int, zone: int, now_ms: float
    ) -> flows.Candidate:
        age_ms = int(now_ms - self.reported_ms[index])
        recent = [
            at_ms
            for at_ms in self.placed_ms[index]
            if at_ms > now_ms - _flow_tracker.RESERVATION_MS
        ]
        return flows.Candidate(
            core.Address("10.0.1.1", index + 1),
            _placement.expected_load(self.loads[index], age_ms),
            len(recent),
            index // TARGETS_PER_ZONE == zone,
        )

    def run(self, index: int, now_ms: float) -> float:
        """Runs a request; returns when it ends."""
        self.placed_ms[index].append(now_ms)
        start_ms = max(now_ms, self.free_at_ms[index])
        end_ms = start_ms + self.rng.expovariate(1 / SERVICE_MS)
        self.free_at_ms[index] = end_ms
        heapq.heappush(self.ends[index], end_ms)
        return end_ms


def play(
    shares: tuple[float, ...], utilization: float, seed: int
) -> tuple[list[list[float]], float]:
    """Plays single requests of clients in several zones.

    Args:
        shares: Share of all requests that comes from each zone.
        utilization: Part of the whole capacity that is asked for.
        seed: Seed of arrivals and choices.

    Returns:
        Response times in ms by zone, and the share of requests that were
        placed in another zone than their client's.
    """
    zones = Zones(len(shares), seed)
    placement = flows.EarliestCompletion(random.Random(seed))
    interval_ms = SERVICE_MS / (zones.count * utilization)
    times: list[list[float]] = [[] for _ in shares]
    crossed_count = 0
    now_ms = next_report_ms = 0.0
    for _ in range(REQUEST_COUNT):
        now_ms += zones.rng.expovariate(1 / interval_ms)
        for queue in zones.ends:
            while queue and queue[0] <= now_ms:
                heapq.heappop(queue)
        if now_ms >= next_report_ms:
            next_report_ms = now_ms + REPORT_INTERVAL_MS
            for index in range(zones.count):
                zones.report(index, now_ms)
        (zone,) = zones.rng.choices(range(len(shares)), shares)
        # A busy backend server declines twice, and tells its load.
        for _ in range(3):
            candidates = [
                zones.candidate(index, zone, now_ms)
                for index in range(zones.count)
            ]
            index = placement.choose(candidates, False).address.port - 1
            if not zones.ends[index]:
                break
            zones.report(index, now_ms)
        crossed_count += index // TARGETS_PER_ZONE != zone
        times[zone].append(zones.run(index, now_ms) - now_ms)
    return times, crossed_count / REQUEST_COUNT


@pytest.mark.parametrize("seed", [1, 2])
def test_even_demand_stays_in_the_zone_of_its_clients(seed: int) -> None:
    """Guards against answers that cross zones although theirs has room."""
    _, crossed_share = play((1 / 3, 1 / 3, 1 / 3), 0.4, seed)
    # Without regard to zones, two thirds of the requests cross them.
    assert crossed_share < 1 / 3


@pytest.mark.parametrize("seed", [1, 2])
def test_no_zone_is_served_worse_under_uneven_demand(seed: int) -> None:
    """Guards against a queue in one zone while others have free slots.

    One zone asks for 1.6 times what its own backend servers can bear.
    """
    times, _ = play((0.8, 0.1, 0.1), 0.65, seed)
    means = [statistics.fmean(items) for items in times]
    assert max(means) < 1.5 * min(means)


@pytest.mark.parametrize("long_lived", [False, True])
def test_other_zone_is_used_when_it_is_faster(long_lived: bool) -> None:
    """Guards against a zone that keeps its flows however busy it is."""
    rng = random.Random(1)
    placement = flows.EarliestCompletion(rng)
    near = flows.Candidate(
        core.Address("10.0.1.1", 1),
        flows.Load(
            flows.TargetState.READY,
            busy_count=1,
            long_lived_count=5,
            service_ms=SERVICE_MS,
        ),
        in_same_zone=True,
    )
    far = flows.Candidate(
        core.Address("10.0.1.1", 2),
        flows.Load(
            flows.TargetState.READY, long_lived_count=2, service_ms=SERVICE_MS
        ),
    )
    assert placement.choose([near, far], long_lived) is far
