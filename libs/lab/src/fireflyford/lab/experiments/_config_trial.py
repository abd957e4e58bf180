"""A fleet whose configuration versions are sampled, for experiments."""

from collections.abc import AsyncIterator
from collections.abc import Iterable
import contextlib
import dataclasses
import json
import random

from tornado import httpclient

from fireflyford import config
from fireflyford import core
from fireflyford import store
from fireflyford.lab import _deployments
from fireflyford.lab import _fleet
from fireflyford.lab.experiments import _framework

IN_FORCE_LIMIT_MS = 3_000
_GIVE_UP_MS = 10_000
_SAMPLE_MS = 20
_BALANCER_COUNT = 6
CLOCK = core.SystemClock()
Figure = _framework.Figure


class Trial:
    """One running fleet, its store, and what was seen of versions."""

    def __init__(self, fleet: _fleet.Fleet, rng: random.Random) -> None:
        """Takes a fleet that runs."""
        self.fleet = fleet
        self.rng = rng
        self.config_store = store.ConfigStore(
            store.EtcdStore([fleet.store_address]), CLOCK
        )
        self.accepted_version = 0
        self.rollback_count = 0
        self._seen: dict[str, int] = {}
        self._serial = 0

    def new_text(self) -> str:
        """Returns a deployment that differs from all before it."""
        self._serial += 1
        first, *rest = self.fleet.deployment.services
        first = dataclasses.replace(
            first, connections_per_target=2_000 + self._serial
        )
        deployment = dataclasses.replace(
            self.fleet.deployment, services=(first, *rest)
        )
        return config.render(deployment)

    async def push(
        self, base: int, author: str = "operator"
    ) -> core.Outcome[store.AcceptedPush]:
        """Pushes a new text and keeps the version when it is accepted."""
        push = store.Push(self.new_text(), base, author)
        outcome = await self.config_store.push(push)
        if isinstance(outcome, core.Ok):
            self.accepted_version = max(
                self.accepted_version, outcome.value.record.version
            )
        return outcome

    async def switch(self, **switches: object) -> None:
        """Switches faults of the store."""
        await httpclient.AsyncHTTPClient().fetch(
            f"http://{self.fleet.store_address}/switch",
            method="POST",
            body=json.dumps(switches),
        )

    async def counts(self) -> dict[str, int]:
        """Returns the calls of the store and its pending watches."""
        reply = await httpclient.AsyncHTTPClient().fetch(
            f"http://{self.fleet.store_address}/counts"
        )
        counts = json.loads(reply.body)
        return {
            "calls": sum(counts["calls"].values()),
            "watches": counts["pending_watch_count"],
        }

    async def time_in_force(
        self, version: int, balancers: Iterable[str] = ()
    ) -> float:
        """Returns the time until every balancer runs a version.

        Started before the push, it gives an upper bound of the time from
        acceptance, because it contains the push itself.

        Args:
            version: Version to wait for.
            balancers: Names of the balancers that count, all when empty.

        Returns:
            Milliseconds from now, the limit when it did not happen.
        """
        start_ms = CLOCK.now_ms()
        names = list(balancers) or list(self.fleet.balancers)
        while CLOCK.now_ms() - start_ms < _GIVE_UP_MS:
            versions = [await self.sample(name) for name in names]
            if min(versions) >= version:
                break
            await CLOCK.sleep(_SAMPLE_MS)
        return CLOCK.now_ms() - start_ms

    async def sample(self, name: str) -> int:
        """Returns a balancer's version, and counts it if it went back."""
        address = self.fleet.balancers[name].status_address
        status = await _fleet.fetch_status(address)
        version = int(str(status.get("config", {}).get("version", -1)))
        if version >= 0:
            self.rollback_count += version < self._seen.get(name, 0)
            self._seen[name] = max(version, self._seen.get(name, 0))
        return version

    async def ready_version(self, name: str) -> int:
        """Returns the version of a new balancer when it takes work."""
        address = self.fleet.balancers[name].status_address
        client = httpclient.AsyncHTTPClient()
        limit_ms = CLOCK.now_ms() + _GIVE_UP_MS
        while CLOCK.now_ms() < limit_ms:
            with contextlib.suppress(OSError, httpclient.HTTPError):
                await client.fetch(f"http://{address}/readyz")
                return await self.sample(name)
            await CLOCK.sleep(_SAMPLE_MS)
        return -1


@contextlib.asynccontextmanager
async def running(
    seed: int, balancer_count: int = _BALANCER_COUNT
) -> AsyncIterator[Trial]:
    """Runs balancers, one target of each service, and the store."""
    base = _deployments.BANTAY
    services = tuple(
        dataclasses.replace(service, target_count=1)
        for service in base.services
    )
    rng = random.Random(seed)
    fleet = _fleet.Fleet(
        dataclasses.replace(base, services=services), rng, balancer_count
    )
    try:
        await fleet.start()
        # Readers are chosen once every balancer knows the others.
        await CLOCK.sleep(2_000)
        yield Trial(fleet, rng)
    finally:
        fleet.stop()


def in_force_figure(times_ms: list[float]) -> Figure:
    """Returns the longest of the times with its target."""
    return Figure(
        "longest time until in force at every balancer",
        max(times_ms),
        "ms",
        IN_FORCE_LIMIT_MS,
    )


def zero(name: str, count: int) -> Figure:
    """Returns a figure that must be 0."""
    return Figure(name, count, "1", 0)
