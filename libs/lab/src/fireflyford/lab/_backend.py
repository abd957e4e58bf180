"""Simulated backend server.

Usage: `fireflyford-lab backend --address IP:PORT --name NAME ...`. It executes
requests on a fixed number of slots, streams a feed, and logs each execution to
standard output for the history checker. It can start cold, shed load, drain,
fail immediately, and report load and health that lag or are wrong. A 503
response with `Retry-After` means that the request has not been started.
"""

import asyncio
import collections
import dataclasses
import json
import signal
import time

from tornado import web

from fireflyford import core
from fireflyford.lab import _datagram_backend

FEED_INTERVAL_MS = 200
_COLD_START_FACTOR = 3.0
_DRAIN_POLL_MS = 20


@dataclasses.dataclass(frozen=True)
class Behaviour:
    """Simulated behaviour of a backend server.

    Attributes:
        slot_count: Number of requests that run concurrently.
        speed: Speed relative to the nominal execution times.
        cold_count: Number of first requests that take three times as long.
        max_waiting_count: Sheds load once this many requests are waiting.
        report_lag_ms: Age of the reported load and health.
        reports_idle: Whether it always reports no load.
        reports_healthy: Whether it always reports good health.
    """

    slot_count: int = 2
    speed: float = 1.0
    cold_count: int = 0
    max_waiting_count: int = 1_000
    report_lag_ms: int = 0
    reports_idle: bool = False
    reports_healthy: bool = True


class _State:
    """Slots, tasks and faults of the backend server."""

    def __init__(self, name: str, behaviour: Behaviour) -> None:
        self.name = name
        self.behaviour = behaviour
        self.slots = asyncio.Semaphore(behaviour.slot_count)
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.running_count = 0
        self.executed_count = 0
        self.draining = False
        self.failing = False
        self._reports: collections.deque[tuple[float, int, bool]] = (
            collections.deque()
        )

    @property
    def waiting_count(self) -> int:
        return len(self.tasks) - self.running_count

    def record(self, request_id: str, path: str, body: str) -> None:
        self.executed_count += 1
        print(
            json.dumps(
                {
                    "event": "executed",
                    "backend": self.name,
                    "request_id": request_id,
                    "path": path,
                    "body": body,
                    "wall_ms": time.time_ns() // 1_000_000,
                }
            ),
            flush=True,
        )

    def reported_status(self) -> tuple[int, bool]:
        """Returns load and health as of `report_lag_ms` ago."""
        now_ms = time.monotonic() * 1000
        healthy = not (self.draining or self.failing)
        self._reports.append((now_ms, len(self.tasks), healthy))
        as_of_ms = now_ms - self.behaviour.report_lag_ms
        while len(self._reports) > 1 and self._reports[1][0] <= as_of_ms:
            self._reports.popleft()
        _, load, healthy = self._reports[0]
        return (
            0 if self.behaviour.reports_idle else load,
            healthy or self.behaviour.reports_healthy,
        )


class _WorkHandler(web.RequestHandler):
    """Executes one request on a slot."""

    def initialize(self, state: _State) -> None:
        self._state = state

    async def post(self) -> None:
        await self._answer()

    async def get(self) -> None:
        await self._answer()

    async def _answer(self) -> None:
        state = self._state
        if state.failing:
            self.set_status(500)
            return
        full = state.waiting_count >= state.behaviour.max_waiting_count
        if state.draining or full:
            self._reject()
            return
        request_id = self.request.headers.get("X-Request-Id", "")
        task = asyncio.create_task(self._run(request_id))
        state.tasks[request_id] = task
        try:
            await task
        except asyncio.CancelledError:
            self.set_status(499)
        finally:
            state.tasks.pop(request_id, None)

    def _reject(self) -> None:
        self.set_status(503)
        self.set_header("Retry-After", "0.1")

    async def _run(self, request_id: str) -> None:
        state = self._state
        limit_ms = float(self.request.headers.get("X-Deadline-Ms", "60000"))
        arrived = time.monotonic()
        async with state.slots:
            if (time.monotonic() - arrived) * 1000 >= limit_ms:
                self._reject()
                return
            body = self.request.body.decode()
            state.record(request_id, self.request.uri or "", body)
            state.running_count += 1
            try:
                await asyncio.sleep(self._duration_ms() / 1000)
            finally:
                state.running_count -= 1
        size_bytes = int(self.get_query_argument("bytes", "0"))
        self.set_header("Content-Type", "application/octet-stream")
        echo = self.request.body or (self.request.uri or "").encode()
        self.finish(echo + b"." * size_bytes)

    def _duration_ms(self) -> float:
        behaviour = self._state.behaviour
        nominal_ms = float(self.get_query_argument("ms", "5"))
        cold = self._state.executed_count <= behaviour.cold_count
        return (
            nominal_ms * (_COLD_START_FACTOR if cold else 1) / behaviour.speed
        )


