"""Mutated bytes at each boundary at which data of other programs comes in.

`FIREFLYFORD_FUZZ_COUNT` and `FIREFLYFORD_FUZZ_SEED` set the number of inputs
for each boundary and the seed of their mutations.
"""

from collections.abc import Callable
import json
import os
import random

import msgspec
import pytest

from fireflyford import core
from fireflyford import flows
from fireflyford.platform import _api
from fireflyford.platform import _config
from fireflyford.platform import _packet
from fireflyford.platform import _settings
from fireflyford.platform import _store
from fireflyford.runtime import _link_codec

COUNT = int(os.environ.get("FIREFLYFORD_FUZZ_COUNT", "300"))
SEED = int(os.environ.get("FIREFLYFORD_FUZZ_SEED", "1"))
ODD_TOKENS = [
    b"[" * 5_000,
    b'{"a":' * 5_000,
    b"9" * 40,
    b"-1",
    b"0",
    b"1e400",
    b"null",
    b"true",
    b'""',
    b"18446744073709551616",
    b"\xff",
    b"\x00",
    b"\xdd\xff\xff\xff\xff",
]
INSTANCE = flows.Instance(
    "agent-1",
    core.Role.AGENT,
    "board",
    "a",
    core.Address("10.0.0.1", 7_000),
    1_700_000_000_000,
)
FLOW = bytes(range(flows.FLOW_ID_BYTES))
ENTRY = msgspec.json.encode(_link_codec.pack_instance(INSTANCE))
REPORT = (
    b'{"service":"board","state":"ready","slots":2,"seq":4,'
    b'"born":1700000000000,"address":"10.1.0.13:8080"}'
)
CONFIG = (
    b'{"version":7,"routes":[{"name":"r","host":"198.18.0.1",'
    b'"prefix":"/443/","type":"safe","backends":[{"service":"board",'
    b'"weight":90}]}],"limits":{"idle_timeout_ms":12000}}'
)
ITEM = b'{"key":"a","value":"Yg==","revision":3,"lease":0}'
SETTINGS = json.dumps(
    {
        "node_id": "side-a-1",
        "ip": "10.1.0.13",
        "zone": "a",
        "listen": {
            "datagram_addr": "10.1.0.13:8172",
            "readiness_addr": "10.1.0.13:8167",
        },
        "internal_ports": [7_720, 7_735],
        "heartbeat_ms": 1_200,
        "bounds": {"grace_s": 6.0},
        "platform": {"address": "10.200.1.7:8169"},
    }
).encode()
HEARTBEAT = _link_codec.pack(flows.Heartbeat(INSTANCE, flows.Load(), 12, False))


def check_entry(data: bytes) -> None:
    try:
        instance = _link_codec.unpack_entry(data)
    except ValueError:
        return
    _link_codec.pack(flows.Heartbeat(instance, flows.Load(), 1, False))


def check_entries(data: bytes) -> None:
    try:
        _link_codec.unpack_entries(data)
    except ValueError:
        return


def check_message(data: bytes) -> None:
    outcome = _link_codec.unpack(data)
    if isinstance(outcome, core.Ok):
        _link_codec.pack(outcome.value)


def check_packet(data: bytes) -> None:
    codec = _packet.PlatformPacketCodec()
    codec.decode_client_packet(data)
    codec.decode_target_packet(data)


def check_item(data: bytes) -> None:
    good = msgspec.Raw(ITEM)
    items = _store._decode_items([msgspec.Raw(data), good])
    assert items[-1].value == b"b"


BOUNDARIES: dict[str, tuple[bytes, Callable[[bytes], object]]] = {
    "registry entry": (ENTRY, check_entry),
    "entries of a seed": (
        b"[" + ENTRY + b"," + ENTRY + b"]",
        check_entries,
    ),
    "store item": (ITEM, check_item),
    "report": (REPORT, lambda data: _api.parse_report("i-1", data)),
    "configuration": (CONFIG, _config.OperatorConfigFormat().parse),
    "settings": (SETTINGS, _settings.parse_settings),
    "heartbeat": (HEARTBEAT, check_message),
    "location": (
        _link_codec.pack(flows.FlowLocated(FLOW, flows.Load())),
        check_message,
    ),
    "packet": (bytes(36), check_packet),
}


def mutate(data: bytes, rng: random.Random) -> bytes:
    """Returns the data with one to four random changes."""
    for _ in range(rng.randint(1, 4)):
        start = rng.randint(0, len(data))
        end = min(len(data), start + rng.randint(0, 12))
        piece = rng.choice(
            [
                b"",
                rng.randbytes(rng.randint(1, 4)),
                rng.choice(ODD_TOKENS),
                data[start:end] * 2,
            ]
        )
        data = data[:start] + piece + data[end:]
    return data


@pytest.mark.parametrize("boundary", BOUNDARIES)
def test_mutated_input_is_decoded_or_rejected(boundary: str) -> None:
    """Guards against exceptions that end a task or a process."""
    valid, check = BOUNDARIES[boundary]
    check(valid)
    rng = random.Random(f"{SEED} {boundary}")
    for _ in range(COUNT):
        check(mutate(valid, rng))
