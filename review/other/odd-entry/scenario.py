"""Another writer leaves an odd entry; later machines are restarted in turn."""

import asyncio
import json
import time

from standins import client
from standins import fleet
from standins import scenario

FLOW_COUNT = 36
FIRST_PORT = 46_000
REQUEST_INTERVAL_S = 0.6
# The largest incarnation that passes the check of entries.
MAX_INCARNATION = (1 << 48) - 1
RESTARTED = ("queue-2", "queue-3", "balancer-1", "balancer-2")


class Case(scenario.Scenario):
    """The entry names a living agent, with a number that is too large."""

    agents = {"queue": 3}  # noqa: RUF012

    def first_config(self) -> bytes:
        """Has one route."""
        feed = fleet.route("feed", self.address(8_443), "safe", "queue")
        return fleet.config(3, [feed], ["queue"])

    async def _use(self, flow: client.Flow, end_s: float) -> None:
        """Sends requests on a flow until a time or until the flow ends."""
        while time.monotonic() < end_s and not flow.is_ended:
            await self.client.request(flow)
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def play(self) -> None:
        """Plays the case."""
        flows = []
        for index in range(FLOW_COUNT):
            flow = await self.client.open(
                self.address(8_443), FIRST_PORT + index
            )
            assert flow is not None
            flows.append(flow)
        end_s = time.monotonic() + 28.0
        users = [asyncio.create_task(self._use(flow, end_s)) for flow in flows]
        await asyncio.sleep(1.0)
        deployment = self.deployment
        if self.trouble:
            port = deployment.ports["internal"]
            address = f"{deployment.host('queue-1')}:{port}"
            entry = ["queue-1", "agent", "queue", "a", address]
            self.store.put(
                f"fireflyford/instances/{address}",
                json.dumps([*entry, MAX_INCARNATION, False]).encode(),
            )
            self.log.say("another writer has left an odd entry")
        await asyncio.sleep(3.0)
        for name in RESTARTED:
            await deployment.restart(name)
            await deployment.wait_until_ready(name)
            await asyncio.sleep(2.0)
        await asyncio.gather(*users)
        for flow in flows:
            self._check(flow)

    def _check(self, flow: client.Flow) -> None:
        holders = [
            item
            for item in self.servers.values()
            if any(run[0] == flow.key for run in item.runs)
        ]
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