class _CancelHandler(web.RequestHandler):
    """Cancels a waiting or running request."""

    def initialize(self, state: _State) -> None:
        self._state = state

    def post(self) -> None:
        task = self._state.tasks.get(self.get_query_argument("id"))
        if task is not None:
            task.cancel()
        self.finish()


class _FeedHandler(web.RequestHandler):
    """Streams events whose sequence numbers follow the wall clock.

    All backend servers of a service thus stream the same events, like
    replicas of a common data source.
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
            except Exception:  # The client has disconnected.
                return
            await asyncio.sleep(interval_ms / 1000 / 4)


def _latest_sequence(interval_ms: int) -> int:
    return time.time_ns() // 1_000_000 // interval_ms


class _LoadHandler(web.RequestHandler):
    """Reports the load, which may lag or be wrong."""

    def initialize(self, state: _State) -> None:
        self._state = state

    def get(self) -> None:
        self.finish({"running": self._state.reported_status()[0]})


class _HealthHandler(web.RequestHandler):
    """Reports the health, which may lag or be wrong."""

    def initialize(self, state: _State) -> None:
        self._state = state

    def get(self) -> None:
        healthy = self._state.reported_status()[1]
        self.set_status(200 if healthy else 503)
        self.finish("ok\n" if healthy else "not ready\n")


class _FaultHandler(web.RequestHandler):
    """Turns immediate failure of all further requests on or off."""

    def initialize(self, state: _State) -> None:
        self._state = state

    def post(self) -> None:
        self._state.failing = self.get_query_argument("failing") == "yes"
        self.finish()


def run_backend(
    address: str,
    name: str,
    slot_count: int = 2,
    speed: float = 1.0,
    cold_count: int = 0,
    max_waiting_count: int = 1_000,
    report_lag_ms: int = 0,
    reports_idle: bool = False,
    reports_healthy: bool = True,
) -> None:
    """Runs a backend server until it is stopped and has drained.

    Args:
        address: `ip:port` to listen on.
        name: Name in the execution log.
        slot_count: Number of requests that run concurrently.
        speed: Speed relative to the nominal execution times.
        cold_count: Number of first requests that take three times as long.
        max_waiting_count: Sheds load once this many requests are waiting.
        report_lag_ms: Age of the reported load and health.
        reports_idle: Whether it always reports no load.
        reports_healthy: Whether it always reports good health.
    """
    behaviour = Behaviour(
        slot_count,
        speed,
        cold_count,
        max_waiting_count,
        report_lag_ms,
        reports_idle,
        reports_healthy,
    )
    asyncio.run(_run(core.Address.parse(address), name, behaviour))


async def _run(address: core.Address, name: str, behaviour: Behaviour) -> None:
    state = _State(name, behaviour)
    options = {"state": state}
    application = web.Application(
        [
            ("/feed", _FeedHandler, options),
            ("/cancel", _CancelHandler, options),
            ("/load", _LoadHandler, options),
            ("/healthz", _HealthHandler, options),
            ("/fault", _FaultHandler, options),
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
    state.draining = True
    while state.tasks:
        await asyncio.sleep(_DRAIN_POLL_MS / 1000)
    # Lets the last responses leave before the process exits.
    await asyncio.sleep(_DRAIN_POLL_MS / 1000)
