"""Random choices and links of the fault proxy."""

import asyncio
from typing import Any

import pytest

from fireflyford import core
from fireflyford.lab import _fault_links
from fireflyford.lab import _faults
from fireflyford.lab import _ports

FORWARD = _faults.Direction.FORWARD
BACKWARD = _faults.Direction.BACKWARD


def draw_delays(
    faults: _faults.Faults, seed: int, count: int
) -> list[list[float]]:
    plan = _faults.FaultPlan(faults, seed)
    return [plan.delays_ms(0.0, 1_000, FORWARD) for _ in range(count)]


def test_same_seed_repeats_delays() -> None:
    """Guards against runs that are not reproducible."""
    faults = _faults.Faults(loss_ratio=0.3, jitter_ms=5, duplicate_ratio=0.2)
    assert draw_delays(faults, 1, 100) == draw_delays(faults, 1, 100)
    assert draw_delays(faults, 1, 100) != draw_delays(faults, 2, 100)


def test_loss_and_late_ratios_match_settings() -> None:
    """Guards against faults that are rarer or more frequent than configured."""
    lost = draw_delays(_faults.Faults(loss_ratio=0.25), 3, 4_000).count([])
    assert 900 < lost < 1_100
    late = draw_delays(_faults.Faults(late_ratio=0.5, late_ms=60_000), 3, 4_000)
    assert 1_900 < late.count([0.0, 60_000.0]) < 2_100


def test_one_way_cut_blocks_one_direction() -> None:
    """Guards against a one-way cut that blocks both directions."""
    plan = _faults.FaultPlan(_faults.Faults(cut=_faults.Cut.FORWARD), 1)
    assert plan.delays_ms(0.0, 100, FORWARD) == []
    assert plan.delays_ms(0.0, 100, BACKWARD) == [0.0]


def test_rate_limit_queues_then_drops() -> None:
    """Guards against a rate limit with an unbounded queue."""
    queued = draw_delays(_faults.Faults(rate_bytes_per_s=10_000), 1, 20)
    assert queued[:3] == [[0.0], [100.0], [200.0]]
    assert queued[-1] == []


def test_ratio_above_one_is_rejected() -> None:
    """Guards against a percentage in place of a ratio."""
    with pytest.raises(ValueError, match="loss_ratio"):
        _faults.Faults(loss_ratio=30)


class _Echo(asyncio.DatagramProtocol):
    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, payload: bytes, addr: Any) -> None:
        self.transport.sendto(payload, addr)


class _Sender(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.received: list[bytes] = []

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, payload: bytes, addr: Any) -> None:
        self.received.append(payload)


async def open_sender(target: core.Address) -> _Sender:
    loop = asyncio.get_running_loop()
    _, sender = await loop.create_datagram_endpoint(
        _Sender, remote_addr=target.pair
    )
    return sender


async def is_echoed(sender: _Sender, payload: bytes) -> bool:
    sender.transport.sendto(payload)
    await asyncio.sleep(0.03)
    return payload in sender.received


def test_freeze_and_source_cut_block_open_flow_but_not_new_flow() -> None:
    """Guards against a frozen path that also blocks new connections."""

    async def run() -> list[bool]:
        loop = asyncio.get_running_loop()
        target, listen = _ports.free_address(), _ports.free_address()
        await loop.create_datagram_endpoint(_Echo, local_addr=target.pair)
        link = _fault_links.LinkFactory(1).make(
            _fault_links.LinkKind.DATAGRAM, target
        )
        await link.listen(listen)
        first_sender = await open_sender(listen)
        results = [await is_echoed(first_sender, b"before")]
        link.set_faults(_faults.Faults(freeze_ratio=1.0), "")
        results.append(await is_echoed(first_sender, b"frozen"))
        results.append(await is_echoed(await open_sender(listen), b"new"))
        source = str(
            core.Address(*first_sender.transport.get_extra_info("sockname"))
        )
        link.set_faults(_faults.Faults(), "")
        link.set_faults(_faults.Faults(cut=_faults.Cut.BOTH), source)
        results.append(await is_echoed(first_sender, b"cut pair"))
        results.append(await is_echoed(await open_sender(listen), b"other"))
        return results

    assert asyncio.run(run()) == [True, False, True, False, True]


def test_stream_link_forwards_freezes_and_resets() -> None:
    """Guards against frozen streams that close instead of staying open."""

    async def run() -> None:
        target, listen = _ports.free_address(), _ports.free_address()

        async def echo(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while chunk := await reader.read(100):
                writer.write(chunk)

        await asyncio.start_server(echo, *target.pair)
        link = _fault_links.LinkFactory(1).make(
            _fault_links.LinkKind.STREAM, target
        )
        await link.listen(listen)
        reader, writer = await asyncio.open_connection(*listen.pair)
        writer.write(b"one")
        assert await reader.readexactly(3) == b"one"
        link.set_faults(_faults.Faults(freeze_ratio=1.0), "")
        writer.write(b"two")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await reader.read(3)
        link.set_faults(_faults.Faults(reset=True), "")
        with pytest.raises(ConnectionResetError):
            await reader.read(3)

    asyncio.run(run())
