"""Configuration: acceptance, spread, and a store that fails.

Every experiment runs real balancers, agents and the stand-in store, and
samples the version at every instance while it runs.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterable
import contextlib
import dataclasses
import json
import random
import signal

from tornado import httpclient

from fireflyford import config
from fireflyford import core
from fireflyford import store
from fireflyford.lab import _deployments
from fireflyford.lab import _fleet
from fireflyford.lab.experiments import _framework

IN_FORCE_LIMIT_MS = 3_000
_GIVE_UP_MS = 10_000
_SAMPLE_MS = 20
_BALANCER_COUNT = 6
_CLOCK = core.SystemClock()
Figure = _framework.Figure


class _Trial:
    """One running fleet, its store, and what was seen of versions."""

    def __init__(self, fleet: _fleet.Fleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self.config_store = store.ConfigStore(
            store.EtcdStore([fleet.store_address]), _CLOCK
        )
        self.accepted_version = 0
        self.rollback_count = 0
        self._seen: dict[str, int] = {}
        self._serial = 0

    def new_text(self) -> str:
        """Returns a deployment that differs from all before it."""
        self._serial += 1
        first, *rest = self.fleet.deployment.services
        first = dataclasses.replace(
            first, connections_per_target=2_000 + self._serial
        )
        deployment = dataclasses.replace(
            self.fleet.deployment, services=(first, *rest)
        )
        return config.render(deployment)

    async def push(
        self, base: int, author: str = "operator"
    ) -> core.Outcome[store.Accepted]:
        """Pushes a new text and keeps the version when it is accepted."""
        push = store.Push(self.new_text(), base, author)
        outcome = await self.config_store.push(push)
        if isinstance(outcome, core.Ok):
            self.accepted_version = max(
                self.accepted_version, outcome.value.record.version
            )
        return outcome

    async def switch(self, **switches: object) -> None:
        """Switches faults of the store."""
        await httpclient.AsyncHTTPClient().fetch(
            f"http://{self.fleet.store_address}/switch",
            method="POST",
            body=json.dumps(switches),
        )

    async def counts(self) -> dict[str, int]:
        """Returns the calls of the store and its pending watches."""
        reply = await httpclient.AsyncHTTPClient().fetch(
            f"http://{self.fleet.store_address}/counts"
        )
        counts = json.loads(reply.body)
        return {
            "calls": sum(counts["calls"].values()),
            "watches": counts["pending_watch_count"],
        }

    async def time_in_force(self, balancers: Iterable[str] = ()) -> float:
        """Returns the time until every balancer runs the accepted version.

        Args:
            balancers: Names of the balancers that count, all when empty.

        Returns:
            Milliseconds from now, the limit when it did not happen.
        """
        start_ms = _CLOCK.now_ms()
        names = list(balancers) or list(self.fleet.balancers)
        while _CLOCK.now_ms() - start_ms < _GIVE_UP_MS:
            versions = [await self.sample(name) for name in names]
            if min(versions) >= self.accepted_version:
                break
            await _CLOCK.sleep(_SAMPLE_MS)
        return _CLOCK.now_ms() - start_ms

    async def sample(self, name: str) -> int:
        """Returns a balancer's version, and counts it if it went back."""
        address = self.fleet.balancers[name].status_address
        status = await _fleet.fetch_status(address)
        version = int(str(status.get("config", {}).get("version", -1)))
        if version >= 0:
            self.rollback_count += version < self._seen.get(name, 0)
            self._seen[name] = max(version, self._seen.get(name, 0))
        return version

    async def ready_version(self, name: str) -> int:
        """Returns the version of a new balancer when it takes work."""
        address = self.fleet.balancers[name].status_address
        client = httpclient.AsyncHTTPClient()
        limit_ms = _CLOCK.now_ms() + _GIVE_UP_MS
        while _CLOCK.now_ms() < limit_ms:
            with contextlib.suppress(OSError, httpclient.HTTPError):
                await client.fetch(f"http://{address}/readyz")
                return await self.sample(name)
            await _CLOCK.sleep(_SAMPLE_MS)
        return -1


