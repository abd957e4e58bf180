"""A new agent that stood still for 4 s is unknown to its peers."""

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
FLOW_COUNT = 300
BATCH_COUNT = 10


async def run(fleet: standins.Fleet) -> list[str]:
    """Plays the case; returns what broke the rule."""
    record = fleet.record
    balancers = [fleet.add_node(f"edge-{i}") for i in range(3)]
    for i in range(4):
        fleet.add_node(f"side-{i}", "tahian")
    await fleet.start(standins.config("tahian"))
    if not await fleet.wait_until_ready():
        raise RuntimeError("the fleet is not ready")
    # A calm time in which all watches wait for changes.
    await asyncio.sleep(18)
    # Two targets are added, one second apart.
    record.write("operator: two targets are added")
    await fleet.start_machine(fleet.add_node("side-4", "tahian"))
    await asyncio.sleep(1.0)
    late = fleet.add_node("side-5", "tahian")
    assert late.target is not None
    await fleet.start_machine(late)
    if not await fleet.wait_until_ready():
        raise RuntimeError("the new machines are not ready")
    # Until load reports of the new agents have arrived at their peers.
    await asyncio.sleep(0.4)
    opened = [fleet.clients.new_flow() for _ in range(FLOW_COUNT)]

    async def use(flow: standins.Flow) -> bool:
        return await flow.open() and await flow.request(b"first")

    used: list[bool] = []
    for start in range(0, FLOW_COUNT, BATCH_COUNT):
        batch = opened[start : start + BATCH_COUNT]
        used += await asyncio.gather(*map(use, batch))
    flows = [flow for flow, ok in zip(opened, used, strict=True) if ok]
    held = {
        f"{name}:{port}"
        for name, port in (
            (fleet.flow_name(key).split(":")[0], key[1])
            for key, known in late.target.flows.items()
            if known.opened
        )
    }
    ours = [flow for flow in flows if flow.name in held]
    record.write(f"{len(flows)} flows are open, {len(ours)} at {late.name}")
    if not ours:
        raise RuntimeError("no flow at the new target")
    if standins.with_trouble():
        # The machine stands still and wakes again.
        fleet.signal(late, signal.SIGSTOP)
        late.target.freeze()
    await asyncio.sleep(FREEZE_S)
    if standins.with_trouble():
        fleet.signal(late, signal.SIGCONT)
        late.target.wake()
        fleet.disturb(late)
    woke_s = time.monotonic()
    await asyncio.sleep(1.0)
    answered = [await flow.request(b"second") for flow in ours]
    record.write(f"after the freeze {sum(answered)} flows are answered")
    # A balancer is stopped and started, so that flows move to others.
    await asyncio.sleep(max(0.0, woke_s + 2.7 - time.monotonic()))
    fleet.signal(balancers[0], signal.SIGTERM)
    window_s = fleet.bounds["stable_window_ms"] / 1_000
    await asyncio.sleep(max(0.0, woke_s + window_s + 0.05 - time.monotonic()))
    broken = []

    async def ask(flow: standins.Flow) -> None:
        node = fleet.select_balancer(flow)
        is_in_touch = fleet.is_in_touch(late) and fleet.is_in_touch(node)
        record.write(
            f"client: flow {flow.name} asks again through {node.name}, "
            f"machines in touch: {is_in_touch}"
        )
        served = await flow.request(b"third")
        if flow.was_reset and is_in_touch:
            broken.append(
                f"FLOW: open flow {flow.name} was reset through {node.name} "
                f"while its target {late.target.id} serves"
            )
        elif not served:
            record.write(f"client: flow {flow.name} got no answer")

    await asyncio.gather(*map(ask, ours))
    return broken


if __name__ == "__main__":
    standins.run_case(run, __file__)
