"""Placement of new flows by their directory agent.

The directory agent offers a flow to one agent after another until one accepts
it. An offer is the opening packet, relayed with `Handling.PLACE`.
"""

from collections.abc import Sequence

from fireflyford import core
from fireflyford import telemetry
from fireflyford.flows import _admission
from fireflyford.flows import _candidates
from fireflyford.flows import _evacuation
from fireflyford.flows import _fleet
from fireflyford.flows import _messages
from fireflyford.flows import _placement
from fireflyford.flows import _placement_attempt
from fireflyford.flows import _response_timer
from fireflyford.flows import _responsiveness
from fireflyford.flows import _second_offer
from fireflyford.flows import _types
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
# Interval at which placement of a flow that waits with agents is tried again.
# They grant it a slot themselves, but another agent may have room sooner, and
# entries of agents that left are replaced. Other entries stay: a flow that
# moved to another list would count as a new one there, because the opening
# packet does not tell how long it waited.
WAITING_RETRY_MS = 20
# Time after which a wait at an agent that reports room is taken for lost; a
# report may be older than the wait before.
MIN_WAIT_MS = 100


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
        self._candidates = _candidates.Candidates(
            clock,
            own_instance,
            fleet,
            responsiveness,
            self._evacuation,
            zone_paths
            or _zone_paths.ZonePaths(
                clock, own_instance, fleet, responsiveness
            ),
        )
        self._clock = clock
        self._own_instance = own_instance
        self._fleet = fleet
        self._placement = placement
        self._attempts: dict[bytes, _placement_attempt.PlacementAttempt] = {}
        self._timer = _response_timer.ResponseTimer(
            OFFER_TIMEOUT_MS, MAX_OFFER_TIMEOUT_MS
        )
        self.second_offers = _second_offer.SecondOffers(
            clock, second_offer_ratio
        )

    def begin(
        self, forward: _messages.Forward, packet: _types.Packet
    ) -> list[_types.Action]:
        """Starts to place a new flow, unless that is already in progress."""
        known = self._attempts.get(packet.flow)
        if known is not None and known.packet.seq == packet.seq:
            # A retransmission; the attempt in progress has its own timeout.
            if known.is_queued and not known.is_abandoned:
                return [
                    _messages.Send(
                        forward.balancer,
                        _messages.PlacementQueued(packet.flow),
                    )
                ]
            return []
        attempt = _placement_attempt.PlacementAttempt(
            forward, packet, self._clock.now_ms()
        )
        self._attempts[packet.flow] = attempt
        return self._place(attempt)

    def __len__(self) -> int:
        """Returns the number of new flows that no agent has accepted yet."""
        return len(self._attempts)

    def finish(self, sender: core.Address, flow: bytes) -> list[_types.Action]:
        """Completes a placement after the sender has accepted the flow."""
        self._candidates.record_acceptance(sender)
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
        self._candidates.record_declined(attempt, sender, message.reason)
        attempt.decline_reason = message.reason
        if (
            message.reason is _messages.DeclineReason.TOO_LATE
            and not attempt.unanswered_offer_count
        ):
            return self._refuse(attempt)
        withdrawn: list[_types.Action] = []
        if message.reason is not _messages.DeclineReason.BUSY:
            attempt.excluded_agents.add(sender)
        elif attempt.forward.terms is not None:
            objective_ms = attempt.forward.terms.objective_ms
            if _admission.has_room(message.load, 0, objective_ms):
                # Other backend servers may have a free slot.
                attempt.busy_decline_count += 1
                attempt.excluded_agents.add(sender)
            elif len(attempt.waiting_agents) >= _candidates.MAX_WAITING_AGENTS:
                attempt.excluded_agents.add(sender)
                withdrawal = _messages.PlacementWithdrawn(message.flow)
                withdrawn = [_messages.Send(sender, withdrawal)]
            else:
                wait = (self._incarnation(sender), self._clock.now_ms())
                attempt.waiting_agents.setdefault(sender, wait)
        else:
            attempt.busy_decline_count += 1
        return [*withdrawn, *self._place(attempt)]

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
        self._candidates.record_load(sender)

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

    def _offer_second(
        self, attempt: _placement_attempt.PlacementAttempt
    ) -> list[_types.Action]:
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
        age_ms = now_ms - attempt.offered_ms
        if not self.second_offers.is_due(attempt.forward.terms, age_ms):
            return []
        if any(item.is_queued for item in self._attempts.values()):
            # Flows wait for a backend server with room.
            return []
        others = [
            item
            for item in self._candidates.find(
                attempt, self._candidates.agents(attempt)
            )
            if item.address != first
        ]
        if not others:
            return []
        chosen = self._placement.choose(others, attempt.forward.long_lived)
        self.second_offers.record_second_offer()
        self._candidates.record_offer(chosen.address)
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
        self,
        attempt: _placement_attempt.PlacementAttempt,
        sender: core.Address,
        elapsed_ms: int,
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
        self,
        attempt: _placement_attempt.PlacementAttempt,
        offered_to: core.Address,
    ) -> list[_types.Action]:
        """Offers a flow to another agent after an offer has timed out."""
        telemetry.log(
            "flow-placement-timeout",
            flow=_types.describe_flow(attempt.packet.flow),
            holder=offered_to,
        )
        self._timer.record_timeout()
        self._candidates.record_timeout(offered_to)
        attempt.excluded_agents.add(offered_to)
        attempt.unanswered_offer_count += 1
        if attempt.unanswered_offer_count < MAX_UNANSWERED_OFFERS:
            return self._place(attempt)
        return self._abandon(attempt)

    def _abandon(
        self, attempt: _placement_attempt.PlacementAttempt
    ) -> list[_types.Action]:
        """Stops the placement of a flow that is left without an answer.

        The attempt is kept because a late acceptance still updates the timer.
        """
        attempt.is_abandoned = True
        attempt.due_ms = self._clock.now_ms() + MAX_OFFER_TIMEOUT_MS
        actions = self._withdraw(attempt, None)
        attempt.waiting_agents.clear()
        attempt.grants.clear()
        return actions

    def _place(
        self, attempt: _placement_attempt.PlacementAttempt
    ) -> list[_types.Action]:
        """Offers a new flow to an agent, or queues it if none has room."""
        agents = self._candidates.agents(attempt)
        if not agents and self._candidates.is_evacuated():
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
            candidates = self._candidates.find(attempt, agents)
        if not candidates:
            return self._queue(attempt)
        chosen = self._placement.choose(candidates, attempt.forward.long_lived)
        now_ms = self._clock.now_ms()
        self._candidates.record_offer(chosen.address)
        self._responsiveness.record_query(chosen.address)
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

    def _queue(
        self, attempt: _placement_attempt.PlacementAttempt
    ) -> list[_types.Action]:
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

    def _refuse(
        self, attempt: _placement_attempt.PlacementAttempt
    ) -> list[_types.Action]:
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

    def _is_too_late(
        self, attempt: _placement_attempt.PlacementAttempt
    ) -> bool:
        """Returns whether a flow with terms can no longer be served."""
        terms = attempt.forward.terms
        if terms is None:
            return False
        now_ms = self._clock.now_ms()
        own_load = self._fleet.load(self._own_instance.address)
        return attempt.age_ms(now_ms) > _admission.latest_start_ms(
            terms.limit_ms, own_load.service_ms
        )

    def _discard_ended_waits(
        self, attempt: _placement_attempt.PlacementAttempt
    ) -> None:
        """Forgets waits that no grant will end.

        The agent has restarted or accepts no flow, or it has had room for a
        while, so that its entry or its grant is lost.
        """
        terms = attempt.forward.terms
        if terms is None:
            return
        oldest_ms = self._clock.now_ms() - MIN_WAIT_MS
        for agent, wait in tuple(attempt.waiting_agents.items()):
            incarnation, since_ms = wait
            load = self._fleet.load(agent)
            has_room = _admission.has_room(load, 0, terms.objective_ms)
            if (
                self._incarnation(agent) != incarnation
                or load.state in _messages.STATE_DECLINE_REASONS
                or (since_ms < oldest_ms and has_room)
            ):
                del attempt.waiting_agents[agent]

    def _incarnation(self, agent: core.Address) -> int:
        instance = self._fleet.find(agent)
        return -1 if instance is None else instance.incarnation

    def _withdraw(
        self,
        attempt: _placement_attempt.PlacementAttempt,
        holder: core.Address | None,
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
        self, attempt: _placement_attempt.PlacementAttempt
    ) -> list[_placement.Candidate]:
        """Returns the agent that has kept a slot for the flow longest."""
        oldest_ms = self._clock.now_ms() - _admission.GRANT_MS
        while attempt.grants:
            agent = next(iter(attempt.grants))
            granted_ms = attempt.grants.pop(agent)
            if granted_ms > oldest_ms and agent in self._fleet:
                return [_placement.Candidate(agent, self._fleet.load(agent))]
        return []

    def _log_queued(self, attempt: _placement_attempt.PlacementAttempt) -> None:
        loads = self._candidates.expected_loads()
        telemetry.log(
            "flow-waits",
            flow=_types.describe_flow(attempt.packet.flow),
            reason=attempt.decline_reason.name.lower(),
            agents=len(loads),
            slots=sum(load.slot_count for load in loads),
            busy=sum(load.busy_count for load in loads),
            reserved=sum(load.reserved_count for load in loads),
            placed=self._candidates.recent_offer_count(),
        )
