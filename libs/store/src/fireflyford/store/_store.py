"""Interface of a key-value store with transactions, leases and watches."""

import abc
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

from fireflyford import core


@dataclasses.dataclass(frozen=True, order=True)
class Position:
    """A position in the history of a store.

    Revisions are issued again after a restore from a copy, which raises the
    era, so they are compared only within one era.

    >>> Position(1, 90) < Position(2, 20)
    True

    Attributes:
        era: Era of the store, 0 where it has none.
        revision: Revision in that era.
    """

    era: int
    revision: int


@dataclasses.dataclass(frozen=True)
class Entry:
    """A key-value pair.

    Attributes:
        key: Key of the pair.
        value: Stored bytes.
        mod_revision: Store revision of the last write to the key.
    """

    key: str
    value: bytes
    mod_revision: int


@dataclasses.dataclass(frozen=True)
class ReadResult:
    """Entries in key order at one store revision.

    Attributes:
        entries: Entries found by a read, or written during a watch.
        revision: Store revision of the result.
        deleted: Keys deleted during a watch, always empty for a read.
        era: Era of the store, 0 where it has none.
    """

    entries: tuple[Entry, ...]
    revision: int
    deleted: tuple[str, ...] = ()
    era: int = 0

    @property
    def position(self) -> Position:
        """Position in the history of the store."""
        return Position(self.era, self.revision)

    def get(self, key: str) -> bytes | None:
        """Returns the value of a key, or None if it was not found."""
        for entry in self.entries:
            if entry.key == key:
                return entry.value
        return None


@dataclasses.dataclass(frozen=True)
class Precondition:
    """Value that a key must have for a commit; None requires its absence.

    The value is compared instead of the revision, because revisions repeat
    after the store is restored from a snapshot.
    """

    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True)
class Write:
    """A write of one key, attached to a lease unless `lease_id` is 0."""

    key: str
    value: bytes
    lease_id: int = 0


@dataclasses.dataclass(frozen=True)
class DeleteRange:
    """Deletion of the keys in the half-open range [first_key, end_key)."""

    first_key: str
    end_key: str


@dataclasses.dataclass(frozen=True)
class CommitResult:
    """Result of a transaction.

    Attributes:
        applied: Whether the preconditions held and all writes were applied.
        revision: Store revision after the transaction.
    """

    applied: bool
    revision: int


class Store(abc.ABC):
    """A key-value store with transactions, leases and watches.

    Reads fail with `STORE_UNAVAILABLE`. Writes fail with `STORE_UNAVAILABLE`
    only if they definitely had no effect, otherwise with
    `STORE_OUTCOME_UNKNOWN`.
    """

    @property
    def era(self) -> int:
        """Latest era that a response has shown, 0 for none."""
        return 0

    def add_era_listener(self, listener: Callable[[], None]) -> None:
        """Adds a function to call when a response shows a later era.

        The first era that becomes known is no later one. The function is called
        before the caller of the method receives that response.
        """
        del listener

    @abc.abstractmethod
    async def read(
        self, prefix: str, limit: int = 0, descending: bool = False
    ) -> core.Outcome[ReadResult]:
        """Reads the entries whose keys start with `prefix`.

        Args:
            prefix: Key prefix or a complete key.
            limit: Maximum number of entries, 0 for no limit.
            descending: Sort by key in descending instead of ascending order.
        """

    @abc.abstractmethod
    async def commit(
        self,
        preconditions: Sequence[Precondition],
        writes: Sequence[Write | DeleteRange],
    ) -> core.Outcome[CommitResult]:
        """Applies all writes atomically if all preconditions hold."""

    @abc.abstractmethod
    async def grant_lease(self, duration_s: int) -> core.Outcome[int]:
        """Creates a lease and returns its ID."""

    @abc.abstractmethod
    async def renew_lease(self, lease_id: int) -> core.Outcome[bool]:
        """Renews a lease; returns False if it has already expired."""

    @abc.abstractmethod
    async def revoke_lease(self, lease_id: int) -> core.Outcome[None]:
        """Revokes a lease and deletes the keys attached to it."""

    @abc.abstractmethod
    def watch(
        self, prefix: str, start_revision: int, duration_ms: int
    ) -> AsyncIterator[core.Outcome[ReadResult]]:
        """Yields changes below `prefix`, starting at `start_revision`.

        Ends after `duration_ms`, or with a failure if the watch is interrupted.
        After a failure the caller must read again before the next watch, unless
        the store reports missing history: then a watch from the same revision
        fails with `STORE_HISTORY_GONE` when that has become necessary.
        """


def prefix_end(prefix: str) -> str:
    """Returns the exclusive end of the key range with this prefix.

    >>> prefix_end("config/")
    'config0'
    """
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)
