"""Client for feeds of the local backend server, over HTTP/1.1."""

import abc
import asyncio
from collections.abc import AsyncIterator
import contextlib
import sys

from tornado import http1connection
from tornado import httputil
from tornado import iostream

from fireflyford.agent import _backend_monitor

_READ_BYTES = 16 << 10
# Chunks read ahead of a slow caller; reading from the backend server stops when
# the queue is full.
_MAX_QUEUED_CHUNKS = 4


class FeedBrokenError(Exception):
    """The connection to the backend server ended before the feed."""


class FeedRejectedError(Exception):
    """The backend server responded with a status other than 200."""


class FeedSource(abc.ABC):
    """Source of feeds."""

    @abc.abstractmethod
    def open(
        self, path: str
    ) -> contextlib.AbstractAsyncContextManager[AsyncIterator[bytes]]:
        """Opens a feed; the context yields an iterator over its chunks.

        Raises:
            FeedBrokenError: The backend server cannot be reached, or the
                connection ended before the feed.
            FeedRejectedError: The backend server responded with a status other
                than 200.
        """


class BackendFeeds(FeedSource):
    """Feeds over one TCP connection each, with backpressure."""

    def __init__(self, monitor: _backend_monitor.BackendMonitor) -> None:
        """Initializes the source with the monitor that opens connections."""
        self._monitor = monitor

    @contextlib.asynccontextmanager
    async def open(self, path: str) -> AsyncIterator[AsyncIterator[bytes]]:
        """Opens a feed; the context yields an iterator over its chunks."""
        try:
            stream = await self._monitor.connect()
        except OSError as error:
            raise FeedBrokenError(str(error)) from error
        reader = _FeedReader()
        task = asyncio.create_task(self._read(stream, reader, path))
        try:
            await reader.opened
            yield reader
        finally:
            stream.close()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _read(
        self, stream: iostream.IOStream, reader: "_FeedReader", path: str
    ) -> None:
        connection = http1connection.HTTP1Connection(
            stream,
            True,
            http1connection.HTTP1ConnectionParameters(
                chunk_size=_READ_BYTES, max_body_size=sys.maxsize
            ),
        )
        try:
            connection.write_headers(
                httputil.RequestStartLine("GET", path, ""),
                httputil.HTTPHeaders({"Host": "backend"}),
            )
            connection.finish()
            await connection.read_response(reader)
        except (OSError, iostream.StreamClosedError):
            pass
        finally:
            await reader.close_queue()


class _FeedReader(httputil.HTTPMessageDelegate, AsyncIterator[bytes]):
    """Receives one response and provides its chunks through a queue."""

    def __init__(self) -> None:
        self.opened: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._chunks: asyncio.Queue[bytes | None] = asyncio.Queue(
            _MAX_QUEUED_CHUNKS
        )
        self._complete = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, httputil.ResponseStartLine)
        if self.opened.done():
            return
        if start_line.code == 200:
            self.opened.set_result(None)
        else:
            self.opened.set_exception(FeedRejectedError(str(start_line.code)))

    async def data_received(self, chunk: bytes) -> None:
        await self._chunks.put(chunk)

    def finish(self) -> None:
        self._complete = True

    def on_connection_close(self) -> None:
        pass

    async def close_queue(self) -> None:
        if not self.opened.done():
            self.opened.set_exception(
                FeedBrokenError("connection closed before the response headers")
            )
        await self._chunks.put(None)

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        # Not an async generator, because cancellation by a read timeout would
        # finish the generator and thereby the feed.
        chunk = await self._chunks.get()
        if chunk is not None:
            return chunk
        if self._complete:
            raise StopAsyncIteration
        raise FeedBrokenError("connection closed before the end of the feed")
