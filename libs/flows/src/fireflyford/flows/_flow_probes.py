"""Probes that test whether a backend server holds a flow.

An agent that has restarted does not know the flows of its backend server. It
delivers a packet of an unknown flow as a probe, which the backend server
returns if it does not hold the flow. A probe that is not returned shows that
the flow is held only if the backend server was running meanwhile.
"""

import collections
import dataclasses
import math

from fireflyford import core
from fireflyford import telemetry
from fireflyford.flows import _fleet
from fireflyford.flows import _messages
from fireflyford.flows import _types

# Time limit for the backend server to return a probe; a running one takes less
# than a millisecond.
PROBE_LIMIT_MS = 50
# A running backend server sends a report within this time: the interval is at
# most 1.2 s, and one report may be lost.
FIRST_KEEPALIVE_MS = 2_500
# Probability of taking a running backend server for one that does not run,
# because it holds all the flows whose probes it has not returned.
_MAX_ERROR_PROBABILITY = 1e-5
# A delivery tag identifies a delivered probe, and a returned packet carries it;
# 0 means no tag.
_MAX_DELIVERY_TAG = 0x7FFFFFFF
# Time between two checks after which this process is taken to have been frozen;
# checks are 20 ms apart. What the backend server sent meanwhile may still be
# waiting to be read.
_MAX_CHECK_GAP_MS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """A packet that tests whether the backend server holds a flow.

    Attributes:
        forward: The message that brought the packet.
        sender: Sender of that message.
        packet: The packet.
        deadline_ms: Time until which the backend server returns it.
        heard_count: Signs of life of the backend server before the delivery.
    """

    forward: _messages.Forward
    sender: core.Address
    packet: _types.Packet
    deadline_ms: int
    heard_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Results:
    """Probes whose outcome is known.

    Attributes:
        held: Probes of flows that the backend server holds.
        not_held: Probes of flows that it does not hold.
    """

    held: tuple[Probe, ...]
    not_held: tuple[Probe, ...]


class FlowProbes:
    """Probes that the backend server has not returned."""

    def __init__(
        self,
        clock: core.Clock,
        own_instance: _types.Instance,
        fleet: _fleet.Fleet,
    ) -> None:
        """Initializes an agent without probes.

        Args:
            clock: Source of time.
            own_instance: This agent.
            fleet: View of all instances.
        """
        self._clock = clock
        self._own_instance = own_instance
        self._fleet = fleet
        self._probes: collections.OrderedDict[int, Probe] = (
            collections.OrderedDict()
        )
        self._last_delivery_tag = 0
        # Packets and reports of the backend server since this process started.
        self._heard_count = 0
        # Since when the backend server has to send a sign of life: the start of
        # this process, or the first probe after its last sign.
        self._awaited_since_ms: int | None = clock.now_ms()
        self._last_check_ms = clock.now_ms()
        # Probes to an earlier process of the backend server.
        self._disproved: list[Probe] = []
        # Whether the backend server is taken for not running until it sends
        # something.
        self.is_target_presumed_gone = False

    def __len__(self) -> int:
        """Returns the number of probes without an outcome."""
        return len(self._probes) + len(self._disproved)

    def record_heard(self) -> None:
        """Records that the backend server has sent something."""
        self._heard_count += 1
        self._awaited_since_ms = None
        self.is_target_presumed_gone = False

    def record_restart(self) -> None:
        """Records that another process of the backend server has started.

        It holds no flow of the earlier one, to which the probes were delivered.
        """
        self._disproved += self.clear()

    def add(
        self,
        forward: _messages.Forward,
        sender: core.Address,
        packet: _types.Packet,
    ) -> int:
        """Adds a probe and returns its delivery tag."""
        now_ms = self._clock.now_ms()
        if self._awaited_since_ms is None:
            self._awaited_since_ms = now_ms
        self._last_delivery_tag = (
            self._last_delivery_tag % _MAX_DELIVERY_TAG + 1
        )
        self._probes[self._last_delivery_tag] = Probe(
            forward, sender, packet, now_ms + PROBE_LIMIT_MS, self._heard_count
        )
        return self._last_delivery_tag

    def take_returned(self, delivery_tag: int) -> Probe | None:
        """Removes and returns the probe that was returned with a tag."""
        return self._probes.pop(delivery_tag, None)

    def take_flow(self, flow: bytes) -> list[Probe]:
        """Removes and returns the probes of a flow."""
        tags = [
            tag
            for tag, probe in self._probes.items()
            if probe.packet.flow == flow
        ]
        return [self._probes.pop(tag) for tag in tags]

    def clear(self) -> list[Probe]:
        """Removes and returns all probes."""
        probes = [*self._disproved, *self._probes.values()]
        self._disproved = []
        self._probes.clear()
        return probes

    def take_results(self) -> Results:
        """Removes and returns the probes whose outcome is known."""
        now_ms = self._clock.now_ms()
        previous_ms = self._last_check_ms
        was_frozen = now_ms - previous_ms > _MAX_CHECK_GAP_MS
        is_awaited = self._awaited_since_ms is not None
        if was_frozen and self._heard_count and is_awaited:
            self._awaited_since_ms = now_ms
        self._last_check_ms = now_ms
        held: list[Probe] = []
        not_held, self._disproved = self._disproved, []
        is_gone: bool | None = None
        while self._probes:
            tag, probe = next(iter(self._probes.items()))
            if now_ms < probe.deadline_ms:
                break
            if self._heard_count > probe.heard_count:
                held.append(probe)
            else:
                if is_gone is None:
                    is_gone = self._is_target_gone(previous_ms)
                # What the backend server sent may be unread when the event loop
                # is late; it is read between two checks.
                if not is_gone or probe.deadline_ms > previous_ms:
                    # A backend server that sends nothing may not be running.
                    break
                not_held.append(probe)
            del self._probes[tag]
        return Results(tuple(held), tuple(not_held))

    def overdue_searchers(self) -> set[core.Address]:
        """Returns the senders of searches whose answers are withheld."""
        now_ms = self._clock.now_ms()
        return {
            probe.sender
            for probe in self._probes.values()
            if probe.forward.handling is _messages.Handling.SEARCH
            and now_ms >= probe.deadline_ms
        }

    def _is_target_gone(self, previous_check_ms: int) -> bool:
        """Returns whether a backend server that sends nothing is not there.

        A running one reports within `FIRST_KEEPALIVE_MS`. Before its first
        sign of life, a shorter time suffices if it returns no probe: searches
        reach all agents, so each of their flows is held here with a probability
        of one in as many.
        """
        now_ms = self._clock.now_ms()
        if (
            self._awaited_since_ms is not None
            and now_ms - self._awaited_since_ms >= FIRST_KEEPALIVE_MS
        ):
            return True
        if self.is_target_presumed_gone:
            return True
        agent_count = len(self._fleet.agents(self._own_instance.service))
        if self._heard_count or agent_count < 2:
            return False
        needed_count = math.log(1 / _MAX_ERROR_PROBABILITY, agent_count)
        searched_flows = {
            probe.packet.flow
            for probe in self._probes.values()
            if probe.forward.handling is _messages.Handling.SEARCH
            and previous_check_ms >= probe.deadline_ms
        }
        if len(searched_flows) < needed_count:
            return False
        self.is_target_presumed_gone = True
        telemetry.log("target-presumed-gone", probes=len(searched_flows))
        return True
