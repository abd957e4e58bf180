"""Lifecycle of an agent process."""

import asyncio
import dataclasses
import pathlib
import random
import signal
import sys

from aioquic.quic import configuration as quic_configuration

from fireflyford import config
from fireflyford import core
from fireflyford import membership
from fireflyford import requests
from fireflyford import settings
from fireflyford import store
from fireflyford import telemetry
from fireflyford import wire
from fireflyford.agent import _authorization
from fireflyford.agent import _backend_client
from fireflyford.agent import _backend_feeds
from fireflyford.agent import _backend_monitor
from fireflyford.agent import _configuration
from fireflyford.agent import _datagram
from fireflyford.agent import _endpoint
from fireflyford.agent import _feeds
from fireflyford.agent import _peer_channel
from fireflyford.agent import _peer_selector
from fireflyford.agent import _ring_placement
from fireflyford.agent import _service
from fireflyford.agent import _ticket_codec
from fireflyford.agent import _tls

_DRAIN_POLL_MS = 50
_WEIGHT_INTERVAL_MS = 1_000
# Balancers learn of a drain within 3 s; new flows that arrive until then are
# relayed to peers.
DRAIN_NOTICE_MS = 3_000


class Agent:
    """An agent with its flows and its backend server."""

    def __init__(
        self,
        options: settings.AgentSettings,
        service: config.Service,
        tls: quic_configuration.QuicConfiguration,
        clock: core.Clock,
    ) -> None:
        """Initializes an agent.

        Args:
            options: Validated settings.
            service: Service of the backend server.
            tls: QUIC configuration with the certificate.
            clock: Source of time.
        """
        self._options = options
        self._clock = clock
        member = _own_member(options, clock)
        self._channel = membership.UdpChannel(options.link_key)
        self._membership = membership.Membership(
            clock,
            self._channel,
            member,
            [core.Address.parse(seed) for seed in options.seeds],
        )
        self._peer_selector = _peer_selector.PeerSelector(
            self._membership, member, clock
        )
        backend_address = core.Address.parse(options.backend_address)
        backend = _backend_client.BackendClient(clock, backend_address)
        self._peer_channel = _peer_channel.PynngPeerChannel(
            clock, options.link_key
        )
        self._engine = requests.RequestEngine(
            clock,
            backend,
            options.slot_count,
            requests.ShortestExpectedDelay(random.SystemRandom()),
            _peer_info(member),
            self._peer_channel,
        )
        self._backend_monitor = _backend_monitor.BackendMonitor(
            clock, backend_address
        )
        self._feeds = _feeds.FeedServer(
            clock,
            _backend_feeds.BackendFeeds(self._backend_monitor),
            self._backend_monitor.check,
            lambda: len(self._peer_selector.alive_peers()),
        )
        self._handler = _service.ServiceHandler(
            clock,
            service,
            self._engine,
            self._feeds,
            _ticket_codec.TicketCodec(options.link_key),
        )
        self._authorization = _authorization.AuthorizationHandler(
            options.caller_key, service, self._handler
        )
        self._stopping = asyncio.Event()
        self._flows: _datagram.DatagramFlows | None = None
        if service.transport is config.Transport.DATAGRAM:
            self._flows = self._make_flows(member)
        self._endpoint = _endpoint.Endpoint(
            service=options.service,
            incarnation=member.link_incarnation,
            address=member.link_address,
            codec=wire.ForwardCodec(options.link_key),
            connection_id_codec=wire.ConnectionIdCodec(
                options.routing_keys, options.service
            ),
            configuration=tls,
            handler=self._authorization,
            find_relay_peer=self._find_relay_peer,
            balancers=self._peer_selector,
            datagram_flows=self._flows,
        )
        self._follower = store.ConfigFollower(
            clock,
            random.SystemRandom(),
            _configuration.AgentConfigPeers(options, self._membership),
            self._apply_deployment,
            service=options.service,
        )
        self._backend_monitor.on_change(self._handle_backend_change)

    def _make_flows(self, member: membership.Member) -> _datagram.DatagramFlows:
        placement = _ring_placement.RingFlowPlacement(
            member, self._stopping.is_set, self._membership.view
        )
        flows = _datagram.DatagramFlows(
            clock=self._clock,
            service=self._options.service,
            own_holder=core.Holder(
                member.link_address, member.link_incarnation
            ),
            codec=wire.ForwardCodec(self._options.link_key),
            backend_address=core.Address.parse(self._options.backend_address),
            placement=placement,
        )
        self._membership.on_change(
            lambda view: flows.handle_view_change(
                _ring_placement.dead_holders(view)
            )
        )
        return flows

    async def run(self) -> None:
        """Runs until a graceful shutdown is complete."""
        loop = asyncio.get_running_loop()
        await self._channel.open(self._options.control_listen)
        await self._backend_monitor.wait_until_reachable()
        self._membership.on_withdrawal(self._stopping.set)
        self._membership.on_config_version(lambda *_: self._follower.notify())
        self._membership.on_change(self._apply_view)
        tasks = [
            asyncio.create_task(self._membership.run()),
            asyncio.create_task(self._follower.run()),
        ]
        for task in tasks:
            task.add_done_callback(telemetry.log_task_failure)
        # Flows accepted before the first synchronization could be handled
        # according to an outdated configuration file.
        await self._follower.wait_until_synced()
        link = self._options.link_listen
        await loop.create_datagram_endpoint(
            lambda: self._endpoint, local_addr=link.pair
        )
        status = telemetry.serve_status(
            core.Address.parse(self._options.status_address),
            self._make_meter(),
            ready=lambda: not self._stopping.is_set() and self._follower.synced,
            status=self._status,
            drain=self._start_drain,
        )
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._on_signal)
        telemetry.log("started", role="agent", service=self._options.service)
        peer_server = _peer_channel.PeerServer(
            self._clock, self._options.link_key, self._engine
        )
        tasks += [
            asyncio.create_task(self._backend_monitor.run()),
            asyncio.create_task(peer_server.run(link)),
            asyncio.create_task(self._announce_weight()),
        ]
        if self._flows is not None:
            tasks.append(asyncio.create_task(self._flows.run()))
        self._membership.update(state=membership.State.ALIVE)
        await self._stopping.wait()
        await self._drain()
        self._engine.close()
        for task in tasks:
            task.cancel()
        # pynng may abort the process if a socket is closed during a call, so
        # all calls end first.
        await asyncio.wait(tasks)
        await self._clock.sleep(_DRAIN_POLL_MS)
        self._peer_channel.close()
        status.stop()
        telemetry.log("stopped", role="agent")

    async def _announce_weight(self) -> None:
        """Announces the measured speed; membership limits the change rate."""
        while True:
            await self._clock.sleep(_WEIGHT_INTERVAL_MS)
            self._membership.update(weight=self._engine.relative_speed())

    def _apply_view(self, view: membership.View) -> None:
        """Sets the peers of the engine; tickets may still name former peers."""
        self._engine.set_peers(
            [
                _peer_info(member)
                for member in view.targets(self._options.service)
                if member.instance_id != self._options.instance_id
            ]
        )

    def _apply_deployment(self, deployment: config.Deployment) -> None:
        service = deployment.service(self._options.service)
        # If its service is missing, an agent keeps the last treatments.
        if service is not None:
            self._handler.service = service
            self._authorization.service = service
            self._apply_second_attempt_limit(service.second_attempt_ratio)

    def _apply_second_attempt_limit(self, ratio: float) -> None:
        policy = self._engine.second_attempts
        if ratio != policy.limit_ratio:
            telemetry.log(
                "second-attempt-limit", ratio=ratio, before=policy.limit_ratio
            )
            policy.set_limit(ratio)

    async def _drain(self) -> None:
        limit_ms = self._clock.now_ms() + self._options.drain_limit_ms
        self._membership.update(state=membership.State.DRAINING)
        self._send_goaways()
        move_task = asyncio.create_task(self._feeds.start_move())
        # Balancers learn of the drain during this time. New flows from a
        # balancer that has not learned of it are relayed to peers.
        await self._clock.sleep(DRAIN_NOTICE_MS)
        self._engine.drain()
        while self._unfinished_count() and self._clock.now_ms() < limit_ms:
            await self._clock.sleep(_DRAIN_POLL_MS)
        move_task.cancel()
        if self._unfinished_count():
            telemetry.log("drain-limit-reached", **self._unfinished_work())
        for connection in list(self._endpoint.connections):
            connection.close()
        await self._clock.sleep(_DRAIN_POLL_MS)
        self._membership.update(state=membership.State.LEFT)

    def _handle_backend_change(self, is_up: bool) -> None:
        """Accepts new flows only while the backend server is reachable."""
        if self._stopping.is_set():
            return
        if is_up:
            self._membership.update(state=membership.State.ALIVE)
        else:
            self._membership.update(state=membership.State.DRAINING)
            self._send_goaways()

    def _send_goaways(self) -> None:
        """Asks all callers to open other connections for new requests."""
        for connection in self._endpoint.connections:
            connection.send_goaway()

    def _unfinished_work(self) -> dict[str, int]:
        feeds = self._feeds.feed_count
        return {
            "requests": self._unfinished_count() - feeds,
            "feeds": feeds,
            "plain_feeds": self._feeds.plain_count,
            "connections": len(self._endpoint.connections),
        }

    def _unfinished_count(self) -> int:
        flow_count = 0 if self._flows is None else self._flows.open_count
        pending_count = self._engine.pending_count
        return (
            flow_count
            + pending_count
            + sum(
                connection.request_count
                for connection in self._endpoint.connections
            )
        )

    def _find_relay_peer(self, destination_id: bytes) -> core.Address | None:
        if self._stopping.is_set() or not self._backend_monitor.is_up:
            return self._peer_selector.find_relay_peer(destination_id)
        return None

    def _start_drain(self) -> None:
        if not self._stopping.is_set():
            telemetry.log("draining", role="agent", **self._unfinished_work())
            self._stopping.set()

    def _on_signal(self) -> None:
        if self._stopping.is_set():
            telemetry.log("stopped-early", **self._unfinished_work())
            sys.exit(1)
        self._start_drain()

    def _make_meter(self) -> telemetry.Meter:
        meter = telemetry.Meter()
        counters = self._endpoint.counters
        meter.counter("received_datagrams", lambda: counters.received_count)
        meter.counter("foreign_datagrams", lambda: counters.foreign_count)
        meter.counter("misrouted_datagrams", lambda: counters.misrouted_count)
        meter.counter(
            "unknown_flow_datagrams", lambda: counters.unknown_flow_count
        )
        meter.gauge("open_connections", lambda: len(self._endpoint.connections))
        meter.counter("relayed_datagrams", lambda: counters.relayed_count)
        meter.counter("rotated_return_paths", lambda: counters.rotated_count)
        meter.counter(
            "dropped_new_flows",
            lambda: self._endpoint.admission.dropped_count,
        )
        meter.counter("moved_feeds", lambda: self._feeds.moved_count)
        meter.counter("resumed_feeds", lambda: self._feeds.resumed_count)
        meter.gauge("open_feeds", lambda: self._feeds.feed_count)
        meter.gauge("requests_in_flight", lambda: self._engine.in_flight_count)
        _add_admission_metrics(meter, self._engine)
        return meter

    def _status(self) -> dict[str, object]:
        return {
            "instance_id": self._options.instance_id,
            "role": "agent",
            "service": self._options.service,
            "draining": self._stopping.is_set(),
            "connections": len(self._endpoint.connections),
            "feeds": self._feeds.feed_count,
            "backend_up": self._backend_monitor.is_up,
            "moved_feeds": self._feeds.moved_count,
            "resumed_feeds": self._feeds.resumed_count,
            "dropped_flows": self._endpoint.admission.dropped_count,
            "in_flight": self._engine.in_flight_count,
            "counters": vars(self._endpoint.counters),
            "flows": (
                {}
                if self._flows is None
                else vars(self._flows.counters)
                | {"open_count": self._flows.open_count}
            ),
            "admission": self._engine.status(),
            "config": self._follower.status(),
        }


