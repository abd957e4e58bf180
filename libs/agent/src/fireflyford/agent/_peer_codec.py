"""Messages between agents of one service."""

import dataclasses
import hashlib
from typing import Any

import msgspec

from fireflyford import core
from fireflyford import requests

_TAG_BYTES = 8
MAX_MESSAGE_BYTES = 80 << 20


# A report without field names, which would be most of its bytes.
ReportRow = tuple[Any, ...]
_REPORT_FIELDS = tuple(
    field.name for field in dataclasses.fields(requests.TargetReport)
)


def pack_report(report: requests.TargetReport) -> ReportRow:
    """Returns the values of a report in the order of its fields."""
    return tuple(getattr(report, name) for name in _REPORT_FIELDS)


def unpack_report(row: ReportRow | None) -> requests.TargetReport | None:
    """Returns the report of a row, or None if its values do not fit."""
    if row is None or len(row) != len(_REPORT_FIELDS):
        return None
    values = dict(zip(_REPORT_FIELDS, row, strict=True))
    try:
        return msgspec.convert(values, requests.TargetReport)
    except msgspec.ValidationError:
        return None


@dataclasses.dataclass(frozen=True)
class Execute:
    """Work handed over."""

    handoff: requests.Handoff


@dataclasses.dataclass(frozen=True)
class Present:
    """A ticket for its issuer, and the time left for the answer."""

    ticket: requests.Ticket
    work: requests.WorkItem
    remaining_ms: int


@dataclasses.dataclass(frozen=True)
class Exchange:
    """The sender's report; the answer is the receiver's."""

    row: ReportRow


@dataclasses.dataclass(frozen=True)
class Cancel:
    """Handed-over work that is no longer wanted."""

    origin: int
    serial: int


@dataclasses.dataclass(frozen=True)
class Call:
    """One message; exactly one field is set."""

    execute: Execute | None = None
    present: Present | None = None
    exchange: Exchange | None = None
    cancel: Cancel | None = None


@dataclasses.dataclass(frozen=True)
class Reply:
    """Answer to a call: a response or a failure, and the peer's report."""

    response: requests.Response | None = None
    failure: core.Failure | None = None
    row: ReportRow | None = None

    @property
    def report(self) -> requests.TargetReport | None:
        """The report that came with the answer, if any."""
        return unpack_report(self.row)

    def outcome(self) -> core.Outcome[requests.Response]:
        """Returns the outcome of handed-over or presented work."""
        if self.response is not None:
            return core.Ok(self.response)
        return self.failure or core.Failure(
            core.ErrorKind.OUTCOME_UNKNOWN, "the peer sent an empty answer"
        )


class PeerCodec:
    """Encodes calls and replies with a keyed tag."""

    def __init__(self, key: bytes) -> None:
        """Takes the link key."""
        self._key = key
        self._calls = msgspec.msgpack.Decoder(Call)
        self._replies = msgspec.msgpack.Decoder(Reply)

    def encode(self, message: Call | Reply) -> bytes:
        """Returns the bytes of a message."""
        body = msgspec.msgpack.encode(message)
        return self._tag(body) + body

    def decode_call(self, data: bytes) -> Call | None:
        """Returns a call, or None for foreign or broken bytes."""
        body = self._open(data)
        try:
            return None if body is None else self._calls.decode(body)
        except msgspec.DecodeError:
            return None

    def decode_reply(self, data: bytes) -> Reply | None:
        """Returns a reply, or None for foreign or broken bytes."""
        body = self._open(data)
        try:
            return None if body is None else self._replies.decode(body)
        except msgspec.DecodeError:
            return None

    def _open(self, data: bytes) -> bytes | None:
        tag, body = data[:_TAG_BYTES], data[_TAG_BYTES:]
        return body if tag == self._tag(body) else None

    def _tag(self, body: bytes) -> bytes:
        return hashlib.blake2s(
            body, key=self._key, digest_size=_TAG_BYTES, person=b"peer"
        ).digest()
