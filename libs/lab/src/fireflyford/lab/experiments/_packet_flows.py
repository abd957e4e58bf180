"""The packet front end in virtual time, against other policies.

Two questions: how many flows break when instances come and go, and how long
requests take near capacity.
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
_FLOW_GAP_MS = 10
# Time in which leases end, views follow and clients repeat their packets.
_SETTLE_MS = 4_000
# Aim of the heaviest requests on the users' sheets.
_AIM_MS = 250
# Speeds differ more than twofold, as on the users' sheets.
_SERVICE_MS = (18, 43, 43, 18, 43, 43, 43, 26)
_REQUEST_COUNT = 4_000
_LASTING_COUNT = 60
_UTILIZATIONS = (0.7, 0.9)
# A client's packet to the balancer, its way to the agent by the home, and the
# answer, for the first packet and for the request; a lower bound of each path.
_PATH_MS = 4 * _packet_fleet.CLIENT_DELAY_MS + 2 * _packet_fleet.LINK_DELAY_MS


@dataclasses.dataclass(frozen=True)
class Policy:
    """A way to place new flows.

    Attributes:
        name: Name in figures.
        maker: Makes the policy of one agent, None for the one in use.
    """

    name: str
    maker: _packet_fleet.PlacementMaker | None


def policies(seed: int) -> list[Policy]:
    """Returns the policy in use, then the others."""
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


# Changes.


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
    """Something that comes or goes while flows are open."""

    name: str
    apply: Callable[[_packet_fleet.PacketFleet], None]
    before: Callable[[_packet_fleet.PacketFleet], None] | None = None


def _hide_target(fleet: _packet_fleet.PacketFleet) -> None:
    fleet.targets[-1].up = False
    fleet.agents[-1].up = False


_CHANGES = (
    _Change("balancer stops", _stop_balancer),
    _Change("balancer starts", _start_balancer, _stop_balancer),
    _Change("backend server goes", _remove_target),
    _Change("backend server comes", _add_target, _hide_target),
)


def _count_broken(change: _Change, policy: Policy, seed: int) -> int:
    """Returns the flows that end although their backend server lives."""
    plans = [_packet_fleet.TargetSpec() for _ in range(_AGENT_COUNT)]
    fleet = _packet_fleet.PacketFleet(
        seed, plans, _BALANCER_COUNT, policy.maker, long_lived=True
    )
    if change.before is not None:
        change.before(fleet)
        fleet.publish_registry()
    clients = []
    for _ in range(_FLOW_COUNT):
        clients.append(fleet.client())
        clients[-1].open()
        fleet.run(_FLOW_GAP_MS)
    fleet.run(_SETTLE_MS)
    change.apply(fleet)
    fleet.publish_registry()
    kept = [item for item in clients if fleet.holder(item.flow) is not None]
    fleet.results.clear()
    for client in kept:
        client.request()
        fleet.run(_FLOW_GAP_MS)
    fleet.run(_SETTLE_MS)
    answered = collections.Counter(result.outcome for result in fleet.results)
    return len(kept) - answered[_packet_fleet.RequestOutcome.ANSWERED]


def _count_moved(
    baseline: _flow_baselines.Baseline, change: _Change, seed: int
) -> int:
    """Returns the flows that a hash without memory sends elsewhere."""
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
    living = {item.name for item in after}
    rng = random.Random(seed)
    moved = 0
    for _ in range(_FLOW_COUNT):
        key = rng.getrandbits(64)
        held = baseline.choose(0, before, key)
        moved += held in living and baseline.choose(0, after, key) != held
    return moved


# Load.


@dataclasses.dataclass(frozen=True)
class LoadResult:
    """Requests of one run near capacity.

    Attributes:
        in_aim_share: Share answered within the aim.
        mean_ms: Mean response time of answered requests.
        p99_ms: 99th percentile of it.
        busiest_ratio: Use of the busiest backend server over the mean.
    """

    in_aim_share: float
    mean_ms: float
    p99_ms: float
    busiest_ratio: float


@dataclasses.dataclass(frozen=True)
class LoadPlan:
    """Requests at random times on backend servers of different speeds.

    Attributes:
        seed: Seed of all random choices.
        slot_count: Slots of each backend server.
        utilization: Part of the capacity that is asked for.
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
        """Returns the times of the requests."""
        rng = random.Random(self.seed)
        capacity = sum(self.slot_count / item for item in _SERVICE_MS)
        now_ms = 0.0
        times = []
        for _ in range(self.request_count):
            now_ms += rng.expovariate(self.utilization * capacity)
            times.append(round(now_ms))
        return times


