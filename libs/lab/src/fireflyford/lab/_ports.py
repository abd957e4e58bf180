"""Allocation of free ports for processes that are started later.

Several runs can share a machine, so a port found by binding to port 0 may be
taken by another run before its process starts. Each run therefore reserves
blocks of ports below the kernel's ephemeral range. It listens on the first
port of each block for its whole lifetime.
"""

import random
import socket

from fireflyford import core

_HOST = "127.0.0.1"
_FIRST_PORT = 10_000
# The kernel's ephemeral ports start at 32,768.
_END_PORT = 32_700
_BLOCK_PORTS = 100

# Sockets that hold the blocks of this process, and the unused ports of the last
# block.
_block_claims: list[socket.socket] = []
_unused_ports: list[int] = []


def free_address() -> core.Address:
    """Returns a loopback address whose port is free for TCP and UDP.

    Raises:
        RuntimeError: All blocks of ports are in use.
    """
    while True:
        if not _unused_ports:
            _claim_block()
        port = _unused_ports.pop()
        if _is_free(port):
            return core.Address(_HOST, port)


def _claim_block() -> None:
    starts = list(range(_FIRST_PORT, _END_PORT, _BLOCK_PORTS))
    # Unseeded, so that runs with the same seed do not contend for one block.
    random.SystemRandom().shuffle(starts)
    for start in starts:
        claim = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            claim.bind((_HOST, start))
            claim.listen(1)
        except OSError:
            claim.close()
            continue
        _block_claims.append(claim)
        _unused_ports.extend(range(start + _BLOCK_PORTS - 1, start, -1))
        return
    raise RuntimeError("no free block of ports: all are claimed by other runs")


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
