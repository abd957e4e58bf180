"""Admission of new flows with terms at the agent of a backend server.

A flow that finds no room waits here, and is granted a slot in its turn. The
flow stays with its directory agent, which offers it again on a grant.
"""

import dataclasses

from fireflyford import core
from fireflyford import telemetry
from fireflyford.flows import _fleet
from fireflyford.flows import _messages
from fireflyford.flows import _placement
from fireflyford.flows import _types
from fireflyford.flows import _waiting_list

# A grant that is not used within this time passes to the next flow. Covers two
# messages between availability zones and the processing at a loaded instance.
GRANT_MS = 20
# The offer that follows an expired grant may still come within this time, if an
# instance is short of processor time. The flow then keeps its place in order.
LATE_OFFER_MS = 300
# Bounds the memory of expired grants; a slot has at most 15 in that time.
MAX_EXPIRED_GRANTS = 64
# Bounds of the requests and reserved flows for each slot, including the request
# in progress. One request beyond it keeps the slot busy during the exchange of
# messages that opens the next flow; the upper bound is that of all flows.
MIN_ADMITTED_PER_SLOT = 2
MAX_ADMITTED_PER_SLOT = _placement.PENDING_PER_SLOT
# Between these, as many are admitted as finish within this part of the latency
# objective. The rest covers the exchange of messages and long requests. Where
# requests are much shorter than the objective, a shallow queue would leave
# slots idle during the exchange.
ADMITTED_OBJECTIVE_RATIO = 0.6
# A flow is granted a slot after this time even if requests on open flows alone
# exceed the admitted number. Those cannot be ordered, and new flows would wait
# for as long as there is more work than capacity.
MAX_GRANT_GAP_MS = 250
# By then a client's last copy of its opening packet has arrived, and a balancer
# still awaits the answer (`_balancer.RETRY_LIMIT_MS`).
LATEST_START_MS = 1_260


@dataclasses.dataclass(frozen=True, slots=True)
class _Grant:
    """A slot that is kept for a flow."""

    item: _waiting_list.WaitingFlow
    expires_ms: int


def latest_start_ms(limit_ms: int, service_ms: float) -> int:
    """Returns the latest time to offer a flow, after it was opened.

    Args:
        limit_ms: Time limit of the request, 0 if there is none.
        service_ms: Mean service time, 0 if unknown.

    >>> latest_start_ms(1_617, 45)
    1260
    >>> latest_start_ms(500, 30)
    450
    """
    if not limit_ms:
        return LATEST_START_MS
    needed_ms = _waiting_list.EXCHANGE_MS + (
        service_ms or _placement.DEFAULT_SERVICE_MS
    )
    return min(LATEST_START_MS, int(limit_ms - needed_ms))


def has_room(load: _types.Load, added_count: int, objective_ms: int) -> bool:
    """Returns whether a new flow with terms may be admitted.

    Args:
        load: Load of a backend server.
        added_count: Flows that are not part of the load yet.
        objective_ms: Latency objective of the flow.

    >>> long = _types.Load(slot_count=2, busy_count=3, service_ms=200.0)
    >>> has_room(long, 0, 300), has_room(long, 1, 300)
    (True, False)
    >>> short = _types.Load(slot_count=1, busy_count=3, service_ms=30.0)
    >>> has_room(short, 0, 300), has_room(short, 1, 300)
    (True, False)
    """
    service_ms = load.service_ms or _placement.DEFAULT_SERVICE_MS
    admitted_per_slot = min(
        max(
            MIN_ADMITTED_PER_SLOT,
            objective_ms * ADMITTED_OBJECTIVE_RATIO / service_ms,
        ),
        MAX_ADMITTED_PER_SLOT,
    )
    pending = load.pending_count + added_count
    return pending < int(load.slot_count * admitted_per_slot)


