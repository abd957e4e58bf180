"""Agent that adopts plain-datagram flows in place of a draining one."""

from collections.abc import Callable

from fireflyford import core
from fireflyford import membership
from fireflyford import routing


class RingSuccessor(routing.Successor):
    """Places flows as the balancers do once they know of the drain."""

    def __init__(
        self,
        own: membership.Member,
        is_draining: Callable[[], bool],
        view: Callable[[], membership.View],
    ) -> None:
        """Takes this agent's record, its state and the source of views."""
        self._own = own
        self._is_draining = is_draining
        self._view = view
        self._known: membership.View | None = None
        self._ring = routing.TargetRing(())

    def find(self, flow_key: int) -> core.Holder | None:
        """Returns the first target of a flow key without this agent.

        None while this agent adopts flows, or when there is no other.
        """
        if not self._is_draining():
            return None
        view = self._view()
        if view is not self._known:
            self._known = view
            grouped = routing.group_targets(view, [self._own.service])
            self._ring = routing.TargetRing(
                target
                for target in grouped[self._own.service]
                if target.name != self._own.instance_id
            )
        target = self._ring.find(flow_key)
        return None if target is None else target.holder


def dead_holders(view: membership.View) -> frozenset[core.Holder]:
    """Returns the agents whose flows are free for adoption."""
    return frozenset(
        core.Holder(member.link_address, member.link_incarnation)
        for member in view.members.values()
        if member.state in (membership.State.DEAD, membership.State.LEFT)
    )
