"""Transport of a service that a configuration changes while it runs."""

import dataclasses

from fireflyford import balancer
from fireflyford import config
from fireflyford import core
from fireflyford import routing
from fireflyford import wire
from fireflyford.balancer import _forwarding


def test_a_pushed_transport_is_followed() -> None:
    """Guards against plain datagrams dropped as malformed QUIC packets."""
    service = config.Service("gauge", "127.0.0.1:1", 1)
    deployment = config.Deployment("d", (), (service,))
    counters = balancer.Counters()
    link = balancer.Link(wire.ForwardCodec(b"l" * 16), counters)
    router = routing.Router(core.ManualClock())
    codec = wire.ConnectionIdCodec([b"r" * 16], "gauge")
    listener = balancer.ServiceListener(
        "gauge", router, balancer.QuicHintReader(codec), link, counters
    )
    forwarding = object.__new__(_forwarding.Forwarding)
    forwarding._transports = {}
    forwarding._listeners = {"gauge": listener}
    forwarding._make_reader = (  # type: ignore[method-assign]
        lambda name: balancer.DatagramHintReader(name)
    )
    listener.receive(b"x", ("127.0.0.1", 9))
    assert counters.malformed_count == 1
    datagram = dataclasses.replace(
        deployment,
        services=(
            dataclasses.replace(service, transport=config.Transport.DATAGRAM),
        ),
    )
    forwarding._apply_transports(datagram)
    listener.receive(b"x", ("127.0.0.1", 9))
    assert counters.malformed_count == 1
    assert counters.no_target_count == 1
