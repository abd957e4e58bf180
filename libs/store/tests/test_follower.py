"""Tests of configuration distribution between in-memory peers."""

import asyncio
from collections.abc import Sequence
import dataclasses
import random

from fireflyford import config
from fireflyford import core
from fireflyford import store
from fireflyford.lab import _deployments
from fireflyford.lab import _ports
from fireflyford.lab import _store_server

BASE = _deployments.BANTAY
ADDRESS = core.Address("127.0.0.1", 1)


def make_record(
    version: int, text: str = "", identity: str = "push"
) -> store.ConfigRecord:
    return store.ConfigRecord(
        version=version,
        identity=identity,
        author="ana",
        wall_ms=0,
        base_version=version - 1,
        text=text or config.render(BASE),
    )


class MemoryPeers(store.ConfigPeers):
    """In-memory peers, optionally as a store reader."""

    def __init__(self, reader: bool = False) -> None:
        """Starts without peers."""
        self._is_reader = reader
        self.announced: list[int] = []
        self.announcements: list[tuple[int, store.ConfigFollower]] = []

    def is_reader(self) -> bool:
        """Returns the value given at creation."""
        return self._is_reader

    def sources(self, above: int) -> Sequence[store.PullSource]:
        """Returns peers that announced a newer version."""
        return [
            store.PullSource(str(index), ADDRESS, version)
            for index, (version, _) in enumerate(self.announcements)
            if version > above
        ]

    def announce(self, version: int) -> None:
        """Records the announced version."""
        self.announced.append(version)

    async def pull(
        self, source: store.PullSource, payload: bytes
    ) -> core.Outcome[bytes]:
        """Calls the peer's handler directly."""
        return core.Ok(
            self.announcements[int(source.name)][1].handle_pull(payload)
        )


class FollowerFixture:
    """A follower and the deployments that it applied."""

    def __init__(
        self,
        config_store: store.ConfigStore | None = None,
        service: str = "",
    ) -> None:
        """Starts without a configuration."""
        self.peers = MemoryPeers(reader=config_store is not None)
        self.applied: list[config.Deployment] = []
        self.follower = store.ConfigFollower(
            core.SystemClock(),
            random.Random(1),
            self.peers,
            self.applied.append,
            config_store,
            service,
        )

    def receive_announcement(
        self, version: int, other: "FollowerFixture"
    ) -> None:
        """Receives the announcement of a version by a peer."""
        self.peers.announcements.append((version, other.follower))
        self.follower.notify()

    async def run(self, duration_ms: int) -> None:
        """Runs the follower for a limited time."""
        task = asyncio.create_task(self.follower.run())
        await asyncio.sleep(duration_ms / 1000)
        task.cancel()


def test_applied_version_never_decreases() -> None:
    """Guards against a rollback by records that arrive out of order."""
    unreadable = config.render(dataclasses.replace(BASE, format=2))
    for seed in range(50):
        rng = random.Random(seed)
        instance = FollowerFixture()
        versions = []
        for version in rng.choices(range(1, 30), k=60):
            text = unreadable if version % 5 == 0 else ""
            instance.follower.apply_if_newer(make_record(version, text), "test")
            versions.append(instance.follower.version)
        assert versions == sorted(versions)
        assert instance.peers.announced == sorted(set(instance.peers.announced))


def test_stale_peer_is_ignored() -> None:
    """Guards against a rollback by a peer without the version it announced."""

    async def body() -> None:
        stale, instance = FollowerFixture(), FollowerFixture()
        stale.follower.apply_if_newer(make_record(3), "test")
        instance.follower.apply_if_newer(make_record(5), "test")
        instance.receive_announcement(9, stale)
        await instance.run(250)
        assert instance.follower.version == 5
        assert len(instance.applied) == 1
        assert instance.follower.stale_answer_count > 0

    asyncio.run(body())


def test_restart_without_store_pulls_from_peer() -> None:
    """Guards against a fallback to the configuration file after a restart."""

    async def body() -> None:
        client = store.EtcdStore([_ports.free_address()])
        config_store = store.ConfigStore(client, core.SystemClock())
        peer, instance = FollowerFixture(), FollowerFixture(config_store)
        peer.follower.apply_if_newer(make_record(4), "test")
        instance.receive_announcement(4, peer)
        await instance.run(250)
        assert instance.follower.version == 4
        assert instance.peers.announced == [4]

    asyncio.run(body())


