"""One caller's connection: one task that receives, decides and sends."""

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
# All request bodies of one connection that are still arriving.
MAX_PENDING_BYTES = 4 << 20
# All response bytes of one connection that wait for an acknowledgement,
# shared by its streams, so that one slow stream cannot hold up the others.
MAX_UNSENT_BYTES = 1 << 20
_LEAST_STREAM_BYTES = 16 << 10
# A caller that takes nothing for so long has gone.
WRITE_STALL_LIMIT_S = 30.0
# RFC 9114, section 5.2: the first GOAWAY of a server that accepts the
# requests that are already on their way.
_GOAWAY_STREAM_ID = (1 << 62) - 4
# More datagrams than a congestion window holds mean a stuck task.
_INBOX_DATAGRAMS = 1_024
# A quiet path with open requests is probed; a caller with the library has
# resumed elsewhere well before the last probe, so its work is freed. Other
# callers keep their connection until QUIC's idle timeout.
_PROBE_INTERVAL_S = (1.0, 2.0)
_MAX_PROBES = 5

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
        """Writes a part of the body; waits while the caller reads slowly.

        Raises:
            StalledError: The caller has taken nothing for a long time.
        """

    @abc.abstractmethod
    def abort(self) -> None:
        """Ends an answer that cannot be completed."""


