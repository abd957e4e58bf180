"""Selection of the records that an observed member needs."""

from collections.abc import Iterable

from fireflyford import core
from fireflyford.membership import _rendezvous
from fireflyford.membership import _table
from fireflyford.membership import _types

# Number of nearby balancers that each agent is told of, so that it can return
# datagrams even if it knows no other balancer.
_RETURN_BALANCER_COUNT = 4


def find_needed_records(
    table: _table.MemberTable,
    member: _types.Member,
    candidates: Iterable[str],
    acknowledged_names: Iterable[str],
) -> list[_types.Member]:
    """Returns the records that a member needs, sorted by name.

    Every member needs its observer candidates. An agent also needs the other
    agents of its service and a few balancers to return datagrams through.

    Args:
        table: Records of the observer.
        member: The observed member.
        candidates: Names of its observer candidates.
        acknowledged_names: Names of the members whose records it has
            acknowledged.
    """
    names = {*candidates, *acknowledged_names, table.own.instance_id}
    if member.role is core.Role.AGENT:
        peers = table.service_members(member.service)
        names.update(peer.instance_id for peer in peers)
        names.update(_return_balancers(table, member))
    names.discard(member.instance_id)
    known = table.members
    return [known[name] for name in sorted(names) if name in known]


def _return_balancers(
    table: _table.MemberTable, member: _types.Member
) -> list[str]:
    """Returns the names of balancers in the member's availability zone."""
    near = [
        other
        for other in table.balancers()
        if other.state is _types.State.ALIVE
        and other.availability_zone == member.availability_zone
    ]
    chosen = _rendezvous.select_by_rendezvous(
        f"return/{member.instance_id}", near, _RETURN_BALANCER_COUNT
    )
    return [other.instance_id for other in chosen]
