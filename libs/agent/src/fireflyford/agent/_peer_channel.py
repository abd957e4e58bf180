"""Exchange of work and reports between agents of one service, over pynng.

Each agent listens on the TCP port with the same number as its link address. A
ticket names the link address of its issuer and thus suffices to reach it.
"""

import asyncio
from collections.abc import Coroutine
import dataclasses
from typing import Any

import pynng

from fireflyford import core
from fireflyford import requests
from fireflyford.agent import _peer_codec

# A peer that is not reachable at once is of no use to a short request.
_SEND_TIMEOUT_MS = 100
# Longer than the deadlines of the engine, which expire first.
_REPLY_TIMEOUT_MS = 180_000
# Maximum number of concurrent calls; work beyond it gets `OUTCOME_UNKNOWN`.
# Admission keeps the queue at about 400 ms of work.
_WORKER_COUNT = 128
# Workers kept free for reports and cancellations, so that peers see the load
# even while all others run work.
_RESERVED_WORKER_COUNT = 16


class PynngPeerChannel(requests.PeerChannel):
    """Channel to peers with a separate pynng context for each call.

    Resending is disabled: a lost connection ends a call with an error, and
    pynng never sends a message twice.
    """

    def __init__(self, clock: core.Clock, key: bytes) -> None:
        """Initializes the channel.

        Args:
            clock: Source of time for deadlines.
            key: Link key.
        """
        self._clock = clock
        self._codec = _peer_codec.PeerCodec(key)
        self._sockets: dict[core.Address, pynng.Req0] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def execute(
        self, address: core.Address, handoff: requests.Handoff
    ) -> core.Outcome[requests.Response]:
        """Hands over work to a peer and waits for the outcome."""
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
        """Sends the report of this agent and returns that of the peer."""
        exchange = _peer_codec.Exchange(_peer_codec.pack_report(report))
        reply = await self._call(address, _peer_codec.Call(exchange=exchange))
        if isinstance(reply, core.Failure):
            return reply
        peer_report = reply.report
        if peer_report is None:
            return _outcome_unknown("peer reply holds no valid report")
        return core.Ok(peer_report)

    def cancel(self, address: core.Address, key: tuple[int, int]) -> None:
        """Asks a peer to cancel handed-over work."""
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
                # The message has not been sent, so the peer did not run it.
                return core.Failure(
                    core.ErrorKind.INSTANCE_UNREACHABLE, f"{address}: {error}"
                )
            try:
                data = await context.arecv()
            except pynng.NNGException as error:
                return _outcome_unknown(f"{address}: {error}")
        reply = self._codec.decode_reply(data)
        return reply or _outcome_unknown(f"{address}: invalid reply")

    def _socket(self, address: core.Address) -> pynng.Req0:
        socket = self._sockets.get(address)
        if socket is None:
            socket = pynng.Req0(
                resend_time=-1,
                send_timeout=_SEND_TIMEOUT_MS,
                recv_timeout=_REPLY_TIMEOUT_MS,
                recv_max_size=_peer_codec.MAX_MESSAGE_BYTES,
            )
            socket.dial(f"tcp://{address}", block=False)
            self._sockets[address] = socket
        return socket

    def close_others(self, addresses: set[core.Address]) -> None:
        """Closes all connections except those to `addresses`."""
        for address in set(self._sockets) - addresses:
            self._sockets.pop(address).close()

    def close(self) -> None:
        """Closes all connections."""
        self.close_others(set())


class PeerServer:
    """Server for the calls of peers."""

    def __init__(
        self, clock: core.Clock, key: bytes, engine: requests.RequestEngine
    ) -> None:
        """Initializes the server.

        Args:
            clock: Source of time.
            key: Link key.
            engine: Engine that runs the work of calls.
        """
        self._clock = clock
        self._codec = _peer_codec.PeerCodec(key)
        self._engine = engine
        self._running_count = 0

    async def run(self, address: core.Address) -> None:
        """Serves calls until cancelled."""
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
            # pynng swallows a cancellation that coincides with the end of its
            # operation; without this check the task would then never end.
            while not task.cancelling():
                data = await context.arecv()
                call = self._codec.decode_call(data)
                if call is None:
                    continue
                reply = await self._handle_call(call)
                try:
                    await context.asend(self._codec.encode(reply))
                except pynng.NNGException:
                    continue  # The peer is gone; its call fails there.

    async def _handle_call(self, call: _peer_codec.Call) -> _peer_codec.Reply:
        if call.exchange is not None:
            peer_report = _peer_codec.unpack_report(call.exchange.row)
            if peer_report is None:
                return _peer_codec.Reply()
            report = self._engine.accept_report(peer_report)
            return _peer_codec.Reply(row=_peer_codec.pack_report(report))
        if call.cancel is not None:
            self._engine.cancel_handoff(
                (call.cancel.origin, call.cancel.serial)
            )
            return _peer_codec.Reply()
        if self._running_count >= _WORKER_COUNT - _RESERVED_WORKER_COUNT:
            # The outcome is unknown, not `NOT_RUN`, because a copy of this call
            # may arrive later and run.
            return _peer_codec.Reply(
                failure=_outcome_unknown("peer has too many concurrent calls")
            )
        self._running_count += 1
        try:
            if call.execute is not None:
                outcome = await self._engine.accept_handoff(
                    call.execute.handoff
                )
            elif call.present is not None:
                outcome = await self._execute_presented(call.present)
            else:
                outcome = _outcome_unknown("call holds no operation")
        finally:
            self._running_count -= 1
        row = _peer_codec.pack_report(self._engine.scheduler.report())
        if isinstance(outcome, core.Failure):
            return _peer_codec.Reply(failure=outcome, row=row)
        return _peer_codec.Reply(response=outcome.value, row=row)

    def _execute_presented(
        self, present: _peer_codec.Present
    ) -> Coroutine[Any, Any, core.Outcome[requests.Response]]:
        now_ms = self._clock.now_ms()
        work = dataclasses.replace(
            present.work,
            arrived_ms=now_ms,
            deadline_ms=now_ms + present.remaining_ms,
        )
        return self._engine.accept_presented(present.ticket, work)


def _outcome_unknown(message: str) -> core.Failure:
    return core.Failure(core.ErrorKind.OUTCOME_UNKNOWN, message)
