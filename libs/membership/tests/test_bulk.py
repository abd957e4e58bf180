"""Bulk transfers between instances."""

import asyncio

from fireflyford import core
from fireflyford import membership

KEY = b"k" * 16
OTHER_KEY = b"o" * 16


async def _fetch(address: core.Address, key: bytes) -> core.Outcome[bytes]:
    server = membership.BulkServer(KEY)
    server.register("echo", lambda payload: payload * 2)
    task = asyncio.create_task(server.run(address))
    try:
        return await membership.fetch(address, key, "echo", b"ab")
    finally:
        task.cancel()


def test_a_call_is_answered() -> None:
    """Guards against a lost or changed answer."""
    address = core.Address("127.0.0.1", 24_801)
    assert asyncio.run(_fetch(address, KEY)) == core.Ok(b"abab")


def test_a_foreign_key_is_refused() -> None:
    """Guards against answers to instances without the link key."""
    address = core.Address("127.0.0.1", 24_802)
    outcome = asyncio.run(_fetch(address, OTHER_KEY))
    assert isinstance(outcome, core.Failure)
    assert outcome.kind is core.ErrorKind.INSTANCE_UNREACHABLE


async def _fetch_in_time() -> None:
    address = core.Address("127.0.0.1", 24_803)
    async with asyncio.timeout(5):
        await _fetch(address, OTHER_KEY)


def test_a_server_stops_while_it_answers() -> None:
    """Guards against a cancellation lost in a transfer that completes."""
    for _ in range(10):
        asyncio.run(_fetch_in_time())
