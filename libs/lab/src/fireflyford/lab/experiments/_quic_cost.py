"""Experiment on the cost of QUIC with aioquic.

Both ends of the connections are in this process, without sockets.
"""

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

_HANDSHAKE_COUNT = 100
_IDLE_CONNECTION_COUNT = 400
_TRANSFER_BYTES = 8 << 20
_CHUNK_BYTES = 64 << 10
_CLIENT_ADDRESS = ("127.0.0.1", 1)
_SERVER_ADDRESS = ("127.0.0.1", 2)

_Quic = quic_connection.QuicConnection


class _ConnectionPair:
    """Both ends of one connection, with a virtual clock."""

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
        self.client.connect(_SERVER_ADDRESS, now=self.now_s)

    def exchange(self) -> bool:
        """Exchanges pending datagrams; returns whether any were sent."""
        self.now_s += 0.001
        sent = False
        for sender, receiver, address in (
            (self.client, self.server, _CLIENT_ADDRESS),
            (self.server, self.client, _SERVER_ADDRESS),
        ):
            for data, _ in sender.datagrams_to_send(now=self.now_s):
                sent = True
                receiver.receive_datagram(data, address, now=self.now_s)
        return sent

    def exchange_all(self) -> None:
        """Exchanges datagrams until neither end sends any."""
        while self.exchange():
            pass

    def fire_timers(self) -> None:
        """Advances the clock to the next timer of either end and fires it."""
        timers = [
            (timer, end)
            for end in (self.client, self.server)
            if (timer := end.get_timer()) is not None
        ]
        timer, end = min(timers, key=lambda item: item[0])
        self.now_s = max(self.now_s, timer)
        end.handle_timer(now=self.now_s)


def _read_stream_bytes(end: _Quic) -> int:
    """Consumes the events of an end; returns the received stream bytes."""
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
) -> _ConnectionPair:
    pair = _ConnectionPair(client, server)
    pair.exchange_all()
    _read_stream_bytes(pair.client)
    _read_stream_bytes(pair.server)
    return pair


def _measure_transfer_s(pair: _ConnectionPair) -> float:
    """Returns the CPU time of a transfer from server to client."""
    stream_id = pair.client.get_next_available_stream_id()
    pair.client.send_stream_data(stream_id, b"get")
    pair.exchange_all()
    _read_stream_bytes(pair.server)
    received_bytes = sent_bytes = 0
    start_s = time.process_time()
    while received_bytes < _TRANSFER_BYTES:
        # Sends only a few chunks ahead, as the agent does with responses.
        if sent_bytes - received_bytes < 4 * _CHUNK_BYTES:
            pair.server.send_stream_data(stream_id, bytes(_CHUNK_BYTES))
            sent_bytes += _CHUNK_BYTES
        if not pair.exchange():
            pair.fire_timers()
        received_bytes += _read_stream_bytes(pair.client)
    return time.process_time() - start_s


def _measure() -> tuple[_framework.Figure, ...]:
    with tempfile.TemporaryDirectory() as name:
        client, server = _make_configurations(pathlib.Path(name))
        _open_pair(client, server)
        start_s = time.process_time()
        for _ in range(_HANDSHAKE_COUNT):
            _open_pair(client, server)
        handshake_ms = (time.process_time() - start_s) / _HANDSHAKE_COUNT * 1e3
        gc.collect()
        before_bytes = psutil.Process().memory_info().rss
        pairs = [
            _open_pair(client, server) for _ in range(_IDLE_CONNECTION_COUNT)
        ]
        gc.collect()
        grown_bytes = psutil.Process().memory_info().rss - before_bytes
        transfer_s = _measure_transfer_s(pairs[0])
    return (
        _framework.Figure("handshake, both ends", handshake_ms, "ms"),
        _framework.Figure(
            "idle connection, both ends",
            grown_bytes / _IDLE_CONNECTION_COUNT / 1e3,
            "KB",
        ),
        _framework.Figure(
            "transfer, both ends on one core",
            _TRANSFER_BYTES / transfer_s / 1e6,
            "MB/s",
        ),
    )


class QuicCostExperiment(_framework.Experiment):
    """Measures CPU and memory of QUIC without sockets."""

    @property
    def name(self) -> str:
        """Name on the command line."""
        return "quic-cost"

    @property
    def summary(self) -> str:
        """One-line description that `list` prints."""
        return "CPU and memory of QUIC through aioquic, both ends"

    async def run(self, seed: int) -> _framework.Result:
        """Runs the experiment once; only keys are random, and not seeded."""
        figures = await asyncio.to_thread(_measure)
        return _framework.Result(self.name, seed, figures)


EXPERIMENTS = (QuicCostExperiment(),)