def _add_admission_metrics(
    meter: telemetry.Meter, engine: requests.RequestEngine
) -> None:
    scheduler = engine.scheduler
    admission = scheduler.admission
    meter.counter("requests_admitted", lambda: admission.admitted_count)
    meter.counter("requests_refused", lambda: admission.refused_count)
    meter.counter("requests_handed_over", lambda: scheduler.handed_over_count)
    meter.gauge("requests_running", lambda: scheduler.slots.running_count)
    meter.gauge("requests_queued", lambda: scheduler.slots.queued_count)
    meter.gauge("slot_utilization", scheduler.slots.utilization)
    meter.gauge("request_records", lambda: len(engine.records))
    second = engine.second_attempts
    meter.counter("second_attempts", lambda: second.attempt_count)
    meter.counter("second_attempts_won", lambda: second.win_count)
    meter.counter(
        "second_attempts_over_budget", lambda: second.over_budget_count
    )
    meter.counter(
        "second_attempts_under_overload", lambda: second.overload_count
    )
    meter.gauge("second_attempt_work", lambda: second.extra_work_ratio)


def _peer_info(member: membership.Member) -> requests.PeerInfo:
    return requests.PeerInfo(
        target_id=member.instance_id,
        address=member.link_address,
        incarnation=member.incarnation,
        availability_zone=member.availability_zone,
        draining=member.state is membership.State.DRAINING,
    )


