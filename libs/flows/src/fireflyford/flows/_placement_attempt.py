"""State of one placement."""

from fireflyford import core
from fireflyford.flows import _messages
from fireflyford.flows import _types


class PlacementAttempt:
    """Placement of one new flow."""

    def __init__(
        self, forward: _messages.Forward, packet: _types.Packet, now_ms: int
    ) -> None:
        """Initializes the placement of a flow that no agent was offered yet.

        Args:
            forward: The message that brought the opening packet.
            packet: The opening packet.
            now_ms: Time of the clock.
        """
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
        # came to be there, with the incarnation of the agent and the time.
        self.waiting_agents: dict[core.Address, tuple[int, int]] = {}
        # Agents that keep a slot for the flow while it is offered to another
        # one, with the time of the grant.
        self.grants: dict[core.Address, int] = {}

    def age_ms(self, now_ms: int) -> int:
        """Returns the time since the client's first opening packet."""
        return now_ms - self.started_ms + self.packet.opening_age_ms
