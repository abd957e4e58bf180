"""Link socket of an agent: finds the connection of each datagram."""

import asyncio
from collections.abc import Callable
from typing import cast

from aioquic.quic import configuration as quic_configuration
from aioquic.quic import events as quic_events
from aioquic.quic import packet as quic_packet

from fireflyford import core
from fireflyford import wire
from fireflyford.agent import _admission
from fireflyford.agent import _connection
from fireflyford.agent import _datagram
from fireflyford.agent import _quic
from fireflyford.agent import _return_path

_QUIC_KINDS = frozenset({wire.ForwardType.TO_AGENT})
_FLOW_KINDS = frozenset(
    {
        wire.ForwardType.TO_AGENT,
        wire.ForwardType.ADOPT,
        wire.ForwardType.RELEASE,
    }
)


class Counters:
    """Datagrams since the process started, by what happened to them."""

    def __init__(self) -> None:
        """Starts all counters at zero."""
        self.received_count = 0
        self.foreign_count = 0
        self.misrouted_count = 0
        self.unknown_flow_count = 0
        self.relayed_count = 0
        self.rotated_count = 0


class Endpoint(asyncio.DatagramProtocol):
    """Ends the flows of one target."""

    def __init__(
        self,
        service: str,
        incarnation: int,
        address: core.Address,
        codec: wire.ForwardCodec,
        connection_ids: wire.ConnectionIdCodec,
        configuration: quic_configuration.QuicConfiguration,
        handler: _connection.Handler,
        relay_target: Callable[[bytes], core.Address | None],
        balancers: _return_path.BalancerSource,
        flows: _datagram.DatagramFlows | None = None,
    ) -> None:
        """Prepares the endpoint of one target.

        Args:
            service: Service of the target.
            incarnation: Link incarnation of this agent.
            address: Link address of this agent.
            codec: Encoding of forwarding headers.
            connection_ids: Encoding of connection IDs.
            configuration: TLS and transport parameters.
            handler: Answers requests.
            relay_target: Returns a peer that accepts the new flow with the
                given first destination ID while this agent does not, or
                None while it does.
            balancers: Knows the balancers that carry answers.
            flows: Takes every datagram of a service that is not QUIC.
        """
        self._service_tag = core.service_tag(service)
        self._incarnation = incarnation
        self._codec = codec
        self._source = _quic.ConnectionIdSource(
            connection_ids, address, incarnation
        )
        self._configuration = configuration
        self._handler = handler
        self._relay_target = relay_target
        self._flows = flows
        self._balancers = balancers
        self._admission = _admission.FlowAdmission(self._admit)
        self._transport: asyncio.DatagramTransport | None = None
        self._by_id: dict[bytes, _connection.Connection] = {}
        self.connections: dict[_connection.Connection, asyncio.Task[None]] = {}
        self.counters = Counters()

    @property
    def admission(self) -> _admission.FlowAdmission:
        """Admission of new flows."""
        return self._admission

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        link = cast(asyncio.DatagramTransport, transport)
        self._transport = link
        if self._flows is not None:
            self._flows.attach(lambda data, to: link.sendto(data, to.pair))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Delivers a forwarded datagram to its connection."""
        unpacked = self._codec.unpack(data)
        if unpacked is None:
            self.counters.foreign_count += 1
            return
        header, payload = unpacked
        if not self._is_ours(header):
            self.counters.misrouted_count += 1
            return
        if self._flows is not None:
            self.counters.received_count += 1
            self._flows.receive(header, payload, core.Address(*addr[:2]))
            return
        hint = wire.parse_invariant_header(payload)
        if hint is None:
            self.counters.foreign_count += 1
            return
        self.counters.received_count += 1
        # A relayed datagram comes from a peer, which carries no answers.
        balancer = None if header.hops else core.Address(*addr[:2])
        arrival = _connection.Arrival(payload, header.caller, balancer)
        connection = self._by_id.get(hint.destination_connection_id)
        if connection is None:
            self._accept(header, arrival)
        else:
            connection.deliver(arrival)

    def _is_ours(self, header: wire.ForwardHeader) -> bool:
        kinds = _QUIC_KINDS if self._flows is None else _FLOW_KINDS
        return (
            header.kind in kinds
            and header.service == self._service_tag
            and header.incarnation in (0, self._incarnation)
        )

    def _accept(
        self, header: wire.ForwardHeader, arrival: _connection.Arrival
    ) -> None:
        payload = arrival.payload
        destination = None
        if header.incarnation == 0 and len(payload) >= wire.MIN_INITIAL_BYTES:
            destination = _initial_destination(payload)
        if destination is None:
            self.counters.unknown_flow_count += 1
            return
        peer = self._relay_target(destination)
        if peer is not None:
            self._relay(peer, header, payload)
        else:
            self._admission.offer(destination, arrival)

    def _admit(
        self, destination: bytes, arrivals: list[_connection.Arrival]
    ) -> None:
        connection = self._open(destination)
        for arrival in arrivals:
            connection.deliver(arrival)

    def _relay(
        self, peer: core.Address, header: wire.ForwardHeader, payload: bytes
    ) -> None:
        if self._transport is None or header.hops >= wire.MAX_HOPS:
            return
        self.counters.relayed_count += 1
        relayed = wire.ForwardHeader(
            kind=header.kind,
            service=header.service,
            incarnation=0,
            flow_key=header.flow_key,
            caller=header.caller,
            hops=header.hops + 1,
        )
        self._transport.sendto(self._codec.pack(relayed, payload), peer.pair)

    def _open(self, destination: bytes) -> _connection.Connection:
        quic = _quic.ServerConnection(
            self._configuration, self._source, destination
        )
        connection = _connection.Connection(
            quic,
            self._handler,
            self._send,
            self._track_id,
            _return_path.ReturnPath(self._balancers, self._count_rotation),
        )
        self._add_id(destination, connection)
        self._add_id(quic.host_cid, connection)
        task = asyncio.create_task(connection.run())
        self.connections[connection] = task
        task.add_done_callback(lambda _: self._forget(connection))
        return connection

    def _count_rotation(self) -> None:
        self.counters.rotated_count += 1

    def _track_id(
        self,
        connection: _connection.Connection,
        event: quic_events.QuicEvent,
    ) -> None:
        if isinstance(event, quic_events.ConnectionIdIssued):
            self._add_id(event.connection_id, connection)
        elif isinstance(event, quic_events.ConnectionIdRetired):
            self._by_id.pop(event.connection_id, None)
            connection.ids.discard(event.connection_id)

    def _add_id(
        self, connection_id: bytes, connection: _connection.Connection
    ) -> None:
        self._by_id[connection_id] = connection
        connection.ids.add(connection_id)

    def _forget(self, connection: _connection.Connection) -> None:
        self.connections.pop(connection, None)
        for connection_id in connection.ids:
            self._by_id.pop(connection_id, None)

    def _send(
        self,
        balancer: core.Address,
        caller: core.Address,
        payload: bytes,
    ) -> None:
        if self._transport is None:
            return
        header = wire.ForwardHeader(
            kind=wire.ForwardType.TO_CALLER,
            service=self._service_tag,
            incarnation=self._incarnation,
            flow_key=0,
            caller=caller,
        )
        self._transport.sendto(self._codec.pack(header, payload), balancer.pair)


def _initial_destination(payload: bytes) -> bytes | None:
    try:
        header = quic_packet.pull_quic_header(
            quic_packet.Buffer(data=payload),
            host_cid_length=wire.CONNECTION_ID_BYTES,
        )
    except ValueError:
        return None
    if header.packet_type is not quic_packet.QuicPacketType.INITIAL:
        return None
    return bytes(header.destination_cid)
