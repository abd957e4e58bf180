"""Experiments on open flows under planned changes, kills and silent paths."""

import asyncio
import random
import signal
import time

from fireflyford import core
from fireflyford.lab import _callers
from fireflyford.lab import _faults
from fireflyford.lab import _fleet
from fireflyford.lab import _plain_client
from fireflyford.lab.experiments import _flow_experiment
from fireflyford.lab.experiments import _framework

_PAUSE_MS = 1_000
_FREEZE_RATIO = 0.3
_LONG_REQUEST_MS = 5_000
_DRAIN_LIMIT_MS = 9_000
# A draining target must receive no new work from this time on.
_NO_NEW_WORK_AFTER_MS = 3_000
_NEW_CONNECTION_COUNT = 20
# Smaller, since the fault proxy is one process that forwards every datagram.
_PROXIED_SCALE = _flow_experiment.Scale(feed_count=120)


class RollingBalancers(_flow_experiment.FlowExperiment):
    """Replaces every balancer, one after another."""

    name = "rolling-balancers"
    summary = "replaces every balancer while flows are open"

    async def disturb(
        self, run: _flow_experiment.FlowRun, rng: random.Random
    ) -> None:
        """Replaces the balancers."""
        balancers = list(run.fleet.balancers.values())
        for balancer in balancers[: self._scale.change_count]:
            exit_status = await run.fleet.replace_balancer(balancer)
            run.exit_statuses.append(exit_status)


class RollingBackends(_flow_experiment.FlowExperiment):
    """Replaces backend servers, one after another."""

    name = "rolling-backends"
    summary = "replaces backend servers while flows are open"

    async def disturb(
        self, run: _flow_experiment.FlowRun, rng: random.Random
    ) -> None:
        """Replaces randomly chosen targets."""
        targets = rng.sample(
            list(run.fleet.targets.values()), self._scale.change_count
        )
        for target in targets:
            run.exit_statuses.append(await run.fleet.replace_target(target))


class RollingBoth(_flow_experiment.FlowExperiment):
    """Replaces balancers and backend servers at the same time."""

    name = "rolling-both"
    summary = "replaces balancers and backend servers at the same time"

    async def disturb(
        self, run: _flow_experiment.FlowRun, rng: random.Random
    ) -> None:
        """Replaces both concurrently."""
        await asyncio.gather(
            RollingBalancers(self._scale).disturb(run, rng),
            RollingBackends(self._scale).disturb(run, rng),
        )


class KillBalancer(_flow_experiment.FlowExperiment):
    """Kills a balancer without notice."""

    name = "kill-balancer"
    summary = "kills one balancer without notice"

    async def disturb(
        self, run: _flow_experiment.FlowRun, rng: random.Random
    ) -> None:
        """Kills a randomly chosen balancer."""
        balancer = rng.choice(list(run.fleet.balancers.values()))
        run.fleet.kill(balancer.process)


class KillBackend(_flow_experiment.FlowExperiment):
    """Kills one target, and only the backend server of another."""

    name = "kill-backend"
    summary = "kills one target, and the backend server of another"
    max_unknown_requests = None

    async def disturb(
        self, run: _flow_experiment.FlowRun, rng: random.Random
    ) -> None:
        """Kills a whole target and a backend server of `tahian`."""
        targets = list(run.fleet.targets.values())
        killed, without_backend = rng.sample(
            [item for item in targets if item.service == "tahian"], 2
        )
        run.lost_feed_count = await run.feed_count(killed)
        run.fleet.kill_target(killed)
        run.fleet.kill(without_backend.backend)


class SilentPath(_flow_experiment.FlowExperiment):
    """Drops the datagrams of some open flows, but not those of new flows."""

    name = "silent-path"
    summary = "freezes three of ten open flows; new ones work"
    max_unknown_requests = None
    proxied = frozenset({"fabric"})
    full_scale = _PROXIED_SCALE

    async def disturb(
        self, run: _flow_experiment.FlowRun, rng: random.Random
    ) -> None:
        """Freezes flows on the links to all balancers."""
        del rng
        proxy = run.fleet.proxy
        assert proxy is not None
        faults = _faults.Faults(freeze_ratio=_FREEZE_RATIO)
        for balancer in run.fleet.balancers.values():
            for service in run.fleet.deployment.services:
                proxy.set_faults(
                    f"fabric/{balancer.name}/{service.name}", faults
                )
        scale = self._scale
        flow_count = scale.feed_count * scale.process_count
        # The number of frozen flows is binomial; the limit is five standard
        # deviations above its mean.
        mean_frozen_count = (flow_count + scale.fast_feed_count) * _FREEZE_RATIO
        self.max_broken_feeds = int(
            mean_frozen_count + 5 * mean_frozen_count**0.5
        )


