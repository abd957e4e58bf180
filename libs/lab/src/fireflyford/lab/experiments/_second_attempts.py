"""Experiment on second attempts of slow requests that may be repeated."""

import dataclasses

from fireflyford.lab import _load
from fireflyford.lab import _service_runs
from fireflyford.lab.experiments import _framework

# Quantiles are measured after the first seconds, when delays are known.
_WARM_UP_MS = 4_000
_LIMIT_RATIO = 0.05


class SecondAttempts(_framework.Experiment):
    """Slowest responses with and without second attempts."""

    @property
    def name(self) -> str:
        """Name on the command line."""
        return "second-attempts"

    @property
    def summary(self) -> str:
        """One-line description that `list` prints."""
        return "p99 and p99.9, 2 % of executions ten times as long"

    async def run(self, seed: int) -> _framework.Result:
        """Runs without and with a limit.

        At 40 % load, with backend servers that stop cancelled executions and
        with others that finish them, and under overload.
        """
        plan = _service_runs.Plan(
            seed, load_ratio=0.4, slow_ratio=0.02, duration_ms=40_000
        )
        cases = {
            "40 % load": plan,
            "40 %, finished": dataclasses.replace(
                plan, finishes_cancelled=True
            ),
            "130 % load": dataclasses.replace(plan, load_ratio=1.3),
        }
        figures: list[_framework.Figure] = []
        for label, without in cases.items():
            limited = dataclasses.replace(
                without, second_attempt_ratio=_LIMIT_RATIO
            )
            base = await _service_runs.run_in_thread(without)
            result = await _service_runs.run_in_thread(limited)
            figures += _figures(label, base, result)
        return _framework.Result(self.name, seed, tuple(figures))


def _figures(
    label: str,
    base: _service_runs.RunResult,
    result: _service_runs.RunResult,
) -> list[_framework.Figure]:
    figures = []
    for name, run in (("without", base), ("with", result)):
        elapsed_ms = run.elapsed_ms("short", _WARM_UP_MS)
        for quantile in (0.5, 0.99, 0.999):
            figures.append(
                _framework.Figure(
                    f"{label}, {name}: p{quantile * 100:g}",
                    _load.percentile(elapsed_ms, quantile),
                    "ms",
                )
            )
    attempts = result.second_attempt_count / len(result.samples)
    wins = result.win_count / max(1, result.second_attempt_count)
    figures += [
        _framework.Figure(
            f"{label}: second attempts", attempts, "ratio", _LIMIT_RATIO * 1.1
        ),
        _framework.Figure(f"{label}: won", wins, "ratio"),
        _framework.Figure(
            f"{label}: slot time against none",
            result.busy_ms / base.busy_ms,
            "ratio",
            1 + _LIMIT_RATIO,
        ),
    ]
    return figures


EXPERIMENTS = (SecondAttempts(),)
