"""Life of an agent process."""

import asyncio
import pathlib
import random
import signal
import ssl
import sys

from aioquic.quic import configuration as quic_configuration

from fireflyford import config
from fireflyford import core
from fireflyford import membership
from fireflyford import requests
from fireflyford import settings
from fireflyford import telemetry
from fireflyford import wire
from fireflyford.agent import _backend
from fireflyford.agent import _endpoint
from fireflyford.agent import _peer
from fireflyford.agent import _service
from fireflyford.agent import _ticket_codec

_IDLE_TIMEOUT_S = 30.0
_DRAIN_POLL_MS = 50
# Balancers learn of a drain within 3 s, so new flows are relayed until then.
LEAVE_DELAY_MS = 3_000


class Agent:
    """One agent with its flows and its backend server."""

    def __init__(
        self,
        options: settings.AgentSettings,
        service: config.Service,
        tls: quic_configuration.QuicConfiguration,
        clock: core.Clock,
    ) -> None:
        """Prepares an agent.

        Args:
            options: Checked settings.
            service: The service of the backend server.
            tls: QUIC configuration with the certificate.
            clock: Source of time.
        """
        self._options = options
        self._clock = clock
        self._rng = random.SystemRandom()
        member = _own_member(options, clock)
        self._channel = membership.UdpChannel(options.link_key)
        self._membership = membership.Membership(
            clock,
            self._channel,
            member,
            [core.Address.parse(seed) for seed in options.seeds],
        )
        backend = _backend.Backend(
            clock, core.Address.parse(options.backend_address)
        )
        self._peers = _peer.PynngPeers(clock, options.link_key)
        self._engine = requests.Engine(
            clock,
            backend,
            options.slot_count,
            requests.ExpectedCompletion(self._rng),
            _peer_info(member),
            self._peers,
        )
        self._handler = _service.ServiceHandler(
            clock,
            service,
            self._engine,
            backend,
            _ticket_codec.TicketCodec(options.link_key),
        )
        self._endpoint = _endpoint.Endpoint(
            service=options.service,
            incarnation=member.link_incarnation,
            address=member.link_address,
            codec=wire.ForwardCodec(options.link_key),
            connection_ids=wire.ConnectionIdCodec(
                options.routing_keys, options.service
            ),
            configuration=tls,
            handler=self._handler,
            relay_target=self._relay_target,
        )
        self._stopping = asyncio.Event()

    async def run(self) -> None:
        """Runs until a graceful shutdown has ended."""
        loop = asyncio.get_running_loop()
        control = core.Address.parse(self._options.control_address)
        await self._channel.open(control)
        link = core.Address.parse(self._options.link_address)
        await loop.create_datagram_endpoint(
            lambda: self._endpoint, local_addr=link.pair
        )
        status = telemetry.serve_status(
            core.Address.parse(self._options.status_address),
            self._make_meter(),
            ready=lambda: not self._stopping.is_set(),
            status=self._status,
            drain=self._stopping.set,
        )
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)
        telemetry.log("started", role="agent", service=self._options.service)
        self._membership.on_change(self._take_view)
        server = _peer.PeerServer(
            self._clock, self._options.link_key, self._engine
        )
        tasks = (
            asyncio.create_task(self._membership.run()),
            asyncio.create_task(server.run(link)),
        )
        await self._stopping.wait()
        await self._drain()
        self._engine.close()
        for task in tasks:
            task.cancel()
        # pynng may abort the process when a socket closes under a call.
        await asyncio.wait(tasks)
        await self._clock.sleep(_DRAIN_POLL_MS)
        self._peers.close()
        status.stop()
        telemetry.log("stopped", role="agent")

    def _take_view(self, view: membership.View) -> None:
        """Gives the engine its peers; tickets may still name others."""
        self._engine.set_peers(
            [
                _peer_info(member)
                for member in view.targets(self._options.service)
                if member.instance_id != self._options.instance_id
            ]
        )

    async def _drain(self) -> None:
        start_ms = self._clock.now_ms()
        self._membership.update(state=membership.State.DRAINING)
        await self._clock.sleep(LEAVE_DELAY_MS)
        self._engine.drain()
        limit_ms = start_ms + self._options.drain_limit_ms
        while self._busy_count() and self._clock.now_ms() < limit_ms:
            await self._clock.sleep(_DRAIN_POLL_MS)
        if self._busy_count():
            telemetry.log("drain-limit-reached", left=self._busy_count())
        for connection in list(self._endpoint.connections):
            connection.close()
        await self._clock.sleep(_DRAIN_POLL_MS)
        self._membership.update(state=membership.State.LEFT)

    def _busy_count(self) -> int:
        requests_count = sum(
            connection.request_count
            for connection in self._endpoint.connections
        )
        return requests_count + self._engine.pending_count

    def _relay_target(self) -> core.Address | None:
        if not self._stopping.is_set():
            return None
        peers = [
            member
            for member in self._membership.view().targets(self._options.service)
            if member.state is membership.State.ALIVE
        ]
        return self._rng.choice(peers).link_address if peers else None

    def _on_signal(self) -> None:
        if self._stopping.is_set():
            telemetry.log("stopped-early", left=self._busy_count())
            sys.exit(1)
        telemetry.log("draining", role="agent")
        self._stopping.set()

    def _make_meter(self) -> telemetry.Meter:
        meter = telemetry.Meter()
        counters = self._endpoint.counters
        meter.count("received_datagrams", lambda: counters.received_count)
        meter.count("foreign_datagrams", lambda: counters.foreign_count)
        meter.count("misrouted_datagrams", lambda: counters.misrouted_count)
        meter.count(
            "unknown_flow_datagrams", lambda: counters.unknown_flow_count
        )
        meter.gauge("open_connections", lambda: len(self._endpoint.connections))
        meter.gauge("open_feeds", lambda: self._handler.feed_count)
        meter.gauge("requests_in_flight", lambda: self._engine.in_flight_count)
        _admission_metrics(meter, self._engine)
        return meter

    def _status(self) -> dict[str, object]:
        return {
            "instance_id": self._options.instance_id,
            "role": "agent",
            "service": self._options.service,
            "draining": self._stopping.is_set(),
            "connections": len(self._endpoint.connections),
            "feeds": self._handler.feed_count,
            "in_flight": self._engine.in_flight_count,
            "counters": vars(self._endpoint.counters),
            "admission": self._engine.status(),
        }


