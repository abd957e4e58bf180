"""Store client and registry against a simulated store."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import json
import random
import socket

import msgspec
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


def run_with_store(
    body: Callable[[Server, _store.PlatformStore], Awaitable[None]],
) -> None:
    async def run_body() -> None:
        server = Server(free_address())
        server.start()
        try:
            await body(server, _store.PlatformStore(server.address))
        finally:
            server.stop()

    asyncio.run(run_body())


def value_of(outcome: core.Outcome[store.ReadResult], key: str) -> bytes | None:
    assert isinstance(outcome, core.Ok)
    return outcome.value.get(key)


def test_read_returns_all_pages() -> None:
    """Guards against reads that miss entries beyond the first page."""

    async def body(server: Server, client: _store.PlatformStore) -> None:
        for index in range(5):
            server.state.put(f"a/{index}", b"%d" % index)
        server.state.put("b/0", b"other")
        outcome = await client.read("a/")
        assert isinstance(outcome, core.Ok)
        values = [entry.value for entry in outcome.value.entries]
        assert values == [b"0", b"1", b"2", b"3", b"4"]

    run_with_store(body)


def test_commit_with_failed_precondition_is_not_applied() -> None:
    """Guards against overwriting the change of another writer."""

    async def body(server: Server, client: _store.PlatformStore) -> None:
        none = store.Precondition("a", None)
        first = await client.commit([none], [store.Write("a", b"1")])
        second = await client.commit([none], [store.Write("a", b"2")])
        assert isinstance(first, core.Ok)
        assert isinstance(second, core.Ok)
        assert first.value.applied
        assert not second.value.applied
        assert server.state.items["a"].value == b"1"

    run_with_store(body)


def test_commit_without_response_has_unknown_outcome() -> None:
    """Guards against an applied write reported as not applied."""

    async def body(server: Server, client: _store.PlatformStore) -> None:
        server.state.unanswered_write_count = 1
        outcome = await client.commit([], [store.Write("a", b"1")])
        assert isinstance(outcome, core.Failure)
        assert outcome.kind is core.ErrorKind.STORE_OUTCOME_UNKNOWN
        assert value_of(await client.read("a"), "a") == b"1"

    run_with_store(body)


def test_rejected_commit_has_known_outcome() -> None:
    """Guards against an unknown outcome of a call that the store rejected."""

    async def body(server: Server, client: _store.PlatformStore) -> None:
        server.state.refusal_status = 503
        outcome = await client.commit([], [store.Write("a", b"1")])
        assert isinstance(outcome, core.Failure)
        assert outcome.kind is core.ErrorKind.STORE_UNAVAILABLE
        reading = await client.read("a")
        assert isinstance(reading, core.Failure)

    run_with_store(body)


def test_watch_returns_writes_and_deletions() -> None:
    """Guards against entries that are kept after their deletion."""

    async def body(server: Server, client: _store.PlatformStore) -> None:
        start = server.state.revision
        server.state.put("a/1", b"1")
        server.state.put("a/2", b"2")
        server.state.delete("a/1")
        async for change in client.watch("a/", start + 1, 1_000):
            assert isinstance(change, core.Ok)
            assert [item.key for item in change.value.entries] == ["a/2"]
            assert change.value.deleted == ("a/1",)

    run_with_store(body)


def test_watch_fails_if_history_is_compacted() -> None:
    """Guards against a watch that skips changes without an error."""

    async def body(server: Server, client: _store.PlatformStore) -> None:
        start = server.state.revision
        server.state.put("a/1", b"1")
        server.state.put("a/2", b"2")
        server.state.compact_history()
        async for change in client.watch("a/", start + 1, 200):
            assert isinstance(change, core.Failure)

    run_with_store(body)


def make_registry(
    client: _store.PlatformStore,
    on_loaded: Callable[[flows.Instance | None], None] = lambda _: None,
    incarnation: int = 1,
    on_discovered: Callable[[list[flows.Instance]], None] = lambda _: None,
) -> tuple[flows.Instance, flows.Fleet, _registry.Registry]:
    clock = core.SystemClock()
    instance = flows.Instance(
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
        instance,
        fleet,
        _registry.Registry(
            client, clock, rng, instance, fleet, on_loaded, on_discovered
        ),
    )


@contextlib.asynccontextmanager
async def running(registry: _registry.Registry) -> AsyncIterator[None]:
    """Publishes the entry and follows the registry within the context."""
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


def test_deleted_entry_is_rewritten_after_outage() -> None:
    """Guards against an instance without an entry after an outage.

    The store deletes the key without ending the lease, and the deletion is not
    reported. The entry must be back within two seconds of the recovery.
    """

    async def body(server: Server, client: _store.PlatformStore) -> None:
        instance, fleet, registry = make_registry(client)
        key = f"{_registry.PREFIX}{instance.address}"
        items = server.state.items
        async with running(registry):
            await wait_for_entry(server, key)
            assert await _platform_store.wait_until(
                lambda: instance.address in fleet
            )
            server.state.refusal_status = 503
            server.state.delete(key)
            await asyncio.sleep(1)
            server.state.refusal_status = 0
            assert await _platform_store.wait_until(lambda: key in items, 2_000)

    run_with_store(body)


def test_process_started_in_an_outage_joins_soon_after_it() -> None:
    """Guards against a first read that is repeated too late.

    The entry must be there within two seconds of the recovery.
    """

    async def body(server: Server, client: _store.PlatformStore) -> None:
        instance, _, registry = make_registry(client)
        server.state.refusal_status = 503
        async with running(registry):
            await asyncio.sleep(4)
            server.state.refusal_status = 0
            key = f"{_registry.PREFIX}{instance.address}"
            assert await _platform_store.wait_until(
                lambda: key in server.state.items, 2_000
            )

    run_with_store(body)


def test_instances_started_together_discover_each_other() -> None:
    """Guards against instances that discover each other too late.

    Each reads the registry before the other has written its entry. The limit
    is the time that the process tests wait before they open the first flow.
    """

    async def body(server: Server, client: _store.PlatformStore) -> None:
        discovered: list[flows.Instance] = []
        _, _, registry = make_registry(client, on_discovered=discovered.extend)
        following = asyncio.create_task(registry.follower.run())
        try:
            assert await _platform_store.wait_until(
                lambda: registry.follower.last_response_ms is not None
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
                    lambda expected=other: expected in discovered, 600
                )
        finally:
            following.cancel()

    run_with_store(body)


def test_withdrawn_entry_is_not_rewritten() -> None:
    """Guards against a pending change that restores a withdrawn entry."""

    async def body(server: Server, client: _store.PlatformStore) -> None:
        instance, _, registry = make_registry(client)
        key = f"{_registry.PREFIX}{instance.address}"
        async with running(registry):
            await wait_for_entry(server, key)
        await registry.withdraw(1_000)
        await asyncio.sleep(0.3)
        assert key not in server.state.items

    run_with_store(body)


def test_withdrawal_is_retried_until_store_recovers() -> None:
    """Guards against stale entries of instances that left in an outage."""

    async def body(server: Server, client: _store.PlatformStore) -> None:
        instance, _, registry = make_registry(client)
        key = f"{_registry.PREFIX}{instance.address}"
        async with running(registry):
            await wait_for_entry(server, key)
        server.state.refusal_status = 503
        leaving = asyncio.create_task(registry.withdraw(3_000))
        await asyncio.sleep(0.5)
        server.state.refusal_status = 0
        await leaving
        assert key not in server.state.items

    run_with_store(body)


def test_withdrawal_stops_at_time_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a process that exceeds its grace period in an outage.

    A call without a response takes longer than the limit.
    """

    async def respond_late(lease_id: int) -> core.Outcome[None]:
        del lease_id
        await asyncio.sleep(_store.TIMEOUT_MS / 1_000)
        return core.Ok(None)

    async def body(server: Server, client: _store.PlatformStore) -> None:
        instance, _, registry = make_registry(client)
        key = f"{_registry.PREFIX}{instance.address}"
        async with running(registry):
            await wait_for_entry(server, key)
        monkeypatch.setattr(client, "revoke_lease", respond_late)
        started_ms = core.SystemClock().now_ms()
        await registry.withdraw(300)
        assert core.SystemClock().now_ms() - started_ms < 1_000

    run_with_store(body)


