"""Clients of one host, and the router before the balancers."""

import asyncio
import itertools
import random
import time
import zlib

from standins import http
from standins import packets
from standins import record

_COPY_DELAYS_S = (0.2, 0.4, 0.8)
_RETRANSMIT_S = 0.2
_MAX_RETRANSMIT_S = 1.6
_CHECK_INTERVAL_S = 0.5


class Router:
    """Forwards packets of clients to the balancers in rotation."""

    def __init__(self, hosts: list[str], ports: dict[str, int]) -> None:
        """Prepares a router with no balancer in rotation."""
        self._hosts = list(hosts)
        self._ports = ports
        self._misses = dict.fromkeys(hosts, 2)
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts the readiness checks."""
        self._task = asyncio.create_task(self._check())

    def stop(self) -> None:
        """Ends the readiness checks."""
        if self._task is not None:
            self._task.cancel()

    async def _check(self) -> None:
        async def check(host: str) -> None:
            port = self._ports["readiness"]
            status = await http.call(host, port, "GET", "/ready", limit_s=0.4)
            self._misses[host] = 0 if status == 200 else self._misses[host] + 1

        while True:
            await asyncio.gather(
                *(check(host) for host in self._hosts),
                asyncio.sleep(_CHECK_INTERVAL_S),
            )

    def in_rotation(self) -> list[str]:
        """Returns the balancers in rotation."""
        ready = [host for host in self._hosts if self._misses[host] < 2]
        return ready if 2 * len(ready) >= len(self._hosts) else self._hosts

    def choose(self, key: packets.FlowKey) -> str:
        """Returns the balancer of a flow, by hash and modulus."""
        hosts = self.in_rotation()
        text = ":".join(map(str, key)).encode()
        return hosts[zlib.crc32(text) % len(hosts)]


class Flow:
    """One flow as its client sees it."""

    def __init__(self, key: packets.FlowKey) -> None:
        """Starts closed."""
        self.key = key
        self.first_seq = random.randrange(packets.MODULUS)
        self.next_seq = (self.first_seq + 1) % packets.MODULUS
        self.server_next_seq: int | None = None
        self.acked = self.first_seq
        self.opened_s: float | None = None
        self.is_ended = False
        self.got_fin = False
        self.buffer = b""
        # Resets received: time and packet.
        self.resets: list[tuple[float, packets.Packet]] = []
        self.changed = asyncio.Event()

    @property
    def name(self) -> str:
        """The client's address and port."""
        return f"{self.key[0]}:{self.key[1]}"


