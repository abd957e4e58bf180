"""Configuration of an agent: its own service's part, pulled from balancers."""

from collections.abc import Sequence

from fireflyford import core
from fireflyford import membership
from fireflyford import settings
from fireflyford import store


class AgentPeers(store.ConfigPeers):
    """Following through the membership of an agent, never from the store."""

    def __init__(
        self, options: settings.AgentSettings, members: membership.Membership
    ) -> None:
        """Takes settings and membership of the agent."""
        self._options = options
        self._members = members
        self._announcements = membership.ConfigAnnouncements(members)

    def is_reader(self) -> bool:
        """Returns False; agents leave the store alone."""
        return False

    def sources(self, above: int) -> Sequence[store.PullSource]:
        """Returns the balancers that announce a higher version."""
        return [
            store.PullSource(member.instance_id, member.bulk_address, version)
            for member, version in self._announcements.newer_than(above)
            if member.role is core.Role.BALANCER
        ]

    def announce(self, version: int) -> None:
        """Announces a version in this agent's own record."""
        self._members.update(config_version=version)

    async def pull(
        self, source: store.PullSource, payload: bytes
    ) -> core.Outcome[bytes]:
        """Calls a balancer."""
        return await membership.fetch_bulk(
            source.address, self._options.link_key, store.CONFIG_TOPIC, payload
        )
