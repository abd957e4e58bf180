"""A client uses a port again after its route was given to another service."""

import asyncio

from standins import fleet
from standins import scenario

PORT_COUNT = 12
FIRST_PORT = 41_000
# Longer than `flow_lifetime_s` and than any `idle_timeout_ms`.
PAUSE_S = 62.0


class Case(scenario.Scenario):
    """Orders from ports whose earlier flows were closed a minute ago."""

    agents = {"queue": 3, "desk": 3}  # noqa: RUF012

    def first_config(self) -> bytes:
        """Sends new flows of the orders to the service `queue`."""
        return self._config(3, "queue")

    def _config(self, version: int, service: str) -> bytes:
        order = fleet.route(
            "orders", self.address(8_080), "non_idempotent", service
        )
        return fleet.config(version, [order], ["queue", "desk"])

    def _service_of(self, request_id: str) -> str:
        found = [
            item.service
            for item in self.servers.values()
            if any(run[1] == request_id for run in item.runs)
        ]
        return ",".join(found) or "none"

    async def play(self) -> None:
        """Plays the case."""
        route = self.address(8_080)
        ports = [FIRST_PORT + index for index in range(PORT_COUNT)]
        for port in ports:
            request_id, body = await self.client.order(route, port)
            self.log.say(f"port {port}: {request_id} answered: {body}")
        await asyncio.sleep(1.0)
        expected = "queue"
        if self.trouble:
            self.write_config(
                fleet.config(8, [], ["queue", "desk"]), "the route is removed"
            )
            await asyncio.sleep(2.0)
            self.write_config(
                self._config(11, "desk"), "the route is added, to desk"
            )
            expected = "desk"
        await asyncio.sleep(PAUSE_S)
        # Each port is used once before and once now; the others are new.
        for port in [*ports, *(port + 500 for port in ports)]:
            request_id, body = await self.client.order(route, port)
            service = self._service_of(request_id)
            self.log.say(
                f"port {port}: {request_id} run by {service}, answered: {body}"
            )
            if service not in (expected, "none"):
                self.findings.append(
                    f"CONFIG: {request_id} of port {port}, sent {PAUSE_S:.0f} "
                    f"s after the confirmation, was run by {service}; its "
                    f"route names {expected}"
                )


if __name__ == "__main__":
    scenario.main(Case, __file__)
