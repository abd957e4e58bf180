"""Lifecycle of a balancer process."""

import asyncio
import dataclasses
import random
import signal
import sys

from fireflyford import config
from fireflyford import core
from fireflyford import membership
from fireflyford import settings
from fireflyford import store
from fireflyford import telemetry
from fireflyford.balancer import _configuration
from fireflyford.balancer import _forwarding

# The fabric and the agents need this time to stop using a draining balancer;
# their health checks and heartbeats run every 500 ms.
MIN_DRAIN_MS = 2_000
# Without datagrams from callers for this time, the fabric no longer uses the
# balancer. Callers with incomplete responses send at least every 700 ms.
QUIET_PERIOD_MS = 1_500
_DRAIN_POLL_MS = 50


class Balancer:
    """A balancer with its sockets and its membership view."""

    def __init__(
        self,
        options: settings.BalancerSettings,
        clock: core.Clock,
        deployment: config.Deployment | None = None,
    ) -> None:
        """Initializes a balancer.

        Args:
            options: Validated settings.
            clock: Source of time.
            deployment: Configuration that applies until a pushed version is in
                force.
        """
        self._options = options
        self._clock = clock
        self._forwarding = _forwarding.Forwarding(options, clock)
        self._counters = self._forwarding.counters
        self._bulk_server = membership.BulkServer(options.link_key)
        self._channel = membership.UdpChannel(
            options.link_key, self._bulk_server
        )
        self._membership = membership.Membership(
            clock,
            self._channel,
            _own_member(options, clock),
            [core.Address.parse(seed) for seed in options.seeds],
        )
        self._deployment = deployment
        self._configuration = _configuration.Configuration(
            options, clock, self._membership, self._apply_deployment
        )
        self._follower = self._configuration.follower
        self._bulk_server.register(
            store.CONFIG_TOPIC, self._follower.handle_pull
        )
        self._stopping = asyncio.Event()

    async def run(self) -> None:
        """Runs until a graceful shutdown is complete."""
        await self._open_sockets()
        self._membership.on_change(self._apply_view)
        self._membership.on_config_version(lambda *_: self._follower.notify())
        self._membership.on_withdrawal(self._stopping.set)
        meter = self._make_meter()
        status = telemetry.serve_status(
            core.Address.parse(self._options.status_address),
            meter,
            ready=lambda: not self._stopping.is_set() and self._follower.synced,
            status=self._status,
            drain=self._start_drain,
            pages={"/config": self._render_config},
        )
        self._install_signal_handlers()
        telemetry.log("started", role="balancer")
        bulk_address = core.Address.parse(self._options.bulk_address)
        tasks = [
            asyncio.create_task(self._membership.run()),
            asyncio.create_task(self._bulk_server.run(bulk_address)),
            asyncio.create_task(self._configuration.run()),
        ]
        for task in tasks:
            task.add_done_callback(telemetry.log_task_failure)
        await self._stopping.wait()
        await self._drain()
        for task in tasks:
            task.cancel()
        self._forwarding.stop()
        status.stop()
        telemetry.log("stopped", role="balancer")

    async def _drain(self) -> None:
        """Keeps forwarding until the fabric no longer uses this balancer."""
        start_ms = self._clock.now_ms()
        limit_ms = start_ms + self._options.drain_limit_ms
        self._membership.update(state=membership.State.DRAINING)
        received_count, last_received_ms = (
            self._counters.received_count,
            start_ms,
        )
        while True:
            await self._clock.sleep(_DRAIN_POLL_MS)
            now_ms = self._clock.now_ms()
            if self._counters.received_count != received_count:
                received_count, last_received_ms = (
                    self._counters.received_count,
                    now_ms,
                )
            is_quiet = now_ms - last_received_ms >= QUIET_PERIOD_MS
            if is_quiet and now_ms - start_ms >= MIN_DRAIN_MS:
                break
            if now_ms >= limit_ms:
                telemetry.log(
                    "drain-limit-reached", quiet_ms=now_ms - last_received_ms
                )
                break
        self._membership.update(state=membership.State.LEFT)

    def _apply_deployment(self, deployment: config.Deployment) -> None:
        self._deployment = deployment
        self._forwarding.apply_deployment(deployment)

    def _render_config(self) -> str:
        deployment = self._deployment
        return "" if deployment is None else config.render(deployment)

    def _apply_view(self, view: membership.View) -> None:
        self._follower.notify()
        self._forwarding.apply_view(view)

    async def _open_sockets(self) -> None:
        await self._channel.open(self._options.control_listen)
        self._forwarding.start(self._deployment)

    def _install_signal_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._on_signal)

    def _start_drain(self) -> None:
        if not self._stopping.is_set():
            telemetry.log("draining", role="balancer")
            self._stopping.set()

    def _on_signal(self) -> None:
        if self._stopping.is_set():
            telemetry.log("stopped-early", role="balancer")
            sys.exit(1)
        self._start_drain()

    def _make_meter(self) -> telemetry.Meter:
        meter = telemetry.Meter()
        counters = self._counters
        meter.counter("to_agent_datagrams", lambda: counters.to_agent_count)
        meter.counter("to_caller_datagrams", lambda: counters.to_caller_count)
        meter.counter("malformed_datagrams", lambda: counters.malformed_count)
        meter.counter("foreign_datagrams", lambda: counters.foreign_count)
        meter.counter("no_target_datagrams", lambda: counters.no_target_count)
        meter.counter(
            "control_sent_bytes", lambda: self._channel.sent_bytes, "By"
        )
        meter.counter(
            "control_received_bytes",
            lambda: self._channel.received_bytes,
            "By",
        )
        meter.gauge("config_version", lambda: self._follower.version)
        return meter

    def _status(self) -> dict[str, object]:
        view = self._membership.view()
        return {
            "instance_id": self._options.instance_id,
            "role": "balancer",
            "draining": self._stopping.is_set(),
            "counters": vars(self._counters),
            "config": self._follower.status(),
            "members": {
                name: {
                    "role": member.role.value,
                    "service": member.service,
                    "state": member.state.name.lower(),
                    "weight": member.weight,
                    "availability_zone": member.availability_zone,
                    "incarnation": member.link_incarnation,
                    "config_version": member.config_version,
                    "link_address": str(member.link_address),
                    "status_address": str(member.status_address),
                }
                for name, member in view.members.items()
            },
        }


def _own_member(
    options: settings.BalancerSettings, clock: core.Clock
) -> membership.Member:
    return membership.Member(
        instance_id=options.instance_id,
        role=core.Role.BALANCER,
        region=options.region,
        availability_zone=options.availability_zone,
        service="",
        link_address=core.Address.parse(options.link_address),
        control_address=core.Address.parse(options.control_address),
        bulk_address=core.Address.parse(options.bulk_address),
        status_address=core.Address.parse(options.status_address),
        incarnation=membership.new_incarnation(clock, random.SystemRandom()),
        weight=options.capacity_weight,
    )


def run(options: settings.BalancerSettings) -> core.Outcome[None]:
    """Runs a balancer until it is stopped."""
    telemetry.configure_logs(sys.stderr, options.instance_id)
    loaded = _configuration.load_file(options.config_path)
    if isinstance(loaded, core.Failure):
        return loaded
    asyncio.run(_run(options, loaded.value))
    return core.Ok(None)


async def _run(
    options: settings.BalancerSettings, deployment: config.Deployment | None
) -> None:
    seeds = await store.find_seeds(options.seeds, options.store_addresses)
    options = dataclasses.replace(options, seeds=seeds)
    await Balancer(options, core.SystemClock(), deployment).run()
