"""Encoding of stored values and of messages between instances."""

import dataclasses
from typing import TypeVar
import zlib

import msgspec

from fireflyford import config
from fireflyford import core

T = TypeVar("T")

# Format version of `ConfigRecord`; its text has a separate format version.
RECORD_FORMAT = 1
# Above the store's value limit, so that no record is truncated.
_MAX_RECORD_BYTES = 4 << 20


@dataclasses.dataclass(frozen=True)
class ConfigRecord:
    """An accepted configuration.

    Attributes:
        version: Version number, higher than in all earlier records.
        identity: Idempotency key of the push.
        author: Author of the push.
        wall_ms: Time of the push by the operator's clock.
        base_version: Version that the operator edited.
        text: Rendered deployment.
        format: Format version of this record.
    """

    version: int
    identity: str
    author: str
    wall_ms: int
    base_version: int
    text: str
    format: int = RECORD_FORMAT

    def parse(self) -> core.Outcome[config.Deployment]:
        """Parses the deployment, or fails with `BAD_CONFIG`."""
        if self.format != RECORD_FORMAT:
            return core.Failure(
                core.ErrorKind.BAD_CONFIG,
                f"record format {self.format} is not supported, expected "
                f"format {RECORD_FORMAT}",
            )
        # Validation happens only at push time: an instance with stricter
        # checks than the pushing client must not reject an accepted record.
        return config.parse(self.text)


@dataclasses.dataclass(frozen=True)
class Head:
    """Reference to the latest record, updated by compare-and-swap."""

    version: int
    identity: str


@dataclasses.dataclass(frozen=True)
class Floor:
    """Lowest base version that a push may have.

    Readers write it if the store's version is behind the version in force,
    which happens after a restore from an older snapshot.
    """

    version: int


@dataclasses.dataclass(frozen=True)
class AuditEntry:
    """Audit trail entry of one push.

    Attributes:
        version: Version after the change.
        base_version: Version that the operator edited.
        replaced_version: Previous version in the store, lower than
            `base_version` after a restore from an older snapshot.
        identity: Idempotency key of the push.
        author: Author of the push.
        wall_ms: Time of the push by the operator's clock.
        changes: First lines of the diff.
        change_count: Total number of lines of the diff.
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
    """Request for a record newer than a version.

    Attributes:
        above: Version that the requesting instance has.
        service: Service to restrict the record to, or empty for all services.
    """

    above: int
    service: str


def encode(value: object) -> bytes:
    """Encodes an instance of a class of this module as JSON."""
    return msgspec.json.encode(value)


def decode(data: bytes | None, kind: type[T]) -> T | None:
    """Decodes an instance of a class of this module; None if invalid.

    Unknown fields are ignored, so that a record of a newer format can still be
    forwarded by its version.
    """
    if not data:
        return None
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.DecodeError:
        return None


def compress_record(record: ConfigRecord) -> bytes:
    """Encodes and compresses a record for a peer.

    Uncompressed records of 420 services would exceed the budget of 3 KB/s of
    control traffic for each instance.
    """
    return zlib.compress(encode(record))


def decompress_record(data: bytes) -> ConfigRecord | None:
    """Decodes the output of `compress_record`; None if invalid."""
    try:
        body = zlib.decompressobj().decompress(data, _MAX_RECORD_BYTES)
    except zlib.error:
        return None
    return decode(body, ConfigRecord)
