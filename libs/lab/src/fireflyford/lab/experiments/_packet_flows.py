"""Compares placement policies of the packet front end in virtual time.

Measures how many flows break when instances come and go, and the response
times of requests near capacity.
"""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import random
import statistics

from fireflyford import core
from fireflyford import flows
from fireflyford import routing
from fireflyford.lab import _flow_baselines
from fireflyford.lab import _packet_baselines
from fireflyford.lab import _packet_fleet
from fireflyford.lab.experiments import _framework

_AGENT_COUNT = 8
_BALANCER_COUNT = 4
_FLOW_COUNT = 300
_FLOW_INTERVAL_MS = 10
# Time for leases to expire, views to be updated and clients to retransmit.
_SETTLE_MS = 4_000
# Latency objective of the heaviest requests in the users' data sheets.
_LATENCY_OBJECTIVE_MS = 250
# Service times differ more than twofold, as in the users' data sheets.
_SERVICE_MS = (18, 43, 43, 18, 43, 43, 43, 26)
_REQUEST_COUNT = 4_000
_LONG_LIVED_FLOW_COUNT = 60
_UTILIZATIONS = (0.7, 0.9)
# Lower bound of the network delay: one round trip to open the flow and one for
# the request. Each packet goes from the client through a balancer to the agent,
# at best without a hop through another agent; the answer goes directly back.
_MIN_PATH_DELAY_MS = (
    4 * _packet_fleet.CLIENT_DELAY_MS + 2 * _packet_fleet.LINK_DELAY_MS
)


@dataclasses.dataclass(frozen=True)
class Policy:
    """A placement policy for new flows.

    Attributes:
        name: Name in figures.
        factory: Creates the policy of one agent, None for the default policy.
    """

    name: str
    factory: _packet_fleet.PlacementFactory | None


def policies(seed: int) -> list[Policy]:
    """Returns the default policy, followed by the baselines."""
    rng = random.Random(seed)
    return [
        Policy("built", None),
        Policy("ring with search", _packet_baselines.DirectoryAgentFirst),
        Policy("random", lambda _: flows.Random(rng)),
        Policy(
            "two choices", lambda _: _packet_baselines.PowerOfTwoChoices(rng)
        ),
        Policy(
            "join idle queue", lambda _: _packet_baselines.JoinIdleQueue(rng)
        ),
    ]


def _stop_balancer(fleet: _packet_fleet.PacketFleet) -> None:
    fleet.balancers[0].up = False
    fleet.rotation = fleet.balancers[1:]


def _start_balancer(fleet: _packet_fleet.PacketFleet) -> None:
    fleet.balancers[0].start()
    fleet.rotation = list(fleet.balancers)


def _remove_target(fleet: _packet_fleet.PacketFleet) -> None:
    fleet.targets[0].crash()
    fleet.agents[0].up = False


def _add_target(fleet: _packet_fleet.PacketFleet) -> None:
    fleet.targets[-1].up = True
    fleet.agents[-1].start()
    fleet.agents[-1].report(flows.TargetState.READY, 1)


@dataclasses.dataclass(frozen=True)
class _Change:
    """A change of the fleet while flows are open."""

    name: str
    apply: Callable[[_packet_fleet.PacketFleet], None]
    prepare: Callable[[_packet_fleet.PacketFleet], None] | None = None


def _take_target_down(fleet: _packet_fleet.PacketFleet) -> None:
    fleet.targets[-1].up = False
    fleet.agents[-1].up = False


_CHANGES = (
    _Change("balancer stops", _stop_balancer),
    _Change("balancer starts", _start_balancer, _stop_balancer),
    _Change("backend server goes", _remove_target),
    _Change("backend server comes", _add_target, _take_target_down),
)


def _count_broken_flows(change: _Change, policy: Policy, seed: int) -> int:
    """Counts flows that break although their backend server is running."""
    specs = [_packet_fleet.TargetSpec() for _ in range(_AGENT_COUNT)]
    fleet = _packet_fleet.PacketFleet(
        seed, specs, _BALANCER_COUNT, policy.factory, long_lived=True
    )
    if change.prepare is not None:
        change.prepare(fleet)
        fleet.publish_registry()
    clients = []
    for _ in range(_FLOW_COUNT):
        clients.append(fleet.client())
        clients[-1].open()
        fleet.run(_FLOW_INTERVAL_MS)
    fleet.run(_SETTLE_MS)
    change.apply(fleet)
    fleet.publish_registry()
    open_clients = [
        item for item in clients if fleet.holder(item.flow) is not None
    ]
    fleet.results.clear()
    for client in open_clients:
        client.request()
        fleet.run(_FLOW_INTERVAL_MS)
    fleet.run(_SETTLE_MS)
    answered = collections.Counter(result.outcome for result in fleet.results)
    return len(open_clients) - answered[_packet_fleet.RequestOutcome.ANSWERED]


