"""Routes of clients and the terms under which their flows are placed."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from fireflyford import core
from fireflyford import routing

# Time after which a client gives up an attempt to open a flow.
OPENING_ATTEMPT_MS = 1_400
# Time that another attempt needs, as a multiple of the latency objective: it
# waits for room and is answered late while there is too little of it.
_ATTEMPT_OBJECTIVE_RATIO = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A service and its weight among the services of a route."""

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTerms:
    """How the requests of a route are treated when there is too little room.

    Attributes:
        priority: Rank of the requests, 0 is served first.
        objective_ms: Latency objective, 0 if there is none.
        limit_ms: Time limit of a request, 0 if there is none.
        repeatable: Whether a request may run more than once.
        warmup_per_s: New flows that a cold backend server of the route bears
            each second, 0 for no limit.
    """

    priority: int = 0
    objective_ms: int = 0
    limit_ms: int = 0
    repeatable: bool = False
    warmup_per_s: float = 0.0

    @property
    def leaves_no_second_attempt(self) -> bool:
        """Whether a client has no time for another attempt after a silent one.

        A refusal in time lets it try again, so such requests are admitted by
        their time limit.
        """
        needed_ms = self.objective_ms * _ATTEMPT_OBJECTIVE_RATIO
        return 0 < self.limit_ms < OPENING_ATTEMPT_MS + needed_ms


@dataclasses.dataclass(frozen=True)
class Route:
    """Destination of the flows to one address and port.

    Attributes:
        name: Name of the route.
        address: Address and port to which clients send.
        shares: Weighted services for new flows.
        long_lived: Whether flows of this route carry many requests.
        terms: Terms for new flows, None to place them by load alone.
    """

    name: str
    address: core.Address
    shares: tuple[Share, ...]
    long_lived: bool
    terms: RouteTerms | None = None

    def service(self, flow: bytes) -> str:
        """Returns the service of a new flow, chosen by hash and weight."""
        total = sum(share.weight for share in self.shares)
        point = routing.hash_flow(flow) % max(1, total)
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return self.shares[0].service


@dataclasses.dataclass(frozen=True)
class RouteTable:
    """Routes of one version of the configuration."""

    version: int
    routes: Mapping[core.Address, Route]


def make_route_table(version: int, routes: Iterable[Route]) -> RouteTable:
    """Returns the table of a version; routes keep terms only if in need."""
    return RouteTable(
        version, {route.address: _restrict_terms(route) for route in routes}
    )


def _restrict_terms(route: Route) -> Route:
    terms = route.terms
    if terms is None or terms.leaves_no_second_attempt or terms.warmup_per_s:
        return route
    return dataclasses.replace(route, terms=None)
