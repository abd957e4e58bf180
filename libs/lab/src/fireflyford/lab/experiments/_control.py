"""Experiment on the cost and speed of membership over loopback sockets."""

from collections.abc import Callable
import math
import random
import statistics
import tracemalloc

import numpy as np
import psutil

from fireflyford import core
from fireflyford import membership
from fireflyford.lab.experiments import _control_fleet
from fireflyford.lab.experiments import _framework

# Balancers and agents, in about the full-scale proportion of 590 to 4,000.
FLEET_SIZES = ((2, 8), (4, 26), (13, 87))
FULL_BALANCER_COUNT = 590
FULL_AGENT_COUNT = 4_000
# Each restart causes three changes, each failure and each push one.
CHANGES_PER_DAY = 230 * 3 + 12 + 380
_SECONDS_PER_DAY = 86_400
# Bound on the members that a balancer observes, and the number of candidates
# that a member ranks.
_LOAD_BOUND_RATIO = 1.25
_LOAD_BOUND_SLACK = 1
_CANDIDATE_COUNT = 8
_MAX_BYTES_PER_S = 3_000
_MAX_CPU_RATIO = 0.043
_MAX_MEMORY_MB = 128
_MAX_PROPAGATION_MS = 3_000
_MB = 1e6


def full_scale_loads() -> list[int]:
    """Returns the number of members that each of 590 balancers would observe.

    Members are assigned in the order of their names, each to its two
    highest-ranked candidates below the limit, which is 1.25 times the mean
    plus one.
    """
    balancers = [
        _make_member(f"balancer-{index}")
        for index in range(FULL_BALANCER_COUNT)
    ]
    names = [f"agent-{index}" for index in range(FULL_AGENT_COUNT)]
    names += [balancer.instance_id for balancer in balancers]
    mean_count = 2 * len(names) / FULL_BALANCER_COUNT
    limit = _LOAD_BOUND_RATIO * mean_count + _LOAD_BOUND_SLACK
    loads = dict.fromkeys((item.instance_id for item in balancers), 0)
    for name in names:
        ranked = membership.select_by_rendezvous(
            name, balancers, _CANDIDATE_COUNT
        )
        usable = [
            observer.instance_id
            for observer in ranked
            if observer.instance_id != name
            and loads[observer.instance_id] < limit
        ]
        for observer_name in usable[:2]:
            loads[observer_name] += 1
    return list(loads.values())


def view_memory_mb(member_count: int) -> float:
    """Measures the memory of one view."""
    tracemalloc.start()
    try:
        view = membership.View(
            _make_member(f"agent-{index}") for index in range(member_count)
        )
        for member in view.members.values():
            _ = member.fingerprint
        used_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return used_bytes / _MB


def _make_member(name: str) -> membership.Member:
    return membership.Member(
        instance_id=name,
        role=core.Role.BALANCER,
        region="visayas",
        availability_zone="cebu",
        service="",
        link_address=core.Address("10.0.0.1", 9_000),
        control_address=core.Address("10.0.0.1", 9_001),
        bulk_address=core.Address("10.0.0.1", 9_002),
        status_address=core.Address("10.0.0.1", 9_003),
        incarnation=1,
    )


def _fit_line(points: list[tuple[float, float]]) -> Callable[[float], float]:
    slope, intercept = np.polyfit(
        [x for x, _ in points], [y for _, y in points], 1
    )
    return lambda x: float(intercept + slope * x)


def _fleet_figures(sample: _control_fleet.Sample) -> list[_framework.Figure]:
    size = sample.member_count
    loads = [load[1] for load in sample.balancer_loads]
    figure = _framework.Figure
    return [
        figure(f"balancer-mean-{size}", statistics.mean(loads), "B/s"),
        figure(f"balancer-worst-{size}", max(loads), "B/s"),
        figure(
            f"agent-mean-{size}",
            statistics.mean(sample.agent_bytes_per_s),
            "B/s",
        ),
        figure(
            f"agent-worst-{size}",
            max(sample.agent_bytes_per_s),
            "B/s",
            _MAX_BYTES_PER_S,
        ),
        figure(f"cpu-per-member-{size}", sample.cpu_ratio / size, "ratio"),
        figure(f"change-{size}", sample.change_bytes, "B/balancer"),
        figure(f"detection-worst-{size}", max(sample.detection_ms), "ms"),
        figure(
            f"death-known-worst-{size}",
            max(sample.death_ms),
            "ms",
            _MAX_PROPAGATION_MS,
        ),
        figure(
            f"drain-known-worst-{size}",
            max(sample.drain_ms),
            "ms",
            _MAX_PROPAGATION_MS,
        ),
    ]


