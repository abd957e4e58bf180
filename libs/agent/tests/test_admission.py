"""Limited admission of new flows."""

import asyncio

from fireflyford import core
from fireflyford.agent import _admission
from fireflyford.agent import _connection

ARRIVAL = _connection.Arrival(b"", core.Address("127.0.0.1", 1), None)


def offer_many(count: int, wait_s: float) -> tuple[list[bytes], int]:
    admitted: list[bytes] = []

    async def run() -> int:
        admission = _admission.FlowAdmission(
            lambda destination, arrivals: admitted.append(destination)
        )
        for number in range(count):
            admission.offer(number.to_bytes(4, "big"), ARRIVAL)
        at_once = len(admitted)
        await asyncio.sleep(wait_s)
        return at_once

    at_once = asyncio.run(run())
    return admitted, at_once


def test_a_burst_is_admitted_at_a_limited_rate() -> None:
    """Guards against handshakes that starve the flows that are open."""
    admitted, at_once = offer_many(60, 0.2)
    assert at_once == _admission.BURST_FLOWS
    assert at_once < len(admitted) < 60


def test_waiting_flows_are_bounded_and_keep_their_order() -> None:
    """Guards against memory that grows with a flood of new flows."""
    admitted, _ = offer_many(1_000, 1.6)
    limit = _admission.BURST_FLOWS + _admission.MAX_WAITING_FLOWS
    assert admitted == sorted(admitted)
    assert len(admitted) <= limit


def test_a_repeated_first_datagram_opens_one_flow() -> None:
    """Guards against two connections for one impatient caller."""
    opened: list[int] = []

    async def run() -> None:
        admission = _admission.FlowAdmission(
            lambda destination, arrivals: opened.append(len(arrivals))
        )
        for number in range(_admission.BURST_FLOWS):
            admission.offer(bytes([number]), ARRIVAL)
        for _ in range(3):
            admission.offer(b"repeated", ARRIVAL)
        await asyncio.sleep(0.1)

    asyncio.run(run())
    assert opened == [1] * _admission.BURST_FLOWS + [3]
