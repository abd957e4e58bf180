"""Flows that wait for a slot of one backend server, and their order."""

import abc
import collections
import dataclasses

from fireflyford import core
from fireflyford.flows import _routes

# Bounds the memory of a list and the time to select from it. At 20 ms each,
# one slot serves 64 requests within the longest time that a client waits.
MAX_WAITING_FLOWS = 256
# Grants are counted by client and zone over this time.
GRANT_WINDOW_MS = 1_000
# Every fourth grant goes to the flow that has waited longest, which bounds the
# wait of lower priorities.
LONGEST_WAIT_TURN = 4
# Time from a grant to the arrival of the request at the backend server: two
# messages between agents and two round trips to the client.
EXCHANGE_MS = 20
# A flow counts as able to meet its objective if this multiple of the mean
# service time is left. Service times vary, and so does the work of requests
# on open flows that are ahead.
SERVICE_MARGIN = 2.0
# A list is short if one backend server alone would serve it within this time,
# about the smallest objective in use. Each flow is on up to three lists, so the
# wait is shorter.
SHORT_DRAIN_MS = 300


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingFlow:
    """A flow that was declined for lack of a slot.

    Attributes:
        flow: The flow.
        directory_agent: Agent that places the flow.
        priority: Rank of the route, 0 is served first.
        opened_ms: Time of the client's first opening packet.
        objective_at_ms: Time until which a response meets the objective.
        limit_at_ms: Time until which the client accepts a response.
        client: Address of the client, without port.
        zone: Availability zone of the client.
    """

    flow: bytes
    directory_agent: core.Address
    priority: int
    opened_ms: int
    objective_at_ms: int
    limit_at_ms: int
    client: str
    zone: str


