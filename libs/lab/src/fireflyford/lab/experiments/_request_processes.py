"""Requests over the whole path, with real processes.

The other experiments on requests use virtual time; these check that the same
decisions hold with sockets, real backend stand-ins and a busy machine.
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


class CrestProcesses(_framework.Experiment):
    """The demand peak over the whole path."""

    @property
    def name(self) -> str:
        """Name on the command line."""
        return "crest-processes"

    @property
    def summary(self) -> str:
        """One line for the list."""
        return "demand peak of 300 % for 10 s, real processes"

    async def run(self, seed: int) -> _framework.Result:
        """Runs the peak against seven targets."""
        # Three times the capacity is 168 requests per second, which one load
        # generator with the fabric beside it can send.
        mean_ms, slots = 250.0, 14
        capacity = slots / mean_ms * 1000

        def rate(time_ms: float) -> float:
            if not 4_000 <= time_ms < 15_000:
                return capacity * 0.5
            return capacity * (0.5 + 2.5 * min(1.0, (time_ms - 4_000) / 1000))

        demand = _process_runs.LoadProfile(
            seed, mean_ms, _CONNECTION_COUNT, 20_000, rate
        )
        async with _process_runs.running_service(seed, (1.0,) * 7) as fleet:
            trip_ms = await _process_runs.measure_round_trip_ms(fleet, 40)
            measured = await _process_runs.measure_capacity(
                fleet, mean_ms, 2 * slots, _CAPACITY_RUN_S
            )
            samples, attempts = await _process_runs.run_load(fleet, demand)
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
                goodput / measured,
                "ratio",
                0.95,
                _framework.Bound.AT_LEAST,
            ),
            _framework.Figure("measured capacity", measured / slots, "ratio"),
            _framework.Figure("empty request", trip_ms, "ms"),
            _framework.Figure(
                "median refusal", _load.percentile(refusals, 0.5), "ms", 50.0
            ),
            _framework.Figure(
                "p99 after against before",
                _p99_ms(samples, 17_000, 20_000) / before_ms,
                "ratio",
                1.5,
            ),
            # The first request of a connection fetches its ticket; these
            # requests need none.
            _framework.Figure(
                "attempts per request", attempts / len(samples), "ratio", 1.1
            ),
            _framework.Figure("p99 before", before_ms, "ms"),
            _framework.Figure("requests", len(samples), "1"),
        )
        return _framework.Result(self.name, seed, figures)


class ImbalanceProcesses(_framework.Experiment):
    """Use of targets over the whole path."""

    @property
    def name(self) -> str:
        """Name on the command line."""
        return "imbalance-processes"

    @property
    def summary(self) -> str:
        """One line for the list."""
        return "use of targets at 70 % load, fourfold speeds, real processes"

    async def run(self, seed: int) -> _framework.Result:
        """Runs 16 s at 70 % load; use follows from the execution logs."""
        speeds = (0.5, 2.0, 1.0, 0.5, 1.5, 2.0, 1.0)
        mean_ms = 80.0
        rate = 0.7 * 2 * sum(speeds) / mean_ms * 1000
        demand = _process_runs.LoadProfile(
            seed, mean_ms, _CONNECTION_COUNT, 16_000, lambda time_ms: rate
        )
        async with _process_runs.running_service(seed, speeds) as fleet:
            by_name = dict(zip(fleet.targets, speeds, strict=True))
            samples, _ = await _process_runs.run_load(fleet, demand)
            busy = _process_runs.busy_ms_by_target(fleet.executions(), by_name)
        seconds = sorted({second for _, second in busy})[4:-3]
        ratios = []
        totals = dict.fromkeys(by_name, 0.0)
        for second in seconds:
            uses = [busy.get((name, second), 0.0) for name in by_name]
            ratios.append(max(uses) / statistics.mean(uses))
            for name, use_ms in zip(by_name, uses, strict=True):
                totals[name] += use_ms
        whole = max(totals.values()) / statistics.mean(totals.values())
        figures = (
            _framework.Figure("median second", statistics.median(ratios), "1"),
            _framework.Figure("worst second", max(ratios), "1", 1.15),
            _framework.Figure("whole run", whole, "1", 1.15),
            _framework.Figure("p99", _p99_ms(samples, 4_000, 16_000), "ms"),
        )
        return _framework.Result(self.name, seed, figures)


class AtMostOnceProcesses(_framework.Experiment):
    """Orders under faults over the whole path."""

    @property
    def name(self) -> str:
        """Name on the command line."""
        return "at-most-once-processes"

    @property
    def summary(self) -> str:
        """One line for the list."""
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


EXPERIMENTS = (CrestProcesses(), ImbalanceProcesses(), AtMostOnceProcesses())