def test_new_instance_is_synced_after_applying_version_in_force() -> None:
    """Guards against a restart that serves an outdated configuration file."""

    async def body() -> None:
        peer, instance = FollowerFixture(), FollowerFixture()
        peer.follower.apply_if_newer(make_record(4), "test")
        assert not instance.follower.synced
        instance.receive_announcement(4, peer)
        assert not instance.follower.synced
        await instance.run(250)
        assert instance.follower.synced

    asyncio.run(body())


def test_instance_without_any_version_is_synced() -> None:
    """Guards against a wait for a version that no instance has."""
    peer, instance = FollowerFixture(), FollowerFixture()
    instance.receive_announcement(0, peer)
    assert instance.follower.synced


def test_agent_receives_only_own_service() -> None:
    """Guards against configurations of other services on an agent."""

    async def body() -> None:
        balancer, agent = FollowerFixture(), FollowerFixture(service="padron")
        balancer.follower.apply_if_newer(make_record(2), "test")
        agent.receive_announcement(2, balancer)
        await agent.run(250)
        assert [item.name for item in agent.applied[0].services] == ["padron"]

    asyncio.run(body())


def test_configuration_in_newer_format_is_served_but_not_applied() -> None:
    """Guards against partial application or loss of a newer format."""
    newer = dataclasses.replace(BASE, name="later", format=2)

    async def body() -> None:
        first, second = FollowerFixture(), FollowerFixture()
        first.follower.apply_if_newer(make_record(1), "test")
        assert first.follower.apply_if_newer(
            make_record(2, config.render(newer)), "test"
        )
        assert first.follower.version == 1
        assert first.peers.announced == [1, 2]
        assert "format 2" in first.follower.alarm
        second.receive_announcement(2, first)
        await second.run(250)
        assert second.follower.highest_version == 2
        assert second.applied == []
        first.follower.apply_if_newer(make_record(3), "test")
        assert first.follower.version == 3

    asyncio.run(body())


def test_configuration_with_unknown_field_is_not_applied() -> None:
    """Guards against a configuration applied without its unknown fields."""
    text = config.render(BASE).replace(
        '"target_count": 7', '"target_count": 7, "shadow": true'
    )
    instance = FollowerFixture()
    instance.follower.apply_if_newer(make_record(1, text), "test")
    assert instance.applied == []
    assert "services[0].shadow" in instance.follower.alarm


async def _run_with_restored_store(
    record_in_force: store.ConfigRecord, authors: Sequence[str]
) -> tuple[FollowerFixture, core.Outcome[store.ConfigState]]:
    """Runs a reader whose store is behind the version in force."""
    server = _store_server.StoreServer()
    address = _ports.free_address()
    server.listen(address)
    config_store = store.ConfigStore(
        store.EtcdStore([address]), core.SystemClock()
    )
    instance = FollowerFixture(config_store)
    instance.follower.apply_if_newer(record_in_force, "test")
    for base, author in enumerate(authors):
        push = store.Push(config.render(BASE), base, author)
        await config_store.push(push)
    await instance.run(300)
    state = await config_store.read_state()
    server.stop()
    return instance, state


def test_restored_store_does_not_roll_back_configuration() -> None:
    """Guards against a rollback by a store restored from a snapshot."""
    instance, state = asyncio.run(
        _run_with_restored_store(make_record(3), ["ana"])
    )
    assert instance.follower.version == 3
    assert "push again with --base 3" in instance.follower.alarm
    assert isinstance(state, core.Ok)
    assert state.value.floor_version == 3


def test_version_reused_after_restore_is_detected() -> None:
    """Guards against a version number that is reused after a restore."""
    instance, state = asyncio.run(
        _run_with_restored_store(make_record(1), ["ben"])
    )
    assert instance.follower.version == 1
    assert "push again with --base 2" in instance.follower.alarm
    assert isinstance(state, core.Ok)
    assert state.value.floor_version == 2
