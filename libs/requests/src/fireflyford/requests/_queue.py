"""Order in which waiting requests get a slot."""

import abc
import collections
from collections.abc import Iterator
import dataclasses
import itertools

import sortedcontainers

from fireflyford import config
from fireflyford.requests import _work_item

DEFAULT_MAX_COUNT = 256
DEFAULT_MAX_BYTES = 16 << 20
# One step of priority equals this much waiting time, so that low priority
# waits longer but not for ever.
PRIORITY_STEP_MS = 40
_TOP_PRIORITY = 9
# Long work lets short work pass for this part of its own length.
_LONG_SLACK_RATIO = 0.2
_MAX_IDLE_CALLERS = 1_024


_Share = tuple[str, config.SizeClass]


@dataclasses.dataclass(frozen=True, eq=False)
class QueueEntry:
    """A waiting request.

    Attributes:
        work: The request.
        expected_ms: Expected service time.
        key: Place in the order; lower runs first.
    """

    work: _work_item.WorkItem
    expected_ms: float
    key: tuple[float, int]

    @property
    def size(self) -> config.SizeClass:
        """Size class of the request."""
        return self.work.treatment.size


class WorkQueue(abc.ABC):
    """Waiting requests of one target."""

    @abc.abstractmethod
    def make_entry(
        self, work: _work_item.WorkItem, expected_ms: float, now_ms: int
    ) -> QueueEntry:
        """Returns the entry that `push` would add, without adding it."""

    @abc.abstractmethod
    def push(self, entry: QueueEntry) -> QueueEntry | None:
        """Adds an entry; returns the one that has to leave, if any."""

    @abc.abstractmethod
    def pop(self, allow_long: bool) -> QueueEntry | None:
        """Takes the next entry that may start."""

    @abc.abstractmethod
    def remove(self, entry: QueueEntry) -> None:
        """Takes an entry out, if it is still there."""

    @abc.abstractmethod
    def ahead(self, entry: QueueEntry) -> Iterator[QueueEntry]:
        """Yields the entries that would start before `entry`."""

    @abc.abstractmethod
    def __len__(self) -> int:
        """Returns the number of entries."""


class FifoQueue(WorkQueue):
    """Baseline: one queue in order of arrival."""

    def __init__(self, max_count: int = DEFAULT_MAX_COUNT) -> None:
        """Takes the bound."""
        self._max_count = max_count
        self._entries: dict[QueueEntry, None] = {}
        self._sequence = itertools.count()

    def make_entry(
        self, work: _work_item.WorkItem, expected_ms: float, now_ms: int
    ) -> QueueEntry:
        """Returns an entry behind all others."""
        return QueueEntry(work, expected_ms, (now_ms, next(self._sequence)))

    def push(self, entry: QueueEntry) -> QueueEntry | None:
        """Adds an entry at the end; a full queue returns it."""
        if len(self._entries) >= self._max_count:
            return entry
        self._entries[entry] = None
        return None

    def pop(self, allow_long: bool) -> QueueEntry | None:
        """Takes the oldest entry, long or short."""
        del allow_long
        for entry in self._entries:
            del self._entries[entry]
            return entry
        return None

    def remove(self, entry: QueueEntry) -> None:
        """Takes an entry out, if it is still there."""
        self._entries.pop(entry, None)

    def ahead(self, entry: QueueEntry) -> Iterator[QueueEntry]:
        """Yields all entries."""
        del entry
        return iter(self._entries)

    def __len__(self) -> int:
        """Returns the number of entries."""
        return len(self._entries)


