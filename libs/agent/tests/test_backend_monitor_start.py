"""Tests of an agent that starts before its backend server."""

import asyncio

from fireflyford import core
from fireflyford.agent import _backend_monitor


async def _listen_while_monitor_waits() -> list[str]:
    events = []
    server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    address = core.Address("127.0.0.1", port)

    async def wait() -> None:
        monitor = _backend_monitor.BackendMonitor(core.SystemClock(), address)
        await monitor.wait_until_reachable()
        events.append("ready")

    task = asyncio.create_task(wait())
    await asyncio.sleep(0.15)
    events.append("listen")
    server = await asyncio.start_server(lambda *_: None, "127.0.0.1", port)
    await asyncio.wait_for(task, timeout=5)
    server.close()
    return events


def test_monitor_waits_until_backend_server_listens() -> None:
    """Guards against requests to a backend server that is still starting."""
    assert asyncio.run(_listen_while_monitor_waits()) == ["listen", "ready"]
