"""Flows and load of the backend server of an agent.

A backend server processes as many requests concurrently as it has slots.
"""

import collections

from fireflyford import core
from fireflyford import telemetry
from fireflyford.flows import _types

# How long a new flow reserves a slot for its first request, which the client
# sends one round trip after the flow opens, some 10 ms.
RESERVATION_MS = 60
# An unanswered request is no longer counted as in progress after this time: the
# client has usually given up, and an overcount would leave a slot unused.
REQUEST_LIMIT_MS = 3_000
# Ended flows are kept for late retransmissions of both sides, which are up to
# 1.6 s apart.
ENDED_FLOW_RETENTION_MS = 10_000
# A client abandons an attempt to open a flow 1.4 s after its first packet. An
# accepted flow that it has not acknowledged by then is open elsewhere.
UNOPENED_LIMIT_MS = 2_000
# A flow is discarded at this age, or after this time without a packet.
FLOW_LIFETIME_MS = 120_000
FLOW_IDLE_MS = 60_000
# Weight of a new sample in the mean service time.
_SAMPLE_WEIGHT = 0.1
# A sample is capped at this multiple of the mean, as service times have a long
# tail.
_MAX_SAMPLE_FACTOR = 4.0


class TrackedFlow:
    """One flow that the backend server holds."""

    def __init__(
        self, now_ms: int, long_lived: bool, opening_seq: int | None
    ) -> None:
        """Initializes a flow with a reserved slot.

        Args:
            now_ms: Time of the clock.
            long_lived: Whether it is expected to carry many requests.
            opening_seq: Sequence number of the client's opening packet, None
                if the agent has restarted since.
        """
        self.opened_ms = now_ms
        self.last_used_ms = now_ms
        self.long_lived = long_lived
        self.opening_seq = opening_seq
        # First sequence number of the backend server (None if the agent has
        # restarted since), and the end of the data that it has sent so far.
        self.first_seq: int | None = None
        self.sent_seq_end = 0
        # Whether the flow is known to be open here: the client has
        # acknowledged a sequence number of the backend server, or that one has
        # sent more than its acceptance. The client may have opened an accepted
        # flow at another backend server, and a flow of a probe that was not
        # returned in time is only presumed to be held.
        self.is_confirmed = False
        self.client_seq_end: int | None = None
        self.client_ack = 0
        self.reserved_until_ms = now_ms + RESERVATION_MS
        # Arrival time of the request in progress, and whether a slot was free
        # for it.
        self.busy_since_ms: int | None = None
        self.had_free_slot = False
        self.ended = False
        # Process of the directory agent that was last told of this flow.
        self.announced_to: tuple[core.Address, int] | None = None

    def matches(self, packet: _types.Packet) -> bool:
        """Returns whether a client's packet belongs to this flow.

        An opening packet belongs to it if it is a copy of the one that opened
        it; with any other one, the client uses the ports for a new flow.

        Another backend server may also have accepted the flow. If the client
        has opened it there, it acknowledges that server's sequence numbers,
        which this one has not sent.
        """
        if packet.opens:
            return not self.ended and self.opening_seq == packet.seq
        if self.first_seq is None or not packet.acknowledges:
            return True
        sent = _types.sequence_distance(self.first_seq, self.sent_seq_end)
        acknowledged = _types.sequence_distance(self.first_seq, packet.ack)
        return 0 < acknowledged <= sent

    def is_opened_by(self, packet: _types.Packet) -> bool:
        """Returns whether a client's packet shows that the flow is open here.

        A backend server that has accepted a flow may not be the only one. The
        flow opens where the client acknowledges the sequence number.
        """
        return (
            self.first_seq is not None
            and packet.acknowledges
            and self.matches(packet)
        )


