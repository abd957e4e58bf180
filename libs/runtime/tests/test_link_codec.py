"""Encoding and decoding of messages between instances."""

import dataclasses

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import msgspec
import pytest

from fireflyford import core
from fireflyford import flows
from fireflyford.runtime import _link_codec

LOAD = flows.Load(flows.TargetState.READY, 2, 1, 3, 40, 26.5)
FIRST_ADDRESS = core.Address("10.0.0.1", 7_000)
SECOND_ADDRESS = core.Address("10.0.0.2", 7_000)
FLOW = bytes(range(flows.FLOW_ID_BYTES))
INSTANCE = flows.Instance(
    "agent-1",
    core.Role.AGENT,
    "board",
    "a",
    FIRST_ADDRESS,
    1_700_000_000_000,
    True,
)
MESSAGES = [
    flows.Forward(
        flows.Handling.PLACE,
        "board",
        FIRST_ADDRESS,
        SECOND_ADDRESS,
        2,
        True,
        False,
        b"data",
    ),
    flows.FlowLocated(FLOW, LOAD),
    flows.PlacementDeclined(FLOW, flows.DeclineReason.DRAINING, LOAD),
    flows.NotHeld(FLOW),
    flows.FlowNotFound(FLOW, 77, True),
    flows.PlacementQueued(FLOW),
    flows.PlacementRefused(FLOW, flows.DeclineReason.BUSY),
    flows.FlowAnnouncement((FLOW, FLOW[::-1])),
    flows.Heartbeat(INSTANCE, LOAD, 12, False),
    flows.LoadReport(LOAD),
]
TERMS = flows.RouteTerms(1, 370, 1_617, True, 2.5)
EVACUATION = flows.EvacuationView(2, 412, ("a", "b"))
COLD_LOAD = dataclasses.replace(LOAD, warmup_left_ms=1_500)
EXTENDED_MESSAGES = [
    dataclasses.replace(MESSAGES[0], terms=TERMS, evacuation=EVACUATION),
    dataclasses.replace(MESSAGES[0], terms=TERMS),
    dataclasses.replace(MESSAGES[0], evacuation=EVACUATION),
    flows.FlowLocated(FLOW, COLD_LOAD),
    flows.PlacementDeclined(FLOW, flows.DeclineReason.EVACUATED, COLD_LOAD),
    flows.Heartbeat(INSTANCE, COLD_LOAD, 12, False),
    flows.LoadReport(COLD_LOAD),
    flows.ProtocolAnnouncement(2),
    flows.SlotGranted(FLOW),
    flows.PlannedRestart(INSTANCE.address, 1_700_000_000_000),
    flows.PlacementWithdrawn(FLOW),
    flows.PathReport("b", 2_500),
    flows.PathReport("b", 0),
]
# `MESSAGES` as release 0.1 encodes them.
FIRST_PROTOCOL_DATA = [
    bytes.fromhex(item)
    for item in (
        "019802a5626f617264ad31302e302e302e313a37303030ad31302e302e30"
        "2e323a3730303002c3c2c40464617461",
        "0292c40c000102030405060708090a0b960102010328cb403a800000000000",
        "0393c40c000102030405060708090a0b01960102010328cb403a800000000000",
        "0491c40c000102030405060708090a0b",
        "0593c40c000102030405060708090a0b4dc3",
        "0a91c40c000102030405060708090a0b",
        "0692c40c000102030405060708090a0b00",
        "079192c40c000102030405060708090a0bc40c0b0a09080706050403020100",
        "089497a76167656e742d31a56167656e74a5626f617264a161ad31302e30"
        "2e302e313a37303030cf0000018bcfe56800c3960102010328cb403a8000"
        "000000000cc2",
        "0991960102010328cb403a800000000000",
    )
]


@pytest.mark.parametrize(
    ("message", "data"), list(zip(MESSAGES, FIRST_PROTOCOL_DATA, strict=True))
)
def test_messages_of_earlier_release_are_kept(
    message: flows.Message, data: bytes
) -> None:
    """Guards against releases that drop messages of each other."""
    assert _link_codec.pack(message, _link_codec.FIRST_PROTOCOL) == data
    assert _link_codec.pack(message, _link_codec.PROTOCOL) == data
    assert _link_codec.unpack(data) == core.Ok(message)


@pytest.mark.parametrize("message", EXTENDED_MESSAGES, ids=type)
def test_extended_messages_round_trip(message: flows.Message) -> None:
    """Guards against terms or views that are lost between two instances."""
    data = _link_codec.pack(message)
    assert _link_codec.unpack(data) == core.Ok(message)
    assert _link_codec.is_of_second_protocol(data)


def test_added_fields_are_left_out_for_earlier_release() -> None:
    """Guards against opening packets that an earlier release cannot decode."""
    data = _link_codec.pack(EXTENDED_MESSAGES[0], _link_codec.FIRST_PROTOCOL)
    assert data == FIRST_PROTOCOL_DATA[0]
    declined = flows.PlacementDeclined(
        FLOW, flows.DeclineReason.EVACUATED, COLD_LOAD
    )
    data = _link_codec.pack(declined, _link_codec.FIRST_PROTOCOL)
    assert _link_codec.unpack(data) == core.Ok(
        flows.PlacementDeclined(FLOW, flows.DeclineReason.BUSY, LOAD)
    )


@pytest.mark.parametrize("message", MESSAGES, ids=lambda item: type(item))
def test_messages_round_trip(message: flows.Message) -> None:
    """Guards against swapped or lost fields."""
    assert _link_codec.unpack(_link_codec.pack(message)) == core.Ok(message)


