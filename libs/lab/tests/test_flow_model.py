"""Model-based test of routing and search under changing views."""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from fireflyford import core
from fireflyford import routing
from fireflyford.lab import _flow_network

BALANCER_COUNT = 3
FLOWS = tuple(
    routing.hash_flow(f"caller-{index}".encode()) for index in range(6)
)
# Maximum number of changes by which a view may lag. It is the number of
# candidates in a chain.
MAX_LAG = 3
MAX_TARGETS = 7


class RoutingModel(stateful.RuleBasedStateMachine):
    """State machine whose model assigns one holder to each flow."""

    def __init__(self) -> None:
        """Starts three targets that all balancers and agents know."""
        super().__init__()
        self.network = _flow_network.FlowNetwork()
        self.routers = [
            routing.Router(self.network.clock) for _ in range(BALANCER_COUNT)
        ]
        self.view_indexes = [0] * BALANCER_COUNT
        self.agents_view_index = 0
        self.views: list[tuple[routing.Target, ...]] = []
        self.targets: dict[str, routing.Target] = {}
        self.holders_by_flow: dict[int, core.Holder] = {}
        self.started_count = 0
        for _ in range(3):
            self.start_target()
        self.publish_view()
        self.refresh_agents()
        for index in range(BALANCER_COUNT):
            self.refresh(index)

    def start_target(self) -> None:
        """Adds a target and starts its agent."""
        self.started_count += 1
        number = self.started_count
        target = routing.Target(
            f"target-{number}", core.Address("10.0.1.1", number), number
        )
        self.targets[target.name] = target
        self.network.start(target)

    def publish_view(self) -> None:
        """Publishes a new view; views that lag too far are refreshed."""
        view = tuple(self.targets.values())
        self.views.append(view)
        self.network.clock.time_ms += 300
        for index, view_index in enumerate(self.view_indexes):
            if len(self.views) - 1 - view_index > MAX_LAG:
                self.refresh(index)
        if len(self.views) - 1 - self.agents_view_index > MAX_LAG:
            self.refresh_agents()

    def refresh_agents(self) -> None:
        """Updates all agents to the latest view."""
        self.agents_view_index = len(self.views) - 1
        for node in self.network.nodes.values():
            node.replace_targets(self.views[-1])
            self.network.announce(node)
        self.network.deliver_all()

    def refresh(self, index: int) -> None:
        """Updates one balancer to the latest view."""
        self.view_indexes[index] = len(self.views) - 1
        self.routers[index].replace_targets(self.views[-1])

    def select_target(self, number: int) -> routing.Target:
        """Returns the target that a random number selects."""
        return list(self.targets.values())[number % len(self.targets)]

    @stateful.precondition(lambda self: len(self.targets) < MAX_TARGETS)
    @stateful.rule()
    def join(self) -> None:
        """A target joins."""
        self.start_target()
        self.publish_view()

    @stateful.rule(number=strategies.integers(0, 20))
    def drain(self, number: int) -> None:
        """A target starts to drain, unless it is the last accepting one."""
        accepting = [t for t in self.targets.values() if t.accepts_flows]
        target = accepting[number % len(accepting)]
        if len(accepting) > 1:
            self.targets[target.name] = dataclasses.replace(
                target, accepts_flows=False
            )
            self.network.nodes[target.address].draining = True
            self.publish_view()

    @stateful.rule(number=strategies.integers(0, 20))
    def kill(self, number: int) -> None:
        """A target crashes, unless it is the last that accepts flows."""
        target = self.select_target(number)
        accepting = [t for t in self.targets.values() if t.accepts_flows]
        if accepting == [target]:
            return
        del self.targets[target.name]
        self.network.kill(target.address)
        for node in self.network.nodes.values():
            node.table.remove_holders({target.holder})
        self.publish_view()

    @stateful.rule(
        number=strategies.integers(0, 20),
        weight=strategies.sampled_from([0.25, 0.5, 1.0, 2.0, 4.0]),
    )
    def change_weight(self, number: int, weight: float) -> None:
        """A target reports a new weight."""
        target = self.select_target(number)
        self.targets[target.name] = dataclasses.replace(target, weight=weight)
        self.publish_view()

    @stateful.rule(index=strategies.integers(0, BALANCER_COUNT - 1))
    def one_balancer_receives_latest_view(self, index: int) -> None:
        """One balancer receives the latest view."""
        self.refresh(index)

    @stateful.rule()
    def agents_receive_latest_view(self) -> None:
        """All agents receive the latest view."""
        self.refresh_agents()

    @stateful.rule(
        flow=strategies.sampled_from(FLOWS),
        index=strategies.integers(0, BALANCER_COUNT - 1),
    )
    def send(self, flow: int, index: int) -> None:
        """A caller sends a datagram; only the holder may receive it."""
        network = self.network
        network.deliveries.clear()
        balancer = core.Address("10.0.0.1", index)
        network.send(self.routers[index], balancer, flow)
        for _ in range(8):
            network.deliver_all()
            if network.deliveries:
                break
            network.clock.time_ms += 250
            network.retry_all()
        for delivery in network.deliveries:
            holder = self.holders_by_flow.get(flow)
            alive = holder is not None and holder.address in network.nodes
            if not alive:
                holder = self.holders_by_flow[flow] = delivery.holder
            assert delivery.holder == holder
        network.deliveries.clear()

    @stateful.invariant()
    def each_flow_has_at_most_one_holder(self) -> None:
        """No flow has two holders."""
        for flow in FLOWS:
            assert len(self.network.holders(flow)) <= 1

    @stateful.invariant()
    def hops_are_bounded(self) -> None:
        """No datagram exceeds the maximum number of hops."""
        assert self.network.max_hops <= routing.MAX_HOPS


TestRoutingModel = RoutingModel.TestCase
TestRoutingModel.settings = hypothesis.settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)


# Hypothesis derives the examples from the source of this class, without its
# comments, and from the order of the names of the rules. Other examples may not
# reveal the missing candidates.
class BlindModel(RoutingModel):
    """Mutant whose balancers name no earlier holders."""

    def __init__(self) -> None:
        """Replaces the routers of the model."""
        super().__init__()
        self.routers = [
            _BlindRouter(self.network.clock) for _ in range(BALANCER_COUNT)
        ]
        for index in range(BALANCER_COUNT):
            self.refresh(index)


class _BlindRouter(routing.Router):
    def choose(self, hint: routing.Hint) -> routing.Route | None:
        route = super().choose(hint)
        if route is None:
            return None
        return dataclasses.replace(route, candidates=())


def test_model_detects_routes_without_candidates() -> None:
    """Guards against a model test that cannot detect faults."""
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(
            BlindModel,
            settings=hypothesis.settings(
                max_examples=60,
                stateful_step_count=40,
                deadline=None,
                derandomize=True,
                database=None,
                report_multiple_bugs=False,
                phases=[hypothesis.Phase.generate],
            ),
        )
