"""Experiments on requests: imbalance, head-of-line blocking, overload, faults.

They run the decision code of agents in virtual time against simulated backend
servers; baselines run in the same experiment.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from concurrent import futures
import dataclasses
import multiprocessing
import statistics
from typing import TypeVar

from fireflyford.lab import _fault_runs
from fireflyford.lab import _load
from fireflyford.lab import _service_runs
from fireflyford.lab.experiments import _framework

A = TypeVar("A")
R = TypeVar("R")

_WORKER_COUNT = 4
# Estimates of service times have no history yet in the first seconds.
_WARM_UP_S = 4
_SPEEDS = (1.0, 4.0, 2.0, 1.0, 3.0, 4.0, 2.0)
_FAULT_RUN_COUNT = 200
_Policy = _service_runs.Policy


async def _map_in_processes(
    function: Callable[[A], R], items: Iterable[A]
) -> list[R]:
    """Applies a function to items in worker processes; keeps the order."""
    loop = asyncio.get_running_loop()
    # A forked process would inherit a copy of the running event loop.
    context = multiprocessing.get_context("spawn")
    with futures.ProcessPoolExecutor(_WORKER_COUNT, context) as pool:
        return await asyncio.gather(
            *(loop.run_in_executor(pool, function, item) for item in items)
        )


class Imbalance(_framework.Experiment):
    """Utilization of targets of different speeds with inaccurate reports."""

    @property
    def name(self) -> str:
        """Name on the command line."""
        return "imbalance"

    @property
    def summary(self) -> str:
        """One-line description that `list` prints."""
        return "use of targets by second, 70 % load, fourfold speeds"

    async def run(self, seed: int) -> _framework.Result:
        """Runs the default placement policy and the baselines."""
        policies = (
            _Policy.DEFAULT,
            _Policy.RANDOM,
            _Policy.ROUND_ROBIN,
            _Policy.LEAST_REPORTED,
            _Policy.TWO_CHOICES,
        )
        plan = _service_runs.Plan(
            seed, speeds=_SPEEDS, inaccurate_reports=True, duration_ms=16_000
        )
        results = await _map_in_processes(
            _service_runs.run,
            [dataclasses.replace(plan, policy=policy) for policy in policies],
        )
        figures: list[_framework.Figure] = []
        series = []
        for result in results:
            name = result.plan.policy.value
            values = result.imbalances(_WARM_UP_S)
            target = 1.15 if result.plan.policy is _Policy.DEFAULT else None
            figures += [
                _ratio(f"{name} worst second", max(values), target),
                _ratio(f"{name} median second", statistics.median(values)),
                _p99(f"{name} p99", result.elapsed_ms("short", 4_000)),
            ]
            points = tuple(
                (float(index + _WARM_UP_S), value)
                for index, value in enumerate(values)
            )
            series.append(
                _framework.Series(name, "time (s)", "imbalance", points)
            )
        return _framework.Result(self.name, seed, tuple(figures), tuple(series))


class HeadOfLine(_framework.Experiment):
    """Response times of short requests with and without stragglers."""

    @property
    def name(self) -> str:
        """Name on the command line."""
        return "head-of-line"

    @property
    def summary(self) -> str:
        """One-line description that `list` prints."""
        return "p99 of short work with 5 % stragglers of 50 times the length"

    async def run(self, seed: int) -> _framework.Result:
        """Runs with and without stragglers, and the baselines."""
        with_stragglers = _service_runs.Plan(
            seed, long_ratio=0.05, duration_ms=60_000
        )
        plans = (
            with_stragglers,
            dataclasses.replace(
                with_stragglers, long_ratio=0.0, duration_ms=20_000
            ),
            dataclasses.replace(with_stragglers, policy=_Policy.FIFO),
            dataclasses.replace(with_stragglers, policy=_Policy.TWO_CHOICES),
        )
        ours, without_stragglers, fifo, two_choices = await _map_in_processes(
            _service_runs.run, plans
        )
        base_ms = _load.percentile(
            without_stragglers.elapsed_ms("short", 4_000), 0.99
        )
        ideal_ratio = _load.percentile(
            _service_runs.ideal_elapsed_ms(ours), 0.99
        ) / _load.percentile(
            _service_runs.ideal_elapsed_ms(without_stragglers), 0.99
        )
        fifo_long = fifo.elapsed_ms("long", 4_000)
        ours_long = ours.elapsed_ms("long", 4_000)
        figures = (
            _ratio("short p99, ours", _p99_ms(ours) / base_ms, 1.5),
            _ratio("short p99, FIFO", _p99_ms(fifo) / base_ms),
            _ratio("short p99, two choices", _p99_ms(two_choices) / base_ms),
            _ratio("short p99, ideal scheduler", ideal_ratio),
            _ratio(
                "stragglers against FIFO, mean",
                statistics.mean(ours_long) / statistics.mean(fifo_long),
                1.3,
            ),
            _ratio(
                "stragglers against FIFO, p99",
                _load.percentile(ours_long, 0.99)
                / _load.percentile(fifo_long, 0.99),
            ),
            _framework.Figure("short p99 without stragglers", base_ms, "ms"),
            _ratio("short completed", _completed_ratio(ours)),
            _ratio("short completed, FIFO", _completed_ratio(fifo)),
        )
        return _framework.Result(self.name, seed, figures)


class Overload(_framework.Experiment):
    """Demand that rises from 50 % to 300 % of capacity."""

    @property
    def name(self) -> str:
        """Name on the command line."""
        return "crest"

    @property
    def summary(self) -> str:
        """One-line description that `list` prints."""
        return "demand peak of 300 % for 10 s, with and without a fault"

    async def run(self, seed: int) -> _framework.Result:
        """Runs the peak with default policies, baselines and faults."""
        plan = _service_runs.Plan(
            seed,
            mean_ms=40.0,
            load_ratio=0.5,
            peak_ratio=3.0,
            duration_ms=20_000,
        )
        faults = _service_runs.TargetFault
        plans = [
            plan,
            dataclasses.replace(plan, policy=_Policy.FIFO),
            dataclasses.replace(plan, policy=_Policy.RANDOM),
            *(
                dataclasses.replace(plan, fault=fault)
                for fault in (faults.KILL, faults.PAUSE, faults.FAIL_FAST)
            ),
        ]
        ours, fifo, fifo_random, *with_faults = await _map_in_processes(
            _service_runs.run, plans
        )
        figures = [
            *_peak_figures("ours", ours, with_target=True),
            *_peak_figures("FIFO", fifo, with_target=False),
            *_peak_figures("FIFO and random", fifo_random, with_target=False),
        ]
        for result in with_faults:
            # Six of seven targets remain; measured from 3 s after the fault.
            goodput = result.goodput_ratio(12_000, 15_000) * 7 / 6
            name = f"goodput of the rest, {result.plan.fault.value}"
            figures.append(_at_least(name, goodput, 0.95))
        return _framework.Result(self.name, seed, tuple(figures))


class AtMostOnce(_framework.Experiment):
    """Runs with faults whose request history is checked."""

    @property
    def name(self) -> str:
        """Name on the command line."""
        return "at-most-once"

    @property
    def summary(self) -> str:
        """One-line description that `list` prints."""
        return "200 runs with one or two faults, checked by their history"

    async def run(self, seed: int) -> _framework.Result:
        """Runs 200 consecutive seeds, starting at 200 times `seed`."""
        first = seed * _FAULT_RUN_COUNT
        results = await _map_in_processes(
            _fault_runs.run_once, range(first, first + _FAULT_RUN_COUNT)
        )
        runs_with_violations = [
            result for result in results if result.violations
        ]
        figures = [
            _count(
                "violations",
                sum(len(r.violations) for r in runs_with_violations),
                0,
            ),
            _count("runs", len(results)),
            _count("answers", sum(r.answer_count for r in results)),
            _count("executions", sum(r.execution_count for r in results)),
            _count("hand-overs", sum(r.handed_over_count for r in results)),
            _count("answers unknown", sum(r.unknown_count for r in results)),
        ]
        figures += [
            _count(f"broken run, seed {result.seed}", len(result.violations))
            for result in runs_with_violations
        ]
        return _framework.Result(self.name, seed, tuple(figures))


def _peak_figures(
    name: str, result: _service_runs.RunResult, with_target: bool
) -> list[_framework.Figure]:
    before_ms = _load.percentile(result.elapsed_ms("short", 1_000, 4_000), 0.99)
    after_ms = _load.percentile(
        result.elapsed_ms("short", 17_000, 20_000), 0.99
    )
    refusals = [
        sample.elapsed_ms
        for sample in result.samples
        if sample.failure is not None and 5_000 <= sample.started_ms < 15_000
    ]
    attempts = result.attempt_count / len(result.samples)
    goodput = result.goodput_ratio(5_000, 15_000)
    if not with_target:
        return [
            _at_least(f"{name}: goodput", goodput),
            _ratio(f"{name}: p99 after against before", after_ms / before_ms),
            _ratio(f"{name}: attempts per request", attempts),
        ]
    return [
        _at_least(f"{name}: goodput", goodput, 0.95),
        _framework.Figure(
            f"{name}: median refusal",
            _load.percentile(refusals, 0.5),
            "ms",
            50.0,
        ),
        _ratio(f"{name}: p99 after against before", after_ms / before_ms, 1.5),
        _ratio(f"{name}: attempts per request", attempts, 1.1),
    ]


def _completed_ratio(result: _service_runs.RunResult) -> float:
    short = [s for s in result.samples if s.job.kind == "short"]
    return sum(sample.within_deadline for sample in short) / len(short)


def _p99_ms(result: _service_runs.RunResult) -> float:
    return _load.percentile(result.elapsed_ms("short", 4_000), 0.99)


def _p99(name: str, values: list[float]) -> _framework.Figure:
    return _framework.Figure(name, _load.percentile(values, 0.99), "ms")


def _ratio(
    name: str, value: float, target: float | None = None
) -> _framework.Figure:
    return _framework.Figure(name, value, "ratio", target)


def _at_least(
    name: str, value: float, target: float | None = None
) -> _framework.Figure:
    return _framework.Figure(
        name, value, "ratio", target, _framework.Bound.AT_LEAST
    )


def _count(
    name: str, value: int, target: float | None = None
) -> _framework.Figure:
    return _framework.Figure(name, value, "1", target)


EXPERIMENTS = (Imbalance(), HeadOfLine(), Overload(), AtMostOnce())