class StalledError(Exception):
    """A caller has taken nothing for `WRITE_STALL_LIMIT_S`."""


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
        balancer: Link address of the balancer that passed it on, None when
            a peer relayed it.
    """

    payload: bytes
    caller: core.Address
    balancer: core.Address | None


class Connection:
    """One QUIC connection and its request streams."""

    def __init__(
        self,
        quic: _quic.ServerConnection,
        handler: Handler,
        send: Callable[[core.Address, core.Address, bytes], None],
        track_id: Callable[["Connection", quic_events.QuicEvent], None],
        return_path: _return_path.ReturnPath,
    ) -> None:
        """Prepares a connection; `run` drives it.

        Args:
            quic: Server side of the connection.
            handler: Answers requests.
            send: Sends through a balancer, to the caller's address.
            track_id: Told of connection IDs issued and retired.
            return_path: Chooses the balancer of answers.
        """
        self._quic = quic
        self._http: h3_connection.H3Connection | None = None
        self._handler = handler
        self._send = send
        self._track_id = track_id
        self.return_path = return_path
        self._inbox: asyncio.Queue[Arrival | None] = asyncio.Queue(
            maxsize=_INBOX_DATAGRAMS
        )
        self._pending: dict[int, _PendingRequest] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._closed = False
        self._progress = asyncio.Event()
        self._pending_bytes = 0
        self._announced = False
        self._probe_s = 0.0
        self._probe_count = 0
        # Retransmissions through other balancers since the last datagram.
        self._rotation_count = 0
        self.caller = core.Address("0.0.0.0", 0)
        # Connection IDs under which the endpoint knows this connection.
        self.ids: set[bytes] = set()

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

    def announce_leave(self) -> None:
        """Tells the caller to open another connection for new requests."""
        if self._closed or self._http is None:
            return
        control_stream_id = self._http._local_control_stream_id
        if control_stream_id is None:
            return
        frame = h3_connection.encode_frame(
            h3_connection.FrameType.GOAWAY,
            quic_buffer.encode_uint_var(_GOAWAY_STREAM_ID),
        )
        # aioquic cannot send GOAWAY; the version is pinned.
        self._quic.send_stream_data(control_stream_id, frame)
        self.wake()

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
            async with asyncio.timeout_at(self._next_wake_s()):
                arrival = await self._inbox.get()
        except TimeoutError:
            self._handle_timers(loop.time())
            arrival = None
        while True:
            if arrival is not None:
                self._receive(arrival, loop.time())
            if self._inbox.empty():
                break
            arrival = self._inbox.get_nowait()
        self._transmit(loop.time())

    def _next_wake_s(self) -> float | None:
        times_s = [self._quic.get_timer(), self._rotation_s()]
        if self._tasks:
            times_s.append(self._probe_s)
        return min((item for item in times_s if item is not None), default=None)

    def _rotation_s(self) -> float | None:
        if self._rotation_count >= _MAX_PROBES or not self._quic.awaits_ack:
            return None
        return self.return_path.next_rotation_s(self._quic.round_trip_s)

    def _handle_timers(self, now_s: float) -> None:
        rotation_s = self._rotation_s()
        if rotation_s is not None and rotation_s <= now_s:
            self._rotation_count += 1
            self._quic.retransmit(now_s)
        timer_s = self._quic.get_timer()
        if timer_s is not None and timer_s <= now_s:
            self._quic.handle_timer(now_s)
        if not self._tasks or now_s < self._probe_s:
            return
        self._probe_s = now_s + random.uniform(*_PROBE_INTERVAL_S)
        self._probe_count += 1
        if self._announced and self._probe_count > _MAX_PROBES:
            telemetry.log("path-silent", requests=len(self._tasks))
            self._quic.close(error_code=h3_connection.ErrorCode.H3_NO_ERROR)
        else:
            self._quic.send_ping(0)

    def _receive(self, arrival: Arrival, now_s: float) -> None:
        self.caller = arrival.caller
        self.return_path.receive(arrival.balancer)
        self._probe_s = now_s + random.uniform(*_PROBE_INTERVAL_S)
        self._probe_count = 0
        self._rotation_count = 0
        self._quic.receive_datagram(arrival.payload, arrival.caller.pair, now_s)
        self._handle_events()

    def _transmit(self, now_s: float) -> None:
        self._handle_events()
        for payload, address in self._quic.datagrams_to_send(now_s):
            balancer = self.return_path.choose(now_s, self._quic.awaits_ack)
            if balancer is not None:
                self._send(balancer, core.Address(*address[:2]), payload)
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
                self._collect(event.stream_id, pending, event.data)
        else:
            return
        if event.stream_ended:
            self._start(event.stream_id)

    def _collect(
        self, stream_id: int, pending: "_PendingRequest", data: bytes
    ) -> None:
        pending.body += data
        self._pending_bytes += len(data)
        too_long = len(pending.body) > MAX_REQUEST_BODY_BYTES
        if too_long or self._pending_bytes > MAX_PENDING_BYTES:
            self._drop_pending(stream_id)
            self._quic.stop_stream(
                stream_id, h3_connection.ErrorCode.H3_EXCESSIVE_LOAD
            )
            stream = _Stream(self, stream_id)
            stream.start(413, (("content-length", "0"),))
            stream.finish()

    def _drop_pending(self, stream_id: int) -> "_PendingRequest | None":
        pending = self._pending.pop(stream_id, None)
        if pending is not None:
            self._pending_bytes -= len(pending.body)
        return pending

    def _start(self, stream_id: int) -> None:
        pending = self._drop_pending(stream_id)
        if pending is None:
            return
        stream = _Stream(self, stream_id)
        request = pending.request(self.caller)
        self._announced |= any(
            name == caller.CALLER_HEADER for name, _ in request.headers
        )
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
        self._drop_pending(stream_id)
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

    async def wait_for_room(self, stream_id: int) -> None:
        """Waits until the stream may buffer more bytes."""
        while not self._closed:
            share = MAX_UNSENT_BYTES // max(1, len(self._tasks))
            limit = max(share, _LEAST_STREAM_BYTES)
            before = self._quic.unacknowledged_bytes(stream_id)
            if before <= limit:
                return
            try:
                async with asyncio.timeout(WRITE_STALL_LIMIT_S):
                    while self._quic.unacknowledged_bytes(stream_id) == before:
                        self._progress.clear()
                        await self._progress.wait()
            except TimeoutError:
                raise StalledError(f"{before} bytes not taken") from None

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

    def request(self, address: core.Address) -> Request:
        fields = dict(self._headers)
        return Request(
            method=fields.get(":method", ""),
            path=fields.get(":path", ""),
            headers=self._headers,
            body=bytes(self.body),
            caller=address,
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
        if not end:
            await self._connection.wait_for_room(self._stream_id)

    def finish(self) -> None:
        self._connection.write_data(self._stream_id, b"", True)

    def abort(self) -> None:
        self._connection.reset_stream(self._stream_id)
