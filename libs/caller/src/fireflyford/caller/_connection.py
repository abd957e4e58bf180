"""HTTP/3 connection of a client to a service."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import random
import ssl
import time
from typing import Any
from typing import cast

from aioquic.asyncio import client as quic_client
from aioquic.asyncio import protocol as quic_protocol
from aioquic.h3 import connection as h3_connection
from aioquic.h3 import events as h3_events
from aioquic.quic import configuration as quic_configuration
from aioquic.quic import events as quic_events

from fireflyford import core

# Request header of clients that can move and resume feeds.
CALLER_HEADER = "fireflyford-caller"
_IDLE_TIMEOUT_S = 30.0
# A working path responds within a round trip. Intervals are jittered so that
# the connections of one client do not probe at the same time.
_PROBE_INTERVAL_MS = (250.0, 450.0)
PROBE_AFTER_MS = 700.0
# At least three probes are unanswered by then, so an instance that pauses for
# 1 s is not suspected.
SUSPECT_AFTER_MS = 2_000.0
# The connection is closed after this silence, and its outstanding requests end
# with an unknown outcome.
ABANDON_AFTER_MS = 4_000.0


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Status and headers of a response."""

    status_code: int
    headers: dict[str, str]


@dataclasses.dataclass(frozen=True)
class BodyChunk:
    """Part of the body of a response."""

    payload: bytes


@dataclasses.dataclass(frozen=True)
class ResponseEnd:
    """End of a response.

    Attributes:
        complete: Whether the whole response was received.
    """

    complete: bool


@dataclasses.dataclass(frozen=True)
class PathSuspected:
    """No datagram was received on the path for `SUSPECT_AFTER_MS`."""


StreamEvent = ResponseHead | BodyChunk | ResponseEnd | PathSuspected


class Stream:
    """Stream of one request, with a queue of the events of its response."""

    def __init__(
        self, protocol: "_HttpProtocol", stream_id: int, resumable: bool
    ) -> None:
        """Creates the stream; `resumable` enables `PathSuspected` events."""
        self._protocol = protocol
        self._stream_id = stream_id
        self.resumable = resumable
        self.events: asyncio.Queue[StreamEvent] = asyncio.Queue()

    def cancel(self) -> None:
        """Cancels the request and notifies the peer."""
        self._protocol.cancel_stream(self._stream_id)


class _HttpConnection(h3_connection.H3Connection):
    """HTTP/3 client that detects GOAWAY frames.

    aioquic raises no event for GOAWAY frames; only the check of their type sees
    them. The method is private, so the version of aioquic is pinned.
    """

    going_away = False

    def _check_control_frame_type(self, frame_type: int) -> None:
        super()._check_control_frame_type(frame_type)
        if frame_type == h3_connection.FrameType.GOAWAY:
            self.going_away = True