def make_waiting_flow(
    flow: bytes,
    directory_agent: core.Address,
    terms: _routes.RouteTerms,
    opened_ms: int,
    client: str,
    zone: str,
) -> WaitingFlow:
    """Returns the entry of a flow under the terms of its route."""
    limit_ms = terms.limit_ms or _routes.OPENING_ATTEMPT_MS
    return WaitingFlow(
        flow,
        directory_agent,
        terms.priority,
        opened_ms,
        opened_ms + (terms.objective_ms or limit_ms),
        opened_ms + limit_ms,
        client,
        zone,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Turn:
    """What an order may take into account besides the flows.

    Attributes:
        now_ms: Time of the clock.
        service_ms: Mean service time.
        drain_ms: Time until all waiting flows are served here.
        client_grants: Grants to each client in the last second.
        zone_grants: Grants to each zone in the last second.
    """

    now_ms: int
    service_ms: float
    drain_ms: float
    client_grants: collections.Counter[str]
    zone_grants: collections.Counter[str]

    def meets(self, at_ms: int) -> bool:
        """Returns whether a flow granted now would be answered by a time."""
        needed_ms = EXCHANGE_MS + SERVICE_MARGIN * self.service_ms
        return self.now_ms + needed_ms <= at_ms


class WaitingOrder(abc.ABC):
    """Order in which waiting flows are granted slots."""

    @abc.abstractmethod
    def key(self, item: WaitingFlow, turn: Turn) -> tuple[float, ...]:
        """Returns a sort key; the flow with the lowest one is next."""


class FirstComeFirstServed(WaitingOrder):
    """The longest wait first, as a baseline."""

    def key(self, item: WaitingFlow, turn: Turn) -> tuple[float, ...]:
        """Returns the time at which the client opened the flow."""
        return (item.opened_ms,)


class NewestFirst(WaitingOrder):
    """The shortest wait first, as a baseline."""

    def key(self, item: WaitingFlow, turn: Turn) -> tuple[float, ...]:
        """Returns the negative time at which the client opened the flow."""
        return (-item.opened_ms,)


class EarliestLimit(WaitingOrder):
    """Flows that can meet their objective, then those within the limit.

    Within each group, the higher priority is first, then the client and the
    zone with fewer grants, then the earlier time limit.
    """

    def key(self, item: WaitingFlow, turn: Turn) -> tuple[float, ...]:
        """Returns group, priority, grants and time limit."""
        return (*_group_key(item, turn), item.limit_at_ms)


class NewestInGroup(WaitingOrder):
    """As `EarliestLimit`, but with the newest flow first.

    The group of flows that can meet their objective then holds flows that have
    time to spare for the requests ahead of them.
    """

    def key(self, item: WaitingFlow, turn: Turn) -> tuple[float, ...]:
        """Returns group, priority, grants and negative opening time."""
        return (*_group_key(item, turn), -item.opened_ms)


class Deadline(WaitingOrder):
    """`EarliestLimit` for a short list, `NewestInGroup` for a long one.

    While all flows of the list can meet the objective, the earliest limit
    first makes the fewest late. With more work than that, it would serve each
    flow just when it is about to be late, and the newest have time to spare.
    """

    def __init__(self) -> None:
        """Initializes the orders of both lists."""
        self._short = EarliestLimit()
        self._long = NewestInGroup()

    def key(self, item: WaitingFlow, turn: Turn) -> tuple[float, ...]:
        """Returns group, priority, grants and the time that decides."""
        is_short = turn.drain_ms <= SHORT_DRAIN_MS
        order = self._short if is_short else self._long
        return order.key(item, turn)


def _group_key(item: WaitingFlow, turn: Turn) -> tuple[float, ...]:
    if turn.meets(item.objective_at_ms):
        group = 0
    else:
        group = 1 if turn.meets(item.limit_at_ms) else 2
    return (
        group,
        item.priority,
        turn.client_grants[item.client],
        turn.zone_grants[item.zone],
    )


class WaitingList:
    """Flows that wait for a slot of one backend server."""

    def __init__(self, order: WaitingOrder) -> None:
        """Initializes an empty list.

        Args:
            order: Order of the flows.
        """
        self._order = order
        self._flows: dict[bytes, WaitingFlow] = {}
        # Time, client and zone of the grants of the last second.
        self._grants: collections.deque[tuple[int, str, str]] = (
            collections.deque()
        )
        self._client_grants: collections.Counter[str] = collections.Counter()
        self._zone_grants: collections.Counter[str] = collections.Counter()
        self._grant_count = 0
        # Slots of the backend server.
        self.slot_count = 1

    def __len__(self) -> int:
        """Returns the number of waiting flows."""
        return len(self._flows)

    def add(
        self, item: WaitingFlow, now_ms: int, service_ms: float
    ) -> WaitingFlow | None:
        """Adds a flow; returns the last flow in order if it has to leave.

        A flow that waits already keeps its place; another directory agent may
        have taken it over.
        """
        known = self._flows.get(item.flow, item)
        self._flows[item.flow] = dataclasses.replace(
            known, directory_agent=item.directory_agent
        )
        if len(self._flows) <= MAX_WAITING_FLOWS:
            return None
        turn = self._turn(now_ms, service_ms)
        last = max(
            self._flows.values(), key=lambda each: self._order.key(each, turn)
        )
        return self._flows.pop(last.flow)

    def remove(self, flow: bytes) -> None:
        """Removes a flow if it waits."""
        self._flows.pop(flow, None)

    def expire(self, latest_start_ms: int) -> None:
        """Removes the flows whose time limit is not after a given time."""
        for flow, item in tuple(self._flows.items()):
            if item.limit_at_ms <= latest_start_ms:
                del self._flows[flow]

    def clear(self) -> tuple[WaitingFlow, ...]:
        """Removes and returns all flows."""
        items = tuple(self._flows.values())
        self._flows.clear()
        return items

    def pop_next(self, now_ms: int, service_ms: float) -> WaitingFlow | None:
        """Removes and returns the flow that is granted a slot."""
        if not self._flows:
            return None
        self._grant_count += 1
        if self._grant_count % LONGEST_WAIT_TURN:
            turn = self._turn(now_ms, service_ms)
            item = min(
                self._flows.values(),
                key=lambda each: self._order.key(each, turn),
            )
        else:
            item = min(self._flows.values(), key=lambda each: each.opened_ms)
        del self._flows[item.flow]
        self._grants.append((now_ms, item.client, item.zone))
        self._client_grants[item.client] += 1
        self._zone_grants[item.zone] += 1
        return item

    def _turn(self, now_ms: int, service_ms: float) -> Turn:
        while self._grants and self._grants[0][0] <= now_ms - GRANT_WINDOW_MS:
            _, client, zone = self._grants.popleft()
            self._client_grants[client] -= 1
            self._zone_grants[zone] -= 1
            if not self._client_grants[client]:
                del self._client_grants[client]
        return Turn(
            now_ms,
            service_ms,
            service_ms * len(self._flows) / self.slot_count,
            self._client_grants,
            self._zone_grants,
        )
