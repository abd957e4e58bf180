"""Every order of the messages of a small handover, with faults."""

from collections.abc import Iterator
import copy
import dataclasses

import pytest

from fireflyford import core
from fireflyford import routing
from fireflyford.lab import _flow_network

KEY = 7
BALANCERS = (core.Address("10.0.0.1", 1), core.Address("10.0.0.2", 1))


def make_target(name: str, draining: bool = False) -> routing.Target:
    port = 1_000 + ord(name[-1])
    return routing.Target(
        name, core.Address("10.0.1.1", port), port, 1.0, not draining
    )


def ordered_names(names: str) -> list[str]:
    """Returns names in the order in which the ring prefers them for KEY."""
    ring = routing.TargetRing(make_target(name) for name in names)
    return [target.name for target in ring.walk(KEY, len(names))]


@dataclasses.dataclass(frozen=True)
class Faults:
    """How many faults of each kind one run may still have."""

    losses: int = 0
    duplicates: int = 0
    crashes: int = 0


class World:
    """One state of the exploration."""

    def __init__(
        self,
        network: _flow_network.FlowNetwork,
        routers: list[routing.Router],
        faults: Faults,
        owner: core.Holder | None,
    ) -> None:
        """Takes the state; an `owner` that lives must keep the flow."""
        self.network = network
        self.routers = routers
        self.faults = faults
        self.owner = owner

    def fingerprint(self) -> str:
        """Returns a text equal for equal states."""
        nodes = [
            (
                str(address),
                [
                    (key, type(entry).__name__, vars(entry))
                    for key, entry in node.table._entries
                ],
                node.pending_messages,
            )
            for address, node in self.network.nodes.items()
        ]
        flying = sorted(map(repr, self.network.in_flight))
        places = sorted({str(d.holder) for d in self.network.deliveries})
        return repr((nodes, flying, places, self.faults, self.owner))


def make_world(
    views: list[list[routing.Target]],
    faults: Faults,
    owner: routing.Target | None,
    table: _flow_network.FlowTableFactory = routing.FlowTable,
) -> World:
    network = _flow_network.FlowNetwork(table)
    routers = [routing.Router(network.clock) for _ in views]
    if owner is not None:
        network.start(owner)
        routers[0].replace_targets([dataclasses.replace(owner)])
        network.send(routers[0], BALANCERS[0], KEY)
        network.deliver_all()
        network.deliveries.clear()
        network.clock.time_ms += 1_000
    for view in views:
        for target in view:
            node = network.nodes.get(target.address)
            node = node or network.start(target)
            node.draining |= not target.accepts_flows
    for router, view in zip(routers, views, strict=True):
        router.replace_targets(view)
    for node in network.nodes.values():
        node.replace_targets(views[-1])
    for router, balancer in zip(routers, BALANCERS, strict=True):
        network.send(router, balancer, KEY)
    return World(
        network, routers, faults, None if owner is None else owner.holder
    )


def clone(world: World) -> World:
    """Copies a state; rings never change, and copying them takes longest."""
    rings = [router._ring for router in world.routers]
    rings += [old for router in world.routers for _, old in router._history]
    for node in world.network.nodes.values():
        rings += [node._ring, node._ring_without_self]
    return copy.deepcopy(world, {id(ring): ring for ring in rings})


def next_worlds(world: World) -> Iterator[World]:
    faults = world.faults
    seen = set()
    for index, message in enumerate(world.network.in_flight):
        if repr(message) in seen:
            continue
        seen.add(repr(message))
        after = clone(world)
        after.network.deliver(after.network.in_flight.pop(index))
        yield after
        if faults.duplicates:
            after = clone(world)
            after.faults = dataclasses.replace(
                faults, duplicates=faults.duplicates - 1
            )
            after.network.deliver(after.network.in_flight[index])
            yield after
        if faults.losses:
            after = clone(world)
            after.faults = dataclasses.replace(faults, losses=faults.losses - 1)
            after.network.in_flight.pop(index)
            yield after
    if faults.crashes and world.owner is not None:
        after = clone(world)
        after.faults = dataclasses.replace(faults, crashes=0)
        after.network.kill(world.owner.address)
        after.owner = None
        yield after


