"""UDP socket that reads datagrams in batches."""

import asyncio
from collections.abc import Callable
import socket

from fireflyford import core

# An asyncio transport reads one datagram per iteration of the event loop, which
# costs more than the datagram itself. Larger batches would delay other sockets
# and membership by milliseconds.
MAX_BATCH_DATAGRAMS = 64
_MAX_DATAGRAM_BYTES = 65_535
# Holds the datagrams that arrive while the process is paused for about 50 ms at
# 20,000 datagrams per second.
_SOCKET_BUFFER_BYTES = 4 << 20

DatagramReceiver = Callable[[bytes, tuple[str, int]], None]


class DatagramSocket:
    """A bound UDP socket; `run` reads from it."""

    def __init__(self, address: core.Address) -> None:
        """Binds the socket.

        Raises:
            OSError: The address is in use or not local.
        """
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self._socket.setsockopt(
                socket.SOL_SOCKET, option, _SOCKET_BUFFER_BYTES
            )
        try:
            self._socket.bind(address.pair)
        except OSError:
            self._socket.close()
            raise
        self._readable = asyncio.Event()
        self.unsent_count = 0

    @property
    def address(self) -> core.Address:
        """Address to which the socket is bound."""
        return core.Address(*self._socket.getsockname()[:2])

    def send(self, datagram: bytes, destination: tuple[str, int]) -> None:
        """Sends a datagram; drops it if the system does not accept it."""
        try:
            self._socket.sendto(datagram, destination)
        except (OSError, OverflowError, ValueError):
            # The send buffer is full, the datagram is too long, or the address,
            # which came from another instance, is invalid or unreachable.
            self.unsent_count += 1

    async def run(self, receive: DatagramReceiver) -> None:
        """Passes every datagram to `receive` until cancelled."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket, self._readable.set)
        try:
            while True:
                await self._readable.wait()
                self._readable.clear()
                self._receive_batch(receive)
        finally:
            loop.remove_reader(self._socket)
            self._socket.close()

    def _receive_batch(self, receive: DatagramReceiver) -> None:
        receive_from = self._socket.recvfrom
        for _ in range(MAX_BATCH_DATAGRAMS):
            try:
                datagram, sender = receive_from(_MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                # ICMP error: the receiver of an earlier datagram refused it.
                continue
            receive(datagram, sender)
