"""Experiment on the cost of forwarding in the balancer."""

import asyncio
import gc
import math
import random
import socket
import statistics
import time

from fireflyford import balancer
from fireflyford import core
from fireflyford import membership
from fireflyford import routing
from fireflyford import wire
from fireflyford.lab import _forward_load
from fireflyford.lab import _forward_worker
from fireflyford.lab.experiments import _framework

# Below saturation, so that the bare relay loses no datagrams either.
_RATE_PER_S = 8_000
_MEASURED_DATAGRAM_COUNT = 16_000
_WARM_UP_DATAGRAM_COUNT = 2_000
_ROUND_COUNT = 3
_SENDER_COUNT = 64
_FLOW_COUNT = 1_024
_MANY_FLOW_COUNT = 20_000
_FEW_OPEN_FLOW_COUNT = 1_000
_OPEN_FLOW_COUNT = 300_000
_PORT_COUNT_PER_SOURCE = 20_000
# Datagrams sent before waiting for the worker; fewer than fit into a receive
# buffer of the usual size.
_BATCH_DATAGRAM_COUNT = 100
_NEW_FLOW_COUNT = 20_000
_NEW_FLOWS_PER_S = 5_000
_SERVICE_COUNT = 420
_TARGET_COUNT = 4_000
_SETTLE_S = 0.2


def _open_sink() -> tuple[socket.socket, core.Address]:
    sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sink.bind(("127.0.0.1", 0))
    return sink, core.Address("127.0.0.1", sink.getsockname()[1])


class _Case:
    """One kind of datagram sent through one kind of forwarder."""

    def __init__(
        self,
        name: str,
        kind: str,
        socket_index: int,
        datagrams: list[bytes],
        target: float | None,
    ) -> None:
        self.name = name
        self.kind = kind
        self.socket_index = socket_index
        self.datagrams = datagrams
        self.target = target
        self.costs_us: list[float] = []

    def measure(
        self, sink: core.Address, key: bytes, senders: list[socket.socket]
    ) -> None:
        """Adds one measurement of the CPU time per datagram."""
        worker = _forward_load.Worker(self.kind, sink, key)
        try:
            destination = worker.addresses[self.socket_index]
            _forward_load.send_paced(
                senders,
                destination,
                self.datagrams,
                _WARM_UP_DATAGRAM_COUNT,
                _RATE_PER_S,
            )
            time.sleep(_SETTLE_S)
            before = worker.report()
            _forward_load.send_paced(
                senders,
                destination,
                self.datagrams,
                _MEASURED_DATAGRAM_COUNT,
                _RATE_PER_S,
            )
            time.sleep(_SETTLE_S)
            after = worker.report()
        finally:
            worker.stop()
        count = after.count - before.count
        self.costs_us.append((after.cpu_s - before.cpu_s) / count * 1e6)


def _make_cases(
    key: bytes, sink: core.Address, rng: random.Random
) -> list[_Case]:
    plain = [rng.randbytes(_forward_load.PAYLOAD_BYTES)]
    open_flows = _forward_load.make_quic_datagrams(key, _FLOW_COUNT, sink, rng)
    many_flows = _forward_load.make_quic_datagrams(
        key, _MANY_FLOW_COUNT, sink, rng
    )
    answers = _forward_load.make_answers(key, sink)
    return [
        _Case("bare relay", "relay", 0, plain, None),
        _Case("QUIC to agent", "quic", 0, open_flows, 2.0),
        _Case("QUIC to agent, 20,000 flows", "quic", 0, many_flows, 2.0),
        _Case("plain datagram to agent", "datagram", 0, plain, 2.0),
        _Case("answer to caller", "quic", 1, answers, 2.0),
    ]


def _measure_cost(seed: int) -> list[_framework.Figure]:
    rng = random.Random(seed)
    key = rng.randbytes(16)
    sink, address = _open_sink()
    senders = _forward_load.open_sockets(_SENDER_COUNT)
    cases = _make_cases(key, address, rng)
    for _ in range(_ROUND_COUNT):
        for case in cases:
            case.measure(address, key, senders)
    for open_socket in (sink, *senders):
        open_socket.close()
    relay, *forwarders = cases
    figures = [
        _framework.Figure("bare relay", statistics.median(relay.costs_us), "us")
    ]
    for case in forwarders:
        # Each ratio compares costs of the same round, since other load on the
        # machine varies between rounds.
        ratios = [
            cost / relay_cost
            for cost, relay_cost in zip(
                case.costs_us, relay.costs_us, strict=True
            )
        ]
        figures.append(
            _framework.Figure(
                case.name, statistics.median(ratios), "ratio", case.target
            )
        )
    return figures


