"""All decisions of one balancer.

A balancer keeps nothing that a flow depends on: its memory of holders is a
cache in front of the directory at the flows' homes.
"""

import collections
from collections.abc import Mapping
import dataclasses

from fireflyford import core
from fireflyford import routing
from fireflyford import telemetry
from fireflyford.flows import _fleet
from fireflyford.flows import _messages
from fireflyford.flows import _response_timer
from fireflyford.flows import _types

# Flows whose holder a balancer remembers; some 100 bytes each.
MAX_CACHED = 65_536
# A home that has not answered for so long is passed over for a while: the
# limits of placement (`_offers.PLACE_TIMEOUT_MS`) and search fit in.
HOME_TIMEOUT_MS = 150
SUSPECT_MS = 1_000
# A packet without an answer is sent again after this time, then after twice
# as long, and so on. The client's own copies come 200, 600 and 1,400 ms after
# the first packet, so a restarted agent serves it sooner this way.
REPEAT_MS = 80
REPEAT_MOST_MS = 800
# After this time the client has given up an opening or repeated its packet.
REPEAT_LIMIT_MS = 1_300
# Candidates on the ring that may act as home while the first ones are silent.
HOME_CANDIDATES = 4
# Packets whose fate is not known yet.
MAX_PENDING = 16_384


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A service with its share of the new flows of a route."""

    service: str
    weight: int


@dataclasses.dataclass(frozen=True)
class Route:
    """Where the flows to one address and port go.

    Attributes:
        name: Name of the route.
        address: Address and port to which clients send.
        shares: Services of new flows.
        long_lived: Whether flows of this route carry many requests.
    """

    name: str
    address: core.Address
    shares: tuple[Share, ...]
    long_lived: bool

    def service(self, flow: bytes) -> str:
        """Returns the service of a new flow, by the weights."""
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


class _Pending:
    """A packet whose flow the balancer has asked the home about."""

    def __init__(
        self,
        packet: _types.Packet,
        service: str,
        others: list[str],
        directory_agent: core.Address | None,
        route: Route,
        now_ms: int,
        pause_ms: int,
    ):
        self.packet = packet
        self.service = service
        self.others = others
        self.directory_agent = directory_agent
        self.route = route
        self.taken_ms = now_ms
        self.asked_ms = now_ms
        self.pause_ms = pause_ms
        # Whether the home keeps the packet until a backend server has room.
        self.is_waiting = False


class BalancerFlows:
    """Decides about every packet and message of one balancer."""

    def __init__(
        self, clock: core.Clock, own: _types.Instance, fleet: _fleet.Fleet
    ) -> None:
        """Starts without a configuration.

        Args:
            clock: Source of time.
            own: This balancer.
            fleet: View of the other instances.
        """
        self._clock = clock
        self._own = own
        self._fleet = fleet
        self._table: RouteTable | None = None
        # Services to which earlier versions sent the flows of a route.
        self._earlier: dict[core.Address, tuple[str, ...]] = {}
        self._dropped: set[core.Address] = set()
        self._holders: collections.OrderedDict[
            bytes, tuple[core.Address, str]
        ] = collections.OrderedDict()
        self._pending: collections.OrderedDict[bytes, _Pending] = (
            collections.OrderedDict()
        )
        self._suspects: dict[core.Address, int] = {}
        self._timer = _response_timer.ResponseTimer(REPEAT_MS, REPEAT_MOST_MS)
        # Whether the configuration is known to be the newest one.
        self.is_current = False

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 for none."""
        return 0 if self._table is None else self._table.version

    @property
    def cached_count(self) -> int:
        """Flows whose holder is remembered."""
        return len(self._holders)

    def apply(self, table: RouteTable) -> bool:
        """Takes a configuration; returns False for one that is not newer."""
        if table.version <= self.version:
            return False
        if self._table is not None:
            for address, route in self._table.routes.items():
                services = tuple(share.service for share in route.shares)
                known = self._earlier.get(address, ())
                self._earlier[address] = tuple(
                    dict.fromkeys([*services, *known])
                )
                if address not in table.routes:
                    self._dropped.add(address)
        self._dropped -= table.routes.keys()
        telemetry.log(
            "config-applied",
            version=table.version,
            before=self.version,
            routes=len(table.routes),
        )
        self._table = table
        return True

    def receive(self, packet: _types.Packet) -> list[_types.Action]:
        """Handles a packet of a client."""
        address = _types.route_address(packet.flow)
        route = None
        if self._table is not None:
            route = self._table.routes.get(address)
        if route is None or not route.shares:
            return self._reject(packet, address)
        known = self._holders.get(packet.flow)
        if known is not None:
            holder, service = known
            if holder in self._fleet:
                self._holders.move_to_end(packet.flow)
                return [
                    self._forward(
                        _messages.Handling.HELD, holder, packet, service, route
                    )
                ]
            del self._holders[packet.flow]
        services = self._services(route, packet)
        pending = self._pending.get(packet.flow)
        if pending is not None:
            if packet.opens and pending.packet.opens:
                # A copy by the client; copies are repeated here anyway.
                return []
            self._doubt(pending)
            if not packet.opens and pending.service in services:
                at = services.index(pending.service)
                services = services[at:]
        return self._ask(packet, services, route)

    def handle_message(
        self, sender: core.Address, message: _messages.Message
    ) -> list[_types.Action]:
        """Handles a message about flows or about an instance."""
        if isinstance(message, _messages.FlowLocated):
            self._locate(sender, message.flow)
        elif isinstance(message, _messages.NotHeld):
            known = self._holders.get(message.flow)
            if known is not None and known[0] == sender:
                del self._holders[message.flow]
            return []
        elif isinstance(message, _messages.FlowNotFound):
            return self._try_next(message)
        elif isinstance(message, _messages.PlacementQueued):
            pending = self._pending.get(message.flow)
            if pending is not None:
                pending.is_waiting = True
                self._timer.sample(self._clock.now_ms() - pending.taken_ms)
        elif isinstance(message, _messages.PlacementRefused):
            return self._refuse(message)
        elif isinstance(message, _messages.LoadReport):
            self._fleet.record_load(sender, message.load)
        elif isinstance(message, _messages.Heartbeat):
            self._fleet.apply_heartbeat(message)
        return []

    def sweep(self) -> list[_types.Action]:
        """Repeats packets that nobody has answered, for a while."""
        now_ms = self._clock.now_ms()
        actions: list[_types.Action] = []
        for flow, pending in tuple(self._pending.items()):
            if now_ms - pending.taken_ms >= REPEAT_LIMIT_MS:
                del self._pending[flow]
            elif (
                now_ms - pending.asked_ms >= pending.pause_ms
                and not pending.is_waiting
            ):
                actions += self._repeat(pending)
        return actions

    def _repeat(self, pending: _Pending) -> list[_types.Action]:
        self._timer.expire()
        self._doubt(pending)
        now_ms = self._clock.now_ms()
        pending.asked_ms = now_ms
        pending.pause_ms *= 2
        packet = pending.packet
        directory_agent = self._home(pending.service, packet.flow)
        if directory_agent is None:
            return []
        pending.directory_agent = directory_agent
        return [
            self._forward(
                _messages.Handling.RESOLVE,
                directory_agent,
                packet,
                pending.service,
                pending.route,
            )
        ]

    def _services(self, route: Route, packet: _types.Packet) -> list[str]:
        """Returns the services that may hold the flow, likeliest first."""
        first = route.service(packet.flow)
        if packet.opens:
            return [first]
        others = [share.service for share in route.shares]
        earlier = self._earlier.get(route.address, ())
        return list(dict.fromkeys([first, *others, *earlier]))

    def _ask(
        self, packet: _types.Packet, services: list[str], route: Route
    ) -> list[_types.Action]:
        service, *others = services
        directory_agent = self._home(service, packet.flow)
        pending = _Pending(
            packet,
            service,
            others,
            directory_agent,
            route,
            self._clock.now_ms(),
            self._timer.timeout_ms(),
        )
        self._pending[packet.flow] = pending
        self._pending.move_to_end(packet.flow)
        if len(self._pending) > MAX_PENDING:
            self._pending.popitem(last=False)
        if directory_agent is None:
            telemetry.log(
                "no-agent",
                flow=_types.describe_flow(packet.flow),
                service=service,
            )
            return []
        return [
            self._forward(
                _messages.Handling.RESOLVE,
                directory_agent,
                packet,
                service,
                route,
            )
        ]

    def _home(self, service: str, flow: bytes) -> core.Address | None:
        directory_agents = self._fleet.directory_agents(
            service, flow, HOME_CANDIDATES
        )
        now_ms = self._clock.now_ms()
        for directory_agent in directory_agents:
            if self._suspects.get(directory_agent, 0) <= now_ms:
                return directory_agent
        return directory_agents[0] if directory_agents else None

    def _doubt(self, pending: _Pending) -> None:
        """Passes over a home that has not answered about a flow."""
        now_ms = self._clock.now_ms()
        if pending.directory_agent is None:
            return
        limit_ms = max(HOME_TIMEOUT_MS, self._timer.timeout_ms())
        if now_ms - pending.asked_ms >= limit_ms:
            if self._suspects.get(pending.directory_agent, 0) <= now_ms:
                telemetry.log(
                    "home-silent",
                    flow=_types.describe_flow(pending.packet.flow),
                    home=pending.directory_agent,
                )
            self._suspects[pending.directory_agent] = now_ms + SUSPECT_MS

    def _locate(self, sender: core.Address, flow: bytes) -> None:
        self._suspects.pop(sender, None)
        pending = self._pending.pop(flow, None)
        if pending is not None:
            duration_ms = self._clock.now_ms() - pending.taken_ms
            self._timer.sample(duration_ms)
            kind = "new" if pending.packet.opens else "known"
            telemetry.observe("flow_locate", duration_ms, kind)
            service = pending.service
        else:
            instance = self._fleet.find(sender)
            if instance is None:
                return
            service = instance.service
        self._holders[flow] = (sender, service)
        self._holders.move_to_end(flow)
        if len(self._holders) > MAX_CACHED:
            self._holders.popitem(last=False)

    def _try_next(self, message: _messages.FlowNotFound) -> list[_types.Action]:
        """Asks another service of the route, or ends the flow."""
        flow = message.flow
        pending = self._pending.pop(flow, None)
        route = None
        if self._table is not None:
            route = self._table.routes.get(_types.route_address(flow))
        if pending is not None and pending.others and route is not None:
            return self._ask(pending.packet, pending.others, route)
        if not message.expects_response:
            return []
        telemetry.log(
            "flow-reset", flow=_types.describe_flow(flow), reason="no-holder"
        )
        return [_types.Reset(flow, message.ack)]

    def _refuse(
        self, message: _messages.PlacementRefused
    ) -> list[_types.Action]:
        pending = self._pending.pop(message.flow, None)
        if pending is None or not pending.packet.opens:
            return []
        telemetry.log(
            "flow-reset",
            flow=_types.describe_flow(message.flow),
            reason=f"refused-{message.reason.name.lower()}",
            service=pending.service,
        )
        return [_types.Reset(message.flow, 0)]

    def _reject(
        self, packet: _types.Packet, address: core.Address
    ) -> list[_types.Action]:
        """Resets a flow for which there is certainly no route."""
        certain = address in self._dropped or packet.opens
        if self._table is None or not self.is_current or not certain:
            return []
        if packet.resets:
            return []
        telemetry.log(
            "flow-reset",
            flow=_types.describe_flow(packet.flow),
            reason="no-route",
            version=self.version,
        )
        return [_types.Reset(packet.flow, packet.ack)]

    def _forward(
        self,
        handling: _messages.Handling,
        to: core.Address,
        packet: _types.Packet,
        service: str,
        route: Route,
    ) -> _messages.Send:
        message = _messages.Forward(
            handling,
            service,
            self._own.address,
            to,
            0,
            route.long_lived,
            False,
            packet.data,
        )
        return _messages.Send(to, message)
