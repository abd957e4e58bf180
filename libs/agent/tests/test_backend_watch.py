"""Whether an agent notices that its backend server is gone."""

import asyncio
import socket

from fireflyford import core
from fireflyford.agent import _backend_watch


def test_a_refused_connection_is_a_loss_and_is_recovered() -> None:
    """Guards against new flows at an agent without a backend server."""
    changes: list[bool] = []

    async def run() -> None:
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            address = core.Address(*listener.getsockname())
            watch = _backend_watch.BackendWatch(core.SystemClock(), address)
            watch.on_change(changes.append)
            assert await watch.check()
        assert not await watch.check()
        with socket.socket() as listener:
            listener.bind(address.pair)
            listener.listen()
            assert await watch.check()

    asyncio.run(run())
    assert changes == [False, True]


def test_a_backend_server_that_starts_later_is_no_loss() -> None:
    """Guards against an agent that leaves the ring while it starts."""

    async def run() -> bool:
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            address = core.Address(*listener.getsockname())
        watch = _backend_watch.BackendWatch(core.SystemClock(), address)
        return await watch.check()

    assert asyncio.run(run())
