"""Link socket of an agent: dispatches datagrams to connections.

The link carries datagrams between balancers and agents, and between agents.
Each consists of a forwarding header and a payload, such as a QUIC datagram.
"""

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

_QUIC_FORWARD_TYPES = frozenset({wire.ForwardType.TO_AGENT})
_DATAGRAM_FORWARD_TYPES = frozenset(
    {
        wire.ForwardType.TO_AGENT,
        wire.ForwardType.ADOPT,
        wire.ForwardType.RELEASE,
    }
)


class Counters:
    """Events on the link socket since the process started.

    The status of the agent shows them under their attribute names.

    Attributes:
        received_count: Datagrams that were passed to the flows of this target.
        foreign_count: Datagrams that were dropped because their forwarding
            header or their QUIC header is invalid.
        misrouted_count: Datagrams that were dropped because they are of
            another type or for another service or incarnation.
        unknown_flow_count: Datagrams that were dropped because they neither
            belong to a flow nor start one.
        relayed_count: Datagrams of new flows that were relayed to another
            agent.
        rotated_count: Times that the responses of a connection were moved to
            another balancer.
    """

    def __init__(self) -> None:
        """Starts all counters at zero."""
        self.received_count = 0
        self.foreign_count = 0
        self.misrouted_count = 0
        self.unknown_flow_count = 0
        self.relayed_count = 0
        self.rotated_count = 0


class Endpoint(asyncio.DatagramProtocol):
    """Receives the datagrams of one target and terminates its flows."""

    def __init__(
        self,
        service: str,
        incarnation: int,
        address: core.Address,
        codec: wire.ForwardCodec,
        connection_id_codec: wire.ConnectionIdCodec,
        configuration: quic_configuration.QuicConfiguration,
        handler: _connection.RequestHandler,
        find_relay_peer: Callable[[bytes], core.Address | None],
        balancers: _return_path.BalancerSource,
        datagram_flows: _datagram.DatagramFlows | None = None,
    ) -> None:
        """Initializes the endpoint of one target.

        Args:
            service: Service of the target.
            incarnation: Link incarnation of this agent: the lower 32 bits of
                its incarnation, as in forwarding headers.
            address: Link address of this agent.
            codec: Encoding of forwarding headers.
            connection_id_codec: Encoding of connection IDs.
            configuration: TLS and transport parameters.
            handler: Handler of requests.
            find_relay_peer: Given the original destination connection ID of a
                new flow, returns the link address of the agent to relay it
                to, or None if this agent accepts the flow.
            balancers: Source of the balancers that carry responses.
            datagram_flows: Receives all datagrams if the service uses plain
                datagrams; None for QUIC.
        """
        self._service_tag = core.service_tag(service)
        self._incarnation = incarnation
        self._codec = codec
        self._connection_id_source = _quic.ConnectionIdSource(
            connection_id_codec, address, incarnation
        )
        self._configuration = configuration
        self._handler = handler
        self._find_relay_peer = find_relay_peer
        self._datagram_flows = datagram_flows
        self._balancers = balancers
        self._admission = _admission.FlowAdmission(self._admit)
        self._transport: asyncio.DatagramTransport | None = None
        self._connections_by_id: dict[bytes, _connection.Connection] = {}
        # Open connections and the tasks that run them.
        self.connections: dict[_connection.Connection, asyncio.Task[None]] = {}
        self.counters = Counters()

    @property
    def admission(self) -> _admission.FlowAdmission:
        """Rate limit for new flows."""
        return self._admission

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the link socket."""
        link = cast(asyncio.DatagramTransport, transport)
        self._transport = link
        if self._datagram_flows is not None:
            self._datagram_flows.attach(
                lambda data, to: link.sendto(data, to.pair)
            )

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Dispatches a forwarded datagram to its connection."""
        unpacked = self._codec.unpack(data)
        if unpacked is None:
            self.counters.foreign_count += 1
            return
        header, payload = unpacked
        if not self._is_for_this_target(header):
            self.counters.misrouted_count += 1
            return
        if self._datagram_flows is not None:
            self.counters.received_count += 1
            self._datagram_flows.receive(
                header, payload, core.Address(*addr[:2])
            )
            return
        # Header fields that are the same in all versions of QUIC (RFC 8999).
        invariant_header = wire.parse_invariant_header(payload)
        if invariant_header is None:
            self.counters.foreign_count += 1
            return
        self.counters.received_count += 1
        # A datagram with hops was relayed by another agent, which does not
        # carry responses.
        balancer = None if header.hops else core.Address(*addr[:2])
        datagram = _connection.ReceivedDatagram(
            payload, header.caller, balancer
        )
        connection = self._connections_by_id.get(
            invariant_header.destination_connection_id
        )
        if connection is None:
            self._handle_unknown_id(header, datagram)
        else:
            connection.deliver(datagram)

    def _is_for_this_target(self, header: wire.ForwardHeader) -> bool:
        accepted_types = (
            _QUIC_FORWARD_TYPES
            if self._datagram_flows is None
            else _DATAGRAM_FORWARD_TYPES
        )
        # Incarnation 0, as for new flows, matches any incarnation.
        return (
            header.kind in accepted_types
            and header.service == self._service_tag
            and header.incarnation in (0, self._incarnation)
        )

    def _handle_unknown_id(
        self, header: wire.ForwardHeader, datagram: _connection.ReceivedDatagram
    ) -> None:
        """Relays or admits a new flow; drops any other datagram."""
        payload = datagram.payload
        destination_id = None
        if header.incarnation == 0 and len(payload) >= wire.MIN_INITIAL_BYTES:
            destination_id = _initial_destination_id(payload)
        if destination_id is None:
            self.counters.unknown_flow_count += 1
            return
        peer = self._find_relay_peer(destination_id)
        if peer is not None:
            self._relay(peer, header, payload)
        else:
            self._admission.submit(destination_id, datagram)

    def _admit(
        self,
        destination_id: bytes,
        datagrams: list[_connection.ReceivedDatagram],
    ) -> None:
        connection = self._open_connection(destination_id)
        for datagram in datagrams:
            connection.deliver(datagram)

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

    def _open_connection(self, destination_id: bytes) -> _connection.Connection:
        quic = _quic.ServerConnection(
            self._configuration, self._connection_id_source, destination_id
        )
        connection = _connection.Connection(
            quic,
            self._handler,
            self._send,
            self._track_id,
            _return_path.ReturnPath(self._balancers, self._count_rotation),
        )
        self._add_id(destination_id, connection)
        self._add_id(quic.host_cid, connection)
        task = asyncio.create_task(connection.run())
        self.connections[connection] = task
        task.add_done_callback(lambda _: self._remove_connection(connection))
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
            self._connections_by_id.pop(event.connection_id, None)
            connection.connection_ids.discard(event.connection_id)

    def _add_id(
        self, connection_id: bytes, connection: _connection.Connection
    ) -> None:
        self._connections_by_id[connection_id] = connection
        connection.connection_ids.add(connection_id)

    def _remove_connection(self, connection: _connection.Connection) -> None:
        self.connections.pop(connection, None)
        for connection_id in connection.connection_ids:
            self._connections_by_id.pop(connection_id, None)

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


def _initial_destination_id(payload: bytes) -> bytes | None:
    """Returns the destination ID of an Initial packet, None for any other."""
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