def _send_open_flows(
    worker: _forward_load.Worker, key: bytes, first: int, last: int
) -> None:
    """Sends one datagram of each flow, each from a different address."""
    destination = worker.addresses[0]
    codec = wire.ConnectionIdCodec([key], _forward_worker.SERVICE)
    rng = random.Random(first)
    for number in range(first, last):
        source, port = divmod(number, _PORT_COUNT_PER_SOURCE)
        connection_id = codec.encode(
            wire.ConnectionId(destination, number, rng.randbytes(4))
        )
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sender.bind((f"127.0.1.{source + 1}", 10_000 + port))
            sender.sendto(
                b"\x40" + connection_id + bytes(100), destination.pair
            )
        if number % _BATCH_DATAGRAM_COUNT == 0:
            # The report waits until the worker has caught up.
            worker.report()


async def _measure_memory(kind: str, key: bytes) -> _framework.Figure:
    sink, address = _open_sink()
    worker = _forward_load.Worker(kind, address, key)
    try:
        await asyncio.to_thread(
            _send_open_flows, worker, key, 0, _FEW_OPEN_FLOW_COUNT
        )
        await asyncio.sleep(_SETTLE_S)
        before_bytes = worker.memory_bytes()
        await asyncio.to_thread(
            _send_open_flows,
            worker,
            key,
            _FEW_OPEN_FLOW_COUNT,
            _OPEN_FLOW_COUNT,
        )
        await asyncio.sleep(_SETTLE_S)
        grown_bytes = worker.memory_bytes() - before_bytes
        received_ratio = worker.report().count / _OPEN_FLOW_COUNT
    finally:
        worker.stop()
        sink.close()
    if received_ratio < 0.9:
        raise RuntimeError(
            "memory not measurable: fewer than 90 % of datagrams arrived"
        )
    return _framework.Figure(
        f"memory from 1,000 to 300,000 {kind} flows",
        grown_bytes / 1e6,
        "MB",
        5.0,
    )


def _measure_new_flows(kind: str, seed: int) -> _framework.Figure:
    """Measures parsing, choosing a target and encoding, without a socket."""
    rng = random.Random(seed)
    key = rng.randbytes(16)
    router = routing.Router(core.SystemClock())
    router.replace_targets(_make_targets("new", 10))
    reader: balancer.HintReader
    if kind == "quic":
        codec = wire.ConnectionIdCodec([key], _forward_worker.SERVICE)
        reader = balancer.QuicHintReader(codec)
    else:
        reader = balancer.DatagramHintReader(_forward_worker.SERVICE)
    counters = balancer.Counters()
    link = balancer.Link(wire.ForwardCodec(key), counters)
    listener = balancer.ServiceListener(
        _forward_worker.SERVICE, router, reader, link, counters
    )
    padding = bytes(wire.MIN_INITIAL_BYTES)
    datagrams = [
        (
            b"\xc0\0\0\0\1\x08" + rng.randbytes(8) + padding,
            (f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}", 40_000),
        )
        for n in range(_NEW_FLOW_COUNT)
    ]
    start_s = time.process_time()
    for datagram, caller in datagrams:
        listener.receive(datagram, caller)
    elapsed_s = time.process_time() - start_s
    return _framework.Figure(
        f"5,000 new {kind} flows a second",
        elapsed_s / _NEW_FLOW_COUNT * _NEW_FLOWS_PER_S,
        "cores",
        0.5,
    )


def _make_targets(service: str, count: int) -> list[routing.Target]:
    return [
        routing.Target(
            f"{service}-{number}",
            core.Address(f"10.1.{number >> 8}.{number & 255}", 9_000),
            number,
        )
        for number in range(count)
    ]


