"""Tests of configuration pushes under all faults of the fake store."""

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


def config_text(count: int) -> str:
    services = (
        dataclasses.replace(BASE.services[0], target_count=count),
        *BASE.services[1:],
    )
    return config.render(dataclasses.replace(BASE, services=services))


def run_with_store(
    body: Callable[[store.ConfigStore, Server], Awaitable[None]],
    unreachable_gateway_count: int = 0,
) -> None:
    async def run_body() -> None:
        server = Server()
        address = _ports.free_address()
        server.listen(address)
        unreachable = [
            _ports.free_address() for _ in range(unreachable_gateway_count)
        ]
        client = store.EtcdStore([*unreachable, address], timeout_ms=300)
        try:
            await body(store.ConfigStore(client, core.SystemClock()), server)
        finally:
            server.stop()

    asyncio.run(run_body())


async def push(
    config_store: store.ConfigStore, text: str, base: int, author: str = "ana"
) -> core.Outcome[store.AcceptedPush]:
    return await config_store.push(store.Push(text, base, author))


def error_kind(
    outcome: core.Outcome[store.AcceptedPush],
) -> core.ErrorKind | None:
    return outcome.kind if isinstance(outcome, core.Failure) else None


def test_only_one_of_two_concurrent_pushes_succeeds() -> None:
    """Guards against lost updates, and conflicts that name no author."""

    async def body(config_store: store.ConfigStore, _: Server) -> None:
        await push(config_store, config_text(7), 0)
        outcomes = await asyncio.gather(
            push(config_store, config_text(8), 1, "ana"),
            push(config_store, config_text(9), 1, "ben"),
        )
        rejected = [item for item in outcomes if isinstance(item, core.Failure)]
        assert [item.kind for item in rejected] == [
            core.ErrorKind.CONFIG_CONFLICT
        ]
        accepted = next(item for item in outcomes if isinstance(item, core.Ok))
        assert f"{accepted.value.record.author} pushed version 2" in (
            rejected[0].message
        )
        assert "services.tahian.target_count: 7 -> " in rejected[0].message
        current = await config_store.read()
        assert current == core.Ok(accepted.value.record)

    run_with_store(body)


def test_push_with_lost_response_is_reported_as_applied() -> None:
    """Guards against a false failure or a second write of a push."""

    async def body(config_store: store.ConfigStore, server: Server) -> None:
        server.switches.lose_answer_count = 1
        outcome = await push(config_store, config_text(7), 0)
        assert isinstance(outcome, core.Ok)
        assert outcome.value.already_applied
        history = await config_store.history(10)
        assert isinstance(history, core.Ok)
        assert [entry.version for entry in history.value] == [1]

    run_with_store(body)


def test_retried_push_is_applied_once() -> None:
    """Guards against retries that conflict with themselves or write twice."""

    async def body(config_store: store.ConfigStore, _: Server) -> None:
        first = await push(config_store, config_text(7), 0)
        await push(config_store, config_text(8), 1, "ben")
        retried = await push(config_store, config_text(7), 0)
        assert isinstance(first, core.Ok)
        assert isinstance(retried, core.Ok)
        assert retried.value.record == first.value.record
        assert retried.value.already_applied
        state = await config_store.read_state()
        assert isinstance(state, core.Ok)
        assert state.value.head.version == 2

    run_with_store(body)


def test_push_to_unavailable_store_writes_nothing() -> None:
    """Guards against a push that hangs or reports a false success."""

    async def body(config_store: store.ConfigStore, server: Server) -> None:
        server.switches.down = True
        outcome = await push(config_store, config_text(7), 0)
        assert error_kind(outcome) is core.ErrorKind.STORE_UNAVAILABLE
        server.switches.down = False
        assert await config_store.read() == core.Ok(None)

    run_with_store(body)


def test_push_outcome_is_resolved_after_store_outage() -> None:
    """Guards against a false result if the store fails during a push."""

    async def body(config_store: store.ConfigStore, server: Server) -> None:
        server.switches.lose_answer_count = 1
        task = asyncio.create_task(push(config_store, config_text(7), 0))
        while server.switches.lose_answer_count:
            await asyncio.sleep(0.001)
        server.switches.down = True
        await asyncio.sleep(0.5)
        assert not task.done()
        server.switches.down = False
        outcome = await task
        assert isinstance(outcome, core.Ok)
        assert outcome.value.record.version == 1

    run_with_store(body)


def test_push_fails_over_to_another_gateway() -> None:
    """Guards against one unreachable gateway that blocks all pushes."""

    async def body(config_store: store.ConfigStore, _: Server) -> None:
        outcome = await push(config_store, config_text(7), 0)
        assert isinstance(outcome, core.Ok)

    run_with_store(body, unreachable_gateway_count=1)


def test_too_large_configuration_is_rejected_before_push() -> None:
    """Guards against values above the store's size limit."""

    async def body(config_store: store.ConfigStore, server: Server) -> None:
        text = config_text(7) + " " * store.MAX_VALUE_BYTES
        outcome = await push(config_store, text, 0)
        assert error_kind(outcome) is core.ErrorKind.CONFIG_TOO_LARGE
        assert not server.call_counts

    run_with_store(body)