@given(strategies.binary(max_size=64))
def test_arbitrary_bytes_are_decoded_or_rejected(data: bytes) -> None:
    """Guards against exceptions on datagrams of other senders."""
    outcome = _link_codec.unpack(data)
    if isinstance(outcome, core.Failure):
        assert outcome.kind is core.ErrorKind.BAD_MESSAGE


@given(strategies.sampled_from(MESSAGES), strategies.data())
def test_truncated_messages_are_rejected(
    message: flows.Message, data: strategies.DataObject
) -> None:
    """Guards against a truncated message decoded as a complete one."""
    encoded = _link_codec.pack(message)
    length = data.draw(strategies.integers(0, len(encoded) - 1))
    assert isinstance(_link_codec.unpack(encoded[:length]), core.Failure)


ENTRY = list(_link_codec.pack_instance(INSTANCE))
# Values that another writer may leave in any field of an entry.
odd_values = (
    strategies.integers(-(10**30), 10**30)
    | strategies.sampled_from([2**63, -1, 0, "", "0.0.0.0:80", "10.0.0.1:0"])
    | strategies.sampled_from(["10.0.0.1:99999", "224.0.0.1:80", "a:b", None])
    | strategies.text(max_size=20)
    | strategies.floats()
    | strategies.booleans()
    | strategies.recursive(
        strategies.none(), lambda item: strategies.lists(item, max_size=2)
    )
)


@pytest.mark.parametrize(
    ("index", "value"),
    [
        (5, 10**30),
        (5, -(10**30)),
        (5, 2**63),
        (5, -1),
        (4, "10.0.0.1:0"),
        (4, "10.0.0.1:65536"),
        (4, "0.0.0.0:7000"),
        (4, "255.255.255.255:7000"),
        (4, "224.0.0.1:7000"),
    ],
)
def test_odd_entry_is_rejected(index: int, value: object) -> None:
    """Guards against entries that outrank or crash a living process."""
    entry = [*ENTRY[:index], value, *ENTRY[index + 1 :]]
    with pytest.raises(ValueError):
        _link_codec.unpack_entry(msgspec.json.encode(entry))


@pytest.mark.parametrize("start", [b"[", b'["a","agent",', b'{"a":'])
def test_deeply_nested_entry_is_rejected(start: bytes) -> None:
    """Guards against RecursionError, which ends the task that follows."""
    with pytest.raises(ValueError):
        _link_codec.unpack_entry(start * 100_000)
    with pytest.raises(ValueError):
        _link_codec.unpack_entry(
            msgspec.json.encode(ENTRY)[:-1] + b"," + b"[" * 100_000
        )


def test_odd_entries_of_a_peer_are_left_out() -> None:
    """Guards against one odd entry that hides all others."""
    entries = [ENTRY, [*ENTRY[:5], 10**30, False], "text", ENTRY[:3]]
    found, left_out_count = _link_codec.unpack_entries(
        msgspec.json.encode(entries)
    )
    assert found == [INSTANCE]
    assert left_out_count == 3


@settings(derandomize=True, deadline=None)
@given(strategies.integers(0, 6), odd_values)
def test_accepted_entry_can_be_encoded_again(index: int, value: object) -> None:
    """Guards against entries that are taken and cannot be passed on."""
    entry = [*ENTRY[:index], value, *ENTRY[index + 1 :]]
    try:
        instance = _link_codec.unpack_entry(msgspec.json.encode(entry))
    except ValueError:
        return
    heartbeat = flows.Heartbeat(instance, LOAD, 1, False)
    encoded = _link_codec.pack(heartbeat)
    assert _link_codec.unpack(encoded) == core.Ok(heartbeat)


@pytest.mark.parametrize(
    "load",
    [
        dataclasses.replace(LOAD, slot_count=0),
        dataclasses.replace(LOAD, slot_count=10**12),
        dataclasses.replace(LOAD, busy_count=-1),
        dataclasses.replace(LOAD, reserved_count=2**40),
        dataclasses.replace(LOAD, service_ms=float("nan")),
        dataclasses.replace(LOAD, service_ms=float("inf")),
        dataclasses.replace(LOAD, service_ms=-1.0),
    ],
)
def test_odd_load_is_rejected(load: flows.Load) -> None:
    """Guards against loads that attract all flows or divide by zero."""
    encoded = _link_codec.pack(flows.LoadReport(load))
    assert isinstance(_link_codec.unpack(encoded), core.Failure)


def test_flow_identifier_of_wrong_length_is_rejected() -> None:
    """Guards against exceptions where the address of a flow is read."""
    for message in (
        flows.NotHeld(FLOW[:5]),
        flows.FlowLocated(b"", LOAD),
        flows.FlowAnnouncement((FLOW, FLOW + b"x")),
    ):
        encoded = _link_codec.pack(message)
        assert isinstance(_link_codec.unpack(encoded), core.Failure)


def test_entry_with_incarnation_that_is_no_start_time_is_rejected() -> None:
    """Guards against an instance that raises its own number out of range.

    Another writer leaves an entry for its address with the largest incarnation
    (review/other/odd-entry).
    """
    entry = list(_link_codec.pack_instance(INSTANCE))
    entry[5] = _link_codec.MAX_ENTRY_INCARNATION
    _link_codec.unpack_entry(msgspec.json.encode(entry))
    for incarnation in (
        _link_codec.MAX_ENTRY_INCARNATION + 1,
        _link_codec.MAX_INCARNATION,
    ):
        entry[5] = incarnation
        with pytest.raises(ValueError, match="start time"):
            _link_codec.unpack_entry(msgspec.json.encode(entry))
