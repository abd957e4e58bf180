"""Forwarding of datagrams between callers and agents."""

import asyncio
from typing import cast

from fireflyford import core
from fireflyford import routing
from fireflyford import wire


class Counters:
    """Datagrams since the process started, by what happened to them."""

    def __init__(self) -> None:
        """Starts all counters at zero."""
        self.received_count = 0
        self.to_agent_count = 0
        self.to_caller_count = 0
        self.malformed_count = 0
        self.foreign_count = 0
        self.no_target_count = 0


class ServiceListener(asyncio.DatagramProtocol):
    """Socket of one service address."""

    def __init__(
        self,
        service: str,
        router: routing.Router,
        codec: wire.ConnectionIdCodec,
        link: "Link",
        counters: Counters,
    ) -> None:
        """Prepares the listener of one service."""
        self.service_tag = core.service_tag(service)
        self._router = router
        self._codec = codec
        self._link = link
        self._counters = counters
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport for answers."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Forwards a caller's datagram to the agent of its flow."""
        self._counters.received_count += 1
        hint = self._read_hint(data)
        if hint is None:
            self._counters.malformed_count += 1
            return
        route = self._router.choose(hint)
        if route is None:
            self._counters.no_target_count += 1
            return
        header = wire.ForwardHeader(
            kind=wire.ForwardType.TO_AGENT,
            service=self.service_tag,
            incarnation=route.incarnation,
            flow_key=hint.flow_key(),
            caller=core.Address(*addr[:2]),
        )
        self._counters.to_agent_count += 1
        self._link.send(route.address, header, data)

    def _read_hint(self, data: bytes) -> routing.Hint | None:
        packet = wire.peek(data)
        if packet is None:
            return None
        connection_id = self._codec.decode(packet.destination)
        if connection_id is not None:
            return routing.HolderHint(
                connection_id.agent, connection_id.incarnation
            )
        starts_flow = len(data) >= wire.MIN_INITIAL_BYTES
        if packet.form is not wire.PacketForm.LONG or not starts_flow:
            return None
        return routing.NewFlowHint(routing.hash_flow(packet.destination))

    def send(self, caller: core.Address, payload: bytes) -> None:
        """Sends an answer from the service address."""
        if self._transport is not None:
            self._transport.sendto(payload, caller.pair)


class Link(asyncio.DatagramProtocol):
    """Socket towards the agents."""

    def __init__(self, codec: wire.ForwardCodec, counters: Counters) -> None:
        """Prepares the socket towards the agents."""
        self._codec = codec
        self._counters = counters
        self._transport: asyncio.DatagramTransport | None = None
        self._listeners: dict[int, ServiceListener] = {}

    def add_listener(self, listener: ServiceListener) -> None:
        """Delivers the answers of a service through `listener`."""
        self._listeners[listener.service_tag] = listener

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def send(
        self, agent: core.Address, header: wire.ForwardHeader, payload: bytes
    ) -> None:
        """Sends a datagram to an agent."""
        if self._transport is not None:
            datagram = self._codec.pack(header, payload)
            self._transport.sendto(datagram, agent.pair)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hands an agent's answer to the caller."""
        unpacked = self._codec.unpack(data)
        if unpacked is None:
            self._counters.foreign_count += 1
            return
        header, payload = unpacked
        listener = self._listeners.get(header.service)
        if listener is None or header.kind is not wire.ForwardType.TO_CALLER:
            self._counters.foreign_count += 1
            return
        self._counters.to_caller_count += 1
        listener.send(header.caller, payload)
