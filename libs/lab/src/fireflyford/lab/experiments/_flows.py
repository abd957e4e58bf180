"""Open flows through planned changes, kills and silent paths."""

import asyncio
import random
import signal
import time

from fireflyford import core
from fireflyford.lab import _callers
from fireflyford.lab import _faults
from fireflyford.lab import _fleet
from fireflyford.lab import _plain_client
from fireflyford.lab.experiments import _flow_run
from fireflyford.lab.experiments import _framework

_PAUSE_MS = 1_000
_FROZEN_RATIO = 0.3
_LONG_WORK_MS = 5_000
_DRAIN_LIMIT_MS = 9_000
# A leaving target gets no new work after this.
_LEAVE_BOUND_MS = 3_000
_NEW_CONNECTIONS = 20
# The fault proxy is one process and carries every datagram.
_PROXIED_SCALE = _flow_run.Scale(feed_count=120)


class RollingBalancers(_flow_run.FlowExperiment):
    """Every balancer is replaced, one after another."""

    name = "rolling-balancers"
    summary = "replaces every balancer while flows are open"

    async def disturb(self, run: _flow_run.FlowRun, rng: random.Random) -> None:
        """Replaces every balancer."""
        balancers = list(run.fleet.balancers.values())
        for balancer in balancers[: self._scale.change_count]:
            code = await run.fleet.replace_balancer(balancer)
            run.exit_codes.append(code)


class RollingBackends(_flow_run.FlowExperiment):
    """Backend servers are replaced, one after another."""

    name = "rolling-backends"
    summary = "replaces backend servers while flows are open"

    async def disturb(self, run: _flow_run.FlowRun, rng: random.Random) -> None:
        """Replaces randomly chosen targets."""
        targets = rng.sample(
            list(run.fleet.targets.values()), self._scale.change_count
        )
        for target in targets:
            run.exit_codes.append(await run.fleet.replace_target(target))


class RollingBoth(_flow_run.FlowExperiment):
    """Balancers and backend servers are replaced at the same time."""

    name = "rolling-both"
    summary = "replaces balancers and backend servers at the same time"

    async def disturb(self, run: _flow_run.FlowRun, rng: random.Random) -> None:
        """Replaces both kinds together."""
        await asyncio.gather(
            RollingBalancers(self._scale).disturb(run, rng),
            RollingBackends(self._scale).disturb(run, rng),
        )


class KillBalancer(_flow_run.FlowExperiment):
    """A balancer dies without notice."""

    name = "kill-balancer"
    summary = "kills one balancer without notice"

    async def disturb(self, run: _flow_run.FlowRun, rng: random.Random) -> None:
        """Kills one balancer."""
        victim = rng.choice(list(run.fleet.balancers.values()))
        run.fleet.kill(victim.process)


class KillBackend(_flow_run.FlowExperiment):
    """One target dies without notice, another loses its backend server."""

    name = "kill-backend"
    summary = "kills one target, and the backend server of another"
    unknown_target = None

    async def disturb(self, run: _flow_run.FlowRun, rng: random.Random) -> None:
        """Kills a whole target and a backend server."""
        targets = list(run.fleet.targets.values())
        whole, half = rng.sample(
            [item for item in targets if item.service == "tahian"], 2
        )
        run.lost_feed_count = await run.feed_count(whole)
        run.fleet.kill_target(whole)
        run.fleet.kill(half.backend)


class SilentPath(_flow_run.FlowExperiment):
    """Open flows stop passing datagrams while new ones work."""

    name = "silent-path"
    summary = "freezes three of ten open flows; new ones work"
    unknown_target = None
    proxied = frozenset({"fabric"})
    full_scale = _PROXIED_SCALE

    async def disturb(self, run: _flow_run.FlowRun, rng: random.Random) -> None:
        """Freezes the same flows in front of all balancers."""
        del rng
        proxy = run.fleet.proxy
        assert proxy is not None
        faults = _faults.Faults(freeze_ratio=_FROZEN_RATIO)
        for balancer in run.fleet.balancers.values():
            for service in run.fleet.deployment.services:
                proxy.set_faults(
                    f"fabric/{balancer.name}/{service.name}", faults
                )
        scale = self._scale
        flow_count = scale.feed_count * scale.process_count
        # A binomial draw; five standard deviations above its mean.
        mean = (flow_count + scale.fast_feed_count) * _FROZEN_RATIO
        self.broken_target = int(mean + 5 * mean**0.5)


