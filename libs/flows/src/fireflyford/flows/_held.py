"""Flows of the backend server beside an agent, and its load."""

import collections

from fireflyford import core
from fireflyford import telemetry
from fireflyford.flows import _types

# A new flow reserves a slot until its first request, at most this long: the
# client sends it one round trip after the flow opened, some 10 ms.
RESERVATION_MS = 60
# A request without a response no longer counts as work after this time: the
# client has given up most of them, and what counts as work wrongly would keep
# a slot empty.
WORK_LIMIT_MS = 3_000
# Flows that ended are remembered for late retransmissions of both ends, which
# follow each other by up to 1.6 s.
ENDED_KEPT_MS = 10_000
# Flows may be discarded when older than this or idle.
FLOW_LIFETIME_MS = 120_000
FLOW_IDLE_MS = 60_000
# Weight of a new sample in the mean service time.
_SAMPLE_WEIGHT = 0.1
# Service times have a long tail; a sample counts at most this many means.
_MAX_SAMPLE_FACTOR = 4.0


class TrackedFlow:
    """One flow that the backend server holds."""

    def __init__(self, now_ms: int, long_lived: bool) -> None:
        """Notes when the flow became known.

        Args:
            now_ms: Time of the clock.
            long_lived: Whether it is expected to carry many requests.
        """
        self.opened_ms = now_ms
        self.used_ms = now_ms
        self.long_lived = long_lived
        # First sequence number of the backend server, None after a restart of
        # the agent, and the end of what it has sent so far.
        self.first_seq: int | None = None
        self.sent_end = 0
        self.client_end: int | None = None
        self.client_ack = 0
        self.reserved_until_ms = now_ms + RESERVATION_MS
        self.busy_since_ms: int | None = None
        self.started_idle = False
        self.ended = False

    def matches(self, packet: _types.Packet) -> bool:
        """Returns whether a client's packet belongs to this flow.

        A client may have opened the flow at another backend server that also
        answered its first packet; it then acknowledges another sequence.
        """
        if packet.opens or self.first_seq is None or not packet.acknowledges:
            return True
        sent = _types.sequence_distance(self.first_seq, self.sent_end)
        acknowledged = _types.sequence_distance(self.first_seq, packet.ack)
        return 0 < acknowledged <= sent


