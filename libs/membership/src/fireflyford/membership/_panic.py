"""Doubt about deaths of too many targets at once."""

import collections

from fireflyford import core
from fireflyford.membership import _table
from fireflyford.membership import _types

PANIC_WINDOW_MS = 10_000
# When this part of the targets dies within the window, a fault of the path to
# them is more likely than as many faults of their own.
PANIC_RATIO = 0.5
# Observers probe each of them during this time; silence confirms the death.
CONFIRMATION_MS = 30_000

_Group = tuple[str, str]


class Panic:
    """Finds the dead targets that stay eligible as a last resort."""

    def __init__(self, clock: core.Clock, table: _table.MemberTable) -> None:
        """Watches the records of a table."""
        self._clock = clock
        self._table = table
        self._deaths: dict[_Group, dict[str, int]] = collections.defaultdict(
            dict
        )
        self._unconfirmed_ms: dict[str, int] = {}
        table.on_accept(self._watch)

    def unconfirmed(self) -> tuple[str, ...]:
        """Returns the names of the dead members that are not confirmed."""
        return tuple(self._unconfirmed_ms)

    def confirm_old(self) -> bool:
        """Ends the doubt about old deaths; returns whether any ended."""
        limit_ms = self._clock.now_ms() - CONFIRMATION_MS
        old = [
            name
            for name, death_ms in self._unconfirmed_ms.items()
            if death_ms <= limit_ms
        ]
        for name in old:
            del self._unconfirmed_ms[name]
        return bool(old)

    def _watch(
        self, old: _types.Member | None, new: _types.Member, spread: bool
    ) -> None:
        del spread
        if new.role is not core.Role.AGENT:
            return
        if new.state is _types.State.DEAD:
            if old is not None and old.is_live:
                self._count_death(new)
            return
        self._unconfirmed_ms.pop(new.instance_id, None)
        self._deaths[_group(new)].pop(new.instance_id, None)

    def _count_death(self, member: _types.Member) -> None:
        now_ms = self._clock.now_ms()
        group = _group(member)
        recent = {
            name: death_ms
            for name, death_ms in self._deaths[group].items()
            if now_ms - death_ms < PANIC_WINDOW_MS
        }
        recent[member.instance_id] = now_ms
        self._deaths[group] = recent
        live_count = sum(
            other.is_live and _group(other) == group
            for other in self._table.service_members(member.service)
        )
        total_count = live_count + len(recent)
        if len(recent) >= PANIC_RATIO * total_count:
            self._unconfirmed_ms.update(recent)


def _group(member: _types.Member) -> _Group:
    return (member.availability_zone, member.service)