def _count_moved_flows(
    baseline: _flow_baselines.Baseline, change: _Change, seed: int
) -> int:
    """Counts flows that a stateless hash moves to another backend server."""
    targets = [
        routing.Target(
            f"agent-{index}", core.Address(f"10.0.1.{index + 1}", 7000), 0
        )
        for index in range(_AGENT_COUNT)
    ]
    before, after = targets, targets
    if change.apply is _remove_target:
        after = targets[1:]
    elif change.apply is _add_target:
        before = targets[:-1]
    remaining = {item.name for item in after}
    rng = random.Random(seed)
    moved_count = 0
    for _ in range(_FLOW_COUNT):
        key = rng.getrandbits(64)
        chosen = baseline.choose(0, before, key)
        moved_count += (
            chosen in remaining and baseline.choose(0, after, key) != chosen
        )
    return moved_count


@dataclasses.dataclass(frozen=True)
class RunSummary:
    """Response times and utilization of one run near capacity.

    Attributes:
        within_objective_ratio: Share of requests answered within the latency
            objective.
        mean_ms: Mean response time of answered requests.
        p99_ms: 99th percentile of the response time.
        busiest_ratio: Utilization of the busiest backend server over the mean
            utilization.
    """

    within_objective_ratio: float
    mean_ms: float
    p99_ms: float
    busiest_ratio: float


@dataclasses.dataclass(frozen=True)
class RequestPlan:
    """Poisson arrivals of requests at backend servers of different speeds.

    Attributes:
        seed: Seed of all random choices.
        slot_count: Slots of each backend server.
        utilization: Offered load as a fraction of the capacity.
        request_count: Number of requests.
    """

    seed: int
    slot_count: int
    utilization: float
    request_count: int = _REQUEST_COUNT

    def targets(self) -> list[_packet_fleet.TargetSpec]:
        """Returns the backend servers."""
        return [
            _packet_fleet.TargetSpec(
                slot_count=self.slot_count, service_ms=item
            )
            for item in _SERVICE_MS
        ]

    def arrivals_ms(self) -> list[int]:
        """Returns the arrival times of the requests."""
        rng = random.Random(self.seed)
        capacity = sum(self.slot_count / item for item in _SERVICE_MS)
        now_ms = 0.0
        times = []
        for _ in range(self.request_count):
            now_ms += rng.expovariate(self.utilization * capacity)
            times.append(round(now_ms))
        return times


def _summarize(
    fleet: _packet_fleet.PacketFleet, duration_ms: int
) -> RunSummary:
    answered = _packet_fleet.RequestOutcome.ANSWERED
    times = sorted(
        item.duration_ms for item in fleet.results if item.outcome is answered
    )
    within_objective_count = sum(
        item <= _LATENCY_OBJECTIVE_MS for item in times
    )
    utilizations = [
        target.busy_ms / target.spec.slot_count / duration_ms
        for target in fleet.targets
    ]
    return RunSummary(
        within_objective_count / max(1, len(fleet.results)),
        statistics.fmean(times),
        times[int(0.99 * len(times))],
        max(utilizations) / statistics.fmean(utilizations),
    )


def run_short_lived(policy: Policy, plan: RequestPlan) -> RunSummary:
    """Simulates one short-lived flow for each request."""
    fleet = _packet_fleet.PacketFleet(
        plan.seed, plan.targets(), _BALANCER_COUNT, policy.factory
    )
    arrivals = plan.arrivals_ms()
    for at_ms in arrivals:
        fleet.call_later(at_ms, fleet.client().open)
    fleet.run(arrivals[-1] + _SETTLE_MS)
    return _summarize(fleet, arrivals[-1])


