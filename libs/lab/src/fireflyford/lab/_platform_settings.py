"""Settings of a balancer on the platform, for tests of its parts."""

from fireflyford import core
from fireflyford import runtime


def make_balancer_settings(
    link_address: core.Address,
    store_address: core.Address,
    evacuation_prefix: str = "",
) -> runtime.FlowSettings:
    """Returns the settings of a balancer that opens no socket.

    Args:
        link_address: Address for messages of other instances.
        store_address: Address of the store.
        evacuation_prefix: Prefix of the keys that evacuate a zone.
    """
    host = link_address.host
    return runtime.FlowSettings(
        instance_id="balancer-1",
        availability_zone="a",
        service="",
        packet_address=core.Address(host, 8_172),
        client_port=8_172,
        readiness_check_address=core.Address(host, 8_167),
        report_address=None,
        outbound_address=None,
        backend_address=None,
        link_address=link_address,
        status_address=core.Address(host, 7_001),
        seed_addresses=(),
        store_address=store_address,
        config_key="op/config",
        report_interval_ms=1_200,
        grace_ms=6_000,
        evacuation_prefix=evacuation_prefix,
    )
