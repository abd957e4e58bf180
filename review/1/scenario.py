"""A route moves to another service, then the balancers are restarted."""

import asyncio
import time

from standins import client
from standins import fleet
from standins import scenario

FLOW_COUNT = 24
FIRST_PORT = 40_000
REQUEST_INTERVAL_S = 0.6


class Case(scenario.Scenario):
    """Long flows stay open while their route is given to another service."""

    agents = {"queue": 3, "desk": 3}  # noqa: RUF012

    def first_config(self) -> bytes:
        """Sends new flows to `queue`; of one route a tenth to `desk`."""
        feed = fleet.route("feed", self.address(8_443), "safe", "queue")
        board = fleet.weighted_route(
            "board", self.address(8_444), "safe", {"queue": 90, "desk": 10}
        )
        return fleet.config(3, [feed, board], ["queue", "desk"])

    def second_config(self) -> bytes:
        """Sends all new flows of the same routes to `desk`."""
        feed = fleet.route("feed", self.address(8_443), "safe", "desk")
        board = fleet.weighted_route(
            "board", self.address(8_444), "safe", {"queue": 0, "desk": 100}
        )
        return fleet.config(8, [feed, board], ["queue", "desk"])

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
                self.address(8_443 + index % 2), FIRST_PORT + index
            )
            assert flow is not None
            flows.append(flow)
        end_s = time.monotonic() + 25.0
        users = [asyncio.create_task(self._use(flow, end_s)) for flow in flows]
        await asyncio.sleep(2.0)
        self.write_config(
            self.second_config(), "new flows of both routes go to desk"
        )
        await asyncio.sleep(fleet.BOUNDS["config_apply_ms"] / 1_000 + 1.0)
        fresh = await self.client.order(
            self.address(8_443), FIRST_PORT + 500, "GET"
        )
        self.log.say(f"a new flow is answered: {fresh[1]}")
        open_count = sum(not flow.is_ended for flow in flows)
        self.log.say(f"{open_count} of {FLOW_COUNT} flows open after the move")
        if self.trouble:
            for name in self.deployment.balancers:
                await self.deployment.restart(name)
                await self.deployment.wait_until_ready(name)
                await asyncio.sleep(1.5)
        await asyncio.gather(*users)
        for flow in flows:
            self._check(flow)

    def _check(self, flow: client.Flow) -> None:
        holders = [
            item
            for item in self.servers.values()
            if any(run[0] == flow.key for run in item.runs)
        ]
        for reset_s, packet in flow.resets:
            assert flow.opened_s is not None
            age_s = reset_s - flow.opened_s
            if (
                age_s < fleet.BOUNDS["flow_lifetime_s"]
                and all(item.is_alive for item in holders)
                and not any(flow.key in item.resets_sent for item in holders)
            ):
                self.findings.append(
                    f"FLOW: {flow.name} of route {flow.key[3]}, open at "
                    f"{', '.join(item.name for item in holders)} for "
                    f"{age_s:.1f} s, got {packet.describe()}"
                )


if __name__ == "__main__":
    scenario.main(Case, __file__)