class KillAndSilence(_flow_run.FlowExperiment):
    """A target dies while open flows stop passing datagrams."""

    name = "kill-and-silence"
    summary = "kills targets and freezes open flows at the same time"
    unknown_target = None
    proxied = frozenset({"fabric"})
    full_scale = _PROXIED_SCALE

    async def disturb(self, run: _flow_run.FlowRun, rng: random.Random) -> None:
        """Causes both."""
        silence = SilentPath(self._scale)
        await KillBackend(self._scale).disturb(run, rng)
        await silence.disturb(run, rng)
        self.broken_target = silence.broken_target


class PauseBackend(_flow_run.FlowExperiment):
    """A target pauses for a second, which is no failure."""

    name = "pause-backend"
    summary = "pauses one target for 1 s; nothing may break"

    async def disturb(self, run: _flow_run.FlowRun, rng: random.Random) -> None:
        """Stops and continues agent and backend server of one target."""
        target = rng.choice(list(run.fleet.targets.values()))
        processes = (target.agent, target.backend)
        for process in processes:
            process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(_PAUSE_MS / 1000)
        for process in processes:
            process.send_signal(signal.SIGCONT)


class Drain(_flow_run.FlowExperiment):
    """A target that no balancer hears from leaves as planned.

    It has a request in flight and the feed of a plain HTTP/3 client.
    """

    name = "drain"
    summary = "drains a target that is cut off from all balancers"
    proxied = frozenset({"control"})
    full_scale = _PROXIED_SCALE
    drain_limit_ms = _DRAIN_LIMIT_MS

    async def run(self, seed: int) -> _framework.Result:
        """Runs once."""
        self._extra: tuple[_framework.Figure, ...] = ()
        result = await super().run(seed)
        return _framework.Result(
            self.name, seed, (*result.figures, *self._extra)
        )

    async def disturb(self, run: _flow_run.FlowRun, rng: random.Random) -> None:
        """Cuts off a target, drains it and watches what it takes."""
        target = next(
            item
            for item in run.fleet.targets.values()
            if item.service == "padron"
        )
        plain = await _plain_client.open_on_target(run.fleet, target, "/feed")
        work = await _plain_client.open_on_target(
            run.fleet, target, f"/sheets/long?ms={_LONG_WORK_MS}"
        )
        _cut_off(run, target)
        start_ms = time.time() * 1000
        stopping = asyncio.create_task(run.fleet.remove_target(target))
        newcomers = await _open_newcomers(run, target)
        await asyncio.sleep(1)
        code = await stopping
        run.exit_codes.append(code)
        plain_ms = await plain.wait_closed_ms() - start_ms
        late = [
            item
            for item in run.fleet.executions()
            if item["backend"] == target.name
            and float(str(item["wall_ms"])) > start_ms + _LEAVE_BOUND_MS
        ]
        at_most, at_least = _framework.Bound.AT_MOST, _framework.Bound.AT_LEAST
        self._extra = (
            _framework.Figure(
                "executions after 3 s", len(late), "1", 0, at_most
            ),
            _framework.Figure(
                "request in flight complete",
                float(await work.is_complete()),
                "1",
                1,
                at_least,
            ),
            _framework.Figure(
                "new connections refused", newcomers, "1", 0, at_most
            ),
            _framework.Figure(
                "plain feed kept", plain_ms, "ms", _DRAIN_LIMIT_MS, at_least
            ),
        )


def _cut_off(run: _flow_run.FlowRun, target: _fleet.Target) -> None:
    """Cuts the control traffic between a target and all balancers."""
    proxy = run.fleet.proxy
    assert proxy is not None
    for balancer in run.fleet.balancers.values():
        proxy.set_faults(
            f"control/{balancer.name}",
            _faults.Faults(cut=_faults.Cut.BOTH),
            str(target.control_listen),
        )


async def _open_newcomers(run: _flow_run.FlowRun, target: _fleet.Target) -> int:
    """Opens connections while the balancers still use the target.

    Returns:
        How many could not be used.
    """
    service = run.fleet.deployment.service(target.service)
    assert service is not None
    failed = 0
    for _ in range(_NEW_CONNECTIONS):
        client = _callers.make_client(run.fleet, service)
        try:
            async with asyncio.timeout(2), client.connect() as connection:
                outcome = await client.request(connection, "GET", "/sheets/n")
                failed += not isinstance(outcome, core.Ok)
        except (OSError, TimeoutError):
            failed += 1
    return failed


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