class FlowTracker:
    """Flows that the backend server is known to hold, and their load."""

    def __init__(self, clock: core.Clock, slot_count: int = 1) -> None:
        """Initializes a tracker without flows.

        Args:
            clock: Source of time.
            slot_count: Requests processed concurrently.
        """
        self._clock = clock
        self._flows: collections.OrderedDict[bytes, TrackedFlow] = (
            collections.OrderedDict()
        )
        self.slot_count = slot_count
        # Mean time from a request to its response, 0 until one is measured.
        self.service_ms = 0.0
        # Requests in progress, including those that wait for a slot.
        self._busy_count = 0
        # Open long-lived flows, and flows that may have a reserved slot.
        self._long_lived_count = 0
        self._reserving: dict[bytes, TrackedFlow] = {}

    def __len__(self) -> int:
        """Returns the number of flows, including those that ended recently."""
        return len(self._flows)

    def __contains__(self, flow: bytes) -> bool:
        """Returns whether a flow is tracked."""
        return flow in self._flows

    def get(self, flow: bytes) -> TrackedFlow | None:
        """Returns a flow, None if it is not tracked."""
        return self._flows.get(flow)

    def open_flows(self) -> tuple[bytes, ...]:
        """Returns the flows that have not ended."""
        return tuple(
            flow for flow, tracked in self._flows.items() if not tracked.ended
        )

    def add(
        self,
        flow: bytes,
        long_lived: bool,
        first_seq: int | None,
        opening_seq: int | None,
    ) -> TrackedFlow:
        """Adds a flow that the backend server has accepted.

        Args:
            flow: The flow.
            long_lived: Whether it is expected to carry many requests.
            first_seq: First sequence number of the backend server, None for a
                flow that was opened before this process started.
            opening_seq: Sequence number of the client's opening packet, None
                for such a flow.
        """
        tracked = TrackedFlow(self._clock.now_ms(), long_lived, opening_seq)
        if first_seq is None:
            tracked.reserved_until_ms = tracked.opened_ms
        else:
            tracked.first_seq = first_seq
            tracked.sent_seq_end = (first_seq + 1) % _types.SEQUENCE_MODULUS
        self.remove(flow)
        self._flows[flow] = tracked
        self._long_lived_count += long_lived
        if tracked.reserved_until_ms > tracked.opened_ms:
            self._reserving[flow] = tracked
        return tracked

    def remove(self, flow: bytes) -> None:
        """Removes a flow."""
        tracked = self._flows.pop(flow, None)
        if tracked is not None:
            self._finish_request(tracked)
            self._mark_ended(tracked)

    def clear(self) -> None:
        """Removes all flows."""
        for flow in tuple(self._flows):
            self.remove(flow)

    def record_client_packet(
        self, tracked: TrackedFlow, packet: _types.Packet
    ) -> bool:
        """Updates a flow for a packet from the client.

        Returns:
            Whether the client repeats data.
        """
        now_ms = self._clock.now_ms()
        tracked.last_used_ms = now_ms
        self._flows.move_to_end(packet.flow)
        if packet.opens:
            return False
        tracked.client_ack = packet.ack
        if not tracked.is_confirmed and tracked.is_opened_by(packet):
            tracked.is_confirmed = True
        if packet.resets or packet.ends:
            # The client no longer waits for a response.
            self._finish_request(tracked)
            self._mark_ended(tracked)
            return False
        if not packet.payload_bytes:
            return False
        if _has_new_data(tracked.client_seq_end, packet):
            tracked.client_seq_end = _sequence_end(packet)
            tracked.reserved_until_ms = now_ms
            if tracked.busy_since_ms is None and not tracked.ended:
                tracked.busy_since_ms = now_ms
                tracked.had_free_slot = self._busy_count < self.slot_count
                self._busy_count += 1
            return False
        return True

    def record_target_packet(
        self, tracked: TrackedFlow, packet: _types.Packet
    ) -> None:
        """Updates a flow for a packet from the backend server."""
        tracked.last_used_ms = self._clock.now_ms()
        tracked.is_confirmed = True
        if packet.resets:
            self._finish_request(tracked)
            self._mark_ended(tracked)
            return
        if packet.payload_bytes or packet.ends:
            end = _sequence_end(packet)
            if tracked.first_seq is None or (
                _types.sequence_distance(tracked.first_seq, end)
                > _types.sequence_distance(
                    tracked.first_seq, tracked.sent_seq_end
                )
            ):
                tracked.sent_seq_end = end
        if packet.payload_bytes and packet.acknowledges:
            # Late copies of an answered request are not another one. They
            # arrive together after a restart of the agent.
            ahead = _types.sequence_distance(
                tracked.client_seq_end or 0, packet.ack
            )
            if (
                tracked.client_seq_end is None
                or ahead < _types.SEQUENCE_MODULUS // 2
            ):
                tracked.client_seq_end = packet.ack
        if packet.payload_bytes and tracked.busy_since_ms is not None:
            duration_ms = tracked.last_used_ms - tracked.busy_since_ms
            kind = "free-slot" if tracked.had_free_slot else "queued"
            telemetry.observe("response", duration_ms, kind)
            if tracked.had_free_slot:
                self._record_service_time(duration_ms)
            self._finish_request(tracked)
        if packet.ends:
            self._mark_ended(tracked)

    def load(self, state: _types.TargetState) -> _types.Load:
        """Returns the load of the backend server."""
        now_ms = self._clock.now_ms()
        self._reserving = {
            flow: tracked
            for flow, tracked in self._reserving.items()
            if tracked.reserved_until_ms > now_ms and not tracked.ended
        }
        return _types.Load(
            state=state,
            slot_count=self.slot_count,
            busy_count=self._busy_count,
            reserved_count=len(self._reserving),
            long_lived_count=self._long_lived_count,
            service_ms=round(self.service_ms, 1),
        )

    def expire(self) -> None:
        """Removes ended, idle and old flows, and times out requests."""
        now_ms = self._clock.now_ms()
        for flow, tracked in tuple(self._flows.items()):
            idle_ms = now_ms - tracked.last_used_ms
            limit_ms = (
                ENDED_FLOW_RETENTION_MS if tracked.ended else FLOW_IDLE_MS
            )
            if (
                idle_ms > limit_ms
                or now_ms - tracked.opened_ms > FLOW_LIFETIME_MS
            ):
                self.remove(flow)
            elif (
                tracked.busy_since_ms is not None
                and now_ms - tracked.busy_since_ms > REQUEST_LIMIT_MS
            ):
                self._finish_request(tracked)
            elif (
                tracked.long_lived
                and not tracked.ended
                and not tracked.is_confirmed
                and tracked.first_seq is not None
                and idle_ms > UNOPENED_LIMIT_MS
            ):
                # It is kept for a late client, but brings no work.
                self._long_lived_count -= 1
                tracked.long_lived = False

    def _mark_ended(self, tracked: TrackedFlow) -> None:
        if not tracked.ended:
            self._long_lived_count -= tracked.long_lived
        tracked.ended = True
        tracked.reserved_until_ms = tracked.last_used_ms

    def _finish_request(self, tracked: TrackedFlow) -> None:
        if tracked.busy_since_ms is not None:
            tracked.busy_since_ms = None
            self._busy_count -= 1

    def _record_service_time(self, duration_ms: float) -> None:
        sample_ms = max(float(duration_ms), 1.0)
        if not self.service_ms:
            self.service_ms = sample_ms
            return
        sample_ms = min(sample_ms, self.service_ms * _MAX_SAMPLE_FACTOR)
        self.service_ms += _SAMPLE_WEIGHT * (sample_ms - self.service_ms)


def _sequence_end(packet: _types.Packet) -> int:
    return (
        packet.seq + packet.payload_bytes + packet.ends
    ) % _types.SEQUENCE_MODULUS


def _has_new_data(known_end: int | None, packet: _types.Packet) -> bool:
    """Returns whether a packet carries data beyond the known end."""
    if known_end is None:
        return True
    ahead = _types.sequence_distance(known_end, _sequence_end(packet))
    return 0 < ahead < _types.SEQUENCE_MODULUS // 2
