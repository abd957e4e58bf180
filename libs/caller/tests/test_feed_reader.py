"""Feeds of a caller over connections that fail on purpose."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import json
from typing import Any
from unittest import mock

import pytest

from fireflyford.caller import _connection
from fireflyford.caller import _feeds

HEAD = _connection.Head(200, {})
BROKEN = _connection.End(False)
COMPLETE = _connection.End(True)


def data(*sequences: int) -> _connection.Data:
    lines = [
        json.dumps({"sequence": item, "value": item}) for item in sequences
    ]
    return _connection.Data("".join(item + "\n" for item in lines).encode())


def control(kind: str) -> _connection.Data:
    fields = {"fireflyford-control": kind, "window_ms": 0}
    return _connection.Data(json.dumps(fields).encode() + b"\n")


class _Service:
    """Plays one list of events for each connection that is opened."""

    def __init__(self, *plays: list[_connection.Event | Exception]) -> None:
        self._plays = list(plays)
        self.paths: list[str] = []
        self.streams: list[Any] = []
        # Delivered on the first connection when the second one is used.
        self.late_event: _connection.Event | None = None
        self.closed: list[int] = []

    @contextlib.asynccontextmanager
    async def connect(self) -> AsyncIterator[Any]:
        play = self._plays.pop(0)
        if isinstance(play[0], Exception):
            raise play[0]
        number = len(self.paths)
        stream = mock.Mock(events=asyncio.Queue())

        def fill() -> None:
            for event in play:
                stream.events.put_nowait(event)

        def send(method: str, path: str, resumable: bool) -> Any:
            self.paths.append(path)
            self.streams.append(stream)
            if number == 1 and self.late_event is not None:
                self.streams[0].events.put_nowait(self.late_event)
                asyncio.get_running_loop().call_later(0.02, fill)
            else:
                fill()
            return stream

        try:
            yield mock.Mock(send=send, closed=False, ping=mock.AsyncMock())
        finally:
            self.closed.append(number)


def read(
    service: _Service, count: int, after: int = 0
) -> tuple[list[int], _feeds.FeedStatistics]:
    report = _feeds.FeedStatistics()

    async def run() -> list[int]:
        reader = _feeds.FeedReader(service.connect, "/feed", after, report)
        seen = []
        async with asyncio.timeout(5):
            async for event in reader.events():
                seen.append(event.sequence)
                if len(seen) == count:
                    break
        reader.close()
        await asyncio.sleep(0)
        return seen

    with mock.patch.object(_feeds, "_DEFAULT_JITTER_MS", 1):
        return asyncio.run(run()), report


def test_a_move_loses_and_repeats_nothing() -> None:
    """Guards against gaps or repetition around a planned move."""
    service = _Service(
        [HEAD, data(1, 2), control("resume"), data(3)],
        [HEAD, data(3, 4, 5)],
    )
    seen, report = read(service, 5)
    assert seen == [1, 2, 3, 4, 5]
    assert (report.moved_count, report.broken_count) == (1, 0)


def test_the_old_stream_is_closed_only_after_the_new_one_is_open() -> None:
    """Guards against a move that closes first and may then fail."""
    service = _Service(
        [HEAD, data(1), control("resume")],
        [ConnectionError("refused")],
        [HEAD, data(2)],
    )
    closed_before: list[list[int]] = []
    connect = service.connect

    @contextlib.asynccontextmanager
    async def watch() -> AsyncIterator[Any]:
        closed_before.append(list(service.closed))
        async with connect() as connection:
            yield connection

    with mock.patch.object(service, "connect", watch):
        seen, _ = read(service, 2)
    assert seen == [1, 2]
    assert closed_before == [[], [], []]


def test_a_broken_feed_resumes_after_the_last_event() -> None:
    """Guards against a gap when a target dies."""
    service = _Service([HEAD, data(7, 8), BROKEN], [HEAD, data(9), COMPLETE])
    seen, report = read(service, 99)
    assert seen == [7, 8, 9]
    assert service.paths == ["/feed?after=0", "/feed?after=8"]
    assert report.broken_count == 1


def test_a_silent_path_is_replaced_while_it_is_still_open() -> None:
    """Guards against a feed that waits on a path that passes nothing."""
    service = _Service(
        [HEAD, data(1), _connection.Silence()], [HEAD, data(2), COMPLETE]
    )
    seen, report = read(service, 99)
    assert seen == [1, 2]
    assert report.broken_count == 1


def test_a_first_event_during_replacement_leaves_no_gap() -> None:
    """Guards against a new leg that starts later than the first event."""
    service = _Service(
        [HEAD, _connection.Silence()],
        [HEAD, data(5), COMPLETE],
        [HEAD, data(4), COMPLETE],
    )
    service.late_event = data(3)
    seen, report = read(service, 99)
    assert seen == [3, 4]
    assert service.paths[-1] == "/feed?after=3"
    assert report.gap_count == 0


def test_a_replaced_stream_is_cancelled() -> None:
    """Guards against a drain that waits for feeds that have moved away."""
    service = _Service(
        [HEAD, data(1), control("resume")], [HEAD, data(2), data(3)]
    )
    read(service, 3)
    service.streams[0].cancel.assert_called_once()


def test_a_complete_feed_ends() -> None:
    """Guards against a finished feed that is opened again for ever."""
    seen, _ = read(_Service([HEAD, data(1), COMPLETE]), 99)
    assert seen == [1]


def test_a_forbidden_feed_raises() -> None:
    """Guards against endless retries of a feed that is refused for good."""
    refusal = _connection.Head(403, {"fireflyford-error": "forbidden"})
    with pytest.raises(_feeds.FeedRefusedError):
        read(_Service([refusal, COMPLETE]), 1)


def test_a_draining_refusal_is_tried_again() -> None:
    """Guards against a feed that ends because one target is leaving."""
    refusal = _connection.Head(503, {"fireflyford-error": "draining"})
    seen, _ = read(_Service([refusal, COMPLETE], [HEAD, data(1)]), 1)
    assert seen == [1]


def test_other_parameters_of_the_path_are_kept() -> None:
    """Guards against a resumed feed that asks for something else."""
    assert _feeds._path_after("/feed?lot=4", 7) == "/feed?lot=4&after=7"
