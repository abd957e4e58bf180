"""Stand-in for the platform's metadata store, with fault injection."""

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

# Revision of the empty store; above 0, since revision 0 means "no such key".
FIRST_REVISION = 100
_EXPIRY_INTERVAL_S = 0.05
_WATCH_POLL_S = 0.01


@dataclasses.dataclass(frozen=True)
class Item:
    """Stored value of one key with its revisions and lease."""

    key: str
    value: bytes
    revision: int
    create_revision: int
    lease: int

    def document(self) -> dict[str, Any]:
        """Returns the item in the format of the store's responses."""
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "create_revision": self.create_revision,
            "lease": self.lease,
        }


@dataclasses.dataclass(frozen=True)
class Copy:
    """State of the store at one time, from which it can be restored."""

    revision: int
    items: dict[str, Item]
    leases: dict[int, tuple[float, float]]
    events: tuple[dict[str, Any], ...]
    first_event_revision: int


class StoreState:
    """Items, leases and event history of the store.

    Attributes:
        refusal_status: HTTP status with which every call is refused, 0 for
            none.
        unanswered_write_count: Number of next writes that are applied but get
            no response.
        page_size: Number of items in a page of a read; small, so that reads of
            a few items test the paging.
        era: Rises by one with each restore.
        sends_era: Whether answers carry the era.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.page_size = 2
        self.era = 1
        self.sends_era = True
        self.revision = FIRST_REVISION
        self.items: dict[str, Item] = {}
        # Duration and expiry time of each lease, in s.
        self.leases: dict[int, tuple[float, float]] = {}
        self.events: list[dict[str, Any]] = []
        self.first_event_revision = FIRST_REVISION
        self.refusal_status = 0
        self.unanswered_write_count = 0
        self.calls: list[str] = []

    def save_copy(self) -> Copy:
        """Returns a copy for `restore`."""
        return Copy(
            self.revision,
            dict(self.items),
            dict(self.leases),
            tuple(self.events),
            self.first_event_revision,
        )

    def restore(self, copy: Copy) -> None:
        """Goes back to a copy: later writes and leases are gone.

        Revisions and identifiers of leases are issued again.
        """
        self.revision = copy.revision
        self.items = dict(copy.items)
        self.leases = dict(copy.leases)
        self.events = list(copy.events)
        self.first_event_revision = copy.first_event_revision
        self.era += 1

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Writes a key."""
        self.revision += 1
        existing = self.items.get(key)
        created = existing.create_revision if existing else self.revision
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
        """Drops all events, so that watches have to read all items again."""
        self.events.clear()
        self.first_event_revision = self.revision

    def end_expired_leases(self) -> None:
        """Ends the leases that were not renewed in time."""
        now_s = time.monotonic()
        for lease, (_, end_s) in tuple(self.leases.items()):
            if end_s <= now_s:
                self.end_lease(lease)

    def end_lease(self, lease: int) -> bool:
        """Ends a lease, deletes its keys and returns whether it existed."""
        if self.leases.pop(lease, None) is None:
            return False
        for key, item in tuple(self.items.items()):
            if item.lease == lease:
                self.delete(key)
        return True


class _StoreHandler(web.RequestHandler):
    def initialize(self, state: StoreState) -> None:
        self.state = state

    def set_default_headers(self) -> None:
        """Adds the present era; also called for an error."""
        state: StoreState = self.settings["state"]
        if state.sends_era:
            self.set_header("Store-Era", str(state.era))

    def prepare(self) -> None:
        """Records the call and refuses it if that fault is set."""
        self.state.calls.append(f"{self.request.method} {self.request.path}")
        if self.state.refusal_status:
            self.send_error(self.state.refusal_status)

    def send_document(
        self, document: dict[str, Any], status: int = 200
    ) -> None:
        """Sends a JSON document as the response."""
        self.set_status(status)
        # The era may have risen while a watch waited.
        self.set_default_headers()
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(document))