@contextlib.asynccontextmanager
async def _running(
    seed: int, balancer_count: int = _BALANCER_COUNT
) -> AsyncIterator[_Trial]:
    base = _deployments.BANTAY
    services = tuple(
        dataclasses.replace(service, target_count=1)
        for service in base.services
    )
    rng = random.Random(seed)
    fleet = _fleet.Fleet(
        dataclasses.replace(base, services=services), rng, balancer_count
    )
    try:
        await fleet.start()
        # Readers are chosen once every balancer knows the others.
        await _CLOCK.sleep(2_000)
        yield _Trial(fleet, rng)
    finally:
        fleet.stop()


def _in_force_figure(times_ms: list[float]) -> Figure:
    return Figure(
        "longest time until in force at every balancer",
        max(times_ms),
        "ms",
        IN_FORCE_LIMIT_MS,
    )


def _zero(name: str, count: int) -> Figure:
    return Figure(name, count, "1", 0)


@dataclasses.dataclass(frozen=True)
class _Round:
    """What one round of pushes from one base gave."""

    push_count: int
    winner_count: int
    unnamed_count: int
    elapsed_ms: float


class _Race(_framework.Experiment):
    """Operators that push at the same time."""

    _ROUND_COUNT = 20

    @property
    def name(self) -> str:
        """Name on the command line."""
        return "config-race"

    @property
    def summary(self) -> str:
        """One line for the list."""
        return "2 to 4 operators push from one base; exactly one must win"

    async def run(self, seed: int) -> _framework.Result:
        """Runs 20 rounds."""
        rounds: list[_Round] = []
        async with _running(seed) as trial:
            for version in range(self._ROUND_COUNT):
                rounds.append(await self._run_round(trial, version))
            history = await trial.config_store.history(100)
            rollback_count = trial.rollback_count
        entries = history.value if isinstance(history, core.Ok) else ()
        return _framework.Result(
            self.name,
            seed,
            (
                Figure("pushes", sum(item.push_count for item in rounds), "1"),
                _zero(
                    "rounds without exactly one winner",
                    sum(item.winner_count != 1 for item in rounds),
                ),
                _zero(
                    "losers not told who changed what",
                    sum(item.unnamed_count for item in rounds),
                ),
                _zero(
                    "versions missing in the audit trail",
                    self._ROUND_COUNT - len(entries),
                ),
                _in_force_figure([item.elapsed_ms for item in rounds]),
                _zero("versions that went back", rollback_count),
            ),
        )

    async def _run_round(self, trial: _Trial, version: int) -> _Round:
        authors = [
            f"operator-{index}" for index in range(trial.rng.choice((2, 3, 4)))
        ]
        outcomes = await asyncio.gather(
            *(trial.push(version, author) for author in authors)
        )
        winners = [
            item.value.record.author
            for item in outcomes
            if isinstance(item, core.Ok)
        ]
        unnamed_count = sum(
            item.kind is not core.ErrorKind.CONFIG_CONFLICT
            or not any(winner in item.message for winner in winners)
            for item in outcomes
            if isinstance(item, core.Failure)
        )
        return _Round(
            push_count=len(outcomes),
            winner_count=len(winners),
            unnamed_count=unnamed_count,
            elapsed_ms=await trial.time_in_force(),
        )


