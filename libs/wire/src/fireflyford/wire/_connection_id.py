"""QUIC connection IDs that name the agent holding the flow.

Layout, 20 bytes, the longest connection ID that QUIC version 1 allows:
key number 1, agent IPv4 address 4, agent port 2, agent incarnation 4,
random 4, keyed tag 5.
"""

from collections.abc import Sequence
import dataclasses
import functools
import hashlib
import ipaddress
import socket
import struct

from fireflyford import core

CONNECTION_ID_BYTES = 20
_TAG_BYTES = 5
_RANDOM_BYTES = 4
_BODY = struct.Struct("!B4sHI4s")
# As many agents as the system is meant to have.
_CACHED_AGENTS = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionId:
    """What a connection ID says about its flow.

    Attributes:
        agent: Link address of the agent that holds the flow.
        incarnation: Incarnation of that agent, low 32 bits.
        random: Bytes that tell the flows of one agent apart.
    """

    agent: core.Address
    incarnation: int
    random: bytes


class ConnectionIdCodec:
    """Writes and verifies the connection IDs of one service."""

    def __init__(self, keys: Sequence[bytes], service: str) -> None:
        """Prepares the codec.

        Args:
            keys: Keys of 16 to 64 bytes; the last one signs, all verify, so
                that keys can be replaced while flows are open.
            service: Name of the service, mixed into every tag.

        Raises:
            ValueError: There is no key, or one has the wrong length.
        """
        if not keys or any(not 16 <= len(key) <= 64 for key in keys):
            raise ValueError("routing keys need 16 to 64 bytes each")
        salt = core.service_tag(service).to_bytes(8, "big")
        # Copying a keyed hash is about twice as fast as keying a new one.
        self._hashers = [
            hashlib.blake2s(key=key[:32], salt=salt, digest_size=_TAG_BYTES)
            for key in keys
        ]

    def encode(self, connection_id: ConnectionId) -> bytes:
        """Returns the 20 bytes that name the agent.

        Raises:
            ValueError: The address is not IPv4, or `random` is not 4 bytes.
        """
        if len(connection_id.random) != _RANDOM_BYTES:
            raise ValueError(f"random must be {_RANDOM_BYTES} bytes")
        key_number = len(self._hashers) - 1
        body = _BODY.pack(
            key_number,
            ipaddress.IPv4Address(connection_id.agent.host).packed,
            connection_id.agent.port,
            connection_id.incarnation & 0xFFFFFFFF,
            connection_id.random,
        )
        return body + self._tag(key_number, body)

    def decode(self, data: bytes) -> ConnectionId | None:
        """Returns the parts of a connection ID, or None if it is not ours."""
        if len(data) != CONNECTION_ID_BYTES or data[0] >= len(self._hashers):
            return None
        body = data[:-_TAG_BYTES]
        if self._tag(data[0], body) != data[-_TAG_BYTES:]:
            return None
        _, host, port, incarnation, random = _BODY.unpack(body)
        return ConnectionId(_make_agent(host, port), incarnation, random)

    def _tag(self, key_number: int, body: bytes) -> bytes:
        hasher = self._hashers[key_number].copy()
        hasher.update(body)
        return hasher.digest()


@functools.lru_cache(_CACHED_AGENTS)
def _make_agent(host: bytes, port: int) -> core.Address:
    return core.Address(socket.inet_ntoa(host), port)
