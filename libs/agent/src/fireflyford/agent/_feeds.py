"""Feed server of one target: streams, resumes and moves feeds.

A feed is a long response of the backend server: one JSON event per line, each
with a sequence number. If the stream from the backend server breaks or falls
silent, the agent resumes the feed there after the last event passed on. When
the target or its backend server goes away, the agent asks callers that use the
caller library to move their feeds: to open them at a peer, another target of
the service.
"""

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

# Time that a peer needs for each feed that it takes over: the handshake takes
# about 5 ms of CPU time, and a peer may spend half of its time on handshakes.
_TAKEOVER_MS_PER_FEED = 10
_MIN_MOVE_WINDOW_MS = 200
# Maximum random delay before a caller resumes a feed after a failure. A feed
# may be silent for 5 s in all, of which failure detection takes 2 s.
_MAX_RESUME_JITTER_MS = 1_500
# A feed without content for a random time in this range is reopened. A backend
# server may pause for a second without that.
_FEED_TIMEOUT_MS = (2_500.0, 3_500.0)
# Time for callers that were asked to move to close their old stream themselves.
_MOVE_TIMEOUT_MS = 5_000
_PEER_POLL_INTERVAL_MS = 500
# A feed with a longer line is passed on unparsed.
_MAX_LINE_BYTES = 1 << 20
# Query parameter with the sequence number after which a feed starts.
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
        count_peers: Callable[[], int],
    ) -> None:
        """Initializes the server.

        Args:
            clock: Source of time.
            source: Source of the feeds of the backend server.
            is_backend_reachable: Returns whether the backend server accepts
                connections.
            count_peers: Returns the number of peers that can take over feeds.
        """
        self._clock = clock
        self._source = source
        self._is_backend_reachable = is_backend_reachable
        self._count_peers = count_peers
        self._sessions: set[_FeedSession] = set()
        self._move_started = False
        # Number of times that callers were asked to move a feed.
        self.moved_count = 0
        # Number of times that a feed was reopened at the backend server.
        self.resumed_count = 0

    @property
    def feed_count(self) -> int:
        """Number of open feeds."""
        return len(self._sessions)

    @property
    def plain_count(self) -> int:
        """Number of open feeds whose callers cannot be asked to move.

        These callers do not use the caller library.
        """
        return sum(not session.movable for session in self._sessions)

    async def serve(
        self,
        request: _connection.Request,
        treatment: config.Treatment,
        response: _connection.ResponseStream,
    ) -> core.Failure | None:
        """Streams a feed until the caller or the backend server closes it.

        Args:
            request: Request that opens the feed.
            treatment: Configured treatment of this kind of feed.
            response: Carries the feed to the caller.

        Returns:
            Reason for refusing the feed, or None if it was opened.
        """
        headers = dict(request.headers)
        session = _FeedSession(
            request.path,
            treatment,
            response,
            movable=caller.CALLER_HEADER in headers,
        )
        self._sessions.add(session)
        try:
            return await self._serve_session(session)
        finally:
            self._sessions.discard(session)

    async def _serve_session(
        self, session: "_FeedSession"
    ) -> core.Failure | None:
        """Streams a feed; reopens it when the backend server breaks it off."""
        while True:
            last_sequence = session.last_sequence
            try:
                if await self._stream_once(session):
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
                # A feed that broke without a new event is not reopened.
                if (
                    not session.resumable
                    or session.last_sequence == last_sequence
                ):
                    await self._end_session(session)
                    return None
            self.resumed_count += 1

    async def _stream_once(self, session: "_FeedSession") -> bool:
        """Opens the feed at the backend server and streams it once.

        Returns:
            Whether the feed has ended; False if it timed out.
        """
        async with self._source.open(session.resume_path()) as chunks:
            session.drop_partial_line()
            if not session.started:
                session.start(self._resume_jitter_ms())
                if self._move_started and self._count_peers():
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
        """Refuses a feed that has not started; ends one that has."""
        if not session.started:
            return core.Failure(
                core.ErrorKind.BACKEND_REFUSED,
                "backend server does not accept connections",
            )
        await self._end_session(session)
        return None

    async def _end_session(self, session: "_FeedSession") -> None:
        """Resets the stream, after asking the caller to move if possible."""
        if session.movable:
            await self._request_move(session)
            await self._clock.sleep(_MOVE_TIMEOUT_MS)
        session.response.abort()

    async def start_move(self) -> None:
        """Asks the callers of all present and future feeds to move them.

        Only callers that use the caller library are asked. Waits until a peer
        is available.
        """
        self._move_started = True
        while not self._count_peers():
            await self._clock.sleep(_PEER_POLL_INTERVAL_MS)
        movable = [session for session in self._sessions if session.movable]
        telemetry.log(
            "moving-feeds",
            movable=len(movable),
            plain=self.plain_count,
            window_ms=self._move_window_ms(),
        )
        await asyncio.gather(
            *(self._request_move(session) for session in movable)
        )

    async def _request_move(self, session: "_FeedSession") -> None:
        self.moved_count += 1
        await session.write_control_line(self._move_window_ms())

    def _move_window_ms(self) -> int:
        """Returns the time over which callers are to spread their moves."""
        takeover_ms = (
            _TAKEOVER_MS_PER_FEED
            * self.feed_count
            / max(1, self._count_peers())
        )
        return max(_MIN_MOVE_WINDOW_MS, int(takeover_ms))

    def _resume_jitter_ms(self) -> int:
        """Returns the maximum delay before a resumption after a failure."""
        return min(self._move_window_ms(), _MAX_RESUME_JITTER_MS)


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
        # Whether the caller uses the caller library and can be asked to move.
        self.movable = movable
        # Whether the response headers have been written.
        self.started = False
        # Cleared once the content turns out to have no sequence numbers.
        self.resumable = True
        self.last_sequence = 0
        # Received part of an event whose line is incomplete.
        self._partial_line = b""

    def start(self, jitter_ms: int) -> None:
        """Writes the response headers.

        Args:
            jitter_ms: Maximum random delay with which the caller is to resume
                the feed if this connection fails.
        """
        self.started = True
        headers = [("content-type", "application/x-ndjson")]
        if self.movable:
            headers.append((caller.RESUME_JITTER_HEADER, str(jitter_ms)))
        self.response.start(200, tuple(headers))

    def resume_path(self) -> str:
        """Returns the path that requests the events after the last one."""
        if not self.last_sequence:
            return self.path
        after = f"after={self.last_sequence}"
        if _AFTER_PARAMETER.search(self.path):
            # Keeps the first character of the match, `?` or `&`.
            return _AFTER_PARAMETER.sub(
                lambda match: match[0][0] + after, self.path
            )
        return self.path + ("&" if "?" in self.path else "?") + after

    def drop_partial_line(self) -> None:
        """Discards an incomplete event; the resumed feed repeats it."""
        self._partial_line = b""

    async def write(self, chunk: bytes) -> None:
        """Writes the complete lines and keeps the rest for the next chunk."""
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
        """Passes on the buffered and all further content unparsed.

        The feed can then be neither resumed nor moved.
        """
        self.resumable = False
        await self.response.write(self._partial_line, end=False)

    async def write_control_line(self, window_ms: int) -> None:
        """Writes the line that asks the caller to move the feed.

        The treatment decides whether the caller is to resume after its last
        event or to start the feed anew.

        Writes nothing unless the feed has started and is resumable. The line
        never splits an event, as only complete lines have been written before.

        Args:
            window_ms: Time over which callers are to spread their moves.
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
