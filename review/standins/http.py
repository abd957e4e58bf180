"""A minimal HTTP/1.1 server and client for JSON bodies."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
from typing import Any
import urllib.parse

# Method, path, query and body; returns status and body.
Handler = Callable[[str, str, dict[str, str], Any], Awaitable[tuple[int, Any]]]


async def serve(host: str, port: int, handle: Handler) -> asyncio.Server:
    """Serves HTTP; each connection carries one request."""

    async def on_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await answer(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.split("\r\n")
        method, target, _ = first.split(" ")
        length = 0
        for line in lines:
            name, _, value = line.partition(":")
            if name.lower() == "content-length":
                length = int(value)
        content = await reader.readexactly(length)
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        body = json.loads(content) if content else None
        status, reply = await handle(method, parts.path, query, body)
        encoded = json.dumps(reply).encode()
        writer.write(
            f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(encoded)}\r\n"
            "Connection: close\r\n\r\n".encode()
            + encoded
        )
        await writer.drain()

    return await asyncio.start_server(on_connection, host, port)


async def call(
    host: str,
    port: int,
    method: str,
    path: str,
    body: Any = None,
    limit_s: float = 1.0,
) -> int:
    """Returns the status of a call, 0 if it was not answered in time."""
    content = b"" if body is None else json.dumps(body).encode()
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {host}:{port}\r\n"
                "Content-Type: application/json\r\nConnection: close\r\n"
                f"Content-Length: {len(content)}\r\n\r\n".encode()
                + content
            )
            head = await reader.readuntil(b"\r\n")
            return int(head.split()[1])
    except (
        OSError,
        TimeoutError,
        asyncio.IncompleteReadError,
        IndexError,
        ValueError,
    ):
        return 0
    finally:
        if writer is not None:
            writer.close()
