"""Packets that arrive before the first configuration."""

from fireflyford import core
from fireflyford import flows
from fireflyford.flows import _startup_packets


class Clock(core.ManualClock):
    """Clock whose time a test sets without an event loop."""

    def set(self, now_ms: int) -> None:
        """Sets the time."""
        self._now_ms = now_ms


def opening(number: int, age_ms: int = 0) -> flows.Packet:
    flow = number.to_bytes(flows.FLOW_ID_BYTES, "big")
    return flows.Packet(flow, b"", opens=True, opening_age_ms=age_ms)


def test_copies_of_an_opening_packet_are_forwarded_once() -> None:
    """Guards against duplicate placements after a restart of everything."""
    packets = flows.StartupPackets(Clock(1_000_000))
    packets.add(opening(1))
    packets.add(opening(1, 200))
    packets.add(opening(2))
    assert packets.release() == [opening(1, 200), opening(2)]
    assert packets.release() == []


def test_packets_of_abandoned_attempts_are_dropped() -> None:
    """Guards against flows that are opened after their client has given up."""
    clock = Clock(1_000_000)
    packets = flows.StartupPackets(clock)
    packets.add(opening(1))
    packets.add(opening(2, 600))
    clock.set(1_001_000)
    assert packets.release() == [opening(1)]


def test_startup_packets_are_bounded() -> None:
    """Guards against memory that grows while no configuration can be read."""
    packets = flows.StartupPackets(Clock(1_000_000))
    for number in range(_startup_packets.MAX_PACKETS + 10):
        packets.add(opening(number))
    kept = packets.release()
    assert len(kept) == _startup_packets.MAX_PACKETS
    assert kept[-1] == opening(_startup_packets.MAX_PACKETS + 9)
