"""What QUIC through aioquic costs: both ends in this process, no sockets."""

import asyncio
import gc
import pathlib
import ssl
import tempfile
import time

from aioquic.quic import configuration as quic_configuration
from aioquic.quic import connection as quic_connection
from aioquic.quic import events as quic_events
import psutil

from fireflyford.lab import _certificates
from fireflyford.lab.experiments import _framework

_HANDSHAKES = 100
_IDLE_CONNECTIONS = 400
_TRANSFER_BYTES = 8 << 20
_CHUNK_BYTES = 64 << 10
_CLIENT = ("127.0.0.1", 1)
_SERVER = ("127.0.0.1", 2)

_Quic = quic_connection.QuicConnection


class _Pair:
    """Two ends of one connection and a virtual time between them."""

    def __init__(
        self,
        client: quic_configuration.QuicConfiguration,
        server: quic_configuration.QuicConfiguration,
    ) -> None:
        self.now_s = 0.0
        self.client = _Quic(configuration=client)
        self.server = _Quic(
            configuration=server,
            original_destination_connection_id=(
                self.client.original_destination_connection_id
            ),
        )
        self.client.connect(_SERVER, now=self.now_s)

    def exchange(self) -> bool:
        """Moves all datagrams once; returns whether there were any."""
        self.now_s += 0.001
        moved = False
        for source, sink, address in (
            (self.client, self.server, _CLIENT),
            (self.server, self.client, _SERVER),
        ):
            for data, _ in source.datagrams_to_send(now=self.now_s):
                moved = True
                sink.receive_datagram(data, address, now=self.now_s)
        return moved

    def settle(self) -> None:
        """Moves datagrams until neither end sends any."""
        while self.exchange():
            pass

    def fire_timers(self) -> None:
        """Moves the time to the next timer of either end."""
        timers = [
            (timer, end)
            for end in (self.client, self.server)
            if (timer := end.get_timer()) is not None
        ]
        timer, end = min(timers, key=lambda item: item[0])
        self.now_s = max(self.now_s, timer)
        end.handle_timer(now=self.now_s)


def _drain(end: _Quic) -> int:
    """Returns the stream bytes that an end has received."""
    received_bytes = 0
    while (event := end.next_event()) is not None:
        if isinstance(event, quic_events.StreamDataReceived):
            received_bytes += len(event.data)
    return received_bytes


def _make_configurations(
    directory: pathlib.Path,
) -> tuple[
    quic_configuration.QuicConfiguration, quic_configuration.QuicConfiguration
]:
    certificate, key = _certificates.make_certificate(directory, "measured")
    server = quic_configuration.QuicConfiguration(
        is_client=False, alpn_protocols=["h3"]
    )
    server.load_cert_chain(certificate, key)
    client = quic_configuration.QuicConfiguration(
        is_client=True, alpn_protocols=["h3"], server_name="measured"
    )
    client.verify_mode = ssl.CERT_REQUIRED
    client.load_verify_locations(str(certificate))
    return client, server


def _open_pair(
    client: quic_configuration.QuicConfiguration,
    server: quic_configuration.QuicConfiguration,
) -> _Pair:
    pair = _Pair(client, server)
    pair.settle()
    _drain(pair.client)
    _drain(pair.server)
    return pair


def _transfer_s(pair: _Pair) -> float:
    """Returns the CPU time of moving bytes from server to client."""
    stream_id = pair.client.get_next_available_stream_id()
    pair.client.send_stream_data(stream_id, b"get")
    pair.settle()
    _drain(pair.server)
    received_bytes = sent_bytes = 0
    start_s = time.process_time()
    while received_bytes < _TRANSFER_BYTES:
        # One chunk ahead, as the agent writes answers.
        if sent_bytes - received_bytes < 4 * _CHUNK_BYTES:
            pair.server.send_stream_data(stream_id, bytes(_CHUNK_BYTES))
            sent_bytes += _CHUNK_BYTES
        if not pair.exchange():
            pair.fire_timers()
        received_bytes += _drain(pair.client)
    return time.process_time() - start_s


def _measure() -> tuple[_framework.Figure, ...]:
    with tempfile.TemporaryDirectory() as name:
        client, server = _make_configurations(pathlib.Path(name))
        _open_pair(client, server)
        start_s = time.process_time()
        for _ in range(_HANDSHAKES):
            _open_pair(client, server)
        handshake_ms = (time.process_time() - start_s) / _HANDSHAKES * 1e3
        gc.collect()
        before_bytes = psutil.Process().memory_info().rss
        pairs = [_open_pair(client, server) for _ in range(_IDLE_CONNECTIONS)]
        gc.collect()
        grown_bytes = psutil.Process().memory_info().rss - before_bytes
        transfer_s = _transfer_s(pairs[0])
    return (
        _framework.Figure("handshake, both ends", handshake_ms, "ms"),
        _framework.Figure(
            "idle connection, both ends",
            grown_bytes / _IDLE_CONNECTIONS / 1e3,
            "KB",
        ),
        _framework.Figure(
            "transfer, both ends on one core",
            _TRANSFER_BYTES / transfer_s / 1e6,
            "MB/s",
        ),
    )


class QuicCostExperiment(_framework.Experiment):
    """CPU and memory of QUIC without sockets."""

    @property
    def name(self) -> str:
        """Name on the command line."""
        return "quic-cost"

    @property
    def summary(self) -> str:
        """One line for the list."""
        return "CPU and memory of QUIC through aioquic, both ends"

    async def run(self, seed: int) -> _framework.Result:
        """Measures once; nothing in it is random but keys."""
        figures = await asyncio.to_thread(_measure)
        return _framework.Result(self.name, seed, figures)


EXPERIMENTS = (QuicCostExperiment(),)
