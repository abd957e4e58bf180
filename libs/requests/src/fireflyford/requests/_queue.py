"""Queues that order the requests waiting for a slot."""

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
# One level of priority counts as this much waiting time, so low-priority
# requests wait longer but do not starve.
PRIORITY_STEP_MS = 40
_MAX_PRIORITY = 9
# Short requests may overtake a long one if they arrive within this fraction of
# its expected service time.
_LONG_DEFERRAL_RATIO = 0.2
# Callers without queued requests are removed from the fairness state only when
# it has more entries than this.
_IDLE_EVICTION_THRESHOLD = 1_024

# Caller and size class, between which slots are shared fairly. The size class
# is included so that long requests of a caller do not delay its short ones.
_FairnessKey = tuple[str, config.SizeClass]


@dataclasses.dataclass(frozen=True, eq=False)
class QueueEntry:
    """A waiting request.

    Attributes:
        work: The request.
        expected_ms: Expected service time.
        key: Sort key; the lowest runs first.
    """

    work: _work_item.WorkItem
    expected_ms: float
    key: tuple[float, int]

    @property
    def size(self) -> config.SizeClass:
        """Size class of the request."""
        return self.work.treatment.size


class WorkQueue(abc.ABC):
    """Queue of the requests that wait at one target."""

    @abc.abstractmethod
    def make_entry(
        self, work: _work_item.WorkItem, expected_ms: float, now_ms: int
    ) -> QueueEntry:
        """Returns the entry that `push` would add, without adding it."""

    @abc.abstractmethod
    def push(self, entry: QueueEntry) -> QueueEntry | None:
        """Adds an entry; returns the entry that was evicted, if any.

        The evicted entry may be the added one.
        """

    @abc.abstractmethod
    def pop(self, allow_long: bool) -> QueueEntry | None:
        """Removes and returns the next entry that may start."""

    @abc.abstractmethod
    def remove(self, entry: QueueEntry) -> None:
        """Removes an entry if it is still queued."""

    @abc.abstractmethod
    def entries_ahead(self, entry: QueueEntry) -> Iterator[QueueEntry]:
        """Yields the queued entries that would start before a new one."""

    @abc.abstractmethod
    def __len__(self) -> int:
        """Returns the number of entries."""


class FifoQueue(WorkQueue):
    """A single queue in order of arrival, as a baseline for comparisons."""

    def __init__(self, max_count: int = DEFAULT_MAX_COUNT) -> None:
        """Creates an empty queue.

        Args:
            max_count: Maximum number of entries.
        """
        self._max_count = max_count
        self._entries: dict[QueueEntry, None] = {}
        self._sequence = itertools.count()

    def make_entry(
        self, work: _work_item.WorkItem, expected_ms: float, now_ms: int
    ) -> QueueEntry:
        """Returns an entry ordered after all others."""
        return QueueEntry(work, expected_ms, (now_ms, next(self._sequence)))

    def push(self, entry: QueueEntry) -> QueueEntry | None:
        """Appends an entry; a full queue rejects and returns it."""
        if len(self._entries) >= self._max_count:
            return entry
        self._entries[entry] = None
        return None

    def pop(self, allow_long: bool) -> QueueEntry | None:
        """Removes and returns the oldest entry of either size class."""
        del allow_long
        for entry in self._entries:
            del self._entries[entry]
            return entry
        return None

    def remove(self, entry: QueueEntry) -> None:
        """Removes an entry if it is still queued."""
        self._entries.pop(entry, None)

    def entries_ahead(self, entry: QueueEntry) -> Iterator[QueueEntry]:
        """Yields all entries, since a new one is last."""
        del entry
        return iter(self._entries)

    def __len__(self) -> int:
        """Returns the number of entries."""
        return len(self._entries)


