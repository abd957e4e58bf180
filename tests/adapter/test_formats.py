"""Formats of packets, settings, configuration and reports."""

import json

from hypothesis import given
from hypothesis import strategies
import pytest

from fireflyford import core
from fireflyford import flows
from fireflyford.platform import _api
from fireflyford.platform import _config
from fireflyford.platform import _packet
from fireflyford.platform import _settings

CLIENT = core.Address("100.64.0.9", 40_002)
ROUTE = core.Address("198.18.0.3", 8_443)
FLOW = _packet.flow_id(CLIENT, ROUTE)
SYN, ACK, FIN, RST, RETURNED = 128, 1, 2, 16, 8


def encode(
    flags: int,
    data: bytes = b"",
    seq: int = 0,
    ack: int = 0,
    to_client: bool = False,
    echo: int = 0,
) -> bytes:
    endpoints = (CLIENT, ROUTE)
    source, destination = reversed(endpoints) if to_client else endpoints
    hosts = {
        endpoint: int.from_bytes(
            bytes(map(int, endpoint.host.split("."))), "big"
        )
        for endpoint in endpoints
    }
    return (
        len(data).to_bytes(2, "little")
        + echo.to_bytes(4, "little")
        + destination.port.to_bytes(2, "little")
        + hosts[source].to_bytes(4, "little")
        + hosts[destination].to_bytes(4, "little")
        + source.port.to_bytes(2, "little")
        + bytes((flags,))
        + bytes(5)
        + (0x12345678).to_bytes(4, "little")
        + seq.to_bytes(4, "little")
        + ack.to_bytes(4, "little")
        + data
    )


def decode(data: bytes, from_target: bool = False) -> flows.Packet:
    codec = _packet.PlatformPacketCodec()
    outcome = (
        codec.decode_target_packet(data)
        if from_target
        else codec.decode_client_packet(data)
    )
    assert isinstance(outcome, core.Ok)
    return outcome.value


def test_client_packet_is_decoded() -> None:
    """Guards against swapped fields and a wrong byte order."""
    packet = decode(encode(ACK | FIN, b"abc", seq=7, ack=9))
    assert packet.flow == FLOW
    assert (packet.payload_bytes, packet.seq, packet.ack) == (3, 7, 9)
    assert packet.acknowledges
    assert packet.ends
    assert not packet.opens
    assert not packet.resets
    assert flows.client_address(FLOW) == CLIENT
    assert flows.route_address(FLOW) == ROUTE


def test_both_directions_and_returned_packets_have_same_flow() -> None:
    """Guards against packets from a backend server under another flow."""
    assert decode(encode(SYN)).flow == FLOW
    response = decode(encode(SYN | ACK, to_client=True), from_target=True)
    assert response.flow == FLOW
    packet = decode(encode(SYN | RETURNED, echo=77), from_target=True)
    assert packet.flow == FLOW
    assert packet.returned
    assert packet.delivery_tag == 77


def test_delivery_changes_only_tag_and_returned_flag() -> None:
    """Guards against other changes to the packet of a client."""
    data = encode(ACK | RETURNED, b"payload", seq=5, ack=6)
    codec = _packet.PlatformPacketCodec()
    delivered = codec.encode_delivery(decode(data, from_target=True), 0xABCD)
    assert delivered == encode(ACK, b"payload", seq=5, ack=6, echo=0xABCD)


def test_reset_is_encoded_as_packet_from_route() -> None:
    """Guards against resets that the client ignores."""
    data = _packet.PlatformPacketCodec().encode_reset(FLOW, 0x01020304)
    expected = bytearray(encode(RST, seq=0x01020304, to_client=True))
    expected[24:28] = bytes(4)
    assert data == bytes(expected)


@given(strategies.binary(max_size=80))
def test_arbitrary_bytes_are_decoded_or_rejected(data: bytes) -> None:
    """Guards against exceptions on datagrams of other senders."""
    codec = _packet.PlatformPacketCodec()
    for outcome in (
        codec.decode_client_packet(data),
        codec.decode_target_packet(data),
    ):
        if isinstance(outcome, core.Failure):
            assert outcome.kind is core.ErrorKind.BAD_MESSAGE
        else:
            assert outcome.value.payload_bytes == len(data) - 36


BOOT = {
    "node_id": "side-a-1",
    "ip": "10.1.0.13",
    "zone": "a",
    "service": "board",
    "app": "10.1.0.13:8080",
    "listen": {
        "datagram_addr": "10.1.0.13:8172",
        "outbound": "10.1.0.13:8162",
        "readiness_addr": "10.1.0.13:8167",
        "control": "10.1.0.13:8166",
    },
    "internal_ports": [7720, 7735],
    "seeds": ["10.1.0.10:8166"],
    "heartbeat_ms": 1200,
    "bounds": {"grace_s": 6},
    "platform": {"address": "10.200.1.7:8169"},
    "a_new_field": {"of": ["any", "kind"]},
}


def test_agent_settings_are_translated() -> None:
    """Guards against settings assigned to the wrong attribute."""
    outcome = _settings.parse_settings(json.dumps(BOOT).encode())
    assert isinstance(outcome, core.Ok)
    options = outcome.value
    assert options.link_address == core.Address("10.1.0.13", 7720)
    assert options.seed_addresses == (core.Address("10.1.0.10", 7721),)
    assert options.client_port == 8172
    assert options.backend_address == core.Address("10.1.0.13", 8080)
    assert options.grace_ms == 6_000


def test_limit_of_second_offers_is_off_unless_set() -> None:
    """Guards against second offers that no operator has allowed."""
    for change, expected in (({}, 0.0), ({"second_offer_ratio": 0.05}, 0.05)):
        outcome = _settings.parse_settings(json.dumps(BOOT | change).encode())
        assert isinstance(outcome, core.Ok)
        assert outcome.value.second_offer_ratio == expected


