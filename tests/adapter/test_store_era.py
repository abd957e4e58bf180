"""Restore of the store from a copy, at the boundaries where it may happen."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import random
import socket

import pytest

from fireflyford import core
from fireflyford import flows
from fireflyford import store
from fireflyford.lab import _platform_store
from fireflyford.platform import _config
from fireflyford.platform import _store
from fireflyford.runtime import _config_source
from fireflyford.runtime import _heartbeats
from fireflyford.runtime import _link_codec
from fireflyford.runtime import _prefix_follower
from fireflyford.runtime import _registry

Server = _platform_store.PlatformStoreServer
# Until when an entry has to be back: a renewal shows the era, the write is
# spread over 0.5 s.
REWRITE_LIMIT_MS = 3_500
CONFIG_KEY = "op/config"


def run_with_store(body: Callable[[Server], Awaitable[None]]) -> None:
    async def run_body() -> None:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            address = core.Address("127.0.0.1", probe.getsockname()[1])
        server = Server(address)
        server.start()
        try:
            await body(server)
        finally:
            server.stop()

    asyncio.run(run_body())


def make_instance(index: int, incarnation: int = 1) -> flows.Instance:
    return flows.Instance(
        f"agent-{index}",
        core.Role.AGENT,
        "board",
        "a",
        core.Address(f"10.0.0.{index}", 7_000),
        incarnation,
    )


def key_of(instance: flows.Instance) -> str:
    return f"{_registry.PREFIX}{instance.address}"


def put_entry(server: Server, instance: flows.Instance) -> None:
    value = json.dumps(_link_codec.pack_instance(instance)).encode()
    server.state.put(key_of(instance), value)


class Member:
    """An instance with its own client of the store."""

    def __init__(self, server: Server, instance: flows.Instance) -> None:
        """Starts to publish the entry and to follow the registry."""
        clock = core.SystemClock()
        self.instance = instance
        self.key = key_of(instance)
        self.client = _store.PlatformStore(server.address)
        self.fleet = flows.Fleet(clock)
        self.previous: list[flows.Instance | None] = []
        self.registry = _registry.Registry(
            self.client,
            clock,
            random.Random(1),
            instance,
            self.fleet,
            self.previous.append,
            lambda _: None,
        )
        work = (self.registry.publish(), self.registry.follower.run())
        self.tasks = [asyncio.create_task(item) for item in work]

    def stop(self) -> None:
        """Ends without withdrawing the entry."""
        for task in self.tasks:
            task.cancel()


async def wait_for_join(server: Server, member: Member) -> None:
    assert await _platform_store.wait_until(
        lambda: (
            member.key in server.state.items
            and member.instance.address in member.fleet
        )
    )


def test_restore_during_a_watch_brings_entries_back() -> None:
    """Guards against a registry that follows a history that is gone.

    The copy lacks the entries of both instances. Each learns of the era from
    a renewal of its lease while its watch waits or pauses.
    """

    async def body(server: Server) -> None:
        copy = server.state.save_copy()
        members = [Member(server, make_instance(index)) for index in (1, 2)]
        for member in members:
            await wait_for_join(server, member)
        assert await _platform_store.wait_until(
            lambda: members[1].instance.address in members[0].fleet
        )
        server.state.restore(copy)
        for member in members:
            assert await _platform_store.wait_until(
                lambda key=member.key: key in server.state.items,
                REWRITE_LIMIT_MS,
            )
        for member in members:
            follower = member.registry.follower
            assert await _platform_store.wait_until(
                lambda item=follower: item.restore_count == 1
            )
            assert len(member.fleet.instances()) == 2
            member.stop()

    run_with_store(body)


class Reads(_prefix_follower.PrefixListener):
    """Counts full reads."""

    def __init__(self) -> None:
        """Starts at 0."""
        self.count = 0

    def handle_full_read(self, result: store.ReadResult) -> None:
        """Counts a read."""
        del result
        self.count += 1

    def handle_changes(self, result: store.ReadResult) -> None:
        """Fails: the history that the watch waits for is gone."""
        raise AssertionError(result)


def test_renewal_ends_a_watch_of_an_earlier_era() -> None:
    """Guards against a watch that waits for changes that were undone.

    The revision of the watch exists in the copy, so that the store reports no
    missing history.
    """

    async def body(server: Server) -> None:
        client, reads = _store.PlatformStore(server.address), Reads()
        follower = _prefix_follower.PrefixFollower(
            client, core.SystemClock(), random.Random(1), CONFIG_KEY, reads
        )
        task = asyncio.create_task(follower.run())
        assert await _platform_store.wait_until(
            lambda: "GET /kv-watch" in server.state.calls
        )
        server.state.restore(server.state.save_copy())
        assert isinstance(await client.renew_lease(1), core.Ok)
        assert await _platform_store.wait_until(lambda: reads.count == 2, 1_000)
        assert follower.restore_count == 1
        task.cancel()

    run_with_store(body)


def test_known_instance_is_retained_for_one_lease() -> None:
    """Guards against instances that vanish because the copy lacks them."""

    async def body(server: Server) -> None:
        copy = server.state.save_copy()
        other = make_instance(2)
        put_entry(server, other)
        member = Member(server, make_instance(1))
        await wait_for_join(server, member)
        server.state.restore(copy)
        await member.client.renew_lease(1)
        assert await _platform_store.wait_until(
            lambda: member.registry.follower.restore_count == 1
        )
        await asyncio.sleep(0.8)
        member.fleet.refresh()
        assert other.address in member.fleet

        def is_dropped() -> bool:
            member.fleet.refresh()
            return other.address not in member.fleet

        lease_ms = _heartbeats.MIN_LEASE_DURATION_S * 1_000
        assert await _platform_store.wait_until(is_dropped, lease_ms + 1_000)
        member.stop()

    run_with_store(body)


def test_restore_during_a_write_loses_no_entry() -> None:
    """Guards against an acknowledged or unanswered write that is relied on."""

    async def body(server: Server) -> None:
        copy = server.state.save_copy()
        server.state.unanswered_write_count = 1
        member = Member(server, make_instance(1))
        items = server.state.items
        assert await _platform_store.wait_until(lambda: member.key in items)
        server.state.restore(copy)
        assert member.key not in server.state.items
        assert await _platform_store.wait_until(
            lambda: member.key in server.state.items, REWRITE_LIMIT_MS
        )
        member.stop()

    run_with_store(body)


def test_paused_agent_does_not_end_the_lease_of_another() -> None:
    """Guards against the use of a lease that was issued again.

    An agent is paused over the restore. Meanwhile another one gets the
    identifier of its lease.
    """

    async def body(server: Server) -> None:
        copy = server.state.save_copy()
        first = Member(server, make_instance(1))
        await wait_for_join(server, first)
        lease = server.state.items[first.key].lease
        first.stop()  # It makes no calls while it is paused.
        server.state.restore(copy)
        second = Member(server, make_instance(2))
        await wait_for_join(server, second)
        assert server.state.items[second.key].lease == lease
        # The first call after the pause shows the era.
        await first.client.read(first.key)
        await first.registry.withdraw(1_000)
        assert lease in server.state.leases
        assert second.key in server.state.items
        second.stop()

    run_with_store(body)


def test_agent_that_restarts_over_a_restore_writes_its_entry() -> None:
    """Guards against an earlier process in the copy that hides a later one."""

    async def body(server: Server) -> None:
        first = Member(server, make_instance(1, 5))
        await wait_for_join(server, first)
        first.stop()
        copy = server.state.save_copy()
        second = Member(server, make_instance(1, 6))
        await wait_for_join(server, second)
        observer = Member(server, make_instance(2))
        await wait_for_join(server, observer)
        second.stop()
        server.state.restore(copy)
        third = Member(server, make_instance(1, 7))
        for member in (third, observer):
            await wait_for_join(server, member)
        assert third.previous[0] is not None
        assert third.previous[0].incarnation == 5
        assert third.registry.follower.restore_count == 0
        address = third.instance.address

        def observed() -> int:
            found = observer.fleet.find(address)
            assert found is not None
            return found.incarnation

        end_s = asyncio.get_running_loop().time() + 3
        while asyncio.get_running_loop().time() < end_s:
            assert observed() >= 6
            await asyncio.sleep(0.02)
        assert observed() == 7
        for member in (third, observer):
            member.stop()

    run_with_store(body)


def config_document(version: int) -> bytes:
    return json.dumps({"version": version, "routes": []}).encode()


def test_configuration_does_not_go_back() -> None:
    """Guards against the version of the copy and against a deaf watch."""

    async def body(server: Server) -> None:
        applied: list[int] = []

        def apply(table: flows.RouteTable) -> bool:
            if applied and table.version <= applied[-1]:
                return False
            applied.append(table.version)
            return True

        client = _store.PlatformStore(server.address)
        source = _config_source.ConfigSource(
            client,
            core.SystemClock(),
            random.Random(1),
            CONFIG_KEY,
            _config.OperatorConfigFormat(),
            apply,
            "",
            flows.Evacuations(core.SystemClock()),
        )
        server.state.put(CONFIG_KEY, config_document(1))
        task = asyncio.create_task(source.follower.run())
        assert await _platform_store.wait_until(lambda: applied == [1])
        copy = server.state.save_copy()
        server.state.put(CONFIG_KEY, config_document(2))
        assert await _platform_store.wait_until(lambda: applied == [1, 2])
        server.state.restore(copy)
        assert await _platform_store.wait_until(
            lambda: source.follower.restore_count == 1
        )
        await asyncio.sleep(0.8)
        assert applied == [1, 2]
        assert source.document == config_document(2)
        server.state.put(CONFIG_KEY, config_document(3))
        assert await _platform_store.wait_until(
            lambda: applied == [1, 2, 3], 1_000
        )
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    run_with_store(body)


def test_conditional_commit_over_a_restore_has_unknown_outcome() -> None:
    """Guards against a commit reported as lasting that the copy lacks."""

    async def body(server: Server) -> None:
        client = _store.PlatformStore(server.address)
        server.state.put("a", b"1")
        copy = server.state.save_copy()
        assert isinstance(await client.read("a"), core.Ok)
        original_read = client.read

        async def read_then_restore(
            prefix: str, limit: int = 0, descending: bool = False
        ) -> core.Outcome[store.ReadResult]:
            outcome = await original_read(prefix, limit, descending)
            server.state.restore(copy)
            return outcome

        client.read = read_then_restore  # type: ignore[method-assign]
        outcome = await client.commit(
            [store.Precondition("a", b"1")], [store.Write("a", b"2")]
        )
        assert isinstance(outcome, core.Failure)
        assert outcome.kind is core.ErrorKind.STORE_OUTCOME_UNKNOWN

    run_with_store(body)


@pytest.mark.parametrize("header", ["", "x", "-1", "²", "1e3", "9" * 30])
def test_odd_era_is_ignored(header: str) -> None:
    """Guards against a damaged header that counts as a restore."""
    client = _store.PlatformStore(core.Address("127.0.0.1", 1))
    risen: list[int] = []
    client.add_era_listener(lambda: risen.append(client.era))
    assert client._update_era("3")
    assert client._update_era(header)
    assert (client.era, risen) == (3, [])
    assert not client._update_era("2")
    assert client._update_era("4")
    assert (client.era, risen) == (4, [4])
