"""Directory of flows, and placement of new ones, at the flows' home agent.

Each flow of a service has one home among the service's agents, found on a
ring. The home remembers which agent's backend server holds the flow. All of
it is soft state: holders announce their flows when homes move, and a home
that does not know a flow asks the other agents.
"""

import collections

from fireflyford import core
from fireflyford import telemetry
from fireflyford.flows import _fleet
from fireflyford.flows import _held
from fireflyford.flows import _messages
from fireflyford.flows import _placement
from fireflyford.flows import _response_timer
from fireflyford.flows import _types

# An agent that has not answered for so long is passed over. Within the
# agent's own limit for its backend server (`_keeper.OPENING_LIMIT_MS`) plus
# two crossings between availability zones.
PLACE_TIMEOUT_MS = 70
PLACE_TIMEOUT_MOST_MS = 600
# Agents that are asked about one flow without an answer; more would add to the
# load that makes them slow.
MAX_UNANSWERED_OFFERS = 3
# How long an agent that did not answer is the last choice.
SUSPECT_MS = 1_000
# How many times a new flow looks for a free slot before any slot will do.
BUSY_LIMIT_COUNT = 2
# A new flow waits so long for a backend server with room, then it is refused;
# the client itself gives up 1.4 s after its first packet.
WAIT_LIMIT_MS = 600
# How often a waiting flow looks for room.
WAIT_RETRY_MS = 20
# Offers of one flow that are logged; a waiting flow makes one each 20 ms.
LOGGED_OFFERS = 3
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
# States in which an agent declines every new flow.
_NOT_TAKING = frozenset(_types.TargetState) - {_types.TargetState.READY}
MAX_ENTRIES = 200_000
# Entries of flows that are not used for so long are removed.
ENTRY_IDLE_MS = 60_000


class _Attempt:
    """Placement of one new flow."""

    def __init__(
        self, forward: _messages.Forward, packet: _types.Packet, now_ms: int
    ):
        self.forward = forward
        self.packet = packet
        self.started_ms = now_ms
        self.tried: set[core.Address] = set()
        self.asked: core.Address | None = None
        self.deadline_ms = 0
        self.busy_count = 0
        self.offer_count = 0
        self.unanswered_count = 0
        self.has_given_up = False
        self.asked_ms = now_ms
        self.reason = _messages.DeclineReason.UNKNOWN_STATE
        self.is_waiting = False


class _Search:
    """Search for the holder of one flow."""

    def __init__(
        self, forward: _messages.Forward, now_ms: int, deadline_ms: int
    ):
        self.forward = forward
        self.started_ms = now_ms
        self.deadline_ms = deadline_ms
        self.asked: set[core.Address] = set()
        self.packets: list[_types.Packet] = []


class _Entry:
    """Directory entry."""

    def __init__(self, holder: core.Address, now_ms: int):
        self.holder = holder
        self.used_ms = now_ms