class _LostAnswer(_framework.Experiment):
    """Answers lost after the write took effect."""

    _ROUND_COUNT = 20

    @property
    def name(self) -> str:
        """Name on the command line."""
        return "config-lost-answer"

    @property
    def summary(self) -> str:
        """One line for the list."""
        return "answers of the store are lost; reports must be true, once each"

    async def run(self, seed: int) -> _framework.Result:
        """Runs 20 rounds, some on a slow store."""
        false_count = retry_count = 0
        times_ms: list[float] = []
        async with _running(seed) as trial:
            for version in range(self._ROUND_COUNT):
                await trial.switch(
                    lose_answer_count=trial.rng.choice((1, 2)),
                    slow_ms=trial.rng.choice((0, 0, 50, 300)),
                )
                push = store.Push(trial.new_text(), version, "operator")
                first = await trial.config_store.push(push)
                again = await trial.config_store.push(push)
                await trial.switch(lose_answer_count=0, slow_ms=0)
                false_count += not isinstance(first, core.Ok)
                retry_count += not (
                    isinstance(again, core.Ok) and again.value.earlier
                )
                trial.accepted_version = version + 1
                times_ms.append(await trial.time_in_force())
            history = await trial.config_store.history(100)
            rollback_count = trial.rollback_count
        entries = history.value if isinstance(history, core.Ok) else ()
        extra_count = len({item.identity for item in entries})
        return _framework.Result(
            self.name,
            seed,
            (
                _zero("accepted pushes reported as failed", false_count),
                _zero("retried pushes not recognised", retry_count),
                _zero(
                    "pushes not applied exactly once",
                    abs(len(entries) - self._ROUND_COUNT)
                    + abs(extra_count - self._ROUND_COUNT),
                ),
                _in_force_figure(times_ms),
                _zero("versions that went back", rollback_count),
            ),
        )


class _Outage(_framework.Experiment):
    """A store that goes down just after it accepted, and is restored old."""

    _ROUND_COUNT = 8

    @property
    def name(self) -> str:
        """Name on the command line."""
        return "store-outage"

    @property
    def summary(self) -> str:
        """One line for the list."""
        return "the store goes down 200 ms after acceptance, restarts, restore"

    async def run(self, seed: int) -> _framework.Result:
        """Runs outages, restarts and a restore, then counts calls."""
        async with _running(seed) as trial:
            times_ms = [
                await self._outage(trial, version)
                for version in range(self._ROUND_COUNT)
            ]
            figures = [
                _in_force_figure(times_ms),
                *await self._restart(trial),
                *await self._restore(trial),
                _zero("versions that went back", trial.rollback_count),
            ]
        return _framework.Result(
            self.name, seed, (*figures, *await _compare_calls(seed))
        )

    async def _outage(self, trial: _Trial, version: int) -> float:
        await trial.push(version)
        accepted_ms = _CLOCK.now_ms()
        watcher = asyncio.create_task(trial.time_in_force())
        await _CLOCK.sleep(200 - (_CLOCK.now_ms() - accepted_ms))
        await trial.switch(down=True)
        elapsed_ms = await watcher
        await _CLOCK.sleep(trial.rng.uniform(0, 2_000))
        await trial.switch(down=False)
        return elapsed_ms

    async def _restart(self, trial: _Trial) -> list[Figure]:
        """Replaces balancers, the first reader included, without a store."""
        await trial.switch(down=True)
        old_count = 0
        for name in list(trial.fleet.balancers)[:3]:
            balancer = trial.fleet.balancers.pop(name)
            trial.fleet.kill(balancer.process)
            started = trial.fleet.start_balancer()
            version = await trial.ready_version(started.name)
            old_count += version != trial.accepted_version
        await trial.switch(down=False)
        return [
            _zero("restarts that served an old version", old_count),
            Figure("accepted version", trial.accepted_version, "1"),
        ]

    async def _restore(self, trial: _Trial) -> list[Figure]:
        """Restores a snapshot from before two pushes."""
        await trial.switch(save_snapshot=True)
        before = trial.accepted_version
        for base in (before, before + 1):
            await trial.push(base)
        lost = trial.accepted_version
        await trial.time_in_force()
        await trial.switch(restore_snapshot=True)
        await _CLOCK.sleep(3_000)
        kept = [await trial.sample(name) for name in trial.fleet.balancers]
        stale = await trial.push(before)
        repaired = await trial.push(lost)
        elapsed_ms = await trial.time_in_force()
        return [
            _zero(
                "balancers that followed the restored store",
                sum(version != lost for version in kept),
            ),
            _zero(
                "pushes from the restored version that were accepted",
                not isinstance(stale, core.Failure)
                or stale.kind is not core.ErrorKind.CONFIG_STALE,
            ),
            _zero(
                "pushes with the base in force that were refused",
                isinstance(repaired, core.Failure),
            ),
            Figure(
                "time until in force after the restore",
                elapsed_ms,
                "ms",
                IN_FORCE_LIMIT_MS,
            ),
        ]


