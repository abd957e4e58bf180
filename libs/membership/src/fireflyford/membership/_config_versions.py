"""Configuration versions that other members announce."""

from collections.abc import Callable

from fireflyford import core
from fireflyford.membership import _table
from fireflyford.membership import _types

# A pull that failed is tried again when the version is announced again.
_REPEAT_MS = 1_000


class ConfigVersions:
    """Tells listeners of versions higher than the one in force here."""

    def __init__(self, clock: core.Clock, table: _table.MemberTable) -> None:
        """Starts without listeners."""
        self._clock = clock
        self._table = table
        self._listeners: list[Callable[[_types.Member, int], None]] = []
        self._told_ms: dict[tuple[str, int], int] = {}

    def on_version(
        self, listener: Callable[[_types.Member, int], None]
    ) -> None:
        """Calls `listener` with the announcing member and its version."""
        self._listeners.append(listener)

    def hear(self, member: _types.Member | None, version: int) -> None:
        """Takes a version that a member announces."""
        if member is None or version <= self._table.own.config_version:
            return
        now_ms = self._clock.now_ms()
        key = (member.instance_id, version)
        if now_ms - self._told_ms.get(key, -_REPEAT_MS) < _REPEAT_MS:
            return
        self._told_ms = {
            told: told_ms
            for told, told_ms in self._told_ms.items()
            if now_ms - told_ms < _REPEAT_MS
        }
        self._told_ms[key] = now_ms
        for listener in self._listeners:
            listener(member, version)
