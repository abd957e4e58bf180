"""One connection of a caller to a service address."""

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

# Tells an agent that this end moves and resumes feeds.
CALLER_HEADER = "fireflyford-caller"
_IDLE_TIMEOUT_S = 30.0
# An open path answers within a round trip. Ticks are jittered so that many
# connections of one caller do not probe at the same moment.
_TICK_MS = (250.0, 450.0)
PROBE_AFTER_MS = 700.0
# At least three probes are unanswered by then; an instance that pauses for a
# second is not suspected.
SUSPECT_AFTER_MS = 2_000.0
# Requests on a path that stays silent end as "unknown".
ABANDON_AFTER_MS = 4_000.0


@dataclasses.dataclass(frozen=True)
class Head:
    """Status and headers of an answer."""

    status_code: int
    headers: dict[str, str]


@dataclasses.dataclass(frozen=True)
class Data:
    """A part of the body of an answer."""

    payload: bytes


@dataclasses.dataclass(frozen=True)
class End:
    """End of an answer.

    Attributes:
        complete: Whether the whole answer has arrived.
    """

    complete: bool


@dataclasses.dataclass(frozen=True)
class Silence:
    """The path has passed no datagram for `SUSPECT_AFTER_MS`."""


Event = Head | Data | End | Silence


class Stream:
    """One request and the parts of its answer, in order."""

    def __init__(
        self, protocol: "_HttpProtocol", stream_id: int, resumable: bool
    ) -> None:
        """Prepares the stream of one request."""
        self._protocol = protocol
        self._stream_id = stream_id
        self.resumable = resumable
        self.events: asyncio.Queue[Event] = asyncio.Queue()

    def cancel(self) -> None:
        """Tells the other end that the answer is no longer wanted."""
        self._protocol.cancel_stream(self._stream_id)


class _HttpConnection(h3_connection.H3Connection):
    """HTTP/3 client that notices GOAWAY.

    aioquic skips the payload of GOAWAY frames without an event; the check of
    the frame type is the one place that sees them. The version is pinned.
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
        self.quiet_ms = 0.0

    @property
    def going_away(self) -> bool:
        return self._http.going_away

    @property
    def stream_count(self) -> int:
        return len(self._streams)

    def datagram_received(self, data: bytes | str, addr: Any) -> None:
        self.quiet_ms = 0.0
        super().datagram_received(data, addr)

    async def ping(self) -> None:
        try:
            await super().ping()
        finally:
            # A caller that gave up leaves a future that nobody reads.
            for waiter in self._ping_waiters.values():
                waiter.add_done_callback(asyncio.Future.exception)

    async def wait_connected(self) -> None:
        try:
            await super().wait_connected()
        finally:
            # A caller that gave up leaves a future that nobody reads.
            if self._connected_waiter is not None:
                self._connected_waiter.add_done_callback(
                    asyncio.Future.exception
                )

    async def watch(self) -> None:
        """Probes a quiet path while answers are outstanding."""
        suspected = False
        while not self.closed:
            tick_ms = random.uniform(*_TICK_MS)
            start_s = time.monotonic()
            await asyncio.sleep(tick_ms / 1000)
            if not self._streams:
                self.quiet_ms = 0.0
                continue
            # A stalled event loop has not looked at the socket either, so at
            # most twice the tick counts as silence.
            elapsed_ms = (time.monotonic() - start_s) * 1000
            self.quiet_ms += min(elapsed_ms, 2 * tick_ms)
            if self.quiet_ms >= ABANDON_AFTER_MS:
                self._end_all()
                self.close()
                return
            if self.quiet_ms >= PROBE_AFTER_MS and not self.closed:
                self._quic.send_ping(0)
                self.transmit()
            if self.quiet_ms < SUSPECT_AFTER_MS:
                suspected = False
            elif not suspected:
                suspected = True
                self._report_silence()

    def _report_silence(self) -> None:
        for stream in self._streams.values():
            if stream.resumable:
                stream.events.put_nowait(Silence())

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
            self._end_all()
        elif isinstance(event, quic_events.StreamReset):
            self._end(event.stream_id, complete=False)
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
            stream.events.put_nowait(_head(event))
        elif event.data:
            stream.events.put_nowait(Data(event.data))
        if event.stream_ended:
            self._end(event.stream_id, complete=True)

    def _end(self, stream_id: int, complete: bool) -> None:
        stream = self._streams.pop(stream_id, None)
        if stream is not None:
            stream.events.put_nowait(End(complete))

    def _end_all(self) -> None:
        for stream_id in list(self._streams):
            self._end(stream_id, complete=False)


def _head(event: h3_events.HeadersReceived) -> Head:
    fields = {name.decode(): value.decode() for name, value in event.headers}
    return Head(int(fields.get(":status", "0")), fields)


class Connection:
    """An open connection to a service."""

    def __init__(
        self, protocol: _HttpProtocol, authority: str, token: str = ""
    ) -> None:
        """Wraps the protocol; use `open_connection` instead."""
        self._protocol = protocol
        self._authority = authority
        self._token = token

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self._protocol.closed

    @property
    def usable(self) -> bool:
        """Whether new requests should go to this connection."""
        protocol = self._protocol
        silent = protocol.quiet_ms >= SUSPECT_AFTER_MS
        return not (protocol.closed or protocol.going_away or silent)

    @property
    def stream_count(self) -> int:
        """Requests whose answers are outstanding."""
        return self._protocol.stream_count

    def send(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
        resumable: bool = False,
    ) -> Stream:
        """Sends a request and returns the stream of its answer.

        Args:
            method: HTTP method.
            path: HTTP path.
            body: Request body.
            headers: Further headers.
            resumable: Whether the stream gets a `Silence` event when the
                path is suspected, so that it can be resumed elsewhere.
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
        """Waits until the other end has answered a probe."""
        await self._protocol.ping()


@contextlib.asynccontextmanager
async def open_connection(
    address: core.Address,
    service: str,
    authorities_path: str,
    token: str = "",
) -> AsyncIterator[Connection]:
    """Opens a connection to a service address.

    Args:
        address: Service address.
        service: Name that the service's certificate must carry.
        authorities_path: PEM file with the authorities to trust.
        token: Caller token of a closed service.

    Raises:
        ConnectionError: No connection could be opened.
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
        watcher = asyncio.create_task(protocol.watch())
        try:
            yield Connection(protocol, service, token)
        finally:
            watcher.cancel()