async def _compare_calls(seed: int) -> list[Figure]:
    """Compares the store's load by few and by many balancers."""
    few = await _measure_calls(seed, 4)
    many = await _measure_calls(seed, 12)
    return [
        Figure("store calls of 4 balancers", few[0], "1/s"),
        Figure("store calls of 12 balancers", many[0], "1/s"),
        Figure("ratio of these calls", many[0] / few[0], "ratio", 1.25),
        Figure("pending watches of 4 balancers", few[1], "1", 3),
        Figure("pending watches of 12 balancers", many[1], "1", 3),
    ]


async def _measure_calls(seed: int, count: int) -> tuple[float, int]:
    async with _running(seed, count) as trial:
        await _CLOCK.sleep(2_000)
        before, start_ms = await trial.counts(), _CLOCK.now_ms()
        watches = []
        for _ in range(10):
            await _CLOCK.sleep(1_000)
            after = await trial.counts()
            watches.append(after["watches"])
        elapsed_ms = _CLOCK.now_ms() - start_ms
    rate = (after["calls"] - before["calls"]) * 1000 / elapsed_ms
    return rate, max(watches)


class _LeasePause(_framework.Experiment):
    """A lease that expires while its holder is paused."""

    @property
    def name(self) -> str:
        """Name on the command line."""
        return "lease-pause"

    @property
    def summary(self) -> str:
        """One line for the list."""
        return "a reader is paused past its lease; two hold it, none is harmed"

    async def run(self, seed: int) -> _framework.Result:
        """Pauses each reader in turn while operators push."""
        times_ms: list[float] = []
        async with _running(seed) as trial:
            readers = await self._readers(trial)
            paused = trial.rng.choice(readers)
            process = trial.fleet.balancers[paused].process
            process.send_signal(signal.SIGSTOP)
            running = [name for name in trial.fleet.balancers if name != paused]
            try:
                await _CLOCK.sleep((store.LEASE_DURATION_S + 3) * 1000)
                during = await self._readers(trial)
                await trial.push(0)
                times_ms.append(await trial.time_in_force(running))
            finally:
                process.send_signal(signal.SIGCONT)
            times_ms.append(await trial.time_in_force())
            await _CLOCK.sleep(4_000)
            after = await self._readers(trial)
            await trial.push(1)
            times_ms.append(await trial.time_in_force())
            joined = trial.fleet.start_balancer()
            version = await trial.ready_version(joined.name)
            rollback_count = trial.rollback_count
        return _framework.Result(
            self.name,
            seed,
            (
                Figure("join entries before the pause", len(readers), "1", 3),
                _zero("entry of the paused holder kept", paused in during),
                Figure(
                    "join entries during the pause",
                    len(during),
                    "1",
                    3,
                    _framework.Bound.AT_LEAST,
                ),
                Figure("join entries after the pause", len(after), "1", 4),
                _in_force_figure(times_ms),
                _zero("balancer that joined with an old version", version != 2),
                _zero("versions that went back", rollback_count),
            ),
        )

    async def _readers(self, trial: _Trial) -> list[str]:
        client = store.EtcdStore([trial.fleet.store_address])
        outcome = await client.read("fireflyford/join/")
        entries = outcome.value.entries if isinstance(outcome, core.Ok) else ()
        return [entry.key.rpartition("/")[2] for entry in entries]


EXPERIMENTS = (_Race(), _LostAnswer(), _Outage(), _LeasePause())
