"""Tests of feeds with a backend server that fails as scripted."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
from unittest import mock

from fireflyford import caller
from fireflyford import config
from fireflyford import core
from fireflyford.agent import _backend_feeds
from fireflyford.agent import _connection
from fireflyford.agent import _feeds

TREATMENT = config.Treatment("feed", "GET", "/feed", kind=config.Kind.FEED)
CALLER_LIBRARY_HEADERS = ((caller.CALLER_HEADER, "1"),)
BROKEN = _backend_feeds.FeedBrokenError("broken")


def event_line(sequence: int) -> bytes:
    return json.dumps({"sequence": sequence, "value": "x"}).encode() + b"\n"


class _ScriptedSource(_backend_feeds.FeedSource):
    """Yields one list of chunks each time the feed is opened.

    An exception breaks the feed; None keeps it open without events.
    """

    def __init__(self, *scripts: list[bytes | Exception | None]) -> None:
        self._scripts = list(scripts)
        self.paths: list[str] = []

    @contextlib.asynccontextmanager
    async def open(self, path: str) -> AsyncIterator[AsyncIterator[bytes]]:
        self.paths.append(path)
        yield self._run_script(self._scripts.pop(0))

    async def _run_script(
        self, chunks: list[bytes | Exception | None]
    ) -> AsyncIterator[bytes]:
        for chunk in chunks:
            if chunk is None:
                await asyncio.sleep(3600)
            elif isinstance(chunk, Exception):
                raise chunk
            else:
                yield chunk


class _RecordingResponse(_connection.ResponseStream):
    def __init__(self) -> None:
        self.writes: list[bytes] = []
        self.ended = False
        self.aborted = False

    def start(self, status_code: int, headers: _connection.Headers) -> None:
        pass

    async def write(self, data: bytes, end: bool) -> None:
        self.writes.append(data)
        self.ended |= end

    def abort(self) -> None:
        self.aborted = True

    @property
    def lines(self) -> list[dict[str, object]]:
        return [
            json.loads(item)
            for item in b"".join(self.writes).split(b"\n")
            if item
        ]


async def backend_reachable() -> bool:
    return True


async def backend_unreachable() -> bool:
    return False


def serve(
    source: _ScriptedSource,
    headers: _connection.Headers = CALLER_LIBRARY_HEADERS,
    check: Callable[[], Awaitable[bool]] = backend_reachable,
    treatment: config.Treatment = TREATMENT,
    move: bool = False,
) -> _RecordingResponse:
    request = _connection.Request(
        "GET", "/feed?after=0", headers, b"", core.Address("127.0.0.1", 1)
    )
    response = _RecordingResponse()

    async def run() -> None:
        server = _feeds.FeedServer(core.SystemClock(), source, check, lambda: 3)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.1), asyncio.TaskGroup() as tasks:
                tasks.create_task(server.serve(request, treatment, response))
                if move:
                    await asyncio.sleep(0.02)
                    await server.start_move()

    asyncio.run(run())
    return response


def test_broken_feed_resumes_after_last_event() -> None:
    """Guards against gaps and repetitions when a backend stream breaks."""
    source = _ScriptedSource(
        [event_line(1), event_line(2), BROKEN], [event_line(3)]
    )
    response = serve(source)
    assert source.paths == ["/feed?after=0", "/feed?after=2"]
    assert [item["sequence"] for item in response.lines] == [1, 2, 3]
    assert response.ended


def test_incomplete_line_is_not_forwarded() -> None:
    """Guards against control lines or resumed events inside an event."""
    source = _ScriptedSource(
        [event_line(1) + event_line(2)[:9], BROKEN], [event_line(2), None]
    )
    response = serve(source, move=True)
    kinds = [item.get("sequence", "control") for item in response.lines]
    assert kinds == [1, 2, "control"]


def test_plain_caller_receives_no_control_line() -> None:
    """Guards against control lines that a plain HTTP/3 client cannot parse."""
    response = serve(
        _ScriptedSource([event_line(1), None]), headers=(), move=True
    )
    assert response.lines == [{"sequence": 1, "value": "x"}]
    assert not response.ended and not response.aborted


def test_treatment_determines_move_policy() -> None:
    """Guards against resumption if the treatment requires a reconnection."""
    treatment = config.Treatment(
        "feed",
        "GET",
        "/feed",
        kind=config.Kind.FEED,
        on_move=config.MovePolicy.RECONNECT,
    )
    response = serve(
        _ScriptedSource([event_line(1), None]), treatment=treatment, move=True
    )
    assert response.lines[-1]["fireflyford-control"] == "reconnect"


def test_feed_is_moved_if_backend_server_is_unreachable() -> None:
    """Guards against feeds that stay at an agent without a backend server."""
    response = serve(
        _ScriptedSource([event_line(1), BROKEN]), check=backend_unreachable
    )
    assert response.lines[-1]["fireflyford-control"] == "resume"
    assert not response.ended


def test_plain_feed_is_aborted_if_backend_server_is_unreachable() -> None:
    """Guards against an incomplete feed that appears complete."""
    response = serve(
        _ScriptedSource([event_line(1), BROKEN]),
        headers=(),
        check=backend_unreachable,
    )
    assert response.aborted and not response.ended


def test_silent_backend_stream_is_replaced() -> None:
    """Guards against a feed that stays on a stalled stream."""
    with mock.patch.object(_feeds, "_FEED_TIMEOUT_MS", (10.0, 20.0)):
        response = serve(
            _ScriptedSource([event_line(1), None], [event_line(2)])
        )
    assert [item["sequence"] for item in response.lines] == [1, 2]


def test_feed_without_sequence_numbers_is_forwarded_unchanged() -> None:
    """Guards against lost bytes in feeds of another format."""
    chunks: list[bytes | Exception | None] = [
        b"data: a\n\ndata",
        b": b\n\n",
        b"\xff\xfe",
    ]
    response = serve(_ScriptedSource(chunks), headers=())
    assert response.writes[:-1] == [b"data: a\n\ndata", b": b\n\n", b"\xff\xfe"]
