"""Tests of bulk transfers between instances."""

import asyncio
import socket

from fireflyford import core
from fireflyford import membership

KEY = b"k" * 16
OTHER_KEY = b"o" * 16


def _free_address() -> core.Address:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return core.Address("127.0.0.1", probe.getsockname()[1])


async def _fetch(address: core.Address, key: bytes) -> core.Outcome[bytes]:
    server = membership.BulkServer(KEY)
    server.register("echo", lambda payload: payload * 2)
    task = asyncio.create_task(server.run(address))
    await asyncio.sleep(0)
    try:
        return await membership.fetch_bulk(address, key, "echo", b"ab")
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def test_fetch_bulk_returns_reply() -> None:
    """Guards against a lost or altered reply."""
    address = _free_address()
    assert asyncio.run(_fetch(address, KEY)) == core.Ok(b"abab")


def test_wrong_link_key_is_refused() -> None:
    """Guards against replies to instances without the link key."""
    address = _free_address()
    outcome = asyncio.run(_fetch(address, OTHER_KEY))
    assert isinstance(outcome, core.Failure)
    assert outcome.kind is core.ErrorKind.INSTANCE_UNREACHABLE


def test_server_stops_when_cancelled_during_reply() -> None:
    """Guards against a cancellation that is lost while a reply is sent."""

    async def body() -> None:
        for _ in range(12):
            async with asyncio.timeout(10):
                assert await _fetch(_free_address(), KEY) == core.Ok(b"abab")

    asyncio.run(body())
