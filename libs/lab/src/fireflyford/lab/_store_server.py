"""In-memory stand-in for the etcd key-value store, with fault injection.

Implements the endpoints of the etcd v3 JSON gateway that the client uses.
`POST /switch` sets faults by a JSON object with the keys `down`, `slow_ms`,
`lose_answer_count`, `lapse_leases`, `save_snapshot` and `restore_snapshot`.
`GET /counts` returns the number of calls by path and of pending watches.
"""

import asyncio
import base64
import collections
import dataclasses
import json
import signal
import time
from typing import Any

from tornado import httpserver
from tornado import web

from fireflyford import core

_LEASE_CHECK_MS = 100
# Documented default limit of the size of a request in etcd.
_MAX_REQUEST_BYTES = 1_572_864


@dataclasses.dataclass(frozen=True)
class _StoredValue:
    """Stored value of one key with its revisions and lease."""

    value: bytes
    create_revision: int
    mod_revision: int
    lease_id: int = 0


@dataclasses.dataclass(frozen=True)
class _Event:
    """One change of a key, as reported to watches; no value if deleted."""

    revision: int
    key: bytes
    value: _StoredValue | None


class FaultSwitches:
    """Faults that are in effect."""

    def __init__(self) -> None:
        """Starts without faults."""
        self.down = False
        self.slow_ms = 0.0
        self.lose_answer_count = 0


class StoreState:
    """Entries, leases and change history of the store."""

    def __init__(self) -> None:
        """Starts empty."""
        self.revision = 1
        self.values: dict[bytes, _StoredValue] = {}
        self.events: list[_Event] = []
        # Duration and expiry time of each lease, in s.
        self.leases: dict[int, tuple[int, float]] = {}
        self.changed = asyncio.Condition()
        self._snapshot: tuple[int, dict[bytes, _StoredValue]] = (1, {})
        self._next_lease_id = 1_000

    def put(self, key: bytes, value: bytes, lease_id: int) -> None:
        """Writes one entry at the current revision."""
        existing = self.values.get(key)
        created = (
            self.revision if existing is None else existing.create_revision
        )
        entry = _StoredValue(value, created, self.revision, lease_id)
        self.values[key] = entry
        self.events.append(_Event(self.revision, key, entry))

    def delete(self, first: bytes, end: bytes) -> None:
        """Deletes the entries of a range."""
        for key in self.find_keys(first, end):
            del self.values[key]
            self.events.append(_Event(self.revision, key, None))

    def find_keys(self, first: bytes, end: bytes) -> list[bytes]:
        """Returns the keys of a range in ascending order."""
        if not end:
            return [first] if first in self.values else []
        return sorted(key for key in self.values if first <= key < end)

    def grant(self, duration_s: int) -> int:
        """Grants a lease and returns its identifier."""
        self._next_lease_id += 1
        expiry = time.monotonic() + duration_s
        self.leases[self._next_lease_id] = (duration_s, expiry)
        return self._next_lease_id

    def renew(self, lease_id: int) -> int:
        """Renews a lease; returns its duration, 0 if it has expired."""
        if lease_id not in self.leases:
            return 0
        duration_s, _ = self.leases[lease_id]
        self.leases[lease_id] = (duration_s, time.monotonic() + duration_s)
        return duration_s

    def end_lease(self, lease_id: int) -> None:
        """Ends a lease and deletes its entries."""
        self.leases.pop(lease_id, None)
        keys = [
            key
            for key, value in self.values.items()
            if value.lease_id == lease_id
        ]
        self.revision += bool(keys)
        for key in keys:
            self.delete(key, key + b"\0")

    def end_expired_leases(self, every: bool = False) -> None:
        """Ends the expired leases, or all leases if `every` is set."""
        now = time.monotonic()
        for lease_id, (_, expiry) in list(self.leases.items()):
            if every or expiry < now:
                self.end_lease(lease_id)

    def save_snapshot(self) -> None:
        """Saves the current entries for `restore_snapshot`."""
        self._snapshot = (self.revision, dict(self.values))

    def restore_snapshot(self) -> None:
        """Rolls back to the saved entries and their revision."""
        self.revision, values = self._snapshot
        self.values = dict(values)
        self.events = [
            event for event in self.events if event.revision <= self.revision
        ]

    async def notify_watches(self) -> None:
        """Wakes up pending watches and lets them check for events."""
        async with self.changed:
            self.changed.notify_all()


