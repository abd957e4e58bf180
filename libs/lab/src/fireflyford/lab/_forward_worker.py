"""Forwarding process that the forwarding experiments measure.

Usage: `python -m fireflyford.lab._forward_worker KIND TARGET KEY`. It prints
the ports of its sockets as a JSON list. For each line on standard input it
prints a JSON object with its CPU time and its number of forwarded datagrams.
"""

import asyncio
import json
import sys
import time
from typing import cast

from fireflyford import balancer
from fireflyford import core
from fireflyford import routing
from fireflyford import wire

SERVICE = "measured"
TARGET_COUNT = 10
_LOCAL = core.Address("127.0.0.1", 0)


class _BareRelay(asyncio.DatagramProtocol):
    """Forwards each datagram to one address; a lower bound of the cost."""

    def __init__(self, target: core.Address) -> None:
        self._pair = target.pair
        self.count = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.count += 1
        self._transport.sendto(data, self._pair)


class _Worker:
    """Sockets and counters of one kind of forwarder."""

    def __init__(self) -> None:
        self.ports: list[int] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.relay: _BareRelay | None = None
        self.counters = balancer.Counters()

    async def open_relay(self, target: core.Address) -> None:
        """Opens a bare relay to the target."""
        loop = asyncio.get_running_loop()
        transport, relay = await loop.create_datagram_endpoint(
            lambda: _BareRelay(target), local_addr=_LOCAL.pair
        )
        self.relay = relay
        self.ports.append(transport.get_extra_info("sockname")[1])

    def open_balancer(
        self, target: core.Address, reader: balancer.HintReader, key: bytes
    ) -> None:
        """Opens the forwarding sockets of a balancer."""
        router = routing.Router(core.SystemClock())
        router.replace_targets(
            routing.Target(f"target-{number}", target, number)
            for number in range(TARGET_COUNT)
        )
        link = balancer.Link(wire.ForwardCodec(key), self.counters)
        listener = balancer.ServiceListener(
            SERVICE, router, reader, link, self.counters
        )
        link.add_listener(listener)
        for part in (listener, link):
            socket = balancer.DatagramSocket(_LOCAL)
            self.ports.append(socket.address.port)
            self.tasks.append(asyncio.create_task(part.run(socket)))

    def report(self) -> str:
        """Returns the CPU time and the number of datagrams as JSON."""
        counters = self.counters
        count = counters.to_agent_count + counters.to_caller_count
        if self.relay is not None:
            count = self.relay.count
        return json.dumps({"cpu_s": time.process_time(), "count": count})


async def _main(kind: str, target: core.Address, key: bytes) -> None:
    worker = _Worker()
    if kind == "relay":
        await worker.open_relay(target)
    elif kind == "quic":
        codec = wire.ConnectionIdCodec([key], SERVICE)
        worker.open_balancer(target, balancer.QuicHintReader(codec), key)
    else:
        worker.open_balancer(target, balancer.DatagramHintReader(SERVICE), key)
    print(json.dumps(worker.ports), flush=True)
    stopped = asyncio.Event()

    def handle_command() -> None:
        if sys.stdin.readline():
            print(worker.report(), flush=True)
        else:
            stopped.set()

    asyncio.get_running_loop().add_reader(sys.stdin, handle_command)
    await stopped.wait()


if __name__ == "__main__":
    asyncio.run(
        _main(
            sys.argv[1],
            core.Address.parse(sys.argv[2]),
            bytes.fromhex(sys.argv[3]),
        )
    )
