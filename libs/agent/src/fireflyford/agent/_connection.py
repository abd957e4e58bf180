"""One caller's connection: one task that receives, decides and sends."""

import abc
import asyncio
from collections.abc import Callable
import dataclasses

from aioquic.h3 import connection as h3_connection
from aioquic.h3 import events as h3_events
from aioquic.quic import events as quic_events

from fireflyford import core
from fireflyford import requests
from fireflyford import telemetry
from fireflyford.agent import _quic

MAX_REQUEST_BODY_BYTES = 1 << 20
# More datagrams than a congestion window holds mean a stuck task.
_INBOX_DATAGRAMS = 1_024

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True)
class Request:
    """One HTTP/3 request with its whole body."""

    method: str
    path: str
    headers: Headers
    body: bytes
    caller: core.Address


class ResponseStream(abc.ABC):
    """Where the answer to one request is written."""

    @abc.abstractmethod
    def start(self, status_code: int, headers: Headers) -> None:
        """Writes the status and the headers."""

    @abc.abstractmethod
    async def write(self, data: bytes, end: bool) -> None:
        """Writes a part of the body; waits while the caller reads slowly."""


class Handler(abc.ABC):
    """Answers the requests of all connections."""

    @abc.abstractmethod
    async def handle(self, request: Request, response: ResponseStream) -> None:
        """Answers one request; cancelled when the caller gives up."""


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One datagram of the connection.

    Attributes:
        payload: The QUIC datagram.
        caller: Where the caller sent it from.
        balancer: Link address of the balancer that passed it on.
    """

    payload: bytes
    caller: core.Address
    balancer: core.Address


class Connection:
    """One QUIC connection and its request streams."""

    def __init__(
        self,
        quic: _quic.ServerConnection,
        handler: Handler,
        send: Callable[["Connection", core.Address, bytes], None],
        track_id: Callable[["Connection", quic_events.QuicEvent], None],
    ) -> None:
        """Prepares a connection; `run` drives it.

        Args:
            quic: Server side of the connection.
            handler: Answers requests.
            send: Sends a datagram to the caller's address.
            track_id: Told of connection IDs issued and retired.
        """
        self._quic = quic
        self._http: h3_connection.H3Connection | None = None
        self._handler = handler
        self._send = send
        self._track_id = track_id
        self._inbox: asyncio.Queue[Arrival | None] = asyncio.Queue(
            maxsize=_INBOX_DATAGRAMS
        )
        self._pending: dict[int, _PendingRequest] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._closed = False
        self._progress = asyncio.Event()
        self.caller = core.Address("0.0.0.0", 0)
        self.balancer: core.Address | None = None

    @property
    def request_count(self) -> int:
        """Requests that have not been answered in full."""
        return len(self._tasks)

    def deliver(self, arrival: Arrival) -> None:
        """Queues a datagram; drops it when the queue is full."""
        if not self._inbox.full():
            self._inbox.put_nowait(arrival)

    def wake(self) -> None:
        """Makes the task send what streams have written."""
        if self._inbox.empty():
            self._inbox.put_nowait(None)

    def close(self) -> None:
        """Closes the connection towards the caller."""
        self._quic.close(error_code=h3_connection.ErrorCode.H3_NO_ERROR)
        self.wake()

    async def run(self) -> None:
        """Drives the connection until it ends."""
        try:
            while not self._closed:
                await self._step()
        finally:
            for task in self._tasks.values():
                task.cancel(requests.CONNECTION_LOST)

    async def _step(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout_at(self._quic.get_timer()):
                arrival = await self._inbox.get()
        except TimeoutError:
            self._quic.handle_timer(loop.time())
            arrival = None
        while True:
            if arrival is not None:
                self._receive(arrival, loop.time())
            if self._inbox.empty():
                break
            arrival = self._inbox.get_nowait()
        self._transmit(loop.time())

    def _receive(self, arrival: Arrival, now_s: float) -> None:
        self.caller = arrival.caller
        self.balancer = arrival.balancer
        self._quic.receive_datagram(arrival.payload, arrival.caller.pair, now_s)
        self._handle_events()

    def _transmit(self, now_s: float) -> None:
        self._handle_events()
        for payload, address in self._quic.datagrams_to_send(now_s):
            self._send(self, core.Address(*address[:2]), payload)
        self._progress.set()

    def _handle_events(self) -> None:
        while (event := self._quic.next_event()) is not None:
            self._track_id(self, event)
            if isinstance(event, quic_events.ProtocolNegotiated):
                self._http = h3_connection.H3Connection(self._quic)
            elif isinstance(event, quic_events.ConnectionTerminated):
                self._closed = True
            elif isinstance(
                event,
                quic_events.StreamReset | quic_events.StopSendingReceived,
            ):
                self._cancel(event.stream_id)
            if self._http is not None:
                for http_event in self._http.handle_event(event):
                    self._handle_http(http_event)

    def _handle_http(self, event: h3_events.H3Event) -> None:
        if isinstance(event, h3_events.HeadersReceived):
            self._pending[event.stream_id] = _PendingRequest(event.headers)
        elif isinstance(event, h3_events.DataReceived):
            pending = self._pending.get(event.stream_id)
            if pending is not None:
                pending.body += event.data
        else:
            return
        if event.stream_ended:
            self._start(event.stream_id)

    def _start(self, stream_id: int) -> None:
        pending = self._pending.pop(stream_id, None)
        if pending is None:
            return
        stream = _Stream(self, stream_id)
        if len(pending.body) > MAX_REQUEST_BODY_BYTES:
            stream.start(413, (("content-length", "0"),))
            stream.finish()
            return
        request = pending.request(self.caller)
        task = asyncio.create_task(self._answer(request, stream))
        self._tasks[stream_id] = task
        task.add_done_callback(lambda _: self._tasks.pop(stream_id, None))

    async def _answer(self, request: Request, stream: "_Stream") -> None:
        try:
            await self._handler.handle(request, stream)
        except Exception as error:  # A fault in one request ends only it.
            telemetry.log(
                "request-failed",
                path=request.path,
                error=f"{type(error).__name__}: {error}",
            )
            stream.abort()

    def _cancel(self, stream_id: int) -> None:
        self._pending.pop(stream_id, None)
        task = self._tasks.get(stream_id)
        if task is not None:
            task.cancel()

    # The methods below serve the streams of this connection.

    def write_headers(
        self, stream_id: int, status_code: int, headers: Headers
    ) -> None:
        """Writes status and headers of an answer."""
        if self._closed or self._http is None:
            return
        encoded = [(b":status", str(status_code).encode())]
        encoded += [
            (name.lower().encode(), value.encode()) for name, value in headers
        ]
        self._http.send_headers(stream_id, encoded)
        self.wake()

    def write_data(self, stream_id: int, data: bytes, end: bool) -> None:
        """Writes a part of the body of an answer."""
        if self._closed or self._http is None:
            return
        self._http.send_data(stream_id, data, end)
        self.wake()

    def reset_stream(self, stream_id: int) -> None:
        """Ends an answer that cannot be completed."""
        if not self._closed:
            self._quic.reset_stream(
                stream_id, h3_connection.ErrorCode.H3_INTERNAL_ERROR
            )
            self.wake()


class _PendingRequest:
    """A request whose body is still arriving."""

    def __init__(self, headers: list[tuple[bytes, bytes]]) -> None:
        self._headers = tuple(
            (name.decode(), value.decode("latin-1")) for name, value in headers
        )
        self.body = bytearray()

    def request(self, caller: core.Address) -> Request:
        fields = dict(self._headers)
        return Request(
            method=fields.get(":method", ""),
            path=fields.get(":path", ""),
            headers=self._headers,
            body=bytes(self.body),
            caller=caller,
        )


class _Stream(ResponseStream):
    """The answer to one request on its connection."""

    def __init__(self, connection: Connection, stream_id: int) -> None:
        self._connection = connection
        self._stream_id = stream_id

    def start(self, status_code: int, headers: Headers) -> None:
        self._connection.write_headers(self._stream_id, status_code, headers)

    async def write(self, data: bytes, end: bool) -> None:
        self._connection.write_data(self._stream_id, data, end)

    def finish(self) -> None:
        self._connection.write_data(self._stream_id, b"", True)

    def abort(self) -> None:
        self._connection.reset_stream(self._stream_id)
