"""Placement of new flows by their directory agent.

The directory agent offers a flow to one agent after another until one accepts
it. An offer is the opening packet, relayed with `Handling.PLACE`.
"""

from collections.abc import Sequence

from fireflyford import core
from fireflyford import telemetry
from fireflyford.flows import _admission
from fireflyford.flows import _evacuation
from fireflyford.flows import _fleet
from fireflyford.flows import _flow_tracker
from fireflyford.flows import _messages
from fireflyford.flows import _outliers
from fireflyford.flows import _placement
from fireflyford.flows import _response_timer
from fireflyford.flows import _responsiveness
from fireflyford.flows import _second_offer
from fireflyford.flows import _types
from fireflyford.flows import _warm_up
from fireflyford.flows import _zone_paths

# Bounds of the time after which an unanswered offer goes to another agent; it
# follows the measured response times. The minimum covers the agent's own limit
# for its backend server (`_target_forwarder.OPENING_LIMIT_MS`) plus a round
# trip between availability zones.
OFFER_TIMEOUT_MS = 70
MAX_OFFER_TIMEOUT_MS = 600
# Offers of one flow that may remain unanswered; more would add to the load that
# makes the agents slow.
MAX_UNANSWERED_OFFERS = 3
# An agent that has not answered an offer in time is a suspect for this time: it
# is offered flows only if no other agent has room.
SUSPECT_MS = 1_000
# After an agent has declined a flow because the client's zone does not reach
# it, its zone is the last resort for flows of that zone for this time. Each
# flow would otherwise cost a declined offer; the path may return meanwhile.
UNREACHABLE_MS = 500
# After this many declines for lack of a free slot, an agent with room may
# accept the flow even if its requests have to wait for a slot.
MAX_BUSY_DECLINES = 2
# A new flow is refused if no backend server has had room within this time. The
# client retransmits its opening packet for 600 ms and gives up 1.4 s after the
# first one; the last retransmission may be the first packet to arrive.
QUEUE_LIMIT_MS = 800
# Interval at which placement of a queued flow is tried again.
QUEUE_RETRY_MS = 20
# Bounds the log lines of a queued flow, which may be offered every 20 ms.
MAX_LOGGED_OFFERS = 3
# A flow with terms waits with at most this many agents: with more, most grants
# are for flows that have found a slot elsewhere; one slow backend server in
# three does not hold a flow up.
MAX_WAITING_AGENTS = 3
# Interval at which placement of a flow that waits with agents is tried again.
# They grant it a slot themselves; this replaces entries of agents that left.
# Entries of other agents stay: a flow that moved to another list would count as
# a new one there, because the opening packet does not tell how long it waited.
WAITING_RETRY_MS = 100
# Target states in which an agent declines every new flow.
_DECLINING_STATES = frozenset(_types.TargetState) - {_types.TargetState.READY}


class _PlacementAttempt:
    """Placement of one new flow."""

    def __init__(
        self, forward: _messages.Forward, packet: _types.Packet, now_ms: int
    ):
        self.forward = forward
        self.packet = packet
        self.started_ms = now_ms
        # Agents that are not offered the flow again until it is queued.
        self.excluded_agents: set[core.Address] = set()
        # Agents that declined the flow because their zone is evacuated.
        self.evacuated_agents: set[core.Address] = set()
        # Agents that packets of the client's balancer do not reach.
        self.unreachable_agents: set[core.Address] = set()
        # Agent of the latest offer, None while the flow is queued.
        self.offered_to: core.Address | None = None
        # Agent of a second offer beside the latest one.
        self.also_offered_to: core.Address | None = None
        # Time at which the offer times out, placement of a queued flow is tried
        # again, or an abandoned attempt is removed.
        self.due_ms = 0
        self.busy_decline_count = 0
        self.offer_count = 0
        self.unanswered_offer_count = 0
        self.is_abandoned = False
        self.offered_ms = now_ms
        # Why no agent has accepted the flow so far.
        self.decline_reason = _messages.DeclineReason.UNKNOWN_STATE
        # Whether the flow has been queued here because no agent had room.
        self.is_queued = False
        # Agents on whose waiting lists the flow is, in the order in which it
        # came to be there, with the incarnation of the agent.
        self.waiting_agents: dict[core.Address, int] = {}
        # Agents that keep a slot for the flow while it is offered to another
        # one, with the time of the grant.
        self.grants: dict[core.Address, int] = {}

    def age_ms(self, now_ms: int) -> int:
        """Returns the time since the client's first opening packet."""
        return now_ms - self.started_ms + self.packet.opening_age_ms


