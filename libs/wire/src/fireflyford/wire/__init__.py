"""Encodings of forwarding headers, connection IDs and QUIC hints."""

from fireflyford.wire._connection_id import CONNECTION_ID_BYTES
from fireflyford.wire._connection_id import ConnectionId
from fireflyford.wire._connection_id import ConnectionIdCodec
from fireflyford.wire._forward import FORWARD_HEADER_BYTES
from fireflyford.wire._forward import MAX_HOLDERS
from fireflyford.wire._forward import MAX_HOPS
from fireflyford.wire._forward import STAMP_MASK
from fireflyford.wire._forward import ForwardCodec
from fireflyford.wire._forward import ForwardHeader
from fireflyford.wire._forward import ForwardType
from fireflyford.wire._quic import MIN_INITIAL_BYTES
from fireflyford.wire._quic import PacketForm
from fireflyford.wire._quic import PacketHint
from fireflyford.wire._quic import peek

__all__ = [
    "CONNECTION_ID_BYTES",
    "FORWARD_HEADER_BYTES",
    "MAX_HOLDERS",
    "MAX_HOPS",
    "MIN_INITIAL_BYTES",
    "STAMP_MASK",
    "ConnectionId",
    "ConnectionIdCodec",
    "ForwardCodec",
    "ForwardHeader",
    "ForwardType",
    "PacketForm",
    "PacketHint",
    "peek",
]
