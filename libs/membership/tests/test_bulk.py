"""Bulk transfers between instances."""

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


def test_a_call_is_answered() -> None:
    """Guards against a lost or changed answer."""
    address = _free_address()
    assert asyncio.run(_fetch(address, KEY)) == core.Ok(b"abab")


def test_a_foreign_key_is_refused() -> None:
    """Guards against answers to instances without the link key."""
    address = _free_address()
    outcome = asyncio.run(_fetch(address, OTHER_KEY))
    assert isinstance(outcome, core.Failure)
    assert outcome.kind is core.ErrorKind.INSTANCE_UNREACHABLE


def test_a_server_ends_while_it_answers() -> None:
    """Guards against a cancellation lost while an answer is sent."""

    async def body() -> None:
        for _ in range(12):
            async with asyncio.timeout(10):
                assert await _fetch(_free_address(), KEY) == core.Ok(b"abab")

    asyncio.run(body())
