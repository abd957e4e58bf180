"""Transfers too large for a datagram, between two instances, over pynng."""

import asyncio
from collections.abc import Callable
import hashlib

import msgspec
import pynng

from fireflyford import core
from fireflyford import telemetry

_TAG_BYTES = 8
MAX_TRANSFER_BYTES = 4 << 20
_TIMEOUT_MS = 2_000
_WORKER_COUNT = 8


class _Call(msgspec.Struct, frozen=True, array_like=True):
    """One call: topic and payload."""

    topic: str
    payload: bytes


class BulkServer:
    """Answers calls of other instances by topic."""

    def __init__(self, key: bytes) -> None:
        """Takes the link key."""
        self._key = key
        self._handlers: dict[str, Callable[[bytes], bytes]] = {}
        self.sent_bytes = 0
        self.received_bytes = 0

    def register(self, topic: str, handler: Callable[[bytes], bytes]) -> None:
        """Answers calls of `topic` with what `handler` returns."""
        self._handlers[topic] = handler

    async def run(self, address: core.Address) -> None:
        """Serves until cancelled; an error is logged, then raised."""
        try:
            await self._run(address)
        except* pynng.NNGException as errors:
            telemetry.log(
                "bulk-failed", address=str(address), error=repr(errors)
            )
            raise

    async def _run(self, address: core.Address) -> None:
        with pynng.Rep0(
            listen=f"tcp://{address}", recv_max_size=MAX_TRANSFER_BYTES
        ) as socket:
            async with asyncio.TaskGroup() as tasks:
                for _ in range(_WORKER_COUNT):
                    tasks.create_task(self._serve(socket))

    async def _serve(self, socket: pynng.Rep0) -> None:
        task = asyncio.current_task()
        with socket.new_context() as context:
            # pynng swallows a cancellation that arrives while its operation
            # completes, so the task has to look for it.
            while task is not None and not task.cancelling():
                data = await context.arecv()
                self.received_bytes += len(data)
                reply = self._answer(data)
                self.sent_bytes += len(reply)
                await context.asend(reply)

    def _answer(self, data: bytes) -> bytes:
        body = _open(self._key, data)
        if body is None:
            return b""
        try:
            call = msgspec.msgpack.decode(body, type=_Call)
        except msgspec.DecodeError:
            return b""
        handler = self._handlers.get(call.topic)
        return (
            b"" if handler is None else _seal(self._key, handler(call.payload))
        )


async def fetch_bulk(
    address: core.Address, key: bytes, topic: str, payload: bytes
) -> core.Outcome[bytes]:
    """Calls another instance.

    Args:
        address: Bulk address of the other instance.
        key: Link key.
        topic: What is asked for.
        payload: Content of the call, defined by the topic.

    Returns:
        The answer, or `INSTANCE_UNREACHABLE`.
    """
    call = msgspec.msgpack.encode(_Call(topic, payload))
    try:
        with pynng.Req0(
            send_timeout=_TIMEOUT_MS,
            recv_timeout=_TIMEOUT_MS,
            recv_max_size=MAX_TRANSFER_BYTES,
        ) as socket:
            socket.dial(f"tcp://{address}", block=False)
            await socket.asend(_seal(key, call))
            body = _open(key, await socket.arecv())
    except pynng.NNGException as error:
        return _unreachable(address, str(error))
    if body is None:
        return _unreachable(address, f"no answer to topic {topic}")
    return core.Ok(body)


def _unreachable(address: core.Address, reason: str) -> core.Failure:
    return core.Failure(
        core.ErrorKind.INSTANCE_UNREACHABLE, f"{address}: {reason}"
    )


def _seal(key: bytes, body: bytes) -> bytes:
    return _tag(key, body) + body


def _open(key: bytes, data: bytes) -> bytes | None:
    tag, body = data[:_TAG_BYTES], data[_TAG_BYTES:]
    return body if tag == _tag(key, body) else None


def _tag(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2s(body, key=key, digest_size=_TAG_BYTES).digest()