def run_long_lived(policy: Policy, plan: RequestPlan) -> RunSummary:
    """Simulates long-lived flows that carry all requests."""
    fleet = _packet_fleet.PacketFleet(
        plan.seed,
        plan.targets(),
        _BALANCER_COUNT,
        policy.factory,
        long_lived=True,
    )
    clients = []
    for _ in range(_LONG_LIVED_FLOW_COUNT):
        clients.append(fleet.client())
        clients[-1].open()
        fleet.run(_FLOW_INTERVAL_MS)
    fleet.run(_SETTLE_MS)
    fleet.results.clear()
    for target in fleet.targets:
        target.busy_ms = 0
    arrivals = plan.arrivals_ms()
    rng = random.Random(plan.seed)

    def send() -> None:
        idle = [item for item in clients if not item.is_waiting]
        if idle:
            rng.choice(idle).request()

    for at_ms in arrivals:
        fleet.call_later(at_ms, send)
    fleet.run(arrivals[-1] + _SETTLE_MS)
    return _summarize(fleet, arrivals[-1])


def run_central_queue(plan: RequestPlan) -> RunSummary:
    """Returns the bound of a work-conserving central queue."""
    slots = [item for item in _SERVICE_MS for _ in range(plan.slot_count)]
    arrivals = plan.arrivals_ms()
    times = sorted(
        item + _MIN_PATH_DELAY_MS
        for item in _packet_baselines.central_queue_response_ms(arrivals, slots)
    )
    within_objective_count = sum(
        item <= _LATENCY_OBJECTIVE_MS for item in times
    )
    return RunSummary(
        within_objective_count / len(times),
        statistics.fmean(times),
        times[int(0.99 * len(times))],
        1.0,
    )


def _request_figures(title: str, result: RunSummary) -> list[_framework.Figure]:
    return [
        _framework.Figure(
            f"{title}: in aim", result.within_objective_ratio, "share"
        ),
        _framework.Figure(f"{title}: mean", result.mean_ms, "ms"),
        _framework.Figure(f"{title}: p99", result.p99_ms, "ms"),
        _framework.Figure(
            f"{title}: busiest over mean use", result.busiest_ratio, "ratio"
        ),
    ]


def _measure(seed: int) -> list[_framework.Figure]:
    figures = []
    default, ring, *_ = policies(seed)
    for change in _CHANGES:
        figures.append(
            _framework.Figure(
                f"{change.name}, built: broken",
                _count_broken_flows(change, default, seed),
                "flows",
                0.0,
            )
        )
        figures.append(
            _framework.Figure(
                f"{change.name}, ring with search: broken",
                _count_broken_flows(change, ring, seed),
                "flows",
            )
        )
        for baseline in (
            _flow_baselines.ModuloHash(),
            _flow_baselines.RendezvousHash(),
        ):
            figures.append(
                _framework.Figure(
                    f"{change.name}, {baseline.name}: broken",
                    _count_moved_flows(baseline, change, seed),
                    "flows",
                )
            )
    for slot_count in (1, 2):
        for utilization in _UTILIZATIONS:
            title = f"{slot_count} slots, {utilization:.0%}"
            plan = RequestPlan(seed, slot_count, utilization)
            for policy in policies(seed):
                result = run_short_lived(policy, plan)
                figures += _request_figures(f"{title}, {policy.name}", result)
            result = run_central_queue(plan)
            figures += _request_figures(f"{title}, one queue", result)
    for policy in policies(seed):
        result = run_long_lived(policy, RequestPlan(seed, 2, _UTILIZATIONS[0]))
        title = f"lasting flows, 2 slots, {_UTILIZATIONS[0]:.0%}"
        figures += _request_figures(f"{title}, {policy.name}", result)
    return figures


class PacketFlowsExperiment(_framework.Experiment):
    """Runs the decision code of the packet front end in virtual time."""

    @property
    def name(self) -> str:
        """Name on the command line."""
        return "packet-flows"

    @property
    def summary(self) -> str:
        """One-line description that `list` prints."""
        return "packet front end, virtual time: changes and placement"

    async def run(self, seed: int) -> _framework.Result:
        """Runs the changes of instances, then the loads near capacity."""
        figures = await asyncio.to_thread(_measure, seed)
        return _framework.Result(self.name, seed, tuple(figures))


EXPERIMENTS = (PacketFlowsExperiment(),)
