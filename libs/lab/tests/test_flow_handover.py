"""Exhaustive exploration of the message orders of a handover, with faults."""

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


def names_in_ring_order(names: str) -> list[str]:
    """Returns names in the order in which the ring prefers them for KEY."""
    ring = routing.TargetRing(make_target(name) for name in names)
    return [target.name for target in ring.walk(KEY, len(names))]


@dataclasses.dataclass(frozen=True)
class Faults:
    """Remaining number of faults of each kind in one run."""

    losses: int = 0
    duplicates: int = 0
    crashes: int = 0


class ExplorationState:
    """Agents, routers, messages in transit and remaining faults of a run."""

    def __init__(
        self,
        network: _flow_network.FlowNetwork,
        routers: list[routing.Router],
        faults: Faults,
        holder: core.Holder | None,
    ) -> None:
        """Takes the parts of the state; a live `holder` must keep the flow."""
        self.network = network
        self.routers = routers
        self.faults = faults
        self.holder = holder

    def fingerprint(self) -> str:
        """Returns a text that is the same for equal states."""
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
        in_flight = sorted(map(repr, self.network.in_flight))
        delivery_holders = sorted(
            {str(d.holder) for d in self.network.deliveries}
        )
        return repr(
            (nodes, in_flight, delivery_holders, self.faults, self.holder)
        )


def make_state(
    views: list[list[routing.Target]],
    faults: Faults,
    holding_target: routing.Target | None,
    table: _flow_network.FlowTableFactory = routing.FlowTable,
) -> ExplorationState:
    network = _flow_network.FlowNetwork(table)
    routers = [routing.Router(network.clock) for _ in views]
    if holding_target is not None:
        network.start(holding_target)
        routers[0].replace_targets([dataclasses.replace(holding_target)])
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
    return ExplorationState(
        network,
        routers,
        faults,
        None if holding_target is None else holding_target.holder,
    )


def clone(state: ExplorationState) -> ExplorationState:
    """Copies a state; shares its rings, which are immutable and costly."""
    rings = [router._ring for router in state.routers]
    rings += [old for router in state.routers for _, old in router._history]
    for node in state.network.nodes.values():
        rings += [node._ring, node._ring_without_self]
    return copy.deepcopy(state, {id(ring): ring for ring in rings})


def next_states(state: ExplorationState) -> Iterator[ExplorationState]:
    faults = state.faults
    seen = set()
    for index, message in enumerate(state.network.in_flight):
        if repr(message) in seen:
            continue
        seen.add(repr(message))
        after = clone(state)
        after.network.deliver(after.network.in_flight.pop(index))
        yield after
        if faults.duplicates:
            after = clone(state)
            after.faults = dataclasses.replace(
                faults, duplicates=faults.duplicates - 1
            )
            after.network.deliver(after.network.in_flight[index])
            yield after
        if faults.losses:
            after = clone(state)
            after.faults = dataclasses.replace(faults, losses=faults.losses - 1)
            after.network.in_flight.pop(index)
            yield after
    if faults.crashes and state.holder is not None:
        after = clone(state)
        after.faults = dataclasses.replace(faults, crashes=0)
        after.network.kill(state.holder.address)
        after.holder = None
        yield after


def check_single_holder(state: ExplorationState) -> None:
    assert state.network.max_hops <= routing.MAX_HOPS
    if state.holder is not None:
        assert state.network.holders(KEY) == [state.holder]
        assert {d.holder for d in state.network.deliveries} <= {state.holder}


def check_final_state(state: ExplorationState) -> None:
    """Checks that exactly one agent holds the flow once messages stop."""
    network = state.network
    alive = set(network.nodes)
    for router in state.routers:
        # Views drop a dead target before its directory entries time out.
        router.replace_targets(
            target for target in router._targets if target.address in alive
        )
    for _ in range(8):
        network.clock.time_ms += routing.MAX_MESSAGE_AGE_MS // 2
        network.retry_all()
        for router, balancer in zip(state.routers, BALANCERS, strict=True):
            network.send(router, balancer, KEY)
        network.deliver_all()
    for _ in range(6):
        network.clock.time_ms += 250
        network.retry_all()
        network.deliver_all()
    holders = network.holders(KEY)
    assert len(holders) == 1, holders
    network.deliveries.clear()
    for router, balancer in zip(state.routers, BALANCERS, strict=True):
        network.send(router, balancer, KEY)
    network.deliver_all()
    assert [d.holder for d in network.deliveries] == holders * 2


def explore(initial_state: ExplorationState) -> int:
    seen: set[str] = set()
    unexplored = [initial_state]
    while unexplored:
        state = unexplored.pop()
        fingerprint = state.fingerprint()
        if fingerprint in seen:
            continue
        seen.add(fingerprint)
        check_single_holder(state)
        if not state.network.in_flight:
            check_final_state(clone(state))
        unexplored.extend(next_states(state))
    return len(seen)


def join_views() -> tuple[list[list[routing.Target]], routing.Target]:
    joining, holder, other = names_in_ring_order("abc")
    old = [make_target(holder), make_target(other)]
    return [old, [*old, make_target(joining)]], make_target(holder)


def drain_views() -> tuple[list[list[routing.Target]], routing.Target]:
    holder, second, third = names_in_ring_order("abc")
    rest = [make_target(second), make_target(third)]
    old = [make_target(holder), *rest]
    return [old, [make_target(holder, True), *rest]], make_target(holder)


@pytest.mark.parametrize("views", [join_views(), drain_views()])
@pytest.mark.parametrize(
    "faults", [Faults(losses=1), Faults(duplicates=1), Faults(crashes=1)]
)
def test_live_holder_keeps_flow_under_single_fault(
    views: tuple[list[list[routing.Target]], routing.Target], faults: Faults
) -> None:
    """Guards against a second holder in a handover with one fault."""
    assert explore(make_state(views[0], faults, views[1])) > 10


@pytest.mark.parametrize(
    ("views", "faults"),
    [
        (join_views()[0], Faults(losses=1)),
        (join_views()[0], Faults(duplicates=1)),
        (drain_views()[0], Faults(losses=1)),
    ],
)
def test_concurrent_adoptions_converge_to_single_holder(
    views: list[list[routing.Target]], faults: Faults
) -> None:
    """Guards against two holders of a flow that starts under two views."""
    assert explore(make_state(views, faults, None)) > 10


class NoticeIgnoringTable(routing.FlowTable):
    """Faulty table that ignores notices about flows that it holds."""

    def handle_notice(
        self, notice: routing.Notice, sender: core.Holder
    ) -> routing.Decision:
        """Drops each notice about a held flow."""
        if self.holds(notice.flow_key):
            return routing.Decision(routing.Action.DROP)
        return super().handle_notice(notice, sender)


class NoSearchTable(routing.FlowTable):
    """Faulty table that adopts a new flow without a search."""

    def handle_datagram(
        self, datagram: routing.ForwardedDatagram
    ) -> routing.Decision:
        """Drops the candidates of the chain."""
        if datagram.hops == 0:
            datagram = dataclasses.replace(datagram, chain=())
        return super().handle_datagram(datagram)


def test_exploration_detects_faulty_flow_tables() -> None:
    """Guards against an exploration that cannot detect faults."""
    views, holding_target = join_views()
    with pytest.raises(AssertionError):
        explore(make_state(views, Faults(), holding_target, NoSearchTable))
    losses = Faults(losses=3)
    with pytest.raises(AssertionError):
        explore(make_state(views, losses, None, NoticeIgnoringTable))