def test_restarted_agent_reads_drain_state_before_writing() -> None:
    """Guards against a drain that is lost when the agent restarts."""

    async def body(server: Server, client: _store.PlatformStore) -> None:
        instance, _, registry = make_registry(client)
        previous_entries: list[flows.Instance | None] = []
        _, _, restarted_registry = make_registry(
            client, previous_entries.append, 2
        )
        items = server.state.items
        key = f"{_registry.PREFIX}{instance.address}"
        async with running(registry):
            await wait_for_entry(server, key)
            first_value = items[key].value
            registry.update(dataclasses.replace(instance, is_draining=True))
            assert await _platform_store.wait_until(
                lambda: items[key].value != first_value
            )
        async with running(restarted_registry):
            assert await _platform_store.wait_until(
                lambda: bool(previous_entries)
            )
        assert previous_entries[0] is not None
        assert previous_entries[0].is_draining

    run_with_store(body)


ODD_VALUES = [
    b"[" * 100_000,
    b'{"a":' * 100_000,
    b"\xff\xfe",
    b"",
    b'["x","agent","board","a","10.0.0.9:7000",1e40,false]',
    b'["x","agent","board","a","10.0.0.9:7000",' + b"9" * 30 + b",false]",
    b'["x","agent","board","a","10.0.0.9:0",1,false]',
    b'["x","agent","board","a","10.0.0.9:70000",1,false]',
    b'["x","agent","board","a","255.255.255.255:7000",1,false]',
    # The address of another key.
    b'["x","agent","board","a","10.0.0.2:7000",99,false]',
]