def _own_member(
    options: settings.AgentSettings, clock: core.Clock
) -> membership.Member:
    return membership.Member(
        instance_id=options.instance_id,
        role=core.Role.AGENT,
        region=options.region,
        availability_zone=options.availability_zone,
        service=options.service,
        link_address=core.Address.parse(options.link_address),
        control_address=core.Address.parse(options.control_address),
        bulk_address=core.Address.parse(options.bulk_address),
        status_address=core.Address.parse(options.status_address),
        incarnation=membership.new_incarnation(clock, random.SystemRandom()),
        # Accepts no flows until the sockets are open.
        state=membership.State.DRAINING,
    )


def run(options: settings.AgentSettings) -> core.Outcome[None]:
    """Runs an agent until it is stopped."""
    telemetry.configure_logs(sys.stderr, options.instance_id)
    tls = _tls.load_tls(options)
    if isinstance(tls, core.Failure):
        return tls
    parsed = config.parse(pathlib.Path(options.config_path).read_bytes())
    if isinstance(parsed, core.Failure):
        return parsed
    service = parsed.value.service(options.service)
    if service is None:
        return core.Failure(
            core.ErrorKind.NO_SUCH_SERVICE,
            f"{options.service} is not defined in {options.config_path}",
        )
    asyncio.run(_run(options, service, tls.value))
    return core.Ok(None)


async def _run(
    options: settings.AgentSettings,
    service: config.Service,
    tls: quic_configuration.QuicConfiguration,
) -> None:
    seeds = await store.find_seeds(options.seeds, options.store_addresses)
    options = dataclasses.replace(options, seeds=seeds)
    await Agent(options, service, tls, core.SystemClock()).run()