def _admission_metrics(meter: telemetry.Meter, engine: requests.Engine) -> None:
    runner = engine.runner
    admission = runner.admission
    meter.count("requests_admitted", lambda: admission.admitted_count)
    meter.count("requests_refused", lambda: admission.refused_count)
    meter.count("requests_handed_over", lambda: runner.handed_over_count)
    meter.gauge("requests_running", lambda: runner.slots.running_count)
    meter.gauge("requests_queued", lambda: runner.slots.queued_count)
    meter.gauge("slot_utilization", runner.slots.utilization)
    meter.gauge("request_records", lambda: len(engine.records))


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
    )


def load_tls(
    options: settings.AgentSettings,
) -> core.Outcome[quic_configuration.QuicConfiguration]:
    """Loads the certificate of the service."""
    configuration = quic_configuration.QuicConfiguration(
        alpn_protocols=["h3"],
        is_client=False,
        connection_id_length=wire.CONNECTION_ID_BYTES,
        idle_timeout=_IDLE_TIMEOUT_S,
    )
    try:
        configuration.load_cert_chain(
            options.certificate_path, options.private_key_path
        )
    except (OSError, ValueError, ssl.SSLError) as error:
        return core.Failure(
            core.ErrorKind.BAD_CERTIFICATE,
            f"{options.certificate_path}: {error}",
        )
    return core.Ok(configuration)


def run(options: settings.AgentSettings) -> core.Outcome[None]:
    """Runs an agent until it is stopped."""
    telemetry.configure_logs(sys.stderr, options.instance_id)
    tls = load_tls(options)
    if isinstance(tls, core.Failure):
        return tls
    parsed = config.parse(pathlib.Path(options.config_path).read_bytes())
    if isinstance(parsed, core.Failure):
        return parsed
    service = parsed.value.service(options.service)
    if service is None:
        return core.Failure(
            core.ErrorKind.NO_SUCH_SERVICE,
            f"{options.service} is not in {options.config_path}",
        )
    asyncio.run(_run(options, service, tls.value))
    return core.Ok(None)


async def _run(
    options: settings.AgentSettings,
    service: config.Service,
    tls: quic_configuration.QuicConfiguration,
) -> None:
    await Agent(options, service, tls, core.SystemClock()).run()
