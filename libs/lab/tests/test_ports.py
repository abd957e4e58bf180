"""Allocation of free ports."""

import socket
import subprocess
import sys

from fireflyford.lab import _ports

SCRIPT = """
from fireflyford.lab import _ports
print([_ports.free_address().port for _ in range(150)])
"""


def test_concurrent_processes_get_distinct_ports() -> None:
    """Guards against ports shared with the processes of another run."""
    processes = [
        subprocess.Popen([sys.executable, "-c", SCRIPT], stdout=subprocess.PIPE)
        for _ in range(2)
    ]
    own = [_ports.free_address().port for _ in range(150)]
    outputs = [process.communicate()[0].decode() for process in processes]
    ports = own + [
        int(port)
        for output in outputs
        for port in output.strip("[]\n").split(", ")
    ]
    # The two processes may use the same blocks if one exits before the other
    # starts. Neither may get a port of this process, which still holds its
    # blocks.
    assert not set(own) & set(ports[150:])
    assert len(set(own)) == 150


def test_port_in_use_is_skipped() -> None:
    """Guards against ports that another program uses."""
    port = _ports.free_address().port
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as occupied:
        occupied.bind(("127.0.0.1", port + 1))
        assert _ports.free_address().port != port + 1