class _HttpProtocol(quic_protocol.QuicConnectionProtocol):
    """HTTP/3 client on a QUIC connection."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._http = _HttpConnection(self._quic)
        self._streams: dict[int, Stream] = {}
        self.closed = False
        self.silent_ms = 0.0

    @property
    def going_away(self) -> bool:
        return self._http.going_away

    @property
    def stream_count(self) -> int:
        return len(self._streams)

    def datagram_received(self, data: bytes | str, addr: Any) -> None:
        self.silent_ms = 0.0
        super().datagram_received(data, addr)

    async def ping(self) -> None:
        try:
            await super().ping()
        finally:
            # After cancellation nobody awaits the future. asyncio would log its
            # exception as never retrieved, so it is retrieved here.
            for waiter in self._ping_waiters.values():
                waiter.add_done_callback(asyncio.Future.exception)

    async def wait_connected(self) -> None:
        try:
            await super().wait_connected()
        finally:
            # After cancellation nobody awaits the future. asyncio would log its
            # exception as never retrieved, so it is retrieved here.
            if self._connected_waiter is not None:
                self._connected_waiter.add_done_callback(
                    asyncio.Future.exception
                )

    async def monitor_path(self) -> None:
        """Probes a silent path while responses are outstanding."""
        suspected = False
        while not self.closed:
            interval_ms = random.uniform(*_PROBE_INTERVAL_MS)
            start_s = time.monotonic()
            await asyncio.sleep(interval_ms / 1000)
            if not self._streams:
                self.silent_ms = 0.0
                continue
            # A stalled event loop has not read the socket either, so at most
            # twice the interval counts as silence.
            elapsed_ms = (time.monotonic() - start_s) * 1000
            self.silent_ms += min(elapsed_ms, 2 * interval_ms)
            if self.silent_ms >= ABANDON_AFTER_MS:
                self._end_all_streams()
                self.close()
                return
            if self.silent_ms >= PROBE_AFTER_MS and not self.closed:
                self._quic.send_ping(0)
                self.transmit()
            if self.silent_ms < SUSPECT_AFTER_MS:
                suspected = False
            elif not suspected:
                suspected = True
                self._notify_suspected()

    def _notify_suspected(self) -> None:
        for stream in self._streams.values():
            if stream.resumable:
                stream.events.put_nowait(PathSuspected())

    def open_stream(
        self,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        resumable: bool,
    ) -> Stream:
        stream_id = self._quic.get_next_available_stream_id()
        stream = Stream(self, stream_id, resumable)
        self._streams[stream_id] = stream
        self._http.send_headers(stream_id, headers, end_stream=not body)
        if body:
            self._http.send_data(stream_id, body, end_stream=True)
        self.transmit()
        return stream

    def cancel_stream(self, stream_id: int) -> None:
        if self._streams.pop(stream_id, None) is None or self.closed:
            return
        self._quic.stop_stream(
            stream_id, h3_connection.ErrorCode.H3_REQUEST_CANCELLED
        )
        self.transmit()

    def quic_event_received(self, event: quic_events.QuicEvent) -> None:
        if isinstance(event, quic_events.ConnectionTerminated):
            self.closed = True
            self._end_all_streams()
        elif isinstance(event, quic_events.StreamReset):
            self._end_stream(event.stream_id, complete=False)
        for http_event in self._http.handle_event(event):
            self._deliver(http_event)

    def _deliver(self, event: h3_events.H3Event) -> None:
        if not isinstance(
            event, h3_events.HeadersReceived | h3_events.DataReceived
        ):
            return
        stream = self._streams.get(event.stream_id)
        if stream is None:
            return
        if isinstance(event, h3_events.HeadersReceived):
            stream.events.put_nowait(_parse_head(event))
        elif event.data:
            stream.events.put_nowait(BodyChunk(event.data))
        if event.stream_ended:
            self._end_stream(event.stream_id, complete=True)

    def _end_stream(self, stream_id: int, complete: bool) -> None:
        stream = self._streams.pop(stream_id, None)
        if stream is not None:
            stream.events.put_nowait(ResponseEnd(complete))

    def _end_all_streams(self) -> None:
        for stream_id in list(self._streams):
            self._end_stream(stream_id, complete=False)


def _parse_head(event: h3_events.HeadersReceived) -> ResponseHead:
    fields = {name.decode(): value.decode() for name, value in event.headers}
    return ResponseHead(int(fields.get(":status", "0")), fields)


class Connection:
    """An open connection to a service."""

    def __init__(
        self, protocol: _HttpProtocol, authority: str, token: str = ""
    ) -> None:
        """Wraps a protocol; connections are created by `open_connection`."""
        self._protocol = protocol
        self._authority = authority
        self._token = token

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self._protocol.closed

    @property
    def usable(self) -> bool:
        """Whether new requests may be sent on this connection."""
        protocol = self._protocol
        silent = protocol.silent_ms >= SUSPECT_AFTER_MS
        return not (protocol.closed or protocol.going_away or silent)

    @property
    def stream_count(self) -> int:
        """Number of requests without a complete response."""
        return self._protocol.stream_count

    def send(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
        resumable: bool = False,
    ) -> Stream:
        """Sends a request and returns its stream.

        Args:
            method: HTTP method.
            path: HTTP path.
            body: Request body.
            headers: Additional headers.
            resumable: Whether the stream gets a `PathSuspected` event, so that
                it can be resumed on another connection.
        """
        encoded = [
            (b":method", method.encode()),
            (b":scheme", b"https"),
            (b":authority", self._authority.encode()),
            (b":path", path.encode()),
            (CALLER_HEADER.encode(), b"1"),
        ]
        if self._token:
            credentials = f"Bearer {self._token}"
            encoded.append((b"authorization", credentials.encode()))
        encoded += [(name.encode(), value.encode()) for name, value in headers]
        return self._protocol.open_stream(encoded, body, resumable)

    async def ping(self) -> None:
        """Sends a probe and waits until the peer acknowledges it."""
        await self._protocol.ping()


@contextlib.asynccontextmanager
async def open_connection(
    address: core.Address,
    service: str,
    authorities_path: str,
    token: str = "",
) -> AsyncIterator[Connection]:
    """Opens a connection to a service.

    Args:
        address: Address of the service.
        service: Name of the service, which its certificate must contain.
        authorities_path: PEM file with the trusted certificate authorities.
        token: Caller token, if the service requires one.

    Raises:
        ConnectionError: The connection could not be opened.
    """
    configuration = quic_configuration.QuicConfiguration(
        alpn_protocols=["h3"],
        is_client=True,
        server_name=service,
        idle_timeout=_IDLE_TIMEOUT_S,
        verify_mode=ssl.CERT_REQUIRED,
    )
    configuration.load_verify_locations(authorities_path)
    async with quic_client.connect(
        address.host,
        address.port,
        configuration=configuration,
        create_protocol=_HttpProtocol,
    ) as opened:
        protocol = cast(_HttpProtocol, opened)
        monitor = asyncio.create_task(protocol.monitor_path())
        try:
            yield Connection(protocol, service, token)
        finally:
            monitor.cancel()