def _full_scale_figures(
    samples: list[_control_fleet.Sample], base_memory_mb: float
) -> list[_framework.Figure]:
    """Extrapolates to 590 balancers and 4,000 agents."""
    predict_bytes_per_s = _fit_line(
        [
            (float(observed), rate)
            for sample in samples
            for observed, rate in sample.balancer_loads
        ]
    )
    largest = samples[-1]
    # A record is sent a number of times that grows with the logarithm of the
    # number of balancers.
    transmission_ratio = math.log2(FULL_BALANCER_COUNT) / math.log2(
        largest.balancer_count
    )
    change_bytes = largest.change_bytes * transmission_ratio
    change_rate = change_bytes * CHANGES_PER_DAY / _SECONDS_PER_DAY
    loads = full_scale_loads()
    worst_bytes = predict_bytes_per_s(max(loads)) + change_rate
    total_bytes = sum(rate for _, rate in largest.balancer_loads)
    total_bytes += sum(largest.agent_bytes_per_s)
    cpu_per_byte = largest.cpu_ratio / total_bytes
    predict_death_ms = _fit_line(
        [
            (math.log2(sample.balancer_count), delay_ms)
            for sample in samples
            for delay_ms in sample.death_ms
        ]
    )
    figure = _framework.Figure
    return [
        figure("observed-mean-590", statistics.mean(loads), "members"),
        figure("observed-worst-590", max(loads), "members"),
        figure(
            "balancer-mean-590",
            predict_bytes_per_s(statistics.mean(loads)) + change_rate,
            "B/s",
            _MAX_BYTES_PER_S,
        ),
        figure("balancer-worst-590", worst_bytes, "B/s", _MAX_BYTES_PER_S),
        figure("changes-590", change_rate, "B/s"),
        figure(
            "cpu-worst-590",
            cpu_per_byte * worst_bytes,
            "ratio",
            _MAX_CPU_RATIO,
        ),
        figure(
            "memory-590",
            base_memory_mb
            + 2 * view_memory_mb(FULL_BALANCER_COUNT + FULL_AGENT_COUNT),
            "MB",
            _MAX_MEMORY_MB,
        ),
        figure(
            "death-known-mean-590",
            predict_death_ms(math.log2(FULL_BALANCER_COUNT)),
            "ms",
            _MAX_PROPAGATION_MS,
        ),
    ]


class ControlCost(_framework.Experiment):
    """Network traffic, CPU, memory and propagation delay of membership."""

    @property
    def name(self) -> str:
        """Name on the command line."""
        return "control-cost"

    @property
    def summary(self) -> str:
        """One-line description that `list` prints."""
        return "membership at 10, 30 and 100 members, and at 590 and 4,000"

    async def run(self, seed: int) -> _framework.Result:
        """Runs the experiment once.

        Args:
            seed: Seed of incarnations, zones and gossip.
        """
        rng = random.Random(seed)
        base_memory_mb = psutil.Process().memory_info().rss / _MB
        samples = [
            await _control_fleet.measure(*size, rng) for size in FLEET_SIZES
        ]
        figures = [
            figure for sample in samples for figure in _fleet_figures(sample)
        ]
        figures += _full_scale_figures(samples, base_memory_mb)
        points = sorted(
            (float(observed), rate)
            for sample in samples
            for observed, rate in sample.balancer_loads
        )
        series = _framework.Series(
            "control-traffic",
            "observed members",
            "traffic of a balancer (B/s)",
            tuple(points),
        )
        return _framework.Result(self.name, seed, tuple(figures), (series,))


EXPERIMENTS = (ControlCost(),)
