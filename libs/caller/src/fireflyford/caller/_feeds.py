"""Feeds of a caller: each moves between connections without a gap.

A leg is one connection that carries the feed. A replacement leg is opened
while the current one still delivers, asks for the events after the last one
seen, and takes over when the service has accepted it; only then is the old
leg closed.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import json
import random
import time

from fireflyford import core
from fireflyford.caller import _connection

RESUME_JITTER_HEADER = "fireflyford-resume-jitter-ms"
_ERROR_HEADER = "fireflyford-error"
_RETRY_AFTER_HEADER = "retry-after-ms"
_ERROR_KINDS = {kind.value: kind for kind in core.ErrorKind}
# Leaves room for a second attempt within the 5 s that a feed may be silent.
_OPEN_LIMIT_MS = 1_500
_LEAVE_LIMIT_MS = 1_500
_DEFAULT_JITTER_MS = 200
_MAX_JITTER_MS = 2_000
# Attempts that keep failing wait longer and longer: an instance that is short
# of CPU would otherwise spend it on handshakes that are given up.
_MAX_OPEN_LIMIT_MS = 6_000
_MAX_BACKOFF_MS = 8_000

Connect = Callable[
    [], contextlib.AbstractAsyncContextManager[_connection.Connection]
]


@dataclasses.dataclass(frozen=True)
class FeedEvent:
    """One event of a feed.

    Attributes:
        sequence: Position in the feed; consecutive events differ by one.
        value: Content of the event.
    """

    sequence: int
    value: object


class FeedStatistics:
    """What happened to a feed since it was opened."""

    def __init__(self) -> None:
        """Starts all figures at zero."""
        self.event_count = 0
        self.moved_count = 0
        self.broken_count = 0
        self.gap_count = 0
        self.repeated_count = 0
        self.longest_silence_ms = 0.0


class FeedRefusedError(Exception):
    """The service refuses the feed and retrying does not help."""

    def __init__(self, failure: core.Failure) -> None:
        """Keeps the failure."""
        super().__init__(failure.message)
        self.failure = failure


@dataclasses.dataclass(frozen=True)
class _Accepted:
    """The service has opened the feed."""


@dataclasses.dataclass(frozen=True)
class _Control:
    """A control line of the agent.

    Attributes:
        resume: Whether to continue after the last event, or afresh.
        window_ms: Time over which the feeds of the agent are to move.
    """

    resume: bool
    window_ms: int


@dataclasses.dataclass(frozen=True)
class _Ended:
    """The leg is over.

    Attributes:
        complete: Whether the feed itself has ended.
        failure: Why the service refused the leg, if it did.
    """

    complete: bool = False
    failure: core.Failure | None = None


_Item = FeedEvent | _Accepted | _Control | _connection.Silence | _Ended


class _Leg:
    """One connection that carries the feed; one task."""

    def __init__(
        self, reader: "FeedReader", delay_ms: float, open_limit_ms: float
    ) -> None:
        self._reader = reader
        self._delay_ms = delay_ms
        self._open_limit_ms = open_limit_ms
        self._due = asyncio.Event()
        self.after = 0
        self.task = asyncio.create_task(self._run())

    def hasten(self, delay_ms: float) -> None:
        """Starts the leg after `delay_ms` if it is not due earlier."""
        asyncio.get_running_loop().call_later(delay_ms / 1000, self._due.set)

    async def _run(self) -> None:
        ended = _Ended()
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._delay_ms / 1000):
                    await self._due.wait()
            async with contextlib.AsyncExitStack() as stack:
                async with asyncio.timeout(self._open_limit_ms / 1000):
                    connection = await stack.enter_async_context(
                        self._reader.connect()
                    )
                self.after = self._reader.next_start()
                stream = connection.send(
                    "GET",
                    _path_after(self._reader.path, self.after),
                    resumable=True,
                )
                try:
                    ended = await self._read(stream)
                    # Told before the connection is closed, which takes long.
                    self._tell(ended)
                finally:
                    await _leave(connection, stream)
        except (OSError, TimeoutError):
            self._tell(ended)

    async def _read(self, stream: _connection.Stream) -> _Ended:
        rest = b""
        refusal: _connection.Head | None = None
        while True:
            event = await stream.events.get()
            if isinstance(event, _connection.Head):
                if event.status_code == 200:
                    self._reader.learn_jitter(event.headers)
                    self._tell(_Accepted())
                else:
                    refusal = event
            elif isinstance(event, _connection.Silence):
                self._tell(event)
            elif isinstance(event, _connection.End):
                if refusal is not None:
                    return _Ended(failure=_refusal(refusal, rest))
                return _Ended(complete=event.complete)
            elif refusal is not None:
                rest += event.payload
            else:
                *lines, rest = (rest + event.payload).split(b"\n")
                for line in lines:
                    self._tell(_parse(line))

    def _tell(self, item: _Item) -> None:
        self._reader.queue.put_nowait((self, item))


class FeedReader:
    """Yields the events of a feed from the legs that carry it."""

    def __init__(
        self, connect: Connect, path: str, after: int, report: FeedStatistics
    ) -> None:
        """Prepares the reader.

        Args:
            connect: Opens a connection to the service.
            path: HTTP path of the feed.
            after: Sequence number of the last event already seen, or 0.
            report: Counts what happened.
        """
        self.connect = connect
        self.path = path
        self.queue: asyncio.Queue[tuple[_Leg, _Item]] = asyncio.Queue()
        self._report = report
        self._position = after
        self._jitter_ms = _DEFAULT_JITTER_MS
        self._attempt = 0
        self._afresh = False
        self._current: _Leg | None = None
        self._replacement: _Leg | None = None
        self._legs: set[asyncio.Task[None]] = set()
        self._heard_s = time.monotonic()

    def next_start(self) -> int:
        """Returns the position that a new leg asks for."""
        return 0 if self._afresh else self._position

    def learn_jitter(self, headers: dict[str, str]) -> None:
        """Takes the spread for resuming after a failure from the service."""
        text = headers.get(RESUME_JITTER_HEADER, "")
        if text.isdecimal():
            self._jitter_ms = min(int(text), _MAX_JITTER_MS)

    def close(self) -> None:
        """Closes all legs."""
        for task in self._legs:
            task.cancel()

    async def events(self) -> AsyncIterator[FeedEvent]:
        """Yields the events in order, each once, until the feed ends."""
        self._replace(0)
        while True:
            leg, item = await self.queue.get()
            if leg is not self._current and leg is not self._replacement:
                continue
            if isinstance(item, FeedEvent):
                if self._take(leg, item):
                    yield item
            elif isinstance(item, _Accepted):
                self._promote(leg)
            elif isinstance(item, _Control):
                self._move(leg, item)
            elif isinstance(item, _connection.Silence):
                self._suspect(leg)
            elif self._end(leg, item):
                return

    def _take(self, leg: _Leg, event: FeedEvent) -> bool:
        if event.sequence <= self._position:
            self._report.repeated_count += 1
            return False
        # A feed that restarts afresh skips what it has missed.
        expected = self._position + 1
        if leg.after and event.sequence != expected:
            self._report.gap_count += 1
        now_s = time.monotonic()
        if self._report.event_count:
            self._report.longest_silence_ms = max(
                self._report.longest_silence_ms, (now_s - self._heard_s) * 1000
            )
        self._heard_s = now_s
        self._report.event_count += 1
        self._position = event.sequence
        return True

    def _promote(self, leg: _Leg) -> None:
        if leg is not self._replacement:
            return
        if not leg.after and self._position and not self._afresh:
            # The old leg delivered its first event in the meantime.
            leg.task.cancel()
            self._replacement = None
            self._replace(0)
            return
        if self._current is not None:
            self._current.task.cancel()
        self._current, self._replacement = leg, None
        self._attempt = 0
        self._afresh = False

    def _move(self, leg: _Leg, control: _Control) -> None:
        if leg is self._current and self._replacement is None:
            self._report.moved_count += 1
            self._afresh = not control.resume
            self._replace(random.uniform(0, control.window_ms))

    def _suspect(self, leg: _Leg) -> None:
        if leg is self._replacement:
            leg.task.cancel()
            self._retry(0)
        else:
            self._break()

    def _end(self, leg: _Leg, ended: _Ended) -> bool:
        failure = ended.failure
        if failure is not None and not failure.spec.retry_allowed:
            raise FeedRefusedError(failure)
        if leg is self._replacement:
            self._retry(0 if failure is None else failure.retry_after_ms)
            return False
        self._current = None
        if not ended.complete:
            self._break()
        return ended.complete

    def _break(self) -> None:
        """Resumes a feed whose current leg has failed."""
        delay_ms = random.uniform(0, self._jitter_ms)
        self._report.broken_count += 1
        if self._replacement is None:
            self._replace(delay_ms)
        else:
            self._replacement.hasten(delay_ms)

    def _retry(self, least_ms: int) -> None:
        """Opens another replacement after one that failed."""
        self._attempt += 1
        backoff_ms = max(self._jitter_ms * 2**self._attempt, least_ms)
        limited_ms = min(backoff_ms, _MAX_BACKOFF_MS)
        self._replace(random.uniform(0.5, 1) * limited_ms)

    def _replace(self, delay_ms: float) -> None:
        limit_ms = min(_OPEN_LIMIT_MS * 2**self._attempt, _MAX_OPEN_LIMIT_MS)
        leg = _Leg(self, delay_ms, limit_ms)
        self._replacement = leg
        self._legs.add(leg.task)
        leg.task.add_done_callback(self._legs.discard)


async def _leave(
    connection: _connection.Connection, stream: _connection.Stream
) -> None:
    """Cancels a stream and waits until the other end knows.

    The datagram that closes a connection is sent once; when it is lost, the
    agent keeps the feed until its probes have failed, and a drain waits.
    """
    if connection.closed:
        return
    stream.cancel()
    with contextlib.suppress(TimeoutError, ConnectionError):
        async with asyncio.timeout(_LEAVE_LIMIT_MS / 1000):
            await connection.ping()


def _path_after(path: str, after: int) -> str:
    joint = "&" if "?" in path else "?"
    return f"{path}{joint}after={after}"


def _parse(line: bytes) -> FeedEvent | _Control:
    fields = json.loads(line)
    control = fields.get("fireflyford-control")
    if control is not None:
        return _Control(control == "resume", int(fields["window_ms"]))
    return FeedEvent(fields["sequence"], fields["value"])


def _refusal(head: _connection.Head, body: bytes) -> core.Failure:
    kind = _ERROR_KINDS.get(
        head.headers.get(_ERROR_HEADER, ""), core.ErrorKind.BACKEND_FAILED
    )
    retry_after = head.headers.get(_RETRY_AFTER_HEADER, "0")
    return core.Failure(kind, body.decode().strip(), int(retry_after))
