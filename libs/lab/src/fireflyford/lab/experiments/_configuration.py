"""Experiments on configuration pushes, propagation and store failures.

Every experiment runs real balancers, agents and the stand-in store, and
samples the version of every balancer meanwhile.
"""

import asyncio
import dataclasses
import signal

from fireflyford import core
from fireflyford import store
from fireflyford.lab.experiments import _config_harness
from fireflyford.lab.experiments import _framework

Figure = _framework.Figure


@dataclasses.dataclass(frozen=True)
class _PushRound:
    """Outcomes of concurrent pushes with the same base version."""

    push_count: int
    winner_count: int
    winner_not_named_count: int
    elapsed_ms: float


class _ConcurrentPushes(_framework.Experiment):
    """Several operators push at the same time."""

    _ROUND_COUNT = 20

    @property
    def name(self) -> str:
        """Name on the command line."""
        return "config-race"

    @property
    def summary(self) -> str:
        """One-line description that `list` prints."""
        return "2 to 4 operators push from one base; exactly one must win"

    async def run(self, seed: int) -> _framework.Result:
        """Runs 20 rounds."""
        rounds: list[_PushRound] = []
        async with _config_harness.running_harness(seed) as harness:
            for version in range(self._ROUND_COUNT):
                rounds.append(await self._run_round(harness, version))
            history = await harness.config_store.history(100)
            rollback_count = harness.rollback_count
        entries = history.value if isinstance(history, core.Ok) else ()
        return _framework.Result(
            self.name,
            seed,
            (
                Figure("pushes", sum(item.push_count for item in rounds), "1"),
                _config_harness.zero_figure(
                    "rounds without exactly one winner",
                    sum(item.winner_count != 1 for item in rounds),
                ),
                _config_harness.zero_figure(
                    "losers not told who changed what",
                    sum(item.winner_not_named_count for item in rounds),
                ),
                _config_harness.zero_figure(
                    "versions missing in the audit trail",
                    self._ROUND_COUNT - len(entries),
                ),
                _config_harness.activation_figure(
                    [item.elapsed_ms for item in rounds]
                ),
                _config_harness.zero_figure(
                    "versions that went back", rollback_count
                ),
            ),
        )

    async def _run_round(
        self, harness: _config_harness.ConfigHarness, version: int
    ) -> _PushRound:
        authors = [
            f"operator-{index}"
            for index in range(harness.rng.choice((2, 3, 4)))
        ]
        activation = asyncio.create_task(
            harness.measure_activation_ms(version + 1)
        )
        outcomes = await asyncio.gather(
            *(harness.push(version, author) for author in authors)
        )
        winners = [
            item.value.record.author
            for item in outcomes
            if isinstance(item, core.Ok)
        ]
        winner_not_named_count = sum(
            item.kind is not core.ErrorKind.CONFIG_CONFLICT
            or not any(winner in item.message for winner in winners)
            for item in outcomes
            if isinstance(item, core.Failure)
        )
        return _PushRound(
            push_count=len(outcomes),
            winner_count=len(winners),
            winner_not_named_count=winner_not_named_count,
            elapsed_ms=await activation,
        )


class _LostResponse(_framework.Experiment):
    """The store loses responses after the write took effect."""

    _ROUND_COUNT = 20

    @property
    def name(self) -> str:
        """Name on the command line."""
        return "config-lost-answer"

    @property
    def summary(self) -> str:
        """One-line description that `list` prints."""
        return (
            "answers of the store are lost; pushes apply once, reports are true"
        )

    async def run(self, seed: int) -> _framework.Result:
        """Runs 20 rounds, some on a slow store."""
        failed_count = unrecognized_count = 0
        times_ms: list[float] = []
        async with _config_harness.running_harness(seed) as harness:
            for version in range(self._ROUND_COUNT):
                await harness.set_store_faults(
                    lose_answer_count=harness.rng.choice((1, 2)),
                    slow_ms=harness.rng.choice((0, 0, 50, 300)),
                )
                push = store.Push(
                    harness.make_config_text(), version, "operator"
                )
                activation = asyncio.create_task(
                    harness.measure_activation_ms(version + 1)
                )
                first = await harness.config_store.push(push)
                again = await harness.config_store.push(push)
                await harness.set_store_faults(lose_answer_count=0, slow_ms=0)
                failed_count += not isinstance(first, core.Ok)
                unrecognized_count += not (
                    isinstance(again, core.Ok) and again.value.already_applied
                )
                times_ms.append(await activation)
            history = await harness.config_store.history(100)
            rollback_count = harness.rollback_count
        entries = history.value if isinstance(history, core.Ok) else ()
        distinct_count = len({item.identity for item in entries})
        return _framework.Result(
            self.name,
            seed,
            (
                _config_harness.zero_figure(
                    "accepted pushes reported as failed", failed_count
                ),
                _config_harness.zero_figure(
                    "retried pushes not recognised", unrecognized_count
                ),
                _config_harness.zero_figure(
                    "pushes not applied exactly once",
                    abs(len(entries) - self._ROUND_COUNT)
                    + abs(distinct_count - self._ROUND_COUNT),
                ),
                _config_harness.activation_figure(times_ms),
                _config_harness.zero_figure(
                    "versions that went back", rollback_count
                ),
            ),
        )


