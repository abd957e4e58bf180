"""What one agent knows of each flow, bounded by count and idle time."""

import collections
from collections.abc import Iterator

from fireflyford import core
from fireflyford.routing import _claims

# When the table is full, an entry of a flow held elsewhere that was unused for
# this long makes room; a search is over long before.
RECLAIM_AFTER_MS = 5_000


class Entry:
    """State of one flow at this agent."""

    def __init__(self, now_ms: int) -> None:
        """Notes the time of the last use."""
        self.used_ms = now_ms


class Held(Entry):
    """This agent holds the flow."""

    def __init__(self, now_ms: int, timestamp_ms: int) -> None:
        """Notes when the flow was adopted."""
        super().__init__(now_ms)
        self.timestamp_ms = timestamp_ms
        # Last datagram of the caller, on the scale of stamps.
        self.heard_stamp = timestamp_ms
        self.told_ms: dict[core.Holder, int] = {}


class Searching(Entry):
    """This agent is the flow's first target and asks the candidates."""

    def __init__(
        self,
        now_ms: int,
        timestamp_ms: int,
        chain: tuple[core.Holder, ...],
        deadline_ms: int,
    ) -> None:
        """Notes the chain that is asked."""
        super().__init__(now_ms)
        self.timestamp_ms = timestamp_ms
        self.chain = chain
        self.attempt_count = 0
        self.deadline_ms = deadline_ms
        self.rivals: tuple[core.Holder, ...] = ()


class Listed(Entry):
    """Directory entry: another agent holds the flow.

    A tentative entry says that the other agent is searching, since `stamp`,
    and adopts the flow if nobody holds it.
    """

    def __init__(
        self,
        now_ms: int,
        holder: core.Holder,
        tentative: bool,
        timestamp_ms: int = 0,
    ) -> None:
        """Notes the other agent."""
        super().__init__(now_ms)
        self.holder = holder
        self.tentative = tentative
        self.timestamp_ms = timestamp_ms
        self.listed_ms = now_ms
        # Datagrams passed to the holder that it should have confirmed, and
        # the time of the last one.
        self.unanswered_count = 0
        self.counted_ms = now_ms

    def lets_pass(self, datagram: _claims.ForwardedDatagram) -> bool:
        """Returns whether a search passes this reservation.

        It does when it is the search that made the reservation, or one that
        goes before that: two searches that waited for each other would never
        end.
        """
        if datagram.hops == 0 or not datagram.chain:
            return False
        first = datagram.chain[-1]
        if first == self.holder:
            return True
        earlier = (datagram.timestamp_ms, first) < (
            self.timestamp_ms,
            self.holder,
        )
        return datagram.timestamp_ms != 0 and earlier


class Entries:
    """Entries by flow key, least recently used first."""

    def __init__(self, max_entries: int, max_held_flows: int) -> None:
        """Takes the bounds of all entries and of held flows."""
        self._max_entries = max_entries
        self._max_held = max_held_flows
        self._by_key: collections.OrderedDict[int, Entry] = (
            collections.OrderedDict()
        )
        self.held_count = 0

    def __len__(self) -> int:
        """Returns the number of entries."""
        return len(self._by_key)

    def __iter__(self) -> Iterator[tuple[int, Entry]]:
        """Iterates over a copy, so that entries may be removed."""
        return iter(tuple(self._by_key.items()))

    def get(self, flow_key: int) -> Entry | None:
        """Returns an entry without using it."""
        return self._by_key.get(flow_key)

    def use(self, flow_key: int, now_ms: int) -> Entry | None:
        """Returns an entry and notes the use."""
        entry = self._by_key.get(flow_key)
        if entry is not None:
            entry.used_ms = now_ms
            self._by_key.move_to_end(flow_key)
        return entry

    def put(self, flow_key: int, entry: Entry) -> bool:
        """Adds or replaces an entry.

        Returns:
            False if there is no room: open flows are never given up for new
            ones, so a flood of new keys cannot break them.
        """
        known = self._by_key.get(flow_key)
        if known is None and not self._has_room(entry.used_ms):
            return False
        if isinstance(entry, Held):
            if self.held_count >= self._max_held:
                return False
            self.held_count += 1
        if isinstance(known, Held):
            self.held_count -= 1
        self._by_key[flow_key] = entry
        self._by_key.move_to_end(flow_key)
        return True

    def _has_room(self, now_ms: int) -> bool:
        if len(self._by_key) < self._max_entries:
            return True
        key, oldest = next(iter(self._by_key.items()))
        if (
            isinstance(oldest, Held)
            or now_ms - oldest.used_ms < RECLAIM_AFTER_MS
        ):
            return False
        self.remove(key)
        return True

    def remove(self, flow_key: int) -> None:
        """Removes an entry."""
        if isinstance(self._by_key.pop(flow_key, None), Held):
            self.held_count -= 1

    def remove_idle(self, oldest_ms: int) -> tuple[int, ...]:
        """Removes entries last used before a time.

        Returns:
            Keys of the held flows among them.
        """
        dropped = []
        while self._by_key:
            key, entry = next(iter(self._by_key.items()))
            if entry.used_ms >= oldest_ms:
                break
            if isinstance(entry, Held):
                dropped.append(key)
            self.remove(key)
        return tuple(dropped)
