"""Configuration of a balancer, read from the store or pulled from peers."""

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

# A balancer that has just started does not know its peers yet and would select
# itself as a reader; if many start at once, all of them would read the store.
JOIN_DELAY_MS = 1_500


class BalancerConfigPeers(store.ConfigPeers):
    """Configuration peers of a balancer, found through its membership."""

    def __init__(
        self,
        options: settings.BalancerSettings,
        members: membership.Membership,
        clock: core.Clock,
    ) -> None:
        """Initializes the peers.

        Args:
            options: Validated settings.
            members: Membership of the balancer.
            clock: Source of time.
        """
        self._options = options
        self._members = members
        self._clock = clock
        self._announcements = membership.ConfigAnnouncements(members)
        self._created_ms = clock.now_ms()

    def is_reader(self) -> bool:
        """Returns whether this balancer reads the store for its region."""
        if self._clock.now_ms() - self._created_ms < JOIN_DELAY_MS:
            return False
        return is_config_reader(
            self._members.view(),
            self._options.instance_id,
            self._options.region,
        )

    def sources(self, above: int) -> Sequence[store.PullSource]:
        """Returns balancers that announce a higher version.

        Balancers of the same region are preferred.
        """
        announcing = [
            item
            for item in self._announcements.newer_than(above)
            if item[0].role is core.Role.BALANCER
        ]
        same_region = [
            item
            for item in announcing
            if item[0].region == self._options.region
        ]
        return [
            store.PullSource(member.instance_id, member.bulk_address, version)
            for member, version in same_region or announcing
        ]

    def announce(self, version: int) -> None:
        """Announces a version in the membership record of this balancer."""
        self._members.update(config_version=version)

    async def pull(
        self, source: store.PullSource, payload: bytes
    ) -> core.Outcome[bytes]:
        """Pulls a configuration from another balancer."""
        return await membership.fetch_bulk(
            source.address, self._options.link_key, store.CONFIG_TOPIC, payload
        )


def is_config_reader(
    view: membership.View, instance_id: str, region: str
) -> bool:
    """Returns whether a balancer reads the store for its region.

    The readers of a region are the balancers with the highest rendezvous
    scores.
    """
    candidates = [
        member
        for member in view.balancers()
        if member.region == region and member.state is membership.State.ALIVE
    ]
    readers = membership.select_by_rendezvous(
        store.READER_KEY, candidates, store.READER_COUNT
    )
    return instance_id in {reader.instance_id for reader in readers}


def open_store(
    options: settings.BalancerSettings,
) -> store.EtcdStore | None:
    """Returns the configured store, or None without store addresses."""
    gateways = [core.Address.parse(item) for item in options.store_addresses]
    if not gateways:
        return None
    # The order is random so that the readers do not all use the same gateway.
    random.SystemRandom().shuffle(gateways)
    return store.EtcdStore(gateways)


class Configuration:
    """Configuration follower and join entry of one balancer."""

    def __init__(
        self,
        options: settings.BalancerSettings,
        clock: core.Clock,
        members: membership.Membership,
        apply: Callable[[config.Deployment], None],
    ) -> None:
        """Initializes the follower and the join entry.

        Args:
            options: Validated settings.
            clock: Source of time.
            members: Membership of the balancer.
            apply: Applies a deployment in this process.
        """
        peers = BalancerConfigPeers(options, members, clock)
        etcd_store = open_store(options)
        config_store = None
        self._join_entry: store.JoinEntry | None = None
        if etcd_store is not None:
            config_store = store.ConfigStore(etcd_store, clock)
            self._join_entry = store.JoinEntry(
                etcd_store,
                clock,
                options.instance_id,
                core.Address.parse(options.control_address),
                peers.is_reader,
            )
        self.follower = store.ConfigFollower(
            clock, random.SystemRandom(), peers, apply, config_store
        )

    async def run(self) -> None:
        """Runs the follower and the join entry until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.follower.run())
            if self._join_entry is not None:
                tasks.create_task(self._join_entry.run())


def load_file(path: str) -> core.Outcome[config.Deployment | None]:
    """Reads the configuration file that applies until a version is in force."""
    if not path:
        return core.Ok(None)
    parsed = config.parse(pathlib.Path(path).read_bytes())
    if isinstance(parsed, core.Failure):
        return core.Failure(parsed.kind, f"{path}: {parsed.message}")
    return core.Ok(parsed.value)