class _StoreOutage(_framework.Experiment):
    """The store fails just after a push, and is restored from a snapshot."""

    _ROUND_COUNT = 8

    @property
    def name(self) -> str:
        """Name on the command line."""
        return "store-outage"

    @property
    def summary(self) -> str:
        """One-line description that `list` prints."""
        return "the store goes down 200 ms after acceptance, restarts, restore"

    async def run(self, seed: int) -> _framework.Result:
        """Runs outages, restarts and a restore, then counts store calls."""
        async with _config_harness.running_harness(seed) as harness:
            times_ms = [
                await self._run_outage(harness, version)
                for version in range(self._ROUND_COUNT)
            ]
            figures = [
                _config_harness.activation_figure(times_ms),
                *await self._replace_balancers(harness),
                *await self._restore_snapshot(harness),
                _config_harness.zero_figure(
                    "versions that went back", harness.rollback_count
                ),
            ]
        return _framework.Result(
            self.name, seed, (*figures, *await _compare_store_calls(seed))
        )

    async def _run_outage(
        self, harness: _config_harness.ConfigHarness, version: int
    ) -> float:
        activation = asyncio.create_task(
            harness.measure_activation_ms(version + 1)
        )
        await harness.push(version)
        accepted_ms = _config_harness.CLOCK.now_ms()
        await _config_harness.CLOCK.sleep(
            200 - (_config_harness.CLOCK.now_ms() - accepted_ms)
        )
        await harness.set_store_faults(down=True)
        elapsed_ms = await activation
        await _config_harness.CLOCK.sleep(harness.rng.uniform(0, 2_000))
        await harness.set_store_faults(down=False)
        return elapsed_ms

    async def _replace_balancers(
        self, harness: _config_harness.ConfigHarness
    ) -> list[Figure]:
        """Replaces three balancers, one a config reader, in a store outage."""
        await harness.set_store_faults(down=True)
        old_count = 0
        for name in list(harness.fleet.balancers)[:3]:
            balancer = harness.fleet.balancers.pop(name)
            harness.fleet.kill(balancer.process)
            started = harness.fleet.start_balancer()
            version = await harness.wait_ready_version(started.name)
            old_count += version != harness.accepted_version
        await harness.set_store_faults(down=False)
        return [
            _config_harness.zero_figure(
                "restarts that served an old version", old_count
            ),
            Figure("accepted version", harness.accepted_version, "1"),
        ]

    async def _restore_snapshot(
        self, harness: _config_harness.ConfigHarness
    ) -> list[Figure]:
        """Restores a snapshot that is two pushes old."""
        await harness.set_store_faults(save_snapshot=True)
        before = harness.accepted_version
        for base in (before, before + 1):
            await harness.push(base)
        latest = harness.accepted_version
        await harness.measure_activation_ms(latest)
        await harness.set_store_faults(restore_snapshot=True)
        await _config_harness.CLOCK.sleep(3_000)
        versions = [
            await harness.sample_version(name)
            for name in harness.fleet.balancers
        ]
        stale = await harness.push(before)
        activation = asyncio.create_task(
            harness.measure_activation_ms(latest + 1)
        )
        repaired = await harness.push(latest)
        elapsed_ms = await activation
        return [
            _config_harness.zero_figure(
                "balancers that followed the restored store",
                sum(version != latest for version in versions),
            ),
            _config_harness.zero_figure(
                "pushes from the restored version that were accepted",
                not isinstance(stale, core.Failure)
                or stale.kind is not core.ErrorKind.CONFIG_STALE,
            ),
            _config_harness.zero_figure(
                "pushes with the base in force that were refused",
                isinstance(repaired, core.Failure),
            ),
            Figure(
                "time until in force after the restore",
                elapsed_ms,
                "ms",
                _config_harness.MAX_ACTIVATION_MS,
            ),
        ]