@pytest.mark.parametrize(
    "change",
    [
        {"ip": 7},
        {"listen": {}},
        {"platform": {"address": "nowhere"}},
        {"bounds": {}},
        {"second_offer_ratio": 0.3},
        {"second_offer_ratio": -0.01},
    ],
)
def test_invalid_settings_are_rejected(change: dict[str, object]) -> None:
    """Guards against a start with incomplete settings."""
    outcome = _settings.parse_settings(json.dumps(BOOT | change).encode())
    assert isinstance(outcome, core.Failure)
    assert outcome.kind is core.ErrorKind.BAD_SETTINGS


CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": ROUTE.host,
            "prefix": "/8443/",
            "type": "safe",
            "backends": [
                {"service": "board", "weight": 90},
                {"service": "sheets", "weight": 10},
                {"service": "old", "weight": 0},
            ],
        },
        {
            "name": "r-2",
            "host": "198.18.0.4",
            "prefix": "/80/",
            "type": "non_idempotent",
            "service": "board",
        },
    ],
    "services": [],
}


def test_configuration_is_translated_to_routes() -> None:
    """Guards against routes without a service and lost weights."""
    outcome = _config.OperatorConfigFormat().parse(json.dumps(CONFIG).encode())
    assert isinstance(outcome, core.Ok)
    table = outcome.value
    assert table.version == 7
    split = table.routes[ROUTE]
    assert split.long_lived
    assert split.shares == (
        flows.Share("board", 90),
        flows.Share("sheets", 10),
    )
    plain = table.routes[core.Address("198.18.0.4", 80)]
    assert not plain.long_lived
    assert plain.service(FLOW) == "board"


def test_numbers_of_terms_are_kept_within_what_messages_carry() -> None:
    """Guards against odd numbers that make receivers drop opening packets.

    The lowest rate of a route's services is the bound of each of them.
    """
    route = CONFIG["routes"][0] | {  # type: ignore[index,operator]
        "priority": -1,
        "timeout_ms": 1e300,
        "aim_ms": -5,
    }
    services = [
        {"name": "board", "warmup_per_s": 9},
        {"name": "sheets", "warmup_per_s": 4},
    ]
    document = CONFIG | {"routes": [route], "services": services}
    text = json.dumps(document).encode()
    outcome = _config.OperatorConfigFormat().parse(text)
    assert isinstance(outcome, core.Ok)
    (parsed,) = outcome.value.routes.values()
    assert parsed.terms == flows.RouteTerms(
        0, 0, _config.MAX_TIME_MS, True, 4.0
    )


@pytest.mark.parametrize(
    "document",
    [
        b"",
        b"[]",
        b'{"version":"7"}',
        b'{"version":1,"routes":[{"name":"x"}]}',
        b'{"version":1000000000000000000000000000000}',
        b'{"version":-1}',
        b'{"version":1,"more":' + b"[" * 100_000,
        b'{"version":1,"routes":[{"name":"x","host":"198.18.0.1",'
        b'"prefix":"/70000/","service":"board"}]}',
    ],
    ids=lambda item: item[:40],
)
def test_malformed_configuration_is_rejected(document: bytes) -> None:
    """Guards against a partly applied configuration."""
    outcome = _config.OperatorConfigFormat().parse(document)
    assert isinstance(outcome, core.Failure)
    assert outcome.kind is core.ErrorKind.BAD_CONFIG


REPORT = {
    "service": "board",
    "state": "ready",
    "slots": 2,
    "seq": 4,
    "born": 1_700_000_000_000,
    "address": "10.1.0.13:8080",
}


def test_report_is_translated() -> None:
    """Guards against fields of a report assigned to the wrong attribute."""
    report = _api.parse_report("i-1", json.dumps(REPORT).encode())
    assert report == flows.TargetReport(
        "i-1", "board", flows.TargetState.READY, 2, 1_700_000_000_000, 4
    )


@pytest.mark.parametrize(
    ("value", "left_ms"),
    [
        (1_850, 1_850),
        (0.5, 1),
        (0, 0),
        (-1, 0),
        (10**30, 0),
        ("2 s", 0),
        (None, 0),
        (True, 0),
        ([], 0),
    ],
)
def test_odd_warm_up_time_leaves_the_report_in_force(
    value: object, left_ms: int
) -> None:
    """Guards against a backend server that is lost for one odd field."""
    body = json.dumps(REPORT | {"warmup_left_ms": value}).encode()
    report = _api.parse_report("i-1", body)
    assert report is not None
    assert report.warmup_left_ms == left_ms


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"slots": 0},
        {"slots": "2"},
        {"born": None},
        {"seq": 1.5},
        {"seq": 10**30},
        {"seq": -1},
        {"born": 10**30},
        {"slots": 10**12},
    ],
)
def test_malformed_report_is_rejected(
    change: dict[str, object],
) -> None:
    """Guards against reports with invalid fields that are used anyway."""
    body = json.dumps(REPORT | change).encode()
    assert _api.parse_report("i-1", body) is None


def test_deeply_nested_report_is_rejected() -> None:
    """Guards against RecursionError in the handler of reports."""
    body = json.dumps(REPORT).encode()[:-1] + b',"more":' + b"[" * 100_000
    assert _api.parse_report("i-1", body) is None


def test_deeply_nested_settings_are_rejected() -> None:
    """Guards against a traceback in place of an exit status."""
    document = json.dumps(BOOT).encode()[:-1] + b',"more":' + b"[" * 100_000
    outcome = _settings.parse_settings(document)
    assert isinstance(outcome, core.Failure)
    assert outcome.kind is core.ErrorKind.BAD_SETTINGS