class Home:
    """Finds holders and places new flows."""

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
        self._started_ms = clock.now_ms()
        self._own = own
        self._fleet = fleet
        self._placement = placement
        self._entries: collections.OrderedDict[bytes, _Entry] = (
            collections.OrderedDict()
        )
        self._attempts: dict[bytes, _Attempt] = {}
        self._searches: dict[bytes, _Search] = {}
        self._suspects: dict[core.Address, int] = {}
        self._place_timer = _response_timer.ResponseTimer(
            PLACE_TIMEOUT_MS, PLACE_TIMEOUT_MOST_MS
        )
        self._search_timer = _response_timer.ResponseTimer(
            SEARCH_TIMEOUT_MS, SEARCH_TIMEOUT_MOST_MS
        )
        # When flows were last searched in vain, oldest first.
        self._missed: dict[bytes, int] = {}
        # Times of the placements that the load of an agent does not show yet.
        self._placed: dict[core.Address, list[int]] = {}

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
            return [
                self._forward(
                    forward, packet, _messages.Handling.HELD, entry.holder
                )
            ]
        if not packet.opens:
            return self._search(forward, packet)
        attempt = self._attempts.get(packet.flow)
        if attempt is not None:
            # A copy of the first packet; the attempt has its own timeout.
            return []
        attempt = _Attempt(forward, packet, self._clock.now_ms())
        self._attempts[packet.flow] = attempt
        return self._place(attempt)

    def locate(
        self, sender: core.Address, message: _messages.Located
    ) -> list[_types.Action]:
        """Takes the news that the sender holds a flow."""
        self.take_load(sender, message.load)
        self._suspects.pop(sender, None)
        flow = message.flow
        attempt = self._attempts.pop(flow, None)
        if attempt is not None:
            in_time = attempt.asked == sender
            now_ms = self._clock.now_ms()
            since_ms = attempt.asked_ms if in_time else attempt.started_ms
            self._place_timer.sample(now_ms - since_ms)
            kind = "waited" if attempt.is_waiting else "at-once"
            telemetry.observe(
                "flow_placement", now_ms - attempt.started_ms, kind
            )
        return self._found(flow, sender)

    def _found(self, flow: bytes, sender: core.Address) -> list[_types.Action]:
        """Enters the holder of a flow and ends a search for it."""
        self._enter(flow, sender)
        search = self._searches.pop(flow, None)
        if search is None:
            return []
        # The search itself carried the first packet.
        return [
            self._forward(
                search.forward, packet, _messages.Handling.HELD, sender
            )
            for packet in search.packets[1:]
        ]

    def decline(
        self, sender: core.Address, message: _messages.Declined
    ) -> list[_types.Action]:
        """Looks for another backend server after a refusal."""
        self.take_load(sender, message.load)
        attempt = self._attempts.get(message.flow)
        if attempt is None or attempt.asked != sender or attempt.has_given_up:
            return []
        self._place_timer.sample(self._clock.now_ms() - attempt.asked_ms)
        if attempt.offer_count <= LOGGED_OFFERS:
            telemetry.log(
                "flow-declined",
                flow=_types.describe_flow(message.flow),
                holder=sender,
                reason=message.reason.name.lower(),
                busy=message.load.busy_count,
                reserved=message.load.reserved_count,
                slots=message.load.slot_count,
            )
        if message.reason is _messages.DeclineReason.BUSY:
            attempt.busy_count += 1
        else:
            attempt.tried.add(sender)
        attempt.reason = message.reason
        return self._place(attempt)

    def absent(self, sender: core.Address, flow: bytes) -> list[_types.Action]:
        """Takes the news that the sender does not hold a flow."""
        entry = self._entries.get(flow)
        if entry is not None and entry.holder == sender:
            del self._entries[flow]
        search = self._searches.get(flow)
        if search is None:
            return []
        search.asked.discard(sender)
        if search.asked:
            return []
        del self._searches[flow]
        now_ms = self._clock.now_ms()
        self._search_timer.sample(now_ms - search.started_ms)
        if now_ms - self._started_ms < FRESH_MS:
            return []
        self._miss(flow)
        telemetry.log(
            "flow-unknown",
            flow=_types.describe_flow(flow),
            service=self._own.service,
        )
        last = search.packets[-1]
        unknown = _messages.Unknown(
            flow, last.ack, last.payload_bytes > 0 and not last.resets
        )
        return [_messages.Send(search.forward.balancer, unknown)]

    def hold(
        self, sender: core.Address, flows: tuple[bytes, ...]
    ) -> list[_types.Action]:
        """Takes directory entries from a holder."""
        actions: list[_types.Action] = []
        for flow in flows:
            actions += self._found(flow, sender)
        return actions

    def sweep(self) -> list[_types.Action]:
        """Ends attempts and searches that wait for too long."""
        now_ms = self._clock.now_ms()
        actions: list[_types.Action] = []
        for flow, attempt in tuple(self._attempts.items()):
            if now_ms < attempt.deadline_ms:
                continue
            if attempt.has_given_up:
                del self._attempts[flow]
                continue
            if attempt.asked is None:
                actions += self._place(attempt)
                continue
            telemetry.log(
                "flow-placement-timeout",
                flow=_types.describe_flow(flow),
                holder=attempt.asked,
            )
            self._place_timer.expire()
            self._suspects[attempt.asked] = now_ms + SUSPECT_MS
            attempt.tried.add(attempt.asked)
            attempt.unanswered_count += 1
            if attempt.unanswered_count >= MAX_UNANSWERED_OFFERS:
                # A late answer still counts, for the flow and for the timer.
                attempt.has_given_up = True
                attempt.deadline_ms = now_ms + PLACE_TIMEOUT_MOST_MS
                continue
            actions += self._place(attempt)
        for flow, search in tuple(self._searches.items()):
            if now_ms >= search.deadline_ms:
                del self._searches[flow]
                self._search_timer.expire()
                self._miss(flow)
                telemetry.log(
                    "flow-search-timeout",
                    flow=_types.describe_flow(flow),
                    silent_count=len(search.asked),
                )
        return actions

    def expire(self) -> None:
        """Removes unused entries."""
        oldest_ms = self._clock.now_ms() - ENTRY_IDLE_MS
        while self._entries:
            flow, entry = next(iter(self._entries.items()))
            if entry.used_ms >= oldest_ms:
                break
            del self._entries[flow]

    def take_load(self, sender: core.Address, load: _types.Load) -> None:
        """Takes the load of an agent and counts placements there anew."""
        self._fleet.note_load(sender, load)
        self._placed.pop(sender, None)

    def _enter(self, flow: bytes, holder: core.Address) -> None:
        if len(self._entries) >= MAX_ENTRIES and flow not in self._entries:
            self._entries.popitem(last=False)
        self._entries[flow] = _Entry(holder, self._clock.now_ms())
        self._entries.move_to_end(flow)

    def _place(self, attempt: _Attempt) -> list[_types.Action]:
        """Offers a new flow to a backend server, or lets it wait."""
        candidates = self._candidates(attempt)
        if not candidates:
            return self._wait(attempt)
        chosen = self._placement.choose(candidates, attempt.forward.lasting)
        now_ms = self._clock.now_ms()
        self._placed.setdefault(chosen.address, []).append(now_ms)
        attempt.asked = chosen.address
        attempt.asked_ms = now_ms
        attempt.deadline_ms = now_ms + self._place_timer.timeout_ms()
        firm = attempt.busy_count >= BUSY_LIMIT_COUNT or len(candidates) == 1
        attempt.offer_count += 1
        if attempt.offer_count <= LOGGED_OFFERS:
            telemetry.log(
                "flow-placed",
                flow=_types.describe_flow(attempt.packet.flow),
                holder=chosen.address,
                busy=chosen.load.busy_count,
                reserved=chosen.load.reserved_count,
                lasting=chosen.load.lasting_count,
                service_ms=chosen.load.service_ms,
                age_ms=self._fleet.silence_ms(chosen.address),
                candidates=len(candidates),
                firm=firm,
            )
        return [
            self._forward(
                attempt.forward,
                attempt.packet,
                _messages.Handling.PLACE,
                chosen.address,
                firm,
            )
        ]

    def _wait(self, attempt: _Attempt) -> list[_types.Action]:
        """Lets a new flow wait for room, or refuses it."""
        now_ms = self._clock.now_ms()
        flow = attempt.packet.flow
        if now_ms - attempt.started_ms >= WAIT_LIMIT_MS:
            del self._attempts[flow]
            telemetry.log(
                "flow-refused",
                flow=_types.describe_flow(flow),
                reason=attempt.reason.name.lower(),
                offers=attempt.offer_count,
                waited_ms=now_ms - attempt.started_ms,
            )
            refusal = _messages.Refused(flow, attempt.reason)
            return [_messages.Send(attempt.forward.balancer, refusal)]
        is_first = not attempt.is_waiting
        attempt.asked = None
        attempt.is_waiting = True
        attempt.deadline_ms = now_ms + WAIT_RETRY_MS
        # Agents that could not take it may be able to by then.
        attempt.tried.clear()
        if not is_first:
            return []
        agents = self._fleet.agents(self._own.service)
        loads = [self._fleet.load(agent.address) for agent in agents]
        telemetry.log(
            "flow-waits",
            flow=_types.describe_flow(flow),
            reason=attempt.reason.name.lower(),
            agents=len(loads),
            slots=sum(load.slot_count for load in loads),
            busy=sum(load.busy_count for load in loads),
            reserved=sum(load.reserved_count for load in loads),
            placed=sum(self._placed_count(item.address) for item in agents),
        )
        return [
            _messages.Send(attempt.forward.balancer, _messages.Waiting(flow))
        ]

    def _candidates(self, attempt: _Attempt) -> list[_placement.Candidate]:
        now_ms = self._clock.now_ms()
        preferred, last_resort = [], []
        for agent in self._fleet.agents(self._own.service):
            if agent.address in attempt.tried:
                continue
            load = self._fleet.load(agent.address)
            candidate = _placement.Candidate(
                agent.address,
                load,
                self._placed_count(agent.address),
                agent.availability_zone == self._own.availability_zone,
            )
            is_heard = self._fleet.is_load_known(agent.address)
            if is_heard and load.state in _NOT_TAKING:
                continue
            if not _placement.has_room(load, candidate.placed_count):
                attempt.reason = _messages.DeclineReason.BUSY
                continue
            if (
                load.state is _types.TargetState.READY
                and self._suspects.get(agent.address, 0) <= now_ms
            ):
                preferred.append(candidate)
            else:
                last_resort.append(candidate)
        return preferred or last_resort

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

    def _placed_count(self, address: core.Address) -> int:
        """Returns the flows placed at an agent since its last load report."""
        oldest_ms = self._clock.now_ms() - _held.RESERVATION_MS
        times = [at for at in self._placed.get(address, ()) if at >= oldest_ms]
        self._placed[address] = times
        return len(times)

    def _search(
        self, forward: _messages.Forward, packet: _types.Packet
    ) -> list[_types.Action]:
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
        deadline_ms = now_ms + self._search_timer.timeout_ms()
        search = _Search(forward, now_ms, deadline_ms)
        search.packets.append(packet)
        agents = self._fleet.agents(self._own.service)
        search.asked = {agent.address for agent in agents}
        self._searches[packet.flow] = search
        telemetry.log(
            "flow-searched",
            flow=_types.describe_flow(packet.flow),
            agents=len(search.asked),
        )
        return [
            self._forward(forward, packet, _messages.Handling.SEARCH, address)
            for address in search.asked
        ]

    def _forward(
        self,
        forward: _messages.Forward,
        packet: _types.Packet,
        handling: _messages.Handling,
        to: core.Address,
        firm: bool = False,
    ) -> _messages.Send:
        message = _messages.Forward(
            handling,
            self._own.service,
            forward.balancer,
            self._own.address,
            forward.hop_count + 1,
            forward.lasting,
            firm,
            packet.data,
        )
        return _messages.Send(to, message)
