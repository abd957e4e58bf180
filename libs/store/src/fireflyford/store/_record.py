"""Encoded values of the store and of the messages between instances."""

import dataclasses
from typing import TypeVar
import zlib

import msgspec

from fireflyford import config
from fireflyford import core

T = TypeVar("T")

# Format of `ConfigRecord` itself; the text inside has a number of its own.
RECORD_FORMAT = 1
# Larger than the store's values, so that no record is cut.
_MAX_MESSAGE_BYTES = 4 << 20


@dataclasses.dataclass(frozen=True)
class ConfigRecord:
    """One accepted configuration.

    Attributes:
        version: Version, higher than that of every earlier record.
        identity: Identity of the push.
        author: Who pushed it.
        wall_ms: When it was pushed, by the operator's clock.
        base_version: Version that the operator started from.
        text: Printed deployment.
        format: Format number of this record.
    """

    version: int
    identity: str
    author: str
    wall_ms: int
    base_version: int
    text: str
    format: int = RECORD_FORMAT

    def read(self) -> core.Outcome[config.Deployment]:
        """Returns the deployment, or `BAD_CONFIG` when it is unreadable."""
        if self.format != RECORD_FORMAT:
            return core.Failure(
                core.ErrorKind.BAD_CONFIG,
                f"record format {self.format} is not readable here, which "
                f"reads format {RECORD_FORMAT}",
            )
        # Only pushes are checked for faults: an instance with stricter checks
        # than the push had must not hold back what is in force.
        return config.parse(self.text)


@dataclasses.dataclass(frozen=True)
class Head:
    """Which record is in force; pushes compare and swap this value."""

    version: int
    identity: str


@dataclasses.dataclass(frozen=True)
class Floor:
    """Lowest version from which a push may start.

    Readers write it when the store holds less than what is in force, which
    happens after a restore from an older snapshot.
    """

    version: int


@dataclasses.dataclass(frozen=True)
class AuditEntry:
    """Who changed what, when, from which version to which.

    Attributes:
        version: Version after the change.
        base_version: Version that the operator started from.
        replaced_version: Version that the store held, lower than
            `base_version` after a restore from an older snapshot.
        identity: Identity of the push.
        author: Who pushed.
        wall_ms: When, by the operator's clock.
        changes: First lines of the comparison.
        change_count: Number of all lines.
    """

    version: int
    base_version: int
    replaced_version: int
    identity: str
    author: str
    wall_ms: int
    changes: tuple[str, ...]
    change_count: int


@dataclasses.dataclass(frozen=True)
class PullRequest:
    """Question for a record above a version.

    Attributes:
        above: Version that the asking instance already has.
        service: Only this service's part, or everything when empty.
    """

    above: int
    service: str


def encode(value: object) -> bytes:
    """Encodes one of the classes of this module as JSON."""
    return msgspec.json.encode(value)


def decode(data: bytes | None, kind: type[T]) -> T | None:
    """Decodes one of the classes of this module, or returns None.

    Unknown fields are left out, so that a record of a newer format can still
    be passed on by its version.
    """
    if not data:
        return None
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.DecodeError:
        return None


def pack(record: ConfigRecord) -> bytes:
    """Encodes a record for a peer, compressed.

    Uncompressed, the records of 420 services would cost each instance more
    than the 3 KB/s that it may spend on control.
    """
    return zlib.compress(encode(record))


def unpack(data: bytes) -> ConfigRecord | None:
    """Decodes what `pack` encoded, or returns None."""
    try:
        body = zlib.decompressobj().decompress(data, _MAX_MESSAGE_BYTES)
    except zlib.error:
        return None
    return decode(body, ConfigRecord)
