"""Base of experiments with open flows on a fleet with caller processes."""

import abc
import asyncio
import collections
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import random
import time

from fireflyford import config
from fireflyford import core
from fireflyford.lab import _caller_processes
from fireflyford.lab import _callers
from fireflyford.lab import _deployments
from fireflyford.lab import _fleet
from fireflyford.lab.experiments import _framework

_MAX_SILENCE_MS = 5_000
_SETTLE_MS = 4_000
_POLL_INTERVAL_MS = 500
# With 40 s for opening the flows, a run ends within about 90 s.
_DISTURBANCE_TIMEOUT_S = 35.0
# A short interval between events resolves stalls that are too short to show up
# at the default interval.
_FAST_FEED_INTERVAL_MS = 100


@dataclasses.dataclass(frozen=True)
class Scale:
    """Size of a run.

    Attributes:
        feed_count: Feeds of each caller process.
        order_count: Order tasks of each caller process.
        process_count: Caller processes.
        fast_feed_count: Feeds of an additional caller process, which receive
            an event every 100 ms.
        balancer_count: Balancers.
        target_count: Targets of each service, 0 for the number that the
            deployment sets.
        change_count: Maximum number of processes to replace.
        settle_ms: Time between the disturbance and reading the results.
    """

    feed_count: int = 340
    order_count: int = 4
    process_count: int = 3
    fast_feed_count: int = 20
    balancer_count: int = 3
    target_count: int = 0
    change_count: int = 3
    settle_ms: int = _SETTLE_MS


SMALL_SCALE = Scale(
    feed_count=6,
    order_count=2,
    process_count=2,
    fast_feed_count=2,
    target_count=3,
    change_count=1,
    settle_ms=1_500,
)


class FlowRun:
    """Fleet and caller processes of one run."""

    def __init__(self, fleet: _fleet.Fleet) -> None:
        """Initializes a run without callers."""
        self.fleet = fleet
        self.callers: list[_caller_processes.CallerProcess] = []
        self.fast_callers: list[_caller_processes.CallerProcess] = []
        self.exit_statuses: list[int] = []
        # Feeds that were open on targets when the targets were killed.
        self.lost_feed_count = 0
        self._counters: dict[str, dict[str, int]] = {}

    async def open_callers(self, scale: Scale) -> None:
        """Starts the caller processes and waits until they are ready."""
        load = _callers.CallerLoad(scale.feed_count, scale.order_count)
        fast = _callers.CallerLoad(
            scale.fast_feed_count, feed_interval_ms=_FAST_FEED_INTERVAL_MS
        )
        services = self.fleet.deployment.services
        # `tahian` has 7 of the 10 targets and gets two of three processes.
        for index in range(scale.process_count):
            service = services[1 if index % 3 == 1 else 0]
            self.callers.append(
                await _caller_processes.start_callers(
                    self.fleet, service, load, f"caller-{index}"
                )
            )
        self.fast_callers.append(
            await _caller_processes.start_callers(
                self.fleet, services[0], fast, "fast"
            )
        )
        all_callers = [*self.callers, *self.fast_callers]
        await asyncio.gather(*(item.wait_ready() for item in all_callers))

    async def poll_counters(self) -> None:
        """Polls the counters of all agents, including removed ones."""
        addresses: dict[str, core.Address] = {}
        while True:
            for target in self.fleet.targets.values():
                addresses[target.name] = target.status_address
            for name, address in addresses.items():
                status = await _fleet.fetch_status(address)
                if status:
                    self._counters[name] = status["counters"]
            await asyncio.sleep(_POLL_INTERVAL_MS / 1000)

    async def feed_count(self, target: _fleet.Target) -> int:
        """Returns the number of feeds that a target serves now."""
        status = await _fleet.fetch_status(target.status_address)
        return int(status.get("feeds", 0))

    def sum_counter(self, name: str) -> int:
        """Returns the sum of a counter over all agents of the run."""
        return sum(counters[name] for counters in self._counters.values())

    async def finish(
        self,
    ) -> tuple[_callers.CallerStatistics, _callers.CallerStatistics]:
        """Stops the callers; returns statistics of regular and fast feeds."""
        parts = await asyncio.gather(*(item.finish() for item in self.callers))
        fast = await asyncio.gather(
            *(item.finish() for item in self.fast_callers)
        )
        return (
            _callers.merge_statistics(list(parts)),
            _callers.merge_statistics(list(fast)),
        )

    def kill_callers(self) -> None:
        """Kills the caller processes that are still running."""
        for item in [*self.callers, *self.fast_callers]:
            item.kill()


def _make_deployment(scale: Scale) -> config.Deployment:
    deployment = _deployments.BANTAY
    if not scale.target_count:
        return deployment
    services = tuple(
        dataclasses.replace(service, target_count=scale.target_count)
        for service in deployment.services
    )
    return dataclasses.replace(deployment, services=services)