class FlowTracker:
    """All flows that the backend server is known to hold."""

    def __init__(self, clock: core.Clock, slot_count: int = 1) -> None:
        """Starts without flows.

        Args:
            clock: Source of time.
            slot_count: Requests worked on at the same time.
        """
        self._clock = clock
        self._flows: collections.OrderedDict[bytes, TrackedFlow] = (
            collections.OrderedDict()
        )
        self.slot_count = slot_count
        self.service_ms = 0.0
        self._busy_count = 0

    def __len__(self) -> int:
        """Returns the number of flows, recently ended ones included."""
        return len(self._flows)

    def __contains__(self, flow: bytes) -> bool:
        """Returns whether a flow is held."""
        return flow in self._flows

    def get(self, flow: bytes) -> TrackedFlow | None:
        """Returns a flow, or None."""
        return self._flows.get(flow)

    def open_flows(self) -> tuple[bytes, ...]:
        """Returns the flows that have not ended."""
        return tuple(
            flow for flow, tracked in self._flows.items() if not tracked.ended
        )

    def add(
        self, flow: bytes, long_lived: bool, first_seq: int | None
    ) -> TrackedFlow:
        """Adds a flow that the backend server has accepted."""
        tracked = TrackedFlow(self._clock.now_ms(), long_lived)
        if first_seq is None:
            tracked.reserved_until_ms = tracked.opened_ms
        else:
            tracked.first_seq = first_seq
            tracked.sent_end = (first_seq + 1) % _types.SEQUENCE_MODULUS
        self.remove(flow)
        self._flows[flow] = tracked
        return tracked

    def remove(self, flow: bytes) -> None:
        """Forgets a flow."""
        tracked = self._flows.pop(flow, None)
        if tracked is not None:
            self._finish(tracked)

    def clear(self) -> None:
        """Forgets all flows."""
        for flow in tuple(self._flows):
            self.remove(flow)

    def receive(self, tracked: TrackedFlow, packet: _types.Packet) -> None:
        """Notes a packet of the client."""
        now_ms = self._clock.now_ms()
        tracked.used_ms = now_ms
        self._flows.move_to_end(packet.flow)
        if packet.opens:
            return
        tracked.client_ack = packet.ack
        if packet.resets or packet.ends:
            # The client waits for no response any more.
            self._finish(tracked)
            self._end(tracked)
            return
        if packet.payload_bytes and _extends(tracked.client_end, packet):
            tracked.client_end = _end_of(packet)
            tracked.reserved_until_ms = now_ms
            if tracked.busy_since_ms is None and not tracked.ended:
                tracked.busy_since_ms = now_ms
                tracked.started_idle = self._busy_count < self.slot_count
                self._busy_count += 1

    def answer(self, tracked: TrackedFlow, packet: _types.Packet) -> None:
        """Notes a packet of the backend server."""
        tracked.used_ms = self._clock.now_ms()
        if packet.resets:
            self._finish(tracked)
            self._end(tracked)
            return
        if packet.payload_bytes or packet.ends:
            end = _end_of(packet)
            if tracked.first_seq is None or (
                _types.sequence_distance(tracked.first_seq, end)
                > _types.sequence_distance(tracked.first_seq, tracked.sent_end)
            ):
                tracked.sent_end = end
        if packet.payload_bytes and tracked.busy_since_ms is not None:
            duration_ms = tracked.used_ms - tracked.busy_since_ms
            kind = "free-slot" if tracked.started_idle else "queued"
            telemetry.observe("response", duration_ms, kind)
            if tracked.started_idle:
                self._sample(duration_ms)
            self._finish(tracked)
        if packet.ends:
            self._end(tracked)

    def load(self, state: _types.TargetState) -> _types.Load:
        """Returns the load of the backend server."""
        now_ms = self._clock.now_ms()
        reserved_count = long_lived_count = 0
        for tracked in self._flows.values():
            if tracked.ended:
                continue
            long_lived_count += tracked.long_lived
            reserved_count += tracked.reserved_until_ms > now_ms
        return _types.Load(
            state=state,
            slot_count=self.slot_count,
            busy_count=self._busy_count,
            reserved_count=reserved_count,
            long_lived_count=long_lived_count,
            service_ms=round(self.service_ms, 1),
        )

    def sweep(self) -> None:
        """Forgets flows that are over, and work without a response."""
        now_ms = self._clock.now_ms()
        for flow, tracked in tuple(self._flows.items()):
            idle_ms = now_ms - tracked.used_ms
            limit_ms = ENDED_KEPT_MS if tracked.ended else FLOW_IDLE_MS
            if (
                idle_ms > limit_ms
                or now_ms - tracked.opened_ms > FLOW_LIFETIME_MS
            ):
                self.remove(flow)
            elif (
                tracked.busy_since_ms is not None
                and now_ms - tracked.busy_since_ms > WORK_LIMIT_MS
            ):
                self._finish(tracked)

    def _end(self, tracked: TrackedFlow) -> None:
        tracked.ended = True
        tracked.reserved_until_ms = tracked.used_ms

    def _finish(self, tracked: TrackedFlow) -> None:
        if tracked.busy_since_ms is not None:
            tracked.busy_since_ms = None
            self._busy_count -= 1

    def _sample(self, duration_ms: float) -> None:
        sample_ms = max(float(duration_ms), 1.0)
        if not self.service_ms:
            self.service_ms = sample_ms
            return
        sample_ms = min(sample_ms, self.service_ms * _MAX_SAMPLE_FACTOR)
        self.service_ms += _SAMPLE_WEIGHT * (sample_ms - self.service_ms)


def _end_of(packet: _types.Packet) -> int:
    return (
        packet.seq + packet.payload_bytes + packet.ends
    ) % _types.SEQUENCE_MODULUS


def _extends(known_end: int | None, packet: _types.Packet) -> bool:
    if known_end is None:
        return True
    ahead = _types.sequence_distance(known_end, _end_of(packet))
    return 0 < ahead < _types.SEQUENCE_MODULUS // 2
