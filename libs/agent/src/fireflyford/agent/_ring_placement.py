"""Placement of plain-datagram flows on the ring of an agent's view."""

from collections.abc import Callable

from fireflyford import core
from fireflyford import membership
from fireflyford import routing


class RingFlowPlacement(routing.FlowPlacement):
    """Places flows in the same way as balancers with the same view."""

    def __init__(
        self,
        own_member: membership.Member,
        is_draining: Callable[[], bool],
        view: Callable[[], membership.View],
    ) -> None:
        """Initializes the placement.

        Args:
            own_member: Membership record of this agent.
            is_draining: Returns whether this agent is draining.
            view: Returns the current membership view.
        """
        self._own_member = own_member
        self._is_draining = is_draining
        self._view = view
        self._last_view: membership.View | None = None
        self._ring = routing.TargetRing(())
        self._ring_without_self = routing.TargetRing(())

    def first_target(self, flow_key: int) -> core.Holder | None:
        """Returns the first target for a flow key in the current view."""
        self._refresh()
        target = self._ring.find(flow_key)
        return None if target is None else target.holder

    def successor(self, flow_key: int) -> core.Holder | None:
        """Returns the first other target while this agent is draining."""
        if not self._is_draining():
            return None
        self._refresh()
        target = self._ring_without_self.find(flow_key)
        return None if target is None else target.holder

    def _refresh(self) -> None:
        view = self._view()
        if view is self._last_view:
            return
        self._last_view = view
        service = self._own_member.service
        members = routing.group_by_service(view, [service])[service]
        targets = routing.make_targets(members)
        self._ring = routing.TargetRing(targets)
        self._ring_without_self = routing.TargetRing(
            target
            for target in targets
            if target.name != self._own_member.instance_id
        )


def dead_holders(view: membership.View) -> frozenset[core.Holder]:
    """Returns dead and departed agents, whose flows may be adopted."""
    return frozenset(
        core.Holder(member.link_address, member.link_incarnation)
        for member in view.members.values()
        if member.state in (membership.State.DEAD, membership.State.LEFT)
    )
