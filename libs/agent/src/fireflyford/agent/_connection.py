"""QUIC connection of one caller, driven by a single task."""

import abc
import asyncio
from collections.abc import Callable
import dataclasses
import random

from aioquic import buffer as quic_buffer
from aioquic.h3 import connection as h3_connection
from aioquic.h3 import events as h3_events
from aioquic.quic import events as quic_events

from fireflyford import caller
from fireflyford import core
from fireflyford import requests
from fireflyford import telemetry
from fireflyford.agent import _quic
from fireflyford.agent import _return_path

MAX_REQUEST_BODY_BYTES = 1 << 20
# Total size of the incomplete request bodies of one connection.
MAX_PENDING_BODY_BYTES = 4 << 20
# Total size of the unacknowledged response data of one connection. The budget
# is divided among its streams so that a slow stream does not block the others.
MAX_UNACKNOWLEDGED_BYTES = 1 << 20
_MIN_STREAM_BUFFER_BYTES = 16 << 10
# A caller that acknowledges nothing for this long is considered gone.
WRITE_STALL_TIMEOUT_S = 30.0
# Highest ID of a request stream. A GOAWAY with this ID asks the caller to send
# new requests elsewhere, but the server still accepts the requests that are in
# flight (RFC 9114, section 5.2).
_GOAWAY_STREAM_ID = (1 << 62) - 4
# More datagrams than a congestion window holds; a longer queue means that the
# task is stuck.
_MAX_QUEUED_DATAGRAMS = 1_024
# While requests are open, a path without incoming datagrams is probed with PING
# frames, at random intervals within these bounds. A caller that uses the caller
# library (`fireflyford.caller`) has abandoned the path and resumed its feeds on
# another connection well before the last probe, so its connection is closed and
# its requests are cancelled; other callers keep their connection until the QUIC
# idle timeout.
_PROBE_INTERVAL_S = (1.0, 2.0)
_MAX_PROBES = 5

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True)
class Request:
    """An HTTP/3 request with its complete body."""

    method: str
    path: str
    headers: Headers
    body: bytes
    caller: core.Address


class ResponseStream(abc.ABC):
    """Writable response to one request."""

    @abc.abstractmethod
    def start(self, status_code: int, headers: Headers) -> None:
        """Writes the status code and the headers."""

    @abc.abstractmethod
    async def write(self, data: bytes, end: bool) -> None:
        """Writes a part of the body; waits while the send buffer is full.

        Raises:
            StalledError: The caller has acknowledged no data for
                `WRITE_STALL_TIMEOUT_S`.
        """

    @abc.abstractmethod
    def abort(self) -> None:
        """Resets the stream of a response that cannot be completed."""


class StalledError(Exception):
    """The caller has acknowledged no data for `WRITE_STALL_TIMEOUT_S`."""


class RequestHandler(abc.ABC):
    """Handles the requests of all connections."""

    @abc.abstractmethod
    async def handle(self, request: Request, response: ResponseStream) -> None:
        """Handles one request; cancelled when the caller cancels it."""


@dataclasses.dataclass(frozen=True)
class ReceivedDatagram:
    """A datagram received for a connection.

    Attributes:
        payload: The QUIC datagram.
        caller: Source address of the caller.
        balancer: Link address of the balancer that forwarded it, or None if
            another agent relayed it.
    """

    payload: bytes
    caller: core.Address
    balancer: core.Address | None


