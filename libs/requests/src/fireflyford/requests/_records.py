"""Records that prevent requests from running twice."""

import asyncio
from collections.abc import Hashable
import dataclasses
import heapq
import itertools

from fireflyford import core
from fireflyford.requests import _work_item

DEFAULT_MAX_COUNT = 65_536
DEFAULT_MAX_BYTES = 32 << 20


class RequestRecord:
    """One request and its outcome, once it is known."""

    def __init__(self, key: Hashable, fingerprint: bytes) -> None:
        """Creates a record without an outcome.

        Args:
            key: Identity of the request.
            fingerprint: Digest of the content of the request.
        """
        self.key = key
        self.fingerprint = fingerprint
        self.outcome: core.Outcome[_work_item.Response] | None = None
        self._done = asyncio.Event()

    @property
    def kept_bytes(self) -> int:
        """Size of the response body that is kept for repeated requests."""
        if isinstance(self.outcome, core.Ok):
            return len(self.outcome.value.body)
        return 0

    def finish(self, outcome: core.Outcome[_work_item.Response]) -> None:
        """Sets the outcome.

        Raises:
            RuntimeError: The outcome was already set.
        """
        if self.outcome is not None:
            raise RuntimeError("the record already has an outcome")
        self.outcome = outcome
        self._done.set()

    async def wait(self) -> core.Outcome[_work_item.Response]:
        """Waits for the outcome."""
        await self._done.wait()
        assert self.outcome is not None
        return self.outcome


@dataclasses.dataclass(frozen=True)
class Claim:
    """Result of claiming a request for execution.

    Attributes:
        record: Record of the request.
        first: Whether the claimant may run the request; otherwise it is a
            duplicate of the recorded one.
    """

    record: RequestRecord
    first: bool


class RequestRecords:
    """Bounded table of request records.

    At the bound the oldest record is dropped and its issue time becomes the low
    watermark: requests issued at or before it may not start any more. So a
    dropped record never leads to a second run, and a refusal stays final.
    """

    def __init__(
        self,
        clock: core.Clock,
        retention_ms: int,
        max_count: int = DEFAULT_MAX_COUNT,
        max_bytes: int = DEFAULT_MAX_BYTES,
    ) -> None:
        """Creates an empty table.

        Args:
            clock: Clock that issue times refer to.
            retention_ms: Age above which a request may not start.
            max_count: Maximum number of records, at least 1.
            max_bytes: Maximum total size of the responses kept.

        Raises:
            ValueError: `max_count` is below 1.
        """
        if max_count < 1:
            raise ValueError("max_count must be at least 1")
        self._clock = clock
        self._retention_ms = retention_ms
        self._max_count = max_count
        self._max_bytes = max_bytes
        self._records: dict[Hashable, RequestRecord] = {}
        self._by_age: list[tuple[int, int, Hashable]] = []
        self._sequence = itertools.count()
        self._low_watermark_ms = -1
        self.kept_bytes = 0
        self.dropped_count = 0

    def __len__(self) -> int:
        """Returns the number of records."""
        return len(self._records)

    def begin(
        self, key: Hashable, issued_ms: int, fingerprint: bytes
    ) -> core.Outcome[Claim]:
        """Claims a request for execution.

        Args:
            key: Identity of the request.
            issued_ms: When the key was issued.
            fingerprint: Digest of the content, which must match that of
                earlier requests with the key.

        Returns:
            The claim, `TICKET_TOO_OLD` or `TICKET_INVALID`.
        """
        self._expire()
        if self._clock.now_ms() - issued_ms > self._retention_ms:
            return _too_old()
        record = self._records.get(key)
        if record is not None:
            if record.fingerprint != fingerprint:
                return core.Failure(
                    core.ErrorKind.TICKET_INVALID,
                    "the ticket belongs to another request",
                )
            return core.Ok(Claim(record, first=False))
        if issued_ms <= self._low_watermark_ms:
            return _too_old()
        record = RequestRecord(key, fingerprint)
        self._records[key] = record
        heapq.heappush(self._by_age, (issued_ms, next(self._sequence), key))
        self._enforce_bounds()
        if key not in self._records:
            return _too_old()
        return core.Ok(Claim(record, first=True))

    def finish(
        self, record: RequestRecord, outcome: core.Outcome[_work_item.Response]
    ) -> None:
        """Sets the outcome of a request claimed by `begin`."""
        record.finish(outcome)
        if self._records.get(record.key) is record:
            self.kept_bytes += record.kept_bytes
            self._enforce_bounds()

    def _expire(self) -> None:
        limit_ms = self._clock.now_ms() - self._retention_ms
        while self._by_age and self._by_age[0][0] < limit_ms:
            self._drop_oldest()

    def _enforce_bounds(self) -> None:
        while (
            len(self._records) > self._max_count
            or self.kept_bytes > self._max_bytes
        ):
            issued_ms = self._drop_oldest()
            self._low_watermark_ms = max(self._low_watermark_ms, issued_ms)
            self.dropped_count += 1

    def _drop_oldest(self) -> int:
        issued_ms, _, key = heapq.heappop(self._by_age)
        record = self._records.pop(key)
        self.kept_bytes -= record.kept_bytes
        return issued_ms


def _too_old() -> core.Failure:
    return core.Failure(
        core.ErrorKind.TICKET_TOO_OLD,
        "the ticket is too old to tell whether the request ran",
    )
