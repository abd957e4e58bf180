"""Directory of flows at their directory agent.

A ring assigns each flow of a service to one directory agent among the agents
of the service, which records the flow's holder. All entries are soft state:
holders announce their flows again when the assignment changes, and a directory
agent that has no entry for a flow asks the other agents.
"""

import collections

from fireflyford import core
from fireflyford.flows import _evacuation
from fireflyford.flows import _fleet
from fireflyford.flows import _flow_placer
from fireflyford.flows import _holder_search
from fireflyford.flows import _messages
from fireflyford.flows import _placement
from fireflyford.flows import _responsiveness
from fireflyford.flows import _types
from fireflyford.flows import _zone_paths

MAX_ENTRIES = 200_000
# Idle time after which an entry is removed.
ENTRY_IDLE_MS = 60_000


class _Entry:
    """Holder of one flow."""

    def __init__(self, holder: core.Address, now_ms: int):
        self.holder = holder
        # Agent that was recorded before. If two backend servers have accepted
        # the flow, the client has opened it at one of them.
        self.previous_holder: core.Address | None = None
        self.last_used_ms = now_ms


class FlowDirectory:
    """Looks up the holders of flows, searches for them and places new flows."""

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
        """Initializes an empty directory.

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
        self._clock = clock
        self._own_instance = own_instance
        self._fleet = fleet
        self._entries: collections.OrderedDict[bytes, _Entry] = (
            collections.OrderedDict()
        )
        self._placer = _flow_placer.FlowPlacer(
            clock,
            own_instance,
            fleet,
            placement,
            responsiveness,
            second_offer_ratio,
            evacuation=evacuation,
            zone_paths=zone_paths,
        )
        self.second_offers = self._placer.second_offers
        self._searches = _holder_search.HolderSearches(
            clock, own_instance, fleet, responsiveness
        )

    def __len__(self) -> int:
        """Returns the number of directory entries."""
        return len(self._entries)

    def resolve(
        self, forward: _messages.Forward, packet: _types.Packet
    ) -> list[_types.Action]:
        """Handles a packet of a flow whose directory agent is this one."""
        entry = self._entries.get(packet.flow)
        if entry is not None and entry.holder not in self._fleet:
            del self._entries[packet.flow]
            entry = None
        if entry is not None:
            entry.last_used_ms = self._clock.now_ms()
            self._entries.move_to_end(packet.flow)
            handling = _messages.Handling.HELD
            own_address = self._own_instance.address
            return [forward.relay(handling, own_address, entry.holder, packet)]
        if packet.opens:
            return self._placer.begin(forward, packet)
        return self._searches.begin(forward, packet)

    def handle_located(
        self, sender: core.Address, message: _messages.FlowLocated
    ) -> list[_types.Action]:
        """Records that the sender holds a flow."""
        self.record_load(sender, message.load)
        actions = self._placer.finish(sender, message.flow)
        entry = self._entries.get(message.flow)
        if (
            entry is not None
            and entry.holder != sender
            and self.second_offers.is_late_acceptance(sender, message.flow)
        ):
            # The client has most likely opened the flow where it was accepted
            # first.
            entry.previous_holder = sender
            return actions
        return [*actions, *self._record_holder(message.flow, sender)]

    def handle_declined(
        self, sender: core.Address, message: _messages.PlacementDeclined
    ) -> list[_types.Action]:
        """Offers a flow to another agent after the sender has declined it."""
        self.record_load(sender, message.load)
        return self._placer.handle_declined(sender, message)

    def handle_granted(
        self, sender: core.Address, flow: bytes
    ) -> list[_types.Action]:
        """Offers a waiting flow to an agent that keeps a slot for it."""
        return self._placer.handle_granted(sender, flow)

    def handle_not_held(
        self, sender: core.Address, flow: bytes
    ) -> list[_types.Action]:
        """Removes the sender as holder of a flow and continues a search."""
        entry = self._entries.get(flow)
        if entry is not None and entry.holder == sender:
            if entry.previous_holder in self._fleet:
                assert entry.previous_holder is not None
                entry.holder = entry.previous_holder
                entry.previous_holder = None
            else:
                del self._entries[flow]
        elif entry is not None and entry.previous_holder == sender:
            entry.previous_holder = None
        return self._searches.handle_not_held(sender, flow)

    def handle_announcement(
        self, sender: core.Address, flows: tuple[bytes, ...]
    ) -> list[_types.Action]:
        """Records the flows that a holder announces."""
        actions: list[_types.Action] = []
        for flow in flows:
            actions += self._record_holder(flow, sender)
        return actions

    def record_load(self, sender: core.Address, load: _types.Load) -> None:
        """Records the load of an agent."""
        self._placer.record_load(sender, load)

    def sweep(self) -> list[_types.Action]:
        """Handles timeouts of offers and searches, and retries queued flows."""
        return [*self._searches.sweep(), *self._placer.sweep()]

    def has_timeouts(self) -> bool:
        """Returns whether an offer or a search awaits an answer."""
        return bool(len(self._placer) or len(self._searches))

    def expire(self) -> None:
        """Removes idle entries."""
        oldest_ms = self._clock.now_ms() - ENTRY_IDLE_MS
        while self._entries:
            flow, entry = next(iter(self._entries.items()))
            if entry.last_used_ms >= oldest_ms:
                break
            del self._entries[flow]

    def _record_holder(
        self, flow: bytes, holder: core.Address
    ) -> list[_types.Action]:
        """Records the holder of a flow and completes a search for it."""
        if len(self._entries) >= MAX_ENTRIES and flow not in self._entries:
            self._entries.popitem(last=False)
        known = self._entries.get(flow)
        entry = _Entry(holder, self._clock.now_ms())
        if known is not None:
            entry.previous_holder = (
                known.previous_holder
                if known.holder == holder
                else known.holder
            )
        self._entries[flow] = entry
        self._entries.move_to_end(flow)
        return self._searches.finish(flow, holder)
