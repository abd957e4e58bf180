"""What an operator describes: services, places and treatments of work."""

import dataclasses
import enum

# Raised when a text stops being readable by instances of the version before.
FORMAT = 1


class Kind(enum.Enum):
    """Shape of the work behind a path."""

    REQUEST = "request"
    FEED = "feed"


class SizeClass(enum.Enum):
    """Expected length of the work."""

    SHORT = "short"
    LONG = "long"


class Transport(enum.Enum):
    """What callers speak to a service."""

    QUIC = "quic"
    DATAGRAM = "datagram"


class CrestPolicy(enum.Enum):
    """What happens to work that cannot finish within its deadline."""

    REFUSE = "refuse"
    QUEUE = "queue"


class MovePolicy(enum.Enum):
    """How a feed goes on when its backend server leaves."""

    RESUME = "resume"
    RECONNECT = "reconnect"


@dataclasses.dataclass(frozen=True)
class Treatment:
    """How one kind of work is treated.

    Attributes:
        name: Name, unique within the service.
        method: HTTP method that selects the treatment.
        path_prefix: Path prefix that selects the treatment.
        kind: Request or feed.
        idempotent: Whether running the work twice is harmless.
        size: Expected length.
        deadline_ms: Longest useful time from arrival to answer.
        priority: Higher runs first; 0 to 9.
        at_crest: What happens when demand exceeds capacity.
        on_move: How a feed goes on after a move.
    """

    name: str
    method: str
    path_prefix: str
    kind: Kind = Kind.REQUEST
    idempotent: bool = True
    size: SizeClass = SizeClass.SHORT
    deadline_ms: int = 2_000
    priority: int = 5
    at_crest: CrestPolicy = CrestPolicy.REFUSE
    on_move: MovePolicy = MovePolicy.RESUME


@dataclasses.dataclass(frozen=True)
class Service:
    """One service behind one address.

    Attributes:
        name: Name, unique within the deployment.
        address: Service address as `ip:port`.
        target_count: Planned number of targets.
        slots_per_target: Requests that one target runs at a time.
        connections_per_target: Connections that one target is meant to hold.
        treatments: Treatments in order; the first match applies.
        transport: What callers speak.
        callers: Names in caller certificates that may use the service;
            empty means everyone.
        draining: Whether the service takes no new flows any more. A service
            is removed, or moved to another address, only after a
            configuration in which it was draining.
    """

    name: str
    address: str
    target_count: int
    slots_per_target: int = 2
    connections_per_target: int = 2_000
    treatments: tuple[Treatment, ...] = ()
    transport: Transport = Transport.QUIC
    callers: tuple[str, ...] = ()
    draining: bool = False

    def treatment(self, method: str, path: str) -> Treatment | None:
        """Returns the first treatment that matches, or None."""
        for treatment in self.treatments:
            if treatment.method == method and path.startswith(
                treatment.path_prefix
            ):
                return treatment
        return None


@dataclasses.dataclass(frozen=True)
class AvailabilityZone:
    """One availability zone of a region."""

    name: str


@dataclasses.dataclass(frozen=True)
class Region:
    """A region and its delays.

    Attributes:
        name: Name of the region.
        availability_zones: Zones of the region.
        zone_delay_ms: One-way delay between zones.
        caller_delay_ms: One-way delay to callers.
    """

    name: str
    availability_zones: tuple[AvailabilityZone, ...]
    zone_delay_ms: float
    caller_delay_ms: float


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Everything that an operator promises, in one readable value.

    Attributes:
        name: Name of the deployment.
        regions: Regions with their zones and delays.
        services: Services behind their addresses.
        format: Format number of the text; an instance holds back a text with
            a higher number than its own.
    """

    name: str
    regions: tuple[Region, ...]
    services: tuple[Service, ...]
    format: int = FORMAT

    def service(self, name: str) -> Service | None:
        """Returns the service of that name, or None."""
        for service in self.services:
            if service.name == name:
                return service
        return None

    def only(self, service_name: str) -> "Deployment":
        """Returns the part that the agents of one service need."""
        kept = tuple(
            service for service in self.services if service.name == service_name
        )
        return dataclasses.replace(self, services=kept)
