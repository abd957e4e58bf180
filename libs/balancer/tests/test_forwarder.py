"""Tests of forwarding with arbitrary datagrams and of service isolation."""

import asyncio
import socket

import hypothesis
from hypothesis import strategies
import pytest

from fireflyford import balancer
from fireflyford import core
from fireflyford import routing
from fireflyford import settings
from fireflyford import wire
from fireflyford.balancer import _forwarding

KEY = b"k" * 16
LOCAL = core.Address("127.0.0.1", 0)
CALLER = ("127.0.0.1", 40_000)
HOLDER = core.Holder(core.Address("127.0.0.1", 9), 1)
TAHIAN_CODEC = wire.ConnectionIdCodec([b"r" * 16], "tahian")


class ServiceFixture:
    """Listener and link of one service without sockets."""

    def __init__(self, service: str = "tahian") -> None:
        """Sets up a router with one target."""
        self.counters = balancer.Counters()
        self.router = routing.Router(core.ManualClock())
        self.router.replace_targets(
            [routing.Target("target", HOLDER.address, HOLDER.incarnation)]
        )
        self.link = balancer.Link(wire.ForwardCodec(KEY), self.counters)
        codec = wire.ConnectionIdCodec([b"r" * 16], service)
        self.listener = balancer.ServiceListener(
            service,
            self.router,
            balancer.QuicHintReader(codec),
            self.link,
            self.counters,
        )
        self.link.add_listener(self.listener)

    def counted_datagrams(self) -> int:
        """Returns the number of datagrams over all outcomes."""
        return sum(vars(self.counters).values())


@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
@hypothesis.given(strategies.lists(strategies.binary(max_size=80)))
def test_every_datagram_is_counted(datagrams: list[bytes]) -> None:
    """Guards against exceptions and datagrams that are not counted."""
    fixture = ServiceFixture()
    for datagram in datagrams:
        fixture.listener.receive(datagram, CALLER)
        fixture.link.receive(datagram, CALLER)
    assert fixture.counted_datagrams() == 2 * len(datagrams)
    assert fixture.counters.to_agent_count == 0
    assert fixture.counters.to_caller_count == 0


def test_packet_with_connection_id_of_other_service_is_dropped() -> None:
    """Guards against packets that reach a target of another service."""
    datagram = b"\x40" + TAHIAN_CODEC.encode(
        wire.ConnectionId(HOLDER.address, 1, b"abcd")
    )
    own_service, other_service = (
        ServiceFixture("tahian"),
        ServiceFixture("padron"),
    )
    for fixture in (own_service, other_service):
        fixture.listener.receive(datagram + bytes(30), CALLER)
    assert own_service.counters.to_agent_count == 1
    assert other_service.counters.to_agent_count == 0
    assert other_service.counters.malformed_count == 1


def test_responses_with_other_service_or_key_are_dropped() -> None:
    """Guards against responses sent from the wrong service address."""
    fixture = ServiceFixture()
    for service, key in (("padron", KEY), ("tahian", b"o" * 16)):
        header = wire.ForwardHeader(
            wire.ForwardType.TO_CALLER,
            core.service_tag(service),
            1,
            0,
            core.Address(*CALLER),
        )
        packed = wire.ForwardCodec(key).pack(header, b"answer")
        fixture.link.receive(packed, HOLDER.address.pair)
    assert fixture.counters.foreign_count == 2
    assert fixture.counters.to_caller_count == 0


def test_oversized_datagram_is_dropped() -> None:
    """Guards against a payload too large to be sent with the header."""
    fixture = ServiceFixture()
    fixture.listener.receive(b"\x40" * 65_500, CALLER)
    assert fixture.counters.malformed_count == 1


def test_route_cache_follows_target_changes_and_is_bounded() -> None:
    """Guards against stale routes and memory growth with open flows."""
    fixture = ServiceFixture()
    fixture.listener._reader = balancer.DatagramHintReader("tahian")
    sent: list[tuple[bytes, tuple[str, int]]] = []
    fixture.link.send = lambda data, agent: sent.append((data, agent))
    fixture.listener.receive(b"x", CALLER)
    other = core.Address("127.0.0.1", 10)
    fixture.router.replace_targets([routing.Target("other", other, 2)])
    fixture.listener.receive(b"x", CALLER)
    assert [agent for _, agent in sent] == [HOLDER.address.pair, other.pair]
    for number in range(6_000):
        fixture.listener.receive(b"x", ("10.0.0.1", number))
    assert len(fixture.listener._route_cache) <= 4_096


async def _send_datagrams(datagrams: list[bytes]) -> tuple[int, bytes]:
    """Sends datagrams to real sockets, then one that must be forwarded."""
    fixture = ServiceFixture()
    agent = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    agent.bind(LOCAL.pair)
    agent.settimeout(5)
    target = core.Address(*agent.getsockname())
    front, back = (balancer.DatagramSocket(LOCAL) for _ in range(2))
    tasks = [
        asyncio.create_task(fixture.listener.run(front)),
        asyncio.create_task(fixture.link.run(back)),
    ]
    valid = b"\x40" + TAHIAN_CODEC.encode(wire.ConnectionId(target, 1, b"abcd"))
    with agent, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as caller:
        for datagram in datagrams:
            caller.sendto(datagram, front.address.pair)
            caller.sendto(datagram, back.address.pair)
            await asyncio.sleep(0)
        caller.sendto(valid, front.address.pair)
        received = await asyncio.to_thread(agent.recv, 2_000)
    for task in tasks:
        task.cancel()
    return fixture.counted_datagrams(), received[wire.FORWARD_HEADER_BYTES :]


@hypothesis.settings(max_examples=10, deadline=None, derandomize=True)
@hypothesis.given(strategies.lists(strategies.binary(max_size=1_300)))
def test_arbitrary_datagrams_do_not_stop_socket_tasks(
    datagrams: list[bytes],
) -> None:
    """Guards against a bad datagram that ends the task of a socket."""
    counted_datagrams, payload = asyncio.run(_send_datagrams(datagrams))
    assert counted_datagrams >= 1
    assert payload.startswith(b"\x40")


async def _fail() -> None:
    raise ValueError("bad")


async def _start_failing_task() -> None:
    options = settings.BalancerSettings(
        instance_id="balancer-1",
        region="visayas",
        availability_zone="cebu",
        link_address="127.0.0.1:0",
        control_address="127.0.0.1:0",
        bulk_address="127.0.0.1:0",
        status_address="127.0.0.1:0",
        routing_keys_hex=("00" * 16,),
        link_key_hex="00" * 16,
        listeners={},
    )
    forwarding = _forwarding.Forwarding(options, core.ManualClock())
    forwarding._start_task(_fail())
    await asyncio.sleep(5)


def test_failed_task_ends_process() -> None:
    """Guards against a balancer that appears healthy but forwards nothing."""
    with pytest.raises(SystemExit):
        asyncio.run(_start_failing_task())
