"""Configuration of a deployment: services, regions and treatments."""

import dataclasses
import enum

# Increased when instances of the previous release can no longer parse a text.
FORMAT = 1


class Kind(enum.Enum):
    """Communication pattern of a treatment: single request or event feed."""

    REQUEST = "request"
    FEED = "feed"


class SizeClass(enum.Enum):
    """Expected service time of a request."""

    SHORT = "short"
    LONG = "long"


class Transport(enum.Enum):
    """Transport protocol between callers and a service."""

    QUIC = "quic"
    DATAGRAM = "datagram"


class CrestPolicy(enum.Enum):
    """Overload policy for requests that would exceed their deadline."""

    REFUSE = "refuse"
    QUEUE = "queue"


class MovePolicy(enum.Enum):
    """How a feed continues when its backend server is removed."""

    RESUME = "resume"
    RECONNECT = "reconnect"


@dataclasses.dataclass(frozen=True)
class Treatment:
    """Scheduling policy for requests that match a method and path prefix.

    Attributes:
        name: Name, unique within the service.
        method: HTTP method to match.
        path_prefix: Path prefix to match.
        kind: Request or feed.
        idempotent: Whether a request may be executed more than once.
        size: Expected service time.
        deadline_ms: Maximum time from arrival to response.
        priority: Priority from 0 to 9; higher values run first.
        at_crest: Policy under overload.
        on_move: How a feed continues after it moves to another target.
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
    """A service with its address and targets.

    Attributes:
        name: Name, unique within the deployment.
        address: Service address as `ip:port`.
        target_count: Planned number of targets.
        slots_per_target: Maximum number of concurrent requests per target.
        connections_per_target: Planned number of connections per target.
        treatments: Treatments in matching order; the first match applies.
        transport: Transport protocol towards callers.
        callers: Certificate names of callers that may use the service; empty
            allows all callers.
        draining: Whether the service accepts no new flows. A service may be
            removed or moved to another address only after a configuration in
            which it is draining.
        second_attempt_ratio: Extra work that second attempts of idempotent
            requests may cause, relative to the completed work; 0 disables
            them.
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
    second_attempt_ratio: float = 0.0

    def treatment(self, method: str, path: str) -> Treatment | None:
        """Returns the first treatment that matches a request, or None."""
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
    """A region with its availability zones and network delays.

    Attributes:
        name: Name, unique within the deployment.
        availability_zones: Availability zones of the region.
        zone_delay_ms: One-way delay between availability zones.
        caller_delay_ms: One-way delay to callers.
    """

    name: str
    availability_zones: tuple[AvailabilityZone, ...]
    zone_delay_ms: float
    caller_delay_ms: float


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Complete configuration of a deployment.

    Attributes:
        name: Name of the deployment.
        regions: Regions of the deployment.
        services: Services of the deployment.
        format: Format version of the text; instances do not apply a text with
            a format version that they do not support.
    """

    name: str
    regions: tuple[Region, ...]
    services: tuple[Service, ...]
    format: int = FORMAT

    def service(self, name: str) -> Service | None:
        """Returns the service with this name, or None."""
        for service in self.services:
            if service.name == name:
                return service
        return None

    def restricted_to(self, service_name: str) -> "Deployment":
        """Returns a copy restricted to one service, for its agents."""
        kept = tuple(
            service for service in self.services if service.name == service_name
        )
        return dataclasses.replace(self, services=kept)
