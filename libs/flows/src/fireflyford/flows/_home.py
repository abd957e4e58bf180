"""Directory of flows at the flows' home agent.

Each flow of a service has one home among the service's agents, found on a
ring. The home remembers which agent's backend server holds the flow. All of
it is soft state: holders announce their flows when homes move, and a home
that does not know a flow asks the other agents.
"""

import collections

from fireflyford import core
from fireflyford.flows import _fleet
from fireflyford.flows import _messages
from fireflyford.flows import _offers
from fireflyford.flows import _placement
from fireflyford.flows import _searches
from fireflyford.flows import _types

MAX_ENTRIES = 200_000
# Entries of flows that are not used for so long are removed.
ENTRY_IDLE_MS = 60_000


class _Entry:
    """Directory entry."""

    def __init__(self, holder: core.Address, now_ms: int):
        self.holder = holder
        self.used_ms = now_ms


class FlowDirectory:
    """Knows holders, and has them searched or new flows placed."""

    def __init__(
        self,
        clock: core.Clock,
        own: _types.Instance,
        fleet: _fleet.Fleet,
        placement: _placement.Placement,
    ) -> None:
        """Starts with an empty directory.

        Args:
            clock: Source of time.
            own: This agent.
            fleet: View of the other instances.
            placement: Policy for new flows.
        """
        self._clock = clock
        self._own = own
        self._fleet = fleet
        self._entries: collections.OrderedDict[bytes, _Entry] = (
            collections.OrderedDict()
        )
        self._offers = _offers.Offers(clock, own, fleet, placement)
        self._searches = _searches.Searches(clock, own, fleet)

    def __len__(self) -> int:
        """Returns the number of directory entries."""
        return len(self._entries)

    def resolve(
        self, forward: _messages.Forward, packet: _types.Packet
    ) -> list[_types.Action]:
        """Handles a packet for which this agent is the home."""
        entry = self._entries.get(packet.flow)
        if entry is not None and entry.holder not in self._fleet:
            del self._entries[packet.flow]
            entry = None
        if entry is not None:
            entry.used_ms = self._clock.now_ms()
            self._entries.move_to_end(packet.flow)
            handling = _messages.Handling.HELD
            own = self._own.address
            return [forward.relay(handling, own, entry.holder, packet)]
        if packet.opens:
            return self._offers.begin(forward, packet)
        return self._searches.begin(forward, packet)

    def locate(
        self, sender: core.Address, message: _messages.FlowLocated
    ) -> list[_types.Action]:
        """Takes the news that the sender holds a flow."""
        self.record_load(sender, message.load)
        self._offers.accept(sender, message.flow)
        return self._found(message.flow, sender)

    def decline(
        self, sender: core.Address, message: _messages.PlacementDeclined
    ) -> list[_types.Action]:
        """Looks for another backend server after a refusal."""
        self.record_load(sender, message.load)
        return self._offers.decline(sender, message)

    def absent(self, sender: core.Address, flow: bytes) -> list[_types.Action]:
        """Takes the news that the sender does not hold a flow."""
        entry = self._entries.get(flow)
        if entry is not None and entry.holder == sender:
            del self._entries[flow]
        return self._searches.absent(sender, flow)

    def hold(
        self, sender: core.Address, flows: tuple[bytes, ...]
    ) -> list[_types.Action]:
        """Takes directory entries from a holder."""
        actions: list[_types.Action] = []
        for flow in flows:
            actions += self._found(flow, sender)
        return actions

    def record_load(self, sender: core.Address, load: _types.Load) -> None:
        """Takes the load of an agent."""
        self._offers.record_load(sender, load)

    def sweep(self) -> list[_types.Action]:
        """Ends offers and searches that wait for too long."""
        self._searches.sweep()
        return self._offers.sweep()

    def expire(self) -> None:
        """Removes unused entries."""
        oldest_ms = self._clock.now_ms() - ENTRY_IDLE_MS
        while self._entries:
            flow, entry = next(iter(self._entries.items()))
            if entry.used_ms >= oldest_ms:
                break
            del self._entries[flow]

    def _found(self, flow: bytes, holder: core.Address) -> list[_types.Action]:
        """Enters the holder of a flow and ends a search for it."""
        if len(self._entries) >= MAX_ENTRIES and flow not in self._entries:
            self._entries.popitem(last=False)
        self._entries[flow] = _Entry(holder, self._clock.now_ms())
        self._entries.move_to_end(flow)
        return self._searches.found(flow, holder)