class Admission:
    """Admits new flows to one backend server, or lets them wait."""

    def __init__(
        self,
        clock: core.Clock,
        fleet: _fleet.Fleet,
        order: _waiting_list.WaitingOrder,
    ) -> None:
        """Initializes an admission without waiting flows.

        Args:
            clock: Source of time.
            fleet: View of all instances.
            order: Order in which waiting flows are granted slots.
        """
        self._clock = clock
        self._fleet = fleet
        self._waiting = _waiting_list.WaitingList(order)
        self._grants: dict[bytes, _Grant] = {}
        # Grants that have expired, oldest first.
        self._expired: dict[bytes, _Grant] = {}
        self._last_admitted_ms = clock.now_ms()
        # Objective of the last flow that was offered.
        self._objective_ms = 0

    def __len__(self) -> int:
        """Returns the number of flows that wait or hold a grant."""
        return len(self._waiting) + len(self._grants)

    def decide(
        self,
        sender: core.Address,
        forward: _messages.Forward,
        packet: _types.Packet,
        load: _types.Load,
        opening_count: int,
    ) -> _messages.DeclineReason | None:
        """Returns why an offered flow is declined, None to accept it.

        Args:
            sender: Directory agent of the flow.
            forward: The offer.
            packet: The opening packet.
            load: Load of the backend server, which is ready.
            opening_count: Flows that are not part of the load yet.
        """
        terms = forward.terms
        assert terms is not None
        self._objective_ms = terms.objective_ms
        now_ms = self._clock.now_ms()
        grant = self._grants.pop(packet.flow, None)
        if grant is not None:
            self._last_admitted_ms = now_ms
            telemetry.observe(
                "slot_wait", now_ms - grant.item.opened_ms, "granted"
            )
            return None
        age_ms = packet.opening_age_ms
        expired = self._expired.pop(packet.flow, None)
        if expired is not None:
            age_ms = max(age_ms, now_ms - expired.item.opened_ms)
        service_ms = load.service_ms or _placement.DEFAULT_SERVICE_MS
        if age_ms > latest_start_ms(terms.limit_ms, service_ms):
            return _messages.DeclineReason.TOO_LATE
        added_count = opening_count + len(self._grants)
        if self._is_admitted(
            load, added_count, service_ms, terms.objective_ms - age_ms
        ):
            pending = load.pending_count + added_count
            may_queue = forward.allow_queueing or forward.long_lived
            if pending >= load.slot_count and not may_queue:
                # Another backend server may have a free slot.
                return _messages.DeclineReason.BUSY
            self._waiting.remove(packet.flow)
            self._last_admitted_ms = now_ms
            return None
        balancer = self._fleet.find(forward.balancer)
        item = _waiting_list.make_waiting_flow(
            packet.flow,
            sender,
            terms,
            now_ms - age_ms,
            _types.client_address(packet.flow).host,
            # Clients send to balancers in their own zone.
            "" if balancer is None else balancer.availability_zone,
        )
        left = self._waiting.add(item, now_ms, service_ms)
        if left is not None:
            telemetry.log(
                "waiting-list-full", flow=_types.describe_flow(left.flow)
            )
        return _messages.DeclineReason.BUSY

    def _is_admitted(
        self,
        load: _types.Load,
        added_count: int,
        service_ms: float,
        objective_left_ms: int,
    ) -> bool:
        pending = load.pending_count + added_count
        if pending < load.slot_count:
            return True
        if not has_room(load, added_count, self._objective_ms):
            return False
        ahead_count = pending - load.slot_count + 1
        finish_ms = service_ms * (1 + ahead_count / load.slot_count)
        return finish_ms <= objective_left_ms

    def grant_slots(
        self, load: _types.Load, opening_count: int
    ) -> list[_types.Action]:
        """Grants the free slots to waiting flows.

        Called after each event that may have freed a slot. If the backend
        server accepts no new flow, the directory agents of all waiting flows
        are told.

        Args:
            load: Load of the backend server.
            opening_count: Flows that are not part of the load yet.
        """
        if not self._waiting and not self._grants:
            return []
        if load.state is not _types.TargetState.READY:
            return self._decline_all(load)
        now_ms = self._clock.now_ms()
        self._waiting.slot_count = load.slot_count
        self._expire(now_ms, load.service_ms)
        actions: list[_types.Action] = []
        while self._waiting and self._may_grant(load, opening_count, now_ms):
            service_ms = load.service_ms or _placement.DEFAULT_SERVICE_MS
            item = self._waiting.pop_next(now_ms, service_ms)
            assert item is not None
            self._grants[item.flow] = _Grant(item, now_ms + GRANT_MS)
            self._last_admitted_ms = now_ms
            telemetry.log(
                "slot-granted",
                flow=_types.describe_flow(item.flow),
                age_ms=now_ms - item.opened_ms,
                waiting=len(self._waiting),
                busy=load.busy_count,
                reserved=load.reserved_count,
            )
            actions.append(
                _messages.Send(
                    item.directory_agent, _messages.SlotGranted(item.flow)
                )
            )
        return actions

    def _may_grant(
        self, load: _types.Load, opening_count: int, now_ms: int
    ) -> bool:
        added_count = opening_count + len(self._grants)
        if has_room(load, added_count, self._objective_ms):
            return True
        is_due = now_ms - self._last_admitted_ms >= MAX_GRANT_GAP_MS
        return is_due and _placement.has_room(load, added_count)

    def withdraw(self, sender: core.Address, flow: bytes) -> None:
        """Removes a flow that its directory agent no longer offers."""
        grant = self._grants.get(flow)
        if grant is not None and grant.item.directory_agent == sender:
            del self._grants[flow]
            self._log_unused(flow, "withdrawn")
            return
        self._waiting.remove(flow)

    def _expire(self, now_ms: int, service_ms: float) -> None:
        for flow, grant in tuple(self._grants.items()):
            if now_ms >= grant.expires_ms:
                del self._grants[flow]
                self._expired[flow] = grant
                self._log_unused(flow, "timeout")
        while self._expired:
            flow, grant = next(iter(self._expired.items()))
            is_recent = now_ms < grant.expires_ms + LATE_OFFER_MS
            if is_recent and len(self._expired) <= MAX_EXPIRED_GRANTS:
                break
            del self._expired[flow]
        needed_ms = service_ms + _waiting_list.EXCHANGE_MS
        self._waiting.expire(now_ms + int(needed_ms))

    def _log_unused(self, flow: bytes, reason: str) -> None:
        telemetry.log(
            "grant-unused", flow=_types.describe_flow(flow), reason=reason
        )

    def _decline_all(self, load: _types.Load) -> list[_types.Action]:
        reason = _messages.STATE_DECLINE_REASONS[load.state]
        items = [
            *(grant.item for grant in self._grants.values()),
            *self._waiting.clear(),
        ]
        self._grants.clear()
        telemetry.log(
            "waiting-list-cleared",
            flows=len(items),
            state=load.state.name.lower(),
        )
        return [
            _messages.Send(
                item.directory_agent,
                _messages.PlacementDeclined(item.flow, reason, load),
            )
            for item in items
        ]
