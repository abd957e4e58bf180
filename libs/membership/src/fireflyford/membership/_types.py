"""Members and the view that an instance has of them."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum
import functools
import random
import types

import xxhash

from fireflyford import core


class State(enum.Enum):
    """Life of a member, in the order in which later states win."""

    ALIVE = 0
    DRAINING = 1
    DEAD = 2
    LEFT = 3


@dataclasses.dataclass(frozen=True)
class Member:
    """One instance as its last accepted record describes it.

    Attributes:
        instance_id: Name of the instance.
        role: What the instance does.
        region: Region of the instance.
        availability_zone: Availability zone of the instance.
        service: Service of an agent, empty for a balancer.
        link_address: Forwarding socket.
        control_address: Membership socket.
        bulk_address: Bulk transfer socket.
        status_address: Metrics and health.
        incarnation: Start time in ms, shifted left by 20, plus 20 random
            bits; a later start of the same instance is always larger.
        version: Version of this record within the incarnation.
        state: Life of the member.
        weight: Capacity against the other members of the same kind.
        config_version: Highest configuration version in force there.
    """

    instance_id: str
    role: core.Role
    region: str
    availability_zone: str
    service: str
    link_address: core.Address
    control_address: core.Address
    bulk_address: core.Address
    status_address: core.Address
    incarnation: int
    version: int = 0
    state: State = State.ALIVE
    weight: float = 1.0
    config_version: int = 0

    @property
    def order(self) -> tuple[int, int, int]:
        """Sort key of records of one instance; the highest wins."""
        return (self.incarnation, self.version, self.state.value)

    @functools.cached_property
    def fingerprint(self) -> int:
        """64-bit hash of instance and incarnation, for short messages."""
        return xxhash.xxh64_intdigest(
            f"{self.instance_id}/{self.incarnation}".encode()
        )

    @property
    def is_live(self) -> bool:
        """Whether the member is alive or draining."""
        return self.state in (State.ALIVE, State.DRAINING)

    @property
    def link_incarnation(self) -> int:
        """Low 32 bits of the incarnation, as forwarding headers carry it."""
        return self.incarnation & 0xFFFFFFFF


class View:
    """Immutable set of members, one record for each instance."""

    def __init__(
        self, members: Iterable[Member] = (), unconfirmed: Iterable[str] = ()
    ) -> None:
        """Takes the records; a later duplicate replaces an earlier one.

        Args:
            members: Records of the members.
            unconfirmed: Names of dead members that may be alive after all,
                because too many died at once.
        """
        self.members: Mapping[str, Member] = types.MappingProxyType(
            {member.instance_id: member for member in members}
        )
        self._unconfirmed = frozenset(unconfirmed)

    def targets(self, service: str) -> tuple[Member, ...]:
        """Returns the agents of a service that are alive or draining."""
        return tuple(
            member
            for member in self.members.values()
            if member.role is core.Role.AGENT
            and member.service == service
            and member.is_live
        )

    def last_resort_targets(self, service: str) -> tuple[Member, ...]:
        """Returns dead agents to use only when no target is alive.

        They died together with half or more of their availability zone's
        targets, which is more often a fault of the path to them.
        """
        return tuple(
            self.members[name]
            for name in sorted(self._unconfirmed)
            if name in self.members
            and self.members[name].service == service
            and self.members[name].state is State.DEAD
        )

    def balancers(self) -> tuple[Member, ...]:
        """Returns the balancers that are alive or draining."""
        return tuple(
            member
            for member in self.members.values()
            if member.role is core.Role.BALANCER and member.is_live
        )


_RANDOM_BITS = 20


def new_incarnation(clock: core.Clock, rng: random.Random) -> int:
    """Returns an incarnation that is larger than those of earlier starts."""
    return clock.wall_ms() << _RANDOM_BITS | rng.getrandbits(_RANDOM_BITS)
