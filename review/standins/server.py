"""A backend server that speaks the protocol of flows."""

import asyncio
from collections.abc import Callable
import contextlib
import random
import time
from typing import Any

from standins import http
from standins import packets
from standins import record

_RETRANSMIT_S = 0.2
_MAX_RETRANSMIT_S = 1.6
_MAX_RETRANSMISSIONS = 8
# How long a flow is remembered after both ends have closed it.
_ENDED_S = 10.0


class ServerFlow:
    """One flow as the backend server sees it."""

    def __init__(self, key: packets.FlowKey, client_seq: int) -> None:
        """Starts half-open, with a sequence number of its own."""
        self.key = key
        self.first_seq = random.randrange(packets.MODULUS)
        self.next_seq = (self.first_seq + 1) % packets.MODULUS
        self.client_first_seq = client_seq
        self.client_next_seq = (client_seq + 1) % packets.MODULUS
        self.is_open = False
        self.sent_fin = False
        self.got_fin = False
        self.ended_s: float | None = None
        self.used_s = time.monotonic()
        self.buffer = b""
        self.last_acked = self.first_seq
        self.gone = asyncio.Event()


class Server(asyncio.DatagramProtocol):
    """Accepts flows, runs requests and reports to the agent beside it."""

    def __init__(
        self,
        name: str,
        service: str,
        host: str,
        ports: dict[str, int],
        log: record.Record,
        heartbeat_ms: int = 1_200,
        work_ms: float = 26.0,
        slot_count: int = 2,
        idle_timeout_s: float = 15.0,
    ) -> None:
        """Prepares a backend server that is not running yet."""
        self.name = name
        self.service = service
        self.host = host
        self._ports = ports
        self._log = log
        self._heartbeat_ms = heartbeat_ms
        self._work_ms = work_ms
        self._slots = asyncio.Semaphore(slot_count)
        self._slot_count = slot_count
        self._idle_timeout_s = idle_timeout_s
        self._transport: asyncio.DatagramTransport | None = None
        self._health: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._sequence = 0
        self._born_ms = 0
        self.state = "ready"
        self.flows: dict[packets.FlowKey, ServerFlow] = {}
        # Time at which the draining report was confirmed.
        self.drain_confirmed_s: float | None = None
        # Flow, request identifier and time of each request that was run.
        self.runs: list[tuple[packets.FlowKey, str, float]] = []
        # Flow and time of each opening packet that was accepted.
        self.accepted: list[tuple[packets.FlowKey, float]] = []
        self.resets_sent: list[packets.FlowKey] = []
        self.bounced_count = 0
        self.damaged_count = 0
        # Flow and time of each packet that reached this server.
        self.received: list[tuple[packets.FlowKey, float]] = []
        # Whether the server is down without a sign: its port stays open, but
        # it answers nothing and reports nothing.
        self.is_dark = False
        self.is_alive = False

    async def start(self) -> None:
        """Opens the sockets and starts to send reports."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.host, self._ports["app"])
        )

        async def health(
            method: str, path: str, query: dict[str, str], body: Any
        ) -> tuple[int, Any]:
            del method, path, query, body
            return (200 if self.state == "ready" else 503), {}

        self._health = await http.serve(self.host, self._ports["app"], health)
        self._born_ms = int(time.time() * 1_000)
        self.is_alive = True
        self._spawn(self._report_loop())
        self._spawn(self._discard_loop())

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        """Ends the backend server; its flows are lost."""
        self.is_alive = False
        for task in tuple(self._tasks):
            task.cancel()
        if self._transport is not None:
            self._transport.close()
        if self._health is not None:
            self._health.close()
        self.flows.clear()

    # Reports.

    async def report(self) -> bool:
        """Sends a liveness report and returns whether it was confirmed."""
        self._sequence += 1
        body = {
            "service": self.service,
            "address": f"{self.host}:{self._ports['app']}",
            "zone": "a",
            "version": "v1",
            "slots": self._slot_count,
            "state": self.state,
            "warmup_left_ms": 0,
            "seq": self._sequence,
            "born": self._born_ms,
        }
        status = await http.call(
            self.host,
            self._ports["control"],
            "POST",
            f"/Instances.Heartbeat/i-{self.name}",
            body,
        )
        return 200 <= status < 300

    async def go_dark(self, duration_s: float) -> None:
        """Crashes without a sign, and starts again after some time."""
        self._log.say(f"{self.name}: dark")
        self.is_dark = True
        for flow in tuple(self.flows.values()):
            self._discard(flow, "crash")
        await asyncio.sleep(duration_s)
        self._born_ms = int(time.time() * 1_000)
        self._sequence = 0
        self.is_dark = False
        self._log.say(f"{self.name}: started again")

    async def _report_loop(self) -> None:
        while True:
            if not self.is_dark:
                await self.report()
            jitter = random.uniform(0.95, 1.05)
            await asyncio.sleep(self._heartbeat_ms / 1_000 * jitter)

    async def drain(self) -> None:
        """Reports that it is draining until that is confirmed."""
        self.state = "draining"
        while not await self.report():
            await asyncio.sleep(0.2)
        self.drain_confirmed_s = time.monotonic()
        self._log.say(f"{self.name}: draining is confirmed")

    async def leave(self) -> None:
        """Reports that it leaves and ends."""
        status = await http.call(
            self.host,
            self._ports["control"],
            "POST",
            f"/Instances.Deregister/i-{self.name}",
            {"born": self._born_ms},
        )
        self._log.say(f"{self.name}: leaves, status {status}")
        self.stop()

    # Packets.

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handles a packet that the agent delivered."""
        packet = packets.decode(data)
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        self.received.append((key, time.monotonic()))
        if self.is_dark:
            self._log.write(f"{self.name} is dark, gets {packet.describe()}")
            return
        if not packets.is_intact(packet):
            self.damaged_count += 1
            self._log.say(f"{self.name}: damaged {packet.describe()}")
            return
        flow = self.flows.get(key)
        if packet.flags & packets.SYN:
            self._handle_opening(key, flow, packet)
        elif flow is None:
            self._bounce(data, packet)
        elif flow.ended_s is not None:
            self._handle_ended(flow, packet)
        else:
            self._handle_packet(flow, packet, data)

    def _bounce(self, data: bytes, packet: packets.Packet) -> None:
        self.bounced_count += 1
        self._log.write(f"{self.name} returns {packet.describe()}")
        self._send_raw(packets.bounce(data))

    def _send_raw(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, (self.host, self._ports["outbound"]))

    def _send(
        self, flow: ServerFlow, flags: int, seq: int, data: bytes = b""
    ) -> None:
        client, client_port, route, route_port = flow.key
        self._send_raw(
            packets.encode(
                packets.Packet(
                    route,
                    route_port,
                    client,
                    client_port,
                    flags,
                    seq,
                    flow.client_next_seq,
                    data,
                )
            )
        )

    def _handle_opening(
        self,
        key: packets.FlowKey,
        flow: ServerFlow | None,
        packet: packets.Packet,
    ) -> None:
        if flow is not None and flow.ended_s is None:
            if flow.client_first_seq == packet.seq:
                self._send(flow, packets.SYN | packets.ACK, flow.first_seq)
            return
        flow = ServerFlow(key, packet.seq)
        self.flows[key] = flow
        self.accepted.append((key, time.monotonic()))
        self._log.write(f"{self.name} accepts {packet.describe()}")
        self._spawn(
            self._repeat(
                flow,
                lambda: self._send(
                    flow, packets.SYN | packets.ACK, flow.first_seq
                ),
                lambda: flow.is_open,
            )
        )

    async def _repeat(
        self,
        flow: ServerFlow,
        send: Callable[[], None],
        is_answered: Callable[[], bool],
    ) -> None:
        """Sends until answered; discards the flow if it never is."""
        pause_s = _RETRANSMIT_S
        for _ in range(1 + _MAX_RETRANSMISSIONS):
            if flow.gone.is_set():
                return
            send()
            end_s = time.monotonic() + pause_s
            while time.monotonic() < end_s:
                await asyncio.sleep(0.01)
                if is_answered() or flow.gone.is_set():
                    return
            pause_s = min(_MAX_RETRANSMIT_S, pause_s * 2)
        self._discard(flow, "no acknowledgment")

    def _discard(self, flow: ServerFlow, reason: str) -> None:
        if self.flows.get(flow.key) is flow:
            del self.flows[flow.key]
        flow.gone.set()
        self._log.write(f"{self.name} discards {flow.key}: {reason}")

    def _handle_ended(self, flow: ServerFlow, packet: packets.Packet) -> None:
        if packet.flags & packets.FIN:
            self._send(flow, packets.ACK, flow.next_seq)
        elif packet.data:
            self.resets_sent.append(flow.key)
            self._send(flow, packets.RST, flow.next_seq)

    def _handle_packet(
        self, flow: ServerFlow, packet: packets.Packet, data: bytes
    ) -> None:
        if packet.flags & packets.RST:
            self._discard(flow, "reset by the client")
            return
        if not flow.is_open:
            expected = (flow.first_seq + 1) % packets.MODULUS
            if packet.ack != expected:
                # The client has opened the flow at another backend server.
                self._bounce(data, packet)
                return
            flow.is_open = True
            self._log.write(f"{self.name} has {flow.key} open")
        flow.used_s = time.monotonic()
        flow.last_acked = packet.ack
        if packet.seq == flow.client_next_seq:
            size = len(packet.data) + bool(packet.flags & packets.FIN)
            flow.client_next_seq = (
                flow.client_next_seq + size
            ) % packets.MODULUS
            flow.buffer += packet.data
            if packet.flags & packets.FIN:
                flow.got_fin = True
                self._spawn(self._close(flow))
            self._read_requests(flow)
        elif packet.data or packet.flags & packets.FIN:
            self._send(flow, packets.ACK, flow.next_seq)

    def _read_requests(self, flow: ServerFlow) -> None:
        while b"\r\n\r\n" in flow.buffer:
            head, _, rest = flow.buffer.partition(b"\r\n\r\n")
            lines = head.decode().split("\r\n")
            fields = dict(line.split(": ", 1) for line in lines[1:])
            length = int(fields.get("Content-Length", "0"))
            if len(rest) < length:
                return
            flow.buffer = rest[length:]
            self._spawn(self._run(flow, fields["Request-Id"]))

    async def _run(self, flow: ServerFlow, request_id: str) -> None:
        async with self._slots:
            self.runs.append((flow.key, request_id, time.monotonic()))
            self._log.write(f"{self.name} runs {request_id} of {flow.key}")
            await asyncio.sleep(self._work_ms / 1_000)
        if flow.gone.is_set():
            return
        body = f"{request_id} by {self.service}"
        last = "Connection: close\r\n" if self.state == "draining" else ""
        response = (
            f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n"
            f"Response-Seal: {request_id}\r\n{last}\r\n{body}"
        ).encode()
        await self._transmit(flow, response, fin=bool(last))

    async def _transmit(
        self, flow: ServerFlow, data: bytes, fin: bool = False
    ) -> None:
        seq = flow.next_seq
        fin = fin and not flow.sent_fin
        end = (seq + len(data) + fin) % packets.MODULUS
        flow.next_seq = end
        flow.sent_fin = flow.sent_fin or fin
        flags = packets.ACK | (packets.FIN if fin else 0)
        await self._repeat(
            flow,
            lambda: self._send(flow, flags, seq, data),
            lambda: (
                (flow.last_acked - end) % packets.MODULUS < packets.MODULUS // 2
            ),
        )
        self._end_if_closed(flow)

    async def _close(self, flow: ServerFlow) -> None:
        if not flow.sent_fin:
            await self._transmit(flow, b"", fin=True)
        else:
            self._send(flow, packets.ACK, flow.next_seq)
        self._end_if_closed(flow)

    def _end_if_closed(self, flow: ServerFlow) -> None:
        if flow.sent_fin and flow.got_fin and flow.ended_s is None:
            flow.ended_s = time.monotonic()

    async def _discard_loop(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now_s = time.monotonic()
            for flow in tuple(self.flows.values()):
                if flow.ended_s is not None:
                    if now_s - flow.ended_s > _ENDED_S:
                        self._discard(flow, "closed")
                elif flow.is_open and (
                    now_s - flow.used_s > self._idle_timeout_s
                ):
                    self._discard(flow, "idle")

    def connection_lost(self, exc: Exception | None) -> None:
        """Does nothing: a stopped server has no flows."""

    def error_received(self, exc: Exception) -> None:
        """Ignores a closed outbound socket: packets are sent again."""
        with contextlib.suppress(Exception):
            self._log.write(f"{self.name}: {exc!r}")