class ClientHost(asyncio.DatagramProtocol):
    """All clients of one address; packets come to one port."""

    _request_numbers = itertools.count(1)

    def __init__(
        self,
        host: str,
        ports: dict[str, int],
        router: Router,
        log: record.Record,
    ) -> None:
        """Prepares a host without flows."""
        self.host = host
        self._ports = ports
        self._router = router
        self._log = log
        self._transport: asyncio.DatagramTransport | None = None
        self.flows: dict[packets.FlowKey, Flow] = {}
        self.damaged_count = 0

    async def start(self) -> None:
        """Opens the socket."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.host, self._ports["packets"])
        )

    def stop(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def _send(
        self, flow: Flow, flags: int, seq: int, ack: int, data: bytes = b""
    ) -> None:
        assert self._transport is not None
        packet = packets.Packet(*flow.key, flags, seq, ack, data)
        balancer = self._router.choose(flow.key)
        self._log.write(f"client sends {packet.describe()} via {balancer}")
        self._transport.sendto(
            packets.encode(packet), (balancer, self._ports["packets"])
        )

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handles a packet for one of the clients."""
        packet = packets.decode(data)
        key = (packet.dst, packet.dport, packet.src, packet.sport)
        self._log.write(f"client gets {packet.describe()} from {addr[0]}")
        flow = self.flows.get(key)
        if packet.flags & packets.RST:
            if flow is not None and not flow.is_ended:
                flow.resets.append((time.monotonic(), packet))
                if self._is_valid_reset(flow, packet):
                    flow.is_ended = True
                flow.changed.set()
            return
        if not packets.is_intact(packet):
            self.damaged_count += 1
            return
        if flow is not None:
            self._handle_packet(flow, packet)

    def _is_valid_reset(self, flow: Flow, packet: packets.Packet) -> bool:
        if flow.server_next_seq is None:
            return True
        return (
            packets.distance(flow.server_next_seq, packet.seq)
            <= packets.RESET_WINDOW
        )

    def _handle_packet(self, flow: Flow, packet: packets.Packet) -> None:
        if packet.flags & packets.SYN:
            if flow.server_next_seq is None:
                flow.server_next_seq = (packet.seq + 1) % packets.MODULUS
                flow.opened_s = time.monotonic()
                flow.changed.set()
            return
        if flow.server_next_seq is None:
            return
        ahead = (packet.ack - flow.acked) % packets.MODULUS
        if ahead < packets.MODULUS // 2:
            flow.acked = packet.ack
        size = len(packet.data) + bool(packet.flags & packets.FIN)
        if size and packet.seq == flow.server_next_seq:
            flow.server_next_seq = (packet.seq + size) % packets.MODULUS
            flow.buffer += packet.data
            flow.got_fin = flow.got_fin or bool(packet.flags & packets.FIN)
        if size:
            self._send(flow, packets.ACK, flow.next_seq, flow.server_next_seq)
        flow.changed.set()

    async def _wait(self, flow: Flow, limit_s: float) -> None:
        flow.changed.clear()
        try:
            async with asyncio.timeout(limit_s):
                await flow.changed.wait()
        except TimeoutError:
            pass

    async def open(self, route: tuple[str, int], port: int) -> Flow | None:
        """Opens a flow from a port; returns None if that fails."""
        flow = Flow((self.host, port, *route))
        self.flows[flow.key] = flow
        for copy, pause_s in enumerate(_COPY_DELAYS_S):
            self._send(flow, packets.SYN, flow.first_seq, copy)
            end_s = time.monotonic() + pause_s
            while time.monotonic() < end_s:
                await self._wait(flow, end_s - time.monotonic())
                if flow.is_ended:
                    return None
                if flow.server_next_seq is not None:
                    return flow
        flow.is_ended = True
        return None

    async def request(
        self, flow: Flow, method: str = "GET", limit_s: float = 2.5
    ) -> tuple[str, str | None]:
        """Sends a request.

        Returns:
            Its identifier, and the body of the answer, None for none.
        """
        request_id = f"q{next(self._request_numbers)}"
        data = (
            f"{method} / HTTP/1.1\r\nHost: x\r\nRequest-Id: {request_id}\r\n"
            "Content-Length: 0\r\n\r\n"
        ).encode()
        assert flow.server_next_seq is not None
        seq = flow.next_seq
        flow.next_seq = (seq + len(data)) % packets.MODULUS
        flow.buffer = b""
        await self._transmit(flow, packets.ACK, seq, data, limit_s, True)
        body = self._parse_response(flow)
        self._log.write(f"client {flow.name} {request_id} answer {body}")
        return request_id, body

    @staticmethod
    def _parse_response(flow: Flow) -> str | None:
        head, separator, body = flow.buffer.partition(b"\r\n\r\n")
        if not separator:
            return None
        for line in head.decode().split("\r\n"):
            name, _, value = line.partition(": ")
            if name == "Content-Length" and len(body) >= int(value):
                return body[: int(value)].decode()
        return None

    async def _transmit(
        self,
        flow: Flow,
        flags: int,
        seq: int,
        data: bytes,
        limit_s: float,
        wait_for_response: bool,
    ) -> None:
        end_s = time.monotonic() + limit_s
        pause_s = _RETRANSMIT_S
        target = flow.next_seq

        def is_acked() -> bool:
            ahead = (flow.acked - target) % packets.MODULUS
            return ahead < packets.MODULUS // 2

        def is_done() -> bool:
            if flow.is_ended:
                return True
            if wait_for_response:
                return self._parse_response(flow) is not None
            return is_acked()

        while time.monotonic() < end_s and not is_done():
            if not is_acked():
                assert flow.server_next_seq is not None
                self._send(flow, flags, seq, flow.server_next_seq, data)
            pause_end_s = min(end_s, time.monotonic() + pause_s)
            while time.monotonic() < pause_end_s and not is_done():
                await self._wait(flow, pause_end_s - time.monotonic())
            pause_s = min(_MAX_RETRANSMIT_S, pause_s * 2)

    async def close(self, flow: Flow) -> bool:
        """Closes a flow; returns whether both ends have closed it."""
        seq = flow.next_seq
        flow.next_seq = (seq + 1) % packets.MODULUS
        await self._transmit(
            flow, packets.ACK | packets.FIN, seq, b"", 3.0, False
        )
        end_s = time.monotonic() + 3.0
        while not flow.got_fin and time.monotonic() < end_s:
            await self._wait(flow, 0.1)
        flow.is_ended = True
        return flow.got_fin

    async def order(
        self, route: tuple[str, int], port: int, method: str = "POST"
    ) -> tuple[str, str | None]:
        """Opens a flow for one request and closes it."""
        flow = await self.open(route, port)
        if flow is None:
            return "", None
        result = await self.request(flow, method)
        if not flow.is_ended:
            await self.close(flow)
        return result
