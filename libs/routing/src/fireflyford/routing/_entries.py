"""Entries of an agent's flow table, bounded by count and idle time."""

import collections
from collections.abc import Iterator

from fireflyford import core
from fireflyford.routing import _flow_messages

# A full table evicts its least recently used entry if that is idle for at least
# this long and is not a held flow. Searches take far less time, so none is
# evicted while it runs.
MIN_EVICTION_IDLE_MS = 5_000


class Entry:
    """State of one flow at this agent.

    Attributes named `*timestamp_ms` are the low 40 bits of the wall-clock time,
    as messages carry them between agents. All other times are monotonic.

    Attributes:
        used_ms: Time of the last use.
    """

    def __init__(self, now_ms: int) -> None:
        """Creates an entry that was last used at `now_ms`."""
        self.used_ms = now_ms


class HeldEntry(Entry):
    """Entry of a flow that this agent holds.

    Attributes:
        timestamp_ms: Wall-clock time of the adoption.
        last_datagram_timestamp_ms: Wall-clock time of the caller's last
            datagram.
        notified_ms: Time of the last notice to each agent.
    """

    def __init__(self, now_ms: int, timestamp_ms: int) -> None:
        """Creates the entry of a flow adopted at `timestamp_ms`."""
        super().__init__(now_ms)
        self.timestamp_ms = timestamp_ms
        self.last_datagram_timestamp_ms = timestamp_ms
        self.notified_ms: dict[core.Holder, int] = {}


class SearchEntry(Entry):
    """Entry of a flow whose holder this agent searches for.

    Attributes:
        timestamp_ms: Wall-clock start of the search.
        chain: Candidates to ask in order, followed by this agent.
        attempt_count: Number of attempts after the first, each made after a
            timeout.
        deadline_ms: Time at which the current attempt times out.
        competing_agents: Agents whose datagrams of the flow were held back
            until this search ends. They are notified if this agent adopts the
            flow.
    """

    def __init__(
        self,
        now_ms: int,
        timestamp_ms: int,
        chain: tuple[core.Holder, ...],
        deadline_ms: int,
    ) -> None:
        """Creates the entry of a search that has sent nothing yet."""
        super().__init__(now_ms)
        self.timestamp_ms = timestamp_ms
        self.chain = chain
        self.attempt_count = 0
        self.deadline_ms = deadline_ms
        self.competing_agents: tuple[core.Holder, ...] = ()


class DirectoryEntry(Entry):
    """Entry of a flow that another agent holds.

    A tentative entry names the agent that is expected to adopt the flow if the
    search begun at `timestamp_ms` finds no holder. It is the searching agent
    or, if a draining agent has passed its search on, that agent's successor.

    Attributes:
        holder: The other agent.
        tentative: Whether the other agent has not announced yet that it holds
            the flow.
        timestamp_ms: Wall-clock start of the search for a tentative entry.
        added_ms: Time at which the entry was added.
        unconfirmed_count: Number of forwarded datagrams, at most one for each
            confirmation interval, since the holder last confirmed that it holds
            the flow. A confirmation replaces the entry.
        last_counted_ms: Time at which `unconfirmed_count` last increased.
    """

    def __init__(
        self,
        now_ms: int,
        holder: core.Holder,
        tentative: bool,
        timestamp_ms: int = 0,
    ) -> None:
        """Creates an entry without unconfirmed datagrams."""
        super().__init__(now_ms)
        self.holder = holder
        self.tentative = tentative
        self.timestamp_ms = timestamp_ms
        self.added_ms = now_ms
        self.unconfirmed_count = 0
        self.last_counted_ms = now_ms

    def permits_search(
        self, datagram: _flow_messages.ForwardedDatagram
    ) -> bool:
        """Returns whether a search may proceed despite this tentative entry.

        True for the search that created the entry and for searches that take
        precedence over it. Otherwise two searches could wait for each other
        indefinitely.
        """
        if datagram.hops == 0 or not datagram.chain:
            return False
        searcher = datagram.chain[-1]
        if searcher == self.holder:
            return True
        earlier = (datagram.timestamp_ms, searcher) < (
            self.timestamp_ms,
            self.holder,
        )
        return datagram.timestamp_ms != 0 and earlier


class EntryTable:
    """Entries by flow key, in order from least to most recently used."""

    def __init__(self, max_entries: int, max_held_flows: int) -> None:
        """Creates an empty table.

        Args:
            max_entries: Maximum number of entries of all kinds.
            max_held_flows: Maximum number of entries of held flows.
        """
        self._max_entries = max_entries
        self._max_held = max_held_flows
        self._by_key: collections.OrderedDict[int, Entry] = (
            collections.OrderedDict()
        )
        self.held_count = 0

    def __len__(self) -> int:
        """Returns the number of entries of all kinds."""
        return len(self._by_key)

    def __iter__(self) -> Iterator[tuple[int, Entry]]:
        """Iterates over a snapshot, so that callers may remove entries."""
        return iter(tuple(self._by_key.items()))

    def get(self, flow_key: int) -> Entry | None:
        """Returns an entry without marking it as used."""
        return self._by_key.get(flow_key)

    def touch(self, flow_key: int, now_ms: int) -> Entry | None:
        """Returns an entry and marks it as most recently used."""
        entry = self._by_key.get(flow_key)
        if entry is not None:
            entry.used_ms = now_ms
            self._by_key.move_to_end(flow_key)
        return entry

    def put(self, flow_key: int, entry: Entry) -> bool:
        """Adds or replaces an entry.

        Returns:
            False if a limit is reached and the entry was not stored. Held
            flows are never evicted, so a flood of new keys cannot break open
            flows.
        """
        known = self._by_key.get(flow_key)
        if known is None and not self._make_room(entry.used_ms):
            return False
        if isinstance(entry, HeldEntry):
            if self.held_count >= self._max_held:
                return False
            self.held_count += 1
        if isinstance(known, HeldEntry):
            self.held_count -= 1
        self._by_key[flow_key] = entry
        self._by_key.move_to_end(flow_key)
        return True

    def _make_room(self, now_ms: int) -> bool:
        if len(self._by_key) < self._max_entries:
            return True
        key, oldest = next(iter(self._by_key.items()))
        if (
            isinstance(oldest, HeldEntry)
            or now_ms - oldest.used_ms < MIN_EVICTION_IDLE_MS
        ):
            return False
        self.remove(key)
        return True

    def remove(self, flow_key: int) -> None:
        """Removes an entry, if there is one."""
        if isinstance(self._by_key.pop(flow_key, None), HeldEntry):
            self.held_count -= 1

    def remove_idle(self, oldest_ms: int) -> tuple[int, ...]:
        """Removes the entries that were last used before `oldest_ms`.

        Returns:
            Keys of the held flows among the removed entries.
        """
        held_keys = []
        while self._by_key:
            key, entry = next(iter(self._by_key.items()))
            if entry.used_ms >= oldest_ms:
                break
            if isinstance(entry, HeldEntry):
                held_keys.append(key)
            self.remove(key)
        return tuple(held_keys)