class FairQueue(WorkQueue):
    """Separate queues of short and long work, fair between callers.

    The key of an entry is its arrival time, delayed by its priority, by the
    work that its caller already has queued (start-time fair queueing) and,
    for long work, by a part of its length. Every key is finite, so nothing
    waits for ever.
    """

    def __init__(
        self,
        slot_count: int,
        max_count: int = DEFAULT_MAX_COUNT,
        max_bytes: int = DEFAULT_MAX_BYTES,
    ) -> None:
        """Takes the slots that drain the queue and the bounds.

        Raises:
            ValueError: There is no slot or no place.
        """
        if slot_count < 1 or max_count < 1:
            raise ValueError("slot_count and max_count must be at least 1")
        self._slot_count = slot_count
        self._max_count = max_count
        self._max_bytes = max_bytes
        self._lists = {
            size: sortedcontainers.SortedKeyList(key=lambda item: item.key)
            for size in config.SizeClass
        }
        self._sequence = itertools.count()
        # Long work of a caller does not delay its short work.
        self._caller_ms: dict[_Share, float] = {}
        self._queued_by_caller: collections.Counter[_Share] = (
            collections.Counter()
        )
        self.queued_bytes = 0

    def make_entry(
        self, work: _work_item.WorkItem, expected_ms: float, now_ms: int
    ) -> QueueEntry:
        """Returns the entry at its place in the order."""
        share = (work.caller, work.treatment.size)
        start_ms = max(float(now_ms), self._caller_ms.get(share, 0.0))
        treatment = work.treatment
        start_ms += (_TOP_PRIORITY - treatment.priority) * PRIORITY_STEP_MS
        if treatment.size is config.SizeClass.LONG:
            start_ms += expected_ms * _LONG_SLACK_RATIO
        return QueueEntry(work, expected_ms, (start_ms, next(self._sequence)))

    def push(self, entry: QueueEntry) -> QueueEntry | None:
        """Adds an entry; a full queue gives up its last one."""
        share = (entry.work.caller, entry.size)
        self._queued_by_caller[share] += 1
        share_ms = (
            entry.expected_ms * len(self._queued_by_caller) / self._slot_count
        )
        arrived_ms = float(entry.work.arrived_ms)
        self._caller_ms[share] = (
            max(arrived_ms, self._caller_ms.get(share, 0.0)) + share_ms
        )
        self._forget_idle_callers(arrived_ms)
        self._lists[entry.size].add(entry)
        self.queued_bytes += len(entry.work.body)
        if len(self) > self._max_count or self.queued_bytes > self._max_bytes:
            last: QueueEntry = max(
                (items[-1] for items in self._lists.values() if items),
                key=lambda item: item.key,
            )
            self.remove(last)
            return last
        return None

    def _forget_idle_callers(self, now_ms: float) -> None:
        if len(self._caller_ms) <= _MAX_IDLE_CALLERS:
            return
        self._caller_ms = {
            share: time_ms
            for share, time_ms in self._caller_ms.items()
            if time_ms > now_ms or share in self._queued_by_caller
        }

    def pop(self, allow_long: bool) -> QueueEntry | None:
        """Takes the entry with the lowest key that may start."""
        heads = [
            items[0]
            for size, items in self._lists.items()
            if items and (allow_long or size is config.SizeClass.SHORT)
        ]
        if not heads:
            return None
        entry: QueueEntry = min(heads, key=lambda item: item.key)
        self.remove(entry)
        return entry

    def remove(self, entry: QueueEntry) -> None:
        """Takes an entry out, if it is still there."""
        items = self._lists[entry.size]
        index = items.bisect_key_left(entry.key)
        if index == len(items) or items[index] is not entry:
            return
        del items[index]
        self.queued_bytes -= len(entry.work.body)
        share = (entry.work.caller, entry.size)
        self._queued_by_caller[share] -= 1
        if not self._queued_by_caller[share]:
            del self._queued_by_caller[share]

    def ahead(self, entry: QueueEntry) -> Iterator[QueueEntry]:
        """Yields the entries with a lower key."""
        for items in self._lists.values():
            yield from items.irange_key(max_key=entry.key, inclusive=(1, 0))

    def __len__(self) -> int:
        """Returns the number of entries."""
        return sum(len(items) for items in self._lists.values())
