"""Feeds of one target, with a backend server that can be broken."""

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
LIBRARY = ((caller.CALLER_HEADER, "1"),)
BROKEN = _backend_feeds.FeedBrokenError("broken")


def line(sequence: int) -> bytes:
    return json.dumps({"sequence": sequence, "value": "x"}).encode() + b"\n"


class _Source(_backend_feeds.FeedSource):
    """Gives one list of chunks for each time the feed is opened.

    An exception breaks the feed, None keeps it open without events.
    """

    def __init__(self, *plays: list[bytes | Exception | None]) -> None:
        self._plays = list(plays)
        self.paths: list[str] = []

    @contextlib.asynccontextmanager
    async def open(self, path: str) -> AsyncIterator[AsyncIterator[bytes]]:
        self.paths.append(path)
        yield self._play(self._plays.pop(0))

    async def _play(
        self, chunks: list[bytes | Exception | None]
    ) -> AsyncIterator[bytes]:
        for chunk in chunks:
            if chunk is None:
                await asyncio.sleep(3600)
            elif isinstance(chunk, Exception):
                raise chunk
            else:
                yield chunk


class _Response(_connection.ResponseStream):
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


async def up() -> bool:
    return True


async def down() -> bool:
    return False


def serve(
    source: _Source,
    headers: _connection.Headers = LIBRARY,
    check: Callable[[], Awaitable[bool]] = up,
    treatment: config.Treatment = TREATMENT,
    move: bool = False,
) -> _Response:
    request = _connection.Request(
        "GET", "/feed?after=0", headers, b"", core.Address("127.0.0.1", 1)
    )
    response = _Response()

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


def test_a_broken_feed_resumes_after_the_last_event() -> None:
    """Guards against a gap or repetition when a backend stream breaks."""
    source = _Source([line(1), line(2), BROKEN], [line(3)])
    response = serve(source)
    assert source.paths == ["/feed?after=0", "/feed?after=2"]
    assert [item["sequence"] for item in response.lines] == [1, 2, 3]
    assert response.ended


def test_half_a_line_is_not_followed_by_another_line() -> None:
    """Guards against control lines or resumed events inside an event."""
    source = _Source([line(1) + line(2)[:9], BROKEN], [line(2), None])
    response = serve(source, move=True)
    kinds = [item.get("sequence", "control") for item in response.lines]
    assert kinds == [1, 2, "control"]


def test_plain_callers_get_no_control_line() -> None:
    """Guards against lines that a plain HTTP/3 client does not know."""
    response = serve(_Source([line(1), None]), headers=(), move=True)
    assert response.lines == [{"sequence": 1, "value": "x"}]
    assert not response.ended and not response.aborted


def test_the_treatment_decides_how_a_feed_moves() -> None:
    """Guards against resumption where the treatment asks for a new start."""
    treatment = config.Treatment(
        "feed",
        "GET",
        "/feed",
        kind=config.Kind.FEED,
        on_move=config.MovePolicy.RECONNECT,
    )
    response = serve(_Source([line(1), None]), treatment=treatment, move=True)
    assert response.lines[-1]["fireflyford-control"] == "reconnect"


def test_callers_move_when_the_backend_server_is_gone() -> None:
    """Guards against feeds that stay with an agent without a backend."""
    response = serve(_Source([line(1), BROKEN]), check=down)
    assert response.lines[-1]["fireflyford-control"] == "resume"
    assert not response.ended


def test_plain_callers_are_cut_when_the_backend_server_is_gone() -> None:
    """Guards against a feed that looks complete though it is not."""
    response = serve(_Source([line(1), BROKEN]), headers=(), check=down)
    assert response.aborted and not response.ended


def test_a_silent_backend_stream_is_replaced() -> None:
    """Guards against a feed that stays on a stream that passes nothing."""
    with mock.patch.object(_feeds, "_SILENCE_LIMIT_MS", (10.0, 20.0)):
        response = serve(_Source([line(1), None], [line(2)]))
    assert [item["sequence"] for item in response.lines] == [1, 2]


def test_content_without_sequence_numbers_passes_unchanged() -> None:
    """Guards against a feed of another format that loses bytes."""
    chunks: list[bytes | Exception | None] = [
        b"data: a\n\ndata",
        b": b\n\n",
        b"\xff\xfe",
    ]
    response = serve(_Source(chunks), headers=())
    assert response.writes[:-1] == [b"data: a\n\ndata", b": b\n\n", b"\xff\xfe"]
