"""Tests of the feed reader on connections with scripted events and failures."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import json
from typing import Any
from unittest import mock

import pytest

from fireflyford.caller import _connection
from fireflyford.caller import _feeds

HEAD = _connection.ResponseHead(200, {})
BROKEN = _connection.ResponseEnd(False)
COMPLETE = _connection.ResponseEnd(True)


def data(*sequences: int) -> _connection.BodyChunk:
    lines = [
        json.dumps({"sequence": item, "value": item}) for item in sequences
    ]
    return _connection.BodyChunk(
        "".join(item + "\n" for item in lines).encode()
    )


def control(kind: str) -> _connection.BodyChunk:
    fields = {"fireflyford-control": kind, "window_ms": 0}
    return _connection.BodyChunk(json.dumps(fields).encode() + b"\n")


class _FakeService:
    """Fake service that delivers one list of events per connection."""

    def __init__(
        self, *scripts: list[_connection.StreamEvent | Exception]
    ) -> None:
        self._scripts = list(scripts)
        self.paths: list[str] = []
        self.streams: list[Any] = []
        # Delivered on the first connection when the second one is used.
        self.late_event: _connection.StreamEvent | None = None
        self.closed: list[int] = []

    @contextlib.asynccontextmanager
    async def connect(self) -> AsyncIterator[Any]:
        script = self._scripts.pop(0)
        if isinstance(script[0], Exception):
            raise script[0]
        number = len(self.paths)
        stream = mock.Mock(events=asyncio.Queue())

        def deliver() -> None:
            for event in script:
                stream.events.put_nowait(event)

        def send(method: str, path: str, resumable: bool) -> Any:
            self.paths.append(path)
            self.streams.append(stream)
            if number == 1 and self.late_event is not None:
                self.streams[0].events.put_nowait(self.late_event)
                asyncio.get_running_loop().call_later(0.02, deliver)
            else:
                deliver()
            return stream

        try:
            yield mock.Mock(send=send, closed=False, ping=mock.AsyncMock())
        finally:
            self.closed.append(number)


def read(
    service: _FakeService, max_count: int, after: int = 0
) -> tuple[list[int], _feeds.FeedStatistics]:
    statistics = _feeds.FeedStatistics()

    async def run() -> list[int]:
        reader = _feeds.FeedReader(service.connect, "/feed", after, statistics)
        seen = []
        async with asyncio.timeout(5):
            async for event in reader.events():
                seen.append(event.sequence)
                if len(seen) == max_count:
                    break
        reader.close()
        await asyncio.sleep(0)
        return seen

    with mock.patch.object(_feeds, "_DEFAULT_JITTER_MS", 1):
        return asyncio.run(run()), statistics


def test_move_neither_loses_nor_repeats_events() -> None:
    """Guards against gaps and repeated events in a planned move."""
    service = _FakeService(
        [HEAD, data(1, 2), control("resume"), data(3)],
        [HEAD, data(3, 4, 5)],
    )
    seen, statistics = read(service, 5)
    assert seen == [1, 2, 3, 4, 5]
    assert (statistics.moved_count, statistics.broken_count) == (1, 0)


def test_old_stream_is_closed_after_new_one_is_open() -> None:
    """Guards against closing the old connection before a new one is open."""
    service = _FakeService(
        [HEAD, data(1), control("resume")],
        [ConnectionError("refused")],
        [HEAD, data(2)],
    )
    closed_before: list[list[int]] = []
    connect = service.connect

    @contextlib.asynccontextmanager
    async def tracking_connect() -> AsyncIterator[Any]:
        closed_before.append(list(service.closed))
        async with connect() as connection:
            yield connection

    with mock.patch.object(service, "connect", tracking_connect):
        seen, _ = read(service, 2)
    assert seen == [1, 2]
    assert closed_before == [[], [], []]


def test_broken_feed_resumes_after_last_event() -> None:
    """Guards against a gap when a target fails."""
    service = _FakeService(
        [HEAD, data(7, 8), BROKEN], [HEAD, data(9), COMPLETE]
    )
    seen, statistics = read(service, 99)
    assert seen == [7, 8, 9]
    assert service.paths == ["/feed?after=0", "/feed?after=8"]
    assert statistics.broken_count == 1


def test_stream_on_silent_path_is_replaced() -> None:
    """Guards against waiting on a path that delivers no datagrams."""
    service = _FakeService(
        [HEAD, data(1), _connection.PathSuspected()], [HEAD, data(2), COMPLETE]
    )
    seen, statistics = read(service, 99)
    assert seen == [1, 2]
    assert statistics.broken_count == 1


def test_first_event_during_replacement_leaves_no_gap() -> None:
    """Guards against a gap after a first event on the old connection.

    The replacement was opened without a position, so it would start later.
    """
    service = _FakeService(
        [HEAD, _connection.PathSuspected()],
        [HEAD, data(5), COMPLETE],
        [HEAD, data(4), COMPLETE],
    )
    service.late_event = data(3)
    seen, statistics = read(service, 99)
    assert seen == [3, 4]
    assert service.paths[-1] == "/feed?after=3"
    assert statistics.gap_count == 0


def test_replaced_stream_is_cancelled() -> None:
    """Guards against a drain that waits for feeds that have moved."""
    service = _FakeService(
        [HEAD, data(1), control("resume")], [HEAD, data(2), data(3)]
    )
    read(service, 3)
    service.streams[0].cancel.assert_called_once()


def test_complete_feed_is_not_reopened() -> None:
    """Guards against reopening a finished feed endlessly."""
    seen, _ = read(_FakeService([HEAD, data(1), COMPLETE]), 99)
    assert seen == [1]


def test_forbidden_feed_raises() -> None:
    """Guards against endless retries of a permanently refused feed."""
    refusal = _connection.ResponseHead(403, {"fireflyford-error": "forbidden"})
    with pytest.raises(_feeds.FeedRefusedError):
        read(_FakeService([refusal, COMPLETE]), 1)


def test_refusal_by_draining_target_is_retried() -> None:
    """Guards against a feed that ends because a target is draining."""
    refusal = _connection.ResponseHead(503, {"fireflyford-error": "draining"})
    seen, _ = read(_FakeService([refusal, COMPLETE], [HEAD, data(1)]), 1)
    assert seen == [1]


def test_other_query_parameters_are_kept() -> None:
    """Guards against a resumed feed with different query parameters."""
    assert _feeds._path_after("/feed?lot=4", 7) == "/feed?lot=4&after=7"
