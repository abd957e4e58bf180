"""Tests of the detection of an unreachable backend server."""

import asyncio
import socket

from fireflyford import core
from fireflyford.agent import _backend_monitor


def test_backend_server_is_down_while_connections_are_refused() -> None:
    """Guards against new flows at an agent whose backend server is down."""
    changes: list[bool] = []

    async def run() -> None:
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            address = core.Address(*listener.getsockname())
            monitor = _backend_monitor.BackendMonitor(
                core.SystemClock(), address
            )
            monitor.on_change(changes.append)
            assert await monitor.check()
        assert not await monitor.check()
        with socket.socket() as listener:
            listener.bind(address.pair)
            listener.listen()
            assert await monitor.check()

    asyncio.run(run())
    assert changes == [False, True]


def test_backend_server_is_not_reported_down_before_first_connection() -> None:
    """Guards against an agent that leaves the ring during its start."""

    async def run() -> bool:
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            address = core.Address(*listener.getsockname())
        monitor = _backend_monitor.BackendMonitor(core.SystemClock(), address)
        return await monitor.check()

    assert asyncio.run(run())
