"""Packets, instances, loads and actions as immutable values."""

import dataclasses
import enum
import functools

from fireflyford import core

# Client address and port, then route address and port, in network byte order.
FLOW_ID_BYTES = 12
SEQUENCE_MODULUS = 1 << 32


@dataclasses.dataclass(frozen=True, slots=True)
class Packet:
    """Header fields and data of one packet of a flow.

    Attributes:
        flow: Identifier of the flow, the same in both directions.
        data: The encoded packet, opaque to the decisions.
        opens: Whether it opens or accepts a flow.
        acknowledges: Whether `ack` is valid.
        ends: Whether its sender will send no more data.
        resets: Whether it resets the flow.
        returned: Whether the backend server returned it.
        payload_bytes: Length of its payload.
        seq: Sequence number of the first payload byte.
        ack: Sequence number that its sender expects next.
        delivery_tag: Value that the agent attached on delivery.
        opening_age_ms: For a copy of an opening packet, time since the client
            sent the first one.
    """

    flow: bytes
    data: bytes
    opens: bool = False
    acknowledges: bool = False
    ends: bool = False
    resets: bool = False
    returned: bool = False
    payload_bytes: int = 0
    seq: int = 0
    ack: int = 0
    delivery_tag: int = 0
    opening_age_ms: int = 0


@functools.lru_cache(4_096)
def client_address(flow: bytes) -> core.Address:
    """Returns the client address of a flow.

    >>> str(client_address(bytes([10, 0, 0, 7, 0, 80, 10, 0, 0, 1, 1, 187])))
    '10.0.0.7:80'
    """
    return _address(flow[:6])


def route_address(flow: bytes) -> core.Address:
    """Returns the address and port to which the client sends."""
    return _cached_address(flow[6:])


def describe_flow(flow: bytes) -> str:
    """Formats a flow for logs, as `client>route`."""
    return f"{client_address(flow)}>{route_address(flow)}"


# There are far fewer routes than flows.
@functools.lru_cache(4_096)
def _cached_address(data: bytes) -> core.Address:
    return _address(data)


def _address(data: bytes) -> core.Address:
    host = ".".join(str(part) for part in data[:4])
    return core.Address(host, int.from_bytes(data[4:6], "big"))


@dataclasses.dataclass(frozen=True)
class Instance:
    """One instance of the system, as described by its registry entry.

    Attributes:
        instance_id: Name of the instance.
        role: Role of the instance.
        service: Service of an agent's backend server, empty for a balancer.
        availability_zone: Availability zone of the instance.
        address: Address for messages from other instances.
        incarnation: Start time of the process in ms since the Unix epoch; a
            later process at the same address has a larger one.
        is_draining: Whether the backend server of an agent is draining.
    """

    instance_id: str
    role: core.Role
    service: str
    availability_zone: str
    address: core.Address
    incarnation: int
    is_draining: bool = False


class TargetState(enum.IntEnum):
    """State of a backend server as known to its agent."""

    UNKNOWN = 0
    READY = 1
    DRAINING = 2
    DOWN = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load of one backend server, as its agent observes it from packets.

    Attributes:
        state: State of the backend server.
        slot_count: Requests that it processes concurrently.
        busy_count: Requests whose response has not started.
        reserved_count: New flows whose first request has not arrived.
        long_lived_count: Open flows that carry many requests.
        service_ms: Mean time from a request to its response, measured while
            a slot was free; 0 when unknown.
        warmup_left_ms: How long the backend server stays cold, 0 if it is warm.
    """

    state: TargetState = TargetState.UNKNOWN
    slot_count: int = 1
    busy_count: int = 0
    reserved_count: int = 0
    long_lived_count: int = 0
    service_ms: float = 0.0
    warmup_left_ms: int = 0

    @property
    def pending_count(self) -> int:
        """Number of requests at the backend server or expected shortly."""
        return self.busy_count + self.reserved_count


class Action:
    """An effect that the process must carry out after a decision."""


@dataclasses.dataclass(frozen=True, slots=True)
class Deliver(Action):
    """Deliver a packet to the backend server of this agent."""

    packet: Packet
    delivery_tag: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Reply(Action):
    """Send a packet from the backend server to the client."""

    packet: Packet


@dataclasses.dataclass(frozen=True, slots=True)
class Reset(Action):
    """Reset a flow at its client.

    Attributes:
        flow: The flow.
        seq: Sequence number that the client accepts, its last `ack`.
    """

    flow: bytes
    seq: int


def sequence_distance(start: int, end: int) -> int:
    """Returns the distance from `start` to `end`, modulo 2**32.

    >>> sequence_distance(0xFFFFFFFF, 1)
    2
    """
    return (end - start) % SEQUENCE_MODULUS
