"""Datagram sockets, messages between instances and execution of actions."""

import asyncio
from collections.abc import Callable
import functools
import socket

from fireflyford import core
from fireflyford import flows
from fireflyford import telemetry
from fireflyford.runtime import _front_end
from fireflyford.runtime import _link_codec

DatagramHandler = Callable[[bytes, core.Address], None]
# Holds bursts while the process waits for the CPU, about one window of each of
# some hundred clients.
RECEIVE_BUFFER_BYTES = 1 << 20
# Addresses of instances and clients that are kept after their first datagram;
# checking an address takes longer than handling the rest of a datagram.
_CACHED_ADDRESSES = 8_192
# An announcement may be lost, or overtake the heartbeat that it goes with.
_REPEATED_ANNOUNCEMENT_COUNT = 3
_PROTOCOL_ANNOUNCEMENT = flows.ProtocolAnnouncement(_link_codec.PROTOCOL)


@functools.lru_cache(_CACHED_ADDRESSES)
def _make_address(host: str, port: int) -> core.Address:
    return core.Address(host, port)


class DatagramSocket(asyncio.DatagramProtocol):
    """A UDP socket that passes each datagram to a callback."""

    def __init__(
        self,
        receive: DatagramHandler,
        on_refused: Callable[[], None] | None = None,
    ) -> None:
        """Prepares the socket without opening it.

        Args:
            receive: Called with each datagram and its sender.
            on_refused: Called when the port of the peer is closed.
        """
        self._receive = receive
        self._on_refused = on_refused
        self._transport: asyncio.DatagramTransport | None = None

    async def open(
        self,
        local: core.Address | None = None,
        remote: core.Address | None = None,
        bound: socket.socket | None = None,
    ) -> None:
        """Binds to `local` or connects to `remote`.

        Args:
            local: Address at which datagrams are received.
            remote: The only peer.
            bound: Socket that is already bound to `local`, with the datagrams
                that have arrived since.
        """
        loop = asyncio.get_running_loop()
        if bound is not None:
            self._transport, _ = await loop.create_datagram_endpoint(
                lambda: self, sock=bound
            )
            return
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=local.pair if local else None,
            remote_addr=remote.pair if remote else None,
        )
        sock = self._transport.get_extra_info("socket")
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Passes a datagram to the callback."""
        self._receive(data, _make_address(*addr))

    def error_received(self, exc: Exception) -> None:
        """Reports a closed port; other errors affect one datagram only."""
        if self._on_refused is not None and isinstance(
            exc, ConnectionRefusedError
        ):
            self._on_refused()

    def send(self, data: bytes, to: core.Address | None = None) -> None:
        """Sends a datagram; drops it if the socket is not open."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, to.pair if to else None)

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()


class LinkCounters:
    """Counters of datagrams and messages since the process started."""

    def __init__(self) -> None:
        """Starts all counters at zero."""
        self.received_count = 0
        self.malformed_count = 0
        self.forwarded_count = 0
        self.delivered_count = 0
        self.replied_count = 0
        self.reset_count = 0
        self.sent_message_count = 0
        self.control_sent_bytes = 0