class StoreServer:
    """HTTP server of the store; several addresses can share one state."""

    def __init__(self) -> None:
        """Prepares a server with an empty state and without faults."""
        self.state = StoreState()
        self.switches = FaultSwitches()
        self.call_counts: collections.Counter[str] = collections.Counter()
        self.pending_watch_count = 0
        self._servers: list[httpserver.HTTPServer] = []
        self._lease_task: asyncio.Task[None] | None = None

    def listen(self, address: core.Address) -> None:
        """Starts to serve on one more address, until `stop`."""
        options = {"server": self}
        application = web.Application(
            [
                ("/v3/kv/range", _RangeHandler, options),
                ("/v3/kv/put", _PutHandler, options),
                ("/v3/kv/txn", _TxnHandler, options),
                ("/v3/lease/grant", _GrantHandler, options),
                ("/v3/lease/keepalive", _KeepAliveHandler, options),
                ("/v3/kv/lease/revoke", _RevokeHandler, options),
                ("/v3/watch", _WatchHandler, options),
                ("/switch", _SwitchHandler, options),
                ("/counts", _CountsHandler, options),
            ],
            log_function=lambda handler: None,
        )
        self._servers.append(
            application.listen(
                address.port, address.host, max_body_size=_MAX_REQUEST_BYTES
            )
        )
        if self._lease_task is None:
            self._lease_task = asyncio.create_task(self._expire_leases())

    def stop(self) -> None:
        """Stops serving on all addresses."""
        for server in self._servers:
            server.stop()
        if self._lease_task is not None:
            self._lease_task.cancel()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(_LEASE_CHECK_MS / 1000)
            self.state.end_expired_leases()
            await self.state.notify_watches()


class _GatewayHandler(web.RequestHandler):
    """Base class of the gateway's endpoints; applies the faults."""

    is_write = False

    def initialize(self, server: StoreServer) -> None:
        self.server = server
        self.state = server.state

    async def post(self) -> None:
        switches = self.server.switches
        self.server.call_counts[self.request.path] += 1
        if switches.slow_ms:
            await asyncio.sleep(switches.slow_ms / 1000)
        if switches.down:
            self._close_connection()
            return
        reply = self.handle_request(json.loads(self.request.body))
        if self.is_write:
            await self.state.notify_watches()
            if switches.lose_answer_count:
                switches.lose_answer_count -= 1
                self._close_connection()
                return
        reply["header"] = {"revision": str(self.state.revision)}
        self.finish(reply)

    def handle_request(self, body: dict[str, Any]) -> dict[str, Any]:
        raise NotImplementedError

    def _close_connection(self) -> None:
        self.detach().close()


class _RangeHandler(_GatewayHandler):
    """Reads a range of keys."""

    def handle_request(self, body: dict[str, Any]) -> dict[str, Any]:
        keys = self.state.find_keys(
            _decode(body["key"]), _decode(body.get("range_end", ""))
        )
        if body.get("sort_order") == "DESCEND":
            keys.reverse()
        limit = int(body.get("limit", 0))
        kvs = [
            _encode_entry(key, self.state.values[key])
            for key in (keys[:limit] if limit else keys)
        ]
        return {"kvs": kvs, "count": str(len(keys))}


class _PutHandler(_GatewayHandler):
    """Writes one key."""

    is_write = True

    def handle_request(self, body: dict[str, Any]) -> dict[str, Any]:
        self.state.revision += 1
        self.state.put(
            _decode(body["key"]),
            _decode(body.get("value", "")),
            int(body.get("lease", 0)),
        )
        return {}


class _TxnHandler(_GatewayHandler):
    """Executes a transaction with comparisons."""

    is_write = True

    def handle_request(self, body: dict[str, Any]) -> dict[str, Any]:
        succeeded = all(self._holds(item) for item in body.get("compare", ()))
        operations = body.get("success" if succeeded else "failure", ())
        self.state.revision += bool(operations)
        for operation in operations:
            self._apply(operation)
        return {"succeeded": True} if succeeded else {}

    def _holds(self, compare: dict[str, Any]) -> bool:
        existing = self.state.values.get(_decode(compare["key"]))
        if compare["target"] == "VALUE":
            expected = _decode(compare.get("value", ""))
            return existing is not None and existing.value == expected
        if compare["target"] == "MOD":
            revision = 0 if existing is None else existing.mod_revision
            return revision == int(compare.get("mod_revision", 0))
        revision = 0 if existing is None else existing.create_revision
        return revision == int(compare.get("create_revision", 0))

    def _apply(self, operation: dict[str, Any]) -> None:
        if "request_put" in operation:
            put = operation["request_put"]
            self.state.put(
                _decode(put["key"]),
                _decode(put.get("value", "")),
                int(put.get("lease", 0)),
            )
        elif "request_delete_range" in operation:
            deletion = operation["request_delete_range"]
            self.state.delete(
                _decode(deletion["key"]), _decode(deletion["range_end"])
            )


