"""Tests of a connection against an in-memory HTTP/3 client."""

import asyncio
import ssl
from typing import Any

from aioquic.h3 import connection as h3_connection
from aioquic.h3 import events as h3_events
from aioquic.quic import configuration as quic_configuration
from aioquic.quic import connection as quic_connection
import pytest

from fireflyford import core
from fireflyford import wire
from fireflyford.agent import _connection
from fireflyford.agent import _quic
from fireflyford.agent import _return_path

AGENT = core.Address("127.0.0.1", 1)
BALANCER = core.Address("127.0.0.1", 2)
CALLER = core.Address("127.0.0.1", 3)
PART = b"x" * 65_536
PART_COUNT = 40


class _FakeBalancerSource(_return_path.BalancerSource):
    def weights(self) -> dict[core.Address, float]:
        return {BALANCER: 1.0}

    def is_unavailable(self, address: core.Address) -> bool:
        return False


class _Handler(_connection.RequestHandler):
    """Writes a large response, or blocks for requests to `/wait`."""

    def __init__(self) -> None:
        self.written_bytes = 0
        self.body_bytes = 0
        self.cancelled = asyncio.Event()

    async def handle(
        self,
        request: _connection.Request,
        response: _connection.ResponseStream,
    ) -> None:
        self.body_bytes = len(request.body)
        try:
            if request.path == "/wait":
                await asyncio.sleep(3600)
            response.start(200, ())
            for _ in range(PART_COUNT):
                self.written_bytes += len(PART)
                await response.write(PART, end=False)
            await response.write(b"", end=True)
        except asyncio.CancelledError:
            self.cancelled.set()
            raise


class _Client(quic_connection.QuicConnection):
    """Client that can stop extending its flow control windows."""

    reads = True

    def _write_stream_limits(self, *args: Any, **kwargs: Any) -> None:
        if self.reads:
            super()._write_stream_limits(*args, **kwargs)

    def _write_connection_limits(self, *args: Any, **kwargs: Any) -> None:
        if self.reads:
            super()._write_connection_limits(*args, **kwargs)


class _ConnectedPair:
    """A connection of the agent and a client, connected in memory."""

    def __init__(self, handler: _Handler, tls: Any, reads: bool = True) -> None:
        self.client = _Client(
            configuration=quic_configuration.QuicConfiguration(
                alpn_protocols=["h3"],
                is_client=True,
                verify_mode=ssl.CERT_NONE,
                server_name="tahian",
            )
        )
        self.client.reads = reads
        self.http = h3_connection.H3Connection(self.client)
        self.client.connect(AGENT.pair, now=asyncio.get_running_loop().time())
        codec = wire.ConnectionIdCodec([b"k" * 16], "tahian")
        self.server = _connection.Connection(
            _quic.ServerConnection(
                tls,
                _quic.ConnectionIdSource(codec, AGENT, 1),
                self.client.original_destination_connection_id,
            ),
            handler,
            self._receive,
            lambda connection, event: None,
            _return_path.ReturnPath(_FakeBalancerSource(), lambda: None),
        )
        self.task = asyncio.create_task(self.server.run())
        self.received_bytes = 0
        self.status_codes: list[int] = []

    def _receive(
        self, balancer: core.Address, caller: core.Address, payload: bytes
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        self.client.receive_datagram(payload, AGENT.pair, now_s)

    async def pump(self, duration_s: float) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        while loop.time() < end_s:
            while (event := self.client.next_event()) is not None:
                for item in self.http.handle_event(event):
                    self._record(item)
            timer_s = self.client.get_timer()
            if timer_s is not None and timer_s <= loop.time():
                self.client.handle_timer(loop.time())
            for payload, _ in self.client.datagrams_to_send(loop.time()):
                self.server.deliver(
                    _connection.ReceivedDatagram(payload, CALLER, BALANCER)
                )
            await asyncio.sleep(0.001)

    def _record(self, event: h3_events.H3Event) -> None:
        if isinstance(event, h3_events.HeadersReceived):
            self.status_codes.append(int(dict(event.headers)[b":status"]))
        elif isinstance(event, h3_events.DataReceived):
            self.received_bytes += len(event.data)

    def send_request(self, path: str, body: bytes = b"") -> int:
        stream_id: int = self.client.get_next_available_stream_id()
        headers = [
            (b":method", b"GET"),
            (b":scheme", b"https"),
            (b":authority", b"tahian"),
            (b":path", path.encode()),
        ]
        self.http.send_headers(stream_id, headers, end_stream=not body)
        if body:
            self.http.send_data(stream_id, body, end_stream=True)
        return stream_id


@pytest.fixture(scope="module")
def tls(tmp_path_factory: pytest.TempPathFactory) -> Any:
    certificates = pytest.importorskip("fireflyford.lab._certificates")
    directory = tmp_path_factory.mktemp("tls")
    certificates.make_certificate(directory, "tahian")
    configuration = quic_configuration.QuicConfiguration(
        alpn_protocols=["h3"],
        is_client=False,
        connection_id_length=wire.CONNECTION_ID_BYTES,
    )
    configuration.load_cert_chain(
        directory / "tahian.pem", directory / "tahian.key"
    )
    return configuration


def test_response_buffer_is_bounded_for_slow_caller(tls: Any) -> None:
    """Guards against a large response that fills the agent's memory."""

    async def run() -> tuple[int, int]:
        handler = _Handler()
        pair = _ConnectedPair(handler, tls, reads=False)
        await pair.pump(0.1)
        pair.send_request("/heavy")
        await pair.pump(0.8)
        return handler.written_bytes, pair.received_bytes

    written, received = asyncio.run(run())
    # The client's window is 1 MB; the agent buffers at most 1 MB and one part.
    assert received <= 1 << 20
    assert written <= received + _connection.MAX_UNACKNOWLEDGED_BYTES + len(
        PART
    )


def test_caller_receives_complete_large_response(tls: Any) -> None:
    """Guards against a writer that is not woken when space is free."""

    async def run() -> int:
        pair = _ConnectedPair(_Handler(), tls)
        await pair.pump(0.1)
        pair.send_request("/heavy")
        for _ in range(100):
            await pair.pump(0.1)
            if pair.received_bytes == PART_COUNT * len(PART):
                break
        return pair.received_bytes

    assert asyncio.run(run()) == PART_COUNT * len(PART)


def test_cancelled_request_stops_handler(tls: Any) -> None:
    """Guards against a handler that continues after the caller cancelled."""

    async def run() -> bool:
        handler = _Handler()
        pair = _ConnectedPair(handler, tls)
        await pair.pump(0.1)
        stream_id = pair.send_request("/wait")
        await pair.pump(0.05)
        pair.client.stop_stream(
            stream_id, h3_connection.ErrorCode.H3_REQUEST_CANCELLED
        )
        await pair.pump(0.05)
        return handler.cancelled.is_set() and not pair.server.request_count

    assert asyncio.run(run())


def test_oversized_request_body_is_rejected(tls: Any) -> None:
    """Guards against request bodies that fill the agent's memory."""

    async def run() -> tuple[list[int], int]:
        handler = _Handler()
        pair = _ConnectedPair(handler, tls)
        await pair.pump(0.1)
        pair.send_request(
            "/heavy", b"b" * (3 * _connection.MAX_REQUEST_BODY_BYTES)
        )
        for _ in range(100):
            await pair.pump(0.1)
            if pair.status_codes:
                break
        return pair.status_codes, handler.body_bytes

    assert asyncio.run(run()) == ([413], 0)
