"""Recent announcements of configuration versions by other members."""

from fireflyford.membership import _membership
from fireflyford.membership import _types

# Maximum number of sources for one pull; more would not make it more likely to
# succeed.
_MAX_SOURCES = 8


class ConfigAnnouncements:
    """The most recent announcements of versions higher than the local one."""

    def __init__(self, members: _membership.Membership) -> None:
        """Subscribes to the announcements that a membership receives."""
        self._versions: dict[str, tuple[_types.Member, int]] = {}
        members.on_config_version(self._add_announcement)

    def newer_than(self, version: int) -> list[tuple[_types.Member, int]]:
        """Returns (member, version) of higher versions, highest first."""
        found = [item for item in self._versions.values() if item[1] > version]
        return sorted(found, key=lambda item: item[1], reverse=True)

    def _add_announcement(self, member: _types.Member, version: int) -> None:
        self._versions.pop(member.instance_id, None)
        self._versions[member.instance_id] = (member, version)
        while len(self._versions) > _MAX_SOURCES:
            del self._versions[next(iter(self._versions))]