class _GrantHandler(_GatewayHandler):
    """Grants a lease."""

    is_write = True

    def handle_request(self, body: dict[str, Any]) -> dict[str, Any]:
        duration_s = int(body["TTL"])
        lease_id = self.state.grant(duration_s)
        return {"ID": str(lease_id), "TTL": str(duration_s)}


class _KeepAliveHandler(_GatewayHandler):
    """Renews a lease."""

    def handle_request(self, body: dict[str, Any]) -> dict[str, Any]:
        duration_s = self.state.renew(int(body["ID"]))
        return {"result": {"ID": body["ID"], "TTL": str(duration_s)}}


class _RevokeHandler(_GatewayHandler):
    """Revokes a lease."""

    is_write = True

    def handle_request(self, body: dict[str, Any]) -> dict[str, Any]:
        self.state.end_lease(int(body["ID"]))
        return {}


class _WatchHandler(web.RequestHandler):
    """Streams the changes of a range of keys."""

    def initialize(self, server: StoreServer) -> None:
        self.server = server
        self.state = server.state
        self._is_open = True

    def on_connection_close(self) -> None:
        self._is_open = False
        self._closing = asyncio.create_task(self.state.notify_watches())

    async def post(self) -> None:
        self.server.call_counts[self.request.path] += 1
        create = json.loads(self.request.body)["create_request"]
        first = _decode(create["key"])
        end = _decode(create.get("range_end", ""))
        revision = int(create.get("start_revision", 0)) or (
            self.state.revision + 1
        )
        self.server.pending_watch_count += 1
        try:
            await self._send({"created": True})
            while self._is_open and not self.server.switches.down:
                events = [
                    event
                    for event in self.state.events
                    if event.revision >= revision
                    and first <= event.key < (end or first + b"\0")
                ]
                if events:
                    revision = events[-1].revision + 1
                    await self._delay()
                    await self._send(
                        {"events": [_encode_event(item) for item in events]}
                    )
                await self._wait_for_change()
        finally:
            self.server.pending_watch_count -= 1
        if self._is_open:
            self.detach().close()

    async def _wait_for_change(self) -> None:
        async with self.state.changed:
            await self.state.changed.wait()

    async def _delay(self) -> None:
        if self.server.switches.slow_ms:
            await asyncio.sleep(self.server.switches.slow_ms / 1000)

    async def _send(self, result: dict[str, Any]) -> None:
        result["header"] = {"revision": str(self.state.revision)}
        self.write(json.dumps({"result": result}) + "\n")
        await self.flush()


class _SwitchHandler(web.RequestHandler):
    """Sets faults."""

    def initialize(self, server: StoreServer) -> None:
        self.server = server

    async def post(self) -> None:
        requested = json.loads(self.request.body)
        switches, state = self.server.switches, self.server.state
        switches.down = requested.get("down", switches.down)
        switches.slow_ms = requested.get("slow_ms", switches.slow_ms)
        switches.lose_answer_count = requested.get(
            "lose_answer_count", switches.lose_answer_count
        )
        if requested.get("lapse_leases"):
            state.end_expired_leases(every=True)
        if requested.get("save_snapshot"):
            state.save_snapshot()
        if requested.get("restore_snapshot"):
            state.restore_snapshot()
        await state.notify_watches()
        self.finish(vars(switches))


class _CountsHandler(web.RequestHandler):
    """Reports the number of calls by path and of pending watches."""

    def initialize(self, server: StoreServer) -> None:
        self.server = server

    def get(self) -> None:
        self.finish(
            {
                "calls": dict(self.server.call_counts),
                "pending_watch_count": self.server.pending_watch_count,
            }
        )


def _decode(text: str) -> bytes:
    return base64.b64decode(text)


def _encode_entry(key: bytes, entry: _StoredValue) -> dict[str, str]:
    return {
        "key": base64.b64encode(key).decode(),
        "value": base64.b64encode(entry.value).decode(),
        "create_revision": str(entry.create_revision),
        "mod_revision": str(entry.mod_revision),
        "lease": str(entry.lease_id),
    }


def _encode_event(event: _Event) -> dict[str, Any]:
    if event.value is None:
        key = base64.b64encode(event.key).decode()
        return {
            "type": "DELETE",
            "kv": {"key": key, "mod_revision": str(event.revision)},
        }
    return {"kv": _encode_entry(event.key, event.value)}


def run_store(*addresses: str) -> None:
    """Runs the stand-in store until SIGTERM or SIGINT.

    Args:
        *addresses: `ip:port` of each gateway.
    """
    asyncio.run(_run([core.Address.parse(item) for item in addresses]))


async def _run(addresses: list[core.Address]) -> None:
    server = StoreServer()
    for address in addresses:
        server.listen(address)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    await stopping.wait()
    server.stop()
