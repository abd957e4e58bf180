"""Tests of the ticket encoding and of calls between agents over pynng."""

import asyncio
import base64
import socket

from fireflyford import config
from fireflyford import core
from fireflyford import requests
from fireflyford.agent import _peer_channel
from fireflyford.agent import _ticket_codec

_KEY = b"k" * 16
_CLOCK = core.SystemClock()
_TREATMENT = config.Treatment(
    name="order", method="POST", path_prefix="/", idempotent=False
)


def test_ticket_round_trip() -> None:
    """Guards against lost fields and against a longer header."""
    codec = _ticket_codec.TicketCodec(_KEY)
    address = core.Address("127.0.0.1", 7_001)
    ticket = requests.Ticket(address, 2**62 + 5, 7, 123_456_789)
    text = codec.encode(ticket)
    assert codec.decode(text) == core.Ok(ticket)
    assert len(base64.urlsafe_b64decode(text)) == 32


def test_forged_ticket_is_rejected() -> None:
    """Guards against accepting a ticket that no agent issued."""
    codec = _ticket_codec.TicketCodec(_KEY)
    ticket = requests.Ticket(core.Address("127.0.0.1", 1), 1, 1, 1)
    other = _ticket_codec.TicketCodec(b"o" * 16).encode(ticket)
    for text in ("", "x", "not base64!", other):
        outcome = codec.decode(text)
        assert isinstance(outcome, core.Failure)
        assert outcome.kind is core.ErrorKind.TICKET_INVALID


class _EchoExecutor(requests.Executor):
    def __init__(self) -> None:
        self.started = asyncio.Event()
        self.run_count = 0

    async def execute(
        self, work: requests.WorkItem
    ) -> core.Outcome[requests.Response]:
        self.run_count += 1
        self.started.set()
        if work.path == "/hang":
            await asyncio.sleep(60)
        return core.Ok(requests.Response(200, (), work.body))


def _free_address() -> core.Address:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return core.Address("127.0.0.1", probe.getsockname()[1])


def _make_engine(
    address: core.Address, executor: requests.Executor
) -> requests.RequestEngine:
    info = requests.PeerInfo("peer", address, 9, "")
    return requests.RequestEngine(
        _CLOCK, executor, 2, requests.LocalOnly(), info
    )


def _make_handoff(path: str, serial: int = 1) -> requests.Handoff:
    now_ms = _CLOCK.now_ms()
    work = requests.WorkItem(
        "id",
        _TREATMENT,
        "POST",
        path,
        b"body",
        "caller",
        now_ms,
        now_ms + 2_000,
    )
    return requests.Handoff(5, serial, 9, now_ms, 2_000, 1e9, work)


async def _execute_twice() -> tuple[list[core.Outcome[requests.Response]], int]:
    address, executor = _free_address(), _EchoExecutor()
    engine = _make_engine(address, executor)
    server = _peer_channel.PeerServer(_CLOCK, _KEY, engine)
    task = asyncio.create_task(server.run(address))
    peers = _peer_channel.PynngPeerChannel(_CLOCK, _KEY)
    try:
        await asyncio.sleep(0.05)
        outcomes = [
            await peers.execute(address, _make_handoff("/")) for _ in "ab"
        ]
    finally:
        task.cancel()
        await asyncio.wait({task})
        peers.close()
        engine.close()
    return outcomes, executor.run_count


def test_duplicate_handoff_returns_first_response() -> None:
    """Guards against running a handed-over request twice at the peer."""
    outcomes, run_count = asyncio.run(_execute_twice())
    assert (
        outcomes[0]
        == outcomes[1]
        == core.Ok(requests.Response(200, (), b"body"))
    )
    assert run_count == 1


async def _stop_peer_during_call() -> list[core.Outcome[requests.Response]]:
    address, executor = _free_address(), _EchoExecutor()
    engine = _make_engine(address, executor)
    server = _peer_channel.PeerServer(_CLOCK, _KEY, engine)
    task = asyncio.create_task(server.run(address))
    peers = _peer_channel.PynngPeerChannel(_CLOCK, _KEY)
    try:
        await asyncio.sleep(0.05)
        call = asyncio.create_task(
            peers.execute(address, _make_handoff("/hang"))
        )
        await executor.started.wait()
        task.cancel()
        await asyncio.wait({task})
        stopped = await asyncio.wait_for(call, 5)
        unreachable = await peers.execute(
            _free_address(), _make_handoff("/", 2)
        )
    finally:
        peers.close()
        engine.close()
    return [stopped, unreachable]


def test_outcome_is_unknown_only_if_peer_was_reachable() -> None:
    """Guards against reporting "not run" for a request that a peer received."""
    stopped, unreachable = asyncio.run(_stop_peer_during_call())
    assert isinstance(stopped, core.Failure)
    assert stopped.kind is core.ErrorKind.OUTCOME_UNKNOWN
    assert isinstance(unreachable, core.Failure)
    assert unreachable.kind is core.ErrorKind.INSTANCE_UNREACHABLE
