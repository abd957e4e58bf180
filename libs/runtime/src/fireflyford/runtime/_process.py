"""Base class of balancer and agent processes."""

import abc
import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Mapping
import dataclasses
import json
import os
import random
import signal
import socket
import sys
from typing import Any

from tornado import httpserver
from tornado import web
import uvloop

from fireflyford import core
from fireflyford import flows
from fireflyford import store
from fireflyford import telemetry
from fireflyford.runtime import _config_source
from fireflyford.runtime import _documents
from fireflyford.runtime import _front_end
from fireflyford.runtime import _heartbeats
from fireflyford.runtime import _link
from fireflyford.runtime import _link_codec
from fireflyford.runtime import _registry
from fireflyford.runtime import _settings

INSTANCES_PATH = "/instances"
# Interval at which timeouts are checked; the shortest are tens of milliseconds.
SWEEP_INTERVAL_MS = 20
# Interval while nothing waits for a timeout: at most the shortest timeout, so
# that one which starts meanwhile is noticed before it ends.
IDLE_SWEEP_INTERVAL_MS = 60
EXPIRE_INTERVAL_MS = 1_000
# Delay before a failed task is started again.
TASK_RESTART_DELAY_MS = 500
# Last part of the grace period, reserved for shutdown before the platform kills
# the process.
GRACE_RESERVE_MS = 1_000
# Part of the reserve for withdrawing the registry entry; a call to the store
# takes a few milliseconds.
WITHDRAW_RESERVE_MS = 500
# How many instances, on average, introduce one that has no registry entry to a
# new process. That none does has a probability of 1 in 3,000.
INTRODUCER_COUNT = 8
# Interval between queries of the seeds. The first query waits as long, so that
# the other tasks of this process start before it.
SEED_QUERY_INTERVAL_MS = 300
# Datagram sockets that were bound before the process was prepared, by host and
# port.
BoundSockets = Mapping[tuple[str, int], socket.socket]


