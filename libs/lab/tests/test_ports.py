"""Ports of processes that are started later."""

import socket
import subprocess
import sys

from fireflyford.lab import _ports

PROGRAM = """
from fireflyford.lab import _ports
print([_ports.free_address().port for _ in range(150)])
"""


def test_runs_side_by_side_get_different_ports() -> None:
    """Guards against a process that talks to another run's processes."""
    runs = [
        subprocess.Popen(
            [sys.executable, "-c", PROGRAM], stdout=subprocess.PIPE
        )
        for _ in range(2)
    ]
    own = [_ports.free_address().port for _ in range(150)]
    outputs = [run.communicate()[0].decode() for run in runs]
    ports = own + [
        int(port)
        for output in outputs
        for port in output.strip("[]\n").split(", ")
    ]
    # The two runs may end one after the other and so share blocks, but
    # neither may have a port of this process, which still holds its blocks.
    assert not set(own) & set(ports[150:])
    assert len(set(own)) == 150


def test_a_port_in_use_is_left_out() -> None:
    """Guards against ports that a program outside the lab uses."""
    port = _ports.free_address().port
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as used:
        used.bind(("127.0.0.1", port + 1))
        assert _ports.free_address().port != port + 1
