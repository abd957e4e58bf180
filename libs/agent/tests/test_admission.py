"""Tests of the rate limit for new flows."""

import asyncio

from fireflyford import core
from fireflyford.agent import _admission
from fireflyford.agent import _connection

DATAGRAM = _connection.ReceivedDatagram(b"", core.Address("127.0.0.1", 1), None)


def submit_many(count: int, wait_s: float) -> tuple[list[bytes], int]:
    admitted: list[bytes] = []

    async def run() -> int:
        admission = _admission.FlowAdmission(
            lambda destination, arrivals: admitted.append(destination)
        )
        for number in range(count):
            admission.submit(number.to_bytes(4, "big"), DATAGRAM)
        at_once = len(admitted)
        await asyncio.sleep(wait_s)
        return at_once

    at_once = asyncio.run(run())
    return admitted, at_once


def test_a_burst_is_admitted_at_a_limited_rate() -> None:
    """Guards against handshakes that starve open flows."""
    admitted, at_once = submit_many(60, 0.2)
    assert at_once == _admission.BURST_FLOWS
    assert at_once < len(admitted) < 60


def test_waiting_flows_are_bounded_and_keep_their_order() -> None:
    """Guards against memory growth during a flood of new flows."""
    admitted, _ = submit_many(1_000, 1.6)
    limit = _admission.BURST_FLOWS + _admission.MAX_QUEUED_FLOWS
    assert admitted == sorted(admitted)
    assert len(admitted) <= limit


def test_a_repeated_first_datagram_opens_one_flow() -> None:
    """Guards against two connections for a caller that retransmits."""
    opened: list[int] = []

    async def run() -> None:
        admission = _admission.FlowAdmission(
            lambda destination, arrivals: opened.append(len(arrivals))
        )
        for number in range(_admission.BURST_FLOWS):
            admission.submit(bytes([number]), DATAGRAM)
        for _ in range(3):
            admission.submit(b"repeated", DATAGRAM)
        await asyncio.sleep(0.1)

    asyncio.run(run())
    assert opened == [1] * _admission.BURST_FLOWS + [3]
