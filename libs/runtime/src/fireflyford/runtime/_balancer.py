"""Balancer process that forwards packets of clients to agents."""

import asyncio
from typing import Any

from fireflyford import core
from fireflyford import flows
from fireflyford import telemetry
from fireflyford.runtime import _config_source
from fireflyford.runtime import _documents
from fireflyford.runtime import _evacuation_source
from fireflyford.runtime import _front_end
from fireflyford.runtime import _heartbeats
from fireflyford.runtime import _link
from fireflyford.runtime import _process
from fireflyford.runtime import _settings

# Minimum time from the signal to stop to the end of draining. The fabric, which
# spreads packets of clients across the balancers, checks readiness twice a
# second and stops sending packets after two failed checks.
MIN_DRAIN_MS = 1_200
# After this time without packets of clients, the fabric is assumed to have
# stopped sending.
IDLE_LIMIT_MS = 300
_DRAIN_POLL_MS = 50
# A balancer that receives no messages from agents for this time is not ready.
# Each agent sends a keepalive about every second, so with `MANY_AGENTS` or more
# the gaps between messages stay shorter.
AGENT_SILENCE_LIMIT_MS = 1_000
MANY_AGENTS = 4
# Heartbeats of running balancers that arrived while this one was loaded are
# read within this time, and a running one answers the first heartbeat.
PEER_CONFIG_WAIT_MS = 25
# Bounds of the delay of the first read of the store if another balancer has the
# configuration. Far below the time in which a configuration must be in force.
MIN_STORE_READ_DELAY_MS = 600
MAX_STORE_READ_DELAY_MS = 1_200
# Applies with fewer agents, where a few lost keepalives leave longer gaps.
FEW_AGENTS_SILENCE_LIMIT_MS = 3_500


