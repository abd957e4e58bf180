"""Configuration: acceptance, spread, and a store that fails.

Every experiment runs real balancers, agents and the stand-in store, and
samples the version at every instance while it runs.
"""

import asyncio
import dataclasses
import signal

from fireflyford import core
from fireflyford import store
from fireflyford.lab.experiments import _config_trial
from fireflyford.lab.experiments import _framework

Figure = _framework.Figure


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
        async with _config_trial.running(seed) as trial:
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
                _config_trial.zero(
                    "rounds without exactly one winner",
                    sum(item.winner_count != 1 for item in rounds),
                ),
                _config_trial.zero(
                    "losers not told who changed what",
                    sum(item.unnamed_count for item in rounds),
                ),
                _config_trial.zero(
                    "versions missing in the audit trail",
                    self._ROUND_COUNT - len(entries),
                ),
                _config_trial.in_force_figure(
                    [item.elapsed_ms for item in rounds]
                ),
                _config_trial.zero("versions that went back", rollback_count),
            ),
        )

    async def _run_round(
        self, trial: _config_trial.Trial, version: int
    ) -> _Round:
        authors = [
            f"operator-{index}" for index in range(trial.rng.choice((2, 3, 4)))
        ]
        watcher = asyncio.create_task(trial.time_in_force(version + 1))
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
            elapsed_ms=await watcher,
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
        async with _config_trial.running(seed) as trial:
            for version in range(self._ROUND_COUNT):
                await trial.switch(
                    lose_answer_count=trial.rng.choice((1, 2)),
                    slow_ms=trial.rng.choice((0, 0, 50, 300)),
                )
                push = store.Push(trial.new_text(), version, "operator")
                watcher = asyncio.create_task(trial.time_in_force(version + 1))
                first = await trial.config_store.push(push)
                again = await trial.config_store.push(push)
                await trial.switch(lose_answer_count=0, slow_ms=0)
                false_count += not isinstance(first, core.Ok)
                retry_count += not (
                    isinstance(again, core.Ok) and again.value.already_applied
                )
                times_ms.append(await watcher)
            history = await trial.config_store.history(100)
            rollback_count = trial.rollback_count
        entries = history.value if isinstance(history, core.Ok) else ()
        extra_count = len({item.identity for item in entries})
        return _framework.Result(
            self.name,
            seed,
            (
                _config_trial.zero(
                    "accepted pushes reported as failed", false_count
                ),
                _config_trial.zero(
                    "retried pushes not recognised", retry_count
                ),
                _config_trial.zero(
                    "pushes not applied exactly once",
                    abs(len(entries) - self._ROUND_COUNT)
                    + abs(extra_count - self._ROUND_COUNT),
                ),
                _config_trial.in_force_figure(times_ms),
                _config_trial.zero("versions that went back", rollback_count),
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
        async with _config_trial.running(seed) as trial:
            times_ms = [
                await self._outage(trial, version)
                for version in range(self._ROUND_COUNT)
            ]
            figures = [
                _config_trial.in_force_figure(times_ms),
                *await self._restart(trial),
                *await self._restore(trial),
                _config_trial.zero(
                    "versions that went back", trial.rollback_count
                ),
            ]
        return _framework.Result(
            self.name, seed, (*figures, *await _compare_calls(seed))
        )

    async def _outage(self, trial: _config_trial.Trial, version: int) -> float:
        watcher = asyncio.create_task(trial.time_in_force(version + 1))
        await trial.push(version)
        accepted_ms = _config_trial.CLOCK.now_ms()
        await _config_trial.CLOCK.sleep(
            200 - (_config_trial.CLOCK.now_ms() - accepted_ms)
        )
        await trial.switch(down=True)
        elapsed_ms = await watcher
        await _config_trial.CLOCK.sleep(trial.rng.uniform(0, 2_000))
        await trial.switch(down=False)
        return elapsed_ms

    async def _restart(self, trial: _config_trial.Trial) -> list[Figure]:
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
            _config_trial.zero(
                "restarts that served an old version", old_count
            ),
            Figure("accepted version", trial.accepted_version, "1"),
        ]

    async def _restore(self, trial: _config_trial.Trial) -> list[Figure]:
        """Restores a snapshot from before two pushes."""
        await trial.switch(save_snapshot=True)
        before = trial.accepted_version
        for base in (before, before + 1):
            await trial.push(base)
        lost = trial.accepted_version
        await trial.time_in_force(lost)
        await trial.switch(restore_snapshot=True)
        await _config_trial.CLOCK.sleep(3_000)
        kept = [await trial.sample(name) for name in trial.fleet.balancers]
        stale = await trial.push(before)
        watcher = asyncio.create_task(trial.time_in_force(lost + 1))
        repaired = await trial.push(lost)
        elapsed_ms = await watcher
        return [
            _config_trial.zero(
                "balancers that followed the restored store",
                sum(version != lost for version in kept),
            ),
            _config_trial.zero(
                "pushes from the restored version that were accepted",
                not isinstance(stale, core.Failure)
                or stale.kind is not core.ErrorKind.CONFIG_STALE,
            ),
            _config_trial.zero(
                "pushes with the base in force that were refused",
                isinstance(repaired, core.Failure),
            ),
            Figure(
                "time until in force after the restore",
                elapsed_ms,
                "ms",
                _config_trial.IN_FORCE_LIMIT_MS,
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
    async with _config_trial.running(seed, count) as trial:
        await _config_trial.CLOCK.sleep(2_000)
        before, start_ms = await trial.counts(), _config_trial.CLOCK.now_ms()
        watches = []
        for _ in range(10):
            await _config_trial.CLOCK.sleep(1_000)
            after = await trial.counts()
            watches.append(after["watches"])
        elapsed_ms = _config_trial.CLOCK.now_ms() - start_ms
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
        async with _config_trial.running(seed) as trial:
            readers = await self._readers(trial)
            paused = trial.rng.choice(readers)
            process = trial.fleet.balancers[paused].process
            process.send_signal(signal.SIGSTOP)
            running = [name for name in trial.fleet.balancers if name != paused]
            try:
                await _config_trial.CLOCK.sleep(
                    (store.LEASE_DURATION_S + 3) * 1000
                )
                during = await self._readers(trial)
                watcher = asyncio.create_task(trial.time_in_force(1, running))
                await trial.push(0)
                times_ms.append(await watcher)
            finally:
                process.send_signal(signal.SIGCONT)
            times_ms.append(await trial.time_in_force(1))
            await _config_trial.CLOCK.sleep(4_000)
            after = await self._readers(trial)
            watcher = asyncio.create_task(trial.time_in_force(2))
            await trial.push(1)
            times_ms.append(await watcher)
            joined = trial.fleet.start_balancer()
            version = await trial.ready_version(joined.name)
            rollback_count = trial.rollback_count
        return _framework.Result(
            self.name,
            seed,
            (
                Figure("join entries before the pause", len(readers), "1", 3),
                _config_trial.zero(
                    "entry of the paused holder kept", paused in during
                ),
                Figure(
                    "join entries during the pause",
                    len(during),
                    "1",
                    3,
                    _framework.Bound.AT_LEAST,
                ),
                Figure("join entries after the pause", len(after), "1", 4),
                _config_trial.in_force_figure(times_ms),
                _config_trial.zero(
                    "balancer that joined with an old version", version != 2
                ),
                _config_trial.zero("versions that went back", rollback_count),
            ),
        )

    async def _readers(self, trial: _config_trial.Trial) -> list[str]:
        client = store.EtcdStore([trial.fleet.store_address])
        outcome = await client.read("fireflyford/join/")
        entries = outcome.value.entries if isinstance(outcome, core.Ok) else ()
        return [entry.key.rpartition("/")[2] for entry in entries]


EXPERIMENTS = (_Race(), _LostAnswer(), _Outage(), _LeasePause())
