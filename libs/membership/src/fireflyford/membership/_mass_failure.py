"""Detection of mass failures, whose deaths need confirmation."""

import collections

from fireflyford import core
from fireflyford.membership import _table
from fireflyford.membership import _types

MASS_FAILURE_WINDOW_MS = 10_000
# If this fraction of the targets dies within the window, a network fault is
# more likely than that many independent failures.
MASS_FAILURE_RATIO = 0.5
# Observers probe unconfirmed members during this time; a member that does not
# answer is confirmed dead.
DEATH_CONFIRMATION_MS = 30_000

_Group = tuple[str, str]


class MassFailureDetector:
    """Tracks dead targets that stay eligible as last-resort targets.

    Deaths are grouped by availability zone and service.
    """

    def __init__(self, clock: core.Clock, table: _table.MemberTable) -> None:
        """Subscribes to the records that a table accepts."""
        self._clock = clock
        self._table = table
        self._deaths: dict[_Group, dict[str, int]] = collections.defaultdict(
            dict
        )
        self._unconfirmed_ms: dict[str, int] = {}
        table.on_accept(self._handle_record)

    def unconfirmed(self) -> tuple[str, ...]:
        """Returns the names of members whose death is not confirmed."""
        return tuple(self._unconfirmed_ms)

    def confirm_expired(self) -> bool:
        """Confirms deaths older than the limit.

        Returns:
            Whether there were any.
        """
        limit_ms = self._clock.now_ms() - DEATH_CONFIRMATION_MS
        old = [
            name
            for name, death_ms in self._unconfirmed_ms.items()
            if death_ms <= limit_ms
        ]
        for name in old:
            del self._unconfirmed_ms[name]
        return bool(old)

    def _handle_record(
        self, old: _types.Member | None, new: _types.Member, propagate: bool
    ) -> None:
        del propagate
        if new.role is not core.Role.AGENT:
            return
        if new.state is _types.State.DEAD:
            if old is not None and old.is_live:
                self._record_death(new)
            return
        self._unconfirmed_ms.pop(new.instance_id, None)
        self._deaths[_group(new)].pop(new.instance_id, None)

    def _record_death(self, member: _types.Member) -> None:
        now_ms = self._clock.now_ms()
        group = _group(member)
        recent = {
            name: death_ms
            for name, death_ms in self._deaths[group].items()
            if now_ms - death_ms < MASS_FAILURE_WINDOW_MS
        }
        recent[member.instance_id] = now_ms
        self._deaths[group] = recent
        live_count = sum(
            other.is_live and _group(other) == group
            for other in self._table.service_members(member.service)
        )
        total_count = live_count + len(recent)
        if len(recent) >= MASS_FAILURE_RATIO * total_count:
            self._unconfirmed_ms.update(recent)


def _group(member: _types.Member) -> _Group:
    return (member.availability_zone, member.service)
