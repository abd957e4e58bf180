"""Tests of the codecs with arbitrary, truncated and modified input."""

import hypothesis
from hypothesis import strategies
import pytest

from fireflyford import core
from fireflyford import wire

KEY = b"k" * 16
CODEC = wire.ForwardCodec(KEY)
CONNECTION_IDS = wire.ConnectionIdCodec([b"r" * 16], "tahian")

addresses = strategies.builds(
    core.Address,
    strategies.ip_addresses(v=4).map(str),
    strategies.integers(0, 65_535),
)
callers = strategies.builds(
    core.Address,
    strategies.ip_addresses(v=4).map(str)
    | strategies.ip_addresses(v=6)
    .filter(lambda address: address.ipv4_mapped is None)
    .map(str),
    strategies.integers(0, 65_535),
)
holders = strategies.builds(
    core.Holder, addresses, strategies.integers(0, 2**32 - 1)
)
headers = strategies.builds(
    wire.ForwardHeader,
    kind=strategies.sampled_from(wire.ForwardType),
    service=strategies.integers(0, 2**64 - 1),
    incarnation=strategies.integers(0, 2**32 - 1),
    flow_key=strategies.integers(0, 2**64 - 1),
    caller=callers,
    hops=strategies.integers(0, 255),
    holders=strategies.lists(holders, max_size=wire.MAX_HOLDERS).map(tuple),
    timestamp_ms=strategies.integers(0, wire.TIMESTAMP_MASK),
    balancer=strategies.none() | addresses,
)
settings = hypothesis.settings(
    max_examples=100, deadline=None, derandomize=True
)


@settings
@hypothesis.given(headers, strategies.binary(max_size=200))
def test_headers_round_trip(header: wire.ForwardHeader, payload: bytes) -> None:
    """Guards against a field that is lost or swapped in encoding."""
    assert CODEC.unpack(CODEC.pack(header, payload)) == (header, payload)


@settings
@hypothesis.given(strategies.binary(max_size=300))
def test_arbitrary_bytes_are_rejected(data: bytes) -> None:
    """Guards against exceptions and acceptance of foreign datagrams."""
    assert CODEC.unpack(data) is None
    assert CODEC.unpack_to_caller(data) is None
    assert CONNECTION_IDS.decode(data) is None
    wire.parse_invariant_header(data)


@settings
@hypothesis.given(headers, strategies.binary(max_size=40), strategies.data())
def test_truncated_and_modified_headers_are_rejected(
    header: wire.ForwardHeader, payload: bytes, data: strategies.DataObject
) -> None:
    """Guards against a header field or holder that is not authenticated."""
    packed = CODEC.pack(header, payload)
    authenticated_size = len(packed) - len(payload)
    if header.kind in (wire.ForwardType.ADOPT, wire.ForwardType.RELEASE):
        authenticated_size = len(packed)
    index = data.draw(strategies.integers(0, authenticated_size - 1))
    assert CODEC.unpack(packed[:index]) is None
    modified = bytearray(packed)
    modified[index] ^= data.draw(strategies.integers(1, 255))
    assert CODEC.unpack(bytes(modified)) is None
    assert wire.ForwardCodec(b"o" * 16).unpack(packed) is None


@settings
@hypothesis.given(headers, strategies.binary(max_size=40))
def test_specialized_codecs_match_general_codecs(
    header: wire.ForwardHeader, payload: bytes
) -> None:
    """Guards against differences between the two implementations."""
    specialized = CODEC.pack_to_agent(
        header.service,
        header.incarnation,
        header.flow_key,
        header.caller.pair,
        header.holders,
        payload,
    )
    general = wire.ForwardHeader(
        kind=wire.ForwardType.TO_AGENT,
        service=header.service,
        incarnation=header.incarnation,
        flow_key=header.flow_key,
        caller=header.caller,
        holders=header.holders,
    )
    assert specialized == CODEC.pack(general, payload)
    unpacked = CODEC.unpack_to_caller(CODEC.pack(header, payload))
    is_to_caller = header.kind is wire.ForwardType.TO_CALLER
    if is_to_caller and not header.holders and header.balancer is None:
        assert unpacked == (header.service, header.caller.pair, payload)
    else:
        assert unpacked is None


@settings
@hypothesis.given(
    addresses, strategies.integers(0, 2**32 - 1), strategies.data()
)
def test_connection_ids_round_trip_only_within_service(
    agent: core.Address, incarnation: int, data: strategies.DataObject
) -> None:
    """Guards against connection IDs that another service accepts."""
    connection_id = wire.ConnectionId(agent, incarnation, b"abcd")
    encoded = CONNECTION_IDS.encode(connection_id)
    assert CONNECTION_IDS.decode(encoded) == connection_id
    other = wire.ConnectionIdCodec([b"r" * 16], "padron")
    assert other.decode(encoded) is None
    modified = bytearray(encoded)
    index = data.draw(strategies.integers(0, len(encoded) - 1))
    modified[index] ^= data.draw(strategies.integers(1, 255))
    assert CONNECTION_IDS.decode(bytes(modified)) is None


def test_too_many_holders_are_rejected() -> None:
    """Guards against encoding a header that the decoder would reject."""
    holder = core.Holder(core.Address("10.0.0.1", 1), 1)
    header = wire.ForwardHeader(
        wire.ForwardType.TO_AGENT, 1, 1, 1, holder.address, 0, (holder,) * 4
    )
    with pytest.raises(ValueError, match="holders"):
        CODEC.pack(header, b"")
