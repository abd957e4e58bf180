"""Records of members and immutable views of them."""

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
    """State of a member.

    Of two records of one version, the one with the higher state wins.
    """

    ALIVE = 0
    DRAINING = 1
    DEAD = 2
    LEFT = 3


@dataclasses.dataclass(frozen=True)
class Member:
    """Record of one instance.

    Attributes:
        instance_id: Name of the instance.
        role: Role of the instance.
        region: Region of the instance.
        availability_zone: Availability zone of the instance.
        service: Service of an agent; empty for a balancer.
        link_address: Address for forwarded datagrams.
        control_address: Address for membership messages.
        bulk_address: Address for bulk transfers.
        status_address: Address of the metrics and health endpoints.
        incarnation: Start time in ms, shifted left by 20, plus 20 random
            bits, so a later start of the same instance has a larger value.
        version: Version of this record within the incarnation.
        state: State of the member.
        weight: Capacity relative to other members of the same kind.
        config_version: Highest configuration version in force at the member.
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
        """Precedence among the records of one instance; the highest wins."""
        return (self.incarnation, self.version, self.state.value)

    @functools.cached_property
    def fingerprint(self) -> int:
        """64-bit hash that identifies instance and incarnation in messages."""
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
        """Creates a view; of duplicate records, the last one is used.

        Args:
            members: Records of the members.
            unconfirmed: Names of members whose death is not confirmed, because
                many targets were declared dead at once.
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
        """Returns dead agents to use only if no target is alive.

        They were declared dead together with at least half of the targets in
        their availability zone, which more likely indicates a network fault.
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
    """Returns an incarnation larger than those of earlier starts."""
    return clock.wall_ms() << _RANDOM_BITS | rng.getrandbits(_RANDOM_BITS)
