"""End-to-end requests through real processes."""

import asyncio
import random

from fireflyford import caller
from fireflyford import core
from fireflyford.lab import _deployments
from fireflyford.lab import _fleet


async def _send_concurrent_requests(client: caller.Client) -> list[bytes]:
    async with client.connect() as connection:
        outcomes = await asyncio.gather(
            *(
                client.request(
                    connection,
                    "POST",
                    f"/orders?ms={200 - 20 * index}",
                    f"order-{index}".encode(),
                )
                for index in range(8)
            )
        )
    return [
        outcome.value.body
        if isinstance(outcome, core.Ok)
        else outcome.message.encode()
        for outcome in outcomes
    ]


async def _request_all_services(fleet: _fleet.Fleet) -> dict[str, list[bytes]]:
    await fleet.start()
    bodies = {}
    for service in fleet.deployment.services:
        client = caller.Client(
            core.Address.parse(service.address),
            service.name,
            fleet.authorities_path(service.name),
        )
        bodies[service.name] = await _send_concurrent_requests(client)
    return bodies


def test_each_concurrent_request_gets_its_own_response() -> None:
    """Guards against responses that go to another request or service."""
    fleet = _fleet.Fleet(_deployments.BANTAY, random.Random(1))
    try:
        bodies = asyncio.run(_request_all_services(fleet))
    finally:
        fleet.stop()
    expected = [f"order-{index}".encode() for index in range(8)]
    assert bodies == {"tahian": expected, "padron": expected}
