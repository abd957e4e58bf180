"""Environment of scenarios that run on real processes."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import random
import signal
import subprocess

from fireflyford import caller
from fireflyford import core
from fireflyford.lab import _callers
from fireflyford.lab import _deployments
from fireflyford.lab import _faults
from fireflyford.lab import _fleet
from fireflyford.lab.experiments import _config_harness
from fireflyford.lab.scenarios import _environment
from fireflyford.lab.scenarios import _load

_FEED_INTERVAL_MS = 200
_POLL_INTERVAL_MS = 100
# Every link between the fabric and the balancers passes the fault proxy.
_PROXIED = frozenset({"fabric"})


class ProcessEnvironment(_environment.Environment):
    """A fleet of real processes with callers, faults and figures."""

    def __init__(self, seed: int) -> None:
        """Initializes the environment with the seed of all random choices."""
        self._rng = random.Random(seed)
        self._fleet: _fleet.Fleet | None = None
        self._harness: _config_harness.ConfigHarness | None = None
        self._feeds: list[_callers.CallerGroup] = []
        self._loads: list[_load.RequestLoad] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._actions: list[asyncio.Task[None]] = []
        self._feed_statistics = _callers.CallerStatistics()
        self._misrouted: dict[str, int] = {}
        self._config_delays_ms: list[float] = []
        self._lost_push_count = 0
        self._finished = False

    @property
    def fleet(self) -> _fleet.Fleet:
        """The running fleet.

        Raises:
            RuntimeError: The scenario has not deployed anything yet.
        """
        if self._fleet is None:
            raise RuntimeError("the first step must be a deployment")
        return self._fleet

    @property
    def harness(self) -> _config_harness.ConfigHarness:
        """Pushes and samples configuration versions.

        Raises:
            RuntimeError: The scenario has not deployed anything yet.
        """
        if self._harness is None:
            raise RuntimeError("the first step must be a deployment")
        return self._harness

    def close(self) -> None:
        """Stops all tasks and processes."""
        for task in [*self._tasks, *self._actions]:
            task.cancel()
        for feeds in self._feeds:
            feeds.cancel()
        if self._fleet is not None:
            self._fleet.stop()

    async def deploy(self, deployment: str, balancer_count: int) -> None:
        """Starts a deployment.

        Raises:
            ValueError: There is no deployment of that name.
        """
        found = _deployments.DEPLOYMENTS.get(deployment)
        if found is None:
            names = ", ".join(_deployments.DEPLOYMENTS)
            raise ValueError(f"no deployment {deployment}; there are {names}")
        self._fleet = _fleet.Fleet(found, self._rng, balancer_count, _PROXIED)
        await self._fleet.start()
        self._harness = _config_harness.ConfigHarness(self._fleet, self._rng)
        self._tasks.append(asyncio.create_task(self._fleet.check_health()))
        self._tasks.append(asyncio.create_task(self._poll_instances()))

    async def wait(self, duration_s: float) -> None:
        """Waits while the load runs."""
        await asyncio.sleep(duration_s)

    async def add_feeds(self, service: str, count: int) -> None:
        """Opens feeds and waits until they deliver events."""
        load = _callers.CallerLoad(count, feed_interval_ms=_FEED_INTERVAL_MS)
        name = f"feeds-{len(self._feeds)}"
        feeds = _callers.CallerGroup(self._client(service), load, name)
        self._feeds.append(feeds)
        await feeds.open()

    def add_requests(
        self, service: str, kind: str, rate_per_s: float, nominal_ms: float
    ) -> None:
        """Starts sending orders or sheets at a constant rate until the end."""
        name = f"{kind}-{len(self._loads)}"
        load = _load.RequestLoad(self._client(service), name, kind, rate_per_s)
        self._loads.append(load)
        self._tasks.append(asyncio.create_task(load.run(nominal_ms)))

    def random_delay_s(self, limit_s: float) -> float:
        """Returns a random delay that follows from the seed."""
        return self._rng.uniform(0, limit_s)

    def schedule_action(
        self, action: str, service: str, values: list[float]
    ) -> None:
        """Performs an action in the background after `values[0]` seconds."""

        async def perform_later() -> None:
            await asyncio.sleep(values[0])
            await self.perform_action(action, service, values[1:])

        self._actions.append(asyncio.create_task(perform_later()))

    async def perform_action(
        self, action: str, service: str, values: list[float]
    ) -> None:
        """Performs a change or a fault."""
        handlers: dict[str, Callable[[str, list[float]], Awaitable[None]]] = {
            "kill_balancer": self._kill_balancer,
            "kill_backend": self._kill_backend,
            "kill_agent": self._kill_agent,
            "replace_balancer": self._replace_balancer,
            "replace_balancers": self._replace_balancers,
            "replace_target": self._replace_target,
            "replace_targets": self._replace_targets,
            "drain_target": self._drain_target,
            "add_balancer": self._add_balancer,
            "add_target": self._add_target,
            "pause_balancer": self._pause_balancer,
            "pause_agent": self._pause_agent,
            "pause_backend": self._pause_backend,
            "store_down": self._store_down,
            "store_slow": self._store_slow,
            "store_lost_answer": self._store_lost_answer,
            "store_lease": self._store_lease,
            "lose_datagrams": self._lose_datagrams,
            "forget_flows": self._forget_flows,
            "push_config": self._push_config,
            "push_race": self._push_race,
        }
        await handlers[action](service, values)

    async def finish(self) -> None:
        """Waits for background actions, then stops the load."""
        if self._finished:
            return
        self._finished = True
        await asyncio.gather(*self._actions)
        parts = [await feeds.stop() for feeds in self._feeds]
        self._feed_statistics = _callers.merge_statistics(parts)
        # The first two tasks, health checks and polling, run until `close`.
        for task in self._tasks[2:]:
            task.cancel()
        for load in self._loads:
            await load.finish()

    async def measure(self, name: str) -> float:
        """Returns the value of a figure; times are in ms."""
        feeds = self._feed_statistics
        counts: collections.Counter[str] = collections.Counter()
        for load in self._loads:
            counts.update(load.counts)
        executed = collections.Counter(
            str(item["body"]) for item in self.fleet.executions()
        )
        refused: set[str] = set()
        refused.update(*(load.refused_bodies for load in self._loads))
        figures = {
            "broken_feeds": feeds.broken,
            "feed_gaps": feeds.gaps,
            "feed_duplicates": feeds.duplicates,
            "feed_silence": feeds.longest_silence_ms,
            "wrong_answers": counts["wrong"],
            "complete_answers": counts["complete"],
            "refused_requests": counts["refused"],
            "unknown_outcomes": counts["unknown"],
            "false_refusals": len(refused & executed.keys()),
            "repeated_runs": sum(
                count - 1 for body, count in executed.items() if body
            ),
            "misrouted_packets": sum(self._misrouted.values()),
            "orders_p99": self._p99_ms("orders"),
            "sheets_p99": self._p99_ms("sheets"),
            "config_delay": max(self._config_delays_ms, default=0.0),
            "lost_pushes": self._lost_push_count,
            "config_reversions": self.harness.rollback_count,
        }
        return float(figures[name])

    def _p99_ms(self, kind: str) -> float:
        values = sorted(
            value
            for load in self._loads
            if load.kind == kind
            for value in load.elapsed_ms
        )
        return values[int(0.99 * (len(values) - 1))] if values else 0.0

    def _client(self, service: str) -> caller.Client:
        found = self.fleet.deployment.service(service)
        if found is None:
            raise ValueError(f"no service {service} in the deployment")
        return _callers.make_client(self.fleet, found)

    async def _poll_instances(self) -> None:
        """Polls counts of misrouted datagrams and configuration versions."""
        addresses: dict[str, core.Address] = {}
        while True:
            for target in list(self.fleet.targets.values()):
                addresses[target.name] = target.status_address
            for name, address in addresses.items():
                status = await _fleet.fetch_status(address)
                if status:
                    counters = status["counters"]
                    self._misrouted[name] = counters["misrouted_count"]
            for name in list(self.fleet.balancers):
                await self.harness.sample_version(name)
            await asyncio.sleep(_POLL_INTERVAL_MS / 1000)

    def _choose_balancer(self) -> _fleet.BalancerProcess:
        running = [
            item
            for item in self.fleet.balancers.values()
            if item.process.poll() is None
        ]
        return self._rng.choice(running)

    def _choose_target(self, service: str) -> _fleet.Target:
        targets = [
            item
            for item in self.fleet.targets.values()
            if item.service == service and item.agent.poll() is None
        ]
        if not targets:
            raise ValueError(f"no running target of {service}")
        return self._rng.choice(targets)

    async def _kill_balancer(self, service: str, values: list[float]) -> None:
        balancer = self._choose_balancer()
        self.fleet.kill(balancer.process)
        self.fleet.balancers.pop(balancer.name)

    async def _kill_backend(self, service: str, values: list[float]) -> None:
        self.fleet.kill(self._choose_target(service).backend)

    async def _kill_agent(self, service: str, values: list[float]) -> None:
        target = self._choose_target(service)
        self.fleet.targets.pop(target.name)
        self.fleet.kill(target.agent)

    async def _replace_balancer(
        self, service: str, values: list[float]
    ) -> None:
        await self.fleet.replace_balancer(self._choose_balancer())

    async def _replace_balancers(
        self, service: str, values: list[float]
    ) -> None:
        for balancer in list(self.fleet.balancers.values()):
            await self.fleet.replace_balancer(balancer)

    async def _replace_target(self, service: str, values: list[float]) -> None:
        await self.fleet.replace_target(self._choose_target(service))

    async def _replace_targets(self, service: str, values: list[float]) -> None:
        for target in list(self.fleet.targets.values()):
            if target.service == service:
                await self.fleet.replace_target(target)

    async def _drain_target(self, service: str, values: list[float]) -> None:
        await self.fleet.remove_target(self._choose_target(service))

    async def _add_balancer(self, service: str, values: list[float]) -> None:
        self.fleet.start_balancer()
        await self.fleet.wait_for_discovery()

    async def _add_target(self, service: str, values: list[float]) -> None:
        self.fleet.start_target(service)
        await self.fleet.wait_for_discovery()

    async def _pause_balancer(self, service: str, values: list[float]) -> None:
        await _pause(self._choose_balancer().process, values[0])

    async def _pause_agent(self, service: str, values: list[float]) -> None:
        await _pause(self._choose_target(service).agent, values[0])

    async def _pause_backend(self, service: str, values: list[float]) -> None:
        await _pause(self._choose_target(service).backend, values[0])

    async def _store_down(self, service: str, values: list[float]) -> None:
        await self.harness.set_store_faults(down=True)
        await asyncio.sleep(values[0])
        await self.harness.set_store_faults(down=False)

    async def _store_slow(self, service: str, values: list[float]) -> None:
        await self.harness.set_store_faults(slow_ms=values[0])
        await asyncio.sleep(values[1])
        await self.harness.set_store_faults(slow_ms=0)

    async def _store_lost_answer(
        self, service: str, values: list[float]
    ) -> None:
        await self.harness.set_store_faults(lose_answer_count=1)

    async def _store_lease(self, service: str, values: list[float]) -> None:
        await self.harness.set_store_faults(lapse_leases=True)

    async def _lose_datagrams(self, service: str, values: list[float]) -> None:
        self._set_faults(_faults.Faults(loss_ratio=values[0] / 100))
        await asyncio.sleep(values[1])
        self._set_faults(_faults.Faults())

    async def _forget_flows(self, service: str, values: list[float]) -> None:
        self._set_faults(_faults.Faults(freeze_ratio=1.0))

    def _set_faults(self, faults: _faults.Faults) -> None:
        proxy = self.fleet.proxy
        if proxy is None:
            raise RuntimeError(
                "datagram faults need a fleet with a fault proxy"
            )
        for name in proxy.status():
            proxy.set_faults(name, faults)

    async def _push_config(self, service: str, values: list[float]) -> None:
        base = self.harness.accepted_version
        await self._push_and_measure(base, 1)

    async def _push_race(self, service: str, values: list[float]) -> None:
        base = self.harness.accepted_version
        await self._push_and_measure(base, 2)

    async def _push_and_measure(self, base: int, operator_count: int) -> None:
        activation = asyncio.create_task(
            self.harness.measure_activation_ms(base + 1)
        )
        outcomes = await asyncio.gather(
            *(
                self.harness.push(base, f"operator-{index}")
                for index in range(operator_count)
            )
        )
        winners = [item for item in outcomes if isinstance(item, core.Ok)]
        if not winners:
            activation.cancel()
            return
        # Two accepted pushes on one base mean that one was overwritten.
        self._lost_push_count += len(winners) - 1
        self._config_delays_ms.append(await activation)


async def _pause(process: subprocess.Popen[bytes], duration_s: float) -> None:
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(duration_s)
    process.send_signal(signal.SIGCONT)
