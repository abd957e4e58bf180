"""Request load of a scenario, with counts of the outcomes."""

import asyncio
import collections
import time

from fireflyford import caller
from fireflyford import core

_SHEET_SIZE_BYTES = 50_000
_RECONNECT_DELAY_S = 0.1
_DEADLINE_MS = {"orders": 5_000, "sheets": 20_000}


class RequestLoad:
    """Sends one kind of request at a constant rate."""

    def __init__(
        self, client: caller.Client, name: str, kind: str, rate_per_s: float
    ) -> None:
        """Initializes the load.

        Args:
            client: Client of the service.
            name: Prefix of request bodies, unique in the scenario.
            kind: `orders` or `sheets`.
            rate_per_s: Requests started per second.
        """
        self._client = client
        self._name = name
        self.kind = kind
        self._rate_per_s = rate_per_s
        self._session = caller.Session(client.connect)
        self._tasks: set[asyncio.Task[None]] = set()
        self.counts: collections.Counter[str] = collections.Counter()
        self.elapsed_ms: list[float] = []
        self.refused_bodies: set[str] = set()

    async def run(self, nominal_ms: float) -> None:
        """Starts requests at the constant rate until cancelled.

        Args:
            nominal_ms: Nominal execution time of each request.
        """
        request_number = 0
        while True:
            request_number += 1
            body = f"{self._name}-{request_number}"
            task = asyncio.create_task(self._send(body, nominal_ms))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / self._rate_per_s)

    async def finish(self) -> None:
        """Waits for the requests in flight."""
        if self._tasks:
            await asyncio.wait(self._tasks)
        await self._session.close()

    async def _send(self, body: str, nominal_ms: float) -> None:
        try:
            connection = await self._session.connection()
        except ConnectionError:
            # No request was sent, so there is no outcome to count.
            await asyncio.sleep(_RECONNECT_DELAY_S)
            return
        path = f"/orders?ms={nominal_ms:g}"
        expected = body.encode()
        if self.kind == "sheets":
            path = f"/sheets/{body}?ms={nominal_ms:g}&bytes={_SHEET_SIZE_BYTES}"
            expected = path.encode() + b"." * _SHEET_SIZE_BYTES
        start_s = time.monotonic()
        outcome = await self._client.request(
            connection,
            "POST" if self.kind == "orders" else "GET",
            path,
            body.encode() if self.kind == "orders" else b"",
            deadline_ms=_DEADLINE_MS[self.kind],
        )
        self.elapsed_ms.append((time.monotonic() - start_s) * 1000)
        self._count_outcome(outcome, body, expected)

    def _count_outcome(
        self, outcome: core.Outcome[caller.Response], body: str, expected: bytes
    ) -> None:
        if isinstance(outcome, core.Ok):
            self.counts["complete"] += 1
            self.counts["wrong"] += outcome.value.body != expected
        elif outcome.spec.execution is core.Execution.NOT_RUN:
            self.counts["refused"] += 1
            self.refused_bodies.add(body)
        else:
            self.counts["unknown"] += 1
