"""Ports of the processes that the lab starts."""

import socket

from fireflyford.lab import _ports


def test_blocks_of_two_processes_do_not_meet() -> None:
    """Guards against processes that find their address in use."""
    first, second = _ports.PortBlock(), _ports.PortBlock()
    addresses = [block.take() for block in (first, second) for _ in range(50)]
    assert len(set(addresses)) == 100


def test_a_port_in_use_is_left_out() -> None:
    """Guards against ports that a program outside the lab uses."""
    block = _ports.PortBlock()
    port = block.take().port
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as used:
        used.bind(("127.0.0.1", port + 1))
        assert block.take().port > port + 1
