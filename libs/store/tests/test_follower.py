"""Following of the configuration by instances with peers held in memory."""

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


def record(
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
    """Instances in memory, with a switch for reading the store."""

    def __init__(self, reader: bool = False) -> None:
        """Starts without other instances."""
        self.reader = reader
        self.announced: list[int] = []
        self.others: list[tuple[int, store.ConfigFollower]] = []

    def is_reader(self) -> bool:
        """Returns the switch."""
        return self.reader

    def sources(self, above: int) -> Sequence[store.PullSource]:
        """Returns the instances that were heard of."""
        return [
            store.PullSource(str(index), ADDRESS, version)
            for index, (version, _) in enumerate(self.others)
            if version > above
        ]

    def announce(self, version: int) -> None:
        """Keeps the version."""
        self.announced.append(version)

    async def pull(
        self, source: store.PullSource, payload: bytes
    ) -> core.Outcome[bytes]:
        """Asks the other instance."""
        return core.Ok(self.others[int(source.name)][1].handle_pull(payload))


class Instance:
    """A follower and what it has put in force."""

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

    def hear(self, version: int, other: "Instance") -> None:
        """Announces another instance's version to this one."""
        self.peers.others.append((version, other.follower))
        self.follower.notify()

    async def run(self, duration_ms: int) -> None:
        """Follows for a while."""
        task = asyncio.create_task(self.follower.run())
        await asyncio.sleep(duration_ms / 1000)
        task.cancel()


def test_versions_only_rise_in_any_order() -> None:
    """Guards against a rollback by records that arrive in another order."""
    unreadable = config.render(dataclasses.replace(BASE, format=2))
    for seed in range(50):
        rng = random.Random(seed)
        instance = Instance()
        versions = []
        for version in rng.choices(range(1, 30), k=60):
            text = unreadable if version % 5 == 0 else ""
            instance.follower.apply_if_newer(record(version, text), "test")
            versions.append(instance.follower.version)
        assert versions == sorted(versions)
        assert instance.peers.announced == sorted(set(instance.peers.announced))


def test_a_stale_peer_changes_nothing() -> None:
    """Guards against a rollback by a peer that announces more than it has."""

    async def body() -> None:
        stale, instance = Instance(), Instance()
        stale.follower.apply_if_newer(record(3), "test")
        instance.follower.apply_if_newer(record(5), "test")
        instance.hear(9, stale)
        await instance.run(250)
        assert instance.follower.version == 5
        assert len(instance.applied) == 1
        assert instance.follower.stale_answer_count > 0

    asyncio.run(body())


def test_a_restart_with_the_store_down_learns_from_a_peer() -> None:
    """Guards against an instance that returns to its configuration file."""

    async def body() -> None:
        client = store.EtcdStore([_ports.free_address()])
        config_store = store.ConfigStore(client, core.SystemClock())
        peer, instance = Instance(), Instance(config_store)
        peer.follower.apply_if_newer(record(4), "test")
        instance.hear(4, peer)
        await instance.run(250)
        assert instance.follower.version == 4
        assert instance.peers.announced == [4]

    asyncio.run(body())


def test_a_new_instance_waits_for_the_version_in_force() -> None:
    """Guards against a restart that serves with an old configuration file."""

    async def body() -> None:
        peer, instance = Instance(), Instance()
        peer.follower.apply_if_newer(record(4), "test")
        assert not instance.follower.synced
        instance.hear(4, peer)
        assert not instance.follower.synced
        await instance.run(250)
        assert instance.follower.synced

    asyncio.run(body())


def test_an_instance_without_any_version_settles_with_its_peers() -> None:
    """Guards against new deployments that wait for a version in vain."""
    peer, instance = Instance(), Instance()
    instance.hear(0, peer)
    assert instance.follower.synced


def test_an_agent_gets_only_its_own_service() -> None:
    """Guards against configurations that reach agents of other services."""

    async def body() -> None:
        balancer, agent = Instance(), Instance(service="padron")
        balancer.follower.apply_if_newer(record(2), "test")
        agent.hear(2, balancer)
        await agent.run(250)
        assert [item.name for item in agent.applied[0].services] == ["padron"]

    asyncio.run(body())


def test_a_newer_format_is_held_back_whole_and_passed_on() -> None:
    """Guards against a configuration that is applied in part, or lost."""
    newer = dataclasses.replace(BASE, name="later", format=2)

    async def body() -> None:
        first, second = Instance(), Instance()
        first.follower.apply_if_newer(record(1), "test")
        assert first.follower.apply_if_newer(
            record(2, config.render(newer)), "test"
        )
        assert first.follower.version == 1
        assert first.peers.announced == [1, 2]
        assert "format 2" in first.follower.alarm
        second.hear(2, first)
        await second.run(250)
        assert second.follower.highest_version == 2
        assert second.applied == []
        first.follower.apply_if_newer(record(3), "test")
        assert first.follower.version == 3

    asyncio.run(body())


def test_an_unknown_field_is_not_left_out() -> None:
    """Guards against a configuration applied without what is not known."""
    text = config.render(BASE).replace(
        '"target_count": 7', '"target_count": 7, "shadow": true'
    )
    instance = Instance()
    instance.follower.apply_if_newer(record(1, text), "test")
    assert instance.applied == []
    assert "services[0].shadow" in instance.follower.alarm


async def _restore(
    kept: store.ConfigRecord, pushes_after: Sequence[str]
) -> tuple[Instance, core.Outcome[store.ConfigState]]:
    """Lets a reader meet a store that holds less than it runs."""
    server = _store_server.StoreServer()
    address = _ports.free_address()
    server.listen(address)
    config_store = store.ConfigStore(
        store.EtcdStore([address]), core.SystemClock()
    )
    instance = Instance(config_store)
    instance.follower.apply_if_newer(kept, "test")
    for base, author in enumerate(pushes_after):
        push = store.Push(config.render(BASE), base, author)
        await config_store.push(push)
    await instance.run(300)
    state = await config_store.read_state()
    server.stop()
    return instance, state


def test_a_restored_store_does_not_bring_an_old_version_back() -> None:
    """Guards against a rollback by a store restored from a snapshot."""
    instance, state = asyncio.run(_restore(record(3), ["ana"]))
    assert instance.follower.version == 3
    assert "push again with --base 3" in instance.follower.alarm
    assert isinstance(state, core.Ok)
    assert state.value.floor_version == 3


def test_two_records_with_one_number_are_told_apart() -> None:
    """Guards against a push after a restore that reuses a version number."""
    instance, state = asyncio.run(_restore(record(1), ["ben"]))
    assert instance.follower.version == 1
    assert "push again with --base 2" in instance.follower.alarm
    assert isinstance(state, core.Ok)
    assert state.value.floor_version == 2
