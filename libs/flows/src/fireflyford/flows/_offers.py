"""Offers of new flows to agents, until one takes the flow."""

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
# A new flow waits so long for a backend server with room, then it is refused.
# The client sends copies of its first packet for 600 ms, of which the last one
# may be the first to arrive, and gives up 1.4 s after the first one.
WAIT_LIMIT_MS = 800
# How often a waiting flow looks for room.
WAIT_RETRY_MS = 20
# Offers of one flow that are logged; a waiting flow makes one each 20 ms.
LOGGED_OFFERS = 3
# States in which an agent declines every new flow.
_NOT_TAKING = frozenset(_types.TargetState) - {_types.TargetState.READY}


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


class Offers:
    """Finds a backend server for each new flow, or refuses it."""

    def __init__(
        self,
        clock: core.Clock,
        own: _types.Instance,
        fleet: _fleet.Fleet,
        placement: _placement.Placement,
    ) -> None:
        """Starts without new flows.

        Args:
            clock: Source of time.
            own: The agent that offers.
            fleet: View of the other instances.
            placement: Policy for new flows.
        """
        self._clock = clock
        self._own = own
        self._fleet = fleet
        self._placement = placement
        self._attempts: dict[bytes, _Attempt] = {}
        self._suspects: dict[core.Address, int] = {}
        self._timer = _response_timer.ResponseTimer(
            PLACE_TIMEOUT_MS, PLACE_TIMEOUT_MOST_MS
        )
        # Times of the placements that the load of an agent does not show yet.
        self._placed: dict[core.Address, list[int]] = {}

    def begin(
        self, forward: _messages.Forward, packet: _types.Packet
    ) -> list[_types.Action]:
        """Offers a new flow, unless a copy of its packet is offered already."""
        if packet.flow in self._attempts:
            # The attempt has its own timeout.
            return []
        attempt = _Attempt(forward, packet, self._clock.now_ms())
        self._attempts[packet.flow] = attempt
        return self._place(attempt)

    def accept(self, sender: core.Address, flow: bytes) -> None:
        """Takes the news that the sender holds a flow."""
        self._suspects.pop(sender, None)
        attempt = self._attempts.pop(flow, None)
        if attempt is None:
            return
        now_ms = self._clock.now_ms()
        in_time = attempt.asked == sender
        since_ms = attempt.asked_ms if in_time else attempt.started_ms
        self._timer.sample(now_ms - since_ms)
        kind = "waited" if attempt.is_waiting else "at-once"
        telemetry.observe("flow_placement", now_ms - attempt.started_ms, kind)

    def decline(
        self, sender: core.Address, message: _messages.PlacementDeclined
    ) -> list[_types.Action]:
        """Looks for another backend server after a refusal."""
        attempt = self._attempts.get(message.flow)
        if attempt is None or attempt.asked != sender or attempt.has_given_up:
            return []
        self._timer.sample(self._clock.now_ms() - attempt.asked_ms)
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

    def record_load(self, sender: core.Address, load: _types.Load) -> None:
        """Takes the load of an agent and counts placements there anew."""
        self._fleet.record_load(sender, load)
        self._placed.pop(sender, None)

    def sweep(self) -> list[_types.Action]:
        """Goes on with offers that nobody answers and flows that wait."""
        now_ms = self._clock.now_ms()
        actions: list[_types.Action] = []
        for flow, attempt in tuple(self._attempts.items()):
            if now_ms < attempt.deadline_ms:
                continue
            if attempt.has_given_up:
                del self._attempts[flow]
            elif attempt.asked is None:
                actions += self._place(attempt)
            else:
                actions += self._pass_over(attempt, attempt.asked)
        return actions

    def _pass_over(
        self, attempt: _Attempt, asked: core.Address
    ) -> list[_types.Action]:
        """Offers a flow elsewhere when an agent has not answered."""
        now_ms = self._clock.now_ms()
        telemetry.log(
            "flow-placement-timeout",
            flow=_types.describe_flow(attempt.packet.flow),
            holder=asked,
        )
        self._timer.expire()
        self._suspects[asked] = now_ms + SUSPECT_MS
        attempt.tried.add(asked)
        attempt.unanswered_count += 1
        if attempt.unanswered_count < MAX_UNANSWERED_OFFERS:
            return self._place(attempt)
        # A late answer still counts, for the flow and for the timer.
        attempt.has_given_up = True
        attempt.deadline_ms = now_ms + PLACE_TIMEOUT_MOST_MS
        return []

    def _place(self, attempt: _Attempt) -> list[_types.Action]:
        """Offers a new flow to a backend server, or lets it wait."""
        candidates = self._candidates(attempt)
        if not candidates:
            return self._wait(attempt)
        chosen = self._placement.choose(candidates, attempt.forward.long_lived)
        now_ms = self._clock.now_ms()
        self._placed.setdefault(chosen.address, []).append(now_ms)
        attempt.asked = chosen.address
        attempt.asked_ms = now_ms
        attempt.deadline_ms = now_ms + self._timer.timeout_ms()
        allow_queueing = (
            attempt.busy_count >= BUSY_LIMIT_COUNT or len(candidates) == 1
        )
        attempt.offer_count += 1
        if attempt.offer_count <= LOGGED_OFFERS:
            telemetry.log(
                "flow-placed",
                flow=_types.describe_flow(attempt.packet.flow),
                holder=chosen.address,
                busy=chosen.load.busy_count,
                reserved=chosen.load.reserved_count,
                lasting=chosen.load.long_lived_count,
                service_ms=chosen.load.service_ms,
                age_ms=self._fleet.silence_ms(chosen.address),
                candidates=len(candidates),
                firm=allow_queueing,
            )
        return [
            attempt.forward.relay(
                _messages.Handling.PLACE,
                self._own.address,
                chosen.address,
                attempt.packet,
                allow_queueing,
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
            refusal = _messages.PlacementRefused(flow, attempt.reason)
            return [_messages.Send(attempt.forward.balancer, refusal)]
        is_first = not attempt.is_waiting
        attempt.asked = None
        attempt.is_waiting = True
        attempt.deadline_ms = now_ms + WAIT_RETRY_MS
        # Agents that could not take it may be able to by then.
        attempt.tried.clear()
        if not is_first:
            return []
        self._log_wait(attempt)
        return [
            _messages.Send(
                attempt.forward.balancer, _messages.PlacementQueued(flow)
            )
        ]

    def _log_wait(self, attempt: _Attempt) -> None:
        agents = self._fleet.agents(self._own.service)
        loads = [self._expected_load(agent.address) for agent in agents]
        telemetry.log(
            "flow-waits",
            flow=_types.describe_flow(attempt.packet.flow),
            reason=attempt.reason.name.lower(),
            agents=len(loads),
            slots=sum(load.slot_count for load in loads),
            busy=sum(load.busy_count for load in loads),
            reserved=sum(load.reserved_count for load in loads),
            placed=sum(self._placed_count(item.address) for item in agents),
        )

    def _candidates(self, attempt: _Attempt) -> list[_placement.Candidate]:
        """Returns the agents that may take a flow, suspects only if alone."""
        now_ms = self._clock.now_ms()
        preferred, last_resort = [], []
        for agent in self._fleet.agents(self._own.service):
            if agent.address in attempt.tried:
                continue
            load = self._expected_load(agent.address)
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

    def _expected_load(self, address: core.Address) -> _types.Load:
        age_ms = self._fleet.silence_ms(address) or 0
        return _placement.expected_load(self._fleet.load(address), age_ms)

    def _placed_count(self, address: core.Address) -> int:
        """Returns the flows placed at an agent since its last load report."""
        oldest_ms = self._clock.now_ms() - _held.RESERVATION_MS
        times = [at for at in self._placed.get(address, ()) if at >= oldest_ms]
        self._placed[address] = times
        return len(times)
