"""Flows, their packets and the instances that carry them, as typed values."""

import dataclasses
import enum
import functools

from fireflyford import core

# Client address and port, then route address and port, in network byte order.
FLOW_ID_BYTES = 12
SEQUENCE_MODULUS = 1 << 32


@dataclasses.dataclass(frozen=True, slots=True)
class Packet:
    """What the decisions need of one packet of a flow.

    Attributes:
        flow: Identifier of the flow, the same in both directions.
        data: The encoded packet; decisions never look inside.
        opens: Whether it asks for a new flow.
        acknowledges: Whether `ack` is valid.
        ends: Whether its sender has nothing more to send.
        resets: Whether it ends the flow at once.
        bounced: Whether the backend server returned it.
        payload_bytes: Length of the data that it carries.
        seq: First byte of the data in the sender's sequence space.
        ack: Next byte that its sender expects.
        delivery_tag: Value that the agent attached on delivery.
    """

    flow: bytes
    data: bytes
    opens: bool = False
    acknowledges: bool = False
    ends: bool = False
    resets: bool = False
    bounced: bool = False
    payload_bytes: int = 0
    seq: int = 0
    ack: int = 0
    delivery_tag: int = 0


@functools.lru_cache(4_096)
def client_address(flow: bytes) -> core.Address:
    """Returns the client's end of a flow.

    >>> str(client_address(bytes([10, 0, 0, 7, 0, 80, 10, 0, 0, 1, 1, 187])))
    '10.0.0.7:80'
    """
    return _address(flow[:6])


@functools.lru_cache(1_024)
def route_address(flow: bytes) -> core.Address:
    """Returns the address and port to which the client sends."""
    return _address(flow[6:])


def describe_flow(flow: bytes) -> str:
    """Formats a flow for logs, as `client>route`."""
    return f"{client_address(flow)}>{route_address(flow)}"


def _address(data: bytes) -> core.Address:
    host = ".".join(str(part) for part in data[:4])
    return core.Address(host, int.from_bytes(data[4:6], "big"))


@dataclasses.dataclass(frozen=True)
class Instance:
    """One process of the system, as its entry in the registry says.

    Attributes:
        instance_id: Name of the instance.
        role: What the instance does.
        service: Service of an agent's backend server, empty for a balancer.
        availability_zone: Where the instance runs.
        address: Where it takes messages of other instances.
        incarnation: Start of the process in ms since the Unix epoch; a later
            process at the same address has a larger one.
        is_draining: Whether the backend server beside it takes no new flows.
    """

    instance_id: str
    role: core.Role
    service: str
    availability_zone: str
    address: core.Address
    incarnation: int
    is_draining: bool = False


class TargetState(enum.IntEnum):
    """What an agent knows of its backend server."""

    UNKNOWN = 0
    READY = 1
    DRAINING = 2
    DOWN = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Work at one backend server, as its agent sees it in the packets.

    Attributes:
        state: Whether it takes new flows.
        slot_count: Requests that it works on at the same time.
        busy_count: Requests that wait for the first byte of their response.
        reserved_count: New flows whose first request has not come yet.
        long_lived_count: Open flows that carry many requests.
        service_ms: Mean time from a request to its response, measured while
            a slot was free; 0 when unknown.
    """

    state: TargetState = TargetState.UNKNOWN
    slot_count: int = 1
    busy_count: int = 0
    reserved_count: int = 0
    long_lived_count: int = 0
    service_ms: float = 0.0

    @property
    def pending_count(self) -> int:
        """Requests at the backend server and those that are about to come."""
        return self.busy_count + self.reserved_count


class Action:
    """Something that a decision asks its process to do."""


@dataclasses.dataclass(frozen=True, slots=True)
class Deliver(Action):
    """Give a packet to the backend server beside this agent."""

    packet: Packet
    delivery_tag: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Reply(Action):
    """Send a packet of the backend server to the client."""

    packet: Packet


@dataclasses.dataclass(frozen=True, slots=True)
class Reset(Action):
    """End a flow towards its client.

    Attributes:
        flow: The flow.
        seq: Sequence number that the client accepts: its last `ack`.
    """

    flow: bytes
    seq: int


def sequence_distance(start: int, end: int) -> int:
    """Returns how far `end` is after `start`, modulo 2**32.

    >>> sequence_distance(0xFFFFFFFF, 1)
    2
    """
    return (end - start) % SEQUENCE_MODULUS
