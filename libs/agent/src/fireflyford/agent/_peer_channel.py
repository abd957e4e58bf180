"""Work and reports between agents of one service, over pynng.

Each agent listens on the TCP port with the number of its link address, so a
ticket, which names the link address of its issuer, is enough to reach it.
"""

import asyncio
from collections.abc import Coroutine
import dataclasses
from typing import Any

import pynng

from fireflyford import core
from fireflyford import requests
from fireflyford.agent import _peer_codec

# A peer that cannot be reached at once is no help to a short request.
_SEND_LIMIT_MS = 100
# The engine's own deadlines end before this one.
_REPLY_LIMIT_MS = 180_000
# Work beyond this many calls at a time is answered "unknown"; admission keeps
# the queue at about 400 ms of work.
_WORKER_COUNT = 128
# The last workers answer reports only, so that load stays visible.
_RESERVED_WORKER_COUNT = 16


class PynngPeers(requests.PeerChannel):
    """Channel to peers; each call has a context of its own.

    Resending is off: a lost connection ends a call with an error, and the
    library never sends a message twice.
    """

    def __init__(self, clock: core.Clock, key: bytes) -> None:
        """Takes the clock of deadlines and the link key."""
        self._clock = clock
        self._codec = _peer_codec.PeerCodec(key)
        self._sockets: dict[core.Address, pynng.Req0] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def execute(
        self, address: core.Address, handoff: requests.Handoff
    ) -> core.Outcome[requests.Response]:
        """Hands work to a peer and waits for the outcome."""
        execute = _peer_codec.Execute(handoff)
        reply = await self._call(address, _peer_codec.Call(execute=execute))
        if isinstance(reply, core.Failure):
            return reply
        self.notify_report(reply.report)
        return reply.outcome()

    async def present(
        self,
        address: core.Address,
        ticket: requests.Ticket,
        work: requests.WorkItem,
    ) -> core.Outcome[requests.Response]:
        """Presents a ticket to its issuer and waits for the outcome."""
        remaining_ms = work.deadline_ms - self._clock.now_ms()
        present = _peer_codec.Present(ticket, work, remaining_ms)
        reply = await self._call(address, _peer_codec.Call(present=present))
        return reply if isinstance(reply, core.Failure) else reply.outcome()

    async def exchange(
        self, address: core.Address, report: requests.TargetReport
    ) -> core.Outcome[requests.TargetReport]:
        """Sends the own report and returns that of the peer."""
        exchange = _peer_codec.Exchange(_peer_codec.pack_report(report))
        reply = await self._call(address, _peer_codec.Call(exchange=exchange))
        if isinstance(reply, core.Failure):
            return reply
        peer_report = reply.report
        if peer_report is None:
            return _unknown("the peer sent no report")
        return core.Ok(peer_report)

    def cancel(self, address: core.Address, key: tuple[int, int]) -> None:
        """Tells a peer that handed-over work is no longer wanted."""
        call = _peer_codec.Call(cancel=_peer_codec.Cancel(*key))
        task = asyncio.create_task(self._send_cancel(address, call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_cancel(
        self, address: core.Address, call: _peer_codec.Call
    ) -> None:
        await self._call(address, call)

    async def _call(
        self, address: core.Address, call: _peer_codec.Call
    ) -> _peer_codec.Reply | core.Failure:
        with self._socket(address).new_context() as context:
            try:
                await context.asend(self._codec.encode(call))
            except pynng.NNGException as error:
                # Without a connection the message stays here.
                return core.Failure(
                    core.ErrorKind.INSTANCE_UNREACHABLE, f"{address}: {error}"
                )
            try:
                data = await context.arecv()
            except pynng.NNGException as error:
                return _unknown(f"{address}: {error}")
        reply = self._codec.decode_reply(data)
        return reply or _unknown(f"{address}: foreign answer")

    def _socket(self, address: core.Address) -> pynng.Req0:
        socket = self._sockets.get(address)
        if socket is None:
            socket = pynng.Req0(
                resend_time=-1,
                send_timeout=_SEND_LIMIT_MS,
                recv_timeout=_REPLY_LIMIT_MS,
                recv_max_size=_peer_codec.MAX_MESSAGE_BYTES,
            )
            socket.dial(f"tcp://{address}", block=False)
            self._sockets[address] = socket
        return socket

    def forget_others(self, addresses: set[core.Address]) -> None:
        """Closes the connections to peers that are not in `addresses`."""
        for address in set(self._sockets) - addresses:
            self._sockets.pop(address).close()

    def close(self) -> None:
        """Closes all connections."""
        self.forget_others(set())


class PeerServer:
    """Answers the calls of peers."""

    def __init__(
        self, clock: core.Clock, key: bytes, engine: requests.RequestEngine
    ) -> None:
        """Takes the engine that decides, and the link key."""
        self._clock = clock
        self._codec = _peer_codec.PeerCodec(key)
        self._engine = engine
        self._busy_count = 0

    async def run(self, address: core.Address) -> None:
        """Serves until cancelled."""
        with pynng.Rep0(
            listen=f"tcp://{address}",
            recv_max_size=_peer_codec.MAX_MESSAGE_BYTES,
        ) as socket:
            async with asyncio.TaskGroup() as tasks:
                for _ in range(_WORKER_COUNT):
                    tasks.create_task(self._serve(socket))

    async def _serve(self, socket: pynng.Rep0) -> None:
        task = asyncio.current_task()
        assert task is not None
        with socket.new_context() as context:
            # pynng swallows a cancellation when its operation succeeds at
            # the same moment, and the task would then wait for ever.
            while not task.cancelling():
                data = await context.arecv()
                call = self._codec.decode_call(data)
                if call is None:
                    continue
                reply = await self._answer(call)
                try:
                    await context.asend(self._codec.encode(reply))
                except pynng.NNGException:
                    continue  # The peer has gone; its call ends with an error.

    async def _answer(self, call: _peer_codec.Call) -> _peer_codec.Reply:
        if call.exchange is not None:
            sent = _peer_codec.unpack_report(call.exchange.row)
            if sent is None:
                return _peer_codec.Reply()
            report = self._engine.accept_report(sent)
            return _peer_codec.Reply(row=_peer_codec.pack_report(report))
        if call.cancel is not None:
            self._engine.cancel_handoff(
                (call.cancel.origin, call.cancel.serial)
            )
            return _peer_codec.Reply()
        if self._busy_count >= _WORKER_COUNT - _RESERVED_WORKER_COUNT:
            # Not "not run": a copy of this call may come again and run.
            return _peer_codec.Reply(failure=_unknown("too many calls"))
        self._busy_count += 1
        try:
            if call.execute is not None:
                outcome = await self._engine.accept_handoff(
                    call.execute.handoff
                )
            elif call.present is not None:
                outcome = await self._present(call.present)
            else:
                outcome = _unknown("an empty call")
        finally:
            self._busy_count -= 1
        row = _peer_codec.pack_report(self._engine.scheduler.report())
        if isinstance(outcome, core.Failure):
            return _peer_codec.Reply(failure=outcome, row=row)
        return _peer_codec.Reply(response=outcome.value, row=row)

    def _present(
        self, present: _peer_codec.Present
    ) -> Coroutine[Any, Any, core.Outcome[requests.Response]]:
        now_ms = self._clock.now_ms()
        work = dataclasses.replace(
            present.work,
            arrived_ms=now_ms,
            deadline_ms=now_ms + present.remaining_ms,
        )
        return self._engine.accept_presented(present.ticket, work)


def _unknown(message: str) -> core.Failure:
    return core.Failure(core.ErrorKind.OUTCOME_UNKNOWN, message)
