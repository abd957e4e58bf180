"""The client of the platform's store, against the stand-in."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import json
import random
import socket

import pytest

from fireflyford import core
from fireflyford import flows
from fireflyford import store
from fireflyford.lab import _platform_store
from fireflyford.platform import _store
from fireflyford.runtime import _link_codec
from fireflyford.runtime import _registry

Server = _platform_store.PlatformStoreServer


def free_address() -> core.Address:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return core.Address("127.0.0.1", probe.getsockname()[1])


def play(
    work: Callable[[Server, _store.PlatformStore], Awaitable[None]],
) -> None:
    async def main() -> None:
        server = Server(free_address())
        server.start()
        try:
            await work(server, _store.PlatformStore(server.address))
        finally:
            server.stop()

    asyncio.run(main())


def value_of(outcome: core.Outcome[store.ReadResult], key: str) -> bytes | None:
    assert isinstance(outcome, core.Ok)
    return outcome.value.get(key)


def test_reads_all_pages() -> None:
    """Guards against entries beyond the first page that stay unseen."""

    async def work(server: Server, client: _store.PlatformStore) -> None:
        for index in range(5):
            server.state.put(f"a/{index}", b"%d" % index)
        server.state.put("b/0", b"other")
        outcome = await client.read("a/")
        assert isinstance(outcome, core.Ok)
        values = [entry.value for entry in outcome.value.entries]
        assert values == [b"0", b"1", b"2", b"3", b"4"]

    play(work)


def test_a_commit_holds_its_expectations() -> None:
    """Guards against writes over another writer's change."""

    async def work(server: Server, client: _store.PlatformStore) -> None:
        none = store.Precondition("a", None)
        first = await client.commit([none], [store.Write("a", b"1")])
        second = await client.commit([none], [store.Write("a", b"2")])
        assert isinstance(first, core.Ok)
        assert isinstance(second, core.Ok)
        assert first.value.applied
        assert not second.value.applied
        assert server.state.items["a"].value == b"1"

    play(work)


def test_a_lost_answer_is_not_taken_for_a_failure() -> None:
    """Guards against "not done" said of a write that was done."""

    async def work(server: Server, client: _store.PlatformStore) -> None:
        server.state.unanswered_write_count = 1
        outcome = await client.commit([], [store.Write("a", b"1")])
        assert isinstance(outcome, core.Failure)
        assert outcome.kind is core.ErrorKind.STORE_OUTCOME_UNKNOWN
        assert value_of(await client.read("a"), "a") == b"1"

    play(work)


def test_a_refusal_is_certain() -> None:
    """Guards against doubt about a call that the store refused."""

    async def work(server: Server, client: _store.PlatformStore) -> None:
        server.state.refusal_status = 503
        outcome = await client.commit([], [store.Write("a", b"1")])
        assert isinstance(outcome, core.Failure)
        assert outcome.kind is core.ErrorKind.STORE_UNAVAILABLE
        reading = await client.read("a")
        assert isinstance(reading, core.Failure)

    play(work)


def test_a_watch_tells_writes_and_deletions() -> None:
    """Guards against entries that stay after their deletion."""

    async def work(server: Server, client: _store.PlatformStore) -> None:
        start = server.state.revision
        server.state.put("a/1", b"1")
        server.state.put("a/2", b"2")
        server.state.delete("a/1")
        async for change in client.watch("a/", start + 1, 1_000):
            assert isinstance(change, core.Ok)
            assert [item.key for item in change.value.entries] == ["a/2"]
            assert change.value.deleted == ("a/1",)

    play(work)


def test_a_watch_fails_when_history_is_gone() -> None:
    """Guards against a watch that goes on over a gap."""

    async def work(server: Server, client: _store.PlatformStore) -> None:
        start = server.state.revision
        server.state.put("a/1", b"1")
        server.state.put("a/2", b"2")
        server.state.compact_history()
        async for change in client.watch("a/", start + 1, 200):
            assert isinstance(change, core.Failure)

    play(work)


def make_registry(
    client: _store.PlatformStore,
    joined: Callable[[flows.Instance | None], None] = lambda _: None,
    incarnation: int = 1,
    found: Callable[[list[flows.Instance]], None] = lambda _: None,
) -> tuple[flows.Instance, flows.Fleet, _registry.Registry]:
    clock = core.SystemClock()
    own = flows.Instance(
        "agent-1",
        core.Role.AGENT,
        "board",
        "a",
        core.Address("10.0.0.1", 7_000),
        incarnation,
    )
    fleet = flows.Fleet(clock)
    rng = random.Random(1)
    return (
        own,
        fleet,
        _registry.Registry(client, clock, rng, own, fleet, joined, found),
    )


@contextlib.asynccontextmanager
async def running(registry: _registry.Registry) -> AsyncIterator[None]:
    """Publishes and follows the registry meanwhile."""
    tasks = [
        asyncio.create_task(registry.publish()),
        asyncio.create_task(registry.follower.run()),
    ]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()


