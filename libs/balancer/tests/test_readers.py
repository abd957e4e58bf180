"""Tests of the selection of balancers that read the store."""

import dataclasses

from fireflyford import balancer
from fireflyford import core
from fireflyford import membership

REGION_SIZES = {"north": 40, "south": 10, "west": 2}
ADDRESS = core.Address("127.0.0.1", 1)


def members() -> list[membership.Member]:
    return [
        membership.Member(
            instance_id=f"{region}-{index}",
            role=core.Role.BALANCER,
            region=region,
            availability_zone="quay",
            service="",
            link_address=ADDRESS,
            control_address=ADDRESS,
            bulk_address=ADDRESS,
            status_address=ADDRESS,
            incarnation=1,
        )
        for region, count in REGION_SIZES.items()
        for index in range(count)
    ]


def readers(view: membership.View, region: str) -> set[str]:
    return {
        name
        for name, member in view.members.items()
        if member.region == region
        and balancer.is_config_reader(view, name, region)
    }


def test_each_region_has_at_most_three_readers() -> None:
    """Guards against store calls that grow with the number of instances."""
    view = membership.View(members())
    assert {name: len(readers(view, name)) for name in REGION_SIZES} == {
        "north": 3,
        "south": 3,
        "west": 2,
    }


def test_only_dead_reader_is_replaced() -> None:
    """Guards against a region without readers after failures."""
    known = members()
    before = readers(membership.View(known), "north")
    dead = sorted(before)[0]
    changed = [
        dataclasses.replace(item, state=membership.State.DEAD)
        if item.instance_id == dead
        else item
        for item in known
    ]
    after = readers(membership.View(changed), "north")
    assert len(after) == 3
    assert before - after == {dead}
