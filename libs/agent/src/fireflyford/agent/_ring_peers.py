"""Where an agent's view places plain-datagram flows."""

from collections.abc import Callable

from fireflyford import core
from fireflyford import membership
from fireflyford import routing


class RingPeers(routing.FlowPlacement):
    """Places flows as balancers with the same view do."""

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
        self._others = routing.TargetRing(())

    def first_target(self, flow_key: int) -> core.Holder | None:
        """Returns the first target of a flow key in the current view."""
        self._refresh()
        target = self._ring.find(flow_key)
        return None if target is None else target.holder

    def successor(self, flow_key: int) -> core.Holder | None:
        """Returns the first target besides this agent while it drains."""
        if not self._is_draining():
            return None
        self._refresh()
        target = self._others.find(flow_key)
        return None if target is None else target.holder

    def _refresh(self) -> None:
        view = self._view()
        if view is self._known:
            return
        self._known = view
        service = self._own.service
        members = routing.group_by_service(view, [service])[service]
        targets = routing.make_targets(members)
        self._ring = routing.TargetRing(targets)
        self._others = routing.TargetRing(
            target for target in targets if target.name != self._own.instance_id
        )


def dead_holders(view: membership.View) -> frozenset[core.Holder]:
    """Returns the agents whose flows are free for adoption."""
    return frozenset(
        core.Holder(member.link_address, member.link_incarnation)
        for member in view.members.values()
        if member.state in (membership.State.DEAD, membership.State.LEFT)
    )
