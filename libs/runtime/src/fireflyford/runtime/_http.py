"""HTTP client for short calls to addresses, without name lookups."""

import asyncio
import datetime
import socket
import ssl
from typing import Any

from tornado import iostream
from tornado import simple_httpclient
from tornado import tcpclient

# A connection that went silent is given up after three probes. A watch that
# waits would otherwise not notice it.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
UNACKNOWLEDGED_LIMIT_MS = 3_000
# Calls of one process at the same time; two of them are watches.
MAX_CALLS = 16
MAX_BODY_BYTES = 16 << 20


class _DirectTcpClient(tcpclient.TCPClient):
    """Connects to IP addresses without the resolver's threads."""

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
        """Opens a connection with keep-alive probes."""
        del af, ssl_options, source_ip, source_port
        handle = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        for option, value in (
            (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
            (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
            (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
            (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS),
        ):
            handle.setsockopt(socket.IPPROTO_TCP, option, value)
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        stream = iostream.IOStream(handle, max_buffer_size=max_buffer_size)
        limit_s = timeout
        if isinstance(timeout, datetime.timedelta):
            limit_s = timeout.total_seconds()
        try:
            async with asyncio.timeout(limit_s):  # type: ignore[arg-type]
                await stream.connect((host, port))
        except BaseException:
            stream.close()
            raise
        return stream


def make_http_client() -> simple_httpclient.SimpleAsyncHTTPClient:
    """Returns a client of its own for the running event loop."""
    client = simple_httpclient.SimpleAsyncHTTPClient(
        force_instance=True,
        max_clients=MAX_CALLS,
        max_body_size=MAX_BODY_BYTES,
        max_buffer_size=MAX_BODY_BYTES,
    )
    client.tcp_client = _DirectTcpClient()
    return client
