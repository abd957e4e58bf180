"""Searches for the holders of flows that a home does not know."""

from fireflyford import core
from fireflyford import telemetry
from fireflyford.flows import _fleet
from fireflyford.flows import _messages
from fireflyford.flows import _response_timer
from fireflyford.flows import _types

# Answers to a search are due within this time; the client sends its packet
# again after 200 ms.
SEARCH_TIMEOUT_MS = 150
SEARCH_TIMEOUT_MOST_MS = 1_000
# A flow that was searched without a holder is not searched again for so long;
# its packets come again and again from balancers and the client.
SEARCH_PAUSE_MS = 250
# Packets of one flow that wait for the end of a search: a window of the client.
MAX_WAITING_PACKETS = 16
MAX_SEARCHES = 4_096
# A home that has just started may not know of agents that the registry does
# not show; until their beats can have come, no search says that a flow is gone.
FRESH_MS = 300


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
        self.asked: set[core.Address] = set()
        # The search itself carries the first one.
        self.packets = [packet]


class Searches:
    """Asks all agents of the service for the holders of flows."""

    def __init__(
        self, clock: core.Clock, own: _types.Instance, fleet: _fleet.Fleet
    ) -> None:
        """Starts without searches.

        Args:
            clock: Source of time.
            own: The agent that searches.
            fleet: View of the other instances.
        """
        self._clock = clock
        self._started_ms = clock.now_ms()
        self._own = own
        self._fleet = fleet
        self._searches: dict[bytes, _Search] = {}
        self._timer = _response_timer.ResponseTimer(
            SEARCH_TIMEOUT_MS, SEARCH_TIMEOUT_MOST_MS
        )
        # When flows were last searched in vain, oldest first.
        self._missed: dict[bytes, int] = {}

    def begin(
        self, forward: _messages.Forward, packet: _types.Packet
    ) -> list[_types.Action]:
        """Asks all agents to take a packet if they hold its flow."""
        search = self._searches.get(packet.flow)
        if search is not None:
            if len(search.packets) < MAX_WAITING_PACKETS:
                search.packets.append(packet)
            return []
        now_ms = self._clock.now_ms()
        missed_ms = self._missed.get(packet.flow, now_ms - SEARCH_PAUSE_MS)
        is_early = now_ms - missed_ms < SEARCH_PAUSE_MS
        if is_early or len(self._searches) >= MAX_SEARCHES:
            return []
        deadline_ms = now_ms + self._timer.timeout_ms()
        search = _Search(forward, packet, now_ms, deadline_ms)
        agents = self._fleet.agents(self._own.service)
        search.asked = {agent.address for agent in agents}
        self._searches[packet.flow] = search
        telemetry.log(
            "flow-searched",
            flow=_types.describe_flow(packet.flow),
            agents=len(search.asked),
        )
        handling = _messages.Handling.SEARCH
        return [
            forward.relay(handling, self._own.address, address, packet)
            for address in search.asked
        ]

    def found(self, flow: bytes, holder: core.Address) -> list[_types.Action]:
        """Ends the search for a flow; packets that waited go to its holder."""
        search = self._searches.pop(flow, None)
        if search is None:
            return []
        handling = _messages.Handling.HELD
        return [
            search.forward.relay(handling, self._own.address, holder, packet)
            for packet in search.packets[1:]
        ]

    def absent(self, sender: core.Address, flow: bytes) -> list[_types.Action]:
        """Takes the news that the sender does not hold a flow.

        When all agents have said so, the balancer is told.
        """
        search = self._searches.get(flow)
        if search is None:
            return []
        search.asked.discard(sender)
        if search.asked:
            return []
        del self._searches[flow]
        now_ms = self._clock.now_ms()
        self._timer.sample(now_ms - search.started_ms)
        if now_ms - self._started_ms < FRESH_MS:
            return []
        self._miss(flow)
        telemetry.log(
            "flow-unknown",
            flow=_types.describe_flow(flow),
            service=self._own.service,
        )
        last = search.packets[-1]
        unknown = _messages.FlowNotFound(
            flow, last.ack, last.payload_bytes > 0 and not last.resets
        )
        return [_messages.Send(search.forward.balancer, unknown)]

    def sweep(self) -> None:
        """Ends searches that wait for too long."""
        now_ms = self._clock.now_ms()
        for flow, search in tuple(self._searches.items()):
            if now_ms < search.deadline_ms:
                continue
            del self._searches[flow]
            self._timer.expire()
            self._miss(flow)
            telemetry.log(
                "flow-search-timeout",
                flow=_types.describe_flow(flow),
                silent_count=len(search.asked),
                silent=min(search.asked, default=None),
            )

    def _miss(self, flow: bytes) -> None:
        """Remembers for a moment that a flow was searched in vain."""
        now_ms = self._clock.now_ms()
        self._missed.pop(flow, None)
        self._missed[flow] = now_ms
        while self._missed:
            oldest, missed_ms = next(iter(self._missed.items()))
            if now_ms - missed_ms < SEARCH_PAUSE_MS:
                break
            del self._missed[oldest]
