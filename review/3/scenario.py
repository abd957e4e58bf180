"""A client uses the port of an idle flow again while its server drains."""

import asyncio
import time

from standins import fleet
from standins import scenario

PORT_COUNT = 18
FIRST_PORT = 42_000


class Case(scenario.Scenario):
    """Feeds are left idle, discarded, and opened again from the same ports."""

    agents = {"queue": 3}  # noqa: RUF012

    def first_config(self) -> bytes:
        """Has one route."""
        feed = fleet.route("feed", self.address(8_443), "safe", "queue")
        return fleet.config(3, [feed], ["queue"])

    async def play(self) -> None:
        """Plays the case."""
        route = self.address(8_443)
        ports = [FIRST_PORT + index for index in range(PORT_COUNT)]
        for port in ports:
            flow = await self.client.open(route, port)
            assert flow is not None
            request_id, body = await self.client.request(flow)
            self.log.say(f"port {port}: {request_id} answered: {body}")
        # Both ends discard flows that are idle for `idle_timeout_ms`.
        await asyncio.sleep(fleet.IDLE_TIMEOUT_MS / 1_000 + 1.0)
        assert not any(item.flows for item in self.servers.values())
        self.log.say("all flows were idle and are discarded at both ends")
        leaving = self.servers["queue-1"]
        if self.trouble:
            await leaving.drain()
        await asyncio.sleep(fleet.BOUNDS["drain_ms"] / 1_000 + 2.0)
        for port in [*ports, *(port + 500 for port in ports)]:
            flow = await self.client.open(route, port)
            if flow is None:
                self.log.say(f"port {port}: not opened")
                continue
            request_id, body = await self.client.request(flow)
            self.log.say(f"port {port}: {request_id} answered: {body}")
        confirmed_s = leaving.drain_confirmed_s
        if confirmed_s is None:
            return
        bound_s = fleet.BOUNDS["drain_ms"] / 1_000
        now_s = time.monotonic()
        for key, accepted_s in leaving.accepted:
            late_s = accepted_s - confirmed_s
            runs = [run[1] for run in leaving.runs if run[0] == key]
            if late_s > bound_s and accepted_s <= now_s and runs:
                self.findings.append(
                    f"DRAIN: the opening packet of port {key[1]} reached "
                    f"{leaving.name} {late_s:.1f} s after its drain was "
                    f"confirmed; it ran {runs[-1]}"
                )


if __name__ == "__main__":
    scenario.main(Case, __file__)
