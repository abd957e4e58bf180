"""Open flows through planned changes, kills and silent paths."""

import abc
import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import random
import time

from fireflyford import core
from fireflyford.lab import _callers
from fireflyford.lab import _deployments
from fireflyford.lab import _fleet
from fireflyford.lab import _processes
from fireflyford.lab.experiments import _framework

_MAX_SILENCE_MS = 5_000
_SETTLE_MS = 4_000
_WATCH_INTERVAL_MS = 500


@dataclasses.dataclass(frozen=True)
class Scale:
    """Size of a run.

    Attributes:
        feed_count: Feeds of each caller process.
        order_count: Order tasks of each caller process.
        process_count: Caller processes.
        balancer_count: Balancers.
        change_count: Processes that are replaced, at most.
    """

    feed_count: int = 340
    order_count: int = 4
    process_count: int = 3
    balancer_count: int = 3
    change_count: int = 3


SMALL = Scale(feed_count=6, order_count=2, process_count=2, change_count=1)


class FlowRun:
    """Fleet and caller processes of one run."""

    def __init__(
        self, fleet: _fleet.Fleet, callers: list[_processes.CallerProcess]
    ) -> None:
        """Takes the running processes."""
        self.fleet = fleet
        self.callers = callers
        self.exit_codes: list[int] = []
        self._counters: dict[str, dict[str, int]] = {}

    async def watch_agents(self) -> None:
        """Reads the counters of all agents, also of those that leave."""
        addresses: dict[str, core.Address] = {}
        while True:
            for target in self.fleet.targets.values():
                addresses[target.name] = target.status_address
            for name, address in addresses.items():
                status = await _fleet.fetch_status(address)
                if status:
                    self._counters[name] = status["counters"]
            await asyncio.sleep(_WATCH_INTERVAL_MS / 1000)

    def counter(self, name: str) -> int:
        """Returns a counter, summed over all agents of the run."""
        return sum(counters[name] for counters in self._counters.values())


@contextlib.asynccontextmanager
async def open_run(scale: Scale, seed: int) -> AsyncIterator[FlowRun]:
    """Starts a fleet and its callers; ends them all afterwards."""
    fleet = _fleet.Fleet(
        _deployments.BANTAY, random.Random(seed), scale.balancer_count
    )
    callers: list[_processes.CallerProcess] = []
    run = FlowRun(fleet, callers)
    tasks = []
    try:
        await fleet.start()
        tasks.append(asyncio.create_task(fleet.check_health()))
        tasks.append(asyncio.create_task(run.watch_agents()))
        load = _callers.Load(scale.feed_count, scale.order_count)
        services = fleet.deployment.services
        # `tahian` has 7 of the 10 targets, so it gets every second process
        # and the rest.
        for index in range(scale.process_count):
            service = services[1 if index % 3 == 1 else 0]
            callers.append(
                await _processes.start_callers(
                    fleet, service, load, f"caller-{index}"
                )
            )
        await asyncio.gather(*(item.wait_ready() for item in callers))
        yield run
    finally:
        for task in tasks:
            task.cancel()
        for item in callers:
            item.kill()
        fleet.stop()


class FlowExperiment(_framework.Experiment):
    """Base of the experiments: opens flows, disturbs them, counts."""

    # Broken flows that the disturbance may cause, of those open.
    broken_target: int | None = 0
    unknown_target: int | None = 0

    def __init__(self, scale: Scale | None = None) -> None:
        """Takes the size of the run."""
        self._scale = scale or Scale()

    @abc.abstractmethod
    async def disturb(self, run: FlowRun, rng: random.Random) -> None:
        """Causes what the experiment is about."""

    async def run(self, seed: int) -> _framework.Result:
        """Runs once."""
        async with open_run(self._scale, seed) as run:
            start_s = time.monotonic()
            await self.disturb(run, random.Random(seed))
            await asyncio.sleep(_SETTLE_MS / 1000)
            duration_s = time.monotonic() - start_s
            parts = await asyncio.gather(*(c.finish() for c in run.callers))
        figures = _callers.add_figures(list(parts))
        return _framework.Result(
            self.name,
            seed,
            (
                *self._describe(figures),
                _figure(
                    "misrouted datagrams", run.counter("misrouted_count"), 0
                ),
                _figure("relayed datagrams", run.counter("relayed_count")),
                _figure("bad exit statuses", _count_bad(run.exit_codes), 0),
                _framework.Figure("disturbed time", duration_s, "s"),
            ),
        )

    def _describe(
        self, figures: _callers.Figures
    ) -> tuple[_framework.Figure, ...]:
        return (
            _figure("open feeds", figures.feeds),
            _figure("order connections", figures.connections),
            _figure("feed events", figures.events),
            _figure("moved feeds", figures.moved),
            _figure("broken feeds", figures.broken, self.broken_target),
            _figure("refused feeds", figures.refused_feeds, 0),
            _figure("gaps", figures.gaps, 0),
            _figure("duplicates", figures.duplicates, 0),
            _framework.Figure(
                "longest silence of a feed",
                figures.longest_silence_ms,
                "ms",
                _MAX_SILENCE_MS,
            ),
            _figure("requests complete", figures.complete),
            _figure("requests refused", figures.refused),
            _figure("requests unknown", figures.unknown, self.unknown_target),
            _figure("wrong answers", figures.wrong, 0),
        )


def _figure(
    name: str, value: float, target: float | None = None
) -> _framework.Figure:
    return _framework.Figure(name, value, "1", target)


def _count_bad(exit_codes: list[int]) -> int:
    return sum(code != 0 for code in exit_codes)


class RollingBalancers(FlowExperiment):
    """Every balancer is replaced, one after another."""

    name = "rolling-balancers"
    summary = "replaces every balancer while flows are open"

    async def disturb(self, run: FlowRun, rng: random.Random) -> None:
        """Replaces every balancer."""
        balancers = list(run.fleet.balancers.values())
        for balancer in balancers[: self._scale.change_count]:
            code = await run.fleet.replace_balancer(balancer)
            run.exit_codes.append(code)


class RollingBackends(FlowExperiment):
    """Backend servers are replaced, one after another."""

    name = "rolling-backends"
    summary = "replaces backend servers while flows are open"

    async def disturb(self, run: FlowRun, rng: random.Random) -> None:
        """Replaces randomly chosen targets."""
        targets = rng.sample(
            list(run.fleet.targets.values()), self._scale.change_count
        )
        for target in targets:
            run.exit_codes.append(await run.fleet.replace_target(target))


class RollingBoth(FlowExperiment):
    """Balancers and backend servers are replaced at the same time."""

    name = "rolling-both"
    summary = "replaces balancers and backend servers at the same time"

    async def disturb(self, run: FlowRun, rng: random.Random) -> None:
        """Replaces both kinds together."""
        await asyncio.gather(
            RollingBalancers(self._scale).disturb(run, rng),
            RollingBackends(self._scale).disturb(run, rng),
        )


class KillBalancer(FlowExperiment):
    """A balancer dies without notice."""

    name = "kill-balancer"
    summary = "kills one balancer without notice"

    async def disturb(self, run: FlowRun, rng: random.Random) -> None:
        """Kills one balancer."""
        victim = rng.choice(list(run.fleet.balancers.values()))
        run.fleet.kill(victim.process)


EXPERIMENTS: tuple[_framework.Experiment, ...] = (
    RollingBalancers(),
    RollingBackends(),
    RollingBoth(),
    KillBalancer(),
)
