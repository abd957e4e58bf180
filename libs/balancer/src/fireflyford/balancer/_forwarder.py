"""Forwarding of datagrams between callers and agents."""

import abc
import dataclasses

import xxhash

from fireflyford import core
from fireflyford import routing
from fireflyford import wire
from fireflyford.balancer import _socket

# A datagram must still fit into UDP with the forwarding header, a balancer
# address and three holders before it.
MAX_PAYLOAD_BYTES = 65_507 - wire.FORWARD_HEADER_BYTES - 6 - 3 * 10
# Flows whose forwarding header is kept: those that are sending at the moment.
# The oldest is forgotten first, so memory does not grow with open flows.
_KEPT_FLOWS = 4_096


_SHORT_HEADER_BYTES = 1 + wire.CONNECTION_ID_BYTES


class Counters:
    """Datagrams since the process started, by what happened to them."""

    def __init__(self) -> None:
        """Starts all counters at zero."""
        self.to_agent_count = 0
        self.to_caller_count = 0
        self.malformed_count = 0
        self.foreign_count = 0
        self.no_target_count = 0

    @property
    def received_count(self) -> int:
        """Datagrams of callers, whatever happened to them."""
        return self.to_agent_count + self.malformed_count + self.no_target_count


class HintReader(abc.ABC):
    """Reads what a caller's datagram says about its flow."""

    @abc.abstractmethod
    def identify(self, datagram: bytes) -> bytes:
        """Returns what, with the caller's address, identifies the flow.

        Datagrams of one caller with equal identification have equal hints.
        """

    @abc.abstractmethod
    def read(
        self, datagram: bytes, caller: tuple[str, int]
    ) -> routing.Hint | None:
        """Returns the hint, or None if the datagram is malformed."""


class QuicHintReader(HintReader):
    """Reads the connection ID of a QUIC packet."""

    def __init__(self, codec: wire.ConnectionIdCodec) -> None:
        """Takes the encoding of the service's connection IDs."""
        self._codec = codec

    def identify(self, datagram: bytes) -> bytes:
        """Returns the connection ID of a short header, else the datagram."""
        if datagram[0] & 0xC0 == 0x40:
            return datagram[1:_SHORT_HEADER_BYTES]
        return datagram

    def read(
        self, datagram: bytes, caller: tuple[str, int]
    ) -> routing.Hint | None:
        """Returns the holder, or the key of a new connection."""
        packet = wire.parse_invariant_header(datagram)
        if packet is None:
            return None
        connection_id = self._codec.decode(packet.destination_connection_id)
        if connection_id is not None:
            return routing.HolderHint(
                core.Holder(connection_id.agent, connection_id.incarnation)
            )
        starts_flow = len(datagram) >= wire.MIN_INITIAL_BYTES
        if packet.form is not wire.HeaderForm.LONG or not starts_flow:
            return None
        return routing.NewFlowHint(
            routing.hash_flow(packet.destination_connection_id)
        )


class DatagramHintReader(HintReader):
    """Makes a flow key of the caller's address and the service."""

    def __init__(self, service: str) -> None:
        """Takes the service."""
        self._seed = core.service_tag(service)

    def identify(self, datagram: bytes) -> bytes:
        """Returns nothing; the caller's address identifies the flow."""
        return b""

    def read(
        self, datagram: bytes, caller: tuple[str, int]
    ) -> routing.Hint | None:
        """Returns the key of the caller's flow."""
        return routing.UnidentifiedFlowHint(
            xxhash.xxh64_intdigest(
                f"{caller[0]} {caller[1]}".encode(), self._seed
            )
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _Kept:
    """Forwarding header of a flow and where its datagrams go."""

    prefix: bytes
    agent: tuple[str, int]


class ServiceListener:
    """Socket of one service address."""

    def __init__(
        self,
        service: str,
        router: routing.Router,
        reader: HintReader,
        link: "Link",
        counters: Counters,
    ) -> None:
        """Prepares the listener of one service."""
        self.service_tag = core.service_tag(service)
        self._router = router
        self._reader = reader
        self._link = link
        self._counters = counters
        self._socket: _socket.DatagramSocket | None = None
        self._kept: dict[tuple[bytes, tuple[str, int]], _Kept] = {}
        self._generation = 0

    def replace_reader(self, reader: HintReader) -> None:
        """Reads datagrams in another way from now on."""
        self._reader = reader
        self._kept.clear()

    async def run(self, socket: _socket.DatagramSocket) -> None:
        """Forwards what callers send to a socket until cancelled."""
        self._socket = socket
        await socket.run(self.receive)

    def receive(self, data: bytes, caller: tuple[str, int]) -> None:
        """Forwards a caller's datagram to the agent of its flow."""
        if not 0 < len(data) <= MAX_PAYLOAD_BYTES:
            self._counters.malformed_count += 1
            return
        if self._generation != self._router.generation:
            self._generation = self._router.generation
            self._kept.clear()
        identity = (self._reader.identify(data), caller)
        kept = self._kept.get(identity)
        if kept is None:
            kept = self._route(data, caller)
            if kept is None:
                return
            if len(identity[0]) <= wire.CONNECTION_ID_BYTES:
                self._keep(identity, kept)
        self._counters.to_agent_count += 1
        self._link.send(kept.prefix + data, kept.agent)

    def _route(self, data: bytes, caller: tuple[str, int]) -> _Kept | None:
        hint = self._reader.read(data, caller)
        if hint is None:
            self._counters.malformed_count += 1
            return None
        route = self._router.choose(hint)
        if route is None:
            self._counters.no_target_count += 1
            return None
        prefix = self._link.codec.pack_to_agent(
            self.service_tag,
            route.incarnation,
            hint.flow_key(),
            caller,
            route.candidates,
            b"",
        )
        return _Kept(prefix, route.address.pair)

    def _keep(
        self, identity: tuple[bytes, tuple[str, int]], kept: _Kept
    ) -> None:
        if len(self._kept) >= _KEPT_FLOWS:
            del self._kept[next(iter(self._kept))]
        self._kept[identity] = kept

    def send(self, caller: tuple[str, int], payload: bytes) -> None:
        """Sends an answer from the service address."""
        if self._socket is not None:
            self._socket.send(payload, caller)


class Link:
    """Socket towards the agents."""

    def __init__(self, codec: wire.ForwardCodec, counters: Counters) -> None:
        """Prepares the socket towards the agents."""
        self.codec = codec
        self._counters = counters
        self._socket: _socket.DatagramSocket | None = None
        self._listeners: dict[int, ServiceListener] = {}

    def add_listener(self, listener: ServiceListener) -> None:
        """Delivers the answers of a service through `listener`."""
        self._listeners[listener.service_tag] = listener

    async def run(self, socket: _socket.DatagramSocket) -> None:
        """Hands on what agents send to a socket until cancelled."""
        self._socket = socket
        await socket.run(self.receive)

    def send(self, datagram: bytes, agent: tuple[str, int]) -> None:
        """Sends a forwarded datagram to an agent."""
        if self._socket is not None:
            self._socket.send(datagram, agent)

    def receive(self, data: bytes, agent: tuple[str, int]) -> None:
        """Hands an agent's answer to the caller."""
        unpacked = self.codec.unpack_to_caller(data)
        listener = None
        if unpacked is not None:
            listener = self._listeners.get(unpacked[0])
        if unpacked is None or listener is None:
            self._counters.foreign_count += 1
            return
        self._counters.to_caller_count += 1
        listener.send(unpacked[1], unpacked[2])
