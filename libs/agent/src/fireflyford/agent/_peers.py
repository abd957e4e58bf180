"""What an agent knows of its service peers and of the balancers."""

import collections

import xxhash

from fireflyford import core
from fireflyford import membership
from fireflyford.agent import _return_path

# A caller repeats its first datagram until it is answered; all of them go to
# one peer, unless that peer has not answered for so long.
_RELAY_ATTEMPT_MS = 400
_MAX_REMEMBERED_FLOWS = 4_096


class Peers(_return_path.BalancerSource):
    """Choices from the membership view."""

    def __init__(
        self,
        members: membership.Membership,
        own: membership.Member,
        clock: core.Clock,
    ) -> None:
        """Prepares the choices.

        Args:
            members: Source of views.
            own: Record of this agent.
            clock: Source of time.
        """
        self._membership = members
        self._own = own
        self._clock = clock
        self._relayed_ms: collections.OrderedDict[bytes, int] = (
            collections.OrderedDict()
        )
        self._weights: dict[core.Address, float] = {}
        self._leaving: set[core.Address] = set()
        members.on_change(self._read_balancers)

    def alive(self) -> list[membership.Member]:
        """Returns the service peers that accept new flows."""
        return [
            member
            for member in self._membership.view().targets(self._own.service)
            if member.state is membership.State.ALIVE
            and member.instance_id != self._own.instance_id
        ]

    def relay_target(self, destination: bytes) -> core.Address | None:
        """Returns the peer for a new flow, or None if there is no peer."""
        peers = self.alive()
        if not peers:
            return None
        now_ms = self._clock.now_ms()
        since_ms = self._relayed_ms.setdefault(destination, now_ms)
        if len(self._relayed_ms) > _MAX_REMEMBERED_FLOWS:
            self._relayed_ms.popitem(last=False)
        attempt = (now_ms - since_ms) // _RELAY_ATTEMPT_MS
        peers.sort(
            key=lambda member: xxhash.xxh64_intdigest(
                member.instance_id.encode() + destination
            )
        )
        return peers[attempt % len(peers)].link_address

    def weights(self) -> dict[core.Address, float]:
        """Returns the balancers in service with their capacity weights."""
        return self._weights

    def is_leaving(self, address: core.Address) -> bool:
        """Returns whether the balancer is known to leave or to be gone."""
        return address in self._leaving

    def _read_balancers(self, view: membership.View) -> None:
        balancers = [
            member
            for member in view.members.values()
            if member.role is core.Role.BALANCER
        ]
        in_service = membership.State.ALIVE
        self._weights = {
            member.link_address: member.weight
            for member in balancers
            if member.state is in_service
        }
        self._leaving = {
            member.link_address
            for member in balancers
            if member.state is not in_service
        } - self._weights.keys()
