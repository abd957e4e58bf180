"""Standard HTTP/3 client that uses no extension of this project."""

import asyncio
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
from fireflyford.lab import _fleet

_IDLE_TIMEOUT_S = 30.0
_MAX_ATTEMPTS = 60


class PlainConnection(quic_protocol.QuicConnectionProtocol):
    """HTTP/3 connection for a single request."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Prepares the HTTP layer."""
        super().__init__(*args, **kwargs)
        self._http = h3_connection.H3Connection(self._quic)
        self._ended = asyncio.Event()
        self._complete = False
        self._closed_ms = 0.0
        self.body = bytearray()
        self.status_code = 0
        self.context: Any = None

    def get(self, authority: str, path: str) -> None:
        """Sends the request."""
        stream_id = self._quic.get_next_available_stream_id()
        self._http.send_headers(
            stream_id,
            [
                (b":method", b"GET"),
                (b":scheme", b"https"),
                (b":authority", authority.encode()),
                (b":path", path.encode()),
            ],
            end_stream=True,
        )
        self.transmit()

    def quic_event_received(self, event: quic_events.QuicEvent) -> None:
        """Collects the response."""
        if isinstance(
            event, quic_events.StreamReset | quic_events.ConnectionTerminated
        ):
            self._end()
        for http_event in self._http.handle_event(event):
            if isinstance(http_event, h3_events.HeadersReceived):
                self.status_code = int(dict(http_event.headers)[b":status"])
            elif isinstance(http_event, h3_events.DataReceived):
                self.body += http_event.data
            else:
                continue
            if http_event.stream_ended:
                self._complete = True
                self._end()

    def _end(self) -> None:
        if not self._ended.is_set():
            self._closed_ms = time.time() * 1000
            self._ended.set()

    async def is_complete(self) -> bool:
        """Waits for the end; returns whether the response is complete."""
        await self._ended.wait()
        return self._complete

    async def wait_closed_ms(self) -> float:
        """Waits for the end and returns its wall-clock time."""
        await self._ended.wait()
        return self._closed_ms


async def open_plain(
    address: core.Address, service: str, authorities_path: str
) -> PlainConnection:
    """Opens a connection that stays open until the process exits."""
    configuration = quic_configuration.QuicConfiguration(
        alpn_protocols=["h3"],
        is_client=True,
        server_name=service,
        idle_timeout=_IDLE_TIMEOUT_S,
        verify_mode=ssl.CERT_REQUIRED,
    )
    configuration.load_verify_locations(authorities_path)
    context = quic_client.connect(
        address.host,
        address.port,
        configuration=configuration,
        create_protocol=PlainConnection,
    )
    connection = cast(PlainConnection, await context.__aenter__())
    # Keeps a reference, because the context closes the connection when it is
    # garbage-collected.
    connection.context = context
    return connection


async def open_on_target(
    fleet: _fleet.Fleet, target: _fleet.Target, path: str
) -> PlainConnection:
    """Sends a request on a standard connection to a given target.

    Connections are opened until one is routed to the target.

    Raises:
        TimeoutError: No connection reached the target.
    """
    service = fleet.deployment.service(target.service)
    assert service is not None
    for _ in range(_MAX_ATTEMPTS):
        before = await _connection_count(target)
        connection = await open_plain(
            core.Address.parse(service.address),
            service.name,
            fleet.authorities_path(service.name),
        )
        if await _connection_count(target) > before:
            connection.get(service.name, path)
            return connection
        connection.close()
    raise TimeoutError(f"no connection reached {target.name}")


async def _connection_count(target: _fleet.Target) -> int:
    status = await _fleet.fetch_status(target.status_address)
    return int(status.get("connections", 0))