class Connection:
    """A QUIC connection and its request streams."""

    def __init__(
        self,
        quic: _quic.ServerConnection,
        handler: RequestHandler,
        send: Callable[[core.Address, core.Address, bytes], None],
        track_id: Callable[["Connection", quic_events.QuicEvent], None],
        return_path: _return_path.ReturnPath,
    ) -> None:
        """Initializes the connection; `run` drives it.

        Args:
            quic: Server side of the QUIC connection.
            handler: Handler of requests.
            send: Sends a QUIC datagram; called with the link address of the
                balancer that forwards it, the address of the caller, and the
                datagram.
            track_id: Called with every QUIC event, so that the endpoint can
                track the connection IDs that are issued and retired.
            return_path: Selects the balancer that carries responses. It
                rotates to another one if the balancer is unavailable or the
                caller acknowledges nothing.
        """
        self._quic = quic
        self._http: h3_connection.H3Connection | None = None
        self._handler = handler
        self._send = send
        self._track_id = track_id
        self.return_path = return_path
        # None wakes the task without a datagram.
        self._queue: asyncio.Queue[ReceivedDatagram | None] = asyncio.Queue(
            maxsize=_MAX_QUEUED_DATAGRAMS
        )
        self._pending_requests: dict[int, _PendingRequest] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._closed = False
        # Set at the end of every step, when the received acknowledgements have
        # been processed.
        self._send_progress = asyncio.Event()
        self._pending_body_bytes = 0
        self._uses_caller_library = False
        self._next_probe_s = 0.0
        self._probe_count = 0
        # Retransmissions through other balancers since the last received
        # datagram, at most `_MAX_PROBES`.
        self._rotation_count = 0
        # Source address of the last received datagram.
        self.caller = core.Address("0.0.0.0", 0)
        # Connection IDs registered for this connection at the endpoint.
        self.connection_ids: set[bytes] = set()

    @property
    def request_count(self) -> int:
        """Number of requests without a complete response."""
        return len(self._tasks)

    def deliver(self, datagram: ReceivedDatagram) -> None:
        """Queues a datagram; drops it if the queue is full."""
        if not self._queue.full():
            self._queue.put_nowait(datagram)

    def wake(self) -> None:
        """Wakes the task so that it sends the data written by streams."""
        if self._queue.empty():
            self._queue.put_nowait(None)

    def send_goaway(self) -> None:
        """Sends GOAWAY: new requests need another connection."""
        if self._closed or self._http is None:
            return
        # aioquic has no API for GOAWAY, so private fields are used; its version
        # is pinned.
        control_stream_id = self._http._local_control_stream_id
        if control_stream_id is None:
            return
        frame = h3_connection.encode_frame(
            h3_connection.FrameType.GOAWAY,
            quic_buffer.encode_uint_var(_GOAWAY_STREAM_ID),
        )
        self._quic.send_stream_data(control_stream_id, frame)
        self.wake()

    def close(self) -> None:
        """Closes the connection without an error."""
        self._quic.close(error_code=h3_connection.ErrorCode.H3_NO_ERROR)
        self.wake()

    async def run(self) -> None:
        """Drives the connection until it is closed."""
        try:
            while not self._closed:
                await self._step()
        finally:
            # The argument of `cancel` marks that the caller has not cancelled
            # the requests; those with a ticket keep running.
            for task in self._tasks.values():
                task.cancel(requests.CONNECTION_LOST)

    async def _step(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout_at(self._next_deadline_s()):
                datagram = await self._queue.get()
        except TimeoutError:
            self._handle_timers(loop.time())
            datagram = None
        while True:
            if datagram is not None:
                self._receive(datagram, loop.time())
            if self._queue.empty():
                break
            datagram = self._queue.get_nowait()
        self._transmit(loop.time())

    def _next_deadline_s(self) -> float | None:
        deadlines_s = [self._quic.get_timer(), self._next_rotation_s()]
        if self._tasks:
            deadlines_s.append(self._next_probe_s)
        return min(
            (item for item in deadlines_s if item is not None), default=None
        )

    def _next_rotation_s(self) -> float | None:
        """Returns when to retransmit through another balancer, if at all."""
        if self._rotation_count >= _MAX_PROBES or not self._quic.awaits_ack:
            return None
        return self.return_path.next_rotation_s(self._quic.round_trip_s)

    def _handle_timers(self, now_s: float) -> None:
        rotation_s = self._next_rotation_s()
        if rotation_s is not None and rotation_s <= now_s:
            # `_transmit` sends the data; the return path rotates then.
            self._rotation_count += 1
            self._quic.retransmit(now_s)
        timer_s = self._quic.get_timer()
        if timer_s is not None and timer_s <= now_s:
            self._quic.handle_timer(now_s)
        if not self._tasks or now_s < self._next_probe_s:
            return
        self._next_probe_s = now_s + random.uniform(*_PROBE_INTERVAL_S)
        self._probe_count += 1
        if self._uses_caller_library and self._probe_count > _MAX_PROBES:
            telemetry.log("path-silent", requests=len(self._tasks))
            self._quic.close(error_code=h3_connection.ErrorCode.H3_NO_ERROR)
        else:
            self._quic.send_ping(0)

    def _receive(self, datagram: ReceivedDatagram, now_s: float) -> None:
        self.caller = datagram.caller
        self.return_path.record_receipt(datagram.balancer)
        self._next_probe_s = now_s + random.uniform(*_PROBE_INTERVAL_S)
        self._probe_count = 0
        self._rotation_count = 0
        self._quic.receive_datagram(
            datagram.payload, datagram.caller.pair, now_s
        )
        self._handle_events()

    def _transmit(self, now_s: float) -> None:
        self._handle_events()
        for payload, address in self._quic.datagrams_to_send(now_s):
            balancer = self.return_path.choose(now_s, self._quic.awaits_ack)
            if balancer is not None:
                self._send(balancer, core.Address(*address[:2]), payload)
        self._send_progress.set()

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
            self._pending_requests[event.stream_id] = _PendingRequest(
                event.headers
            )
        elif isinstance(event, h3_events.DataReceived):
            pending = self._pending_requests.get(event.stream_id)
            if pending is not None:
                self._append_body(event.stream_id, pending, event.data)
        else:
            return
        if event.stream_ended:
            self._start_request(event.stream_id)

    def _append_body(
        self, stream_id: int, pending: "_PendingRequest", data: bytes
    ) -> None:
        pending.body += data
        self._pending_body_bytes += len(data)
        too_long = len(pending.body) > MAX_REQUEST_BODY_BYTES
        if too_long or self._pending_body_bytes > MAX_PENDING_BODY_BYTES:
            self._pop_pending(stream_id)
            self._quic.stop_stream(
                stream_id, h3_connection.ErrorCode.H3_EXCESSIVE_LOAD
            )
            stream = _Http3ResponseStream(self, stream_id)
            stream.start(413, (("content-length", "0"),))
            stream.finish()

    def _pop_pending(self, stream_id: int) -> "_PendingRequest | None":
        pending = self._pending_requests.pop(stream_id, None)
        if pending is not None:
            self._pending_body_bytes -= len(pending.body)
        return pending

    def _start_request(self, stream_id: int) -> None:
        pending = self._pop_pending(stream_id)
        if pending is None:
            return
        stream = _Http3ResponseStream(self, stream_id)
        request = pending.to_request(self.caller)
        self._uses_caller_library |= any(
            name == caller.CALLER_HEADER for name, _ in request.headers
        )
        task = asyncio.create_task(self._handle_request(request, stream))
        self._tasks[stream_id] = task
        task.add_done_callback(lambda _: self._tasks.pop(stream_id, None))

    async def _handle_request(
        self, request: Request, stream: "_Http3ResponseStream"
    ) -> None:
        try:
            await self._handler.handle(request, stream)
        except Exception as error:  # A failed request ends no other request.
            telemetry.log(
                "request-failed",
                path=request.path,
                error=f"{type(error).__name__}: {error}",
            )
            stream.abort()

    def _cancel(self, stream_id: int) -> None:
        self._pop_pending(stream_id)
        task = self._tasks.get(stream_id)
        if task is not None:
            task.cancel()

    # Interface for the response streams of this connection.

    def write_headers(
        self, stream_id: int, status_code: int, headers: Headers
    ) -> None:
        """Writes the status code and the headers of a response."""
        if self._closed or self._http is None:
            return
        encoded = [(b":status", str(status_code).encode())]
        encoded += [
            (name.lower().encode(), value.encode()) for name, value in headers
        ]
        self._http.send_headers(stream_id, encoded)
        self.wake()

    def write_data(self, stream_id: int, data: bytes, end: bool) -> None:
        """Writes a part of the body of a response."""
        if self._closed or self._http is None:
            return
        self._http.send_data(stream_id, data, end)
        self.wake()

    async def wait_for_buffer_space(self, stream_id: int) -> None:
        """Waits until the stream is below its share of the send buffer.

        Raises:
            StalledError: The caller has acknowledged no data for
                `WRITE_STALL_TIMEOUT_S`.
        """
        while not self._closed:
            share_bytes = MAX_UNACKNOWLEDGED_BYTES // max(1, len(self._tasks))
            limit_bytes = max(share_bytes, _MIN_STREAM_BUFFER_BYTES)
            buffered_bytes = self._quic.unacknowledged_bytes(stream_id)
            if buffered_bytes <= limit_bytes:
                return
            try:
                async with asyncio.timeout(WRITE_STALL_TIMEOUT_S):
                    while (
                        self._quic.unacknowledged_bytes(stream_id)
                        == buffered_bytes
                    ):
                        self._send_progress.clear()
                        await self._send_progress.wait()
            except TimeoutError:
                raise StalledError(
                    f"no acknowledgement for {buffered_bytes} buffered bytes"
                ) from None

    def reset_stream(self, stream_id: int) -> None:
        """Resets the stream of a response that cannot be completed."""
        if not self._closed:
            self._quic.reset_stream(
                stream_id, h3_connection.ErrorCode.H3_INTERNAL_ERROR
            )
            self.wake()


class _PendingRequest:
    """A request whose body is incomplete."""

    def __init__(self, headers: list[tuple[bytes, bytes]]) -> None:
        self._headers = tuple(
            (name.decode(), value.decode("latin-1")) for name, value in headers
        )
        self.body = bytearray()

    def to_request(self, address: core.Address) -> Request:
        fields = dict(self._headers)
        return Request(
            method=fields.get(":method", ""),
            path=fields.get(":path", ""),
            headers=self._headers,
            body=bytes(self.body),
            caller=address,
        )


class _Http3ResponseStream(ResponseStream):
    """Response stream on an HTTP/3 connection."""

    def __init__(self, connection: Connection, stream_id: int) -> None:
        self._connection = connection
        self._stream_id = stream_id

    def start(self, status_code: int, headers: Headers) -> None:
        self._connection.write_headers(self._stream_id, status_code, headers)

    async def write(self, data: bytes, end: bool) -> None:
        self._connection.write_data(self._stream_id, data, end)
        if not end:
            await self._connection.wait_for_buffer_space(self._stream_id)

    def finish(self) -> None:
        self._connection.write_data(self._stream_id, b"", True)

    def abort(self) -> None:
        self._connection.reset_stream(self._stream_id)
