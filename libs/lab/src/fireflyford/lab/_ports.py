"""Loopback ports that no other process of this machine takes.

A port that the system chose is free only until the process that should use it
has started. On a busy machine that takes seconds, and outgoing connections of
other processes then took such ports: 4 of 8 starts of a fleet failed with
"address already in use". Each process of the lab therefore locks a block of
ports below the range that the system chooses from.
"""

import fcntl
import itertools
import os
import pathlib
import socket
import tempfile

from fireflyford import core

_FIRST_PORT = 18_000
_BLOCK_PORTS = 500
_BLOCK_COUNT = 28
_HOST = "127.0.0.1"


class PortBlock:
    """A block of ports, locked while the process lives."""

    def __init__(self) -> None:
        """Locks the first block that is not taken.

        Raises:
            OSError: Every block is taken.
        """
        for index in range(_BLOCK_COUNT):
            path = pathlib.Path(tempfile.gettempdir())
            name = path / f"fireflyford-ports-{index}.lock"
            file = os.open(name, os.O_CREAT | os.O_RDWR, 0o666)
            try:
                fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                os.close(file)
                continue
            first = _FIRST_PORT + index * _BLOCK_PORTS
            self._ports = itertools.cycle(range(first, first + _BLOCK_PORTS))
            return
        raise OSError(f"all {_BLOCK_COUNT} blocks of ports are taken")

    def take(self) -> core.Address:
        """Returns the next address that is free for TCP and UDP."""
        for port in itertools.islice(self._ports, _BLOCK_PORTS):
            if _is_free(port):
                return core.Address(_HOST, port)
        raise OSError("no port of the block is free")


def _is_free(port: int) -> bool:
    with (
        socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stream,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram,
    ):
        try:
            stream.bind((_HOST, port))
            datagram.bind((_HOST, port))
        except OSError:
            return False
    return True