class KillAndSilence(_flow_experiment.FlowExperiment):
    """Kills targets while the path drops datagrams of open flows."""

    name = "kill-and-silence"
    summary = "kills targets and freezes open flows at the same time"
    max_unknown_requests = None
    proxied = frozenset({"fabric"})
    full_scale = _PROXIED_SCALE

    async def disturb(
        self, run: _flow_experiment.FlowRun, rng: random.Random
    ) -> None:
        """Causes both faults."""
        silent_path = SilentPath(self._scale)
        await KillBackend(self._scale).disturb(run, rng)
        await silent_path.disturb(run, rng)
        self.max_broken_feeds = silent_path.max_broken_feeds


class PauseBackend(_flow_experiment.FlowExperiment):
    """Pauses a target for one second, which must not count as a failure."""

    name = "pause-backend"
    summary = "pauses one target for 1 s; nothing may break"

    async def disturb(
        self, run: _flow_experiment.FlowRun, rng: random.Random
    ) -> None:
        """Suspends and resumes agent and backend server of one target."""
        target = rng.choice(list(run.fleet.targets.values()))
        processes = (target.agent, target.backend)
        for process in processes:
            process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(_PAUSE_MS / 1000)
        for process in processes:
            process.send_signal(signal.SIGCONT)


class Drain(_flow_experiment.FlowExperiment):
    """Drains a target that is partitioned from all balancers.

    The target has a request in flight and an open feed of an HTTP/3 client
    that does not use the caller library.
    """

    name = "drain"
    summary = "drains a target that is cut off from all balancers"
    proxied = frozenset({"control"})
    full_scale = _PROXIED_SCALE
    drain_limit_ms = _DRAIN_LIMIT_MS

    async def run(self, seed: int) -> _framework.Result:
        """Runs the experiment once."""
        self._drain_figures: tuple[_framework.Figure, ...] = ()
        result = await super().run(seed)
        return _framework.Result(
            self.name, seed, (*result.figures, *self._drain_figures)
        )

    async def disturb(
        self, run: _flow_experiment.FlowRun, rng: random.Random
    ) -> None:
        """Partitions a target, drains it and measures what it still accepts."""
        target = next(
            item
            for item in run.fleet.targets.values()
            if item.service == "padron"
        )
        plain_feed = await _plain_client.open_on_target(
            run.fleet, target, "/feed"
        )
        long_request = await _plain_client.open_on_target(
            run.fleet, target, f"/sheets/long?ms={_LONG_REQUEST_MS}"
        )
        _drop_control_traffic(run, target)
        start_ms = time.time() * 1000
        stopping = asyncio.create_task(run.fleet.remove_target(target))
        failed_count = await _count_failed_connections(run, target)
        await asyncio.sleep(1)
        exit_status = await stopping
        run.exit_statuses.append(exit_status)
        plain_ms = await plain_feed.wait_closed_ms() - start_ms
        late_executions = [
            item
            for item in run.fleet.executions()
            if item["backend"] == target.name
            and float(str(item["wall_ms"])) > start_ms + _NO_NEW_WORK_AFTER_MS
        ]
        at_most, at_least = _framework.Bound.AT_MOST, _framework.Bound.AT_LEAST
        self._drain_figures = (
            _framework.Figure(
                "executions after 3 s", len(late_executions), "1", 0, at_most
            ),
            _framework.Figure(
                "request in flight complete",
                float(await long_request.is_complete()),
                "1",
                1,
                at_least,
            ),
            _framework.Figure(
                "new connections refused", failed_count, "1", 0, at_most
            ),
            _framework.Figure(
                "plain feed kept", plain_ms, "ms", _DRAIN_LIMIT_MS, at_least
            ),
        )


def _drop_control_traffic(
    run: _flow_experiment.FlowRun, target: _fleet.Target
) -> None:
    """Drops the control traffic between a target and all balancers."""
    proxy = run.fleet.proxy
    assert proxy is not None
    for balancer in run.fleet.balancers.values():
        proxy.set_faults(
            f"control/{balancer.name}",
            _faults.Faults(cut=_faults.Cut.BOTH),
            str(target.control_listen),
        )


async def _count_failed_connections(
    run: _flow_experiment.FlowRun, target: _fleet.Target
) -> int:
    """Opens connections while the balancers still choose the target.

    Returns:
        The number of connections on which a request failed.
    """
    service = run.fleet.deployment.service(target.service)
    assert service is not None
    failed_count = 0
    for _ in range(_NEW_CONNECTION_COUNT):
        client = _callers.make_client(run.fleet, service)
        try:
            async with asyncio.timeout(2), client.connect() as connection:
                outcome = await client.request(connection, "GET", "/sheets/n")
                failed_count += not isinstance(outcome, core.Ok)
        except (OSError, TimeoutError):
            failed_count += 1
    return failed_count


EXPERIMENTS: tuple[_framework.Experiment, ...] = (
    RollingBalancers(),
    RollingBackends(),
    RollingBoth(),
    KillBalancer(),
    KillBackend(),
    SilentPath(),
    KillAndSilence(),
    PauseBackend(),
    Drain(),
)
