"""Life of an agent process that forwards packets of flows."""

import dataclasses
from typing import Any

from fireflyford import core
from fireflyford import flows
from fireflyford import telemetry
from fireflyford.runtime import _beats
from fireflyford.runtime import _link
from fireflyford.runtime import _packets
from fireflyford.runtime import _process
from fireflyford.runtime import _settings


class Agent(_process.FlowProcess):
    """The agent beside one backend server."""

    role = core.Role.AGENT

    def __init__(
        self,
        options: _settings.FlowSettings,
        front_end: _packets.FrontEnd,
        clock: core.Clock,
    ) -> None:
        """Prepares an agent.

        Args:
            options: Settings of an agent.
            front_end: Encodings and calls of the surroundings.
            clock: Source of time.
        """
        super().__init__(options, front_end, clock, options.service)
        self.flows = flows.AgentFlows(
            clock, self.own, self.fleet, flows.LeastCompletion(self.rng)
        )
        self.target_watch = flows.TargetMonitor(
            clock,
            options.service,
            self.flows.forwarder,
            options.report_interval_ms,
        )
        self._target = _link.DatagramSocket(
            self._ignore, refused=self._target_refused
        )
        self._outbound = _link.DatagramSocket(self._take_answer)
        self._codec = front_end.packets

    async def run(self) -> None:
        """Runs until a signal ends the process."""
        report_address = self.options.report_address
        assert report_address is not None
        self.listen(
            report_address,
            self.front_end.report_handlers(self.target_watch),
        )
        self.listen(
            self.options.readiness_check_address,
            self.front_end.readiness_handlers(
                lambda: not self.stopping.is_set()
            ),
        )
        await self._target.open(remote=self.options.backend_address)
        await self._outbound.open(local=self.options.outbound_address)
        self.link.attach_target(self._target)
        await self.start()
        self.start_task("loads", self._report_loads())
        self.start_task("signs", self._send_signs())
        await self.stopping.wait()
        await self._leave()
        await self.finish()

    async def _leave(self) -> None:
        """Goes on until it is known whether the backend server lives.

        The flows of one that lives wait for the next process of this agent,
        which finds the entry of this one. Those of one that is gone end now,
        and the entry goes, since every search for a flow would wait for it.
        """
        fate = self.target_watch.liveness(self.stopped_ms)
        while fate is flows.TargetLiveness.UNKNOWN and self.grace_left_ms() > 0:
            await self.clock.sleep(_process.SWEEP_INTERVAL_MS)
            fate = self.target_watch.liveness(self.stopped_ms)
        telemetry.log("target-fate", fate=fate.value)
        if fate is flows.TargetLiveness.GONE:
            self.link.run(self.flows.forwarder.mark_down("left"))
            await self.leave()

    def hear(self, sender: core.Address, message: flows.Message) -> None:
        """Handles a message of another instance, or of this one."""
        if isinstance(message, flows.Forward):
            outcome = self._codec.from_client(message.data)
            if isinstance(outcome, core.Failure):
                self.link.counters.malformed_count += 1
                return
            self.link.run(self.flows.receive(sender, message, outcome.value))
            return
        if isinstance(message, flows.Heartbeat):
            self.greet(message)
        self.link.run(self.flows.handle_message(sender, message))

    def _take_answer(self, data: bytes, sender: core.Address) -> None:
        del sender
        outcome = self._codec.from_target(data)
        if isinstance(outcome, core.Failure):
            self.link.counters.malformed_count += 1
            return
        self.link.run(self.flows.forwarder.receive_from_target(outcome.value))

    def _ignore(self, data: bytes, sender: core.Address) -> None:
        """Drops what comes to the sending socket; answers come elsewhere."""

    def _target_refused(self) -> None:
        self.link.run(self.flows.forwarder.mark_down("port closed"))

    def joined(self, earlier: flows.Instance | None) -> None:
        """Takes over what an earlier process knew of the backend server."""
        if earlier is None or earlier.service != self.own.service:
            return
        state = flows.TargetState.READY
        if earlier.is_draining:
            state = flows.TargetState.DRAINING
        self.flows.forwarder.assume_state(state)

    def sweep(self) -> None:
        """Acts on timeouts."""
        state = self.flows.forwarder.state
        is_draining = state is flows.TargetState.DRAINING
        if is_draining != self.own.is_draining:
            self.own = dataclasses.replace(self.own, is_draining=is_draining)
            self.registry.change(self.own)
            self.send_beats(self.all_receivers())
        self.target_watch.sweep()
        self.link.run(self.flows.sweep())

    def expire(self) -> None:
        """Forgets what has not been used for long."""
        self.flows.expire()

    def load(self) -> flows.Load:
        """Returns the load of the backend server."""
        return self.flows.forwarder.load()

    def beat_receivers(self) -> list[core.Address]:
        """Returns the balancers; peers get load reports instead."""
        return [item.address for item in self.fleet.balancers()]

    def all_receivers(self) -> list[core.Address]:
        """Returns the balancers and the agents of the service."""
        peers = self.fleet.agents(self.own.service)
        return self.beat_receivers() + [item.address for item in peers]

    async def _send_signs(self) -> None:
        """Sends short signs of life to the balancers."""
        while True:
            receivers = self.beat_receivers()
            sign = flows.LoadReport(self.load())
            for address in receivers:
                self.link.send(address, sign)
            interval_ms = _beats.sign_interval_ms(len(receivers))
            await self.clock.sleep(_beats.jittered(interval_ms, self.rng))

    async def _report_loads(self) -> None:
        """Sends changed loads to the agents of the service."""
        sent = None
        sent_ms = 0
        while True:
            peers = [
                item.address
                for item in self.fleet.agents(self.own.service)
                if item.address != self.own.address
            ]
            load = self.load()
            now_ms = self.clock.now_ms()
            if load != sent or now_ms - sent_ms >= _beats.LOAD_REPEAT_MS:
                sent, sent_ms = load, now_ms
                report = flows.LoadReport(load)
                for address in peers:
                    self.link.send(address, report)
            # The own home needs it as well.
            self.flows.directory.record_load(self.own.address, load)
            await self.clock.sleep(_beats.load_interval_ms(len(peers)))

    def status(self) -> dict[str, Any]:
        """Returns the state of the process for operators."""
        load = self.load()
        return super().status() | {
            "service": self.own.service,
            "target_state": load.state.name.lower(),
            "busy": load.busy_count,
            "lasting_flows": load.long_lived_count,
            "service_ms": load.service_ms,
            "held_flows": len(self.flows.forwarder.tracker),
            "directory_entries": len(self.flows.directory),
        }

    def metrics(self) -> dict[str, float]:
        """Returns the counters and gauges of the process."""
        load = self.load()
        return super().metrics() | {
            "busy_requests": load.busy_count,
            "held_flows": len(self.flows.forwarder.tracker),
            "directory_entries": len(self.flows.directory),
            "service_ms": load.service_ms,
        }


def run_agent(
    options: _settings.FlowSettings, front_end: _packets.FrontEnd
) -> None:
    """Runs an agent until it is stopped."""
    _process.run_until_stopped(
        options, lambda clock: Agent(options, front_end, clock)
    )
