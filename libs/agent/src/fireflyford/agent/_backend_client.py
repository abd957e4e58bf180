"""Client for requests to the local backend server, over HTTP/1.1."""

import asyncio

from tornado import httpclient
from tornado import simple_httpclient

from fireflyford import core
from fireflyford import requests

MAX_RESPONSE_BODY_BYTES = 64 << 20
_MAX_CONNECTIONS = 10_000
_CONNECT_TIMEOUT_S = 1.0
# Added to the deadline of a request. Without a timeout, a backend server that
# never responds would occupy a slot forever.
_TIMEOUT_GRACE_MS = 1_000


class BackendClient(requests.Executor):
    """Executor that runs work on one backend server."""

    def __init__(self, clock: core.Clock, address: core.Address) -> None:
        """Initializes the client.

        Args:
            clock: Source of time.
            address: Address on which the backend server listens.
        """
        self._clock = clock
        self._base_url = f"http://{address}"
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=_MAX_CONNECTIONS,
            max_body_size=MAX_RESPONSE_BODY_BYTES,
        )

    async def execute(
        self, work: requests.WorkItem
    ) -> core.Outcome[requests.Response]:
        """Runs the work once on the backend server."""
        remaining_ms = max(1, work.deadline_ms - self._clock.now_ms())
        request = httpclient.HTTPRequest(
            self._base_url + work.path,
            method=work.method,
            headers={
                "X-Request-Id": work.request_id,
                "X-Deadline-Ms": str(remaining_ms),
            },
            body=work.body if work.body or work.method == "POST" else None,
            connect_timeout=_CONNECT_TIMEOUT_S,
            request_timeout=(remaining_ms + _TIMEOUT_GRACE_MS) / 1000,
            allow_nonstandard_methods=True,
        )
        try:
            reply = await self._client.fetch(request, raise_error=False)
        except ConnectionRefusedError:
            return core.Failure(
                core.ErrorKind.BACKEND_REFUSED,
                "backend server does not accept connections",
            )
        except asyncio.CancelledError:
            self._cancel(work.request_id)
            raise
        except OSError as error:
            return core.Failure(core.ErrorKind.OUTCOME_UNKNOWN, str(error))
        return self._to_outcome(work, reply)

    def _to_outcome(
        self, work: requests.WorkItem, reply: httpclient.HTTPResponse
    ) -> core.Outcome[requests.Response]:
        # tornado reports timeouts and lost connections as status 599.
        if reply.code == 599:
            self._cancel(work.request_id)
            return core.Failure(
                core.ErrorKind.OUTCOME_UNKNOWN, str(reply.error)
            )
        if reply.code == 503 and "Retry-After" in reply.headers:
            return core.Failure(
                core.ErrorKind.BACKEND_REFUSED,
                "backend server shed the request with status 503",
                retry_after_ms=_retry_after_ms(reply.headers["Retry-After"]),
            )
        if reply.code >= 500:
            return core.Failure(
                core.ErrorKind.BACKEND_FAILED,
                f"backend server responded with status {reply.code}",
            )
        content_type = reply.headers.get(
            "Content-Type", "application/octet-stream"
        )
        return core.Ok(
            requests.Response(
                reply.code, (("content-type", content_type),), reply.body
            )
        )

    def _cancel(self, request_id: str) -> None:
        request = httpclient.HTTPRequest(
            f"{self._base_url}/cancel?id={request_id}", method="POST", body=b""
        )
        future = self._client.fetch(request, raise_error=False)
        # The outcome of the cancelled work is already decided, so errors of the
        # cancellation are ignored.
        asyncio.ensure_future(future).add_done_callback(
            lambda done: done.exception()
        )


def _retry_after_ms(text: str) -> int:
    try:
        return int(float(text) * 1000)
    except ValueError:
        return 0