class Link:
    """Exchanges messages between instances and executes actions."""

    def __init__(
        self,
        own_address: core.Address,
        codec: _front_end.PacketCodec,
        client_port: int,
        handle_message: Callable[[core.Address, flows.Message], None],
    ) -> None:
        """Prepares the link of one instance.

        Args:
            own_address: Address of the instance.
            codec: Packet codec.
            client_port: Port of the clients to which replies are sent.
            handle_message: Called with each message from another instance or
                from this one.
        """
        self._own_address = own_address
        self._codec = codec
        self._client_port = client_port
        self._handle_message = handle_message
        self._socket = DatagramSocket(self._receive)
        self._target_socket: DatagramSocket | None = None
        # The message that was encoded last; many are sent to all instances.
        self._encoded_message: flows.Message | None = None
        self._encoded_protocol = 0
        self._encoded_data = b""
        # Instances that are known to decode version 2 of the protocol.
        self._second_protocol: set[core.Address] = set()
        # Announcements of the version to each instance.
        self._announcement_counts: dict[core.Address, int] = {}
        self.counters = LinkCounters()

    async def open(self, bound: socket.socket | None = None) -> None:
        """Opens the socket, or uses one that is already bound."""
        await self._socket.open(local=self._own_address, bound=bound)

    def attach_target_socket(self, target_socket: DatagramSocket) -> None:
        """Sets the socket that delivers packets to the backend server."""
        self._target_socket = target_socket

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()

    def _receive(self, data: bytes, sender: core.Address) -> None:
        self.counters.received_count += 1
        outcome = _link_codec.unpack(data)
        if isinstance(outcome, core.Failure):
            self.counters.malformed_count += 1
            return
        if _link_codec.is_of_second_protocol(data):
            self._second_protocol.add(sender)
        if not isinstance(outcome.value, flows.ProtocolAnnouncement):
            self._handle_message(sender, outcome.value)

    def announce_protocol(self, to: core.Address) -> None:
        """Tells a peer the version, unless the peer should know it by now."""
        count = self._announcement_counts.get(to, 0)
        if (
            to not in self._second_protocol
            or count < _REPEATED_ANNOUNCEMENT_COUNT
        ):
            self._announcement_counts[to] = count + 1
            self.send(to, _PROTOCOL_ANNOUNCEMENT)

    def speaks_second_protocol(self, address: core.Address) -> bool:
        """Returns whether an instance is known to decode version 2."""
        return address in self._second_protocol

    def forget_protocol(self, address: core.Address) -> None:
        """Assumes version 1 for a new process at an address."""
        self._second_protocol.discard(address)
        self._announcement_counts.pop(address, None)

    def execute(self, actions: list[flows.Action]) -> None:
        """Executes actions in order."""
        for action in actions:
            if isinstance(action, flows.Send):
                self.send(action.to, action.message)
            elif isinstance(action, flows.Deliver):
                self._deliver(action)
            elif isinstance(action, flows.Reply):
                self.counters.replied_count += 1
                self._send_to_client(action.packet.flow, action.packet.data)
            elif isinstance(action, flows.Reset):
                self.counters.reset_count += 1
                data = self._codec.encode_reset(action.flow, action.seq)
                self._send_to_client(action.flow, data)

    def send(self, to: core.Address, message: flows.Message) -> None:
        """Sends a message; one to this instance is queued on the event loop."""
        if to == self._own_address:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._handle_message, to, message)
            return
        data = self._encode(message, to)
        if isinstance(message, flows.Forward):
            self.counters.forwarded_count += 1
        else:
            self.counters.sent_message_count += 1
            self.counters.control_sent_bytes += len(data)
        self._socket.send(data, to)

    def _encode(self, message: flows.Message, to: core.Address) -> bytes:
        """Encodes a message, once for all receivers of the same version."""
        protocol = _link_codec.FIRST_PROTOCOL
        if to in self._second_protocol:
            protocol = _link_codec.PROTOCOL
        if (
            message is not self._encoded_message
            or protocol != self._encoded_protocol
        ):
            self._encoded_data = _link_codec.pack(message, protocol)
            self._encoded_message = message
            self._encoded_protocol = protocol
        return self._encoded_data

    def _deliver(self, action: flows.Deliver) -> None:
        if self._target_socket is None:
            telemetry.log("no-target-socket")
            return
        self.counters.delivered_count += 1
        data = self._codec.encode_delivery(action.packet, action.delivery_tag)
        self._target_socket.send(data)

    def _send_to_client(self, flow: bytes, data: bytes) -> None:
        client = flows.client_address(flow)
        self._socket.send(data, _make_address(client.host, self._client_port))
