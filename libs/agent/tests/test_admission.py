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
        immediate_count = len(admitted)
        await asyncio.sleep(wait_s)
        return immediate_count

    immediate_count = asyncio.run(run())
    return admitted, immediate_count


def test_burst_of_new_flows_is_rate_limited() -> None:
    """Guards against handshakes that starve open flows."""
    admitted, immediate_count = submit_many(60, 0.2)
    assert immediate_count == _admission.BURST_FLOWS
    assert immediate_count < len(admitted) < 60


def test_queued_flows_are_bounded_and_admitted_in_order() -> None:
    """Guards against memory growth during a flood of new flows."""
    admitted, _ = submit_many(1_000, 1.6)
    limit = _admission.BURST_FLOWS + _admission.MAX_QUEUED_FLOWS
    assert admitted == sorted(admitted)
    assert len(admitted) <= limit


def test_retransmitted_first_datagram_opens_one_flow() -> None:
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
