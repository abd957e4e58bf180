"""Flows of plain datagrams: search, adoption and relay to the backend."""

import asyncio
from collections.abc import Callable
from collections.abc import Set
import dataclasses
import struct
from typing import cast

from fireflyford import core
from fireflyford import routing
from fireflyford import wire

Send = Callable[[bytes, core.Address], None]

# Times of notices in ms; a notice that is older may contradict a newer one.
_SENT = struct.Struct("!Q")
_SWEEP_INTERVAL_MS = 50
# Announcing looks at every flow, some 10 ms for 4,000 of them.
_ANNOUNCE_GAP_MS = 1_000
# Datagrams that wait for the end of a search, which takes a few milliseconds.
_MAX_WAITING = 1_024
_MAX_WAITING_PER_FLOW = 16
_WAITING_LIMIT_MS = 1_000
_INBOX_DATAGRAMS = 256


class FlowCounters:
    """Events of plain-datagram flows since the process started."""

    def __init__(self) -> None:
        """Starts all counters at zero."""
        self.delivered_count = 0
        self.passed_on_count = 0
        self.dropped_count = 0
        self.late_notice_count = 0
        self.lost_flow_count = 0
        self.notice_count = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Queued:
    """A verified datagram, which may wait for the end of a search."""

    header: wire.ForwardHeader
    payload: bytes
    sender: core.Address
    since_ms: int


class _Flow(asyncio.DatagramProtocol):
    """One flow held here, with its socket to the backend server."""

    def __init__(
        self,
        caller: core.Address,
        balancer: core.Address,
        answer: Callable[["_Flow", bytes], None],
    ) -> None:
        self.caller = caller
        self.balancer = balancer
        self._answer = answer
        self._inbox: asyncio.Queue[bytes] = asyncio.Queue(_INBOX_DATAGRAMS)
        self.task: asyncio.Task[None] | None = None

    def deliver(self, payload: bytes) -> bool:
        """Queues a datagram; returns False when the queue is full."""
        if self._inbox.full():
            return False
        self._inbox.put_nowait(payload)
        return True

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Sends what the backend server answers to the caller."""
        self._answer(self, data)

    def error_received(self, exc: Exception) -> None:
        """Ignores a refusal; the backend server may be starting."""

    async def run(self, backend: core.Address) -> None:
        """Relays to the backend server until cancelled."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, remote_addr=backend.pair
        )
        try:
            while True:
                transport.sendto(await self._inbox.get())
        finally:
            transport.close()


