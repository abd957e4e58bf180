"""Limited admission of new flows, so that handshakes starve no open flow."""

import asyncio
from collections.abc import Callable

from fireflyford.agent import _connection

# A handshake takes about 5 ms of an agent's CPU, so that 100 a second leave
# half of a core to the flows that are open.
FLOWS_PER_SECOND = 100
# A caller that opens a few connections at once does not wait.
BURST_FLOWS = 10
# Later ones wait at most this long, which is within the time that callers
# allow for opening a connection; the rest is refused and tries again.
MAX_WAITING_FLOWS = 120
_MAX_DATAGRAMS_PER_FLOW = 4


class FlowAdmission:
    """Admits new flows at a limited rate, in order of arrival."""

    def __init__(
        self,
        admit: Callable[[bytes, list[_connection.Arrival]], None],
    ) -> None:
        """Prepares an empty queue.

        Args:
            admit: Opens a flow, given its first destination ID and the
                datagrams that have arrived for it.
        """
        self._admit = admit
        self._credit = float(BURST_FLOWS)
        self._credit_s = 0.0
        self._waiting: dict[bytes, list[_connection.Arrival]] = {}
        self._task: asyncio.Task[None] | None = None
        self.dropped_count = 0

    def offer(self, destination: bytes, arrival: _connection.Arrival) -> None:
        """Admits the flow now or when its turn comes."""
        arrivals = self._waiting.get(destination)
        if arrivals is not None:
            if len(arrivals) < _MAX_DATAGRAMS_PER_FLOW:
                arrivals.append(arrival)
        elif not self._waiting and self._take_credit():
            self._admit(destination, [arrival])
        elif len(self._waiting) >= MAX_WAITING_FLOWS:
            self.dropped_count += 1
        else:
            self._waiting[destination] = [arrival]
            if self._task is None:
                self._task = asyncio.create_task(self._admit_waiting())

    def _take_credit(self) -> bool:
        now_s = asyncio.get_running_loop().time()
        earned = (now_s - self._credit_s) * FLOWS_PER_SECOND
        self._credit = min(BURST_FLOWS, self._credit + earned)
        self._credit_s = now_s
        if self._credit < 1:
            return False
        self._credit -= 1
        return True

    async def _admit_waiting(self) -> None:
        while self._waiting:
            await asyncio.sleep(1 / FLOWS_PER_SECOND)
            if self._take_credit():
                destination = next(iter(self._waiting))
                self._admit(destination, self._waiting.pop(destination))
        self._task = None
