"""Encoding of messages between agents of one service."""

import dataclasses
import hashlib
from typing import Any

import msgspec

from fireflyford import core
from fireflyford import requests

_TAG_BYTES = 8
MAX_MESSAGE_BYTES = 80 << 20

# Reports are sent without field names, which would be most of their size.
ReportRow = tuple[Any, ...]
_REPORT_FIELDS = tuple(
    field.name for field in dataclasses.fields(requests.TargetReport)
)


def pack_report(report: requests.TargetReport) -> ReportRow:
    """Returns the values of a report in field order."""
    return tuple(getattr(report, name) for name in _REPORT_FIELDS)


def unpack_report(row: ReportRow | None) -> requests.TargetReport | None:
    """Returns the report of a row, or None if the row is malformed."""
    if row is None or len(row) != len(_REPORT_FIELDS):
        return None
    fields_by_name = dict(zip(_REPORT_FIELDS, row, strict=True))
    try:
        return msgspec.convert(fields_by_name, requests.TargetReport)
    except msgspec.ValidationError:
        return None


@dataclasses.dataclass(frozen=True)
class Execute:
    """Request to run handed-over work."""

    handoff: requests.Handoff


@dataclasses.dataclass(frozen=True)
class Present:
    """A ticket presented to its issuer, with the time to the deadline."""

    ticket: requests.Ticket
    work: requests.WorkItem
    remaining_ms: int


@dataclasses.dataclass(frozen=True)
class Exchange:
    """Report of the sender; the reply holds the report of the receiver."""

    row: ReportRow


@dataclasses.dataclass(frozen=True)
class Cancel:
    """Cancellation of handed-over work."""

    origin: int
    serial: int


@dataclasses.dataclass(frozen=True)
class Call:
    """A call to a peer; exactly one field is set."""

    execute: Execute | None = None
    present: Present | None = None
    exchange: Exchange | None = None
    cancel: Cancel | None = None


@dataclasses.dataclass(frozen=True)
class Reply:
    """Reply to a call: a response or a failure, and the peer's report."""

    response: requests.Response | None = None
    failure: core.Failure | None = None
    row: ReportRow | None = None

    @property
    def report(self) -> requests.TargetReport | None:
        """Report contained in the reply, if any."""
        return unpack_report(self.row)

    def outcome(self) -> core.Outcome[requests.Response]:
        """Returns the outcome of handed-over or presented work."""
        if self.response is not None:
            return core.Ok(self.response)
        return self.failure or core.Failure(
            core.ErrorKind.OUTCOME_UNKNOWN,
            "peer reply holds neither a response nor a failure",
        )


class PeerCodec:
    """Codec for calls and replies, authenticated by a keyed tag."""

    def __init__(self, key: bytes) -> None:
        """Initializes the codec with the link key."""
        self._key = key
        self._call_decoder = msgspec.msgpack.Decoder(Call)
        self._reply_decoder = msgspec.msgpack.Decoder(Reply)

    def encode(self, message: Call | Reply) -> bytes:
        """Returns an encoded message with its tag."""
        body = msgspec.msgpack.encode(message)
        return self._compute_tag(body) + body

    def decode_call(self, data: bytes) -> Call | None:
        """Returns a call, or None if the tag or the encoding is invalid."""
        body = self._verify(data)
        try:
            return None if body is None else self._call_decoder.decode(body)
        except msgspec.DecodeError:
            return None

    def decode_reply(self, data: bytes) -> Reply | None:
        """Returns a reply, or None if the tag or the encoding is invalid."""
        body = self._verify(data)
        try:
            return None if body is None else self._reply_decoder.decode(body)
        except msgspec.DecodeError:
            return None

    def _verify(self, data: bytes) -> bytes | None:
        tag, body = data[:_TAG_BYTES], data[_TAG_BYTES:]
        return body if tag == self._compute_tag(body) else None

    def _compute_tag(self, body: bytes) -> bytes:
        return hashlib.blake2s(
            body, key=self._key, digest_size=_TAG_BYTES, person=b"peer"
        ).digest()