class DatagramFlows:
    """The plain-datagram flows of one agent."""

    def __init__(
        self,
        clock: core.Clock,
        service: str,
        own: core.Holder,
        codec: wire.ForwardCodec,
        backend: core.Address,
        peers: routing.FlowPlacement,
    ) -> None:
        """Prepares the flows of one agent.

        Args:
            clock: Source of time.
            service: Service of the target.
            own: This agent.
            codec: Encoding of forwarding headers.
            backend: Where the backend server takes datagrams.
            peers: Where this agent's view places flows.
        """
        self._clock = clock
        self._service_tag = core.service_tag(service)
        self._own = own
        self._codec = codec
        self._backend = backend
        self._table = routing.FlowTable(clock, own, peers)
        self._send: Send | None = None
        self._flows: dict[int, _Flow] = {}
        self._waiting: dict[int, list[_Queued]] = {}
        self._waiting_count = 0
        self._view_changed = False
        self._next_announce_ms = 0
        self.counters = FlowCounters()

    @property
    def open_count(self) -> int:
        """Flows that this agent holds."""
        return self._table.held_count

    def attach(self, send: Send) -> None:
        """Takes the sending side of the link socket."""
        self._send = send

    async def run(self) -> None:
        """Ends idle flows and repeats searches until cancelled."""
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
        now_ms = self._clock.now_ms()
        if self._view_changed and now_ms >= self._next_announce_ms:
            self._view_changed = False
            self._next_announce_ms = now_ms + _ANNOUNCE_GAP_MS
            self._notify(self._table.announce())

    def follow_view(self, dead: Set[core.Holder]) -> None:
        """Takes a new view of the peers, some of which are dead."""
        self._table.remove_holders(dead)
        self._view_changed = True

    def receive(
        self, header: wire.ForwardHeader, payload: bytes, sender: core.Address
    ) -> None:
        """Handles what the link socket has verified."""
        if header.kind is wire.ForwardType.TO_AGENT:
            now_ms = self._clock.now_ms()
            self._decide(_Queued(header, payload, sender, now_ms))
            # A returned search ends the wait of the datagrams behind it.
            self._retry(header.flow_key)
        elif len(header.holders) == 1 and len(payload) == _SENT.size:
            self._hear(header, _SENT.unpack(payload)[0], sender)
            self._retry(header.flow_key)
        else:
            self.counters.dropped_count += 1

    def _decide(self, queued: _Queued) -> None:
        header = queued.header
        decision = self._table.handle_datagram(
            routing.ForwardedDatagram(
                header.flow_key,
                queued.sender,
                header.hops,
                header.holders,
                header.timestamp_ms,
            )
        )
        self._notify(decision.notices)
        if decision.action is routing.Action.DELIVER:
            balancer = header.balancer or queued.sender
            self._deliver(header, queued.payload, balancer)
        elif decision.action is routing.Action.FORWARD:
            self._forward(decision, queued)
        elif decision.action is routing.Action.HOLD:
            self._wait(queued)
        else:
            self.counters.dropped_count += 1

    def _hear(
        self, header: wire.ForwardHeader, sent_ms: int, sender: core.Address
    ) -> None:
        if abs(self._clock.wall_ms() - sent_ms) > routing.MAX_MESSAGE_AGE_MS:
            self.counters.late_notice_count += 1
            return
        notice = routing.Notice(
            self._own,
            header.flow_key,
            header.holders[0],
            header.timestamp_ms,
            header.kind is wire.ForwardType.RELEASE,
        )
        decision = self._table.handle_notice(notice, core.Holder(sender, 0))
        self._notify(decision.notices)
        if decision.flow_lost:
            self.counters.lost_flow_count += 1
            self._close(header.flow_key)

    # Outgoing.

    def _deliver(
        self,
        header: wire.ForwardHeader,
        payload: bytes,
        balancer: core.Address,
    ) -> None:
        flow = self._flows.get(header.flow_key)
        if flow is None:
            flow = _Flow(header.caller, balancer, self._answer)
            flow.task = asyncio.create_task(flow.run(self._backend))
            self._flows[header.flow_key] = flow
        # Two callers with one key would otherwise see each other's answers.
        if flow.caller != header.caller or not flow.deliver(payload):
            self.counters.dropped_count += 1
            return
        flow.balancer = balancer
        self.counters.delivered_count += 1

    def _answer(self, flow: _Flow, payload: bytes) -> None:
        header = wire.ForwardHeader(
            kind=wire.ForwardType.TO_CALLER,
            service=self._service_tag,
            incarnation=self._own.incarnation,
            flow_key=0,
            caller=flow.caller,
        )
        self._transmit(header, payload, flow.balancer)

    def _forward(self, decision: routing.Decision, queued: _Queued) -> None:
        to = cast(core.Holder, decision.to)
        header = queued.header
        self.counters.passed_on_count += 1
        forwarded = dataclasses.replace(
            header,
            incarnation=to.incarnation,
            hops=header.hops + 1,
            holders=decision.chain,
            timestamp_ms=decision.timestamp_ms,
            balancer=header.balancer or queued.sender,
        )
        self._transmit(forwarded, queued.payload, to.address)

    def _notify(self, notices: tuple[routing.Notice, ...]) -> None:
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
            sent = _SENT.pack(self._clock.wall_ms())
            self._transmit(header, sent, notice.to.address)

    def _transmit(
        self, header: wire.ForwardHeader, payload: bytes, to: core.Address
    ) -> None:
        if self._send is not None:
            self._send(self._codec.pack(header, payload), to)

    def _close(self, flow_key: int) -> None:
        flow = self._flows.pop(flow_key, None)
        if flow is not None and flow.task is not None:
            flow.task.cancel()

    # Datagrams that wait for the end of a search.

    def _wait(self, queued: _Queued) -> None:
        key = queued.header.flow_key
        waiting = self._waiting.get(key, [])
        if (
            self._waiting_count >= _MAX_WAITING
            or len(waiting) >= _MAX_WAITING_PER_FLOW
        ):
            self.counters.dropped_count += 1
            return
        waiting.append(queued)
        self._waiting[key] = waiting
        self._waiting_count += 1

    def _retry(self, flow_key: int) -> None:
        """Decides again about the datagrams of a flow that wait."""
        waiting = self._waiting.pop(flow_key, None)
        if waiting is None:
            return
        self._waiting_count -= len(waiting)
        oldest_ms = self._clock.now_ms() - _WAITING_LIMIT_MS
        for item in waiting:
            if item.since_ms < oldest_ms:
                self.counters.dropped_count += 1
            else:
                self._decide(item)
