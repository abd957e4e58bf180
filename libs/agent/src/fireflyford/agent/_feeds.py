"""Feeds of one target: streamed, resumed, and moved when the target leaves."""

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

# A handshake costs an agent about 5 ms of CPU; the peers that take the feeds
# over may spend half of their time on handshakes.
_MOVE_COST_MS = 10
_LEAST_WINDOW_MS = 200
# Detection takes 2 s of the 5 s that a feed may be silent.
_MAX_RESUME_JITTER_MS = 1_500
# A backend server that pauses for a second is not suspected.
_SILENCE_LIMIT_MS = (2_500.0, 3_500.0)
# Callers that have been told to move close their old stream themselves.
_MOVE_LIMIT_MS = 5_000
_CHECK_INTERVAL_MS = 500
_MAX_LINE_BYTES = 1 << 20
_AFTER = re.compile(r"([?&]after=)\d*")


@dataclasses.dataclass(frozen=True)
class _Position:
    """The part of an event that the agent reads."""

    sequence: int


_DECODER = msgspec.json.Decoder(_Position)


class FeedServer:
    """Serves the feeds of one target."""

    def __init__(
        self,
        clock: core.Clock,
        source: _backend_feeds.FeedSource,
        check_backend: Callable[[], Awaitable[bool]],
        peer_count: Callable[[], int],
    ) -> None:
        """Prepares the server.

        Args:
            clock: Source of time.
            source: Opens feeds of the backend server.
            check_backend: Returns whether the backend server accepts
                connections.
            peer_count: Returns how many peers would take feeds over.
        """
        self._clock = clock
        self._source = source
        self._check_backend = check_backend
        self._peer_count = peer_count
        self._sessions: set[_Session] = set()
        self._moving = False
        self.moved_count = 0
        self.resumed_count = 0

    @property
    def feed_count(self) -> int:
        """Open feeds."""
        return len(self._sessions)

    @property
    def plain_count(self) -> int:
        """Open feeds of callers that cannot be asked to move."""
        return sum(not session.movable for session in self._sessions)

    async def serve(
        self,
        request: _connection.Request,
        treatment: config.Treatment,
        response: _connection.ResponseStream,
    ) -> core.Failure | None:
        """Streams one feed until either end closes it.

        Returns:
            Why the feed was refused, or None if it was opened.
        """
        fields = dict(request.headers)
        session = _Session(
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

    async def _run(self, session: "_Session") -> core.Failure | None:
        while True:
            position = session.position
            try:
                if await self._stream(session):
                    await session.response.write(b"", end=True)
                    return None
            except _backend_feeds.FeedRejectedError as error:
                if not session.started:
                    return core.Failure(
                        core.ErrorKind.BACKEND_FAILED,
                        f"the backend server answered {error} to a feed",
                    )
                await self._give_up(session)
                return None
            except _backend_feeds.FeedBrokenError:
                if not await self._check_backend():
                    return await self._lose_backend(session)
                if not session.resumable or session.position == position:
                    await self._give_up(session)
                    return None
            self.resumed_count += 1

    async def _stream(self, session: "_Session") -> bool:
        """Streams until the feed ends; False when the path fell silent."""
        async with self._source.open(session.resume_path()) as chunks:
            session.drop_partial_line()
            if not session.started:
                session.start(self._jitter_ms())
                if self._moving and self._peer_count():
                    await self._ask_to_move(session)
            while True:
                limit_ms = random.uniform(*_SILENCE_LIMIT_MS)
                try:
                    async with asyncio.timeout(limit_ms / 1000):
                        chunk = await anext(chunks, None)
                except TimeoutError:
                    if session.resumable:
                        return False
                    continue
                if chunk is None:
                    return True
                await session.write(chunk)

    async def _lose_backend(self, session: "_Session") -> core.Failure | None:
        if not session.started:
            return core.Failure(
                core.ErrorKind.BACKEND_REFUSED,
                "the backend server does not accept connections",
            )
        await self._give_up(session)
        return None

    async def _give_up(self, session: "_Session") -> None:
        """Ends a feed here; a caller with the library resumes elsewhere."""
        if session.movable:
            await self._ask_to_move(session)
            await self._clock.sleep(_MOVE_LIMIT_MS)
        session.response.abort()

    async def start_move(self) -> None:
        """Asks all callers with the library to move, now and from now on.

        Without a peer to move to, waits for one.
        """
        self._moving = True
        while not self._peer_count():
            await self._clock.sleep(_CHECK_INTERVAL_MS)
        movable = [item for item in self._sessions if item.movable]
        telemetry.log(
            "moving-feeds",
            movable=len(movable),
            plain=self.plain_count,
            window_ms=self._window_ms(),
        )
        await asyncio.gather(*(self._ask_to_move(item) for item in movable))

    async def _ask_to_move(self, session: "_Session") -> None:
        self.moved_count += 1
        await session.control(self._window_ms())

    def _window_ms(self) -> int:
        cost_ms = _MOVE_COST_MS * self.feed_count / max(1, self._peer_count())
        return max(_LEAST_WINDOW_MS, int(cost_ms))

    def _jitter_ms(self) -> int:
        return min(self._window_ms(), _MAX_RESUME_JITTER_MS)


class _Session:
    """One open feed."""

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
        # Cleared when the content shows no sequence numbers.
        self.resumable = True
        self.position = 0
        self._rest = b""

    def start(self, jitter_ms: int) -> None:
        self.started = True
        headers = [("content-type", "application/x-ndjson")]
        if self.movable:
            headers.append((caller.RESUME_JITTER_HEADER, str(jitter_ms)))
        self.response.start(200, tuple(headers))

    def resume_path(self) -> str:
        if not self.position:
            return self.path
        after = f"after={self.position}"
        if _AFTER.search(self.path):
            return _AFTER.sub(lambda match: match[0][0] + after, self.path)
        return self.path + ("&" if "?" in self.path else "?") + after

    def drop_partial_line(self) -> None:
        """Forgets an event that was cut; the resumed feed repeats it."""
        self._rest = b""

    async def write(self, chunk: bytes) -> None:
        """Writes the whole lines of a chunk."""
        if not self.resumable:
            await self.response.write(chunk, end=False)
            return
        lines, newline, self._rest = (self._rest + chunk).rpartition(b"\n")
        if not newline:
            if len(self._rest) > _MAX_LINE_BYTES:
                await self._stop_reading()
            return
        try:
            last = _DECODER.decode(lines[lines.rfind(b"\n") + 1 :])
        except msgspec.DecodeError:
            self._rest = lines + newline + self._rest
            await self._stop_reading()
            return
        self.position = last.sequence
        await self.response.write(lines + newline, end=False)

    async def _stop_reading(self) -> None:
        self.resumable = False
        await self.response.write(self._rest, end=False)

    async def control(self, window_ms: int) -> None:
        """Writes a control line; the stream is at the end of a line."""
        resume = self._treatment.on_move is config.MovePolicy.RESUME
        line = msgspec.json.encode(
            {
                "fireflyford-control": "resume" if resume else "reconnect",
                "window_ms": window_ms,
            }
        )
        if self.started and self.resumable:
            await self.response.write(line + b"\n", end=False)
