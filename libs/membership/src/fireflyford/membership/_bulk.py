"""Request-reply transfers too large for a datagram, over pynng."""

import asyncio
from collections.abc import Callable
import hashlib

import msgspec
import pynng

from fireflyford import core
from fireflyford import telemetry

_MAC_BYTES = 8
MAX_TRANSFER_BYTES = 4 << 20
_TIMEOUT_MS = 2_000
_WORKER_COUNT = 8


class _Request(msgspec.Struct, frozen=True, array_like=True):
    """Encoded content of one request."""

    topic: str
    payload: bytes


class BulkServer:
    """Answers requests of other instances with a handler for each topic."""

    def __init__(self, key: bytes) -> None:
        """Creates a server without handlers.

        Args:
            key: Link key, which authenticates requests and replies.
        """
        self._key = key
        self._handlers: dict[str, Callable[[bytes], bytes]] = {}
        self.sent_bytes = 0
        self.received_bytes = 0

    def register(self, topic: str, handler: Callable[[bytes], bytes]) -> None:
        """Sets the handler that returns the reply payload for a topic."""
        self._handlers[topic] = handler

    async def run(self, address: core.Address) -> None:
        """Serves until cancelled; logs an error before raising it."""
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
            # pynng swallows a cancellation that arrives while an operation
            # completes, so the loop checks for it.
            while task is not None and not task.cancelling():
                data = await context.arecv()
                self.received_bytes += len(data)
                reply = self._answer(data)
                self.sent_bytes += len(reply)
                await context.asend(reply)

    def _answer(self, data: bytes) -> bytes:
        body = _verify(self._key, data)
        if body is None:
            return b""
        try:
            request = msgspec.msgpack.decode(body, type=_Request)
        except msgspec.DecodeError:
            return b""
        handler = self._handlers.get(request.topic)
        return (
            b""
            if handler is None
            else _sign(self._key, handler(request.payload))
        )


async def fetch_bulk(
    address: core.Address, key: bytes, topic: str, payload: bytes
) -> core.Outcome[bytes]:
    """Sends a request to another instance and waits for the reply.

    Args:
        address: Bulk address of the other instance.
        key: Link key.
        topic: Topic of the request.
        payload: Payload of the request, in a format defined by the topic.

    Returns:
        The reply payload, or a failure of kind `INSTANCE_UNREACHABLE`.
    """
    request = msgspec.msgpack.encode(_Request(topic, payload))
    try:
        with pynng.Req0(
            send_timeout=_TIMEOUT_MS,
            recv_timeout=_TIMEOUT_MS,
            recv_max_size=MAX_TRANSFER_BYTES,
        ) as socket:
            socket.dial(f"tcp://{address}", block=False)
            await socket.asend(_sign(key, request))
            body = _verify(key, await socket.arecv())
    except pynng.NNGException as error:
        return _unreachable(address, str(error))
    if body is None:
        return _unreachable(address, f"no valid reply to topic {topic}")
    return core.Ok(body)


def _unreachable(address: core.Address, reason: str) -> core.Failure:
    return core.Failure(
        core.ErrorKind.INSTANCE_UNREACHABLE, f"{address}: {reason}"
    )


def _sign(key: bytes, body: bytes) -> bytes:
    return _mac(key, body) + body


def _verify(key: bytes, data: bytes) -> bytes | None:
    mac, body = data[:_MAC_BYTES], data[_MAC_BYTES:]
    return body if mac == _mac(key, body) else None


def _mac(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2s(body, key=key, digest_size=_MAC_BYTES).digest()