def _summary(fleet: _packet_fleet.PacketFleet, duration_ms: int) -> LoadResult:
    done = _packet_fleet.RequestOutcome.ANSWERED
    times = sorted(
        item.duration_ms for item in fleet.results if item.outcome is done
    )
    good = sum(item <= _AIM_MS for item in times)
    use = [
        target.busy_ms / target.spec.slot_count / duration_ms
        for target in fleet.targets
    ]
    return LoadResult(
        good / max(1, len(fleet.results)),
        statistics.fmean(times),
        times[int(0.99 * len(times))],
        max(use) / statistics.fmean(use),
    )


def run_single(policy: Policy, plan: LoadPlan) -> LoadResult:
    """Plays a flow for each request."""
    fleet = _packet_fleet.PacketFleet(
        plan.seed, plan.targets(), _BALANCER_COUNT, policy.maker
    )
    arrivals = plan.arrivals_ms()
    for at_ms in arrivals:
        fleet.call_later(at_ms, fleet.client().open)
    fleet.run(arrivals[-1] + _SETTLE_MS)
    return _summary(fleet, arrivals[-1])


def run_lasting(policy: Policy, plan: LoadPlan) -> LoadResult:
    """Plays flows that stay open and carry all requests."""
    fleet = _packet_fleet.PacketFleet(
        plan.seed,
        plan.targets(),
        _BALANCER_COUNT,
        policy.maker,
        long_lived=True,
    )
    clients = []
    for _ in range(_LASTING_COUNT):
        clients.append(fleet.client())
        clients[-1].open()
        fleet.run(_FLOW_GAP_MS)
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
    return _summary(fleet, arrivals[-1])


def run_one_queue(plan: LoadPlan) -> LoadResult:
    """Returns the work-conserving bound on the same arrivals."""
    slots = [item for item in _SERVICE_MS for _ in range(plan.slot_count)]
    arrivals = plan.arrivals_ms()
    times = sorted(
        item + _PATH_MS
        for item in _packet_baselines.central_queue_response_ms(arrivals, slots)
    )
    good = sum(item <= _AIM_MS for item in times)
    return LoadResult(
        good / len(times),
        statistics.fmean(times),
        times[int(0.99 * len(times))],
        1.0,
    )


def _load_figures(title: str, result: LoadResult) -> list[_framework.Figure]:
    return [
        _framework.Figure(f"{title}: in aim", result.in_aim_share, "share"),
        _framework.Figure(f"{title}: mean", result.mean_ms, "ms"),
        _framework.Figure(f"{title}: p99", result.p99_ms, "ms"),
        _framework.Figure(
            f"{title}: busiest over mean use", result.busiest_ratio, "ratio"
        ),
    ]


def _measure(seed: int) -> list[_framework.Figure]:
    figures = []
    built, ring, *_ = policies(seed)
    for change in _CHANGES:
        figures.append(
            _framework.Figure(
                f"{change.name}, built: broken",
                _count_broken(change, built, seed),
                "flows",
                0.0,
            )
        )
        figures.append(
            _framework.Figure(
                f"{change.name}, ring with search: broken",
                _count_broken(change, ring, seed),
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
                    _count_moved(baseline, change, seed),
                    "flows",
                )
            )
    for slot_count in (1, 2):
        for utilization in _UTILIZATIONS:
            title = f"{slot_count} slots, {utilization:.0%}"
            plan = LoadPlan(seed, slot_count, utilization)
            for policy in policies(seed):
                result = run_single(policy, plan)
                figures += _load_figures(f"{title}, {policy.name}", result)
            result = run_one_queue(plan)
            figures += _load_figures(f"{title}, one queue", result)
    for policy in policies(seed):
        result = run_lasting(policy, LoadPlan(seed, 2, _UTILIZATIONS[0]))
        title = f"lasting flows, 2 slots, {_UTILIZATIONS[0]:.0%}"
        figures += _load_figures(f"{title}, {policy.name}", result)
    return figures


class PacketFlowsExperiment(_framework.Experiment):
    """Decision code of the packet front end in virtual time."""

    @property
    def name(self) -> str:
        """Name on the command line."""
        return "packet-flows"

    @property
    def summary(self) -> str:
        """One line for the list."""
        return "packet front end, virtual time: changes and placement"

    async def run(self, seed: int) -> _framework.Result:
        """Runs changes of instances, then loads near capacity."""
        figures = await asyncio.to_thread(_measure, seed)
        return _framework.Result(self.name, seed, tuple(figures))


EXPERIMENTS = (PacketFlowsExperiment(),)
