"""Stand-in for a backend server.

Usage: `fireflyford-lab backend --address IP:PORT --name NAME ...`. It runs
work on a fixed number of slots, streams a feed, and writes each execution to
a log file that the history checker reads.
"""

import asyncio
import json
import signal
import time

from tornado import web

from fireflyford import core
from fireflyford.lab import _datagram_backend

FEED_INTERVAL_MS = 200


class _State:
    """Slots and execution log of one backend server."""

    def __init__(self, name: str, slot_count: int, speed: float) -> None:
        self.name = name
        self.slots = asyncio.Semaphore(slot_count)
        self.speed = speed
        self.running: dict[str, asyncio.Task[None]] = {}
        self.executed_count = 0

    def record(self, request_id: str, body: str) -> None:
        self.executed_count += 1
        print(
            json.dumps(
                {
                    "event": "executed",
                    "backend": self.name,
                    "request_id": request_id,
                    "body": body,
                    "wall_ms": time.time_ns() // 1_000_000,
                }
            ),
            flush=True,
        )


class _WorkHandler(web.RequestHandler):
    """Runs one request on a slot."""

    def initialize(self, state: _State) -> None:
        self._state = state

    async def post(self) -> None:
        await self._run()

    async def get(self) -> None:
        await self._run()

    async def _run(self) -> None:
        request_id = self.request.headers.get("X-Request-Id", "")
        duration_ms = float(self.get_query_argument("ms", "5"))
        size_bytes = int(self.get_query_argument("bytes", "0"))
        async with self._state.slots:
            self._state.record(request_id, self.request.body.decode())
            task = asyncio.create_task(
                asyncio.sleep(duration_ms / 1000 / self._state.speed)
            )
            self._state.running[request_id] = task
            try:
                await task
            except asyncio.CancelledError:
                self.set_status(499)
                return
            finally:
                del self._state.running[request_id]
        self.set_header("Content-Type", "application/octet-stream")
        echo = self.request.body or self.request.uri.encode()
        self.finish(echo + b"." * size_bytes)


class _CancelHandler(web.RequestHandler):
    """Cancels running work."""

    def initialize(self, state: _State) -> None:
        self._state = state

    def post(self) -> None:
        task = self._state.running.get(self.get_query_argument("id"))
        if task is not None:
            task.cancel()
        self.finish()


class _FeedHandler(web.RequestHandler):
    """Streams events; the sequence follows the time of day.

    All backend servers of a service thus serve the same events, as replicas
    of one price board do.
    """

    def initialize(self, state: _State) -> None:
        self._state = state
        self._open = True

    def on_connection_close(self) -> None:
        self._open = False

    async def get(self) -> None:
        sequence = int(self.get_query_argument("after", "0"))
        interval_ms = int(
            self.get_query_argument("interval_ms", str(FEED_INTERVAL_MS))
        )
        if sequence == 0:
            sequence = _latest_sequence(interval_ms)
        while self._open:
            while sequence < _latest_sequence(interval_ms):
                sequence += 1
                event = {"sequence": sequence, "value": f"price-{sequence}"}
                self.write(json.dumps(event) + "\n")
            try:
                await self.flush()
            except Exception:  # The reader has gone.
                return
            await asyncio.sleep(interval_ms / 1000 / 4)


def _latest_sequence(interval_ms: int) -> int:
    return time.time_ns() // 1_000_000 // interval_ms


class _LoadHandler(web.RequestHandler):
    """Reports load, which may lag or be wrong."""

    def initialize(self, state: _State) -> None:
        self._state = state

    def get(self) -> None:
        self.finish({"running": len(self._state.running)})


class _HealthHandler(web.RequestHandler):
    """Reports health."""

    def get(self) -> None:
        self.finish("ok\n")


def run_backend(
    address: str, name: str, slot_count: int = 2, speed: float = 1.0
) -> None:
    """Runs a backend server until it is stopped.

    Args:
        address: `ip:port` to listen on.
        name: Name in the execution log.
        slot_count: Requests that run at a time.
        speed: Speed against the nominal durations.
    """
    asyncio.run(_run(core.Address.parse(address), name, slot_count, speed))


async def _run(
    address: core.Address, name: str, slot_count: int, speed: float
) -> None:
    state = _State(name, slot_count, speed)
    options = {"state": state}
    application = web.Application(
        [
            ("/feed", _FeedHandler, options),
            ("/cancel", _CancelHandler, options),
            ("/load", _LoadHandler, options),
            ("/healthz", _HealthHandler),
            ("/.*", _WorkHandler, options),
        ],
        log_function=lambda handler: None,
    )
    application.listen(address.port, address.host)
    await _datagram_backend.open_echo(address, name)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    await stopping.wait()
