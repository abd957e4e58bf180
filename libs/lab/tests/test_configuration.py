"""Configuration pushes to running balancers and agents."""

import asyncio
import dataclasses
import random

import pytest

from fireflyford import caller
from fireflyford import config
from fireflyford import core
from fireflyford import store
from fireflyford.lab import _deployments
from fireflyford.lab import _fleet

SERVICES = tuple(
    dataclasses.replace(service, target_count=1)
    for service in _deployments.BANTAY.services[:1]
)
BASE = dataclasses.replace(_deployments.BANTAY, services=SERVICES)
CONNECT_TIMEOUT_S = 1.0


async def _push_and_wait_until_applied(
    fleet: _fleet.Fleet, base: int, service: config.Service
) -> None:
    """Pushes a changed service and waits until all instances apply it."""
    client = store.EtcdStore([fleet.store_address])
    config_store = store.ConfigStore(client, core.SystemClock())
    deployment = dataclasses.replace(fleet.deployment, services=(service,))
    push = store.Push(config.render(deployment), base, "ana")
    assert isinstance(await config_store.push(push), core.Ok)
    instances = (*fleet.balancers.values(), *fleet.targets.values())
    for instance in instances:
        while await _config_version(instance.status_address) <= base:
            await asyncio.sleep(0.02)


async def _config_version(address: core.Address) -> int:
    status = await _fleet.fetch_status(address)
    return int(str(status["config"]["version"]))


async def _run_drain(fleet: _fleet.Fleet) -> None:
    await fleet.start()
    service = fleet.deployment.services[0]
    client = caller.Client(
        core.Address.parse(service.address),
        service.name,
        fleet.authorities_path(service.name),
    )
    draining_service = dataclasses.replace(
        service,
        treatments=(config.Treatment("work", "GET", "/work"),),
        draining=True,
    )
    async with client.connect() as connection:
        before = await client.request(connection, "GET", "/work", b"")
        assert isinstance(before, core.Failure)
        await _push_and_wait_until_applied(fleet, 0, draining_service)
        after = await client.request(connection, "GET", "/work", b"")
        assert isinstance(after, core.Ok)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT_S), client.connect():
                pass
        await _push_and_wait_until_applied(
            fleet, 1, dataclasses.replace(draining_service, draining=False)
        )
        async with (
            asyncio.timeout(CONNECT_TIMEOUT_S),
            client.connect() as new_connection,
        ):
            outcome = await client.request(new_connection, "GET", "/work", b"")
            assert isinstance(outcome, core.Ok)


def test_draining_service_keeps_open_flows_and_accepts_no_new_flows() -> None:
    """Guards against pushes that do not reach agents and balancers."""
    fleet = _fleet.Fleet(BASE, random.Random(1), balancer_count=2)
    try:
        asyncio.run(_run_drain(fleet))
    finally:
        fleet.stop()
