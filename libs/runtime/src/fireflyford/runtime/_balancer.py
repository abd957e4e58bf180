"""Life of a balancer process that forwards packets of flows."""

import asyncio
from typing import Any

from fireflyford import core
from fireflyford import flows
from fireflyford import telemetry
from fireflyford.runtime import _config_source
from fireflyford.runtime import _link
from fireflyford.runtime import _packets
from fireflyford.runtime import _process
from fireflyford.runtime import _settings

# The fabric stops using a balancer after two failed readiness checks, which
# come twice a second.
LEAVE_DELAY_MS = 1_200
# No client packet for so long means that the fabric has stopped.
QUIET_MS = 300
_DRAIN_POLL_MS = 50
# A balancer that hears no agent for so long cannot forward. Each agent sends a
# beat about every second, so several agents together are never so silent.
DEAF_MS = 1_000
SEVERAL_AGENTS = 4
# With fewer agents, some beats of each may be lost.
FEW_AGENTS_DEAF_MS = 3_500


class Balancer(_process.FlowProcess):
    """One balancer."""

    role = core.Role.BALANCER

    def __init__(
        self,
        options: _settings.FlowSettings,
        front_end: _packets.FrontEnd,
        clock: core.Clock,
    ) -> None:
        """Prepares a balancer.

        Args:
            options: Settings of a balancer.
            front_end: Encodings and calls of the surroundings.
            clock: Source of time.
        """
        super().__init__(options, front_end, clock, "")
        self.flows = flows.BalancerFlows(clock, self.own, self.fleet)
        self.config = _config_source.ConfigSource(
            self.store,
            clock,
            self.rng,
            options.config_key,
            front_end.config_format,
            self.flows.apply,
        )
        self._codec = front_end.packets
        self._clients = _link.DatagramSocket(self._take_packet)
        self._taken_ms = clock.now_ms()
        self._wanted: dict[core.Address, int] = {}
        self._news = asyncio.Event()
        self._agent_heard_ms: int | None = None

    async def run(self) -> None:
        """Runs until a signal ends the process."""
        await self._clients.open(local=self.options.packet_address)
        self.listen(
            self.options.readiness_check_address,
            self.front_end.readiness_handlers(self.is_ready),
        )
        await self.start()
        self.start_task("config", self.config.follower.run())
        self.start_task("pull", self._pull())
        await self.stopping.wait()
        await self._drain()
        self._clients.close()
        await self.finish()

    def is_ready(self) -> bool:
        """Returns whether the fabric should send packets here."""
        if self.stopping.is_set() or not self.flows.version:
            return False
        heard_ms = self._agent_heard_ms
        if heard_ms is None:
            return False
        limit_ms = DEAF_MS
        if self.fleet.agent_count() < SEVERAL_AGENTS:
            limit_ms = FEW_AGENTS_DEAF_MS
        return self.clock.now_ms() - heard_ms < limit_ms

    async def _drain(self) -> None:
        """Forwards until the fabric has stopped using this balancer."""
        while True:
            await self.clock.sleep(_DRAIN_POLL_MS)
            now_ms = self.clock.now_ms()
            quiet = now_ms - self._taken_ms >= QUIET_MS
            if quiet and now_ms - self.stopped_ms >= LEAVE_DELAY_MS:
                break
            if self.grace_left_ms() <= 0:
                telemetry.log("drain-limit-reached")
                break
        await self.leave()

    def _take_packet(self, data: bytes, sender: core.Address) -> None:
        del sender
        self._taken_ms = self.clock.now_ms()
        outcome = self._codec.from_client(data)
        if isinstance(outcome, core.Failure):
            self.link.counters.malformed_count += 1
            return
        self.link.run(self.flows.receive(outcome.value))

    def hear(self, sender: core.Address, message: flows.Message) -> None:
        """Handles a message of another instance, or of this one."""
        if isinstance(message, flows.Heartbeat):
            self.greet(message)
            if message.config_version > self.flows.version:
                self._wanted[sender] = message.config_version
                self._news.set()
        self.link.run(self.flows.handle_message(sender, message))
        if self.fleet.is_agent(sender):
            self._agent_heard_ms = self.clock.now_ms()

    def sweep(self) -> None:
        """Acts on timeouts."""
        follower = self.config.follower
        self.flows.is_current = (
            follower.heard_ms is not None and not follower.is_lost
        )
        self.link.run(self.flows.sweep())

    def beat_receivers(self) -> list[core.Address]:
        """Returns all other instances."""
        return [item.address for item in self.fleet.instances()]

    def config_version(self) -> int:
        """Returns the version of the configuration in force."""
        return self.flows.version

    async def join_from(self, seed: core.Address) -> None:
        """Takes instances and configuration of a running instance."""
        await super().join_from(seed)
        if not self.flows.version:
            await self._pull_from(seed)

    async def _pull(self) -> None:
        """Gets configurations that peers have and the store did not tell."""
        while True:
            await self._news.wait()
            self._news.clear()
            while self._wanted:
                sender, version = self._wanted.popitem()
                if version > self.flows.version:
                    await self._pull_from(
                        core.Address(
                            sender.host, self.options.status_address.port
                        )
                    )

    async def _pull_from(self, address: core.Address) -> None:
        outcome = await self.pages.read(address, _config_source.CONFIG_PATH)
        if isinstance(outcome, core.Failure):
            telemetry.log("config-not-pulled", reason=outcome.message)
        elif outcome.value:
            self.config.offer(outcome.value, str(address))

    def status_rules(self) -> list[Any]:
        """Returns the configuration for peers."""
        return [
            (
                _config_source.CONFIG_PATH,
                _process.Page,
                {"read": lambda: self.config.document},
            )
        ]

    def status(self) -> dict[str, Any]:
        """Returns the state of the process for operators."""
        return super().status() | {
            "config_version": self.flows.version,
            "config_current": self.flows.is_current,
            "cached_flows": self.flows.cached_count,
            "ready": self.is_ready(),
        }

    def metrics(self) -> dict[str, float]:
        """Returns the counters and gauges of the process."""
        return super().metrics() | {
            "config_version": self.flows.version,
            "config_age_ms": self.age_ms(self.config.follower.heard_ms),
            "cached_flows": self.flows.cached_count,
            "ready": self.is_ready(),
        }


def run_balancer(
    options: _settings.FlowSettings, front_end: _packets.FrontEnd
) -> None:
    """Runs a balancer until it is stopped."""
    _process.run_until_stopped(
        options, lambda clock: Balancer(options, front_end, clock)
    )
