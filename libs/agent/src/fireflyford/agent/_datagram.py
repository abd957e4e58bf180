"""Plain-datagram flows: search, adoption and relay to the backend server.

Plain datagrams carry no identifier of their flow, so a balancer may forward
them to an agent that does not hold the flow. That agent sends the datagram on
to other agents in search of the holder, and adopts the flow if none of them
holds it. In notices, agents tell each other which flows they have adopted or do
not hold. `routing.FlowTable` makes the decisions; this module carries them out.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Set
import dataclasses
import struct
from typing import cast

from fireflyford import core
from fireflyford import routing
from fireflyford import wire

SendDatagram = Callable[[bytes, core.Address], None]

# Payload of a notice: the wall-clock time in ms at which it was sent. Late
# notices are discarded because they may contradict newer ones.
_SEND_TIME = struct.Struct("!Q")
_SWEEP_INTERVAL_MS = 50
# An announcement iterates over all flows, which takes about 10 ms for 4,000.
_ANNOUNCE_INTERVAL_MS = 1_000
# Bounds on datagrams that wait for a search, which takes a few milliseconds.
_MAX_WAITING_DATAGRAMS = 1_024
_MAX_WAITING_PER_FLOW = 16
_MAX_WAIT_MS = 1_000
# Bound on datagrams of one flow that are queued for the backend server.
_MAX_QUEUED_DATAGRAMS = 256


class FlowCounters:
    """Events of plain-datagram flows since the process started.

    The status of the agent shows them under their attribute names.

    Attributes:
        delivered_count: Datagrams that were queued for the backend server.
        passed_on_count: Datagrams that were forwarded to another agent.
        dropped_count: Datagrams and malformed notices that were dropped.
        late_notice_count: Notices that were discarded because their send time
            differs too much from the wall clock.
        lost_flow_count: Flows that were given up to another agent that had
            adopted them.
        notice_count: Notices that were sent.
    """

    def __init__(self) -> None:
        """Starts all counters at zero."""
        self.delivered_count = 0
        self.passed_on_count = 0
        self.dropped_count = 0
        self.late_notice_count = 0
        self.lost_flow_count = 0
        self.notice_count = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _ReceivedDatagram:
    """A datagram from a caller, which may have to wait for a search to end.

    Attributes:
        header: Authenticated forwarding header.
        payload: The datagram as the caller sent it.
        sender: Link address of the balancer or agent that forwarded it here.
        received_ms: Time of receipt.
    """

    header: wire.ForwardHeader
    payload: bytes
    sender: core.Address
    received_ms: int


class _Flow(asyncio.DatagramProtocol):
    """A flow held by this agent, with its socket to the backend server.

    Attributes:
        caller: Address of the caller.
        balancer: Link address of the balancer that carries responses, which is
            the one that forwarded the last datagram.
        task: Task of `run`.
    """

    def __init__(
        self,
        caller: core.Address,
        balancer: core.Address,
        send_response: Callable[["_Flow", bytes], None],
    ) -> None:
        self.caller = caller
        self.balancer = balancer
        self._send_response = send_response
        self._queue: asyncio.Queue[bytes] = asyncio.Queue(_MAX_QUEUED_DATAGRAMS)
        self.task: asyncio.Task[None] | None = None

    def deliver(self, payload: bytes) -> bool:
        """Queues a datagram; returns False if the queue is full."""
        if self._queue.full():
            return False
        self._queue.put_nowait(payload)
        return True

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Forwards a response of the backend server to the caller."""
        self._send_response(self, data)

    def error_received(self, exc: Exception) -> None:
        """Ignores ICMP errors; the backend server may still be starting."""

    async def run(self, backend_address: core.Address) -> None:
        """Relays queued datagrams to the backend server until cancelled."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, remote_addr=backend_address.pair
        )
        try:
            while True:
                transport.sendto(await self._queue.get())
        finally:
            transport.close()


class DatagramFlows:
    """The plain-datagram flows of one agent."""

    def __init__(
        self,
        clock: core.Clock,
        service: str,
        own_holder: core.Holder,
        codec: wire.ForwardCodec,
        backend_address: core.Address,
        placement: routing.FlowPlacement,
    ) -> None:
        """Initializes an empty set of flows.

        Args:
            clock: Source of time.
            service: Service of the target.
            own_holder: Link address and incarnation of this agent, which
                identify it as a holder of flows.
            codec: Encoding of forwarding headers.
            backend_address: Address where the backend server receives
                datagrams.
            placement: Placement of flows according to this agent's membership
                view.
        """
        self._clock = clock
        self._service_tag = core.service_tag(service)
        self._own_holder = own_holder
        self._codec = codec
        self._backend_address = backend_address
        self._table = routing.FlowTable(clock, own_holder, placement)
        self._send: SendDatagram | None = None
        # Both are keyed by flow key. Datagrams wait while a search for the
        # holder of their flow runs.
        self._flows: dict[int, _Flow] = {}
        self._waiting: dict[int, list[_ReceivedDatagram]] = {}
        self._waiting_count = 0
        self._view_changed = False
        self._next_announce_ms = 0
        self.counters = FlowCounters()

    @property
    def open_count(self) -> int:
        """Number of flows that this agent holds."""
        return self._table.held_count

    def attach(self, send: SendDatagram) -> None:
        """Sets the function that sends through the link socket."""
        self._send = send

    async def run(self) -> None:
        """Expires idle flows and retries waiting datagrams until cancelled."""
        try:
            while True:
                await self._clock.sleep(_SWEEP_INTERVAL_MS)
                self._announce_if_due()
                for key in self._table.expire():
                    self._close(key)
                for key in tuple(self._waiting):
                    self._retry(key)
        finally:
            for key in tuple(self._flows):
                self._close(key)

    def _announce_if_due(self) -> None:
        """Announces held flows to the agents at which they are now placed."""
        now_ms = self._clock.now_ms()
        if self._view_changed and now_ms >= self._next_announce_ms:
            self._view_changed = False
            self._next_announce_ms = now_ms + _ANNOUNCE_INTERVAL_MS
            self._send_notices(self._table.announce())

    def handle_view_change(self, dead: Set[core.Holder]) -> None:
        """Handles a change of the membership view.

        Args:
            dead: Holders whose agents are dead or have left.
        """
        self._table.remove_holders(dead)
        self._view_changed = True

    def receive(
        self, header: wire.ForwardHeader, payload: bytes, sender: core.Address
    ) -> None:
        """Handles an authenticated datagram or notice from the link socket."""
        if header.kind is wire.ForwardType.TO_AGENT:
            now_ms = self._clock.now_ms()
            self._handle_datagram(
                _ReceivedDatagram(header, payload, sender, now_ms)
            )
            # The datagram may be a search that came back, which decides where
            # the flow is held, so the datagrams waiting for it are retried.
            self._retry(header.flow_key)
        elif len(header.holders) == 1 and len(payload) == _SEND_TIME.size:
            self._handle_notice(header, _SEND_TIME.unpack(payload)[0], sender)
            self._retry(header.flow_key)
        else:
            self.counters.dropped_count += 1

    def _handle_datagram(self, datagram: _ReceivedDatagram) -> None:
        header = datagram.header
        decision = self._table.handle_datagram(
            routing.ForwardedDatagram(
                header.flow_key,
                datagram.sender,
                header.hops,
                header.holders,
                header.timestamp_ms,
            )
        )
        self._send_notices(decision.notices)
        if decision.action is routing.Action.DELIVER:
            # Only agents set `header.balancer`; without it, the sender is the
            # balancer.
            balancer = header.balancer or datagram.sender
            self._deliver(header, datagram.payload, balancer)
        elif decision.action is routing.Action.FORWARD:
            self._forward(decision, datagram)
        elif decision.action is routing.Action.HOLD:
            self._enqueue_waiting(datagram)
        else:
            self.counters.dropped_count += 1

    def _handle_notice(
        self,
        header: wire.ForwardHeader,
        notice_sent_ms: int,
        sender: core.Address,
    ) -> None:
        if (
            abs(self._clock.wall_ms() - notice_sent_ms)
            > routing.MAX_MESSAGE_AGE_MS
        ):
            self.counters.late_notice_count += 1
            return
        notice = routing.Notice(
            self._own_holder,
            header.flow_key,
            header.holders[0],
            header.timestamp_ms,
            header.kind is wire.ForwardType.RELEASE,
        )
        # The incarnation of the sender is not in the header, hence 0.
        decision = self._table.handle_notice(notice, core.Holder(sender, 0))
        self._send_notices(decision.notices)
        if decision.flow_lost:
            self.counters.lost_flow_count += 1
            self._close(header.flow_key)

    # Sending to the backend server, to callers and to other agents.

    def _deliver(
        self,
        header: wire.ForwardHeader,
        payload: bytes,
        balancer: core.Address,
    ) -> None:
        flow = self._flows.get(header.flow_key)
        if flow is None:
            flow = _Flow(header.caller, balancer, self._send_response)
            flow.task = asyncio.create_task(flow.run(self._backend_address))
            self._flows[header.flow_key] = flow
        # If two callers share a flow key, each would otherwise receive the
        # responses to the other.
        if flow.caller != header.caller or not flow.deliver(payload):
            self.counters.dropped_count += 1
            return
        flow.balancer = balancer
        self.counters.delivered_count += 1

    def _send_response(self, flow: _Flow, payload: bytes) -> None:
        header = wire.ForwardHeader(
            kind=wire.ForwardType.TO_CALLER,
            service=self._service_tag,
            incarnation=self._own_holder.incarnation,
            flow_key=0,
            caller=flow.caller,
        )
        self._transmit(header, payload, flow.balancer)

    def _forward(
        self, decision: routing.Decision, datagram: _ReceivedDatagram
    ) -> None:
        destination = cast(core.Holder, decision.to)
        header = datagram.header
        self.counters.passed_on_count += 1
        forwarded = dataclasses.replace(
            header,
            incarnation=destination.incarnation,
            hops=header.hops + 1,
            holders=decision.chain,
            timestamp_ms=decision.timestamp_ms,
            balancer=header.balancer or datagram.sender,
        )
        self._transmit(forwarded, datagram.payload, destination.address)

    def _send_notices(self, notices: tuple[routing.Notice, ...]) -> None:
        for notice in notices:
            kind = wire.ForwardType.ADOPT
            if notice.released:
                kind = wire.ForwardType.RELEASE
            header = wire.ForwardHeader(
                kind=kind,
                service=self._service_tag,
                incarnation=notice.to.incarnation,
                flow_key=notice.flow_key,
                caller=core.Address("0.0.0.0", 0),
                holders=(notice.holder,),
                timestamp_ms=notice.timestamp_ms,
            )
            self.counters.notice_count += 1
            send_time = _SEND_TIME.pack(self._clock.wall_ms())
            self._transmit(header, send_time, notice.to.address)

    def _transmit(
        self,
        header: wire.ForwardHeader,
        payload: bytes,
        destination: core.Address,
    ) -> None:
        if self._send is not None:
            self._send(self._codec.pack(header, payload), destination)

    def _close(self, flow_key: int) -> None:
        flow = self._flows.pop(flow_key, None)
        if flow is not None and flow.task is not None:
            flow.task.cancel()

    # Datagrams that wait for a search.

    def _enqueue_waiting(self, datagram: _ReceivedDatagram) -> None:
        key = datagram.header.flow_key
        waiting = self._waiting.get(key, [])
        if (
            self._waiting_count >= _MAX_WAITING_DATAGRAMS
            or len(waiting) >= _MAX_WAITING_PER_FLOW
        ):
            self.counters.dropped_count += 1
            return
        waiting.append(datagram)
        self._waiting[key] = waiting
        self._waiting_count += 1

    def _retry(self, flow_key: int) -> None:
        """Handles the waiting datagrams of a flow again; drops expired ones."""
        waiting = self._waiting.pop(flow_key, None)
        if waiting is None:
            return
        self._waiting_count -= len(waiting)
        earliest_ms = self._clock.now_ms() - _MAX_WAIT_MS
        for waiting_datagram in waiting:
            if waiting_datagram.received_ms < earliest_ms:
                self.counters.dropped_count += 1
            else:
                self._handle_datagram(waiting_datagram)
