"""Search by a directory agent for the holders of flows without an entry.

A flow is not found when all agents of the service have answered that they do
not hold it. For flows whose requests may be repeated, agents that have become
unresponsive are not waited for: a client whose flow is reset in time can repeat
its request. Such a search keeps the answers until then.
"""

from collections.abc import Iterable
import dataclasses

from fireflyford import core
from fireflyford import telemetry
from fireflyford.flows import _fleet
from fireflyford.flows import _messages
from fireflyford.flows import _response_timer
from fireflyford.flows import _responsiveness
from fireflyford.flows import _types

# Bounds of the time limit for answers to a search, which follows the measured
# response times. The minimum is below the 200 ms after which the client
# retransmits its packet.
SEARCH_TIMEOUT_MS = 150
MAX_SEARCH_TIMEOUT_MS = 1_000
# Minimum delay after a failed search before the next one for the same flow;
# balancers and the client keep sending its packets.
SEARCH_RETRY_DELAY_MS = 250
# A search for a flow whose requests may be repeated asks the silent agents
# again at this interval, the same at which other flows are searched anew.
SEARCH_REPEAT_MS = SEARCH_TIMEOUT_MS + SEARCH_RETRY_DELAY_MS
# End of such a search: its client has by then given up.
SEARCH_LIMIT_MS = 1_500
# Packets of one flow that are queued during a search: one window of the client.
MAX_QUEUED_PACKETS = 16
# Limit of searches in progress; a packet that would need another is dropped.
MAX_SEARCHES = 4_096
# A directory agent that has just started may not know agents without a registry
# entry. Until their heartbeats have had time to arrive, and as long as the
# instances have not been listed, a search never reports a flow as not found.
STARTUP_GRACE_MS = 300


class _Search:
    """Search for the holder of one flow."""

    def __init__(
        self,
        forward: _messages.Forward,
        packet: _types.Packet,
        now_ms: int,
        deadline_ms: int,
    ):
        self.forward = forward
        self.started_ms = now_ms
        self.deadline_ms = deadline_ms
        # Time of the last query of all awaited agents.
        self.asked_ms = now_ms
        self.is_overdue = False
        self.asked_agents: set[core.Address] = set()
        self.awaited_agents: set[core.Address] = set()
        # The first packet is sent with the search itself.
        self.packets = [packet]


@dataclasses.dataclass(frozen=True, slots=True)
class _Failure:
    """A search without a holder.

    Attributes:
        failed_ms: Time of its end.
        is_known: Whether the agents have answered that they do not hold the
            flow; otherwise it has timed out.
    """

    failed_ms: int
    is_known: bool