def check_safe(world: World) -> None:
    assert world.network.max_hops <= routing.MAX_HOPS
    if world.owner is not None:
        assert world.network.holders(KEY) == [world.owner]
        assert {d.holder for d in world.network.deliveries} <= {world.owner}


def check_end(world: World) -> None:
    """Checks that one agent holds the flow once the network is quiet."""
    network = world.network
    alive = set(network.nodes)
    for router in world.routers:
        # Views exclude a dead target before directory entries time out.
        router.replace_targets(
            target for target in router._targets if target.address in alive
        )
    for _ in range(8):
        network.clock.time_ms += routing.MAX_MESSAGE_AGE_MS // 2
        network.retry_all()
        for router, balancer in zip(world.routers, BALANCERS, strict=True):
            network.send(router, balancer, KEY)
        network.deliver_all()
    for _ in range(6):
        network.clock.time_ms += 250
        network.retry_all()
        network.deliver_all()
    holders = network.holders(KEY)
    assert len(holders) == 1, holders
    network.deliveries.clear()
    for router, balancer in zip(world.routers, BALANCERS, strict=True):
        network.send(router, balancer, KEY)
    network.deliver_all()
    assert [d.holder for d in network.deliveries] == holders * 2


def explore(start: World) -> int:
    seen: set[str] = set()
    waiting = [start]
    while waiting:
        world = waiting.pop()
        mark = world.fingerprint()
        if mark in seen:
            continue
        seen.add(mark)
        check_safe(world)
        if not world.network.in_flight:
            check_end(clone(world))
        waiting.extend(next_worlds(world))
    return len(seen)


def join_views() -> tuple[list[list[routing.Target]], routing.Target]:
    joining, owner, other = ordered_names("abc")
    old = [make_target(owner), make_target(other)]
    return [old, [*old, make_target(joining)]], make_target(owner)


def drain_views() -> tuple[list[list[routing.Target]], routing.Target]:
    owner, second, third = ordered_names("abc")
    rest = [make_target(second), make_target(third)]
    old = [make_target(owner), *rest]
    return [old, [make_target(owner, True), *rest]], make_target(owner)


@pytest.mark.parametrize("views", [join_views(), drain_views()])
@pytest.mark.parametrize(
    "faults", [Faults(losses=1), Faults(duplicates=1), Faults(crashes=1)]
)
def test_a_living_owner_keeps_its_flow(
    views: tuple[list[list[routing.Target]], routing.Target], faults: Faults
) -> None:
    """Guards against a second holder during a handover with one fault."""
    assert explore(make_world(views[0], faults, views[1])) > 10


@pytest.mark.parametrize(
    ("views", "faults"),
    [
        (join_views()[0], Faults(losses=1)),
        (join_views()[0], Faults(duplicates=1)),
        (drain_views()[0], Faults(losses=1)),
    ],
)
def test_agents_that_both_adopt_agree(
    views: list[list[routing.Target]], faults: Faults
) -> None:
    """Guards against two holders of a flow that starts in two views."""
    assert explore(make_world(views, faults, None)) > 10


class StubbornTable(routing.FlowTable):
    """Mutant that never gives a flow up."""

    def handle_notice(
        self, notice: routing.Notice, sender: core.Holder
    ) -> routing.Decision:
        """Ignores every claim while it holds the flow."""
        if self.holds(notice.flow_key):
            return routing.Decision(routing.Action.DROP)
        return super().handle_notice(notice, sender)


class HastyTable(routing.FlowTable):
    """Mutant that adopts a new flow without a search."""

    def handle_datagram(
        self, datagram: routing.ForwardedDatagram
    ) -> routing.Decision:
        """Forgets the candidates."""
        if datagram.hops == 0:
            datagram = dataclasses.replace(datagram, chain=())
        return super().handle_datagram(datagram)


def test_the_exploration_notices_faulty_tables() -> None:
    """Guards against an exploration that could never fail."""
    views, owner = join_views()
    with pytest.raises(AssertionError):
        explore(make_world(views, Faults(), owner, HastyTable))
    late = Faults(losses=3)
    with pytest.raises(AssertionError):
        explore(make_world(views, late, None, StubbornTable))
