"""Callers in a process of their own: open feeds and a load of requests.

Usage: `fireflyford-lab callers --address IP:PORT --service NAME ...`. It
prints `ready` when all feeds deliver, and its figures as one JSON object when
its standard input closes.
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

# Opening 60 flows a second takes about a quarter of a core here.
OPEN_FLOWS_PER_SECOND = 60
_MAX_OPENING = 20
# Feeds that do not deliver by then are not counted as open.
_OPEN_LIMIT_S = 40.0
_ORDER_PAUSE_MS = 100
_SHEET_PAUSE_MS = 300
_RECONNECT_PAUSE_MS = 100
_SHEET_BYTES = 200_000
_STOP_LIMIT_MS = 6_000


@dataclasses.dataclass(frozen=True)
class CallerLoad:
    """What the callers of one process do.

    Attributes:
        feed_count: Feeds, each on a connection of its own.
        order_count: Tasks that send orders one after another.
        sheet_count: Tasks that ask for heavy sheets one after another.
        feed_interval_ms: Time between two events of a feed.
    """

    feed_count: int = 0
    order_count: int = 0
    sheet_count: int = 0
    feed_interval_ms: int = 1_000


@dataclasses.dataclass(frozen=True)
class CallerStatistics:
    """What the callers saw, as the user of the library sees it."""

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
    """Returns the figures of several processes together."""
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


class _FeedWatch:
    """Checks one feed as its user sees it."""

    def __init__(self) -> None:
        self.report = caller.FeedStatistics()
        self.gap_count = 0
        self.duplicate_count = 0
        self.refused = False
        self.started = asyncio.Event()
        self.longest_silence_s = 0.0
        self.event_ms: list[float] = []
        self._before = (0, 0)
        self._last = 0
        self._heard_s = 0.0

    def see(self, event: caller.FeedEvent, interval_ms: int) -> None:
        now_s = time.monotonic()
        if self._last:
            self.gap_count += event.sequence > self._last + 1
            self.duplicate_count += event.sequence <= self._last
            self.end(now_s)
            made_ms = event.sequence * interval_ms
            self.event_ms.append(time.time() * 1000 - made_ms)
        self._last = event.sequence
        self._heard_s = now_s
        self.started.set()

    def count_from_now(self) -> None:
        """Leaves out what happened while the flows were being opened."""
        self._before = (
            self.report.moved_count,
            self.report.broken_count,
        )
        self.longest_silence_s = 0.0
        self.event_ms.clear()

    @property
    def moved_count(self) -> int:
        return self.report.moved_count - self._before[0]

    @property
    def broken_count(self) -> int:
        return self.report.broken_count - self._before[1]

    def end(self, now_s: float) -> None:
        if self._last:
            silence_s = now_s - self._heard_s
            self.longest_silence_s = max(self.longest_silence_s, silence_s)


class CallerGroup:
    """Tasks of the callers of one service."""

    def __init__(
        self, client: caller.Client, load: CallerLoad, name: str
    ) -> None:
        """Prepares the callers.

        Args:
            client: Client of the service.
            load: What they do.
            name: Prefix of order bodies, unique in the run.
        """
        self._client = client
        self._load = load
        self._name = name
        self._feeds = [_FeedWatch() for _ in range(load.feed_count)]
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
        """Opens everything at a limited rate and waits until it runs."""
        places = asyncio.Semaphore(_MAX_OPENING)
        try:
            async with (
                asyncio.timeout(_OPEN_LIMIT_S),
                asyncio.TaskGroup() as group,
            ):
                for watch in self._feeds:
                    await places.acquire()
                    self._start(self._follow(watch))
                    group.create_task(_release(places, watch))
                    await asyncio.sleep(1 / OPEN_FLOWS_PER_SECOND)
        except TimeoutError:
            print("not all feeds are open", file=sys.stderr)
        for watch in self._feeds:
            watch.count_from_now()
        for index in range(self._load.order_count):
            self._start(self._send(self._order, index, _ORDER_PAUSE_MS))
        for index in range(self._load.sheet_count):
            self._start(self._send(self._sheet, index, _SHEET_PAUSE_MS))

    async def stop(self) -> CallerStatistics:
        """Lets requests in flight finish, and counts."""
        self._stopping = True
        now_s = time.monotonic()
        for watch in self._feeds:
            watch.end(now_s)
        request_count = self._load.order_count + self._load.sheet_count
        split = len(self._tasks) - request_count
        others = self._tasks[split:]
        figures = self._count_feeds()
        if others:
            await asyncio.wait(others, timeout=_STOP_LIMIT_MS / 1000)
        return dataclasses.replace(
            figures,
            connections=sum(item.opened_count for item in self._sessions),
            refused_bodies=tuple(self._refused_bodies),
            order_ms=tuple(self._order_ms),
            sheet_ms=tuple(self._sheet_ms),
            **self._counts,
        )

    def cancel(self) -> None:
        """Ends everything without waiting."""
        for task in self._tasks:
            task.cancel()

    async def close(self) -> None:
        """Closes everything; takes seconds with many connections."""
        self.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for session in self._sessions:
            await session.close()

    def _count_feeds(self) -> CallerStatistics:
        feeds = [item for item in self._feeds if item.started.is_set()]
        return CallerStatistics(
            feeds=len(feeds),
            events=sum(item.report.event_count for item in feeds),
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

    async def _follow(self, watch: _FeedWatch) -> None:
        interval_ms = self._load.feed_interval_ms
        path = f"/feed?interval_ms={interval_ms}"
        try:
            async for event in self._client.feed(path, statistics=watch.report):
                watch.see(event, interval_ms)
        except caller.FeedRefusedError:
            watch.refused = True

    async def _send(
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
                # Nothing has been sent, so nothing is counted.
                await asyncio.sleep(_RECONNECT_PAUSE_MS / 1000)
                continue
            await send(connection, f"{self._name}-{index}-{number}")
            await asyncio.sleep(pause_ms / 1000)

    async def _order(self, connection: caller.Connection, body: str) -> None:
        start_s = time.monotonic()
        outcome = await self._client.request(
            connection, "POST", "/orders?ms=10", body.encode()
        )
        self._order_ms.append((time.monotonic() - start_s) * 1000)
        self._judge(outcome, body.encode(), body)

    async def _sheet(self, connection: caller.Connection, name: str) -> None:
        path = f"/sheets/{name}?ms=50&bytes={_SHEET_BYTES}"
        start_s = time.monotonic()
        outcome = await self._client.request(
            connection, "GET", path, deadline_ms=20_000
        )
        self._sheet_ms.append((time.monotonic() - start_s) * 1000)
        self._judge(outcome, path.encode() + b"." * _SHEET_BYTES, path)

    def _judge(
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


async def _release(places: asyncio.Semaphore, watch: _FeedWatch) -> None:
    await watch.started.wait()
    places.release()


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
        sheets: Tasks that ask for heavy sheets.
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
    # Ends with the process that started this one, however that ends.
    loop.add_reader(sys.stdin, stopping.set)
    opening = asyncio.create_task(callers.open())
    ending = asyncio.create_task(stopping.wait())
    await asyncio.wait([opening, ending], return_when=asyncio.FIRST_COMPLETED)
    if opening.done():
        print("ready", flush=True)
    await ending
    opening.cancel()
    figures = await callers.stop()
    print(msgspec.json.encode(figures).decode(), flush=True)
    await callers.close()
