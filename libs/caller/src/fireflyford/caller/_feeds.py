"""Feeds that move between connections without losing events.

A feed moves when its agent asks for that or when its connection fails. A
replacement connection is opened, while the current one delivers if it still
can. The replacement requests the events after the last one received and takes
over when the service has accepted the feed; only then is the old connection
closed.
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

# Response header with the maximum random delay before a feed is resumed after a
# failure, so that the callers of a failed agent do not all reconnect at once.
RESUME_JITTER_HEADER = "fireflyford-resume-jitter-ms"
_ERROR_HEADER = "fireflyford-error"
_RETRY_AFTER_HEADER = "retry-after-ms"
_ERROR_KINDS = {kind.value: kind for kind in core.ErrorKind}
# Allows a second attempt within the 5 s for which a feed may be silent.
_OPEN_TIMEOUT_MS = 1_500
_CLOSE_TIMEOUT_MS = 1_500
_DEFAULT_JITTER_MS = 200
_MAX_JITTER_MS = 2_000
# Upper bounds of the exponential backoff. Without a backoff, an instance that
# is short of CPU would spend its time on handshakes that callers abandon.
_MAX_OPEN_TIMEOUT_MS = 6_000
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
    """Counters of a feed since it was opened.

    Attributes:
        event_count: Events received, without repeated ones.
        moved_count: Moves to another connection that an agent asked for.
        broken_count: Failures, also suspected ones, of the connection that
            carried the feed.
        gap_count: Gaps in the sequence numbers of a resumed feed.
        repeated_count: Events received again and skipped.
        longest_silence_ms: Longest time between two successive events.
    """

    def __init__(self) -> None:
        """Starts all counters at zero."""
        self.event_count = 0
        self.moved_count = 0
        self.broken_count = 0
        self.gap_count = 0
        self.repeated_count = 0
        self.longest_silence_ms = 0.0


class FeedRefusedError(Exception):
    """The service refuses the feed and retries are not permitted."""

    def __init__(self, failure: core.Failure) -> None:
        """Creates the error from the failure in the response."""
        super().__init__(failure.message)
        self.failure = failure


@dataclasses.dataclass(frozen=True)
class _Accepted:
    """The service has accepted the feed."""


@dataclasses.dataclass(frozen=True)
class _ControlLine:
    """Line with which the agent asks to move the feed to a new connection.

    Attributes:
        resume: Whether to resume after the last event instead of restarting
            the feed at its current event, which may skip events.
        window_ms: Time over which the agent wants the moves of its feeds to be
            spread.
    """

    resume: bool
    window_ms: int


@dataclasses.dataclass(frozen=True)
class _Ended:
    """The connection no longer carries the feed.

    Attributes:
        complete: Whether the feed itself has ended.
        failure: Reason for which the service refused the feed, if it did.
    """

    complete: bool = False
    failure: core.Failure | None = None


# What a connection reports to the reader.
_Item = (
    FeedEvent | _Accepted | _ControlLine | _connection.PathSuspected | _Ended
)


class _FeedConnection:
    """One connection that carries the feed, with its task.

    Attributes:
        after: Sequence number after which this connection requested the feed;
            with 0, the feed starts at its current event.
        task: Opens the connection and reads the feed; cancelling it closes the
            connection.
    """

    def __init__(
        self, reader: "FeedReader", delay_ms: float, open_timeout_ms: float
    ) -> None:
        self._reader = reader
        self._delay_ms = delay_ms
        self._open_timeout_ms = open_timeout_ms
        self._start_requested = asyncio.Event()
        self.after = 0
        self.task = asyncio.create_task(self._run())

    def start_within(self, delay_ms: float) -> None:
        """Opens the connection after `delay_ms` at the latest."""
        asyncio.get_running_loop().call_later(
            delay_ms / 1000, self._start_requested.set
        )

    async def _run(self) -> None:
        ended = _Ended()
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._delay_ms / 1000):
                    await self._start_requested.wait()
            async with contextlib.AsyncExitStack() as stack:
                async with asyncio.timeout(self._open_timeout_ms / 1000):
                    connection = await stack.enter_async_context(
                        self._reader.connect()
                    )
                self.after = self._reader.next_position()
                stream = connection.send(
                    "GET",
                    _path_after(self._reader.path, self.after),
                    resumable=True,
                )
                try:
                    ended = await self._read(stream)
                    # Closing the stream waits for the peer, so the reader is
                    # notified first.
                    self._notify(ended)
                finally:
                    await _close_stream(connection, stream)
        except (OSError, TimeoutError):
            self._notify(ended)

    async def _read(self, stream: _connection.Stream) -> _Ended:
        buffer = b""
        refusal: _connection.ResponseHead | None = None
        while True:
            event = await stream.events.get()
            if isinstance(event, _connection.ResponseHead):
                if event.status_code == 200:
                    self._reader.update_jitter(event.headers)
                    self._notify(_Accepted())
                else:
                    refusal = event
            elif isinstance(event, _connection.PathSuspected):
                self._notify(event)
            elif isinstance(event, _connection.ResponseEnd):
                if refusal is not None:
                    return _Ended(failure=_parse_refusal(refusal, buffer))
                return _Ended(complete=event.complete)
            elif refusal is not None:
                buffer += event.payload
            else:
                *lines, buffer = (buffer + event.payload).split(b"\n")
                for line in lines:
                    self._notify(_parse_line(line))

    def _notify(self, item: _Item) -> None:
        self._reader.queue.put_nowait((self, item))


class FeedReader:
    """Yields the events of a feed from the connections that carry it."""

    def __init__(
        self,
        connect: Connect,
        path: str,
        after: int,
        statistics: FeedStatistics,
    ) -> None:
        """Creates the reader.

        Args:
            connect: Opens a connection to the service.
            path: HTTP path of the feed.
            after: Sequence number of the last event already received, or 0.
            statistics: Counters to update.
        """
        self.connect = connect
        self.path = path
        self.queue: asyncio.Queue[tuple[_FeedConnection, _Item]] = (
            asyncio.Queue()
        )
        self._statistics = statistics
        # Sequence number of the last event received.
        self._position = after
        self._jitter_ms = _DEFAULT_JITTER_MS
        self._failed_attempt_count = 0
        # Whether the replacement restarts the feed instead of resuming it.
        self._restarting = False
        self._current: _FeedConnection | None = None
        self._replacement: _FeedConnection | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_event_s = time.monotonic()

    def next_position(self) -> int:
        """Returns the sequence number after which to request the feed."""
        return 0 if self._restarting else self._position

    def update_jitter(self, headers: dict[str, str]) -> None:
        """Sets the maximum jitter to the value in the response headers."""
        text = headers.get(RESUME_JITTER_HEADER, "")
        if text.isdecimal():
            self._jitter_ms = min(int(text), _MAX_JITTER_MS)

    def close(self) -> None:
        """Closes all connections."""
        for task in self._tasks:
            task.cancel()

    async def events(self) -> AsyncIterator[FeedEvent]:
        """Yields each event once and in order, until the feed ends."""
        self._open_replacement(0)
        while True:
            source, item = await self.queue.get()
            if source is not self._current and source is not self._replacement:
                continue
            if isinstance(item, FeedEvent):
                if self._accept_event(source, item):
                    yield item
            elif isinstance(item, _Accepted):
                self._promote(source)
            elif isinstance(item, _ControlLine):
                self._start_move(source, item)
            elif isinstance(item, _connection.PathSuspected):
                self._handle_suspected(source)
            elif self._handle_end(source, item):
                return

    def _accept_event(self, source: _FeedConnection, event: FeedEvent) -> bool:
        """Counts an event; returns False if it was received before."""
        if event.sequence <= self._position:
            self._statistics.repeated_count += 1
            return False
        # A restarted feed (`after` is 0) may skip events; that is not a gap.
        expected = self._position + 1
        if source.after and event.sequence != expected:
            self._statistics.gap_count += 1
        now_s = time.monotonic()
        if self._statistics.event_count:
            self._statistics.longest_silence_ms = max(
                self._statistics.longest_silence_ms,
                (now_s - self._last_event_s) * 1000,
            )
        self._last_event_s = now_s
        self._statistics.event_count += 1
        self._position = event.sequence
        return True

    def _promote(self, source: _FeedConnection) -> None:
        """Makes an accepted replacement the current connection."""
        if source is not self._replacement:
            return
        if not source.after and self._position and not self._restarting:
            # The replacement requested the feed without a position because no
            # event had been received yet, but the current connection has
            # delivered some since. The replacement could start later and leave
            # a gap.
            source.task.cancel()
            self._replacement = None
            self._open_replacement(0)
            return
        if self._current is not None:
            self._current.task.cancel()
        self._current, self._replacement = source, None
        self._failed_attempt_count = 0
        self._restarting = False

    def _start_move(
        self, source: _FeedConnection, control: _ControlLine
    ) -> None:
        if source is self._current and self._replacement is None:
            self._statistics.moved_count += 1
            self._restarting = not control.resume
            self._open_replacement(random.uniform(0, control.window_ms))

    def _handle_suspected(self, source: _FeedConnection) -> None:
        """Replaces a connection on which the agent has been silent too long."""
        if source is self._replacement:
            source.task.cancel()
            self._retry_replacement(0)
        else:
            self._resume_after_failure()

    def _handle_end(self, source: _FeedConnection, ended: _Ended) -> bool:
        """Opens a replacement if needed; returns whether the feed has ended."""
        failure = ended.failure
        if failure is not None and not failure.spec.retry_allowed:
            raise FeedRefusedError(failure)
        if source is self._replacement:
            self._retry_replacement(
                0 if failure is None else failure.retry_after_ms
            )
            return False
        self._current = None
        if not ended.complete:
            self._resume_after_failure()
        return ended.complete

    def _resume_after_failure(self) -> None:
        """Resumes a feed whose current connection has failed."""
        delay_ms = random.uniform(0, self._jitter_ms)
        self._statistics.broken_count += 1
        if self._replacement is None:
            self._open_replacement(delay_ms)
        else:
            self._replacement.start_within(delay_ms)

    def _retry_replacement(self, min_delay_ms: int) -> None:
        """Opens another replacement after one has failed, with a backoff."""
        self._failed_attempt_count += 1
        backoff_ms = max(
            self._jitter_ms * 2**self._failed_attempt_count, min_delay_ms
        )
        capped_ms = min(backoff_ms, _MAX_BACKOFF_MS)
        self._open_replacement(random.uniform(0.5, 1) * capped_ms)

    def _open_replacement(self, delay_ms: float) -> None:
        timeout_ms = min(
            _OPEN_TIMEOUT_MS * 2**self._failed_attempt_count,
            _MAX_OPEN_TIMEOUT_MS,
        )
        source = _FeedConnection(self, delay_ms, timeout_ms)
        self._replacement = source
        self._tasks.add(source.task)
        source.task.add_done_callback(self._tasks.discard)


async def _close_stream(
    connection: _connection.Connection, stream: _connection.Stream
) -> None:
    """Cancels a stream and waits until the peer has acknowledged that.

    The datagram that closes a connection is sent once. If it is lost, the agent
    keeps the feed until its probes have failed, which delays a drain.
    """
    if connection.closed:
        return
    stream.cancel()
    with contextlib.suppress(TimeoutError, ConnectionError):
        async with asyncio.timeout(_CLOSE_TIMEOUT_MS / 1000):
            await connection.ping()


def _path_after(path: str, after: int) -> str:
    separator = "&" if "?" in path else "?"
    return f"{path}{separator}after={after}"


def _parse_line(line: bytes) -> FeedEvent | _ControlLine:
    fields = json.loads(line)
    control = fields.get("fireflyford-control")
    if control is not None:
        return _ControlLine(control == "resume", int(fields["window_ms"]))
    return FeedEvent(fields["sequence"], fields["value"])


def _parse_refusal(head: _connection.ResponseHead, body: bytes) -> core.Failure:
    kind = _ERROR_KINDS.get(
        head.headers.get(_ERROR_HEADER, ""), core.ErrorKind.BACKEND_FAILED
    )
    retry_after = head.headers.get(_RETRY_AFTER_HEADER, "0")
    return core.Failure(kind, body.decode().strip(), int(retry_after))