@contextlib.asynccontextmanager
async def open_run(
    scale: Scale,
    seed: int,
    proxied: frozenset[str] = frozenset(),
    drain_limit_ms: int = 30_000,
) -> AsyncIterator[FlowRun]:
    """Starts a fleet and its callers; stops them on exit."""
    fleet = _fleet.Fleet(
        _make_deployment(scale),
        random.Random(seed),
        scale.balancer_count,
        proxied,
        drain_limit_ms,
    )
    run = FlowRun(fleet)
    tasks = []
    try:
        await fleet.start()
        tasks.append(asyncio.create_task(fleet.check_health()))
        tasks.append(asyncio.create_task(run.poll_counters()))
        await run.open_callers(scale)
        yield run
    finally:
        for task in tasks:
            task.cancel()
        run.kill_callers()
        fleet.stop()


class FlowExperiment(_framework.Experiment):
    """Opens flows, causes a change or fault, and counts what callers see."""

    # Feeds that may break in addition to those on killed targets.
    max_broken_feeds: int = 0
    full_scale = Scale()
    # None if any number of requests may end with an unknown outcome.
    max_unknown_requests: int | None = 0
    proxied: frozenset[str] = frozenset()
    drain_limit_ms = 30_000

    def __init__(self, scale: Scale | None = None) -> None:
        """Initializes the experiment with the size of a run."""
        self._scale = scale or self.full_scale

    @abc.abstractmethod
    async def disturb(self, run: FlowRun, rng: random.Random) -> None:
        """Applies the changes or faults under test."""

    async def run(self, seed: int) -> _framework.Result:
        """Runs the experiment once."""
        async with open_run(
            self._scale, seed, self.proxied, self.drain_limit_ms
        ) as run:
            start_s = time.monotonic()
            finished = await self._disturb_within_timeout(run, seed)
            await asyncio.sleep(self._scale.settle_ms / 1000)
            duration_s = time.monotonic() - start_s
            statistics, fast_statistics = await run.finish()
            executions = collections.Counter(
                str(item["body"])
                for item in run.fleet.executions()
                if item["body"]
            )
        combined = _callers.merge_statistics([statistics, fast_statistics])
        return _framework.Result(
            self.name,
            seed,
            (
                *self._feed_figures(combined, fast_statistics, run),
                *self._request_figures(statistics, executions),
                _count(
                    "misrouted datagrams", run.sum_counter("misrouted_count"), 0
                ),
                _count("relayed datagrams", run.sum_counter("relayed_count")),
                _count(
                    "rotated return paths", run.sum_counter("rotated_count")
                ),
                _count(
                    "bad exit statuses",
                    sum(status != 0 for status in run.exit_statuses),
                    0,
                ),
                _framework.Figure(
                    "changes finished in time",
                    float(finished),
                    "1",
                    1,
                    _framework.Bound.AT_LEAST,
                ),
                _framework.Figure("disturbed time", duration_s, "s"),
            ),
        )

    async def _disturb_within_timeout(self, run: FlowRun, seed: int) -> bool:
        try:
            async with asyncio.timeout(_DISTURBANCE_TIMEOUT_S):
                await self.disturb(run, random.Random(seed))
        except TimeoutError:
            return False
        return True

    def _feed_figures(
        self,
        statistics: _callers.CallerStatistics,
        fast_statistics: _callers.CallerStatistics,
        run: FlowRun,
    ) -> tuple[_framework.Figure, ...]:
        allowed_broken_count = self.max_broken_feeds + run.lost_feed_count
        return (
            _count("open feeds", statistics.feeds),
            _count("feed events", statistics.events),
            _count("moved feeds", statistics.moved),
            _count("broken feeds", statistics.broken, allowed_broken_count),
            _count("refused feeds", statistics.refused_feeds, 0),
            _count("gaps", statistics.gaps, 0),
            _count("duplicates", statistics.duplicates, 0),
            _framework.Figure(
                "longest silence of a feed",
                statistics.longest_silence_ms,
                "ms",
                _MAX_SILENCE_MS,
            ),
            _framework.Figure(
                "longest silence, 100 ms interval",
                fast_statistics.longest_silence_ms,
                "ms",
                _MAX_SILENCE_MS,
            ),
        )

    def _request_figures(
        self,
        statistics: _callers.CallerStatistics,
        executions: collections.Counter[str],
    ) -> tuple[_framework.Figure, ...]:
        refused = set(statistics.refused_bodies)
        return (
            _count("order connections", statistics.connections),
            _count("requests complete", statistics.complete),
            _count("requests refused", statistics.refused),
            _count(
                "requests unknown",
                statistics.unknown,
                self.max_unknown_requests,
            ),
            _count("wrong answers", statistics.wrong, 0),
            _count(
                "refused as not run, but ran", len(refused & set(executions)), 0
            ),
            _count(
                "orders run twice",
                sum(count > 1 for count in executions.values()),
                0,
            ),
        )


def _count(
    name: str, value: float, target: float | None = None
) -> _framework.Figure:
    return _framework.Figure(name, value, "1", target)
