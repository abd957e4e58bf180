"""What balancer and agent processes have in common."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import json
import os
import random
import signal
import sys
from typing import Any

from tornado import httpserver
from tornado import web

from fireflyford import core
from fireflyford import flows
from fireflyford import store
from fireflyford import telemetry
from fireflyford.runtime import _beats
from fireflyford.runtime import _config_source
from fireflyford.runtime import _link
from fireflyford.runtime import _link_codec
from fireflyford.runtime import _packets
from fireflyford.runtime import _registry
from fireflyford.runtime import _settings

INSTANCES_PATH = "/instances"
# Timeouts of decisions are tens of milliseconds.
SWEEP_INTERVAL_MS = 20
EXPIRE_INTERVAL_MS = 1_000
# Kept for the end of the process before the platform kills it.
GRACE_RESERVE_MS = 1_000
# Part of that for the withdrawal of the entry; a call takes some milliseconds.
LEAVE_RESERVE_MS = 500
# Time for the tasks of a process to start before peers are asked.
JOIN_DELAY_MS = 300


class Page(web.RequestHandler):
    """A document of the process."""

    def initialize(self, read: Callable[[], bytes]) -> None:
        """Takes the function that returns the document."""
        self._read = read

    def get(self) -> None:
        """Answers with the document."""
        self.finish(self._read())


class FlowProcess:
    """Sockets, registry, beats and signals of one process."""

    role: core.Role

    def __init__(
        self,
        options: _settings.FlowSettings,
        front_end: _packets.FrontEnd,
        clock: core.Clock,
        service: str,
    ) -> None:
        """Prepares a process.

        Args:
            options: Settings.
            front_end: Encodings and calls of the surroundings.
            clock: Source of time.
            service: Service of an agent, empty for a balancer.
        """
        self.options = options
        self.clock = clock
        self.front_end = front_end
        self.rng = random.Random()
        self.own = flows.Instance(
            instance_id=options.instance_id,
            role=self.role,
            service=service,
            availability_zone=options.availability_zone,
            address=options.link_address,
            incarnation=clock.wall_ms(),
        )
        self.fleet = flows.Fleet(clock)
        self.store: store.Store = front_end.open_store()
        self.registry = _registry.Registry(
            self.store,
            clock,
            self.rng,
            self.own,
            self.fleet,
            self._join,
            self._meet,
        )
        self.pages = _config_source.HttpPeerPages()
        self.link = _link.Link(
            options.link_address,
            front_end.packets,
            options.client_port,
            self.hear,
        )
        self.stopping = asyncio.Event()
        # When the signal to stop came.
        self.stopped_ms = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._servers: list[httpserver.HTTPServer] = []

    # To be provided by each kind of process.

    async def run(self) -> None:
        """Runs until a signal ends the process."""
        raise NotImplementedError

    def hear(self, sender: core.Address, message: flows.Message) -> None:
        """Handles a message of another instance, or of this one."""
        raise NotImplementedError

    def sweep(self) -> None:
        """Acts on timeouts."""
        raise NotImplementedError

    def load(self) -> flows.Load:
        """Returns the load to announce."""
        return flows.Load()

    def config_version(self) -> int:
        """Returns the version of the configuration to announce."""
        return 0

    def beat_receivers(self) -> list[core.Address]:
        """Returns the instances that need this one's signs of life."""
        raise NotImplementedError

    def all_receivers(self) -> list[core.Address]:
        """Returns the instances that hear of a start, an end or a drain."""
        return self.beat_receivers()

    # Life of the process.

    def start_task(self, name: str, work: Coroutine[Any, Any, None]) -> None:
        """Runs a task until the process ends."""
        task = asyncio.create_task(work, name=name)
        task.add_done_callback(telemetry.log_task_failure)
        self._tasks.append(task)

    def listen(self, address: core.Address, rules: _packets.Rules) -> None:
        """Serves HTTP."""
        application = web.Application(
            rules,
            log_function=lambda handler: None,
        )
        self._servers.append(
            application.listen(address.port, address.host, backlog=256)
        )

    async def start(self) -> None:
        """Opens the link and starts the common tasks."""
        telemetry.log(
            "started",
            role=self.role.value,
            service=self.own.service,
            incarnation=self.own.incarnation,
        )
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self.link.open()
        self.listen(self.options.status_address, self._status_rules())
        self.start_task("publish", self.registry.publish())
        self.start_task("registry", self.registry.follower.run())
        self.start_task("seeds", self._ask_seeds())
        self.start_task("beats", self._beat())
        self.start_task("sweep", self._sweep())
        self.start_task("expire", self._expire())

    async def leave(self) -> None:
        """Tells the others that this instance ends for good."""
        # Tasks that go on would write the entry again.
        for task in self._tasks:
            task.cancel()
        self.send_beats(self.all_receivers(), leaving=True)
        await self.registry.withdraw(self.grace_left_ms() + LEAVE_RESERVE_MS)

    def grace_left_ms(self) -> int:
        """Returns how long this process may still run after its signal."""
        spent_ms = self.clock.now_ms() - self.stopped_ms
        return self.options.grace_ms - GRACE_RESERVE_MS - spent_ms

    async def finish(self) -> None:
        """Ends all tasks and sockets."""
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.stop()
        self.link.close()
        telemetry.log("stopped", role=self.role.value)

    def _stop(self) -> None:
        telemetry.log("stopping", role=self.role.value)
        self.stopped_ms = self.clock.now_ms()
        self.stopping.set()

    def _reload(self) -> None:
        telemetry.log("reload", effect="settings are read at each start")

    async def _beat(self) -> None:
        while True:
            receivers = self.beat_receivers()
            self.send_beats(receivers)
            interval_ms = _beats.beat_interval_ms(len(receivers))
            await self.clock.sleep(_beats.jittered(interval_ms, self.rng))

    def send_beats(
        self, receivers: list[core.Address], leaving: bool = False
    ) -> None:
        """Sends one sign of life to each receiver."""
        beat = flows.Heartbeat(
            self.own, self.load(), self.config_version(), leaving
        )
        for address in receivers:
            if address != self.own.address:
                self.link.send(address, beat)

    async def _sweep(self) -> None:
        while True:
            due_ms = self.clock.now_ms() + SWEEP_INTERVAL_MS
            await self.clock.sleep(SWEEP_INTERVAL_MS)
            delay_ms = max(0, self.clock.now_ms() - due_ms)
            telemetry.observe("event_loop_delay", delay_ms)
            self.sweep()

    async def _expire(self) -> None:
        while True:
            await self.clock.sleep(EXPIRE_INTERVAL_MS)
            self.fleet.refresh()
            self.expire()

    def expire(self) -> None:
        """Forgets what has not been used for long."""

    def _join(self, earlier: flows.Instance | None) -> None:
        self.joined(earlier)
        self.send_beats(self.all_receivers())

    def _meet(self, found: list[flows.Instance]) -> None:
        """Makes this instance known to processes that the registry showed.

        They may have read it before this instance was there.
        """
        receivers = set(self.all_receivers())
        self.send_beats(
            [item.address for item in found if item.address in receivers]
        )

    def joined(self, earlier: flows.Instance | None) -> None:
        """Handles the first sight of the registry.

        Args:
            earlier: Entry that an earlier process left at this address.
        """

    def greet(self, beat: flows.Heartbeat) -> None:
        """Answers the first beat of a process, which may know nobody yet.

        The registry shows it all instances but those that the store turns
        away, which are introduced to it here.
        """
        newcomer = beat.instance
        known = self.fleet.find(newcomer.address)
        is_new = known is None or known.incarnation < newcomer.incarnation
        if not is_new or beat.leaving:
            return
        self.send_beats([newcomer.address])
        for other in self.fleet.unregistered():
            if other.address in (newcomer.address, self.own.address):
                continue
            load = self.fleet.load(other.address)
            introduction = flows.Heartbeat(other, load, 0, False)
            self.link.send(newcomer.address, introduction)
            self.link.send(other.address, beat)

    async def _ask_seeds(self) -> None:
        """Learns of the other instances from seeds while the store is away."""
        while self.registry.follower.heard_ms is None:
            await self.clock.sleep(JOIN_DELAY_MS)
            if self.registry.follower.heard_ms is not None:
                return
            for seed in self.options.seed_addresses:
                if seed != self.options.status_address:
                    await self.join_from(seed)

    async def join_from(self, seed: core.Address) -> None:
        """Takes the instances that a running one knows."""
        outcome = await self.pages.read(seed, INSTANCES_PATH)
        if isinstance(outcome, core.Failure):
            telemetry.log("seed-silent", seed=seed, reason=outcome.message)
            return
        try:
            found = [
                _link_codec.unpack_instance(tuple(item))
                for item in json.loads(outcome.value)
            ]
        except (TypeError, ValueError) as error:
            # Another release may describe instances in another way.
            telemetry.log("seed-unreadable", seed=seed, reason=str(error))
            return
        for instance in found:
            if instance.address != self.own.address:
                self.fleet.apply_heartbeat(
                    flows.Heartbeat(instance, flows.Load(), 0, False)
                )
        self.send_beats([item.address for item in found])
        telemetry.log("seed-answered", seed=seed, instances=len(found))

    def _instances_page(self) -> bytes:
        items = [
            _link_codec.pack_instance(item) for item in self.fleet.instances()
        ]
        return json.dumps(items).encode()

    def _status_rules(self) -> _packets.Rules:
        rules: _packets.Rules = [
            (INSTANCES_PATH, Page, {"read": self._instances_page}),
            ("/status", Page, {"read": self._status_page}),
            ("/metrics", Page, {"read": self._metrics_page}),
        ]
        return rules + self.status_rules()

    def status_rules(self) -> _packets.Rules:
        """Returns further handlers of the status address."""
        return []

    def status(self) -> dict[str, Any]:
        """Returns the state of the process for operators."""
        return {
            "instance_id": self.own.instance_id,
            "role": self.role.value,
            "process_id": os.getpid(),
            "stopping": self.stopping.is_set(),
            "store_lost": self.registry.follower.is_lost,
            "instances": len(self.fleet.instances()),
            "counters": vars(self.link.counters),
        }

    def _status_page(self) -> bytes:
        return json.dumps(self.status(), default=str).encode()

    def _metrics_page(self) -> bytes:
        counts = telemetry.expose_counts(self.metrics())
        return counts + telemetry.expose_instruments()

    def age_ms(self, heard_ms: int | None) -> int:
        """Returns the time since the store told something, -1 for never."""
        return -1 if heard_ms is None else self.clock.now_ms() - heard_ms

    def metrics(self) -> dict[str, float]:
        """Returns the counters and gauges of the process."""
        values: dict[str, float] = dict(vars(self.link.counters))
        values["instances"] = len(self.fleet.instances())
        values["store_lost"] = self.registry.follower.is_lost
        values["view_age_ms"] = self.age_ms(self.registry.follower.heard_ms)
        return values


def run_until_stopped(
    options: _settings.FlowSettings,
    make: Callable[[core.Clock], FlowProcess],
) -> None:
    """Runs a process until a signal ends it.

    Args:
        options: Its settings.
        make: Makes the process, in the running event loop.
    """
    telemetry.configure_logs(sys.stdout, options.instance_id)

    async def main() -> None:
        await make(core.SystemClock()).run()

    asyncio.run(main())