class FlowPlacer:
    """Places each new flow at a backend server, or refuses it."""

    def __init__(
        self,
        clock: core.Clock,
        own_instance: _types.Instance,
        fleet: _fleet.Fleet,
        placement: _placement.Placement,
        responsiveness: _responsiveness.Responsiveness,
        second_offer_ratio: float = 0.0,
        evacuation: _evacuation.Evacuations | None = None,
        zone_paths: _zone_paths.ZonePaths | None = None,
    ) -> None:
        """Initializes a placer without new flows.

        Args:
            clock: Source of time.
            own_instance: This agent.
            fleet: View of all instances.
            placement: Policy for new flows.
            responsiveness: Judges the agents by their answers.
            second_offer_ratio: Second offers allowed for each offer.
            evacuation: Evacuated zones, None if there are none.
            zone_paths: Knows which instances are not reached.
        """
        self._responsiveness = responsiveness
        self._evacuation = evacuation or _evacuation.Evacuations(clock)
        self._zone_paths = zone_paths or _zone_paths.ZonePaths(
            clock, own_instance, fleet, responsiveness
        )
        # Ends of the times in which a zone of clients is taken not to reach
        # a zone of agents, by both zones.
        self._unreachable_until_ms: dict[tuple[str, str], int] = {}
        self._clock = clock
        self._own_instance = own_instance
        self._fleet = fleet
        self._placement = placement
        self._attempts: dict[bytes, _PlacementAttempt] = {}
        self._suspect_until_ms: dict[core.Address, int] = {}
        # Agents that have declined a flow because of a cold backend server.
        self._cold_until_ms: dict[core.Address, int] = {}
        # Agents with slow backend servers, for flows with terms.
        self._outliers = _outliers.Outliers(clock)
        self._timer = _response_timer.ResponseTimer(
            OFFER_TIMEOUT_MS, MAX_OFFER_TIMEOUT_MS
        )
        self.second_offers = _second_offer.SecondOffers(
            clock, second_offer_ratio
        )
        # Times of the placements since the last load report of each agent.
        self._recent_placements: dict[core.Address, list[int]] = {}

    def begin(
        self, forward: _messages.Forward, packet: _types.Packet
    ) -> list[_types.Action]:
        """Starts to place a new flow, unless that is already in progress."""
        known = self._attempts.get(packet.flow)
        if known is not None and known.packet.seq == packet.seq:
            # A retransmission; the attempt in progress has its own timeout.
            return []
        attempt = _PlacementAttempt(forward, packet, self._clock.now_ms())
        self._attempts[packet.flow] = attempt
        return self._place(attempt)

    def __len__(self) -> int:
        """Returns the number of new flows that no agent has accepted yet."""
        return len(self._attempts)

    def finish(self, sender: core.Address, flow: bytes) -> list[_types.Action]:
        """Completes a placement after the sender has accepted the flow."""
        self._suspect_until_ms.pop(sender, None)
        attempt = self._attempts.pop(flow, None)
        if attempt is None:
            return []
        now_ms = self._clock.now_ms()
        is_latest_offer = attempt.offered_to == sender
        # The time of an earlier offer is not kept.
        since_ms = attempt.offered_ms if is_latest_offer else attempt.started_ms
        self._timer.record_response(now_ms - since_ms)
        self._record_acceptance(attempt, sender, now_ms - since_ms)
        kind = "waited" if attempt.is_queued else "at-once"
        telemetry.observe("flow_placement", now_ms - attempt.started_ms, kind)
        return self._withdraw(attempt, sender)

    def handle_declined(
        self, sender: core.Address, message: _messages.PlacementDeclined
    ) -> list[_types.Action]:
        """Offers a flow to another agent after the sender has declined it."""
        attempt = self._attempts.get(message.flow)
        if attempt is not None and attempt.offered_to != sender:
            # The agent has given up its waiting list.
            attempt.waiting_agents.pop(sender, None)
            attempt.grants.pop(sender, None)
        if (
            attempt is None
            or attempt.offered_to != sender
            or attempt.is_abandoned
        ):
            return []
        self._timer.record_response(self._clock.now_ms() - attempt.offered_ms)
        if attempt.offer_count <= MAX_LOGGED_OFFERS:
            telemetry.log(
                "flow-declined",
                flow=_types.describe_flow(message.flow),
                holder=sender,
                reason=message.reason.name.lower(),
                busy=message.load.busy_count,
                reserved=message.load.reserved_count,
                slots=message.load.slot_count,
            )
        if message.reason is _messages.DeclineReason.COLD:
            now_ms = self._clock.now_ms()
            self._cold_until_ms[sender] = now_ms + _warm_up.RETRY_MS
        if message.reason is _messages.DeclineReason.EVACUATED:
            attempt.evacuated_agents.add(sender)
        if message.reason is _messages.DeclineReason.UNREACHABLE:
            self._record_unreachable(attempt, sender)
        attempt.decline_reason = message.reason
        if (
            message.reason is _messages.DeclineReason.TOO_LATE
            and not attempt.unanswered_offer_count
        ):
            return self._refuse(attempt)
        if message.reason is not _messages.DeclineReason.BUSY:
            attempt.excluded_agents.add(sender)
        elif attempt.forward.terms is not None:
            objective_ms = attempt.forward.terms.objective_ms
            if _admission.has_room(message.load, 0, objective_ms):
                # Other backend servers may have a free slot.
                attempt.busy_decline_count += 1
                attempt.excluded_agents.add(sender)
            else:
                incarnation = self._incarnation(sender)
                attempt.waiting_agents.setdefault(sender, incarnation)
        else:
            attempt.busy_decline_count += 1
        return self._place(attempt)

    def handle_granted(
        self, sender: core.Address, flow: bytes
    ) -> list[_types.Action]:
        """Offers a waiting flow to the sender, which keeps a slot for it."""
        attempt = self._attempts.get(flow)
        if attempt is None or attempt.is_abandoned:
            return [_messages.Send(sender, _messages.PlacementWithdrawn(flow))]
        attempt.waiting_agents.pop(sender, None)
        attempt.grants[sender] = self._clock.now_ms()
        if attempt.offered_to is not None:
            return []
        return self._place(attempt)

    def record_load(self, sender: core.Address, load: _types.Load) -> None:
        """Records the load of an agent and resets its count of placements."""
        self._fleet.record_load(sender, load)
        self._recent_placements.pop(sender, None)

    def sweep(self) -> list[_types.Action]:
        """Handles unanswered offers and retries queued flows."""
        now_ms = self._clock.now_ms()
        actions: list[_types.Action] = []
        for flow, attempt in tuple(self._attempts.items()):
            if now_ms < attempt.due_ms:
                actions += self._offer_second(attempt)
                continue
            if attempt.is_abandoned:
                del self._attempts[flow]
            elif attempt.offered_to is None:
                actions += self._place(attempt)
            else:
                actions += self._handle_timeout(attempt, attempt.offered_to)
        return actions

    def _offer_second(self, attempt: _PlacementAttempt) -> list[_types.Action]:
        """Offers a flow to a second agent while the first has not answered."""
        first = attempt.offered_to
        if (
            not self.second_offers.limit_ratio
            or first is None
            or attempt.also_offered_to is not None
            or attempt.is_abandoned
        ):
            return []
        now_ms = self._clock.now_ms()
        waiting_count = sum(item.is_queued for item in self._attempts.values())
        age_ms = now_ms - attempt.offered_ms
        terms = attempt.forward.terms
        if not self.second_offers.is_due(terms, age_ms, waiting_count):
            return []
        others = [
            item
            for item in self._candidates(attempt, self._agents(attempt))
            if item.address != first
        ]
        if not others:
            return []
        chosen = self._placement.choose(others, attempt.forward.long_lived)
        self.second_offers.record_second_offer()
        self._recent_placements.setdefault(chosen.address, []).append(now_ms)
        attempt.also_offered_to = chosen.address
        telemetry.log(
            "flow-offered-twice",
            flow=_types.describe_flow(attempt.packet.flow),
            holder=chosen.address,
            first=first,
            age_ms=age_ms,
        )
        return [
            attempt.forward.relay(
                _messages.Handling.PLACE,
                self._own_instance.address,
                chosen.address,
                attempt.packet,
            )
        ]

    def _record_acceptance(
        self, attempt: _PlacementAttempt, sender: core.Address, elapsed_ms: int
    ) -> None:
        """Records how an accepted flow was offered."""
        first, second = attempt.offered_to, attempt.also_offered_to
        if sender == first:
            self.second_offers.record_acceptance(elapsed_ms)
        if first is not None and second is not None:
            is_second = sender == second
            loser = first if is_second else second
            self.second_offers.record_outcome(
                attempt.packet.flow, is_second, loser
            )

    def _handle_timeout(
        self, attempt: _PlacementAttempt, offered_to: core.Address
    ) -> list[_types.Action]:
        """Offers a flow to another agent after an offer has timed out."""
        now_ms = self._clock.now_ms()
        telemetry.log(
            "flow-placement-timeout",
            flow=_types.describe_flow(attempt.packet.flow),
            holder=offered_to,
        )
        self._timer.record_timeout()
        self._suspect_until_ms[offered_to] = now_ms + SUSPECT_MS
        attempt.excluded_agents.add(offered_to)
        attempt.unanswered_offer_count += 1
        if attempt.unanswered_offer_count < MAX_UNANSWERED_OFFERS:
            return self._place(attempt)
        return self._abandon(attempt)

    def _abandon(self, attempt: _PlacementAttempt) -> list[_types.Action]:
        """Stops the placement of a flow that is left without an answer.

        The attempt is kept because a late acceptance still updates the timer.
        """
        attempt.is_abandoned = True
        attempt.due_ms = self._clock.now_ms() + MAX_OFFER_TIMEOUT_MS
        actions = self._withdraw(attempt, None)
        attempt.waiting_agents.clear()
        attempt.grants.clear()
        return actions

    def _place(self, attempt: _PlacementAttempt) -> list[_types.Action]:
        """Offers a new flow to an agent, or queues it if none has room."""
        agents = self._agents(attempt)
        if not agents and self._is_evacuated():
            attempt.decline_reason = _messages.DeclineReason.EVACUATED
            return self._refuse(attempt)
        if self._is_too_late(attempt):
            attempt.decline_reason = _messages.DeclineReason.TOO_LATE
            if attempt.unanswered_offer_count:
                # A slow agent may have opened the flow.
                return self._abandon(attempt)
            return self._refuse(attempt)
        candidates: Sequence[_placement.Candidate] = self._granting(attempt)
        if not candidates:
            self._discard_ended_waits(attempt)
            candidates = self._candidates(attempt, agents)
        if not candidates:
            return self._queue(attempt)
        chosen = self._placement.choose(candidates, attempt.forward.long_lived)
        now_ms = self._clock.now_ms()
        self._recent_placements.setdefault(chosen.address, []).append(now_ms)
        self._responsiveness.record_query(chosen.address)
        self._outliers.record_offer(chosen.address)
        attempt.offered_to = chosen.address
        attempt.offered_ms = now_ms
        self.second_offers.record_offer()
        attempt.due_ms = now_ms + self._timer.timeout_ms()
        allow_queueing = (
            attempt.busy_decline_count + len(attempt.waiting_agents)
            >= MAX_BUSY_DECLINES
            or len(candidates) == 1
        )
        attempt.offer_count += 1
        if attempt.offer_count <= MAX_LOGGED_OFFERS:
            telemetry.log(
                "flow-placed",
                flow=_types.describe_flow(attempt.packet.flow),
                holder=chosen.address,
                busy=chosen.load.busy_count,
                reserved=chosen.load.reserved_count,
                lasting=chosen.load.long_lived_count,
                service_ms=chosen.load.service_ms,
                age_ms=self._fleet.keepalive_age_ms(chosen.address),
                candidates=len(candidates),
                firm=allow_queueing,
            )
        # The flow may have waited since its opening packet arrived.
        forward = attempt.forward.with_newest(self._evacuation.view)
        return [
            forward.relay(
                _messages.Handling.PLACE,
                self._own_instance.address,
                chosen.address,
                attempt.packet,
                allow_queueing,
            )
        ]

    def _queue(self, attempt: _PlacementAttempt) -> list[_types.Action]:
        """Queues a new flow, or refuses it after its time limit."""
        now_ms = self._clock.now_ms()
        flow = attempt.packet.flow
        has_terms = attempt.forward.terms is not None
        if not has_terms and now_ms - attempt.started_ms >= QUEUE_LIMIT_MS:
            return self._refuse(attempt)
        is_newly_queued = not attempt.is_queued
        attempt.offered_to = None
        attempt.is_queued = True
        attempt.due_ms = now_ms + (
            WAITING_RETRY_MS if has_terms else QUEUE_RETRY_MS
        )
        # Agents that declined the flow may accept it on the next try.
        attempt.excluded_agents.clear()
        if not is_newly_queued:
            return []
        self._log_queued(attempt)
        return [
            _messages.Send(
                attempt.forward.balancer, _messages.PlacementQueued(flow)
            )
        ]

    def _refuse(self, attempt: _PlacementAttempt) -> list[_types.Action]:
        """Refuses a new flow, which no backend server has received."""
        flow = attempt.packet.flow
        del self._attempts[flow]
        telemetry.log(
            "flow-refused",
            flow=_types.describe_flow(flow),
            reason=attempt.decline_reason.name.lower(),
            offers=attempt.offer_count,
            waited_ms=self._clock.now_ms() - attempt.started_ms,
        )
        refusal = _messages.PlacementRefused(flow, attempt.decline_reason)
        return [
            _messages.Send(attempt.forward.balancer, refusal),
            *self._withdraw(attempt, None),
        ]

    def _is_too_late(self, attempt: _PlacementAttempt) -> bool:
        """Returns whether a flow with terms can no longer be served."""
        terms = attempt.forward.terms
        if terms is None:
            return False
        now_ms = self._clock.now_ms()
        own_load = self._fleet.load(self._own_instance.address)
        return attempt.age_ms(now_ms) > _admission.latest_start_ms(
            terms.limit_ms, own_load.service_ms
        )

    def _discard_ended_waits(self, attempt: _PlacementAttempt) -> None:
        """Forgets waits at agents that have restarted or accept no flow."""
        for agent, incarnation in tuple(attempt.waiting_agents.items()):
            if (
                self._incarnation(agent) != incarnation
                or self._fleet.load(agent).state in _DECLINING_STATES
            ):
                del attempt.waiting_agents[agent]

    def _incarnation(self, agent: core.Address) -> int:
        instance = self._fleet.find(agent)
        return -1 if instance is None else instance.incarnation

    def _withdraw(
        self, attempt: _PlacementAttempt, holder: core.Address | None
    ) -> list[_types.Action]:
        """Ends the wait of a flow at all agents but its holder."""
        message = _messages.PlacementWithdrawn(attempt.packet.flow)
        agents = {**attempt.waiting_agents, **attempt.grants}
        return [
            _messages.Send(agent, message)
            for agent in agents
            if agent != holder
        ]

    def _granting(
        self, attempt: _PlacementAttempt
    ) -> list[_placement.Candidate]:
        """Returns the agent that has kept a slot for the flow longest."""
        oldest_ms = self._clock.now_ms() - _admission.GRANT_MS
        while attempt.grants:
            agent = next(iter(attempt.grants))
            granted_ms = attempt.grants.pop(agent)
            if granted_ms > oldest_ms and agent in self._fleet:
                return [_placement.Candidate(agent, self._fleet.load(agent))]
        return []

    def _log_queued(self, attempt: _PlacementAttempt) -> None:
        agents = self._fleet.agents(self._own_instance.service)
        loads = [self._expected_load(agent.address) for agent in agents]
        telemetry.log(
            "flow-waits",
            flow=_types.describe_flow(attempt.packet.flow),
            reason=attempt.decline_reason.name.lower(),
            agents=len(loads),
            slots=sum(load.slot_count for load in loads),
            busy=sum(load.busy_count for load in loads),
            reserved=sum(load.reserved_count for load in loads),
            placed=sum(
                self._recent_placement_count(item.address) for item in agents
            ),
        )

    def _agents(self, attempt: _PlacementAttempt) -> Sequence[_types.Instance]:
        """Returns the agents of the service that are not evacuated."""
        agents = self._fleet.agents(self._own_instance.service)
        zones = self._evacuation.zones
        if not zones and not attempt.evacuated_agents:
            return agents
        return [
            agent
            for agent in agents
            if agent.availability_zone not in zones
            and agent.address not in attempt.evacuated_agents
        ]

    def _is_evacuated(self) -> bool:
        """Returns whether a service without such agents is evacuated.

        Agents elsewhere may be missing before the first read of the registry.
        """
        agents = self._fleet.agents(self._own_instance.service)
        return bool(agents) and self._fleet.is_complete

    def _candidates(
        self,
        attempt: _PlacementAttempt,
        agents: Sequence[_types.Instance],
    ) -> Sequence[_placement.Candidate]:
        """Returns the agents with room.

        An agent has room while its backend server is below the limit of pending
        requests for each slot. Suspects, silent agents and agents whose target
        state is unknown are a last resort.
        """
        if len(attempt.waiting_agents) >= MAX_WAITING_AGENTS:
            return []
        now_ms = self._clock.now_ms()
        client_zone = self._client_zone(attempt)
        terms = attempt.forward.terms
        if terms is not None and self._outliers.is_due():
            self._compare_agents()
        preferred: list[_placement.Candidate] = []
        cold: list[_placement.Candidate] = []
        full: list[_placement.Candidate] = []
        last_resort: list[_placement.Candidate] = []
        for agent in agents:
            if (
                agent.address in attempt.excluded_agents
                or agent.address in attempt.waiting_agents
                or agent.address in attempt.unreachable_agents
            ):
                continue
            load = self._expected_load(agent.address)
            candidate = _placement.Candidate(
                agent.address,
                load,
                self._recent_placement_count(agent.address),
                agent.availability_zone == client_zone,
            )
            is_load_known = self._fleet.is_load_known(agent.address)
            if is_load_known and load.state in _DECLINING_STATES:
                continue
            if self._cold_until_ms.get(agent.address, 0) > now_ms:
                attempt.decline_reason = _messages.DeclineReason.COLD
                continue
            if terms is None:
                has_room = _placement.has_room(load, candidate.placed_count)
            else:
                has_room = _admission.has_room(
                    load, candidate.placed_count, terms.objective_ms
                )
            if not self._is_path_open(agent, client_zone):
                if has_room:
                    last_resort.append(candidate)
                continue
            is_preferred = (
                load.state is _types.TargetState.READY
                and (terms is None or self._outliers.accepts(agent.address))
                and self._suspect_until_ms.get(agent.address, 0) <= now_ms
                and self._is_in_touch(agent.address)
            )
            if not has_room:
                attempt.decline_reason = _messages.DeclineReason.BUSY
                if is_preferred:
                    full.append(candidate)
            elif is_preferred:
                is_cold = load.warmup_left_ms and self._is_cold(agent.address)
                (cold if is_cold else preferred).append(candidate)
            else:
                last_resort.append(candidate)
        warm = _warm_up.prefer_warm(preferred, cold)
        if terms is None:
            return warm or last_resort
        # Without room, an agent takes the flow on its waiting list.
        return warm or full or last_resort

    def _client_zone(self, attempt: _PlacementAttempt) -> str:
        """Returns the zone of a client, which sends to balancers there."""
        balancer = self._fleet.find(attempt.forward.balancer)
        return (balancer or self._own_instance).availability_zone

    def _record_unreachable(
        self, attempt: _PlacementAttempt, agent: core.Address
    ) -> None:
        attempt.unreachable_agents.add(agent)
        instance = self._fleet.find(agent)
        if instance is not None:
            zones = (self._client_zone(attempt), instance.availability_zone)
            self._unreachable_until_ms[zones] = (
                self._clock.now_ms() + UNREACHABLE_MS
            )

    def _is_path_open(self, agent: _types.Instance, client_zone: str) -> bool:
        """Returns whether offers and packets of the client reach an agent."""
        if agent.address == self._own_instance.address:
            return self._zone_paths.is_heard(client_zone)
        if self._unreachable_until_ms:
            zones = (client_zone, agent.availability_zone)
            until_ms = self._unreachable_until_ms.get(zones, 0)
            if self._clock.now_ms() < until_ms:
                return False
        return self._zone_paths.is_reachable(agent.address)

    def _is_cold(self, address: core.Address) -> bool:
        """Returns whether a backend server is cold, by its last report."""
        age_ms = self._fleet.keepalive_age_ms(address) or 0
        return age_ms < self._fleet.load(address).warmup_left_ms

    def _is_in_touch(self, address: core.Address) -> bool:
        """Returns whether an agent answers and reports its load on time."""
        if address == self._own_instance.address:
            return True
        return not self._fleet.is_silent(
            address
        ) and not self._responsiveness.is_unresponsive(address)

    def _compare_agents(self) -> None:
        agents = self._fleet.agents(self._own_instance.service)
        self._outliers.update(
            {item.address: self._fleet.load(item.address) for item in agents}
        )

    def _expected_load(self, address: core.Address) -> _types.Load:
        """Estimates the current load of an agent from its last report.

        Each keepalive reports the load, so the report has the same age.
        """
        load = self._fleet.load(address)
        if not load.pending_count:
            return load
        age_ms = self._fleet.keepalive_age_ms(address) or 0
        return _placement.expected_load(load, age_ms)

    def _recent_placement_count(self, address: core.Address) -> int:
        """Returns the number of flows placed since the last load report.

        A flow counts only as long as its agent would reserve a slot for it.
        """
        known_times = self._recent_placements.get(address)
        if not known_times:
            return 0
        oldest_ms = self._clock.now_ms() - _flow_tracker.RESERVATION_MS
        times = [
            placed_ms for placed_ms in known_times if placed_ms >= oldest_ms
        ]
        self._recent_placements[address] = times
        return len(times)
