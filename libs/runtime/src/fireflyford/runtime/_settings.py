"""Settings of the processes that forward packets of flows."""

import dataclasses

from fireflyford import core


@dataclasses.dataclass(frozen=True)
class FlowSettings:
    """Settings of a balancer or an agent.

    Attributes:
        instance_id: Name of the instance.
        availability_zone: Zone in which the instance runs.
        service: Service of the backend server, empty for a balancer.
        packet_address: Where a balancer receives packets of clients.
        client_port: Port of the clients to which replies are sent.
        readiness_check_address: Where the fabric checks readiness, HTTP.
        report_address: Where the backend server sends reports, None for a
            balancer.
        outbound_address: Where the backend server sends its packets, None for
            a balancer.
        backend_address: Where the backend server receives packets, None for
            a balancer.
        link_address: Where messages between instances are received, UDP.
        status_address: Where metrics, status and documents for peers are
            served, HTTP.
        seed_addresses: Status addresses of instances that may be running.
        store_address: Address of the store.
        config_key: Key of the configuration in the store.
        report_interval_ms: Interval between reports of the backend server.
        grace_ms: Time from the signal to stop to the end of the process.
        evacuation_prefix: Prefix of the keys that evacuate a zone, empty if
            zones cannot be evacuated.
        second_offer_ratio: Second offers of new flows allowed for each offer,
            0 for none.
        warmup_overage: Factor of the new flows that a cold backend server
            bears, 0 if they are not limited.
        warmup_slack: New flows a second that are allowed beyond that.
    """

    instance_id: str
    availability_zone: str
    service: str
    packet_address: core.Address
    client_port: int
    readiness_check_address: core.Address
    report_address: core.Address | None
    outbound_address: core.Address | None
    backend_address: core.Address | None
    link_address: core.Address
    status_address: core.Address
    seed_addresses: tuple[core.Address, ...]
    store_address: core.Address
    config_key: str
    report_interval_ms: int
    grace_ms: int
    evacuation_prefix: str = ""
    second_offer_ratio: float = 0.0
    warmup_overage: float = 0.0
    warmup_slack: float = 0.0
