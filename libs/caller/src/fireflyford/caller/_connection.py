"""One connection of a caller to a service address."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import ssl
from typing import Any
from typing import cast

from aioquic.asyncio import client as quic_client
from aioquic.asyncio import protocol as quic_protocol
from aioquic.h3 import connection as h3_connection
from aioquic.h3 import events as h3_events
from aioquic.quic import configuration as quic_configuration
from aioquic.quic import events as quic_events

from fireflyford import core

_IDLE_TIMEOUT_S = 30.0


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


Event = Head | Data | End


class Stream:
    """One request and the parts of its answer, in order."""

    def __init__(self, protocol: "_HttpProtocol", stream_id: int) -> None:
        """Prepares the stream of one request."""
        self._protocol = protocol
        self._stream_id = stream_id
        self.events: asyncio.Queue[Event] = asyncio.Queue()

    def cancel(self) -> None:
        """Tells the other end that the answer is no longer wanted."""
        self._protocol.cancel_stream(self._stream_id)


class _HttpProtocol(quic_protocol.QuicConnectionProtocol):
    """HTTP/3 client on a QUIC connection."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._http = h3_connection.H3Connection(self._quic)
        self._streams: dict[int, Stream] = {}
        self.closed = False

    def open_stream(
        self, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> Stream:
        stream_id = self._quic.get_next_available_stream_id()
        stream = Stream(self, stream_id)
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

    def __init__(self, protocol: _HttpProtocol, authority: str) -> None:
        """Wraps the protocol; use `open_connection` instead."""
        self._protocol = protocol
        self._authority = authority

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self._protocol.closed

    def send(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
    ) -> Stream:
        """Sends a request and returns the stream of its answer."""
        encoded = [
            (b":method", method.encode()),
            (b":scheme", b"https"),
            (b":authority", self._authority.encode()),
            (b":path", path.encode()),
        ]
        encoded += [(name.encode(), value.encode()) for name, value in headers]
        return self._protocol.open_stream(encoded, body)

    async def ping(self) -> None:
        """Waits until the other end has answered a probe."""
        await self._protocol.ping()


@contextlib.asynccontextmanager
async def open_connection(
    address: core.Address, service: str, authorities_path: str
) -> AsyncIterator[Connection]:
    """Opens a connection to a service address.

    Args:
        address: Service address.
        service: Name that the service's certificate must carry.
        authorities_path: PEM file with the authorities to trust.

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
    ) as protocol:
        yield Connection(cast(_HttpProtocol, protocol), service)