class _RangeHandler(_StoreHandler):
    def get(self) -> None:
        """Returns the items under a prefix, in pages."""
        prefix = self.get_query_argument("prefix")
        after = self.get_query_argument("after", "")
        found = [
            item
            for key, item in sorted(self.state.items.items())
            if key.startswith(prefix) and key > after
        ]
        page = found[: self.state.page_size]
        self.send_document(
            {
                "items": [item.document() for item in page],
                "truncated": len(found) > len(page),
                "as_of": self.state.revision,
            }
        )


class _WatchHandler(_StoreHandler):
    async def get(self) -> None:
        """Waits for events under a prefix, up to the given time."""
        prefix = self.get_query_argument("prefix")
        after = int(self.get_query_argument("after"))
        wait_s = int(self.get_query_argument("wait_ms")) / 1_000
        end_s = time.monotonic() + wait_s
        while True:
            oldest = self.state.first_event_revision - 1
            if not oldest <= after <= self.state.revision:
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
        self.send_document({"events": events, "as_of": self.state.revision})


class _TransactionHandler(_StoreHandler):
    def post(self) -> None:
        """Applies all writes if all expected revisions match."""
        body = json.loads(self.request.body)
        state = self.state
        current = [state.items.get(row["key"]) for row in body["expect"]]
        for row, item in zip(body["expect"], current, strict=True):
            if row["revision"] != (item.revision if item else 0):
                items = [item.document() for item in current if item]
                self.send_document({"items": items}, 412)
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
        self.send_document({"revision": state.revision})


class _GrantHandler(_StoreHandler):
    def post(self) -> None:
        """Grants a lease."""
        ttl_ms = json.loads(self.request.body)["ttl_ms"]
        lease = len(self.state.leases) + self.state.revision * 1_000
        ttl_s = ttl_ms / 1_000
        self.state.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        self.send_document({"lease": lease, "ttl_ms": ttl_ms})


class _RenewHandler(_StoreHandler):
    def post(self, lease: str) -> None:
        """Renews a lease."""
        existing = self.state.leases.get(int(lease))
        if existing is None:
            self.send_error(404)
            return
        ttl_s, _ = existing
        self.state.leases[int(lease)] = (ttl_s, time.monotonic() + ttl_s)
        self.send_document({"ttl_ms": int(ttl_s * 1_000)})


class _EndHandler(_StoreHandler):
    def delete(self, lease: str) -> None:
        """Ends a lease."""
        if not self.state.end_lease(int(lease)):
            self.send_error(404)
            return
        self.send_document({})


class PlatformStoreServer:
    """HTTP server of the stand-in."""

    def __init__(self, address: core.Address) -> None:
        """Prepares a server with an empty state."""
        self.address = address
        self.state = StoreState()
        self._server: httpserver.HTTPServer | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts to listen and to expire leases."""
        arguments = {"state": self.state}
        rules: list[Any] = [
            ("/kv-range", _RangeHandler, arguments),
            ("/kv-watch", _WatchHandler, arguments),
            ("/kv-txn", _TransactionHandler, arguments),
            ("/kv-lease", _GrantHandler, arguments),
            (r"/kv-keep/(\d+)", _RenewHandler, arguments),
            (r"/kv-lease-end/(\d+)", _EndHandler, arguments),
        ]
        application = web.Application(
            rules, log_function=lambda _: None, state=self.state
        )
        self._server = application.listen(self.address.port, self.address.host)
        self._task = asyncio.create_task(self._expire_leases())

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_INTERVAL_S)
            self.state.end_expired_leases()

    def stop(self) -> None:
        """Stops the server."""
        if self._server is not None:
            self._server.stop()
        if self._task is not None:
            self._task.cancel()


async def wait_until(
    condition: Callable[[], bool], limit_ms: int = 5_000
) -> bool:
    """Polls a condition and returns whether it became true in time."""
    end_s = time.monotonic() + limit_ms / 1_000
    while not condition():
        if time.monotonic() >= end_s:
            return False
        await asyncio.sleep(_WATCH_POLL_S)
    return True