class Balancer(_process.FlowProcess):
    """The process that forwards packets of clients to agents."""

    role = core.Role.BALANCER

    def __init__(
        self,
        options: _settings.FlowSettings,
        front_end: _front_end.FrontEnd,
        clock: core.Clock,
        sockets: _process.BoundSockets | None = None,
    ) -> None:
        """Prepares a balancer.

        Args:
            options: Settings of the balancer.
            front_end: Packet encoding, configuration format, store and HTTP
                handlers.
            clock: Source of time.
            sockets: Datagram sockets that are bound already, by address.
        """
        super().__init__(options, front_end, clock, "", sockets or {})
        # Decides where packets are forwarded.
        self.flows = flows.BalancerFlows(
            clock,
            self.own_instance,
            self.fleet,
            self.responsiveness,
            self.zone_paths,
        )
        self.config = _config_source.ConfigSource(
            self.store,
            clock,
            self.rng,
            options.config_key,
            front_end.config_format,
            self._apply_config,
            options.evacuation_prefix,
            self.flows.evacuation,
        )
        self._startup_packets = flows.StartupPackets(clock)
        self._codec = front_end.packet_codec
        self._client_socket = _link.DatagramSocket(self._receive_packet)
        self._last_packet_ms = clock.now_ms()
        # Versions of the configuration to pull, by link address of the peer.
        self._announced_versions: dict[core.Address, int] = {}
        self._version_announced = asyncio.Event()
        # Whether the configuration is being fetched from a peer.
        self._is_pulling = False
        self._last_agent_message_ms: int | None = None

    async def run(self) -> None:
        """Runs until the process is stopped by a signal."""
        await self._client_socket.open(
            local=self.options.packet_address,
            bound=self.bound_socket(self.options.packet_address),
        )
        self.listen(
            self.options.readiness_check_address,
            self.front_end.readiness_handlers(self.is_ready),
        )
        await self.start()
        self.start_task("config", self._follow_config)
        self.start_task("pull", self._pull_configs)
        if self.options.evacuation_prefix:
            self.start_task("evacuation", self._poll_evacuation)
        await self.stopping.wait()
        await self._drain()
        self._client_socket.close()
        await self.shut_down()

    def is_ready(self) -> bool:
        """Returns whether the fabric may send packets to this balancer."""
        if self.stopping.is_set() or not self._can_route():
            return False
        last_message_ms = self._last_agent_message_ms
        if last_message_ms is None:
            return False
        limit_ms = AGENT_SILENCE_LIMIT_MS
        if self.fleet.agent_count() < MANY_AGENTS:
            limit_ms = FEW_AGENTS_SILENCE_LIMIT_MS
        return self.clock.now_ms() - last_message_ms < limit_ms

    async def _drain(self) -> None:
        """Forwards until the fabric sends no more packets, then leaves."""
        while True:
            await self.clock.sleep(_DRAIN_POLL_MS)
            now_ms = self.clock.now_ms()
            is_idle = now_ms - self._last_packet_ms >= IDLE_LIMIT_MS
            if is_idle and now_ms - self.stop_requested_ms >= MIN_DRAIN_MS:
                break
            if self.remaining_grace_ms() <= 0:
                telemetry.log("drain-limit-reached")
                break
        await self.leave()

    def _receive_packet(self, data: bytes, sender: core.Address) -> None:
        del sender
        self._last_packet_ms = self.clock.now_ms()
        outcome = self._codec.decode_client_packet(data)
        if isinstance(outcome, core.Failure):
            self.link.counters.malformed_count += 1
            return
        if not self._can_route():
            self._startup_packets.add(outcome.value)
            return
        self.link.execute(self.flows.receive(outcome.value))

    def _apply_config(self, table: flows.RouteTable) -> bool:
        """Applies a configuration; returns False if it is not newer.

        The first one is announced to the other balancers, which may be waiting
        for theirs over a slow link.
        """
        is_first = not self.flows.version
        if not self.flows.apply(table):
            return False
        if is_first:
            self.send_heartbeats(
                [item.address for item in self.fleet.balancers()]
            )
            self._release_startup_packets()
        return True

    def _can_route(self) -> bool:
        """Returns whether routes and evacuated zones are known.

        Without the latter, it would send new flows to evacuated zones.
        """
        if not self.flows.version:
            return False
        return not self.options.evacuation_prefix or bool(
            self.flows.evacuation.view
        )

    def _release_startup_packets(self) -> None:
        """Forwards the packets that have arrived before they could be."""
        if not self._can_route() or not self._startup_packets:
            return
        packets = self._startup_packets.release()
        telemetry.log("startup-packets", count=len(packets))
        for packet in packets:
            self.link.execute(self.flows.receive(packet))

    def handle_message(
        self, sender: core.Address, message: flows.Message
    ) -> None:
        """Handles a message from another instance or from this one."""
        if isinstance(message, flows.Heartbeat):
            self.introduce(message)
            if message.config_version > self.flows.version:
                self._announced_versions[sender] = message.config_version
                self._version_announced.set()
        self.link.execute(self.flows.handle_message(sender, message))
        if self.fleet.is_agent(sender):
            self._last_agent_message_ms = self.clock.now_ms()

    def sweep(self) -> None:
        """Handles expired timeouts."""
        # The configuration is known to be the latest only while the store
        # responds.
        follower = self.config.follower
        self.flows.is_current = (
            follower.last_response_ms is not None
            and not follower.is_unreachable
        )
        self._release_startup_packets()
        self.link.execute(self.flows.sweep())

    def has_timeouts(self) -> bool:
        """Returns whether a flow waits for an answer that may not come."""
        return self.flows.has_timeouts()

    def expire(self) -> None:
        """Discards nothing: the cache of holders is bounded by its size."""

    def load_report_sender_count(self) -> int:
        """Returns 0: agents report their load to each other only."""
        return 0

    def silence_limit_ms(self) -> int:
        """Returns the longest time between two keepalives of an agent."""
        return _heartbeats.keepalive_silence_ms(len(self.fleet.balancers()))

    def report_interval_ms(self) -> int:
        """Returns the longest interval between keepalives of an agent."""
        return _heartbeats.longest_keepalive_interval_ms(
            len(self.fleet.balancers())
        )

    def heartbeat_receivers(self) -> list[core.Address]:
        """Returns all instances."""
        return [item.address for item in self.fleet.instances()]

    def config_version(self) -> int:
        """Returns the version of the configuration in force."""
        return self.flows.version

    async def join_via_seed(self, seed: core.Address) -> None:
        """Learns instances and configuration from a running instance."""
        await super().join_via_seed(seed)
        if not self.flows.version:
            await self._pull_config(seed)
        elif not self._can_route():
            await self._pull_evacuation(seed)

    async def _follow_config(self) -> None:
        """Follows the configuration in the store.

        A balancer that starts beside running ones has it from one of them at
        once, compressed. The read of the store, which takes a second for a
        large configuration over a slow link, then waits until the packets that
        have queued up since the start are forwarded.
        """
        await self.clock.sleep(PEER_CONFIG_WAIT_MS)
        delay_ms = self.rng.uniform(
            MIN_STORE_READ_DELAY_MS, MAX_STORE_READ_DELAY_MS
        )
        due_ms = self.clock.now_ms() + delay_ms
        while self.clock.now_ms() < due_ms and (
            self._announced_versions or self._is_pulling or self.flows.version
        ):
            # A pull that fails does not delay the read.
            await self.clock.sleep(PEER_CONFIG_WAIT_MS)
        await self.config.follower.run()

    async def _pull_configs(self) -> None:
        """Fetches configuration versions that peers announce in heartbeats."""
        while True:
            await self._version_announced.wait()
            self._version_announced.clear()
            while self._announced_versions:
                sender, version = self._announced_versions.popitem()
                if version > self.flows.version:
                    self._is_pulling = True
                    await self._pull_config(self._status_address(sender))
                    self._is_pulling = False

    async def _pull_config(self, address: core.Address) -> None:
        if self.options.evacuation_prefix:
            # Packets are forwarded as soon as there is a configuration.
            await self._pull_evacuation(address)
        outcome = await self.peer_client.read(
            address, _config_source.CONFIG_PATH
        )
        if isinstance(outcome, core.Failure):
            telemetry.log("config-not-pulled", reason=outcome.message)
        elif outcome.value:
            self.config.apply_document(outcome.value, str(address))

    async def _pull_evacuation(self, address: core.Address) -> None:
        document = await self.peer_client.read(
            address, _evacuation_source.EVACUATION_PATH
        )
        view = (
            document
            if isinstance(document, core.Failure)
            else _evacuation_source.unpack_view(document.value)
        )
        if isinstance(view, core.Failure):
            telemetry.log("evacuation-not-pulled", reason=view.message)
        else:
            self.flows.evacuation.learn(view.value, address)

    async def _poll_evacuation(self) -> None:
        """Reads the views of other balancers while the store is silent.

        The store may reject this balancer while it serves others. Without new
        flows through those, agents would not learn of an evacuation either.
        """
        while True:
            await self.clock.sleep(_evacuation_source.PEER_POLL_MS)
            if not self._is_store_silent():
                continue
            peers = [
                item.address
                for item in self.fleet.balancers()
                if item.address != self.own_instance.address
            ]
            if peers:
                peer = self.rng.choice(peers)
                await self._pull_evacuation(self._status_address(peer))

    def _status_address(self, peer: core.Address) -> core.Address:
        # All instances are assumed to use the same status port.
        return core.Address(peer.host, self.options.status_address.port)

    def _is_store_silent(self) -> bool:
        follower = self.config.follower
        age_ms = self.age_ms(follower.last_response_ms)
        return (
            follower.is_unreachable
            or age_ms < 0
            or age_ms > _evacuation_source.STORE_SILENCE_MS
        )

    def extra_status_handlers(self) -> list[Any]:
        """Returns the handlers that serve configuration and evacuations."""
        return [
            _documents.serve(
                _config_source.CONFIG_PATH, lambda: self.config.document
            ),
            _documents.serve(
                _evacuation_source.EVACUATION_PATH, self._evacuation_page
            ),
        ]

    def _evacuation_page(self) -> bytes:
        return _evacuation_source.pack_view(self.flows.evacuation.view)

    def status(self) -> dict[str, Any]:
        """Returns the content of the status page."""
        return super().status() | {
            "config_version": self.flows.version,
            "config_current": self.flows.is_current,
            "evacuated_zones": self.flows.evacuation.zones,
            "cached_flows": self.flows.cached_count,
            "ready": self.is_ready(),
        }

    def metrics(self) -> dict[str, float]:
        """Returns the counters and gauges of the process."""
        return super().metrics() | {
            "config_version": self.flows.version,
            "config_age_ms": self.age_ms(self.config.follower.last_response_ms),
            "evacuated_zones": len(self.flows.evacuation.zones),
            "cached_flows": self.flows.cached_count,
            "ready": self.is_ready(),
        }


def run_balancer(
    options: _settings.FlowSettings,
    front_end: _front_end.FrontEnd,
    sockets: _process.BoundSockets | None = None,
) -> None:
    """Runs a balancer until it is stopped by a signal."""
    _process.run_until_stopped(
        options, lambda clock: Balancer(options, front_end, clock, sockets)
    )
