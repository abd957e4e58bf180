"""Configuration versions that other members have announced, kept."""

from fireflyford.membership import _membership
from fireflyford.membership import _types

# Sources of one pull; more would not make it more likely to succeed.
_MAX_SOURCES = 8


class ConfigAnnouncements:
    """The last members that announced a high configuration version."""

    def __init__(self, members: _membership.Membership) -> None:
        """Listens to the announcements that reach a member."""
        self._versions: dict[str, tuple[_types.Member, int]] = {}
        members.on_config_version(self._keep)

    def newer_than(self, version: int) -> list[tuple[_types.Member, int]]:
        """Returns announcing members and their versions, highest first."""
        found = [item for item in self._versions.values() if item[1] > version]
        return sorted(found, key=lambda item: item[1], reverse=True)

    def _keep(self, member: _types.Member, version: int) -> None:
        self._versions.pop(member.instance_id, None)
        self._versions[member.instance_id] = (member, version)
        while len(self._versions) > _MAX_SOURCES:
            del self._versions[next(iter(self._versions))]
