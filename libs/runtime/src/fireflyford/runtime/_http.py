"""HTTP client for calls to IP addresses, without name resolution."""

import asyncio
import datetime
import socket
import ssl
from typing import Any

from tornado import iostream
from tornado import simple_httpclient
from tornado import tcpclient

# TCP keepalive closes a dead connection after three unanswered probes. A
# waiting watch, which sends nothing, would otherwise not detect it.
TCP_KEEPALIVE_IDLE_S = 1
TCP_KEEPALIVE_INTERVAL_S = 1
TCP_KEEPALIVE_PROBES = 3
TCP_USER_TIMEOUT_MS = 3_000
# Includes the watches on the registry and the configuration.
MAX_CONCURRENT_REQUESTS = 16
MAX_BODY_BYTES = 16 << 20


class _DirectTcpClient(tcpclient.TCPClient):
    """Connects to IP addresses without the threads of a resolver."""

    async def connect(
        self,
        host: str,
        port: int,
        af: socket.AddressFamily = socket.AF_UNSPEC,
        ssl_options: dict[str, Any] | ssl.SSLContext | None = None,
        max_buffer_size: int | None = None,
        source_ip: str | None = None,
        source_port: int | None = None,
        timeout: float | datetime.timedelta | None = None,
    ) -> iostream.IOStream:
        """Opens a connection with TCP keepalive."""
        del af, ssl_options, source_ip, source_port
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        for option, value in (
            (socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_S),
            (socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_S),
            (socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES),
            (socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
        ):
            sock.setsockopt(socket.IPPROTO_TCP, option, value)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        stream = iostream.IOStream(sock, max_buffer_size=max_buffer_size)
        timeout_s = timeout
        if isinstance(timeout, datetime.timedelta):
            timeout_s = timeout.total_seconds()
        try:
            async with asyncio.timeout(timeout_s):  # type: ignore[arg-type]
                await stream.connect((host, port))
        except BaseException:
            stream.close()
            raise
        return stream


def make_http_client() -> simple_httpclient.SimpleAsyncHTTPClient:
    """Returns a new HTTP client for the running event loop."""
    client = simple_httpclient.SimpleAsyncHTTPClient(
        force_instance=True,
        max_clients=MAX_CONCURRENT_REQUESTS,
        max_body_size=MAX_BODY_BYTES,
        max_buffer_size=MAX_BODY_BYTES,
    )
    client.tcp_client = _DirectTcpClient()
    return client
