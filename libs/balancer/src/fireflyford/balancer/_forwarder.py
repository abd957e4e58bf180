"""Sockets that forward datagrams between callers and agents."""

import abc
import dataclasses

import xxhash

from fireflyford import core
from fireflyford import routing
from fireflyford import wire
from fireflyford.balancer import _socket

# A forwarded UDP datagram also holds the forwarding header, the address of a
# balancer (6 bytes) and up to three holders (10 bytes each).
MAX_PAYLOAD_BYTES = 65_507 - wire.FORWARD_HEADER_BYTES - 6 - 3 * 10
# Maximum number of routes cached for active flows. The oldest entry is evicted
# first, so memory use does not grow with the number of open flows.
_MAX_CACHED_ROUTES = 4_096
_SHORT_HEADER_BYTES = 1 + wire.CONNECTION_ID_BYTES


class Counters:
    """Datagrams since the process started, by outcome.

    Attributes:
        to_agent_count: Datagrams of callers that were forwarded to an agent.
        to_caller_count: Responses that were forwarded to a caller.
        malformed_count: Datagrams of callers that were dropped because they
            are empty, too long, or QUIC packets that neither belong to a flow
            nor start one.
        foreign_count: Datagrams from the link that were dropped because their
            forwarding header is invalid or their service is unknown.
        no_target_count: Datagrams of callers that were dropped because their
            service has no target.
    """

    def __init__(self) -> None:
        """Starts all counters at zero."""
        self.to_agent_count = 0
        self.to_caller_count = 0
        self.malformed_count = 0
        self.foreign_count = 0
        self.no_target_count = 0

    @property
    def received_count(self) -> int:
        """Number of datagrams from callers, whatever their outcome."""
        return self.to_agent_count + self.malformed_count + self.no_target_count


class HintReader(abc.ABC):
    """Extracts a routing hint from a datagram of a caller."""

    @abc.abstractmethod
    def identify(self, datagram: bytes) -> bytes:
        """Returns bytes that identify the flow among those of the caller.

        Datagrams of one caller with equal identifiers have equal hints.
        """

    @abc.abstractmethod
    def read(
        self, datagram: bytes, caller: tuple[str, int]
    ) -> routing.Hint | None:
        """Returns the routing hint, or None if the datagram is malformed."""


