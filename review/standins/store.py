"""The platform's metadata store."""

import asyncio
import base64
import time
from typing import Any

from standins import http

_PAGE_ITEMS = 500
_MAX_TXN_ENTRIES = 32
_POLL_S = 0.01


class Store:
    """Serves keys, watches and leases as PROTOCOL.md describes them."""

    def __init__(self) -> None:
        """Starts empty."""
        self._revision = 100
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._last_lease = 70_000
        self._server: asyncio.Server | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self, host: str, port: int) -> None:
        """Starts to listen."""
        self._server = await http.serve(host, port, self._handle)
        self._task = asyncio.create_task(self._expire())

    def stop(self) -> None:
        """Stops to listen."""
        if self._server is not None:
            self._server.close()
        if self._task is not None:
            self._task.cancel()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Writes a key."""
        self._revision += 1
        known = self._items.get(key)
        self._items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self._revision,
            "create_revision": (
                known["create_revision"] if known else self._revision
            ),
            "lease": lease,
        }
        self._events.append(self._items[key])

    def keys(self, prefix: str) -> list[str]:
        """Returns the keys with a prefix."""
        return [key for key in self._items if key.startswith(prefix)]

    def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._events.append(
                {"key": key, "revision": self._revision, "deleted": True}
            )

    def _end_lease(self, lease: int) -> bool:
        if self._leases.pop(lease, None) is None:
            return False
        for key, item in tuple(self._items.items()):
            if item["lease"] == lease:
                self._remove(key)
        return True

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(_POLL_S)
            now_s = time.monotonic()
            for lease, (_, end_s) in tuple(self._leases.items()):
                if end_s <= now_s:
                    self._end_lease(lease)

    async def _handle(
        self, method: str, path: str, query: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        if path == "/kv-key":
            item = self._items.get(query["key"])
            if item is None:
                return 404, {}
            return 200, item | {"as_of": self._revision}
        if path == "/kv-range":
            return 200, self._range(query["prefix"], query.get("after", ""))
        if path == "/kv-watch":
            return 200, await self._watch(
                query["prefix"],
                int(query["after"]),
                min(int(query["wait_ms"]), 30_000),
            )
        if path == "/kv-txn":
            return self._commit(body)
        if path == "/kv-lease":
            self._last_lease += 1
            ttl_ms = min(max(body["ttl_ms"], 1_000), 600_000)
            self._leases[self._last_lease] = (
                ttl_ms / 1_000,
                time.monotonic() + ttl_ms / 1_000,
            )
            return 200, {"lease": self._last_lease, "ttl_ms": ttl_ms}
        lease = int(path.rpartition("/")[2])
        if path.startswith("/kv-keep/"):
            if lease not in self._leases:
                return 404, {}
            ttl_s, _ = self._leases[lease]
            self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"ttl_ms": int(ttl_s * 1_000)}
        if path.startswith("/kv-lease-end/") and method == "DELETE":
            return (200 if self._end_lease(lease) else 404), {}
        return 404, {}

    def _range(self, prefix: str, after: str) -> dict[str, Any]:
        found = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        page = found[:_PAGE_ITEMS]
        return {
            "items": [self._items[key] for key in page],
            "truncated": len(page) < len(found),
            "as_of": self._revision,
        }

    async def _watch(
        self, prefix: str, after: int, wait_ms: int
    ) -> dict[str, Any]:
        end_s = time.monotonic() + wait_ms / 1_000
        while True:
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            if events or time.monotonic() >= end_s:
                return {"events": events, "as_of": self._revision}
            await asyncio.sleep(_POLL_S)

    def _commit(self, body: dict[str, Any]) -> tuple[int, Any]:
        expected = body.get("expect", [])
        writes = body.get("writes", [])
        removed = body.get("remove", [])
        if len(expected) + len(writes) + len(removed) > _MAX_TXN_ENTRIES:
            return 400, {}
        changed = [write["key"] for write in writes] + removed
        if any(key.startswith(("op/", "servers/")) for key in changed):
            return 403, {}
        current = [self._items.get(row["key"]) for row in expected]
        if any(
            row["revision"] != (item["revision"] if item else 0)
            for row, item in zip(expected, current, strict=True)
        ):
            return 412, {"items": [item for item in current if item]}
        leases = [write.get("lease", 0) for write in writes]
        if any(lease and lease not in self._leases for lease in leases):
            return 404, {}
        for write in writes:
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write.get("lease", 0))
        for key in removed:
            self._remove(key)
        return 200, {"revision": self._revision}
