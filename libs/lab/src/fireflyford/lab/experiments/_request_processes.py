"""End-to-end experiments on requests with real processes.

The other experiments on requests use virtual time; these check that the same
decisions hold with sockets and processes on a busy machine.
"""

import asyncio
import statistics

from fireflyford.lab import _load
from fireflyford.lab import _process_runs
from fireflyford.lab.experiments import _framework

_CONNECTION_COUNT = 14
_CAPACITY_RUN_S = 8.0
_FAULT_SETS = (
    ("kill-agent",),
    ("pause-agent",),
    ("kill-target",),
    ("drain",),
    ("pause-agent", "kill-balancer"),
    ("drain", "kill-agent"),
)


class OverloadProcesses(_framework.Experiment):
    """The demand peak end to end."""

    @property
    def name(self) -> str:
        """Name on the command line."""
        return "crest-processes"

    @property
    def summary(self) -> str:
        """One-line description that `list` prints."""
        return "demand peak of 300 % for 10 s, real processes"

    async def run(self, seed: int) -> _framework.Result:
        """Runs the peak against seven targets."""
        # Three times the capacity is 168 requests per second, which one load
        # generator can send while it shares the machine with the fabric.
        mean_ms, slot_count = 250.0, 14
        capacity = slot_count / mean_ms * 1000

        def rate(time_ms: float) -> float:
            if not 4_000 <= time_ms < 15_000:
                return capacity * 0.5
            return capacity * (0.5 + 2.5 * min(1.0, (time_ms - 4_000) / 1000))

        profile = _process_runs.LoadProfile(
            seed, mean_ms, _CONNECTION_COUNT, 20_000, rate
        )
        async with _process_runs.running_service(seed, (1.0,) * 7) as fleet:
            round_trip_ms = await _process_runs.measure_round_trip_ms(fleet, 40)
            measured_capacity = await _process_runs.measure_capacity(
                fleet, mean_ms, 2 * slot_count, _CAPACITY_RUN_S
            )
            samples, attempts = await _process_runs.run_load(fleet, profile)
        goodput = _goodput_ms(samples, 5_000, 15_000) / 10_000
        refusals = [
            sample.elapsed_ms
            for sample in samples
            if sample.failure is not None
            and 5_000 <= sample.started_ms < 15_000
        ]
        before_ms = _p99_ms(samples, 1_000, 4_000)
        figures = (
            _framework.Figure(
                "goodput against measured capacity",
                goodput / measured_capacity,
                "ratio",
                0.95,
                _framework.Bound.AT_LEAST,
            ),
            _framework.Figure(
                "measured capacity", measured_capacity / slot_count, "ratio"
            ),
            _framework.Figure("empty request", round_trip_ms, "ms"),
            _framework.Figure(
                "median refusal", _load.percentile(refusals, 0.5), "ms", 50.0
            ),
            _framework.Figure(
                "p99 after against before",
                _p99_ms(samples, 17_000, 20_000) / before_ms,
                "ratio",
                1.5,
            ),
            # No attempt fetches a ticket, since these requests need none.
            _framework.Figure(
                "attempts per request", attempts / len(samples), "ratio", 1.1
            ),
            _framework.Figure("p99 before", before_ms, "ms"),
            _framework.Figure("requests", len(samples), "1"),
        )
        return _framework.Result(self.name, seed, figures)


class ImbalanceProcesses(_framework.Experiment):
    """Utilization of targets end to end."""

    @property
    def name(self) -> str:
        """Name on the command line."""
        return "imbalance-processes"

    @property
    def summary(self) -> str:
        """One-line description that `list` prints."""
        return "use of targets at 70 % load, fourfold speeds, real processes"

    async def run(self, seed: int) -> _framework.Result:
        """Runs 16 s at 70 % load; execution logs give the utilization."""
        speeds = (0.5, 2.0, 1.0, 0.5, 1.5, 2.0, 1.0)
        mean_ms = 80.0
        rate = 0.7 * 2 * sum(speeds) / mean_ms * 1000
        profile = _process_runs.LoadProfile(
            seed, mean_ms, _CONNECTION_COUNT, 16_000, lambda time_ms: rate
        )
        async with _process_runs.running_service(seed, speeds) as fleet:
            speeds_by_name = dict(zip(fleet.targets, speeds, strict=True))
            samples, _ = await _process_runs.run_load(fleet, profile)
            work_ms = _process_runs.busy_ms_by_target(
                fleet.executions(), speeds_by_name
            )
        seconds = sorted({second for _, second in work_ms})[4:-3]
        ratios = []
        totals = dict.fromkeys(speeds_by_name, 0.0)
        for second in seconds:
            busy_ms = [
                work_ms.get((name, second), 0.0) for name in speeds_by_name
            ]
            ratios.append(max(busy_ms) / statistics.mean(busy_ms))
            for name, target_busy_ms in zip(
                speeds_by_name, busy_ms, strict=True
            ):
                totals[name] += target_busy_ms
        total_ratio = max(totals.values()) / statistics.mean(totals.values())
        figures = (
            _framework.Figure("median second", statistics.median(ratios), "1"),
            _framework.Figure("worst second", max(ratios), "1", 1.15),
            _framework.Figure("whole run", total_ratio, "1", 1.15),
            _framework.Figure("p99", _p99_ms(samples, 4_000, 16_000), "ms"),
        )
        return _framework.Result(self.name, seed, figures)


class AtMostOnceProcesses(_framework.Experiment):
    """Orders under faults end to end."""

    @property
    def name(self) -> str:
        """Name on the command line."""
        return "at-most-once-processes"

    @property
    def summary(self) -> str:
        """One-line description that `list` prints."""
        return "orders with copies under kills, pauses, drains; real processes"

    async def run(self, seed: int) -> _framework.Result:
        """Runs each set of faults once."""
        runs = []
        for index, faults in enumerate(_FAULT_SETS):
            run_seed = seed * len(_FAULT_SETS) + index
            runs.append(await _process_runs.run_orders(run_seed, faults))
            await asyncio.sleep(0)
        figures = [
            _framework.Figure(
                "violations", sum(len(r.violations) for r in runs), "1", 0
            ),
            _framework.Figure("runs", len(runs), "1"),
            _framework.Figure(
                "answers", sum(r.answer_count for r in runs), "1"
            ),
            _framework.Figure(
                "executions", sum(r.execution_count for r in runs), "1"
            ),
            _framework.Figure(
                "answers unknown", sum(r.unknown_count for r in runs), "1"
            ),
        ]
        return _framework.Result(self.name, seed, tuple(figures))


def _goodput_ms(
    samples: list[_load.Sample], start_ms: float, end_ms: float
) -> float:
    return sum(
        sample.job.nominal_ms
        for sample in samples
        if sample.within_deadline
        and start_ms <= sample.started_ms + sample.elapsed_ms < end_ms
    )


def _p99_ms(
    samples: list[_load.Sample], start_ms: float, end_ms: float
) -> float:
    values = [
        sample.elapsed_ms
        for sample in samples
        if sample.failure is None and start_ms <= sample.started_ms < end_ms
    ]
    return _load.percentile(values, 0.99)


EXPERIMENTS = (OverloadProcesses(), ImbalanceProcesses(), AtMostOnceProcesses())