class QuicHintReader(HintReader):
    """Extracts the hint from the connection ID of a QUIC packet."""

    def __init__(self, codec: wire.ConnectionIdCodec) -> None:
        """Initializes the reader with the codec for connection IDs."""
        self._codec = codec

    def identify(self, datagram: bytes) -> bytes:
        """Returns the connection ID of a short header, else the datagram."""
        if datagram[0] & 0xC0 == 0x40:
            return datagram[1:_SHORT_HEADER_BYTES]
        return datagram

    def read(
        self, datagram: bytes, caller: tuple[str, int]
    ) -> routing.Hint | None:
        """Returns a hint that names the holder, or one for a new connection."""
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
    """Derives the flow key from the address of the caller and the service."""

    def __init__(self, service: str) -> None:
        """Initializes the reader for a service."""
        self._seed = core.service_tag(service)

    def identify(self, datagram: bytes) -> bytes:
        """Returns no bytes; the address of the caller identifies the flow."""
        return b""

    def read(
        self, datagram: bytes, caller: tuple[str, int]
    ) -> routing.Hint | None:
        """Returns a hint with the flow key of the caller."""
        return routing.UnidentifiedFlowHint(
            xxhash.xxh64_intdigest(
                f"{caller[0]} {caller[1]}".encode(), self._seed
            )
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _CachedRoute:
    """Encoded forwarding header of a flow and the agent to send it to."""

    prefix: bytes
    agent: tuple[str, int]


class ServiceListener:
    """Listener on the address of one service."""

    def __init__(
        self,
        service: str,
        router: routing.Router,
        reader: HintReader,
        link: "Link",
        counters: Counters,
    ) -> None:
        """Initializes the listener of one service.

        Args:
            service: Name of the service.
            router: Router for the targets of the service.
            reader: Reader of routing hints.
            link: Socket towards the agents.
            counters: Counters of the balancer.
        """
        self.service_tag = core.service_tag(service)
        self._router = router
        self._reader = reader
        self._link = link
        self._counters = counters
        self._socket: _socket.DatagramSocket | None = None
        self._route_cache: dict[
            tuple[bytes, tuple[str, int]], _CachedRoute
        ] = {}
        self._ring_generation = 0

    def replace_reader(self, reader: HintReader) -> None:
        """Replaces the hint reader and clears the cached routes."""
        self._reader = reader
        self._route_cache.clear()

    async def run(self, socket: _socket.DatagramSocket) -> None:
        """Forwards datagrams received on a socket until cancelled."""
        self._socket = socket
        await socket.run(self.receive)

    def receive(self, data: bytes, caller: tuple[str, int]) -> None:
        """Forwards a datagram of a caller to the agent of its flow."""
        if not 0 < len(data) <= MAX_PAYLOAD_BYTES:
            self._counters.malformed_count += 1
            return
        if self._ring_generation != self._router.generation:
            self._ring_generation = self._router.generation
            self._route_cache.clear()
        cache_key = (self._reader.identify(data), caller)
        cached_route = self._route_cache.get(cache_key)
        if cached_route is None:
            cached_route = self._route(data, caller)
            if cached_route is None:
                return
            if len(cache_key[0]) <= wire.CONNECTION_ID_BYTES:
                self._cache_route(cache_key, cached_route)
        self._counters.to_agent_count += 1
        self._link.send(cached_route.prefix + data, cached_route.agent)

    def _route(
        self, data: bytes, caller: tuple[str, int]
    ) -> _CachedRoute | None:
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
        return _CachedRoute(prefix, route.address.pair)

    def _cache_route(
        self,
        cache_key: tuple[bytes, tuple[str, int]],
        cached_route: _CachedRoute,
    ) -> None:
        if len(self._route_cache) >= _MAX_CACHED_ROUTES:
            del self._route_cache[next(iter(self._route_cache))]
        self._route_cache[cache_key] = cached_route

    def send(self, caller: tuple[str, int], payload: bytes) -> None:
        """Sends a response from the service address."""
        if self._socket is not None:
            self._socket.send(payload, caller)


class Link:
    """Socket that exchanges forwarded datagrams with the agents."""

    def __init__(self, codec: wire.ForwardCodec, counters: Counters) -> None:
        """Initializes the link.

        Args:
            codec: Encoding of forwarding headers.
            counters: Counters of the balancer.
        """
        self.codec = codec
        self._counters = counters
        self._socket: _socket.DatagramSocket | None = None
        self._listeners: dict[int, ServiceListener] = {}

    def add_listener(self, listener: ServiceListener) -> None:
        """Registers the listener that sends the responses of its service."""
        self._listeners[listener.service_tag] = listener

    async def run(self, socket: _socket.DatagramSocket) -> None:
        """Forwards responses received on a socket until cancelled."""
        self._socket = socket
        await socket.run(self.receive)

    def send(self, datagram: bytes, agent: tuple[str, int]) -> None:
        """Sends a datagram to an agent."""
        if self._socket is not None:
            self._socket.send(datagram, agent)

    def receive(self, data: bytes, agent: tuple[str, int]) -> None:
        """Forwards the response of an agent to the caller."""
        unpacked = self.codec.unpack_to_caller(data)
        listener = None
        if unpacked is not None:
            listener = self._listeners.get(unpacked[0])
        if unpacked is None or listener is None:
            self._counters.foreign_count += 1
            return
        self._counters.to_caller_count += 1
        listener.send(unpacked[1], unpacked[2])
