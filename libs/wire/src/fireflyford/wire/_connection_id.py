"""QUIC connection IDs that identify the agent holding the flow.

Layout, 20 bytes, the maximum length of a connection ID in QUIC version 1:
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
_FIELDS = struct.Struct("!B4sHI4s")
# Number of agents that the system is designed for.
_AGENT_CACHE_SIZE = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionId:
    """Decoded connection ID of a flow.

    Attributes:
        agent: Link address of the agent that holds the flow.
        incarnation: Incarnation of that agent, low 32 bits.
        random: Random bytes that distinguish the flows of an agent.
    """

    agent: core.Address
    incarnation: int
    random: bytes


class ConnectionIdCodec:
    """Encodes and authenticates the connection IDs of one service."""

    def __init__(self, keys: Sequence[bytes], service: str) -> None:
        """Creates the codec.

        Args:
            keys: Routing keys of 16 to 64 bytes. The last one signs and all
                verify, so that keys can be rotated while flows are open.
            service: Name of the service, used as salt of the tags.

        Raises:
            ValueError: There is no key, or a key has an invalid length.
        """
        if not keys or any(not 16 <= len(key) <= 64 for key in keys):
            raise ValueError(
                "expected one or more routing keys of 16 to 64 bytes each"
            )
        salt = core.service_tag(service).to_bytes(8, "big")
        # Copying a keyed hash is about twice as fast as keying a new one.
        self._hashers = [
            hashlib.blake2s(key=key[:32], salt=salt, digest_size=_TAG_BYTES)
            for key in keys
        ]

    def encode(self, connection_id: ConnectionId) -> bytes:
        """Returns the 20 bytes of a connection ID.

        Raises:
            ValueError: The address is not IPv4, or `random` is not 4 bytes.
        """
        if len(connection_id.random) != _RANDOM_BYTES:
            raise ValueError(f"random must have {_RANDOM_BYTES} bytes")
        key_number = len(self._hashers) - 1
        body = _FIELDS.pack(
            key_number,
            ipaddress.IPv4Address(connection_id.agent.host).packed,
            connection_id.agent.port,
            connection_id.incarnation & 0xFFFFFFFF,
            connection_id.random,
        )
        return body + self._compute_tag(key_number, body)

    def decode(self, data: bytes) -> ConnectionId | None:
        """Returns the decoded connection ID, or None if it is invalid."""
        if len(data) != CONNECTION_ID_BYTES or data[0] >= len(self._hashers):
            return None
        body = data[:-_TAG_BYTES]
        if self._compute_tag(data[0], body) != data[-_TAG_BYTES:]:
            return None
        _, host, port, incarnation, random = _FIELDS.unpack(body)
        return ConnectionId(_agent_address(host, port), incarnation, random)

    def _compute_tag(self, key_number: int, body: bytes) -> bytes:
        hasher = self._hashers[key_number].copy()
        hasher.update(body)
        return hasher.digest()


@functools.lru_cache(_AGENT_CACHE_SIZE)
def _agent_address(host: bytes, port: int) -> core.Address:
    return core.Address(socket.inet_ntoa(host), port)
