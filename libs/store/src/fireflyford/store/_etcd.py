"""Client of the etcd v3 JSON gateway.

See https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/. Keys and values are
base64-encoded, which `msgspec` does for every `bytes` field; 64-bit integers
are strings.
"""

import asyncio
import collections
from collections.abc import AsyncIterator
from collections.abc import Sequence
import dataclasses
from typing import Any
from typing import TypeVar

import msgspec
from tornado import httpclient

from fireflyford import core
from fireflyford.store import _store

T = TypeVar("T")

# The store usually responds within milliseconds; a second without a response
# indicates a fault.
REQUEST_TIMEOUT_MS = 1_000
CONNECT_TIMEOUT_MS = 500
# Concurrent connections: one watch and a few calls.
_MAX_CONNECTIONS = 16
_WATCH_PATH = "/v3/watch"


@dataclasses.dataclass(frozen=True)
class _Header:
    revision: int = 0


@dataclasses.dataclass(frozen=True)
class _KeyValue:
    key: bytes = b""
    value: bytes = b""
    mod_revision: int = 0

    def entry(self) -> _store.Entry:
        return _store.Entry(self.key.decode(), self.value, self.mod_revision)


@dataclasses.dataclass(frozen=True)
class _RangeResponse:
    header: _Header = _Header()
    kvs: tuple[_KeyValue, ...] = ()


@dataclasses.dataclass(frozen=True)
class _TxnResponse:
    header: _Header = _Header()
    succeeded: bool = False


@dataclasses.dataclass(frozen=True)
class _LeaseResponse:
    ID: int = 0
    TTL: int = 0


@dataclasses.dataclass(frozen=True)
class _KeepAliveResponse:
    result: _LeaseResponse = _LeaseResponse()


@dataclasses.dataclass(frozen=True)
class _EmptyResponse:
    pass


@dataclasses.dataclass(frozen=True)
class _Event:
    kv: _KeyValue = _KeyValue()
    type: str = "PUT"


@dataclasses.dataclass(frozen=True)
class _WatchResult:
    header: _Header = _Header()
    events: tuple[_Event, ...] = ()
    canceled: bool = False
    cancel_reason: str = ""


@dataclasses.dataclass(frozen=True)
class _WatchResponse:
    result: _WatchResult | None = None


