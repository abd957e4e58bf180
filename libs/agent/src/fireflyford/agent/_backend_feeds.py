"""Feeds of the backend server beside this agent, over HTTP/1.1."""

import abc
import asyncio
from collections.abc import AsyncIterator
import contextlib
import sys

from tornado import http1connection
from tornado import httputil
from tornado import iostream

from fireflyford.agent import _backend_watch

_READ_BYTES = 16 << 10
# Chunks read ahead of a slow caller; the backend server waits beyond them.
_QUEUE_CHUNKS = 4


class FeedBrokenError(Exception):
    """The backend server left before the feed ended."""


class FeedRejectedError(Exception):
    """The backend server answered with something other than a feed."""


class FeedSource(abc.ABC):
    """Opens feeds."""

    @abc.abstractmethod
    def open(
        self, path: str
    ) -> contextlib.AbstractAsyncContextManager[AsyncIterator[bytes]]:
        """Opens a feed; the context gives its chunks.

        Raises:
            FeedBrokenError: The backend server cannot be reached, or left
                before the feed ended.
            FeedRejectedError: The backend server answered with an error.
        """


class BackendFeeds(FeedSource):
    """Feeds over one TCP connection each, with back-pressure."""

    def __init__(self, watch: _backend_watch.BackendWatch) -> None:
        """Takes the watch, which connects to the backend server."""
        self._watch = watch

    @contextlib.asynccontextmanager
    async def open(self, path: str) -> AsyncIterator[AsyncIterator[bytes]]:
        """Opens a feed; the context gives its chunks."""
        try:
            stream = await self._watch.connect()
        except OSError as error:
            raise FeedBrokenError(str(error)) from error
        reader = _Reader()
        task = asyncio.create_task(self._read(stream, reader, path))
        try:
            await reader.opened
            yield reader
        finally:
            stream.close()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _read(
        self, stream: iostream.IOStream, reader: "_Reader", path: str
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
            await reader.end()


class _Reader(httputil.HTTPMessageDelegate, AsyncIterator[bytes]):
    """Receives one response and hands its chunks on."""

    def __init__(self) -> None:
        self.opened: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._chunks: asyncio.Queue[bytes | None] = asyncio.Queue(_QUEUE_CHUNKS)
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

    async def end(self) -> None:
        if not self.opened.done():
            self.opened.set_exception(FeedBrokenError("closed before headers"))
        await self._chunks.put(None)

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        # Not a generator: a read that times out must not end the feed.
        chunk = await self._chunks.get()
        if chunk is not None:
            return chunk
        if self._complete:
            raise StopAsyncIteration
        raise FeedBrokenError("closed before the end")
