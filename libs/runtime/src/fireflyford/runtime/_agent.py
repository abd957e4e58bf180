"""Agent process that forwards packets of flows to its backend server."""

import dataclasses
from typing import Any

from fireflyford import core
from fireflyford import flows
from fireflyford import telemetry
from fireflyford.runtime import _documents
from fireflyford.runtime import _evacuation_source
from fireflyford.runtime import _front_end
from fireflyford.runtime import _heartbeats
from fireflyford.runtime import _link
from fireflyford.runtime import _process
from fireflyford.runtime import _settings


class Agent(_process.FlowProcess):
    """The agent of one backend server."""

    role = core.Role.AGENT

    def __init__(
        self,
        options: _settings.FlowSettings,
        front_end: _front_end.FrontEnd,
        clock: core.Clock,
        sockets: _process.BoundSockets | None = None,
    ) -> None:
        """Prepares an agent.

        Args:
            options: Settings of the agent.
            front_end: Packet encoding, configuration format, store and HTTP
                handlers.
            clock: Source of time.
            sockets: Datagram sockets that are bound already, by address.
        """
        super().__init__(
            options, front_end, clock, options.service, sockets or {}
        )
        # Decides how packets and messages are handled. Its `forwarder` tracks
        # the flows of the backend server; its `directory` places new flows.
        self.flows = flows.AgentFlows(
            clock,
            self.own_instance,
            self.fleet,
            flows.EarliestCompletion(self.rng),
            second_offer_ratio=options.second_offer_ratio,
            responsiveness=self.responsiveness,
            warmup_overage=options.warmup_overage,
            warmup_slack=options.warmup_slack,
            zone_paths=self.zone_paths,
        )
        self.target_monitor = flows.TargetMonitor(
            clock,
            options.service,
            self.flows.forwarder,
            options.report_interval_ms,
        )
        self._started_wall_ms = clock.wall_ms()
        # Delivers packets to the backend server.
        self._target_socket = _link.DatagramSocket(
            self._discard, on_refused=self._handle_target_refused
        )
        # Receives the packets that the backend server sends or returns.
        self._outbound_socket = _link.DatagramSocket(self._receive_from_target)
        self._codec = front_end.packet_codec

    async def run(self) -> None:
        """Runs until the process is stopped by a signal."""
        report_address = self.options.report_address
        assert report_address is not None
        self.listen(
            report_address,
            self.front_end.report_handlers(self.target_monitor),
        )
        await self._target_socket.open(remote=self.options.backend_address)
        await self._outbound_socket.open(
            local=self.options.outbound_address,
            bound=self.bound_socket(self.options.outbound_address),
        )
        self.link.attach_target_socket(self._target_socket)
        await self.start()
        # Ready only now: before signals are handled, SIGTERM ends the process
        # without the reset of flows whose backend server is gone.
        self.listen(
            self.options.readiness_check_address,
            self.front_end.readiness_handlers(
                lambda: not self.stopping.is_set()
            ),
        )
        self.start_task("loads", self._report_loads)
        self.start_task("signs", self._send_keepalives)
        await self.stopping.wait()
        await self._leave_if_target_gone()
        await self.shut_down()

    async def _leave_if_target_gone(self) -> None:
        """Leaves if the backend server is gone.

        Waits until its liveness is known or the grace period is over. If
        the backend server is alive, its flows and the registry entry are left
        to the next process of this agent. If it is gone, its flows are reset
        and the entry is withdrawn, because every search for a flow would
        otherwise wait for this agent.

        The restart is announced when the signal arrives, because the platform
        may end the process early, and when the process ends, because the next
        one is waited for from then on.
        """
        self._announce_restart()
        liveness = self.target_monitor.liveness(self.stop_requested_ms)
        while (
            liveness is flows.TargetLiveness.UNKNOWN
            and self.remaining_grace_ms() > 0
        ):
            await self.clock.sleep(_process.SWEEP_INTERVAL_MS)
            liveness = self.target_monitor.liveness(self.stop_requested_ms)
        telemetry.log("target-fate", fate=liveness.value)
        if liveness is flows.TargetLiveness.GONE:
            self.link.execute(self.flows.forwarder.mark_down("left"))
            await self.leave()
        else:
            self._announce_restart()

    def _announce_restart(self) -> None:
        """Tells all instances that another process of this agent follows."""
        message = flows.PlannedRestart(
            self.own_instance.address, self.own_instance.incarnation
        )
        for instance in self.fleet.instances():
            if instance.address != self.own_instance.address:
                self.link.send(instance.address, message)

    def handle_message(
        self, sender: core.Address, message: flows.Message
    ) -> None:
        """Handles a message from another instance or from this one."""
        if isinstance(message, flows.Forward):
            outcome = self._codec.decode_client_packet(message.data)
            if isinstance(outcome, core.Failure):
                self.link.counters.malformed_count += 1
                return
            self.link.execute(
                self.flows.receive(sender, message, outcome.value)
            )
            return
        if isinstance(message, flows.Heartbeat):
            self.introduce(message)
        self.link.execute(self.flows.handle_message(sender, message))

    def _receive_from_target(self, data: bytes, sender: core.Address) -> None:
        del sender
        outcome = self._codec.decode_target_packet(data)
        if isinstance(outcome, core.Failure):
            self.link.counters.malformed_count += 1
            return
        self.link.execute(
            self.flows.forwarder.receive_from_target(outcome.value)
        )

    def _discard(self, data: bytes, sender: core.Address) -> None:
        """Drops a datagram; the backend server sends to the outbound socket."""

    def _handle_target_refused(self) -> None:
        self.link.execute(self.flows.forwarder.mark_down("port closed"))

    def handle_registry_loaded(self, previous: flows.Instance | None) -> None:
        """Restores the target state that the previous process published."""
        if previous is None or previous.service != self.own_instance.service:
            return
        state = flows.TargetState.READY
        if previous.is_draining:
            state = flows.TargetState.DRAINING
        self.flows.forwarder.assume_state(state)

    def sweep(self) -> None:
        """Handles expired timeouts and publishes a changed drain state."""
        state = self.flows.forwarder.state
        is_draining = state is flows.TargetState.DRAINING
        if is_draining != self.own_instance.is_draining:
            self.own_instance = dataclasses.replace(
                self.own_instance, is_draining=is_draining
            )
            self.registry.update(self.own_instance)
            self.send_heartbeats(self.announcement_receivers())
        self.target_monitor.sweep()
        self.responsiveness.is_after_crash = (
            self.target_monitor.has_started_near(self._started_wall_ms)
        )
        self.link.execute(self.flows.sweep())

    def has_timeouts(self) -> bool:
        """Returns whether a flow waits for an answer that may not come."""
        return self.flows.has_timeouts()

    def load_report_sender_count(self) -> int:
        """Returns the number of agents of its service."""
        return len(self.fleet.agents(self.own_instance.service))

    def report_interval_ms(self) -> int:
        """Returns the longest interval between load reports of an agent."""
        return _heartbeats.longest_report_interval_ms(
            self.load_report_sender_count()
        )

    def silence_limit_ms(self) -> int:
        """Returns two intervals of the load reports of its peers."""
        return _heartbeats.report_silence_ms(self.load_report_sender_count())

    def expire(self) -> None:
        """Discards state that has not been used recently."""
        self.flows.expire()

    def load(self) -> flows.Load:
        """Returns the load of the backend server."""
        return self.flows.forwarder.load()

    def heartbeat_receivers(self) -> list[core.Address]:
        """Returns the balancers; agents receive load reports instead."""
        return [item.address for item in self.fleet.balancers()]

    def announcement_receivers(self) -> list[core.Address]:
        """Returns the balancers and the agents of the service."""
        peers = self.fleet.agents(self.own_instance.service)
        return self.heartbeat_receivers() + [item.address for item in peers]

    async def _send_keepalives(self) -> None:
        """Sends load reports to the balancers, as keepalives."""
        while True:
            receivers = self.heartbeat_receivers()
            keepalive = flows.LoadReport(self.load())
            for address in receivers:
                self.link.send(address, keepalive)
            interval_ms = _heartbeats.keepalive_interval_ms(len(receivers))
            await self.clock.sleep(
                _heartbeats.apply_jitter(interval_ms, self.rng)
            )

    async def _report_loads(self) -> None:
        """Sends load reports to the other agents of the service.

        A report is sent when the load has changed, and otherwise repeated after
        `_heartbeats.LOAD_REPORT_REPEAT_MS`.
        """
        last_sent_load = None
        last_sent_ms = 0
        # Agents of a zone that start together would otherwise report in step
        # and leave gaps in which their zone is not heard.
        phase = self.rng.random()
        while True:
            peers = [
                item.address
                for item in self.fleet.agents(self.own_instance.service)
                if item.address != self.own_instance.address
            ]
            load = self.load()
            now_ms = self.clock.now_ms()
            if (
                load != last_sent_load
                or now_ms - last_sent_ms >= _heartbeats.LOAD_REPORT_REPEAT_MS
            ):
                last_sent_load, last_sent_ms = load, now_ms
                report = flows.LoadReport(load)
                for address in peers:
                    self.link.send(address, report)
            # This agent receives no report of its own, but its directory also
            # places flows by load.
            self.flows.directory.record_load(self.own_instance.address, load)
            interval_ms = _heartbeats.load_report_interval_ms(len(peers))
            await self.clock.sleep(interval_ms * phase)
            phase = 1.0

    def extra_status_handlers(self) -> _front_end.Handlers:
        """Returns the handler that serves the evacuated zones to balancers."""
        return [
            _documents.serve(
                _evacuation_source.EVACUATION_PATH, self._evacuation_page
            ),
        ]

    def _evacuation_page(self) -> bytes:
        return _evacuation_source.pack_view(self.flows.evacuation.view)

    def status(self) -> dict[str, Any]:
        """Returns the content of the status page."""
        load = self.load()
        return super().status() | {
            "service": self.own_instance.service,
            "target_state": load.state.name.lower(),
            "busy": load.busy_count,
            "lasting_flows": load.long_lived_count,
            "service_ms": load.service_ms,
            "held_flows": len(self.flows.forwarder.tracker),
            "directory_entries": len(self.flows.directory),
            "second_offers": self._second_offer_counts(),
            "warmup_left_ms": load.warmup_left_ms,
            "evacuated_zones": self.flows.evacuation.zones,
            "waiting_flows": len(self.flows.forwarder.admission),
        }

    def _second_offer_counts(self) -> dict[str, float]:
        second = self.flows.directory.second_offers
        return {
            "second_offers": second.second_count,
            "second_offers_won": second.win_count,
            "second_offer_share": round(second.extra_ratio, 4),
        }

    def metrics(self) -> dict[str, float]:
        """Returns the counters and gauges of the process."""
        load = self.load()
        return super().metrics() | {
            "busy_requests": load.busy_count,
            "held_flows": len(self.flows.forwarder.tracker),
            "directory_entries": len(self.flows.directory),
            "waiting_flows": len(self.flows.forwarder.admission),
            "service_ms": load.service_ms,
            **self._second_offer_counts(),
            "warmup_left_ms": load.warmup_left_ms,
            "evacuated_zones": len(self.flows.evacuation.zones),
        }


def run_agent(
    options: _settings.FlowSettings,
    front_end: _front_end.FrontEnd,
    sockets: _process.BoundSockets | None = None,
) -> None:
    """Runs an agent until it is stopped by a signal."""
    _process.run_until_stopped(
        options, lambda clock: Agent(options, front_end, clock, sockets)
    )
