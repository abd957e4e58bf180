"""Sockets of a balancer against arbitrary datagrams, and isolation."""

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
TAHIAN = wire.ConnectionIdCodec([b"r" * 16], "tahian")


class Sides:
    """Listener and link of one service, without sockets."""

    def __init__(self, service: str = "tahian") -> None:
        """Knows one target."""
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

    def counted(self) -> int:
        """Returns the number of datagrams of every outcome."""
        return sum(vars(self.counters).values())


@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
@hypothesis.given(strategies.lists(strategies.binary(max_size=80)))
def test_every_datagram_is_counted(datagrams: list[bytes]) -> None:
    """Guards against exceptions and datagrams that vanish unseen."""
    sides = Sides()
    for datagram in datagrams:
        sides.listener.receive(datagram, CALLER)
        sides.link.receive(datagram, CALLER)
    assert sides.counted() == 2 * len(datagrams)
    assert sides.counters.to_agent_count == 0
    assert sides.counters.to_caller_count == 0


def test_a_connection_id_of_another_service_is_dropped() -> None:
    """Guards against a packet of one service at another one's target."""
    datagram = b"\x40" + TAHIAN.encode(
        wire.ConnectionId(HOLDER.address, 1, b"abcd")
    )
    right, wrong = Sides("tahian"), Sides("padron")
    for sides in (right, wrong):
        sides.listener.receive(datagram + bytes(30), CALLER)
    assert right.counters.to_agent_count == 1
    assert wrong.counters.to_agent_count == 0
    assert wrong.counters.malformed_count == 1


def test_answers_of_other_services_and_keys_are_dropped() -> None:
    """Guards against answers that leave from the wrong address."""
    sides = Sides()
    for service, key in (("padron", KEY), ("tahian", b"o" * 16)):
        header = wire.ForwardHeader(
            wire.ForwardType.TO_CALLER,
            core.service_tag(service),
            1,
            0,
            core.Address(*CALLER),
        )
        packed = wire.ForwardCodec(key).pack(header, b"answer")
        sides.link.receive(packed, HOLDER.address.pair)
    assert sides.counters.foreign_count == 2
    assert sides.counters.to_caller_count == 0


def test_an_oversized_datagram_is_dropped() -> None:
    """Guards against a header that no longer fits in front of a payload."""
    sides = Sides()
    sides.listener.receive(b"\x40" * 65_500, CALLER)
    assert sides.counters.malformed_count == 1


def test_kept_headers_follow_the_ring_and_stay_bounded() -> None:
    """Guards against stale routes and memory that grows with flows."""
    sides = Sides()
    sides.listener._reader = balancer.DatagramHintReader("tahian")
    sent: list[tuple[bytes, tuple[str, int]]] = []
    sides.link.send = lambda data, agent: sent.append((data, agent))
    sides.listener.receive(b"x", CALLER)
    other = core.Address("127.0.0.1", 10)
    sides.router.replace_targets([routing.Target("other", other, 2)])
    sides.listener.receive(b"x", CALLER)
    assert [agent for _, agent in sent] == [HOLDER.address.pair, other.pair]
    for number in range(6_000):
        sides.listener.receive(b"x", ("10.0.0.1", number))
    assert len(sides.listener._kept) <= 4_096


async def _flood(datagrams: list[bytes]) -> tuple[int, bytes]:
    """Sends datagrams to a real listener, then one that must pass."""
    sides = Sides()
    agent = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    agent.bind(LOCAL.pair)
    agent.settimeout(5)
    target = core.Address(*agent.getsockname())
    front, back = (balancer.DatagramSocket(LOCAL) for _ in range(2))
    tasks = [
        asyncio.create_task(sides.listener.run(front)),
        asyncio.create_task(sides.link.run(back)),
    ]
    good = b"\x40" + TAHIAN.encode(wire.ConnectionId(target, 1, b"abcd"))
    with agent, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as caller:
        for datagram in datagrams:
            caller.sendto(datagram, front.address.pair)
            caller.sendto(datagram, back.address.pair)
            await asyncio.sleep(0)
        caller.sendto(good, front.address.pair)
        received = await asyncio.to_thread(agent.recv, 2_000)
    for task in tasks:
        task.cancel()
    return sides.counted(), received[wire.FORWARD_HEADER_BYTES :]


@hypothesis.settings(max_examples=10, deadline=None, derandomize=True)
@hypothesis.given(strategies.lists(strategies.binary(max_size=1_300)))
def test_sockets_survive_arbitrary_datagrams(datagrams: list[bytes]) -> None:
    """Guards against a task that ends with a bad datagram."""
    counted, payload = asyncio.run(_flood(datagrams))
    assert counted >= 1
    assert payload.startswith(b"\x40")


async def _fail() -> None:
    raise ValueError("bad")


async def _spawn_failing() -> None:
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
    forwarding._spawn(_fail())
    await asyncio.sleep(5)


def test_a_failing_task_ends_the_process() -> None:
    """Guards against a balancer that looks healthy and forwards nothing."""
    with pytest.raises(SystemExit):
        asyncio.run(_spawn_failing())
