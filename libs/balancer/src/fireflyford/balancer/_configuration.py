"""Configuration of a balancer: readers in each region, spread through peers."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import pathlib
import random

from fireflyford import config
from fireflyford import core
from fireflyford import membership
from fireflyford import settings
from fireflyford import store

# A balancer that has just started sees itself alone and would read the store;
# with many starting at once, all of them would.
JOIN_DELAY_MS = 1_500


class BalancerPeers(store.ConfigPeers):
    """Following through the membership of a balancer."""

    def __init__(
        self,
        options: settings.BalancerSettings,
        members: membership.Membership,
        clock: core.Clock,
    ) -> None:
        """Takes settings, membership and clock of the balancer."""
        self._options = options
        self._members = members
        self._clock = clock
        self._announcements = membership.ConfigAnnouncements(members)
        self._created_ms = clock.now_ms()

    def is_reader(self) -> bool:
        """Whether this balancer has one of the region's highest scores."""
        if self._clock.now_ms() - self._created_ms < JOIN_DELAY_MS:
            return False
        return is_config_reader(
            self._members.view(),
            self._options.instance_id,
            self._options.region,
        )

    def sources(self, above: int) -> Sequence[store.PullSource]:
        """Returns announcing balancers, those of the own region if any."""
        announcing = [
            item
            for item in self._announcements.newer_than(above)
            if item[0].role is core.Role.BALANCER
        ]
        near = [
            item
            for item in announcing
            if item[0].region == self._options.region
        ]
        return [
            store.PullSource(member.instance_id, member.bulk_address, version)
            for member, version in near or announcing
        ]

    def announce(self, version: int) -> None:
        """Announces a version in this balancer's own record."""
        self._members.update(config_version=version)

    async def pull(
        self, source: store.PullSource, payload: bytes
    ) -> core.Outcome[bytes]:
        """Calls another balancer."""
        return await membership.fetch_bulk(
            source.address, self._options.link_key, store.CONFIG_TOPIC, payload
        )


def is_config_reader(view: membership.View, name: str, region: str) -> bool:
    """Whether a balancer has one of its region's highest rendezvous scores."""
    candidates = [
        member
        for member in view.balancers()
        if member.region == region and member.state is membership.State.ALIVE
    ]
    readers = membership.select_by_rendezvous(
        store.READER_KEY, candidates, store.READER_COUNT
    )
    return name in {reader.instance_id for reader in readers}


def open_store(
    options: settings.BalancerSettings,
) -> store.EtcdStore | None:
    """Returns the store of the settings, or None without store addresses."""
    gateways = [core.Address.parse(item) for item in options.store_addresses]
    if not gateways:
        return None
    # Balancers start with different gateways, so that one gateway does not
    # serve all readers.
    random.SystemRandom().shuffle(gateways)
    return store.EtcdStore(gateways)


class Configuration:
    """Following and the join entry of one balancer."""

    def __init__(
        self,
        options: settings.BalancerSettings,
        clock: core.Clock,
        members: membership.Membership,
        apply: Callable[[config.Deployment], None],
    ) -> None:
        """Prepares both.

        Args:
            options: Checked settings.
            clock: Source of time.
            members: Membership of the balancer.
            apply: Puts a deployment in force in this process.
        """
        peers = BalancerPeers(options, members, clock)
        client = open_store(options)
        config_store = None
        self._entry: store.JoinEntry | None = None
        if client is not None:
            config_store = store.ConfigStore(client, clock)
            self._entry = store.JoinEntry(
                client,
                clock,
                options.instance_id,
                core.Address.parse(options.control_address),
                peers.is_reader,
            )
        self.follower = store.ConfigFollower(
            clock, random.SystemRandom(), peers, apply, config_store
        )

    async def run(self) -> None:
        """Runs until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.follower.run())
            if self._entry is not None:
                tasks.create_task(self._entry.run())


def load_file(path: str) -> core.Outcome[config.Deployment | None]:
    """Reads the configuration file used until a version is in force."""
    if not path:
        return core.Ok(None)
    parsed = config.parse(pathlib.Path(path).read_bytes())
    if isinstance(parsed, core.Failure):
        return core.Failure(parsed.kind, f"{path}: {parsed.message}")
    return core.Ok(parsed.value)
