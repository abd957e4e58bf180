"""Callers in a separate process that keep feeds open and send requests.

Usage: `fireflyford-lab callers --address IP:PORT --service NAME ...`. It
prints `ready` once all feeds deliver events or their opening times out, and
its statistics as one JSON object when its standard input closes.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
import signal
import sys
import time
from typing import Any

import msgspec

from fireflyford import caller
from fireflyford import config
from fireflyford import core
from fireflyford.lab import _fleet

# Limits the load of handshakes: 60 flows a second take about a quarter of a
# core.
OPEN_FLOWS_PER_SECOND = 60
_MAX_CONCURRENT_OPENINGS = 20
# Feeds that deliver no event within this time do not count as open.
_OPEN_TIMEOUT_S = 40.0
_ORDER_PAUSE_MS = 100
_SHEET_PAUSE_MS = 300
_RECONNECT_PAUSE_MS = 100
_SHEET_BYTES = 200_000
_STOP_TIMEOUT_MS = 6_000


@dataclasses.dataclass(frozen=True)
class CallerLoad:
    """Load that the callers of one process generate.

    Attributes:
        feed_count: Feeds, each on its own connection.
        order_count: Tasks that send orders sequentially.
        sheet_count: Tasks that request large sheets sequentially.
        feed_interval_ms: Time between two events of a feed.
    """

    feed_count: int = 0
    order_count: int = 0
    sheet_count: int = 0
    feed_interval_ms: int = 1_000


@dataclasses.dataclass(frozen=True)
class CallerStatistics:
    """Statistics of the callers, as a user of the client library sees them.

    Attributes:
        feeds: Feeds that have delivered events.
        events: Events of all feeds.
        moved: Times that a feed moved to another connection.
        broken: Times that the connection of a feed broke.
        gaps: Gaps in the sequence numbers of feeds.
        duplicates: Events that do not follow the previous sequence number.
        longest_silence_ms: Longest time without an event on a feed.
        refused_feeds: Feeds that were refused.
        complete: Requests with a complete response.
        refused: Requests that failed as not run.
        unknown: Requests with an unknown outcome.
        wrong: Complete responses with a wrong body.
        connections: Connections opened for requests.
        refused_bodies: Order bodies and sheet paths of the refused requests.
        order_ms: Response times of orders.
        sheet_ms: Response times of sheets.
        event_ms: Delays from the creation of events to their arrival.
    """

    feeds: int = 0
    events: int = 0
    moved: int = 0
    broken: int = 0
    gaps: int = 0
    duplicates: int = 0
    longest_silence_ms: float = 0.0
    refused_feeds: int = 0
    complete: int = 0
    refused: int = 0
    unknown: int = 0
    wrong: int = 0
    connections: int = 0
    refused_bodies: tuple[str, ...] = ()
    order_ms: tuple[float, ...] = ()
    sheet_ms: tuple[float, ...] = ()
    event_ms: tuple[float, ...] = ()


def merge_statistics(parts: list[CallerStatistics]) -> CallerStatistics:
    """Returns the combined statistics of several processes."""
    sums: dict[str, Any] = {}
    for field in dataclasses.fields(CallerStatistics):
        values = [getattr(part, field.name) for part in parts]
        if field.name == "longest_silence_ms":
            sums[field.name] = max(values, default=0.0)
        elif isinstance(field.default, tuple):
            sums[field.name] = tuple(item for value in values for item in value)
        else:
            sums[field.name] = sum(values)
    return CallerStatistics(**sums)


class _FeedMonitor:
    """Checks the events of one feed as its user receives them."""

    def __init__(self) -> None:
        self.statistics = caller.FeedStatistics()
        self.gap_count = 0
        self.duplicate_count = 0
        self.refused = False
        self.started = asyncio.Event()
        self.longest_silence_s = 0.0
        self.event_ms: list[float] = []
        self._initial_counts = (0, 0)
        self._last_sequence = 0
        self._last_event_s = 0.0

    def record_event(self, event: caller.FeedEvent, interval_ms: int) -> None:
        now_s = time.monotonic()
        if self._last_sequence:
            self.gap_count += event.sequence > self._last_sequence + 1
            self.duplicate_count += event.sequence <= self._last_sequence
            self.record_silence(now_s)
            created_ms = event.sequence * interval_ms
            self.event_ms.append(time.time() * 1000 - created_ms)
        self._last_sequence = event.sequence
        self._last_event_s = now_s
        self.started.set()

    def start_measurement(self) -> None:
        """Discards what was measured while the flows were being opened."""
        self._initial_counts = (
            self.statistics.moved_count,
            self.statistics.broken_count,
        )
        self.longest_silence_s = 0.0
        self.event_ms.clear()

    @property
    def moved_count(self) -> int:
        return self.statistics.moved_count - self._initial_counts[0]

    @property
    def broken_count(self) -> int:
        return self.statistics.broken_count - self._initial_counts[1]

    def record_silence(self, now_s: float) -> None:
        if self._last_sequence:
            silence_s = now_s - self._last_event_s
            self.longest_silence_s = max(self.longest_silence_s, silence_s)


class CallerGroup:
    """Caller tasks of one service."""

    def __init__(
        self, client: caller.Client, load: CallerLoad, name: str
    ) -> None:
        """Prepares the callers.

        Args:
            client: Client of the service.
            load: Load to generate.
            name: Prefix of order bodies, unique in the run.
        """
        self._client = client
        self._load = load
        self._name = name
        self._feeds = [_FeedMonitor() for _ in range(load.feed_count)]
        self._counts: dict[str, Any] = {
            "complete": 0,
            "refused": 0,
            "unknown": 0,
            "wrong": 0,
        }
        self._order_ms: list[float] = []
        self._sheet_ms: list[float] = []
        self._refused_bodies: list[str] = []
        self._sessions: list[caller.Session] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = False

    async def open(self) -> None:
        """Opens feeds at a limited rate, then starts to send requests."""
        opening_slots = asyncio.Semaphore(_MAX_CONCURRENT_OPENINGS)
        try:
            async with (
                asyncio.timeout(_OPEN_TIMEOUT_S),
                asyncio.TaskGroup() as group,
            ):
                for monitor in self._feeds:
                    await opening_slots.acquire()
                    self._start(self._follow_feed(monitor))
                    group.create_task(
                        _release_when_started(opening_slots, monitor)
                    )
                    await asyncio.sleep(1 / OPEN_FLOWS_PER_SECOND)
        except TimeoutError:
            print("opening feeds timed out", file=sys.stderr)
        for monitor in self._feeds:
            monitor.start_measurement()
        for index in range(self._load.order_count):
            self._start(
                self._send_repeatedly(self._send_order, index, _ORDER_PAUSE_MS)
            )
        for index in range(self._load.sheet_count):
            self._start(
                self._send_repeatedly(
                    self._request_sheet, index, _SHEET_PAUSE_MS
                )
            )

    async def stop(self) -> CallerStatistics:
        """Waits for requests in flight and returns the statistics."""
        self._stopping = True
        now_s = time.monotonic()
        for monitor in self._feeds:
            monitor.record_silence(now_s)
        request_count = self._load.order_count + self._load.sheet_count
        first_request_task = len(self._tasks) - request_count
        request_tasks = self._tasks[first_request_task:]
        statistics = self._count_feeds()
        if request_tasks:
            await asyncio.wait(request_tasks, timeout=_STOP_TIMEOUT_MS / 1000)
        return dataclasses.replace(
            statistics,
            connections=sum(item.opened_count for item in self._sessions),
            refused_bodies=tuple(self._refused_bodies),
            order_ms=tuple(self._order_ms),
            sheet_ms=tuple(self._sheet_ms),
            **self._counts,
        )

    def cancel(self) -> None:
        """Cancels all tasks without waiting for them."""
        for task in self._tasks:
            task.cancel()

    async def close(self) -> None:
        """Closes all connections; takes seconds if there are many."""
        self.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for session in self._sessions:
            await session.close()

    def _count_feeds(self) -> CallerStatistics:
        feeds = [item for item in self._feeds if item.started.is_set()]
        return CallerStatistics(
            feeds=len(feeds),
            events=sum(item.statistics.event_count for item in feeds),
            moved=sum(item.moved_count for item in feeds),
            broken=sum(item.broken_count for item in feeds),
            gaps=sum(item.gap_count for item in feeds),
            duplicates=sum(item.duplicate_count for item in feeds),
            longest_silence_ms=max(
                (item.longest_silence_s * 1000 for item in feeds), default=0.0
            ),
            refused_feeds=sum(item.refused for item in feeds),
            event_ms=tuple(value for item in feeds for value in item.event_ms),
        )

    def _start(self, work: Coroutine[None, None, None]) -> None:
        self._tasks.append(asyncio.create_task(work))

    async def _follow_feed(self, monitor: _FeedMonitor) -> None:
        interval_ms = self._load.feed_interval_ms
        path = f"/feed?interval_ms={interval_ms}"
        try:
            async for event in self._client.feed(
                path, statistics=monitor.statistics
            ):
                monitor.record_event(event, interval_ms)
        except caller.FeedRefusedError:
            monitor.refused = True

    async def _send_repeatedly(
        self,
        send: Callable[[caller.Connection, str], Awaitable[None]],
        index: int,
        pause_ms: int,
    ) -> None:
        session = caller.Session(self._client.connect)
        self._sessions.append(session)
        number = 0
        while not self._stopping:
            number += 1
            try:
                connection = await session.connection()
            except ConnectionError:
                # No request was sent, so none is counted.
                await asyncio.sleep(_RECONNECT_PAUSE_MS / 1000)
                continue
            await send(connection, f"{self._name}-{index}-{number}")
            await asyncio.sleep(pause_ms / 1000)

    async def _send_order(
        self, connection: caller.Connection, body: str
    ) -> None:
        start_s = time.monotonic()
        outcome = await self._client.request(
            connection, "POST", "/orders?ms=10", body.encode()
        )
        self._order_ms.append((time.monotonic() - start_s) * 1000)
        self._record_outcome(outcome, body.encode(), body)

    async def _request_sheet(
        self, connection: caller.Connection, name: str
    ) -> None:
        path = f"/sheets/{name}?ms=50&bytes={_SHEET_BYTES}"
        start_s = time.monotonic()
        outcome = await self._client.request(
            connection, "GET", path, deadline_ms=20_000
        )
        self._sheet_ms.append((time.monotonic() - start_s) * 1000)
        self._record_outcome(outcome, path.encode() + b"." * _SHEET_BYTES, path)

    def _record_outcome(
        self, outcome: core.Outcome[caller.Response], expected: bytes, name: str
    ) -> None:
        if isinstance(outcome, core.Ok):
            self._counts["complete"] += 1
            self._counts["wrong"] += outcome.value.body != expected
        elif outcome.spec.execution is core.Execution.NOT_RUN:
            self._counts["refused"] += 1
            self._refused_bodies.append(name)
        else:
            self._counts["unknown"] += 1


def make_client(fleet: _fleet.Fleet, service: config.Service) -> caller.Client:
    """Returns a client of a service of a running fleet."""
    return caller.Client(
        core.Address.parse(service.address),
        service.name,
        fleet.authorities_path(service.name),
    )


async def _release_when_started(
    opening_slots: asyncio.Semaphore, monitor: _FeedMonitor
) -> None:
    await monitor.started.wait()
    opening_slots.release()


def run_callers(
    address: str,
    service: str,
    authorities: str,
    name: str,
    feeds: int = 0,
    orders: int = 0,
    sheets: int = 0,
    feed_interval_ms: int = 1_000,
) -> None:
    """Runs callers until standard input closes.

    Args:
        address: Service address as `ip:port`.
        service: Name of the service.
        authorities: PEM file with the authorities to trust.
        name: Prefix of order bodies, unique in the run.
        feeds: Feeds to keep open.
        orders: Tasks that send orders.
        sheets: Tasks that request large sheets.
        feed_interval_ms: Time between two events of a feed.
    """
    client = caller.Client(core.Address.parse(address), service, authorities)
    load = CallerLoad(feeds, orders, sheets, feed_interval_ms)
    asyncio.run(_run(CallerGroup(client, load, name)))


async def _run(callers: CallerGroup) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    # Standard input closes whenever the parent process exits, so this process
    # does not outlive it.
    loop.add_reader(sys.stdin, stopping.set)
    opening = asyncio.create_task(callers.open())
    ending = asyncio.create_task(stopping.wait())
    await asyncio.wait([opening, ending], return_when=asyncio.FIRST_COMPLETED)
    if opening.done():
        print("ready", flush=True)
    await ending
    opening.cancel()
    statistics = await callers.stop()
    print(msgspec.json.encode(statistics).decode(), flush=True)
    await callers.close()