async def wait_for_entry(server: Server, key: str) -> None:
    items = server.state.items
    assert await _platform_store.wait_until(lambda: key in items)


def test_an_entry_is_back_after_it_was_taken_away() -> None:
    """Guards against an instance that stays unseen after an outage.

    The store takes the key away without ending the lease, and says nothing.
    The bound is the two seconds that the store's users promise.
    """

    async def work(server: Server, client: _store.PlatformStore) -> None:
        own, fleet, registry = make_registry(client)
        key = f"{_registry.PREFIX}{own.address}"
        items = server.state.items
        async with running(registry):
            await wait_for_entry(server, key)
            assert await _platform_store.wait_until(
                lambda: own.address in fleet
            )
            server.state.refusal_status = 503
            server.state.delete(key)
            await asyncio.sleep(1)
            server.state.refusal_status = 0
            assert await _platform_store.wait_until(lambda: key in items, 2_000)

    play(work)


def test_instances_that_start_together_find_each_other() -> None:
    """Guards against a pair of which neither knows the other for long.

    Each reads the registry before the other has written its entry; the bound
    is the time that the processes of a test wait before the first flow.
    """

    async def work(server: Server, client: _store.PlatformStore) -> None:
        met: list[flows.Instance] = []
        _, _, registry = make_registry(client, found=met.extend)
        following = asyncio.create_task(registry.follower.run())
        try:
            assert await _platform_store.wait_until(
                lambda: registry.follower.heard_ms is not None
            )
            others = [
                flows.Instance(
                    f"agent-{index}",
                    core.Role.AGENT,
                    "board",
                    "a",
                    core.Address(f"10.0.0.{index}", 7_000),
                    1,
                )
                for index in (2, 3)
            ]
            for other in others:
                value = json.dumps(_link_codec.pack_instance(other)).encode()
                server.state.put(f"{_registry.PREFIX}{other.address}", value)
                assert await _platform_store.wait_until(
                    lambda sought=other: sought in met, 600
                )
        finally:
            following.cancel()

    play(work)


def test_a_withdrawn_entry_stays_away() -> None:
    """Guards against an entry that a change writes again at the end."""

    async def work(server: Server, client: _store.PlatformStore) -> None:
        own, _, registry = make_registry(client)
        key = f"{_registry.PREFIX}{own.address}"
        async with running(registry):
            await wait_for_entry(server, key)
        await registry.withdraw(1_000)
        await asyncio.sleep(0.3)
        assert key not in server.state.items

    play(work)


def test_a_withdrawal_waits_for_the_store() -> None:
    """Guards against entries of instances that left during an outage."""

    async def work(server: Server, client: _store.PlatformStore) -> None:
        own, _, registry = make_registry(client)
        key = f"{_registry.PREFIX}{own.address}"
        async with running(registry):
            await wait_for_entry(server, key)
        server.state.refusal_status = 503
        leaving = asyncio.create_task(registry.withdraw(3_000))
        await asyncio.sleep(0.5)
        server.state.refusal_status = 0
        await leaving
        assert key not in server.state.items

    play(work)


def test_a_withdrawal_ends_with_its_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a process that outlasts its grace while the store is away.

    A call to a store that does not answer takes longer than the limit.
    """

    async def wait_in_vain(lease_id: int) -> core.Outcome[None]:
        del lease_id
        await asyncio.sleep(_store.TIMEOUT_MS / 1_000)
        return core.Ok(None)

    async def work(server: Server, client: _store.PlatformStore) -> None:
        own, _, registry = make_registry(client)
        key = f"{_registry.PREFIX}{own.address}"
        async with running(registry):
            await wait_for_entry(server, key)
        monkeypatch.setattr(client, "revoke_lease", wait_in_vain)
        started_ms = core.SystemClock().now_ms()
        await registry.withdraw(300)
        assert core.SystemClock().now_ms() - started_ms < 1_000

    play(work)


def test_a_restarted_agent_reads_the_drain_mark_before_it_writes() -> None:
    """Guards against a drain that a restart of the agent forgets."""

    async def work(server: Server, client: _store.PlatformStore) -> None:
        own, _, registry = make_registry(client)
        found: list[flows.Instance | None] = []
        _, _, later = make_registry(client, found.append, 2)
        items = server.state.items
        key = f"{_registry.PREFIX}{own.address}"
        async with running(registry):
            await wait_for_entry(server, key)
            first_value = items[key].value
            registry.change(dataclasses.replace(own, is_draining=True))
            assert await _platform_store.wait_until(
                lambda: items[key].value != first_value
            )
        async with running(later):
            assert await _platform_store.wait_until(lambda: bool(found))
        assert found[0] is not None
        assert found[0].is_draining

    play(work)