async def _compare_store_calls(seed: int) -> list[Figure]:
    """Compares the load on the store of 4 and of 12 balancers."""
    few = await _measure_store_calls(seed, 4)
    many = await _measure_store_calls(seed, 12)
    return [
        Figure("store calls of 4 balancers", few[0], "1/s"),
        Figure("store calls of 12 balancers", many[0], "1/s"),
        Figure("ratio of these calls", many[0] / few[0], "ratio", 1.25),
        Figure("pending watches of 4 balancers", few[1], "1", 3),
        Figure("pending watches of 12 balancers", many[1], "1", 3),
    ]


async def _measure_store_calls(seed: int, count: int) -> tuple[float, int]:
    async with _config_harness.running_harness(seed, count) as harness:
        await _config_harness.CLOCK.sleep(2_000)
        before, start_ms = (
            await harness.count_store_calls(),
            _config_harness.CLOCK.now_ms(),
        )
        watches = []
        for _ in range(10):
            await _config_harness.CLOCK.sleep(1_000)
            after = await harness.count_store_calls()
            watches.append(after["watches"])
        elapsed_ms = _config_harness.CLOCK.now_ms() - start_ms
    rate = (after["calls"] - before["calls"]) * 1000 / elapsed_ms
    return rate, max(watches)


class _LeasePause(_framework.Experiment):
    """The lease of a config reader expires while the reader is paused."""

    @property
    def name(self) -> str:
        """Name on the command line."""
        return "lease-pause"

    @property
    def summary(self) -> str:
        """One-line description that `list` prints."""
        return (
            "a reader is paused past its lease; two readers at once do no harm"
        )

    async def run(self, seed: int) -> _framework.Result:
        """Pauses a randomly chosen reader while operators push."""
        times_ms: list[float] = []
        async with _config_harness.running_harness(seed) as harness:
            readers = await self._list_readers(harness)
            paused = harness.rng.choice(readers)
            process = harness.fleet.balancers[paused].process
            process.send_signal(signal.SIGSTOP)
            running = [
                name for name in harness.fleet.balancers if name != paused
            ]
            try:
                await _config_harness.CLOCK.sleep(
                    (store.LEASE_DURATION_S + 3) * 1000
                )
                during = await self._list_readers(harness)
                activation = asyncio.create_task(
                    harness.measure_activation_ms(1, running)
                )
                await harness.push(0)
                times_ms.append(await activation)
            finally:
                process.send_signal(signal.SIGCONT)
            times_ms.append(await harness.measure_activation_ms(1))
            await _config_harness.CLOCK.sleep(4_000)
            after = await self._list_readers(harness)
            activation = asyncio.create_task(harness.measure_activation_ms(2))
            await harness.push(1)
            times_ms.append(await activation)
            joined = harness.fleet.start_balancer()
            version = await harness.wait_ready_version(joined.name)
            rollback_count = harness.rollback_count
        return _framework.Result(
            self.name,
            seed,
            (
                Figure("join entries before the pause", len(readers), "1", 3),
                _config_harness.zero_figure(
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
                _config_harness.activation_figure(times_ms),
                _config_harness.zero_figure(
                    "balancer that joined with an old version", version != 2
                ),
                _config_harness.zero_figure(
                    "versions that went back", rollback_count
                ),
            ),
        )

    async def _list_readers(
        self, harness: _config_harness.ConfigHarness
    ) -> list[str]:
        client = store.EtcdStore([harness.fleet.store_address])
        outcome = await client.read("fireflyford/join/")
        entries = outcome.value.entries if isinstance(outcome, core.Ok) else ()
        return [entry.key.rpartition("/")[2] for entry in entries]


EXPERIMENTS = (
    _ConcurrentPushes(),
    _LostResponse(),
    _StoreOutage(),
    _LeasePause(),
)
