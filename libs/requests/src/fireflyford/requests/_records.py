"""Records of requests that must not run twice."""

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
        """Takes the identity and the digest of the request's content."""
        self.key = key
        self.fingerprint = fingerprint
        self.outcome: core.Outcome[_work_item.Response] | None = None
        self._done = asyncio.Event()

    @property
    def kept_bytes(self) -> int:
        """Size of the response that is kept for a repetition."""
        if isinstance(self.outcome, core.Ok):
            return len(self.outcome.value.body)
        return 0

    def finish(self, outcome: core.Outcome[_work_item.Response]) -> None:
        """Sets the outcome; a second call is a programming error."""
        if self.outcome is not None:
            raise RuntimeError("a record has one outcome")
        self.outcome = outcome
        self._done.set()

    async def wait(self) -> core.Outcome[_work_item.Response]:
        """Waits for the outcome."""
        await self._done.wait()
        assert self.outcome is not None
        return self.outcome


@dataclasses.dataclass(frozen=True)
class Claim:
    """Right to run a request, or a reference to its earlier copy.

    Attributes:
        record: Record of the request.
        first: Whether this copy is the one that may run.
    """

    record: RequestRecord
    first: bool


class RequestRecords:
    """Bounded records by key.

    When the bound is reached the oldest record is dropped and its issue time
    becomes a floor: no request issued at or before the floor starts any more.
    A dropped record can therefore never lead to a second run, and a refusal
    stays final.
    """

    def __init__(
        self,
        clock: core.Clock,
        retention_ms: int,
        max_count: int = DEFAULT_MAX_COUNT,
        max_bytes: int = DEFAULT_MAX_BYTES,
    ) -> None:
        """Prepares empty records.

        Args:
            clock: The clock that issue times refer to.
            retention_ms: Age at which a request is too old to start.
            max_count: Records kept at most, at least 1.
            max_bytes: Response bytes kept at most.

        Raises:
            ValueError: No record may be kept.
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
        self._floor_ms = -1
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
            issued_ms: When the identity was issued.
            fingerprint: Digest of the content; a key names one content.

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
        if issued_ms <= self._floor_ms:
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
        """Sets the outcome of a request that `begin` let run."""
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
            self._floor_ms = max(self._floor_ms, issued_ms)
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
