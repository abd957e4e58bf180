"""Configuration source of an agent: its service, pulled from balancers."""

from collections.abc import Sequence

from fireflyford import core
from fireflyford import membership
from fireflyford import settings
from fireflyford import store


class AgentConfigPeers(store.ConfigPeers):
    """Configuration peers of an agent, which never reads the store."""

    def __init__(
        self, options: settings.AgentSettings, members: membership.Membership
    ) -> None:
        """Initializes the peers with settings and membership of the agent."""
        self._options = options
        self._members = members
        self._announcements = membership.ConfigAnnouncements(members)

    def is_reader(self) -> bool:
        """Returns False, because agents do not read the store."""
        return False

    def sources(self, above: int) -> Sequence[store.PullSource]:
        """Returns the balancers that announce a higher version."""
        return [
            store.PullSource(member.instance_id, member.bulk_address, version)
            for member, version in self._announcements.newer_than(above)
            if member.role is core.Role.BALANCER
        ]

    def announce(self, version: int) -> None:
        """Announces a version in the membership record of this agent."""
        self._members.update(config_version=version)

    async def pull(
        self, source: store.PullSource, payload: bytes
    ) -> core.Outcome[bytes]:
        """Pulls a configuration from a balancer."""
        return await membership.fetch_bulk(
            source.address, self._options.link_key, store.CONFIG_TOPIC, payload
        )