class FlowProcess(abc.ABC):
    """Sockets, registry, heartbeats and signals of a balancer or an agent."""

    role: core.Role

    def __init__(
        self,
        options: _settings.FlowSettings,
        front_end: _front_end.FrontEnd,
        clock: core.Clock,
        service: str,
        sockets: BoundSockets,
    ) -> None:
        """Prepares a process.

        Args:
            options: Settings of the process.
            front_end: Packet encoding, configuration format, store and HTTP
                handlers.
            clock: Source of time.
            service: Service of an agent, empty for a balancer.
            sockets: Datagram sockets that are bound already, by address.
        """
        self._bound_sockets = sockets
        self.options = options
        self.clock = clock
        self.front_end = front_end
        self.rng = random.Random()
        self.own_instance = flows.Instance(
            instance_id=options.instance_id,
            role=self.role,
            service=service,
            availability_zone=options.availability_zone,
            address=options.link_address,
            # Distinguishes this process from earlier ones of the instance.
            incarnation=clock.wall_ms(),
        )
        # All instances known from the registry or from heartbeats.
        self.fleet = flows.Fleet(clock)
        self.store: store.Store = front_end.open_store()
        self.registry = _registry.Registry(
            self.store,
            clock,
            self.rng,
            self.own_instance,
            self.fleet,
            self._complete_join,
            self._introduce_self,
        )
        self.peer_client = _config_source.HttpPeerClient()
        # Exchanges messages with other instances and executes the actions that
        # the decision code in `flows` returns.
        self.link = _link.Link(
            options.link_address,
            front_end.packet_codec,
            options.client_port,
            self.handle_message,
        )
        # Judges other instances by their answers. Those of the last release
        # do not announce planned restarts.
        self.responsiveness = flows.Responsiveness(
            clock, self.link.speaks_second_protocol
        )
        # Knows which zones do not reach this process, and which instances this
        # zone does not reach.
        self.zone_paths = flows.ZonePaths(
            clock, self.own_instance, self.fleet, self.responsiveness
        )
        self.stopping = asyncio.Event()
        # Time of the signal to stop.
        self.stop_requested_ms = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._servers: list[httpserver.HTTPServer] = []

    # Implemented by each kind of process.

    @abc.abstractmethod
    async def run(self) -> None:
        """Runs until the process is stopped by a signal."""

    @abc.abstractmethod
    def handle_message(
        self, sender: core.Address, message: flows.Message
    ) -> None:
        """Handles a message from another instance or from this one."""

    @abc.abstractmethod
    def sweep(self) -> None:
        """Handles expired timeouts; called every `SWEEP_INTERVAL_MS`."""

    @abc.abstractmethod
    def has_timeouts(self) -> bool:
        """Returns whether a flow waits for an answer that may not come."""

    def load(self) -> flows.Load:
        """Returns the load to announce in heartbeats."""
        return flows.Load()

    def config_version(self) -> int:
        """Returns the configuration version to announce, 0 for none."""
        return 0

    @abc.abstractmethod
    def heartbeat_receivers(self) -> list[core.Address]:
        """Returns the receivers of regular heartbeats."""

    def keepalive_timeout_ms(self) -> int:
        """Returns the silence after which an instance without entry is gone."""
        return _heartbeats.keepalive_timeout_ms(
            len(self.fleet.balancers()), self.load_report_sender_count()
        )

    @abc.abstractmethod
    def silence_limit_ms(self) -> int:
        """Returns the silence of an agent that its reports do not explain."""

    @abc.abstractmethod
    def report_interval_ms(self) -> int:
        """Returns the longest interval between two reports of an agent."""

    @abc.abstractmethod
    def load_report_sender_count(self) -> int:
        """Returns how many agents send load reports to this instance."""

    def announcement_receivers(self) -> list[core.Address]:
        """Returns the receivers of heartbeats sent on start, drain or leave."""
        return self.heartbeat_receivers()

    # Lifecycle.

    def start_task(
        self, name: str, work: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Starts a task that is cancelled when the process ends.

        Args:
            name: Name of the task in logs.
            work: Called to start the work, and again after it has failed.
        """
        task = asyncio.create_task(self._supervise(name, work), name=name)
        self._tasks.append(task)

    async def _supervise(
        self, name: str, work: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Runs work to its end; starts it again after a failure.

        An unexpected error must not stop a part of the process for good while
        the process still reports that it is ready.
        """
        while True:
            try:
                await work()
                return
            except Exception as error:
                telemetry.log("task-failed", task=name, reason=repr(error))
            await self.clock.sleep(TASK_RESTART_DELAY_MS)

    def listen(
        self, address: core.Address, handlers: _front_end.Handlers
    ) -> None:
        """Serves HTTP at an address."""
        application = web.Application(
            handlers,
            log_function=lambda handler: None,
        )
        self._servers.append(
            application.listen(address.port, address.host, backlog=256)
        )

    def handle_signals(self) -> None:
        """Handles signals from now on.

        Called before the process reports that it is ready, so that it is not
        ended by a signal without withdrawing its entry.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)

    async def start(self) -> None:
        """Opens the link and starts the common tasks."""
        telemetry.log(
            "started",
            role=self.role.value,
            service=self.own_instance.service,
            incarnation=self.own_instance.incarnation,
        )
        await self.link.open(self.bound_socket(self.options.link_address))
        self.listen(self.options.status_address, self._status_handlers())
        self.start_task("publish", self.registry.publish)
        self.start_task("registry", self.registry.follower.run)
        self.start_task("seeds", self._query_seeds)
        self.start_task("beats", self._heartbeat_loop)
        self.start_task("sweep", self._sweep_loop)
        self.start_task("expire", self._expire_loop)

    def bound_socket(
        self, address: core.Address | None
    ) -> socket.socket | None:
        """Returns the socket that is already bound to an address, if any."""
        return (
            None if address is None else self._bound_sockets.get(address.pair)
        )

    async def leave(self) -> None:
        """Announces that this instance leaves; withdraws its registry entry."""
        # A task that is still running would write the entry again.
        for task in self._tasks:
            task.cancel()
        self.send_heartbeats(self.announcement_receivers(), leaving=True)
        await self.registry.withdraw(
            self.remaining_grace_ms() + WITHDRAW_RESERVE_MS
        )

    def remaining_grace_ms(self) -> int:
        """Returns the rest of the grace period, less `GRACE_RESERVE_MS`."""
        spent_ms = self.clock.now_ms() - self.stop_requested_ms
        return self.options.grace_ms - GRACE_RESERVE_MS - spent_ms

    async def shut_down(self) -> None:
        """Cancels all tasks and closes servers and the link."""
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.stop()
        self.link.close()
        telemetry.log("stopped", role=self.role.value)

    def _stop(self) -> None:
        telemetry.log("stopping", role=self.role.value)
        self.stop_requested_ms = self.clock.now_ms()
        self.stopping.set()

    def _reload(self) -> None:
        telemetry.log("reload", effect="none: settings are read only at start")

    async def _heartbeat_loop(self) -> None:
        while True:
            receivers = self.heartbeat_receivers()
            self.send_heartbeats(receivers)
            interval_ms = _heartbeats.heartbeat_interval_ms(len(receivers))
            await self.clock.sleep(
                _heartbeats.apply_jitter(interval_ms, self.rng)
            )

    def send_heartbeats(
        self, receivers: list[core.Address], leaving: bool = False
    ) -> None:
        """Sends a heartbeat to each receiver but this instance."""
        heartbeat = flows.Heartbeat(
            self.own_instance, self.load(), self.config_version(), leaving
        )
        for address in receivers:
            if address != self.own_instance.address:
                self.link.send(address, heartbeat)
                self.link.announce_protocol(address)

    async def _sweep_loop(self) -> None:
        while True:
            interval_ms = IDLE_SWEEP_INTERVAL_MS
            if self.has_timeouts():
                interval_ms = SWEEP_INTERVAL_MS
            due_ms = self.clock.now_ms() + interval_ms
            await self.clock.sleep(interval_ms)
            delay_ms = max(0, self.clock.now_ms() - due_ms)
            telemetry.observe("event_loop_delay", delay_ms)
            self.sweep()

    async def _expire_loop(self) -> None:
        while True:
            await self.clock.sleep(EXPIRE_INTERVAL_MS)
            self.fleet.keepalive_timeout_ms = self.keepalive_timeout_ms()
            self.fleet.silence_limit_ms = self.silence_limit_ms()
            self.zone_paths.report_interval_ms = self.report_interval_ms()
            self.fleet.refresh()
            self.registry.check_silence()
            self.expire()

    @abc.abstractmethod
    def expire(self) -> None:
        """Discards unused state; called every `EXPIRE_INTERVAL_MS`."""

    def _complete_join(self, previous: flows.Instance | None) -> None:
        """Announces this instance after the first read of the registry."""
        self.handle_registry_loaded(previous)
        if previous is not None:
            self.supersede(previous.incarnation)
        self.send_heartbeats(self.announcement_receivers())

    def _introduce_self(self, found: list[flows.Instance]) -> None:
        """Sends heartbeats to instances that are new in the registry.

        They may have read the registry before it contained this instance.
        """
        receivers = set(self.announcement_receivers())
        self.send_heartbeats(
            [item.address for item in found if item.address in receivers]
        )
        for item in found:
            if item.address != self.own_instance.address:
                self._pass_on_restarts(item.address)

    def supersede(self, incarnation: int) -> None:
        """Makes this process outrank an earlier one of the same instance.

        Incarnations are start times of day, which may have been set back since
        the earlier process started.

        Args:
            incarnation: Incarnation of a process at this address.
        """
        if incarnation <= self.own_instance.incarnation:
            return
        if incarnation >= _link_codec.MAX_INCARNATION:
            # Peers would reject a larger one, and every message that has it.
            telemetry.log("incarnation-ignored", known=incarnation)
            return
        telemetry.log(
            "incarnation-raised",
            before=self.own_instance.incarnation,
            known=incarnation,
        )
        self.own_instance = dataclasses.replace(
            self.own_instance, incarnation=incarnation + 1
        )
        self.registry.update(self.own_instance)
        self.send_heartbeats(self.announcement_receivers())

    def handle_registry_loaded(self, previous: flows.Instance | None) -> None:
        """Handles the first complete read of the registry.

        Args:
            previous: Entry that a previous process left at this address, None
                if there was none.
        """
        del previous

    def introduce(self, heartbeat: flows.Heartbeat) -> None:
        """Replies to the first heartbeat of a process with introductions.

        The new process finds most instances in the registry. For each instance
        without an entry there, such as one whose calls the store rejects, sends
        a heartbeat of that instance to the new process, and the heartbeat of
        the new process to that instance. Passes on announced restarts.
        """
        new_instance = heartbeat.instance
        if new_instance.address == self.own_instance.address:
            self.supersede(new_instance.incarnation)
            return
        if heartbeat.leaving:
            return
        latest = self.fleet.latest_incarnation(new_instance.address)
        if latest is not None and latest >= new_instance.incarnation:
            if latest > new_instance.incarnation:
                self._report_outdated(new_instance, latest)
            return
        self.link.forget_protocol(new_instance.address)
        self.send_heartbeats([new_instance.address])
        instance_count = len(self.fleet.instances())
        self._pass_on_restarts(new_instance.address)
        unregistered = self.fleet.unregistered(
            _heartbeats.entry_delay_ms(instance_count)
        )
        for other in unregistered:
            if other.address in (
                new_instance.address,
                self.own_instance.address,
            ):
                continue
            # Every instance does the same, so a few of them suffice.
            if self.rng.random() * instance_count > INTRODUCER_COUNT:
                continue
            load = self.fleet.load(other.address)
            introduction = flows.Heartbeat(other, load, 0, False)
            self.link.send(new_instance.address, introduction)
            self.link.send(other.address, heartbeat)

    def _pass_on_restarts(self, to: core.Address) -> None:
        """Tells a new process of restarts that were announced before it."""
        instance_count = len(self.fleet.instances())
        for address, incarnation in self.responsiveness.restarting():
            # Every instance does the same, so a few of them suffice.
            if (
                address != to
                and self.rng.random() * instance_count <= INTRODUCER_COUNT
            ):
                self.link.send(to, flows.PlannedRestart(address, incarnation))

    def _report_outdated(self, instance: flows.Instance, latest: int) -> None:
        """Tells a process which incarnation it has to exceed.

        The clock of its machine was set back since its predecessor started.
        """
        predecessor = dataclasses.replace(instance, incarnation=latest)
        load = self.fleet.load(instance.address)
        self.link.send(
            instance.address, flows.Heartbeat(predecessor, load, 0, False)
        )

    async def _query_seeds(self) -> None:
        """Queries the seeds repeatedly until the store responds."""
        while self.registry.follower.last_response_ms is None:
            await self.clock.sleep(SEED_QUERY_INTERVAL_MS)
            if self.registry.follower.last_response_ms is not None:
                return
            for seed in self.options.seed_addresses:
                if seed != self.options.status_address:
                    await self.join_via_seed(seed)

    async def join_via_seed(self, seed: core.Address) -> None:
        """Adds the instances that a running instance knows to the fleet."""
        outcome = await self.peer_client.read(seed, INSTANCES_PATH)
        if isinstance(outcome, core.Failure):
            telemetry.log("seed-silent", seed=seed, reason=outcome.message)
            return
        try:
            found, left_out_count = _link_codec.unpack_entries(outcome.value)
        except ValueError as error:
            # Another release may encode instances differently.
            telemetry.log("seed-unreadable", seed=seed, reason=str(error))
            return
        for instance in found:
            if instance.address == self.own_instance.address:
                self.supersede(instance.incarnation)
            else:
                self.fleet.apply_heartbeat(
                    flows.Heartbeat(instance, flows.Load(), 0, False)
                )
        self.fleet.is_complete = True
        self.send_heartbeats([item.address for item in found])
        telemetry.log(
            "seed-answered",
            seed=seed,
            instances=len(found),
            left_out=left_out_count,
        )

    def _instances_page(self) -> bytes:
        items = [
            _link_codec.pack_instance(item) for item in self.fleet.instances()
        ]
        return json.dumps(items).encode()

    def _status_handlers(self) -> _front_end.Handlers:
        handlers: _front_end.Handlers = [
            _documents.serve(INSTANCES_PATH, self._instances_page),
            _documents.serve("/status", self._status_page),
            _documents.serve("/metrics", self._metrics_page),
        ]
        return handlers + self.extra_status_handlers()

    def extra_status_handlers(self) -> _front_end.Handlers:
        """Returns additional handlers of the status address."""
        return []

    def status(self) -> dict[str, Any]:
        """Returns the content of the status page."""
        return {
            "instance_id": self.own_instance.instance_id,
            "role": self.role.value,
            "process_id": os.getpid(),
            "stopping": self.stopping.is_set(),
            "store_lost": self.registry.follower.is_unreachable,
            "store_era": self.store.era,
            "store_restores": self.registry.follower.restore_count,
            "instances": len(self.fleet.instances()),
            "unresponsive": self.responsiveness.unresponsive_count(),
            "restarting": len(self.responsiveness.restarting()),
            "zones_not_heard": self.zone_paths.unheard_zones(),
            "paths_lost": self.zone_paths.unreachable_count(),
            "counters": vars(self.link.counters),
        }

    def _status_page(self) -> bytes:
        return json.dumps(self.status(), default=str).encode()

    def _metrics_page(self) -> bytes:
        counts = telemetry.expose_counts(self.metrics())
        return counts + telemetry.expose_instruments()

    def age_ms(self, last_response_ms: int | None) -> int:
        """Returns the time since a store response, -1 if there was none."""
        return (
            -1
            if last_response_ms is None
            else self.clock.now_ms() - last_response_ms
        )

    def metrics(self) -> dict[str, float]:
        """Returns the counters and gauges of the process."""
        values: dict[str, float] = dict(vars(self.link.counters))
        values["instances"] = len(self.fleet.instances())
        values["unresponsive_instances"] = (
            self.responsiveness.unresponsive_count()
        )
        values["zones_not_heard"] = len(self.zone_paths.unheard_zones())
        values["paths_lost"] = self.zone_paths.unreachable_count()
        values["store_lost"] = self.registry.follower.is_unreachable
        values["store_era"] = self.store.era
        values["store_restores"] = self.registry.follower.restore_count
        values["view_age_ms"] = self.age_ms(
            self.registry.follower.last_response_ms
        )
        return values


def run_until_stopped(
    options: _settings.FlowSettings,
    create_process: Callable[[core.Clock], FlowProcess],
) -> None:
    """Runs a process until it is stopped by a signal.

    Args:
        options: Settings of the process.
        create_process: Called in the event loop to create the process.
    """
    telemetry.configure_logs(sys.stdout, options.instance_id)

    async def main() -> None:
        process = create_process(core.SystemClock())
        process.handle_signals()
        await process.run()

    # This event loop needs about a quarter less processor time than asyncio's
    # own, because it reads all waiting datagrams in one iteration.
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    loop.run_until_complete(main())
    # Sockets are closed and nothing outlives the process, so there is nothing
    # to tear down. Closing the loop could wait for handles of its own.
    os._exit(0)
