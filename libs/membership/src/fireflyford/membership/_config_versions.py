"""Notification of configuration versions that other members announce."""

from collections.abc import Callable

from fireflyford import core
from fireflyford.membership import _table
from fireflyford.membership import _types

# Listeners are notified of a repeated announcement after this interval, so that
# they can retry a failed pull.
_RENOTIFY_INTERVAL_MS = 1_000


class ConfigVersionNotifier:
    """Notifies listeners of versions higher than the one in force locally."""

    def __init__(self, clock: core.Clock, table: _table.MemberTable) -> None:
        """Creates a notifier without listeners."""
        self._clock = clock
        self._table = table
        self._listeners: list[Callable[[_types.Member, int], None]] = []
        self._notified_ms: dict[tuple[str, int], int] = {}

    def on_version(
        self, listener: Callable[[_types.Member, int], None]
    ) -> None:
        """Registers a listener for (announcing member, version)."""
        self._listeners.append(listener)

    def handle_version(
        self, member: _types.Member | None, version: int
    ) -> None:
        """Handles an announced version; ignores it if `member` is None."""
        if member is None or version <= self._table.own.config_version:
            return
        now_ms = self._clock.now_ms()
        key = (member.instance_id, version)
        if (
            now_ms - self._notified_ms.get(key, -_RENOTIFY_INTERVAL_MS)
            < _RENOTIFY_INTERVAL_MS
        ):
            return
        self._notified_ms = {
            notified: notified_ms
            for notified, notified_ms in self._notified_ms.items()
            if now_ms - notified_ms < _RENOTIFY_INTERVAL_MS
        }
        self._notified_ms[key] = now_ms
        for listener in self._listeners:
            listener(member, version)
