"""Free ports for processes that are started later.

Several runs go side by side, so a port found by binding to port 0 may be
taken by another run before its process starts. Each run therefore claims a
block of ports below the range that the kernel hands out, by listening on the
first port of the block as long as it lives.
"""

import random
import socket

from fireflyford import core

_HOST = "127.0.0.1"
_FIRST_PORT = 10_000
# The kernel hands out ports from 32,768 on.
_END_PORT = 32_700
_BLOCK_PORTS = 100

# Blocks that this process has claimed, and the ports left in the last one.
_guards: list[socket.socket] = []
_unused: list[int] = []


def free_address() -> core.Address:
    """Returns a loopback address with a port free for TCP and UDP.

    Raises:
        RuntimeError: Every block of ports is claimed.
    """
    while True:
        if not _unused:
            _claim_block()
        port = _unused.pop()
        if _is_free(port):
            return core.Address(_HOST, port)


def _claim_block() -> None:
    starts = list(range(_FIRST_PORT, _END_PORT, _BLOCK_PORTS))
    # Not seeded: runs with equal seeds must not contend for the same block.
    random.SystemRandom().shuffle(starts)
    for start in starts:
        guard = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            guard.bind((_HOST, start))
            guard.listen(1)
        except OSError:
            guard.close()
            continue
        _guards.append(guard)
        _unused.extend(range(start + _BLOCK_PORTS - 1, start, -1))
        return
    raise RuntimeError("every block of ports is claimed")


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