def _time_route_us(target_count: int, rng: random.Random) -> float:
    router = routing.Router(core.SystemClock())
    router.replace_targets(_make_targets("one", target_count))
    hints = [
        routing.UnidentifiedFlowHint(rng.getrandbits(64)) for _ in range(20_000)
    ]
    best_s = math.inf
    for _ in range(5):
        start_s = time.process_time()
        for hint in hints:
            router.choose(hint)
        best_s = min(best_s, time.process_time() - start_s)
    return best_s / len(hints) * 1e6


def _measure_growth(
    seed: int,
) -> tuple[list[_framework.Figure], _framework.Series]:
    rng = random.Random(seed)
    counts = (10, 100, 1_000, _TARGET_COUNT)
    times_us = [_time_route_us(count, rng) for count in counts]
    # The ring has 100 points for each target.
    log_growth = math.log2(counts[-1] * 100) / math.log2(counts[0] * 100)
    series = _framework.Series(
        "time to route one packet",
        "targets",
        "us",
        tuple(zip(map(float, counts), times_us, strict=True)),
    )
    figures = [
        _framework.Figure("route among 10 targets", times_us[0], "us"),
        _framework.Figure("route among 4,000 targets", times_us[-1], "us"),
        _framework.Figure(
            "growth over growth of the logarithm",
            times_us[-1] / times_us[0] / log_growth,
            "ratio",
            1.0,
        ),
    ]
    return figures, series


def _make_view(weights: dict[int, float]) -> membership.View:
    address = core.Address("10.0.0.1", 9_000)
    return membership.View(
        membership.Member(
            instance_id=f"target-{number}",
            role=core.Role.AGENT,
            region="region",
            availability_zone="zone",
            service=f"service-{number % _SERVICE_COUNT}",
            link_address=address,
            control_address=address,
            bulk_address=address,
            status_address=address,
            incarnation=number + 1,
            weight=weights.get(number, 1.0),
        )
        for number in range(_TARGET_COUNT)
    )


async def _longest_pause_ms(
    routers: dict[str, routing.Router],
    view: membership.View,
    known_targets: dict[str, balancer.RouterInput],
) -> float:
    """Returns the longest time during which no datagram would be read."""
    pauses_ms = [0.0]
    finished = asyncio.Event()

    async def measure_gaps() -> None:
        last_s = time.perf_counter()
        while not finished.is_set():
            await asyncio.sleep(0)
            now_s = time.perf_counter()
            pauses_ms.append((now_s - last_s) * 1e3)
            last_s = now_s

    measuring = asyncio.create_task(measure_gaps())
    await asyncio.sleep(0)
    await balancer.update_routers(routers, view, routers.keys(), known_targets)
    finished.set()
    await measuring
    return max(pauses_ms)


async def _measure_pauses() -> list[_framework.Figure]:
    routers = {
        f"service-{number}": routing.Router(core.SystemClock())
        for number in range(_SERVICE_COUNT)
    }
    one_changed = {17: 2.0}
    all_changed = {number: 1.0 + number % 3 for number in range(_TARGET_COUNT)}
    views = {
        "first view": _make_view({}),
        "one target changed": _make_view(one_changed),
        "every target changed": _make_view(all_changed),
    }
    known_targets: dict[str, balancer.RouterInput] = {}
    gc.collect()
    figures = []
    for name, view in views.items():
        pause_ms = await _longest_pause_ms(routers, view, known_targets)
        figures.append(
            _framework.Figure(f"longest pause, {name}", pause_ms, "ms", 50.0)
        )
    return figures


class ForwardingExperiment(_framework.Experiment):
    """Measures CPU time, memory and pauses of forwarding."""

    @property
    def name(self) -> str:
        """Name on the command line."""
        return "forwarding"

    @property
    def summary(self) -> str:
        """One-line description that `list` prints."""
        return "cost of forwarding against a bare relay; memory; ring pauses"

    async def run(self, seed: int) -> _framework.Result:
        """Runs all measurements once."""
        figures = await asyncio.to_thread(_measure_cost, seed)
        key = random.Random(seed).randbytes(16)
        for kind in ("quic", "datagram"):
            figures.append(_measure_new_flows(kind, seed))
        growth, series = _measure_growth(seed)
        figures += growth
        figures += await _measure_pauses()
        for kind in ("quic", "datagram"):
            figures.append(await _measure_memory(kind, key))
        return _framework.Result(self.name, seed, tuple(figures), (series,))


EXPERIMENTS = (ForwardingExperiment(),)
