"""Availability zones that operators have evacuated.

A zone is evacuated while its key exists in the store. Balancers read the keys;
agents learn the evacuated zones from opening packets.
"""

from collections.abc import Callable
import dataclasses

from fireflyford import core
from fireflyford import telemetry

# A process that has done nothing for this time was paused: its event loop is
# otherwise active every 60 ms. Datagrams that waited meanwhile are of unknown
# age. Shorter than the time in which an evacuation takes effect, 5 s.
PAUSE_MS = 1_000
# Sweeps after a pause until the datagrams that waited have been read. The first
# one may be due before any of them.
_SWEEPS_AFTER_PAUSE = 2
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


class Evacuations:
    """The newest view that an instance has seen, and the zones by it.

    A store that was restored from a copy may lack an evacuation, which the
    operator writes again. Zones that were evacuated when the era rose therefore
    remain so until a view of the later era contains them, from which time on
    only the store counts, or until the retention has ended. The view itself
    stays as it was read, so that all instances with one position agree on it.
    """

    def __init__(self, clock: core.Clock) -> None:
        """Initializes without a view: no zone is known to be evacuated.

        Args:
            clock: Source of time.
        """
        self._clock = clock
        self._view: EvacuationView | None = None
        self._retained: frozenset[str] = frozenset()
        self._retention_end_ms = 0

    @property
    def view(self) -> EvacuationView | None:
        """The newest view, None before the first one."""
        return self._view

    @property
    def zones(self) -> tuple[str, ...]:
        """Evacuated zones, none before the first view."""
        if self._view is None:
            return ()
        if not self._retained or self._clock.now_ms() >= self._retention_end_ms:
            return self._view.zones
        return tuple(sorted(self._retained.union(self._view.zones)))

    def learn(self, view: EvacuationView | None, source: object) -> bool:
        """Keeps a view if it is newer than the known one.

        Args:
            view: A view, None if the source has none.
            source: The instance that sent it, or the store.

        Returns:
            Whether the evacuated zones have changed.
        """
        # Nearly every opening packet carries the known view again.
        if view is None or not view.is_newer_than(self._view):
            return False
        before = self.zones
        if self._view is not None and view.era > self._view.era:
            self._retained = frozenset(before)
            self._retention_end_ms = self._clock.now_ms() + RESTORE_RETENTION_MS
        self._retained -= frozenset(view.zones)
        self._view = view
        if self.zones == before:
            return False
        telemetry.log(
            "evacuation-changed",
            zones=",".join(self.zones),
            before=",".join(before),
            era=view.era,
            revision=view.revision,
            source=source,
        )
        return True


class PauseGuard:
    """Detects that the process was paused for longer than `PAUSE_MS`."""

    def __init__(
        self, clock: core.Clock, handle_pause: Callable[[], None]
    ) -> None:
        """Starts with a process that is not paused.

        Args:
            clock: Source of time.
            handle_pause: Called after each pause.
        """
        self._clock = clock
        self._handle_pause = handle_pause
        self._last_ms = clock.now_ms()
        self._sweeps_left = 0

    def is_backlog(self) -> bool:
        """Returns whether a message may have waited during a pause."""
        self._record_activity()
        return self._sweeps_left > 0

    def sweep(self) -> None:
        """Records a sweep of the event loop."""
        was_paused = self._record_activity()
        if self._sweeps_left and not was_paused:
            self._sweeps_left -= 1

    def _record_activity(self) -> bool:
        now_ms = self._clock.now_ms()
        pause_ms = now_ms - self._last_ms
        self._last_ms = now_ms
        if pause_ms <= PAUSE_MS:
            return False
        telemetry.log("process-paused", duration_ms=pause_ms)
        self._sweeps_left = _SWEEPS_AFTER_PAUSE
        self._handle_pause()
        return True
