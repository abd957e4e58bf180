"""Experiment on flows without identifier under planned changes and kills."""

import asyncio
import random

from fireflyford.lab import _flow_run
from fireflyford.lab.experiments import _framework

_FLOW_COUNT = 5_000
_PACKET_COUNT = 40_000
_DURATION_MS = 40_000
_BALANCER_COUNTS = (3, 5, 8)
_PLANNED_CHANGES = (
    "drain",
    "join",
    "weight",
    "drain",
    "join",
    "weight",
    "join",
)
_KILLS_AND_CHANGES = ("kill", "join", "kill", "drain", "kill")


def _run(plan: _flow_run.Plan, seed: int) -> _flow_run.FlowSimulation:
    run = _flow_run.FlowSimulation(plan, random.Random(seed))
    run.run()
    return run


def _make_figures(
    title: str, run: _flow_run.FlowSimulation
) -> list[_framework.Figure]:
    lost_count = run.sent_count - run.delivery_counts.delivered_count
    figures = [
        _framework.Figure(
            f"{title}, broken flows",
            len(run.delivery_counts.broken_flows),
            "flows",
            0.0,
        ),
        _framework.Figure(
            f"{title}, misrouted",
            run.delivery_counts.misrouted_count,
            "packets",
            0.0,
        ),
        _framework.Figure(f"{title}, lost", lost_count, "packets"),
        _framework.Figure(
            f"{title}, mean hops", sum(run.hops) / len(run.hops), "hops"
        ),
        _framework.Figure(
            f"{title}, most hops", run.network.max_hops, "hops", 4.0
        ),
    ]
    for name, counts in run.baseline_counts.items():
        figures.append(
            _framework.Figure(
                f"{title}, {name}: broken", len(counts.broken_flows), "flows"
            )
        )
        figures.append(
            _framework.Figure(
                f"{title}, {name}: misrouted",
                counts.misrouted_count,
                "packets",
            )
        )
    return figures


class DatagramFlowsExperiment(_framework.Experiment):
    """Runs the decision code of balancers and agents in virtual time."""

    @property
    def name(self) -> str:
        """Name on the command line."""
        return "datagram-flows"

    @property
    def summary(self) -> str:
        """One-line description that `list` prints."""
        return "flows without identifier, virtual time, against baselines"

    async def run(self, seed: int) -> _framework.Result:
        """Runs planned changes with 3, 5 and 8 balancers, then kills."""
        figures = []
        for balancer_count in _BALANCER_COUNTS:
            plan = _flow_run.Plan(
                balancer_count,
                _FLOW_COUNT,
                _PACKET_COUNT,
                _DURATION_MS,
                _PLANNED_CHANGES,
            )
            run = await asyncio.to_thread(_run, plan, seed)
            title = f"planned, {balancer_count} balancers"
            figures += _make_figures(title, run)
        plan = _flow_run.Plan(
            5, _FLOW_COUNT, _PACKET_COUNT, _DURATION_MS, _KILLS_AND_CHANGES
        )
        run = await asyncio.to_thread(_run, plan, seed)
        figures += _make_figures("kills, 5 balancers", run)
        return _framework.Result(self.name, seed, tuple(figures))


EXPERIMENTS = (DatagramFlowsExperiment(),)
