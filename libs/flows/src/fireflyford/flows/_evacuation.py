"""Availability zones that operators have evacuated."""

import dataclasses


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
