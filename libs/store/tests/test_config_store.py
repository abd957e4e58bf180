"""Pushes to a store that fails in every way that the stand-in knows."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random

import msgspec
import pytest

from fireflyford import config
from fireflyford import core
from fireflyford import store
from fireflyford.lab import _deployments
from fireflyford.lab import _ports
from fireflyford.lab import _store_server

BASE = _deployments.BANTAY
Server = _store_server.StoreServer


def with_targets(count: int) -> str:
    services = (
        dataclasses.replace(BASE.services[0], target_count=count),
        *BASE.services[1:],
    )
    return config.render(dataclasses.replace(BASE, services=services))


def run(
    body: Callable[[store.ConfigStore, Server], Awaitable[None]],
    dead_gateways: int = 0,
) -> None:
    async def start() -> None:
        server = Server()
        address = _ports.free_address()
        server.listen(address)
        dead = [_ports.free_address() for _ in range(dead_gateways)]
        client = store.EtcdStore([*dead, address], timeout_ms=300)
        try:
            await body(store.ConfigStore(client, core.SystemClock()), server)
        finally:
            server.stop()

    asyncio.run(start())


async def push(
    config_store: store.ConfigStore, text: str, base: int, author: str = "ana"
) -> core.Outcome[store.AcceptedPush]:
    return await config_store.push(store.Push(text, base, author))


def kind(outcome: core.Outcome[store.AcceptedPush]) -> core.ErrorKind | None:
    return outcome.kind if isinstance(outcome, core.Failure) else None


def test_one_of_two_operators_wins() -> None:
    """Guards against a lost update and a conflict that names nobody."""

    async def body(config_store: store.ConfigStore, _: Server) -> None:
        await push(config_store, with_targets(7), 0)
        outcomes = await asyncio.gather(
            push(config_store, with_targets(8), 1, "ana"),
            push(config_store, with_targets(9), 1, "ben"),
        )
        losers = [item for item in outcomes if isinstance(item, core.Failure)]
        assert [item.kind for item in losers] == [
            core.ErrorKind.CONFIG_CONFLICT
        ]
        winner = next(item for item in outcomes if isinstance(item, core.Ok))
        assert f"{winner.value.record.author} pushed version 2" in (
            losers[0].message
        )
        assert "services.tahian.target_count: 7 -> " in losers[0].message
        current = await config_store.read()
        assert current == core.Ok(winner.value.record)

    run(body)


def test_a_lost_answer_is_reported_as_accepted() -> None:
    """Guards against a false failure, and a second application, of a push."""

    async def body(config_store: store.ConfigStore, server: Server) -> None:
        server.switches.lose_answer_count = 1
        outcome = await push(config_store, with_targets(7), 0)
        assert isinstance(outcome, core.Ok)
        assert outcome.value.already_applied
        history = await config_store.history(10)
        assert isinstance(history, core.Ok)
        assert [entry.version for entry in history.value] == [1]

    run(body)


def test_a_retried_push_applies_once() -> None:
    """Guards against a retry that conflicts with itself or applies twice."""

    async def body(config_store: store.ConfigStore, _: Server) -> None:
        first = await push(config_store, with_targets(7), 0)
        await push(config_store, with_targets(8), 1, "ben")
        again = await push(config_store, with_targets(7), 0)
        assert isinstance(first, core.Ok)
        assert isinstance(again, core.Ok)
        assert again.value.record == first.value.record
        assert again.value.already_applied
        state = await config_store.read_state()
        assert isinstance(state, core.Ok)
        assert state.value.head.version == 2

    run(body)


def test_a_push_to_a_store_that_is_down_writes_nothing() -> None:
    """Guards against a push that hangs or claims to be accepted."""

    async def body(config_store: store.ConfigStore, server: Server) -> None:
        server.switches.down = True
        outcome = await push(config_store, with_targets(7), 0)
        assert kind(outcome) is core.ErrorKind.STORE_UNAVAILABLE
        server.switches.down = False
        assert await config_store.read() == core.Ok(None)

    run(body)


def test_a_store_that_goes_down_during_a_push_tells_the_truth() -> None:
    """Guards against a false answer when the store goes down mid-push."""

    async def body(config_store: store.ConfigStore, server: Server) -> None:
        server.switches.lose_answer_count = 1
        task = asyncio.create_task(push(config_store, with_targets(7), 0))
        while server.switches.lose_answer_count:
            await asyncio.sleep(0.001)
        server.switches.down = True
        await asyncio.sleep(0.5)
        assert not task.done()
        server.switches.down = False
        outcome = await task
        assert isinstance(outcome, core.Ok)
        assert outcome.value.record.version == 1

    run(body)


def test_a_push_continues_through_another_gateway() -> None:
    """Guards against one dead gateway that stops all pushes."""

    async def body(config_store: store.ConfigStore, _: Server) -> None:
        outcome = await push(config_store, with_targets(7), 0)
        assert isinstance(outcome, core.Ok)

    run(body, dead_gateways=1)


def test_a_large_configuration_is_refused_before_the_push() -> None:
    """Guards against a value that the store cannot hold."""

    async def body(config_store: store.ConfigStore, server: Server) -> None:
        text = with_targets(7) + " " * store.MAX_VALUE_BYTES
        outcome = await push(config_store, text, 0)
        assert kind(outcome) is core.ErrorKind.CONFIG_TOO_LARGE
        assert not server.call_counts

    run(body)


def test_a_configuration_with_faults_is_refused() -> None:
    """Guards against faults that reach instances by a push without review."""

    async def body(config_store: store.ConfigStore, server: Server) -> None:
        outcome = await push(config_store, with_targets(0), 0)
        assert kind(outcome) is core.ErrorKind.BAD_CONFIG
        assert not server.call_counts

    run(body)


def test_a_service_that_is_not_draining_cannot_be_removed() -> None:
    """Guards against flows that lose their service."""
    kept = BASE.services[:1]
    padron = dataclasses.replace(BASE.services[1], draining=True)
    removed = config.render(dataclasses.replace(BASE, services=kept))
    draining = config.render(
        dataclasses.replace(BASE, services=(*kept, padron))
    )

    async def body(config_store: store.ConfigStore, _: Server) -> None:
        await push(config_store, with_targets(7), 0)
        outcome = await push(config_store, removed, 1)
        assert isinstance(outcome, core.Failure)
        assert outcome.kind is core.ErrorKind.BAD_CONFIG
        assert "padron would be removed" in outcome.message
        assert isinstance(await push(config_store, draining, 1), core.Ok)
        assert isinstance(await push(config_store, removed, 2), core.Ok)

    run(body)


def test_after_a_restore_a_push_must_start_from_what_runs() -> None:
    """Guards against accepted pushes that no instance would apply."""

    async def body(config_store: store.ConfigStore, server: Server) -> None:
        await push(config_store, with_targets(5), 0)
        server.state.save_snapshot()
        await push(config_store, with_targets(6), 1)
        await push(config_store, with_targets(7), 2)
        server.state.restore_snapshot()
        state = await config_store.read_state()
        assert isinstance(state, core.Ok)
        await config_store.raise_floor(state.value, 3)
        stale = await push(config_store, with_targets(8), 1)
        assert kind(stale) is core.ErrorKind.CONFIG_STALE
        outcome = await push(config_store, with_targets(8), 3)
        assert isinstance(outcome, core.Ok)
        assert outcome.value.record.version == 4
        assert outcome.value.replaced_version == 1

    run(body)


def test_history_is_bounded() -> None:
    """Guards against a store that fills up with old configurations."""

    async def body(config_store: store.ConfigStore, server: Server) -> None:
        for version in range(55):
            await push(config_store, with_targets(5 + version), version)
        prefix = b"fireflyford/config/version/"
        kept = [key for key in server.state.values if key.startswith(prefix)]
        assert len(kept) == 50
        newest = await config_store.history(1)
        assert isinstance(newest, core.Ok)
        entry = newest.value[0]
        assert (entry.base_version, entry.version) == (54, 55)
        assert entry.author == "ana"
        assert msgspec.json.encode(entry.changes) == (
            b'["~ services.tahian.target_count: 58 -> 59"]'
        )

    run(body)


async def _break_store(server: Server, rng: random.Random) -> None:
    """Switches faults on and off until cancelled."""
    switches = server.switches
    while True:
        switches.down = rng.random() < 0.3
        switches.lose_answer_count = rng.choice((0, 0, 1, 2))
        switches.slow_ms = rng.choice((0, 0, 5, 400))
        await asyncio.sleep(rng.uniform(0.01, 0.05))


async def _operate(
    config_store: store.ConfigStore, author: str, rng: random.Random
) -> list[tuple[str, core.Outcome[store.AcceptedPush]]]:
    """Pushes from the version that this operator believes to be in force."""
    reports: list[tuple[str, core.Outcome[store.AcceptedPush]]] = []
    while len(reports) < 6:
        state = await config_store.read_state()
        if isinstance(state, core.Failure):
            continue
        base = state.value.head.version
        request = store.Push(with_targets(rng.randint(1, 99)), base, author)
        for _ in range(rng.choice((1, 2))):
            outcome = await config_store.push(request)
            reports.append((request.identity, outcome))
    return reports


@pytest.mark.parametrize("seed", range(3))
def test_reports_match_the_audit_trail(seed: int) -> None:
    """Guards against reports that random faults and races make false."""
    rng = random.Random(seed)

    async def body(config_store: store.ConfigStore, server: Server) -> None:
        breaker = asyncio.create_task(_break_store(server, rng))
        reports = await asyncio.gather(
            *(
                _operate(config_store, author, random.Random(f"{seed}{author}"))
                for author in ("ana", "ben", "cho")
            )
        )
        breaker.cancel()
        server.switches = _store_server.FaultSwitches()
        history = await config_store.history(100)
        assert isinstance(history, core.Ok)
        trail = [entry.identity for entry in reversed(history.value)]
        versions = [entry.version for entry in reversed(history.value)]
        assert versions == list(range(1, len(trail) + 1))
        assert len(set(trail)) == len(trail)
        all_reports = [item for part in reports for item in part]
        assert any(isinstance(item, core.Ok) for _, item in all_reports)
        for identity, outcome in all_reports:
            if isinstance(outcome, core.Ok):
                assert trail[outcome.value.record.version - 1] == identity
            elif outcome.kind is core.ErrorKind.CONFIG_CONFLICT:
                assert identity not in trail
        certain = core.ErrorKind.STORE_UNAVAILABLE
        for identity in {item for item, _ in all_reports}:
            outcomes = [out for item, out in all_reports if item == identity]
            if all(kind(outcome) is certain for outcome in outcomes):
                assert identity not in trail

    run(body)
