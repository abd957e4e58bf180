"""Stand-in of the platform's metadata store, with faults on demand."""

import asyncio
import base64
from collections.abc import Callable
import dataclasses
import json
import time
from typing import Any

from tornado import httpserver
from tornado import web

from fireflyford import core

# Revisions start above 0.
FIRST_REVISION = 100
_EXPIRY_INTERVAL_S = 0.05
_WATCH_POLL_S = 0.01


@dataclasses.dataclass(frozen=True)
class Item:
    """One key as it was last written."""

    key: str
    value: bytes
    revision: int
    create_revision: int
    lease: int

    def document(self) -> dict[str, Any]:
        """Returns the item as the store sends it."""
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "create_revision": self.create_revision,
            "lease": self.lease,
        }


class StoreState:
    """Items, leases and history of the store.

    Attributes:
        refusal_status: Status with which every call is refused, 0 for none.
        unanswered_write_count: Writes that are done and not answered.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.revision = FIRST_REVISION
        self.items: dict[str, Item] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.events: list[dict[str, Any]] = []
        self.first_event_revision = FIRST_REVISION
        self.refusal_status = 0
        self.unanswered_write_count = 0
        self.calls: list[str] = []

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Writes a key."""
        self.revision += 1
        known = self.items.get(key)
        created = known.create_revision if known else self.revision
        item = Item(key, value, self.revision, created, lease)
        self.items[key] = item
        self.events.append(item.document())

    def delete(self, key: str) -> None:
        """Deletes a key."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        event = {"key": key, "revision": self.revision, "deleted": True}
        self.events.append(event)

    def compact_history(self) -> None:
        """Drops all events, so that watches have to read again."""
        self.events.clear()
        self.first_event_revision = self.revision

    def expire(self) -> None:
        """Ends the leases that were not renewed."""
        now_s = time.monotonic()
        for lease, (_, end_s) in tuple(self.leases.items()):
            if end_s <= now_s:
                self.end_lease(lease)

    def end_lease(self, lease: int) -> bool:
        """Ends a lease with its keys; returns whether it existed."""
        if self.leases.pop(lease, None) is None:
            return False
        for key, item in tuple(self.items.items()):
            if item.lease == lease:
                self.delete(key)
        return True


class _Call(web.RequestHandler):
    def initialize(self, state: StoreState) -> None:
        self.state = state

    def prepare(self) -> None:
        """Counts the call and refuses it if told to."""
        self.state.calls.append(f"{self.request.method} {self.request.path}")
        if self.state.refusal_status:
            self.send_error(self.state.refusal_status)

    def answer(self, document: dict[str, Any], status: int = 200) -> None:
        """Sends a document."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(document))


class _Range(_Call):
    def get(self) -> None:
        """Answers with the items under a prefix, two a page."""
        prefix = self.get_query_argument("prefix")
        after = self.get_query_argument("after", "")
        found = [
            item
            for key, item in sorted(self.state.items.items())
            if key.startswith(prefix) and key > after
        ]
        page = found[:2]
        self.answer(
            {
                "items": [item.document() for item in page],
                "truncated": len(found) > len(page),
                "as_of": self.state.revision,
            }
        )


class _Watch(_Call):
    async def get(self) -> None:
        """Waits for events."""
        prefix = self.get_query_argument("prefix")
        after = int(self.get_query_argument("after"))
        wait_s = int(self.get_query_argument("wait_ms")) / 1_000
        end_s = time.monotonic() + wait_s
        while True:
            if after < self.state.first_event_revision - 1:
                self.send_error(410)
                return
            events = [
                event
                for event in self.state.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            if events or time.monotonic() >= end_s:
                break
            await asyncio.sleep(_WATCH_POLL_S)
        self.answer({"events": events, "as_of": self.state.revision})


class _Transaction(_Call):
    def post(self) -> None:
        """Writes everything if the expectations hold."""
        body = json.loads(self.request.body)
        state = self.state
        current = [state.items.get(row["key"]) for row in body["expect"]]
        for row, item in zip(body["expect"], current, strict=True):
            if row["revision"] != (item.revision if item else 0):
                items = [item.document() for item in current if item]
                self.answer({"items": items}, 412)
                return
        for write in body["writes"]:
            if write["lease"] and write["lease"] not in state.leases:
                self.send_error(404)
                return
        for write in body["writes"]:
            value = base64.b64decode(write["value"])
            state.put(write["key"], value, write["lease"])
        for key in body["remove"]:
            state.delete(key)
        if state.unanswered_write_count:
            state.unanswered_write_count -= 1
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        self.answer({"revision": state.revision})


class _Grant(_Call):
    def post(self) -> None:
        """Grants a lease."""
        ttl_ms = json.loads(self.request.body)["ttl_ms"]
        lease = len(self.state.leases) + self.state.revision * 1_000
        ttl_s = ttl_ms / 1_000
        self.state.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        self.answer({"lease": lease, "ttl_ms": ttl_ms})


class _Keep(_Call):
    def post(self, lease: str) -> None:
        """Renews a lease."""
        known = self.state.leases.get(int(lease))
        if known is None:
            self.send_error(404)
            return
        ttl_s, _ = known
        self.state.leases[int(lease)] = (ttl_s, time.monotonic() + ttl_s)
        self.answer({"ttl_ms": int(ttl_s * 1_000)})


class _End(_Call):
    def delete(self, lease: str) -> None:
        """Ends a lease."""
        if not self.state.end_lease(int(lease)):
            self.send_error(404)
            return
        self.answer({})


class PlatformStoreServer:
    """The stand-in as a server on a loopback address."""

    def __init__(self, address: core.Address) -> None:
        """Prepares the server."""
        self.address = address
        self.state = StoreState()
        self._server: httpserver.HTTPServer | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Listens."""
        arguments = {"state": self.state}
        rules: list[Any] = [
            ("/kv-range", _Range, arguments),
            ("/kv-watch", _Watch, arguments),
            ("/kv-txn", _Transaction, arguments),
            ("/kv-lease", _Grant, arguments),
            (r"/kv-keep/(\d+)", _Keep, arguments),
            (r"/kv-lease-end/(\d+)", _End, arguments),
        ]
        application = web.Application(rules, log_function=lambda _: None)
        self._server = application.listen(self.address.port, self.address.host)
        self._task = asyncio.create_task(self._expire())

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_INTERVAL_S)
            self.state.expire()

    def stop(self) -> None:
        """Ends the server."""
        if self._server is not None:
            self._server.stop()
        if self._task is not None:
            self._task.cancel()


async def wait_until(
    condition: Callable[[], bool], limit_ms: int = 5_000
) -> bool:
    """Waits for a condition; returns whether it came true in time."""
    end_s = time.monotonic() + limit_ms / 1_000
    while not condition():
        if time.monotonic() >= end_s:
            return False
        await asyncio.sleep(_WATCH_POLL_S)
    return True
