"""A flow that is open is placed again by a directory agent that wakes up."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2")
)

import standins

FREEZE_S = 4.0
FLOW_COUNT = 90


async def run(fleet: standins.Fleet) -> list[str]:
    """Plays the case; returns what broke the rule."""
    record = fleet.record
    for i in range(3):
        fleet.add_node(f"edge-{i}")
    agents = [fleet.add_node(f"side-{i}", "tahian") for i in range(6)]
    await fleet.start(standins.config("tahian"))
    if not await fleet.wait_until_ready():
        raise RuntimeError("the fleet is not ready")
    await asyncio.sleep(5)
    first = agents[0]
    assert first.target is not None
    if standins.with_trouble():
        # One machine stands still.
        fleet.signal(first, signal.SIGSTOP)
        first.target.freeze()
    await asyncio.sleep(2.9)
    # Clients open flows meanwhile, and each gets an answer.
    flows = [fleet.clients.new_flow() for _ in range(FLOW_COUNT)]

    async def use(flow: standins.Flow) -> bool:
        return await flow.open() and await flow.request(b"first")

    used = await asyncio.gather(*map(use, flows))
    record.write(f"{sum(used)} of {FLOW_COUNT} flows are open and answered")
    await asyncio.sleep(max(0.0, FREEZE_S - 2.9 - 1.0))
    home = {
        flow.name: node
        for node in agents
        for flow, ok in zip(flows, used, strict=True)
        if ok and holds(fleet, node, flow)
    }
    if standins.with_trouble():
        fleet.signal(first, signal.SIGCONT)
        first.target.wake()
        fleet.disturb(first)
    await asyncio.sleep(0.15)
    # The machine with the most flows that were offered to it although they are
    # open elsewhere stands still next.
    offered = {
        node.name: [
            flow
            for flow in flows
            if flow.name in home
            and home[flow.name] is not node
            and knows(fleet, node, flow)
        ]
        for node in agents
        if node is not first
    }
    second = max(
        (node for node in agents if node is not first),
        key=lambda node: len(offered[node.name]),
    )
    watched = [
        flow
        for flow in offered[second.name]
        if home[flow.name] not in (first, second)
    ]
    record.write(f"{len(watched)} flows were offered to {second.name} as well")
    assert second.target is not None
    if standins.with_trouble():
        fleet.signal(second, signal.SIGSTOP)
        second.target.freeze()
    frozen_s = time.monotonic()
    await asyncio.sleep(1.6)
    if not watched:
        watched = [flow for flow in flows if home.get(flow.name) is not second]
        watched = [flow for flow in watched if flow.name in home][:10]
    broken = []

    async def ask(flow: standins.Flow) -> None:
        node = fleet.select_balancer(flow)
        target = home[flow.name]
        assert node is not None
        record.write(f"client: flow {flow.name} asks through {node.name}")
        served = await flow.request(b"second")
        if flow.was_reset and all(map(fleet.is_in_touch, (node, target))):
            broken.append(
                f"FLOW: open flow {flow.name} was reset through {node.name} "
                f"while its target {target.name} serves"
            )
        elif not served:
            record.write(f"client: flow {flow.name} got no answer")

    await asyncio.gather(*map(ask, watched))
    await asyncio.sleep(max(0.0, frozen_s + FREEZE_S - time.monotonic()))
    if standins.with_trouble():
        fleet.signal(second, signal.SIGCONT)
        second.target.wake()
    return broken


def _key(
    flow: standins.Flow, fleet: standins.Fleet
) -> tuple[int, int, int, int]:
    route = standins.ip_number(fleet.route_host)
    return (flow.src, flow.port, route, fleet.route_port)


def knows(
    fleet: standins.Fleet, node: standins.Node, flow: standins.Flow
) -> bool:
    """Returns whether the target of a machine has had an opening packet."""
    assert node.target is not None
    return _key(flow, fleet) in node.target.flows


def holds(
    fleet: standins.Fleet, node: standins.Node, flow: standins.Flow
) -> bool:
    """Returns whether a flow is open at the target of a machine."""
    assert node.target is not None
    known = node.target.flows.get(_key(flow, fleet))
    return known is not None and known.opened


if __name__ == "__main__":
    standins.run_case(run, __file__)
