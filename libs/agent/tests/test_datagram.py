"""Tests of plain-datagram flows of agents over real sockets."""

import asyncio
import socket
from typing import cast

from aioquic.quic import configuration as quic_configuration
import hypothesis
from hypothesis import strategies

from fireflyford import balancer
from fireflyford import core
from fireflyford import routing
from fireflyford import wire
from fireflyford.agent import _connection
from fireflyford.agent import _datagram
from fireflyford.agent import _endpoint
from fireflyford.agent import _return_path

KEY = b"k" * 16
LOCAL = ("127.0.0.1", 0)
SERVICE = "gauge"
CODEC = wire.ForwardCodec(KEY)


class FakePlacement(routing.FlowPlacement):
    """Placement with a successor that can be set to simulate draining."""

    def __init__(self) -> None:
        """Starts without a successor."""
        self.next_holder: core.Holder | None = None

    def first_target(self, flow_key: int) -> core.Holder | None:
        """Returns None."""
        return None

    def successor(self, flow_key: int) -> core.Holder | None:
        """Returns the successor."""
        return self.next_holder


class EchoServer(asyncio.DatagramProtocol):
    """Backend server that echoes datagrams prefixed with its name."""

    def __init__(self, name: bytes) -> None:
        """Stores the name."""
        self._name = name

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Sends the response."""
        self._transport.sendto(self._name + b" " + data, addr)


class AgentFixture:
    """Endpoint and flows of one agent."""

    def __init__(self, name: str, incarnation: int) -> None:
        """Initializes the agent; `open` opens the sockets."""
        self.name = name
        self.incarnation = incarnation
        self.placement = FakePlacement()

    async def open(self) -> None:
        """Opens the sockets of the backend server and the link."""
        loop = asyncio.get_running_loop()
        backend, _ = await loop.create_datagram_endpoint(
            lambda: EchoServer(self.name.encode()), local_addr=LOCAL
        )
        link = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        link.bind(LOCAL)
        address = core.Address(*link.getsockname())
        self.target = routing.Target(self.name, address, self.incarnation)
        self.flows = _datagram.DatagramFlows(
            core.SystemClock(),
            SERVICE,
            self.target.holder,
            CODEC,
            core.Address(*backend.get_extra_info("sockname")),
            self.placement,
        )
        self.endpoint = _endpoint.Endpoint(
            SERVICE,
            self.incarnation,
            address,
            CODEC,
            wire.ConnectionIdCodec([KEY], SERVICE),
            quic_configuration.QuicConfiguration(is_client=False),
            cast(_connection.RequestHandler, None),
            lambda destination: None,
            cast(_return_path.BalancerSource, None),
            self.flows,
        )
        await loop.create_datagram_endpoint(lambda: self.endpoint, sock=link)
        self.task = asyncio.create_task(self.flows.run())


class BalancerFixture:
    """Sockets and router of one balancer."""

    def __init__(self, targets: list[routing.Target]) -> None:
        """Opens the sockets of a balancer with the given targets."""
        self.counters = balancer.Counters()
        self.router = routing.Router(core.SystemClock())
        self.router.replace_targets(targets)
        link = balancer.Link(CODEC, self.counters)
        reader = balancer.DatagramHintReader(SERVICE)
        listener = balancer.ServiceListener(
            SERVICE, self.router, reader, link, self.counters
        )
        link.add_listener(listener)
        front, back = (
            balancer.DatagramSocket(core.Address(*LOCAL)) for _ in range(2)
        )
        self.pair = front.address.pair
        self.tasks = [
            asyncio.create_task(listener.run(front)),
            asyncio.create_task(link.run(back)),
        ]


async def exchange(
    caller: socket.socket, front: BalancerFixture, text: bytes
) -> bytes:
    loop = asyncio.get_running_loop()
    caller.sendto(text, front.pair)
    async with asyncio.timeout(5):
        response, sender = await loop.sock_recvfrom(caller, 2_000)
    assert sender == front.pair
    return response


def open_caller() -> socket.socket:
    caller = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    caller.bind(LOCAL)
    caller.setblocking(False)
    return caller


async def _exchange_while_targets_change() -> list[set[bytes]]:
    agents = [
        AgentFixture(f"agent-{number}", number + 1) for number in range(4)
    ]
    for agent in agents:
        await agent.open()
    targets = [agent.target for agent in agents]
    old, new = BalancerFixture(targets[:3]), BalancerFixture(targets)
    callers = [open_caller() for _ in range(30)]
    responses = [{await exchange(caller, old, b"1")} for caller in callers]
    for caller, seen in zip(callers, responses, strict=True):
        seen.add(await exchange(caller, new, b"1"))
    # One agent drains; only that agent and one balancer have been notified.
    draining = agents[0]
    draining.placement.next_holder = targets[1].holder
    new.router.replace_targets(targets[1:])
    for caller, seen in zip(callers, responses, strict=True):
        seen.add(await exchange(caller, new, b"1"))
        seen.add(await exchange(caller, old, b"1"))
    late_caller = open_caller()
    first = await exchange(late_caller, old, b"2")
    responses.append({first, await exchange(late_caller, new, b"2")})
    assert not first.startswith(b"agent-0")
    assert sum(agent.flows.open_count for agent in agents) == 31
    for agent in agents:
        agent.task.cancel()
    for caller in (*callers, late_caller):
        caller.close()
    return responses


def test_flows_keep_backend_server_when_targets_change() -> None:
    """Guards against flows that change target and misrouted responses."""
    responses = asyncio.run(_exchange_while_targets_change())
    assert all(len(seen) == 1 for seen in responses)
    assert len(set.union(*responses)) >= 3


def make_header(agent: AgentFixture, **fields: object) -> wire.ForwardHeader:
    known: dict[str, object] = {
        "kind": wire.ForwardType.TO_AGENT,
        "service": core.service_tag(SERVICE),
        "incarnation": agent.incarnation,
        "flow_key": 7,
        "caller": core.Address("127.0.0.1", 5),
    }
    return wire.ForwardHeader(**(known | fields))


async def _send_mismatched_datagrams() -> _endpoint.Counters:
    agent = AgentFixture("agent", 2)
    await agent.open()
    balancer_address = ("127.0.0.1", 9)
    for fields in (
        {"service": core.service_tag("other")},
        # Sent to an earlier agent at the same address.
        {"incarnation": 1},
        {"kind": wire.ForwardType.TO_CALLER},
        {"kind": wire.ForwardType.ADOPT, "incarnation": 1},
    ):
        packed = CODEC.pack(make_header(agent, **fields), b"payload")
        agent.endpoint.datagram_received(packed, balancer_address)
    foreign = wire.ForwardCodec(b"o" * 16).pack(make_header(agent), b"")
    agent.endpoint.datagram_received(foreign, balancer_address)
    assert agent.flows.open_count == 0
    agent.task.cancel()
    return agent.endpoint.counters


def test_mismatched_datagrams_are_dropped_and_counted() -> None:
    """Guards against late datagrams for an earlier agent at the address."""
    counters = asyncio.run(_send_mismatched_datagrams())
    assert counters.misrouted_count == 4
    assert counters.foreign_count == 1


async def _fuzz_datagrams(datagrams: list[bytes], notices: list[bytes]) -> None:
    agent = AgentFixture("agent", 2)
    await agent.open()
    holder = core.Holder(core.Address("127.0.0.1", 9), 3)
    for datagram in datagrams:
        agent.endpoint.datagram_received(datagram, ("127.0.0.1", 9))
    assert agent.endpoint.counters.foreign_count == len(datagrams)
    for payload in notices:
        for kind in (wire.ForwardType.ADOPT, wire.ForwardType.RELEASE):
            header = make_header(agent, kind=kind, holders=(holder,))
            packed = CODEC.pack(header, payload)
            agent.endpoint.datagram_received(packed, ("127.0.0.1", 9))
    counters = agent.flows.counters
    assert counters.dropped_count + counters.late_notice_count == 2 * len(
        notices
    )
    agent.task.cancel()


@hypothesis.settings(max_examples=25, deadline=None, derandomize=True)
@hypothesis.given(
    strategies.lists(strategies.binary(max_size=120), max_size=8),
    strategies.lists(strategies.binary(max_size=9), max_size=8),
)
def test_arbitrary_datagrams_and_notices_are_dropped(
    datagrams: list[bytes], notices: list[bytes]
) -> None:
    """Guards against exceptions and against old or malformed notices."""
    asyncio.run(_fuzz_datagrams(datagrams, notices))


addresses = strategies.builds(
    core.Address, strategies.just("127.0.0.1"), strategies.integers(1, 3)
)
holders = strategies.builds(core.Holder, addresses, strategies.integers(0, 2))
fields = strategies.fixed_dictionaries(
    {
        "kind": strategies.sampled_from(wire.ForwardType),
        "flow_key": strategies.integers(0, 3),
        "hops": strategies.integers(0, 255),
        "holders": strategies.lists(holders, max_size=3).map(tuple),
        "timestamp_ms": strategies.integers(0, 3)
        | strategies.integers(0, wire.TIMESTAMP_MASK),
        "balancer": strategies.none() | addresses,
    }
)


async def _fuzz_signed_headers(headers: list[dict[str, object]]) -> None:
    agent = AgentFixture("agent", 2)
    await agent.open()
    sent_ms = core.SystemClock().wall_ms().to_bytes(8, "big")
    for number, known in enumerate(headers):
        packed = CODEC.pack(make_header(agent, **known), sent_ms)
        sender = ("127.0.0.1", 1 + number % 3)
        agent.endpoint.datagram_received(packed, sender)
        await asyncio.sleep(0)
    assert agent.flows.open_count <= 4
    assert len(agent.flows._table) <= 4
    assert not agent.task.done()
    agent.task.cancel()


@hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
@hypothesis.given(strategies.lists(fields, max_size=30))
def test_arbitrary_signed_headers_do_not_stop_agent(
    headers: list[dict[str, object]],
) -> None:
    """Guards against exceptions for headers that no peer would send."""
    asyncio.run(_fuzz_signed_headers(headers))