class HolderSearches:
    """Asks all agents of a service for the holders of flows."""

    def __init__(
        self,
        clock: core.Clock,
        own_instance: _types.Instance,
        fleet: _fleet.Fleet,
        responsiveness: _responsiveness.Responsiveness,
    ) -> None:
        """Initializes the searches of an agent with none in progress.

        Args:
            clock: Source of time.
            own_instance: This agent.
            fleet: View of all instances.
            responsiveness: Judges the agents by their answers.
        """
        self._responsiveness = responsiveness
        self._clock = clock
        self._started_ms = clock.now_ms()
        self._own_instance = own_instance
        self._fleet = fleet
        self._searches: dict[bytes, _Search] = {}
        self._timer = _response_timer.ResponseTimer(
            SEARCH_TIMEOUT_MS, MAX_SEARCH_TIMEOUT_MS
        )
        # Agents were removed from running searches for this view of the fleet.
        self._generation = fleet.generation
        # The last failed search for each flow, oldest first.
        self._failures: dict[bytes, _Failure] = {}

    def __len__(self) -> int:
        """Returns the number of searches in progress."""
        return len(self._searches)

    def begin(
        self, forward: _messages.Forward, packet: _types.Packet
    ) -> list[_types.Action]:
        """Sends a packet to all agents, to be delivered by the holder."""
        search = self._searches.get(packet.flow)
        if search is not None:
            if len(search.packets) < MAX_QUEUED_PACKETS:
                search.packets.append(packet)
            # The balancer that has asked last waits for the answer.
            search.forward = forward
            return self._report_wait(packet.flow, search)
        now_ms = self._clock.now_ms()
        failure = self._failures.get(packet.flow)
        if (
            failure is not None
            and now_ms - failure.failed_ms < SEARCH_RETRY_DELAY_MS
        ):
            # The client's next copy may have passed the answer on its way.
            if failure.is_known and forward.long_lived:
                return [self._report_not_found(forward, packet)]
            return []
        if len(self._searches) >= MAX_SEARCHES:
            return []
        deadline_ms = now_ms + self._timer.timeout_ms()
        search = _Search(forward, packet, now_ms, deadline_ms)
        agents = self._fleet.agents(self._own_instance.service)
        search.awaited_agents = {agent.address for agent in agents}
        search.asked_agents = set(search.awaited_agents)
        self._searches[packet.flow] = search
        telemetry.log(
            "flow-searched",
            flow=_types.describe_flow(packet.flow),
            agents=len(search.awaited_agents),
        )
        return self._ask(search, search.awaited_agents)

    def _ask(
        self, search: _Search, agents: Iterable[core.Address]
    ) -> list[_types.Action]:
        """Sends the last packet of a search to agents."""
        own_address = self._own_instance.address
        handling = _messages.Handling.SEARCH
        send = search.forward.relay(
            handling, own_address, own_address, search.packets[-1]
        )
        actions: list[_types.Action] = []
        for address in agents:
            self._responsiveness.record_query(address)
            actions.append(_messages.Send(address, send.message))
        return actions

    def finish(self, flow: bytes, holder: core.Address) -> list[_types.Action]:
        """Completes the search for a flow; queued packets go to the holder."""
        search = self._searches.pop(flow, None)
        if search is None:
            return []
        handling = _messages.Handling.HELD
        return [
            search.forward.relay(
                handling, self._own_instance.address, holder, packet
            )
            for packet in search.packets[1:]
        ]

    def handle_not_held(
        self, sender: core.Address, flow: bytes
    ) -> list[_types.Action]:
        """Records that the sender does not hold a flow.

        When all agents have answered so, the balancer is notified.
        """
        search = self._searches.get(flow)
        if search is None:
            return []
        search.awaited_agents.discard(sender)
        if not search.awaited_agents:
            return self._conclude(flow, search)
        is_unresponsive = self._responsiveness.is_unresponsive
        if (
            search.forward.long_lived
            and all(map(is_unresponsive, search.awaited_agents))
            and search.awaited_agents <= self._unresponsive()
        ):
            return self._conclude_without_silent(flow, search)
        return []

    def _unresponsive(self) -> frozenset[core.Address]:
        """Returns the agents for which no repeatable request waits."""
        agents = self._fleet.agents(self._own_instance.service)
        return self._responsiveness.unresponsive(
            agent.address for agent in agents
        )

    def _may_miss_agents(self) -> bool:
        """Returns whether there may be agents that were not asked."""
        age_ms = self._clock.now_ms() - self._started_ms
        return age_ms < STARTUP_GRACE_MS or not self._fleet.is_complete

    def _conclude_without_silent(
        self, flow: bytes, search: _Search
    ) -> list[_types.Action]:
        """Ends a search for which only unresponsive agents are awaited."""
        if self._may_miss_agents():
            return []
        telemetry.log(
            "flow-search-cut-short",
            flow=_types.describe_flow(flow),
            silent_count=len(search.awaited_agents),
            silent=min(search.awaited_agents, default=None),
            searched_ms=self._clock.now_ms() - search.started_ms,
        )
        return self._conclude(flow, search)

    def _conclude(self, flow: bytes, search: _Search) -> list[_types.Action]:
        """Ends a search without a holder and notifies the balancer.

        Agents that have appeared since the start of the search are asked first.
        """
        agents = self._fleet.agents(self._own_instance.service)
        found = {item.address for item in agents} - search.asked_agents
        if found:
            search.awaited_agents |= found
            search.asked_agents |= found
            return self._ask(search, found)
        del self._searches[flow]
        now_ms = self._clock.now_ms()
        if not search.is_overdue:
            self._timer.record_response(now_ms - search.started_ms)
        if self._may_miss_agents():
            return []
        self._record_failure(flow, is_known=True)
        telemetry.log(
            "flow-unknown",
            flow=_types.describe_flow(flow),
            service=self._own_instance.service,
        )
        return [self._report_not_found(search.forward, search.packets[-1])]

    def _report_not_found(
        self, forward: _messages.Forward, last: _types.Packet
    ) -> _messages.Send:
        """Returns the answer to the balancer that no agent holds a flow."""
        # A client repeats data and the end of a flow until they are answered.
        expects_response = last.payload_bytes > 0 or last.ends
        not_found = _messages.FlowNotFound(
            last.flow, last.ack, expects_response and not last.resets
        )
        return _messages.Send(forward.balancer, not_found)

    def sweep(self) -> list[_types.Action]:
        """Ends searches that have timed out or await only silent agents."""
        if not self._searches:
            return []
        now_ms = self._clock.now_ms()
        actions: list[_types.Action] = []
        unresponsive = self._unresponsive()
        has_changed = self._generation != self._fleet.generation
        self._generation = self._fleet.generation
        for flow, search in tuple(self._searches.items()):
            if has_changed:
                # An agent that has left no longer holds flows.
                search.awaited_agents = {
                    address
                    for address in search.awaited_agents
                    if address in self._fleet
                }
            if not search.awaited_agents:
                actions += self._conclude(flow, search)
            elif search.forward.long_lived:
                actions += self._continue(flow, search, unresponsive)
            elif now_ms >= search.deadline_ms:
                self._time_out(flow, search)
        return actions

    def _continue(
        self,
        flow: bytes,
        search: _Search,
        unresponsive: frozenset[core.Address],
    ) -> list[_types.Action]:
        """Ends a search for a flow of repeatable requests, or asks again."""
        now_ms = self._clock.now_ms()
        if search.awaited_agents <= unresponsive:
            return self._conclude_without_silent(flow, search)
        if now_ms - search.started_ms >= SEARCH_LIMIT_MS:
            self._time_out(flow, search)
            return []
        if now_ms < search.deadline_ms:
            return []
        if not search.is_overdue:
            search.is_overdue = True
            self._timer.record_timeout()
            return [
                *self._report_wait(flow, search),
                *self._ask_observed(search),
            ]
        if now_ms - search.asked_ms >= SEARCH_REPEAT_MS:
            search.asked_ms = now_ms
            return self._ask(search, search.awaited_agents)
        return self._ask_observed(search)

    def _ask_observed(self, search: _Search) -> list[_types.Action]:
        """Asks silent agents again that no other search has asked recently.

        One query of any search counts in the judgement of an agent.
        """
        return self._ask(
            search,
            filter(self._responsiveness.needs_query, search.awaited_agents),
        )

    def _report_wait(self, flow: bytes, search: _Search) -> list[_types.Action]:
        """Tells the balancer that it need not ask again or elsewhere."""
        if not search.is_overdue:
            return []
        queued = _messages.PlacementQueued(flow)
        return [_messages.Send(search.forward.balancer, queued)]

    def _time_out(self, flow: bytes, search: _Search) -> None:
        del self._searches[flow]
        if not search.is_overdue:
            self._timer.record_timeout()
        self._record_failure(flow, is_known=False)
        telemetry.log(
            "flow-search-timeout",
            flow=_types.describe_flow(flow),
            silent_count=len(search.awaited_agents),
            silent=min(search.awaited_agents, default=None),
        )

    def _record_failure(self, flow: bytes, is_known: bool) -> None:
        """Records that a search has failed, and removes old records."""
        now_ms = self._clock.now_ms()
        self._failures.pop(flow, None)
        self._failures[flow] = _Failure(now_ms, is_known)
        while self._failures:
            oldest_flow, failure = next(iter(self._failures.items()))
            if now_ms - failure.failed_ms < SEARCH_RETRY_DELAY_MS:
                break
            del self._failures[oldest_flow]
