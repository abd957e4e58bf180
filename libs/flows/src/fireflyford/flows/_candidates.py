"""Agents to which a directory agent may offer a new flow."""

from collections.abc import Sequence

from fireflyford import core
from fireflyford.flows import _admission
from fireflyford.flows import _evacuation
from fireflyford.flows import _fleet
from fireflyford.flows import _flow_tracker
from fireflyford.flows import _messages
from fireflyford.flows import _outliers
from fireflyford.flows import _placement
from fireflyford.flows import _placement_attempt
from fireflyford.flows import _responsiveness
from fireflyford.flows import _types
from fireflyford.flows import _warm_up
from fireflyford.flows import _zone_paths

# An agent that has not answered an offer in time is a suspect for this time: it
# is offered flows only if no other agent has room.
SUSPECT_MS = 1_000
# After an agent has declined a flow because the client's zone does not reach
# it, its zone is the last resort for flows of that zone for this time. Each
# flow would otherwise cost a declined offer; the path may return meanwhile.
UNREACHABLE_MS = 500
# A flow with terms waits with at most this many agents: with more, most grants
# are for flows that have found a slot elsewhere; one slow backend server in
# three does not hold a flow up.
MAX_WAITING_AGENTS = 3


class Candidates:
    """Knows which agents of a service may accept a new flow.

    Combines their loads with what keeps flows away from them: evacuated zones,
    paths that are lost, agents that do not answer, cold and slow backend
    servers.
    """

    def __init__(
        self,
        clock: core.Clock,
        own_instance: _types.Instance,
        fleet: _fleet.Fleet,
        responsiveness: _responsiveness.Responsiveness,
        evacuation: _evacuation.Evacuations,
        zone_paths: _zone_paths.ZonePaths,
    ) -> None:
        """Initializes the candidates of an agent's service.

        Args:
            clock: Source of time.
            own_instance: The directory agent.
            fleet: View of all instances.
            responsiveness: Judges the agents by their answers.
            evacuation: Evacuated zones.
            zone_paths: Knows which instances are not reached.
        """
        self._clock = clock
        self._own_instance = own_instance
        self._fleet = fleet
        self._responsiveness = responsiveness
        self._evacuation = evacuation
        self._zone_paths = zone_paths
        self._suspect_until_ms: dict[core.Address, int] = {}
        # Agents that have declined a flow because of a cold backend server.
        self._cold_until_ms: dict[core.Address, int] = {}
        # Ends of the times in which a zone of clients is taken not to reach
        # a zone of agents, by both zones.
        self._unreachable_until_ms: dict[tuple[str, str], int] = {}
        # Agents with slow backend servers, for flows with terms.
        self._outliers = _outliers.Outliers(clock)
        # Times of the offers since the last load report of each agent.
        self._recent_offers: dict[core.Address, list[int]] = {}

    def record_offer(self, agent: core.Address) -> None:
        """Records an offer of a flow, which the agent's load does not show."""
        now_ms = self._clock.now_ms()
        self._recent_offers.setdefault(agent, []).append(now_ms)
        self._outliers.record_offer(agent)

    def record_load(self, agent: core.Address) -> None:
        """Records that a load report shows all earlier offers."""
        self._recent_offers.pop(agent, None)

    def record_timeout(self, agent: core.Address) -> None:
        """Records that an agent has not answered an offer in time."""
        self._suspect_until_ms[agent] = self._clock.now_ms() + SUSPECT_MS

    def record_acceptance(self, agent: core.Address) -> None:
        """Records that an agent has accepted a flow."""
        self._suspect_until_ms.pop(agent, None)

    def record_declined(
        self,
        attempt: _placement_attempt.PlacementAttempt,
        agent: core.Address,
        reason: _messages.DeclineReason,
    ) -> None:
        """Records what a decline shows about an agent."""
        if reason is _messages.DeclineReason.COLD:
            now_ms = self._clock.now_ms()
            self._cold_until_ms[agent] = now_ms + _warm_up.RETRY_MS
        elif reason is _messages.DeclineReason.EVACUATED:
            attempt.evacuated_agents.add(agent)
        elif reason is _messages.DeclineReason.UNREACHABLE:
            self._record_unreachable(attempt, agent)

    def expected_loads(self) -> list[_types.Load]:
        """Returns the expected loads of all agents of the service."""
        agents = self._fleet.agents(self._own_instance.service)
        return [self._expected_load(agent.address) for agent in agents]

    def recent_offer_count(self) -> int:
        """Returns the number of offers that no load report shows yet."""
        agents = self._fleet.agents(self._own_instance.service)
        return sum(self._recent_offer_count(item.address) for item in agents)

    def agents(
        self, attempt: _placement_attempt.PlacementAttempt
    ) -> Sequence[_types.Instance]:
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

    def is_evacuated(self) -> bool:
        """Returns whether a service without such agents is evacuated.

        Agents elsewhere may be missing before the first read of the registry.
        """
        agents = self._fleet.agents(self._own_instance.service)
        return bool(agents) and self._fleet.is_complete

    def find(
        self,
        attempt: _placement_attempt.PlacementAttempt,
        agents: Sequence[_types.Instance],
    ) -> Sequence[_placement.Candidate]:
        """Returns the agents with room.

        An agent has room while its backend server is below the limit of pending
        requests for each slot. Suspects, silent agents and agents whose target
        state is unknown are a last resort.
        """
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
                self._recent_offer_count(agent.address),
                agent.availability_zone == client_zone,
            )
            is_load_known = self._fleet.is_load_known(agent.address)
            if is_load_known and (
                load.state in _messages.STATE_DECLINE_REASONS
            ):
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
        if len(attempt.waiting_agents) >= MAX_WAITING_AGENTS:
            return warm
        # Without room, an agent takes the flow on its waiting list.
        return warm or full or last_resort

    def _client_zone(self, attempt: _placement_attempt.PlacementAttempt) -> str:
        """Returns the zone of a client, which sends to balancers there."""
        balancer = self._fleet.find(attempt.forward.balancer)
        return (balancer or self._own_instance).availability_zone

    def _record_unreachable(
        self, attempt: _placement_attempt.PlacementAttempt, agent: core.Address
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

    def _recent_offer_count(self, address: core.Address) -> int:
        """Returns the number of offers since the last load report.

        A flow counts only as long as its agent would reserve a slot for it.
        """
        known_times = self._recent_offers.get(address)
        if not known_times:
            return 0
        oldest_ms = self._clock.now_ms() - _flow_tracker.RESERVATION_MS
        times = [
            placed_ms for placed_ms in known_times if placed_ms >= oldest_ms
        ]
        self._recent_offers[address] = times
        return len(times)