class FairQueue(WorkQueue):
    """Separate queues of short and long requests, fair between callers.

    The key of an entry is its arrival time plus delays for its priority, for
    the requests that its caller has queued already (start-time fair queueing)
    and, for long requests, for a fraction of their service time. Every key is
    finite, so no request starves.
    """

    def __init__(
        self,
        slot_count: int,
        max_count: int = DEFAULT_MAX_COUNT,
        max_bytes: int = DEFAULT_MAX_BYTES,
    ) -> None:
        """Creates an empty queue.

        Args:
            slot_count: Number of slots that serve the queue, at least 1.
            max_count: Maximum number of entries, at least 1.
            max_bytes: Maximum total size of the request bodies.

        Raises:
            ValueError: `slot_count` or `max_count` is below 1.
        """
        if slot_count < 1 or max_count < 1:
            raise ValueError("slot_count and max_count must be at least 1")
        self._slot_count = slot_count
        self._max_count = max_count
        self._max_bytes = max_bytes
        self._queues_by_size = {
            size: sortedcontainers.SortedKeyList(key=lambda item: item.key)
            for size in config.SizeClass
        }
        self._sequence = itertools.count()
        # Time at which all requests pushed so far under a key would finish on
        # the fair share of their caller.
        self._virtual_finish_ms: dict[_FairnessKey, float] = {}
        self._queued_by_caller: collections.Counter[_FairnessKey] = (
            collections.Counter()
        )
        self.queued_bytes = 0

    def make_entry(
        self, work: _work_item.WorkItem, expected_ms: float, now_ms: int
    ) -> QueueEntry:
        """Returns an entry with the sort key of a request arriving now."""
        fairness_key = (work.caller, work.treatment.size)
        start_ms = max(
            float(now_ms), self._virtual_finish_ms.get(fairness_key, 0.0)
        )
        treatment = work.treatment
        start_ms += (_MAX_PRIORITY - treatment.priority) * PRIORITY_STEP_MS
        if treatment.size is config.SizeClass.LONG:
            start_ms += expected_ms * _LONG_DEFERRAL_RATIO
        return QueueEntry(work, expected_ms, (start_ms, next(self._sequence)))

    def push(self, entry: QueueEntry) -> QueueEntry | None:
        """Adds an entry; a full queue evicts its last one."""
        fairness_key = (entry.work.caller, entry.size)
        self._queued_by_caller[fairness_key] += 1
        # Time that the request takes if the slots are divided equally among
        # the callers with queued requests.
        cost_ms = (
            entry.expected_ms * len(self._queued_by_caller) / self._slot_count
        )
        arrived_ms = float(entry.work.arrived_ms)
        self._virtual_finish_ms[fairness_key] = (
            max(arrived_ms, self._virtual_finish_ms.get(fairness_key, 0.0))
            + cost_ms
        )
        self._evict_idle_callers(arrived_ms)
        self._queues_by_size[entry.size].add(entry)
        self.queued_bytes += len(entry.work.body)
        if len(self) > self._max_count or self.queued_bytes > self._max_bytes:
            last: QueueEntry = max(
                (items[-1] for items in self._queues_by_size.values() if items),
                key=lambda item: item.key,
            )
            self.remove(last)
            return last
        return None

    def _evict_idle_callers(self, now_ms: float) -> None:
        if len(self._virtual_finish_ms) <= _IDLE_EVICTION_THRESHOLD:
            return
        self._virtual_finish_ms = {
            fairness_key: time_ms
            for fairness_key, time_ms in self._virtual_finish_ms.items()
            if time_ms > now_ms or fairness_key in self._queued_by_caller
        }

    def pop(self, allow_long: bool) -> QueueEntry | None:
        """Removes and returns the entry with the lowest key that may start."""
        heads = [
            items[0]
            for size, items in self._queues_by_size.items()
            if items and (allow_long or size is config.SizeClass.SHORT)
        ]
        if not heads:
            return None
        entry: QueueEntry = min(heads, key=lambda item: item.key)
        self.remove(entry)
        return entry

    def remove(self, entry: QueueEntry) -> None:
        """Removes an entry if it is still queued."""
        items = self._queues_by_size[entry.size]
        index = items.bisect_key_left(entry.key)
        if index == len(items) or items[index] is not entry:
            return
        del items[index]
        self.queued_bytes -= len(entry.work.body)
        fairness_key = (entry.work.caller, entry.size)
        self._queued_by_caller[fairness_key] -= 1
        if not self._queued_by_caller[fairness_key]:
            del self._queued_by_caller[fairness_key]

    def entries_ahead(self, entry: QueueEntry) -> Iterator[QueueEntry]:
        """Yields the entries with a lower key."""
        for items in self._queues_by_size.values():
            yield from items.irange_key(max_key=entry.key, inclusive=(1, 0))

    def __len__(self) -> int:
        """Returns the number of entries."""
        return sum(len(items) for items in self._queues_by_size.values())
