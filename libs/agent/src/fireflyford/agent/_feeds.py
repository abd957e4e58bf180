"""Feed server of one target: streams, resumes and moves feeds."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random
import re

import msgspec

from fireflyford import caller
from fireflyford import config
from fireflyford import core
from fireflyford import telemetry
from fireflyford.agent import _backend_feeds
from fireflyford.agent import _connection

# A handshake takes an agent about 5 ms of CPU time; the peers that take over
# the feeds may spend half of their time on handshakes.
_MOVE_COST_MS = 10
_MIN_WINDOW_MS = 200
# A feed may be silent for 5 s, of which failure detection takes 2 s.
_MAX_RESUME_JITTER_MS = 1_500
# A backend server may pause for a second without the feed being reopened.
_FEED_TIMEOUT_MS = (2_500.0, 3_500.0)
# Time for callers that were asked to move to close their old stream themselves.
_MOVE_TIMEOUT_MS = 5_000
_PEER_POLL_INTERVAL_MS = 500
_MAX_LINE_BYTES = 1 << 20
_AFTER_PARAMETER = re.compile(r"([?&]after=)\d*")


@dataclasses.dataclass(frozen=True)
class _SequencedEvent:
    """Part of a feed event that the agent decodes."""

    sequence: int


_EVENT_DECODER = msgspec.json.Decoder(_SequencedEvent)


class FeedServer:
    """Serves the feeds of one target."""

    def __init__(
        self,
        clock: core.Clock,
        source: _backend_feeds.FeedSource,
        is_backend_reachable: Callable[[], Awaitable[bool]],
        peer_count: Callable[[], int],
    ) -> None:
        """Initializes the server.

        Args:
            clock: Source of time.
            source: Source of the feeds of the backend server.
            is_backend_reachable: Returns whether the backend server accepts
                connections.
            peer_count: Returns the number of peers that can take over feeds.
        """
        self._clock = clock
        self._source = source
        self._is_backend_reachable = is_backend_reachable
        self._peer_count = peer_count
        self._sessions: set[_FeedSession] = set()
        self._moving = False
        self.moved_count = 0
        self.resumed_count = 0

    @property
    def feed_count(self) -> int:
        """Number of open feeds."""
        return len(self._sessions)

    @property
    def plain_count(self) -> int:
        """Number of open feeds whose callers cannot be asked to move."""
        return sum(not session.movable for session in self._sessions)

    async def serve(
        self,
        request: _connection.Request,
        treatment: config.Treatment,
        response: _connection.ResponseStream,
    ) -> core.Failure | None:
        """Streams a feed until the caller or the backend server closes it.

        Returns:
            Reason for refusing the feed, or None if it was opened.
        """
        fields = dict(request.headers)
        session = _FeedSession(
            request.path,
            treatment,
            response,
            movable=caller.CALLER_HEADER in fields,
        )
        self._sessions.add(session)
        try:
            return await self._run(session)
        finally:
            self._sessions.discard(session)

    async def _run(self, session: "_FeedSession") -> core.Failure | None:
        while True:
            last_sequence = session.last_sequence
            try:
                if await self._stream(session):
                    await session.response.write(b"", end=True)
                    return None
            except _backend_feeds.FeedRejectedError as error:
                if not session.started:
                    return core.Failure(
                        core.ErrorKind.BACKEND_FAILED,
                        f"backend server rejected the feed with status {error}",
                    )
                await self._end_session(session)
                return None
            except _backend_feeds.FeedBrokenError:
                if not await self._is_backend_reachable():
                    return await self._handle_backend_loss(session)
                if (
                    not session.resumable
                    or session.last_sequence == last_sequence
                ):
                    await self._end_session(session)
                    return None
            self.resumed_count += 1

    async def _stream(self, session: "_FeedSession") -> bool:
        """Streams until the feed ends; returns False if it timed out."""
        async with self._source.open(session.resume_path()) as chunks:
            session.drop_partial_line()
            if not session.started:
                session.start(self._jitter_ms())
                if self._moving and self._peer_count():
                    await self._request_move(session)
            while True:
                timeout_ms = random.uniform(*_FEED_TIMEOUT_MS)
                try:
                    async with asyncio.timeout(timeout_ms / 1000):
                        chunk = await anext(chunks, None)
                except TimeoutError:
                    if session.resumable:
                        return False
                    continue
                if chunk is None:
                    return True
                await session.write(chunk)

    async def _handle_backend_loss(
        self, session: "_FeedSession"
    ) -> core.Failure | None:
        if not session.started:
            return core.Failure(
                core.ErrorKind.BACKEND_REFUSED,
                "backend server does not accept connections",
            )
        await self._end_session(session)
        return None

    async def _end_session(self, session: "_FeedSession") -> None:
        """Ends a feed; asks its caller to resume elsewhere if possible."""
        if session.movable:
            await self._request_move(session)
            await self._clock.sleep(_MOVE_TIMEOUT_MS)
        session.response.abort()

    async def start_move(self) -> None:
        """Asks the callers of all present and future feeds to move.

        This concerns only callers that use the caller library. Waits until a
        peer is available.
        """
        self._moving = True
        while not self._peer_count():
            await self._clock.sleep(_PEER_POLL_INTERVAL_MS)
        movable = [item for item in self._sessions if item.movable]
        telemetry.log(
            "moving-feeds",
            movable=len(movable),
            plain=self.plain_count,
            window_ms=self._window_ms(),
        )
        await asyncio.gather(*(self._request_move(item) for item in movable))

    async def _request_move(self, session: "_FeedSession") -> None:
        self.moved_count += 1
        await session.write_control_line(self._window_ms())

    def _window_ms(self) -> int:
        cost_ms = _MOVE_COST_MS * self.feed_count / max(1, self._peer_count())
        return max(_MIN_WINDOW_MS, int(cost_ms))

    def _jitter_ms(self) -> int:
        return min(self._window_ms(), _MAX_RESUME_JITTER_MS)


class _FeedSession:
    """State of one open feed."""

    def __init__(
        self,
        path: str,
        treatment: config.Treatment,
        response: _connection.ResponseStream,
        movable: bool,
    ) -> None:
        self.path = path
        self._treatment = treatment
        self.response = response
        self.movable = movable
        self.started = False
        # Cleared if the content has no sequence numbers.
        self.resumable = True
        self.last_sequence = 0
        self._partial_line = b""

    def start(self, jitter_ms: int) -> None:
        self.started = True
        headers = [("content-type", "application/x-ndjson")]
        if self.movable:
            headers.append((caller.RESUME_JITTER_HEADER, str(jitter_ms)))
        self.response.start(200, tuple(headers))

    def resume_path(self) -> str:
        if not self.last_sequence:
            return self.path
        after = f"after={self.last_sequence}"
        if _AFTER_PARAMETER.search(self.path):
            return _AFTER_PARAMETER.sub(
                lambda match: match[0][0] + after, self.path
            )
        return self.path + ("&" if "?" in self.path else "?") + after

    def drop_partial_line(self) -> None:
        """Discards an incomplete event; the resumed feed repeats it."""
        self._partial_line = b""

    async def write(self, chunk: bytes) -> None:
        """Writes the complete lines of a chunk."""
        if not self.resumable:
            await self.response.write(chunk, end=False)
            return
        lines, newline, self._partial_line = (
            self._partial_line + chunk
        ).rpartition(b"\n")
        if not newline:
            if len(self._partial_line) > _MAX_LINE_BYTES:
                await self._stop_parsing()
            return
        try:
            last_event = _EVENT_DECODER.decode(lines[lines.rfind(b"\n") + 1 :])
        except msgspec.DecodeError:
            self._partial_line = lines + newline + self._partial_line
            await self._stop_parsing()
            return
        self.last_sequence = last_event.sequence
        await self.response.write(lines + newline, end=False)

    async def _stop_parsing(self) -> None:
        """Passes on the buffered and all further content unparsed."""
        self.resumable = False
        await self.response.write(self._partial_line, end=False)

    async def write_control_line(self, window_ms: int) -> None:
        """Writes a control line if the feed has started and is resumable.

        The stream is at a line boundary, as only complete lines are written.
        """
        resume = self._treatment.on_move is config.MovePolicy.RESUME
        line = msgspec.json.encode(
            {
                "fireflyford-control": "resume" if resume else "reconnect",
                "window_ms": window_ms,
            }
        )
        if self.started and self.resumable:
            await self.response.write(line + b"\n", end=False)
