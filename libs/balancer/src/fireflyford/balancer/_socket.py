"""UDP socket that reads several datagrams each time it becomes readable."""

import asyncio
from collections.abc import Callable
import socket

from fireflyford import core

# An asyncio transport reads one datagram for each turn of the event loop, and
# the turn costs more than the datagram. More than this at a time would delay
# the other sockets and membership by milliseconds.
BATCH_DATAGRAMS = 64
_MAX_DATAGRAM_BYTES = 65_535
# Room for the datagrams that arrive during a pause of the process of some
# 50 ms at 20,000 a second.
_BUFFER_BYTES = 4 << 20

Receiver = Callable[[bytes, tuple[str, int]], None]


class DatagramSocket:
    """One bound UDP socket; `run` is its task."""

    def __init__(self, address: core.Address) -> None:
        """Binds the socket.

        Raises:
            OSError: The address is in use or not local.
        """
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self._socket.setsockopt(socket.SOL_SOCKET, option, _BUFFER_BYTES)
        try:
            self._socket.bind(address.pair)
        except OSError:
            self._socket.close()
            raise
        self._readable = asyncio.Event()
        self.unsent_count = 0

    @property
    def address(self) -> core.Address:
        """Where the socket is bound."""
        return core.Address(*self._socket.getsockname()[:2])

    def send(self, datagram: bytes, to: tuple[str, int]) -> None:
        """Sends a datagram; drops it when the system does not take it."""
        try:
            self._socket.sendto(datagram, to)
        except (OSError, OverflowError, ValueError):
            # The buffer is full, the datagram is too long, or the address,
            # which another instance sent, cannot be reached.
            self.unsent_count += 1

    async def run(self, receive: Receiver) -> None:
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

    def _receive_batch(self, receive: Receiver) -> None:
        read = self._socket.recvfrom
        for _ in range(BATCH_DATAGRAMS):
            try:
                datagram, sender = read(_MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                # An earlier datagram was refused by its receiver.
                continue
            receive(datagram, sender)
