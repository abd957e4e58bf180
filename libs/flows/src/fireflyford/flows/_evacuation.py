"""Availability zones that operators have evacuated."""

import dataclasses

# How long a zone that a restored store lacks stays evacuated: the operator
# writes it again within this time.
RESTORE_RETENTION_MS = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationView:
    """Evacuated zones at one position in the history of the store.

    Attributes:
        era: Era of the store, which rises when it is restored from a copy.
        revision: Revision of the store in that era.
        zones: Zones to which no new flows are sent, sorted.
    """

    era: int
    revision: int
    zones: tuple[str, ...] = ()

    def is_newer_than(self, other: "EvacuationView | None") -> bool:
        """Returns whether this view replaces another one.

        >>> EvacuationView(1, 20).is_newer_than(EvacuationView(0, 90))
        True
        """
        return other is None or (self.era, self.revision) > (
            other.era,
            other.revision,
        )


class EvacuationHistory:
    """Views that one process has seen, and the zones in force by them.

    A store that was restored from a copy may lack an evacuation, which the
    operator writes again. Zones that were in force when the era rose therefore
    stay evacuated until a view of the later era contains them, from which time
    on only the store counts, or until the retention has ended.

    Messages carry `view` as it was read: the retained zones are no part of it,
    so that two processes with one position have the same view, and each process
    retains by what it has seen itself.
    """

    def __init__(self) -> None:
        """Starts without a view."""
        self._view: EvacuationView | None = None
        self._retained: frozenset[str] = frozenset()
        self._retention_end_ms = 0

    @property
    def view(self) -> EvacuationView | None:
        """Newest view, None before the first one."""
        return self._view

    def apply(self, view: EvacuationView, now_ms: int) -> bool:
        """Applies a view if it is newer; returns whether it was.

        Args:
            view: View that was read or received.
            now_ms: Present time.
        """
        if not view.is_newer_than(self._view):
            return False
        if self._view is not None and view.era > self._view.era:
            self._retained = frozenset(self.zones(now_ms))
            self._retention_end_ms = now_ms + RESTORE_RETENTION_MS
        self._retained -= frozenset(view.zones)
        self._view = view
        return True

    def zones(self, now_ms: int) -> tuple[str, ...]:
        """Returns the zones to which no new flows are sent, sorted."""
        zones = set() if self._view is None else set(self._view.zones)
        if now_ms < self._retention_end_ms:
            zones |= self._retained
        return tuple(sorted(zones))
