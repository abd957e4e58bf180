"""Rate limit for new flows, so that handshakes do not starve open flows."""

import asyncio
from collections.abc import Callable

from fireflyford.agent import _connection

# A handshake takes about 5 ms of CPU time, so 100 per second leave half of a
# core for open flows.
ADMITTED_FLOWS_PER_S = 100
# Allows a caller to open a few connections at once without waiting.
BURST_FLOWS = 10
# At the admission rate, a full queue waits about 1.2 s, which is within the
# connect timeout of callers. Further flows are dropped; their callers retry.
MAX_QUEUED_FLOWS = 120
_MAX_DATAGRAMS_PER_FLOW = 4


class FlowAdmission:
    """Token bucket that admits new flows in order of arrival."""

    def __init__(
        self,
        admit: Callable[[bytes, list[_connection.ReceivedDatagram]], None],
    ) -> None:
        """Initializes an empty queue.

        Args:
            admit: Opens a flow, given its original destination connection ID
                and the datagrams received for it so far.
        """
        self._admit = admit
        self._tokens = float(BURST_FLOWS)
        self._refilled_s = 0.0
        self._waiting: dict[bytes, list[_connection.ReceivedDatagram]] = {}
        self._task: asyncio.Task[None] | None = None
        self.dropped_count = 0

    def submit(
        self, destination_id: bytes, datagram: _connection.ReceivedDatagram
    ) -> None:
        """Admits a flow at once or queues it; drops it if the queue is full."""
        datagrams = self._waiting.get(destination_id)
        if datagrams is not None:
            if len(datagrams) < _MAX_DATAGRAMS_PER_FLOW:
                datagrams.append(datagram)
        elif not self._waiting and self._take_token():
            self._admit(destination_id, [datagram])
        elif len(self._waiting) >= MAX_QUEUED_FLOWS:
            self.dropped_count += 1
        else:
            self._waiting[destination_id] = [datagram]
            if self._task is None:
                self._task = asyncio.create_task(self._admit_waiting())

    def _take_token(self) -> bool:
        now_s = asyncio.get_running_loop().time()
        refill = (now_s - self._refilled_s) * ADMITTED_FLOWS_PER_S
        self._tokens = min(BURST_FLOWS, self._tokens + refill)
        self._refilled_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    async def _admit_waiting(self) -> None:
        while self._waiting:
            await asyncio.sleep(1 / ADMITTED_FLOWS_PER_S)
            if self._take_token():
                destination_id = next(iter(self._waiting))
                self._admit(destination_id, self._waiting.pop(destination_id))
        self._task = None
