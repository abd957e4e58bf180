"""Configuration of a balancer: readers in each region, spread through peers."""

from collections.abc import Sequence
import random

import xxhash

from fireflyford import core
from fireflyford import membership
from fireflyford import settings
from fireflyford import store


class BalancerPeers(store.Peers):
    """Following through the membership of a balancer."""

    def __init__(
        self,
        options: settings.BalancerSettings,
        members: membership.Membership,
    ) -> None:
        """Takes settings and membership of the balancer."""
        self._options = options
        self._members = members

    def is_reader(self) -> bool:
        """Whether this balancer has one of the region's highest scores."""
        candidates = [
            member.instance_id
            for member in self._members.view().balancers()
            if member.region == self._options.region
            and member.state is membership.State.ALIVE
        ]
        readers = choose_readers(candidates)
        return self._options.instance_id in readers

    def sources(self, above: int) -> Sequence[store.Source]:
        """Returns announcing balancers, those of the own region if any."""
        announcing = [
            member
            for member in self._members.view().balancers()
            if member.config_version > above
            and member.instance_id != self._options.instance_id
        ]
        near = [
            member
            for member in announcing
            if member.region == self._options.region
        ]
        return [
            store.Source(
                member.instance_id, member.bulk_address, member.config_version
            )
            for member in near or announcing
        ]

    def announce(self, version: int) -> None:
        """Announces a version in this balancer's own record."""
        self._members.update(config_version=version)

    async def pull(
        self, source: store.Source, payload: bytes
    ) -> core.Outcome[bytes]:
        """Calls another balancer."""
        return await membership.fetch(
            source.address, self._options.link_key, store.TOPIC, payload
        )


def choose_readers(names: Sequence[str]) -> frozenset[str]:
    """Returns the names with the highest rendezvous scores."""
    ranked = sorted(
        names,
        key=lambda name: xxhash.xxh64_intdigest(
            f"{store.READER_KEY}/{name}".encode()
        ),
        reverse=True,
    )
    return frozenset(ranked[: store.READER_COUNT])


def make_config_store(
    options: settings.BalancerSettings, clock: core.Clock
) -> store.ConfigStore | None:
    """Returns the store of the settings, or None without store addresses."""
    gateways = [core.Address.parse(item) for item in options.store_addresses]
    if not gateways:
        return None
    # Balancers start with different gateways, so that one gateway does not
    # serve all readers.
    random.SystemRandom().shuffle(gateways)
    return store.ConfigStore(store.EtcdStore(gateways), clock)
