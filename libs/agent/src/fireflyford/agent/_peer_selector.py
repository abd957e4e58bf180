"""Selection of service peers and balancers from the membership view."""

import collections

import xxhash

from fireflyford import core
from fireflyford import membership
from fireflyford.agent import _return_path

# A caller retransmits its first datagram until a response arrives. All copies
# go to the same peer until it has not responded for this time.
_RELAY_RETRY_MS = 400
_MAX_REMEMBERED_FLOWS = 4_096


class PeerSelector(_return_path.BalancerSource):
    """Selects peers and balancers from the membership view."""

    def __init__(
        self,
        members: membership.Membership,
        own_member: membership.Member,
        clock: core.Clock,
    ) -> None:
        """Initializes the selector.

        Args:
            members: Source of membership views.
            own_member: Membership record of this agent.
            clock: Source of time.
        """
        self._membership = members
        self._own_member = own_member
        self._clock = clock
        self._first_relayed_ms: collections.OrderedDict[bytes, int] = (
            collections.OrderedDict()
        )
        self._weights: dict[core.Address, float] = {}
        self._unavailable: set[core.Address] = set()
        members.on_change(self._update_balancers)

    def alive_peers(self) -> list[membership.Member]:
        """Returns the service peers that accept new flows."""
        return [
            member
            for member in self._membership.view().targets(
                self._own_member.service
            )
            if member.state is membership.State.ALIVE
            and member.instance_id != self._own_member.instance_id
        ]

    def find_relay_peer(self, destination_id: bytes) -> core.Address | None:
        """Returns the peer to relay a new flow to, or None without peers."""
        peers = self.alive_peers()
        if not peers:
            return None
        now_ms = self._clock.now_ms()
        first_ms = self._first_relayed_ms.setdefault(destination_id, now_ms)
        if len(self._first_relayed_ms) > _MAX_REMEMBERED_FLOWS:
            self._first_relayed_ms.popitem(last=False)
        attempt = (now_ms - first_ms) // _RELAY_RETRY_MS
        peers.sort(
            key=lambda member: xxhash.xxh64_intdigest(
                member.instance_id.encode() + destination_id
            )
        )
        return peers[attempt % len(peers)].link_address

    def weights(self) -> dict[core.Address, float]:
        """Returns the capacity weights of the balancers in service."""
        return self._weights

    def is_unavailable(self, address: core.Address) -> bool:
        """Returns whether the balancer is draining, dead or departed."""
        return address in self._unavailable

    def _update_balancers(self, view: membership.View) -> None:
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
        self._unavailable = {
            member.link_address
            for member in balancers
            if member.state is not in_service
        } - self._weights.keys()
