"""What the project needs of a key-value service."""

import abc
from collections.abc import AsyncIterator
from collections.abc import Sequence
import dataclasses

from fireflyford import core


@dataclasses.dataclass(frozen=True)
class Entry:
    """One key with its value.

    Attributes:
        key: Name of the entry.
        value: Content.
        mod_revision: Revision of the store at which it was last written.
    """

    key: str
    value: bytes
    mod_revision: int


@dataclasses.dataclass(frozen=True)
class ReadResult:
    """Entries in the order of their keys, as of one revision.

    Attributes:
        entries: Entries that were found, or written in the case of a watch.
        revision: Revision of the store.
        deleted: Keys that were deleted, in the case of a watch.
    """

    entries: tuple[Entry, ...]
    revision: int
    deleted: tuple[str, ...] = ()

    def get(self, key: str) -> bytes | None:
        """Returns the value of a key, or None if it was not found."""
        for entry in self.entries:
            if entry.key == key:
                return entry.value
        return None


@dataclasses.dataclass(frozen=True)
class Precondition:
    """Value that a key must have for a commit; None expects no entry.

    The value is compared rather than the revision, because revisions repeat
    after the store was restored from a snapshot.
    """

    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True)
class Write:
    """One entry to write, under a lease unless `lease_id` is 0."""

    key: str
    value: bytes
    lease_id: int = 0


@dataclasses.dataclass(frozen=True)
class DeleteRange:
    """Deletion of the keys from `first_key` up to, but not, `end_key`."""

    first_key: str
    end_key: str


@dataclasses.dataclass(frozen=True)
class CommitResult:
    """Result of a transaction.

    Attributes:
        applied: Whether the preconditions held and everything was written.
        revision: Revision of the store afterwards.
    """

    applied: bool
    revision: int


class Store(abc.ABC):
    """A key-value service with transactions, leases and watches.

    Reads fail with `STORE_UNAVAILABLE`. Writes fail with it only when they
    certainly did not take effect, otherwise with `STORE_OUTCOME_UNKNOWN`.
    """

    @abc.abstractmethod
    async def read(
        self, prefix: str, limit: int = 0, descending: bool = False
    ) -> core.Outcome[ReadResult]:
        """Reads the entries whose keys start with `prefix`.

        Args:
            prefix: Start of the keys, or a whole key.
            limit: Largest number of entries, 0 for all.
            descending: Orders by descending key instead of ascending.
        """

    @abc.abstractmethod
    async def commit(
        self,
        preconditions: Sequence[Precondition],
        writes: Sequence[Write | DeleteRange],
    ) -> core.Outcome[CommitResult]:
        """Writes everything if all preconditions hold, otherwise nothing."""

    @abc.abstractmethod
    async def grant_lease(self, duration_s: int) -> core.Outcome[int]:
        """Returns the identifier of a new lease."""

    @abc.abstractmethod
    async def renew_lease(self, lease_id: int) -> core.Outcome[bool]:
        """Renews a lease; returns False when it has already expired."""

    @abc.abstractmethod
    async def revoke_lease(self, lease_id: int) -> core.Outcome[None]:
        """Ends a lease and deletes its entries."""

    @abc.abstractmethod
    def watch(
        self, prefix: str, start_revision: int, duration_ms: int
    ) -> AsyncIterator[core.Outcome[ReadResult]]:
        """Yields changes under `prefix` from `start_revision` on.

        Ends after `duration_ms`, or with a failure when the watch broke; the
        caller reads again before it watches again.
        """


def prefix_end(prefix: str) -> str:
    """Returns the first key after all keys that start with `prefix`.

    >>> prefix_end("config/")
    'config0'
    """
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)
