"""Fleet whose configuration versions are sampled, for experiments on pushes."""

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

MAX_ACTIVATION_MS = 3_000
_TIMEOUT_MS = 10_000
_SAMPLE_INTERVAL_MS = 20
_BALANCER_COUNT = 6
CLOCK = core.SystemClock()
Figure = _framework.Figure


class ConfigHarness:
    """Pushes configurations to a running fleet and samples its versions."""

    def __init__(self, fleet: _fleet.Fleet, rng: random.Random) -> None:
        """Takes a running fleet."""
        self.fleet = fleet
        self.rng = rng
        self.config_store = store.ConfigStore(
            store.EtcdStore([fleet.store_address]), CLOCK
        )
        self.accepted_version = 0
        self.rollback_count = 0
        self._highest_versions: dict[str, int] = {}
        self._config_number = 0

    def make_config_text(self) -> str:
        """Returns the text of a deployment that differs from earlier ones."""
        self._config_number += 1
        first, *rest = self.fleet.deployment.services
        first = dataclasses.replace(
            first, connections_per_target=2_000 + self._config_number
        )
        deployment = dataclasses.replace(
            self.fleet.deployment, services=(first, *rest)
        )
        return config.render(deployment)

    async def push(
        self, base: int, author: str = "operator"
    ) -> core.Outcome[store.AcceptedPush]:
        """Pushes a new configuration and records the accepted version."""
        push = store.Push(self.make_config_text(), base, author)
        outcome = await self.config_store.push(push)
        if isinstance(outcome, core.Ok):
            self.accepted_version = max(
                self.accepted_version, outcome.value.record.version
            )
        return outcome

    async def set_store_faults(self, **faults: object) -> None:
        """Sets or clears faults of the store."""
        await httpclient.AsyncHTTPClient().fetch(
            f"http://{self.fleet.store_address}/switch",
            method="POST",
            body=json.dumps(faults),
        )

    async def count_store_calls(self) -> dict[str, int]:
        """Returns the number of store calls and of pending watches."""
        reply = await httpclient.AsyncHTTPClient().fetch(
            f"http://{self.fleet.store_address}/counts"
        )
        counts = json.loads(reply.body)
        return {
            "calls": sum(counts["calls"].values()),
            "watches": counts["pending_watch_count"],
        }

    async def measure_activation_ms(
        self, version: int, balancers: Iterable[str] = ()
    ) -> float:
        """Measures the time until every balancer runs a version.

        Started before the push, it gives an upper bound of the time from
        acceptance to activation, because it includes the push itself.

        Args:
            version: Version to wait for.
            balancers: Names of the balancers to wait for, all when empty.

        Returns:
            Milliseconds from now, the timeout if it was reached.
        """
        start_ms = CLOCK.now_ms()
        names = list(balancers) or list(self.fleet.balancers)
        while CLOCK.now_ms() - start_ms < _TIMEOUT_MS:
            versions = [await self.sample_version(name) for name in names]
            if min(versions) >= version:
                break
            await CLOCK.sleep(_SAMPLE_INTERVAL_MS)
        return CLOCK.now_ms() - start_ms

    async def sample_version(self, name: str) -> int:
        """Returns the version of a balancer; counts it if it is a rollback."""
        address = self.fleet.balancers[name].status_address
        status = await _fleet.fetch_status(address)
        version = int(str(status.get("config", {}).get("version", -1)))
        if version >= 0:
            self.rollback_count += version < self._highest_versions.get(name, 0)
            self._highest_versions[name] = max(
                version, self._highest_versions.get(name, 0)
            )
        return version

    async def wait_ready_version(self, name: str) -> int:
        """Returns the version of a balancer once it is ready, -1 on timeout."""
        address = self.fleet.balancers[name].status_address
        client = httpclient.AsyncHTTPClient()
        deadline_ms = CLOCK.now_ms() + _TIMEOUT_MS
        while CLOCK.now_ms() < deadline_ms:
            with contextlib.suppress(OSError, httpclient.HTTPError):
                await client.fetch(f"http://{address}/readyz")
                return await self.sample_version(name)
            await CLOCK.sleep(_SAMPLE_INTERVAL_MS)
        return -1


@contextlib.asynccontextmanager
async def running_harness(
    seed: int, balancer_count: int = _BALANCER_COUNT
) -> AsyncIterator[ConfigHarness]:
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
        # Config readers are selected once all balancers know each other.
        await CLOCK.sleep(2_000)
        yield ConfigHarness(fleet, rng)
    finally:
        fleet.stop()


def activation_figure(times_ms: list[float]) -> Figure:
    """Returns the longest of the times as a figure with its target."""
    return Figure(
        "longest time until in force at every balancer",
        max(times_ms),
        "ms",
        MAX_ACTIVATION_MS,
    )


def zero_figure(name: str, count: int) -> Figure:
    """Returns a figure whose target is 0."""
    return Figure(name, count, "1", 0)