@pytest.mark.parametrize("odd_value", ODD_VALUES, ids=lambda item: item[:24])
def test_odd_entry_leaves_other_entries_in_force(odd_value: bytes) -> None:
    """Guards against a view that no longer follows the registry.

    Another writer leaves an odd entry among the others, rewrites and removes
    it; entries that are written afterwards must still be found.
    """

    async def body(server: Server, client: _store.PlatformStore) -> None:
        _, fleet, registry = make_registry(client)
        odd_key = f"{_registry.PREFIX}10.0.0.9:7000"

        async def add(index: int) -> None:
            other = flows.Instance(
                f"agent-{index}",
                core.Role.AGENT,
                "board",
                "a",
                core.Address(f"10.0.0.{index}", 7_000),
                1,
            )
            value = json.dumps(_link_codec.pack_instance(other)).encode()
            server.state.put(f"{_registry.PREFIX}{other.address}", value)

            def is_found() -> bool:
                # The pause between watches is not what this test is about.
                registry.follower.resume()
                return fleet.find(other.address) == other

            assert await _platform_store.wait_until(is_found)

        server.state.put(odd_key, odd_value)
        server.state.put(f"{_registry.PREFIX}not-an-address", odd_value)
        async with running(registry):
            await add(2)
            server.state.put(odd_key, odd_value + b" ")
            await add(3)
            server.state.delete(odd_key)
            server.state.delete(f"{_registry.PREFIX}not-an-address")
            await add(4)
        assert core.Address("10.0.0.9", 7_000) not in fleet

    run_with_store(body)


def test_entry_overwritten_by_another_writer_is_restored() -> None:
    """Guards against an instance whose entry stays damaged."""

    async def body(server: Server, client: _store.PlatformStore) -> None:
        instance, _, registry = make_registry(client)
        key = f"{_registry.PREFIX}{instance.address}"
        items = server.state.items
        async with running(registry):
            await wait_for_entry(server, key)
            value = items[key].value
            await asyncio.sleep(0.2)
            server.state.put(key, b"[" * 10_000)
            assert await _platform_store.wait_until(
                lambda: items[key].value == value, 4_000
            )

    run_with_store(body)


def test_item_that_cannot_be_decoded_is_left_out() -> None:
    """Guards against one item that makes the whole answer unreadable."""
    good = msgspec.Raw(b'{"key":"a","value":"Yg==","revision":3}')
    odd = [
        msgspec.Raw(b'{"key":7}'),
        msgspec.Raw(b'{"key":"b","value":"%%%"}'),
        msgspec.Raw(b'{"key":"c","revision":"x"}'),
        msgspec.Raw(b'{"key":"d","more":' + b"[" * 100_000),
    ]
    items = _store._decode_items([odd[0], good, *odd[1:]])
    assert [(item.key, item.value) for item in items] == [("a", b"b")]