class EtcdStore(_store.Store):
    """etcd store reached through one or more gateways, with failover."""

    def __init__(
        self,
        gateways: Sequence[core.Address],
        timeout_ms: int = REQUEST_TIMEOUT_MS,
    ) -> None:
        """Creates a client without opening a connection.

        Args:
            gateways: Gateway addresses in order of preference.
            timeout_ms: Time limit of one request to one gateway.

        Raises:
            ValueError: `gateways` is empty.
        """
        if not gateways:
            raise ValueError("the store needs at least one gateway address")
        self._gateways = tuple(gateways)
        self._gateway_index = 0
        self._timeout_ms = timeout_ms
        self._client: httpclient.AsyncHTTPClient | None = None
        self.call_counts: collections.Counter[str] = collections.Counter()

    async def read(
        self, prefix: str, limit: int = 0, descending: bool = False
    ) -> core.Outcome[_store.ReadResult]:
        """Performs a linearizable read with /v3/kv/range."""
        body = {
            "key": prefix.encode(),
            "range_end": _store.prefix_end(prefix).encode(),
            "limit": str(limit),
            "sort_order": "DESCEND" if descending else "ASCEND",
            "sort_target": "KEY",
        }
        response = await self._call("/v3/kv/range", body, _RangeResponse)
        if isinstance(response, core.Failure):
            return response
        entries = tuple(item.entry() for item in response.value.kvs)
        return core.Ok(
            _store.ReadResult(entries, response.value.header.revision)
        )

    async def commit(
        self,
        preconditions: Sequence[_store.Precondition],
        writes: Sequence[_store.Write | _store.DeleteRange],
    ) -> core.Outcome[_store.CommitResult]:
        """Commits a transaction with /v3/kv/txn."""
        body = {
            "compare": [_encode_precondition(item) for item in preconditions],
            "success": [_encode_write(item) for item in writes],
        }
        response = await self._call(
            "/v3/kv/txn", body, _TxnResponse, is_write=True
        )
        if isinstance(response, core.Failure):
            return response
        value = response.value
        return core.Ok(
            _store.CommitResult(value.succeeded, value.header.revision)
        )

    async def grant_lease(self, duration_s: int) -> core.Outcome[int]:
        """Creates a lease with /v3/lease/grant."""
        body = {"TTL": str(duration_s), "ID": "0"}
        response = await self._call(
            "/v3/lease/grant", body, _LeaseResponse, is_write=True
        )
        if isinstance(response, core.Failure):
            return response
        return core.Ok(response.value.ID)

    async def renew_lease(self, lease_id: int) -> core.Outcome[bool]:
        """Renews a lease with /v3/lease/keepalive."""
        body = {"ID": str(lease_id)}
        response = await self._call(
            "/v3/lease/keepalive", body, _KeepAliveResponse
        )
        if isinstance(response, core.Failure):
            return response
        return core.Ok(response.value.result.TTL > 0)

    async def revoke_lease(self, lease_id: int) -> core.Outcome[None]:
        """Revokes a lease with /v3/kv/lease/revoke."""
        body = {"ID": str(lease_id)}
        response = await self._call(
            "/v3/kv/lease/revoke", body, _EmptyResponse, is_write=True
        )
        return response if isinstance(response, core.Failure) else core.Ok(None)

    async def watch(
        self, prefix: str, start_revision: int, duration_ms: int
    ) -> AsyncIterator[core.Outcome[_store.ReadResult]]:
        """Watches keys with the response stream of /v3/watch."""
        lines: asyncio.Queue[bytes | None] = asyncio.Queue()
        stream = asyncio.ensure_future(
            self._stream_watch(prefix, start_revision, duration_ms, lines)
        )
        try:
            while (line := await lines.get()) is not None:
                outcome = _decode_watch(line)
                yield outcome
                if isinstance(outcome, core.Failure):
                    return
            failure = await stream
            if failure is not None:
                yield failure
        finally:
            stream.cancel()

    async def _stream_watch(
        self,
        prefix: str,
        start_revision: int,
        duration_ms: int,
        lines: asyncio.Queue[bytes | None],
    ) -> core.Failure | None:
        create = {
            "key": prefix.encode(),
            "range_end": _store.prefix_end(prefix).encode(),
            "start_revision": str(start_revision),
        }
        pending = bytearray()

        def on_chunk(chunk: bytes) -> None:
            pending.extend(chunk)
            *complete, rest = bytes(pending).split(b"\n")
            pending[:] = rest
            for line in complete:
                lines.put_nowait(line)

        request = self._build_request(
            self._gateways[self._gateway_index],
            _WATCH_PATH,
            {"create_request": create},
            duration_ms,
        )
        request.streaming_callback = on_chunk
        self.call_counts[_WATCH_PATH] += 1
        try:
            await self._http_client().fetch(request)
        except (OSError, httpclient.HTTPError) as error:
            # The HTTP client cannot abort a request, so a watch ends with the
            # client's error "Timeout during request".
            if "during request" in str(error):
                return None
            self._switch_gateway()
            return _unavailable(str(error))
        finally:
            lines.put_nowait(None)
        return _unavailable("the store closed the watch")

    async def _call(
        self,
        path: str,
        body: dict[str, Any],
        response_type: type[T],
        is_write: bool = False,
    ) -> core.Outcome[T]:
        failure = _unavailable("no gateway was contacted")
        for _ in self._gateways:
            self.call_counts[path] += 1
            request = self._build_request(
                self._gateways[self._gateway_index],
                path,
                body,
                self._timeout_ms,
            )
            try:
                response = await self._http_client().fetch(request)
                return core.Ok(
                    msgspec.json.decode(
                        response.body, type=response_type, strict=False
                    )
                )
            except msgspec.DecodeError as error:
                failure = _unavailable(f"cannot decode the response: {error}")
            except (OSError, httpclient.HTTPError) as error:
                failure = _unavailable(f"{request.url}: {error}")
                self._switch_gateway()
                if not is_write or _was_not_sent(error):
                    continue
            if is_write:
                return core.Failure(
                    core.ErrorKind.STORE_OUTCOME_UNKNOWN,
                    f"no response to a write: {failure.message}",
                )
        return failure

    def _build_request(
        self,
        gateway: core.Address,
        path: str,
        body: dict[str, Any],
        timeout_ms: int,
    ) -> httpclient.HTTPRequest:
        return httpclient.HTTPRequest(
            f"http://{gateway}{path}",
            method="POST",
            body=msgspec.json.encode(body),
            headers={"Content-Type": "application/json"},
            connect_timeout=CONNECT_TIMEOUT_MS / 1000,
            request_timeout=timeout_ms / 1000,
        )

    def _http_client(self) -> httpclient.AsyncHTTPClient:
        if self._client is None:
            self._client = httpclient.AsyncHTTPClient(
                force_instance=True, max_clients=_MAX_CONNECTIONS
            )
        return self._client

    def _switch_gateway(self) -> None:
        self._gateway_index = (self._gateway_index + 1) % len(self._gateways)


def _encode_precondition(item: _store.Precondition) -> dict[str, Any]:
    body: dict[str, Any] = {"key": item.key.encode(), "result": "EQUAL"}
    if item.value is None:
        return body | {"target": "CREATE", "create_revision": "0"}
    return body | {"target": "VALUE", "value": item.value}


def _encode_write(item: _store.Write | _store.DeleteRange) -> dict[str, Any]:
    if isinstance(item, _store.DeleteRange):
        return {
            "request_delete_range": {
                "key": item.first_key.encode(),
                "range_end": item.end_key.encode(),
            }
        }
    return {
        "request_put": {
            "key": item.key.encode(),
            "value": item.value,
            "lease": str(item.lease_id),
        }
    }


def _decode_watch(line: bytes) -> core.Outcome[_store.ReadResult]:
    try:
        response = msgspec.json.decode(line, type=_WatchResponse, strict=False)
    except msgspec.DecodeError as error:
        return _unavailable(f"cannot decode the watch response: {error}")
    result = response.result
    if result is None or result.canceled:
        reason = "error" if result is None else result.cancel_reason
        return _unavailable(f"the store cancelled the watch: {reason}")
    entries = tuple(
        event.kv.entry() for event in result.events if event.type == "PUT"
    )
    deleted = tuple(
        event.kv.key.decode() for event in result.events if event.type != "PUT"
    )
    return core.Ok(_store.ReadResult(entries, result.header.revision, deleted))


def _was_not_sent(error: Exception) -> bool:
    """Returns whether the request certainly did not reach the store."""
    return isinstance(error, ConnectionRefusedError) or (
        "while connecting" in str(error)
    )


def _unavailable(reason: str) -> core.Failure:
    return core.Failure(
        core.ErrorKind.STORE_UNAVAILABLE,
        f"the store does not answer ({reason}); the configuration in force "
        "is kept, try again later",
    )
