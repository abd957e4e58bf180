"""Simulation of plain-datagram flows in virtual time under changing views."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import functools
import heapq
import random

from fireflyford import core
from fireflyford import routing
from fireflyford.lab import _flow_baselines
from fireflyford.lab import _flow_network

_TARGET_COUNT = 10
_MESSAGE_DELAY_MS = (0.5, 1.5)
# A view reaches every balancer and agent within 3 s.
_VIEW_DELAY_MS = (50, 3_000)
_RETRY_INTERVAL_MS = 50


@dataclasses.dataclass(frozen=True)
class Plan:
    """Parameters of one run.

    Attributes:
        balancer_count: Number of balancers, each with its own view.
        flow_count: Flows opened during the warm-up.
        packet_count: Datagrams that callers send after the warm-up.
        duration_ms: Length of the run after the warm-up.
        changes: Changes of the targets at regular intervals: `join`, `drain`,
            `weight` or `kill`.
        new_flow_ratio: Fraction of datagrams that start a new flow.
    """

    balancer_count: int
    flow_count: int
    packet_count: int
    duration_ms: int
    changes: tuple[str, ...]
    new_flow_ratio: float = 0.05


class DeliveryCounts:
    """Delivery statistics of one routing method."""

    def __init__(self) -> None:
        """Starts without flows."""
        self._owners: dict[int, str] = {}
        self.broken_flows: set[int] = set()
        self.misrouted_count = 0
        self.delivered_count = 0

    def add(self, flow_key: int, target: str, alive: set[str]) -> None:
        """Records a delivery.

        A delivery to another target is misrouted while the owner is alive.
        """
        self.delivered_count += 1
        owner = self._owners.get(flow_key)
        if owner is None or owner not in alive:
            self._owners[flow_key] = target
        elif owner != target:
            self.misrouted_count += 1
            self.broken_flows.add(flow_key)


class FlowSimulation:
    """Runs one plan with the production routing code and with baselines."""

    def __init__(self, plan: Plan, rng: random.Random) -> None:
        """Prepares an empty network and the routers of the balancers."""
        self._plan = plan
        self._rng = rng
        self.network = _flow_network.FlowNetwork()
        self._clock = self.network.clock
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._targets: dict[str, routing.Target] = {}
        self._started_count = 0
        self._routers = [
            routing.Router(self._clock) for _ in range(plan.balancer_count)
        ]
        self._views: list[Sequence[routing.Target]] = []
        self._flows: list[int] = []
        self._seen_deliveries = 0
        self.delivery_counts = DeliveryCounts()
        self.baseline_counts: dict[str, DeliveryCounts] = {}
        self._baselines: list[_flow_baselines.Baseline] = [
            _flow_baselines.ModuloHash(),
            _flow_baselines.RendezvousHash(),
            _flow_baselines.BalancerFlowTable(),
        ]
        for baseline in self._baselines:
            self.baseline_counts[baseline.name] = DeliveryCounts()
        self.hops: list[int] = []
        self._killed_holders: set[core.Holder] = set()
        self.sent_count = 0

    def run(self) -> None:
        """Runs the plan to its end."""
        for _ in range(_TARGET_COUNT):
            self._start_target()
        view = tuple(self._targets.values())
        self._views = [view] * self._plan.balancer_count
        for router in self._routers:
            router.replace_targets(view)
        for node in self.network.nodes.values():
            node.replace_targets(view)
        self._schedule_events()
        while self._events:
            time_ms, _, callback = heapq.heappop(self._events)
            self._clock.time_ms = int(time_ms)
            callback()
            self._process_messages(time_ms)

    def _schedule_events(self) -> None:
        plan = self._plan
        start_ms = float(self._clock.time_ms)
        warm_up_ms = 2_000.0
        for number in range(plan.flow_count):
            at_ms = start_ms + warm_up_ms * number / plan.flow_count
            self._schedule(at_ms, self._open_flow)
        start_ms += warm_up_ms
        for _ in range(plan.packet_count):
            at_ms = start_ms + self._rng.random() * plan.duration_ms
            self._schedule(at_ms, self._send_packet)
        gap_ms = plan.duration_ms / (len(plan.changes) + 1)
        for number, change in enumerate(plan.changes):
            at_ms = start_ms + gap_ms * (number + 1)
            self._schedule(at_ms, functools.partial(self._change, change))
        for tick in range(int((plan.duration_ms + 4_000) / _RETRY_INTERVAL_MS)):
            self._schedule(
                start_ms + tick * _RETRY_INTERVAL_MS, self.network.retry_all
            )

    def _schedule(self, time_ms: float, callback: Callable[[], None]) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (time_ms, self._event_count, callback))

    def _process_messages(self, time_ms: float) -> None:
        """Schedules the delivery of new messages and records deliveries."""
        for message in self.network.in_flight:
            delay_ms = self._rng.uniform(*_MESSAGE_DELAY_MS)
            self._schedule(
                time_ms + delay_ms,
                functools.partial(self.network.deliver, message),
            )
        self.network.in_flight.clear()
        names = {node.holder: node.name for node in self.network.nodes.values()}
        for delivery in self.network.deliveries:
            self.hops.append(delivery.hops)
            self.delivery_counts.add(
                delivery.flow_key, names[delivery.holder], set(self._targets)
            )
        self.network.deliveries.clear()

    # Callers.

    def _open_flow(self) -> None:
        flow_key = self._rng.getrandbits(64)
        self._flows.append(flow_key)
        self._send(flow_key)

    def _send_packet(self) -> None:
        if self._rng.random() < self._plan.new_flow_ratio:
            # Two datagrams sent at once can reach different agents, each of
            # which may adopt the flow.
            self._open_flow()
            self._send(self._flows[-1])
        else:
            self._send(self._rng.choice(self._flows))

    def _send(self, flow_key: int) -> None:
        self.sent_count += 1
        index = self._rng.randrange(self._plan.balancer_count)
        balancer = core.Address("10.0.0.1", index)
        self.network.send(self._routers[index], balancer, flow_key)
        alive = set(self._targets)
        for baseline in self._baselines:
            chosen = baseline.choose(index, self._views[index], flow_key)
            if chosen in alive:
                self.baseline_counts[baseline.name].add(flow_key, chosen, alive)

    # Changes.

    def _start_target(self) -> None:
        self._started_count += 1
        number = self._started_count
        target = routing.Target(
            f"target-{number}", core.Address("10.0.1.1", number), number
        )
        self._targets[target.name] = target
        self.network.start(target)

    def _change(self, change: str) -> None:
        accepting = [t for t in self._targets.values() if t.accepts_flows]
        target = self._rng.choice(accepting)
        if change == "join":
            self._start_target()
        elif change == "drain":
            self._targets[target.name] = dataclasses.replace(
                target, accepts_flows=False
            )
            self.network.nodes[target.address].draining = True
        elif change == "weight":
            weight = self._rng.choice([0.25, 0.5, 2.0, 4.0])
            self._targets[target.name] = dataclasses.replace(
                target, weight=weight
            )
        else:
            del self._targets[target.name]
            self._killed_holders.add(target.holder)
            self.network.kill(target.address)
        self._schedule_view_updates(tuple(self._targets.values()))

    def _schedule_view_updates(self, view: Sequence[routing.Target]) -> None:
        now_ms = self._clock.time_ms
        for index in range(self._plan.balancer_count):
            delay_ms = self._rng.uniform(*_VIEW_DELAY_MS)
            self._schedule(
                now_ms + delay_ms,
                functools.partial(self._apply_balancer_view, index, view),
            )
        for node in tuple(self.network.nodes.values()):
            delay_ms = self._rng.uniform(*_VIEW_DELAY_MS)
            self._schedule(
                now_ms + delay_ms,
                functools.partial(self._apply_agent_view, node, view),
            )

    def _apply_balancer_view(
        self, index: int, view: Sequence[routing.Target]
    ) -> None:
        self._views[index] = view
        self._routers[index].replace_targets(view)

    def _apply_agent_view(
        self, node: _flow_network.Node, view: Sequence[routing.Target]
    ) -> None:
        if self.network.nodes.get(node.holder.address) is node:
            node.replace_targets(view)
            node.table.remove_holders(self._killed_holders)
            self.network.announce(node)
