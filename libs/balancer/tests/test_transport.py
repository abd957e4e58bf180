"""Tests of a transport change by a pushed configuration."""

from fireflyford import config
from fireflyford import core
from fireflyford import routing
from fireflyford import settings
from fireflyford import wire
from fireflyford.balancer import _forwarder
from fireflyford.balancer import _forwarding

CALLER = ("127.0.0.1", 9)
OPTIONS = settings.BalancerSettings(
    instance_id="balancer-1",
    region="visayas",
    availability_zone="cebu",
    link_address="127.0.0.1:1",
    control_address="127.0.0.1:2",
    bulk_address="127.0.0.1:3",
    status_address="127.0.0.1:4",
    routing_keys_hex=("00" * 16,),
    link_key_hex="00" * 16,
    listeners={"gauge": "127.0.0.1:5"},
)
DATAGRAM = config.Deployment(
    "bantay",
    (),
    (
        config.Service(
            "gauge", "127.0.0.1:5", 1, transport=config.Transport.DATAGRAM
        ),
    ),
)


def test_pushed_transport_change_is_applied_to_listener() -> None:
    """Guards against plain datagrams dropped as malformed QUIC packets."""
    forwarding = _forwarding.Forwarding(OPTIONS, core.ManualClock())
    counters = forwarding.counters
    listener = _forwarder.ServiceListener(
        "gauge",
        routing.Router(core.ManualClock()),
        _forwarder.QuicHintReader(
            wire.ConnectionIdCodec(OPTIONS.routing_keys, "gauge")
        ),
        _forwarder.Link(wire.ForwardCodec(OPTIONS.link_key), counters),
        counters,
    )
    forwarding._listeners["gauge"] = listener
    listener.receive(b"x", CALLER)
    assert counters.malformed_count == 1
    forwarding.apply_deployment(DATAGRAM)
    listener.receive(b"x", CALLER)
    assert counters.malformed_count == 1
    assert counters.no_target_count == 1
