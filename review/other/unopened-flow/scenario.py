"""An agent is frozen for some seconds; its server is replaced later."""

import asyncio
import signal
import time

from standins import client
from standins import fleet
from standins import scenario

FLOW_COUNT = 60
FIRST_PORT = 43_000
REQUEST_INTERVAL_S = 1.0
OPENING_S = 0.15
# The site file names 4.0 s (`node_freeze`).
FREEZE_S = 2.5


class Case(scenario.Scenario):
    """Flows that were opened meanwhile belong to servers that live on."""

    agents = {"queue": 3}  # noqa: RUF012

    def first_config(self) -> bytes:
        """Has one route."""
        feed = fleet.route("feed", self.address(8_443), "safe", "queue")
        return fleet.config(3, [feed], ["queue"])

    async def _use(self, port: int, end_s: float) -> client.Flow | None:
        """Opens a flow and sends requests until a time or until it ends."""
        flow = await self.client.open(self.address(8_443), port)
        while flow and time.monotonic() < end_s and not flow.is_ended:
            await self.client.request(flow)
            if flow.got_fin and not flow.is_ended:
                await self.client.close(flow)
            await asyncio.sleep(REQUEST_INTERVAL_S)
        return flow

    async def play(self) -> None:
        """Plays the case."""
        end_s = time.monotonic() + 24.0
        if self.trouble:
            self.deployment.signal("queue-1", signal.SIGSTOP)
        users = []
        for index in range(FLOW_COUNT):
            use = self._use(FIRST_PORT + index, end_s)
            users.append(asyncio.create_task(use))
            await asyncio.sleep(OPENING_S / FLOW_COUNT)
        await asyncio.sleep(FREEZE_S - OPENING_S)
        if self.trouble:
            self.deployment.signal("queue-1", signal.SIGCONT)
        # All machines are in touch again after the stable window.
        await asyncio.sleep(fleet.BOUNDS["stable_window_ms"] / 1_000 + 2.0)
        leaving = self.servers["queue-1"]
        await leaving.drain()
        await asyncio.sleep(fleet.BOUNDS["drain_ms"] / 1_000 + 2.0)
        await leaving.leave()
        self.deployment.signal("queue-1", signal.SIGTERM)
        await self.deployment.wait_for_end("queue-1", fleet.BOUNDS["grace_s"])
        for flow in await asyncio.gather(*users):
            if flow is not None:
                self._check(flow)

    def _check(self, flow: client.Flow) -> None:
        holders = [
            item
            for item in self.servers.values()
            if any(run[0] == flow.key for run in item.runs)
        ]
        if not holders or not all(item.is_alive for item in holders):
            return
        if any(flow.key in item.resets_sent for item in holders):
            return
        for reset_s, packet in flow.resets:
            assert flow.opened_s is not None
            self.findings.append(
                f"FLOW: {flow.name}, open at "
                f"{', '.join(item.name for item in holders)} for "
                f"{reset_s - flow.opened_s:.1f} s, got {packet.describe()}"
            )


if __name__ == "__main__":
    scenario.main(Case, __file__)
