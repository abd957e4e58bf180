"""Packets of clients that arrive before a balancer has a configuration."""

from fireflyford import core
from fireflyford.flows import _routes
from fireflyford.flows import _types

# Some 300 bytes each; as many as arrive at a balancer within a second when all
# clients open their flows again.
MAX_PACKETS = 4_096


class StartupPackets:
    """Keeps the packets of clients until they can be routed.

    Answers the load after a restart of everything: clients send three copies of
    an opening packet within 600 ms, and the first configuration may take longer
    over a slow link.
    """

    def __init__(self, clock: core.Clock) -> None:
        """Initializes an empty buffer."""
        self._clock = clock
        # Arrival time and packet by flow, sequence number and length, which
        # retransmissions share; oldest first.
        self._packets: dict[
            tuple[bytes, int, int], tuple[int, _types.Packet]
        ] = {}

    def __len__(self) -> int:
        """Returns the number of packets."""
        return len(self._packets)

    def add(self, packet: _types.Packet) -> None:
        """Keeps a packet; a retransmission replaces the earlier copy."""
        key = (packet.flow, packet.seq, packet.payload_bytes)
        self._packets.pop(key, None)
        if len(self._packets) >= MAX_PACKETS:
            del self._packets[next(iter(self._packets))]
        self._packets[key] = (self._clock.now_ms(), packet)

    def release(self) -> list[_types.Packet]:
        """Returns the packets whose clients may still wait, and forgets all."""
        oldest_ms = self._clock.now_ms() - _routes.OPENING_ATTEMPT_MS
        packets = [
            packet
            for received_ms, packet in self._packets.values()
            if received_ms - packet.opening_age_ms >= oldest_ms
        ]
        self._packets.clear()
        return packets