def test_invalid_configuration_is_rejected() -> None:
    """Guards against invalid configurations pushed without a prior check."""

    async def body(config_store: store.ConfigStore, server: Server) -> None:
        outcome = await push(config_store, config_text(0), 0)
        assert error_kind(outcome) is core.ErrorKind.BAD_CONFIG
        assert not server.call_counts

    run_with_store(body)


def test_only_draining_services_can_be_removed() -> None:
    """Guards against the removal of a service that still has flows."""
    kept = BASE.services[:1]
    padron = dataclasses.replace(BASE.services[1], draining=True)
    removed = config.render(dataclasses.replace(BASE, services=kept))
    draining = config.render(
        dataclasses.replace(BASE, services=(*kept, padron))
    )

    async def body(config_store: store.ConfigStore, _: Server) -> None:
        await push(config_store, config_text(7), 0)
        outcome = await push(config_store, removed, 1)
        assert isinstance(outcome, core.Failure)
        assert outcome.kind is core.ErrorKind.BAD_CONFIG
        assert "padron would be removed" in outcome.message
        assert isinstance(await push(config_store, draining, 1), core.Ok)
        assert isinstance(await push(config_store, removed, 2), core.Ok)

    run_with_store(body)


def test_push_after_restore_requires_base_in_force() -> None:
    """Guards against accepted pushes that no instance would apply."""

    async def body(config_store: store.ConfigStore, server: Server) -> None:
        await push(config_store, config_text(5), 0)
        server.state.save_snapshot()
        await push(config_store, config_text(6), 1)
        await push(config_store, config_text(7), 2)
        server.state.restore_snapshot()
        state = await config_store.read_state()
        assert isinstance(state, core.Ok)
        await config_store.raise_floor(state.value, 3)
        stale = await push(config_store, config_text(8), 1)
        assert error_kind(stale) is core.ErrorKind.CONFIG_STALE
        outcome = await push(config_store, config_text(8), 3)
        assert isinstance(outcome, core.Ok)
        assert outcome.value.record.version == 4
        assert outcome.value.replaced_version == 1

    run_with_store(body)


def test_history_is_bounded() -> None:
    """Guards against unbounded growth by old configurations."""

    async def body(config_store: store.ConfigStore, server: Server) -> None:
        for version in range(55):
            await push(config_store, config_text(5 + version), version)
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

    run_with_store(body)


async def _inject_faults(server: Server, rng: random.Random) -> None:
    """Toggles store faults randomly until cancelled."""
    switches = server.switches
    while True:
        switches.down = rng.random() < 0.3
        switches.lose_answer_count = rng.choice((0, 0, 1, 2))
        switches.slow_ms = rng.choice((0, 0, 5, 400))
        await asyncio.sleep(rng.uniform(0.01, 0.05))


async def _push_repeatedly(
    config_store: store.ConfigStore, author: str, rng: random.Random
) -> list[tuple[str, core.Outcome[store.AcceptedPush]]]:
    """Pushes changes based on the latest version that was read."""
    results: list[tuple[str, core.Outcome[store.AcceptedPush]]] = []
    while len(results) < 6:
        state = await config_store.read_state()
        if isinstance(state, core.Failure):
            continue
        base = state.value.head.version
        request = store.Push(config_text(rng.randint(1, 99)), base, author)
        for _ in range(rng.choice((1, 2))):
            outcome = await config_store.push(request)
            results.append((request.identity, outcome))
    return results


@pytest.mark.parametrize("seed", range(3))
def test_push_results_match_audit_trail(seed: int) -> None:
    """Guards against false results under random faults and races."""
    rng = random.Random(seed)

    async def body(config_store: store.ConfigStore, server: Server) -> None:
        fault_task = asyncio.create_task(_inject_faults(server, rng))
        results = await asyncio.gather(
            *(
                _push_repeatedly(
                    config_store, author, random.Random(f"{seed}{author}")
                )
                for author in ("ana", "ben", "cho")
            )
        )
        fault_task.cancel()
        server.switches = _store_server.FaultSwitches()
        history = await config_store.history(100)
        assert isinstance(history, core.Ok)
        audited = [entry.identity for entry in reversed(history.value)]
        versions = [entry.version for entry in reversed(history.value)]
        assert versions == list(range(1, len(audited) + 1))
        assert len(set(audited)) == len(audited)
        all_results = [item for part in results for item in part]
        assert any(isinstance(item, core.Ok) for _, item in all_results)
        for identity, outcome in all_results:
            if isinstance(outcome, core.Ok):
                assert audited[outcome.value.record.version - 1] == identity
            elif outcome.kind is core.ErrorKind.CONFIG_CONFLICT:
                assert identity not in audited
        not_written = core.ErrorKind.STORE_UNAVAILABLE
        for identity in {item for item, _ in all_results}:
            outcomes = [out for item, out in all_results if item == identity]
            if all(error_kind(outcome) is not_written for outcome in outcomes):
                assert identity not in audited

    run_with_store(body)
