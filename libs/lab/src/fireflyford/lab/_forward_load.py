"""Load generator of the forwarding experiments and control of workers."""

import dataclasses
import json
import random
import socket
import subprocess
import sys
import time
from typing import IO
from typing import cast

import psutil

from fireflyford import core
from fireflyford import wire
from fireflyford.lab import _forward_worker

# Size of a caller's datagram: about that of a request with its headers.
PAYLOAD_BYTES = 200
# Larger bursts would overflow the receive buffer of a bare relay between two
# iterations of its event loop.
_BURST_DATAGRAMS = 16


@dataclasses.dataclass(frozen=True)
class WorkerReport:
    """CPU time and forwarded datagrams of a worker since its start."""

    cpu_s: float
    count: int


class Worker:
    """Handle of a forwarding process."""

    def __init__(self, kind: str, target: core.Address, key: bytes) -> None:
        """Starts the process and waits until its sockets are open."""
        self._process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "fireflyford.lab._forward_worker",
                kind,
                str(target),
                key.hex(),
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self._input = cast(IO[str], self._process.stdin)
        self._output = cast(IO[str], self._process.stdout)
        ports = json.loads(self._output.readline())
        self.addresses = [core.Address("127.0.0.1", port) for port in ports]

    def report(self) -> WorkerReport:
        """Returns the current report of the process."""
        self._input.write("report\n")
        self._input.flush()
        return WorkerReport(**json.loads(self._output.readline()))

    def memory_bytes(self) -> int:
        """Returns the resident memory of the process."""
        return int(psutil.Process(self._process.pid).memory_info().rss)

    def stop(self) -> None:
        """Stops the process and waits for its exit."""
        self._input.close()
        self._process.wait()


def make_quic_datagrams(
    key: bytes, count: int, agent: core.Address, rng: random.Random
) -> list[bytes]:
    """Returns one datagram for each of `count` QUIC flows at one agent."""
    codec = wire.ConnectionIdCodec([key], _forward_worker.SERVICE)
    body = rng.randbytes(PAYLOAD_BYTES - 1 - wire.CONNECTION_ID_BYTES)
    datagrams = []
    for _ in range(count):
        connection_id = wire.ConnectionId(
            agent, rng.getrandbits(32), rng.randbytes(4)
        )
        datagrams.append(b"\x40" + codec.encode(connection_id) + body)
    return datagrams


def make_answers(key: bytes, caller: core.Address) -> list[bytes]:
    """Returns one reply datagram of an agent to a caller."""
    header = wire.ForwardHeader(
        kind=wire.ForwardType.TO_CALLER,
        service=core.service_tag(_forward_worker.SERVICE),
        incarnation=1,
        flow_key=0,
        caller=caller,
    )
    return [wire.ForwardCodec(key).pack(header, bytes(PAYLOAD_BYTES))]


def send_paced(
    sockets: list[socket.socket],
    destination: core.Address,
    datagrams: list[bytes],
    count: int,
    rate_per_s: float,
) -> None:
    """Sends datagrams at a constant rate, in small bursts."""
    start_s = time.monotonic()
    for number in range(count):
        if number % _BURST_DATAGRAMS == 0:
            due_s = start_s + number / rate_per_s
            delay_s = due_s - time.monotonic()
            if delay_s > 0:
                time.sleep(delay_s)
        sender = sockets[number % len(sockets)]
        sender.sendto(datagrams[number % len(datagrams)], destination.pair)


def open_sockets(count: int) -> list[socket.socket]:
    """Returns UDP sockets with distinct loopback addresses."""
    sockets = []
    for _ in range(count):
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        opened.bind(("127.0.0.1", 0))
        sockets.append(opened)
    return sockets
