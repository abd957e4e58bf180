"""Datagram sockets and the execution of decisions."""

import asyncio
from collections.abc import Callable
import socket

from fireflyford import core
from fireflyford import flows
from fireflyford import telemetry
from fireflyford.runtime import _link_codec
from fireflyford.runtime import _packets

Receive = Callable[[bytes, core.Address], None]
# Room for bursts while the process waits for the processor; a window of each
# of some hundred clients.
SOCKET_BUFFER_BYTES = 1 << 20


class DatagramSocket(asyncio.DatagramProtocol):
    """A UDP socket that hands each datagram to a function."""

    def __init__(
        self,
        receive: Receive,
        refused: Callable[[], None] | None = None,
    ) -> None:
        """Takes the receiver.

        Args:
            receive: Called with each datagram and its sender.
            refused: Called when the peer's port is closed.
        """
        self._receive = receive
        self._refused = refused
        self._transport: asyncio.DatagramTransport | None = None

    async def open(
        self,
        local: core.Address | None = None,
        remote: core.Address | None = None,
    ) -> None:
        """Binds to `local` or connects to `remote`."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=local.pair if local else None,
            remote_addr=remote.pair if remote else None,
        )
        handle = self._transport.get_extra_info("socket")
        handle.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES
        )

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hands a datagram on."""
        self._receive(data, core.Address(*addr))

    def error_received(self, exc: Exception) -> None:
        """Notes a refusal; other errors concern one datagram only."""
        if self._refused is not None and isinstance(
            exc, ConnectionRefusedError
        ):
            self._refused()

    def send(self, data: bytes, to: core.Address | None = None) -> None:
        """Sends a datagram, or drops it while the socket is closed."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, to.pair if to else None)

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()


class LinkCounters:
    """Datagrams of one process since its start."""

    def __init__(self) -> None:
        """Starts at zero."""
        self.received_count = 0
        self.malformed_count = 0
        self.forwarded_count = 0
        self.delivered_count = 0
        self.replied_count = 0
        self.reset_count = 0
        self.sent_message_count = 0
        self.control_sent_bytes = 0


class Link:
    """Messages to other instances, and actions of the decision code."""

    def __init__(
        self,
        own: core.Address,
        codec: _packets.PacketCodec,
        client_port: int,
        hear: Callable[[core.Address, flows.Message], None],
    ) -> None:
        """Prepares the link of one instance.

        Args:
            own: Address of the instance.
            codec: Encoding of packets.
            client_port: Port of the clients to which answers go.
            hear: Takes each message of another instance or of this one.
        """
        self._own = own
        self._codec = codec
        self._client_port = client_port
        self._hear = hear
        self._socket = DatagramSocket(self._receive)
        self._target: DatagramSocket | None = None
        self.counters = LinkCounters()

    async def open(self) -> None:
        """Opens the socket."""
        await self._socket.open(local=self._own)

    def attach_target(self, target: DatagramSocket) -> None:
        """Takes the socket to the backend server."""
        self._target = target

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()

    def _receive(self, data: bytes, sender: core.Address) -> None:
        self.counters.received_count += 1
        outcome = _link_codec.unpack(data)
        if isinstance(outcome, core.Failure):
            self.counters.malformed_count += 1
            return
        self._hear(sender, outcome.value)

    def run(self, actions: list[flows.Action]) -> None:
        """Carries out what a decision asks for."""
        for action in actions:
            if isinstance(action, flows.Send):
                self.send(action.to, action.message)
            elif isinstance(action, flows.Deliver):
                self._deliver(action)
            elif isinstance(action, flows.Reply):
                self.counters.replied_count += 1
                self._to_client(action.packet.flow, action.packet.data)
            elif isinstance(action, flows.Reset):
                self.counters.reset_count += 1
                data = self._codec.reset(action.flow, action.seq)
                self._to_client(action.flow, data)

    def send(self, to: core.Address, message: flows.Message) -> None:
        """Sends a message; one to this instance is handled next."""
        if to == self._own:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._hear, to, message)
            return
        data = _link_codec.pack(message)
        if isinstance(message, flows.Forward):
            self.counters.forwarded_count += 1
        else:
            self.counters.sent_message_count += 1
            self.counters.control_sent_bytes += len(data)
        self._socket.send(data, to)

    def _deliver(self, action: flows.Deliver) -> None:
        if self._target is None:
            telemetry.log("no-target-socket")
            return
        self.counters.delivered_count += 1
        data = self._codec.deliverable(action.packet, action.delivery_tag)
        self._target.send(data)

    def _to_client(self, flow: bytes, data: bytes) -> None:
        client = flows.client_address(flow)
        self._socket.send(data, core.Address(client.host, self._client_port))
