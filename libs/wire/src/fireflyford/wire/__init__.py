"""Codecs for forwarding headers, connection IDs and QUIC headers."""

from fireflyford.wire._connection_id import CONNECTION_ID_BYTES
from fireflyford.wire._connection_id import ConnectionId
from fireflyford.wire._connection_id import ConnectionIdCodec
from fireflyford.wire._forward import FORWARD_HEADER_BYTES
from fireflyford.wire._forward import MAX_HOLDERS
from fireflyford.wire._forward import MAX_HOPS
from fireflyford.wire._forward import TIMESTAMP_MASK
from fireflyford.wire._forward import ForwardCodec
from fireflyford.wire._forward import ForwardHeader
from fireflyford.wire._forward import ForwardType
from fireflyford.wire._invariant_header import MIN_INITIAL_BYTES
from fireflyford.wire._invariant_header import HeaderForm
from fireflyford.wire._invariant_header import InvariantHeader
from fireflyford.wire._invariant_header import parse_invariant_header

__all__ = [
    "CONNECTION_ID_BYTES",
    "FORWARD_HEADER_BYTES",
    "MAX_HOLDERS",
    "MAX_HOPS",
    "MIN_INITIAL_BYTES",
    "TIMESTAMP_MASK",
    "ConnectionId",
    "ConnectionIdCodec",
    "ForwardCodec",
    "ForwardHeader",
    "ForwardType",
    "HeaderForm",
    "InvariantHeader",
    "parse_invariant_header",
]
