"""Simulation of one service under load in virtual time.

The request engines of the agents are those in production; callers, network and
backend servers are simulated. A node is a target with its simulated backend
server.
"""

import asyncio
import dataclasses
import enum
import heapq
import random
import statistics

from fireflyford import config
from fireflyford import core
from fireflyford import requests
from fireflyford.lab import _load
from fireflyford.lab import _model
from fireflyford.lab import _virtual_time

_CALLER_COUNT = 40
# Time before the load starts, in which the targets exchange first reports.
_WARM_UP_MS = 1_000
# Age of the load that backend servers report when it takes effect.
_REPORT_LAG_MS = 1_000
# Erlang-4 service times: a moderate variance, as is typical of requests of one
# kind.
_ERLANG_SHAPE = 4

SHORT = config.Treatment(name="short", method="GET", path_prefix="/short")
LONG = config.Treatment(
    name="long",
    method="GET",
    path_prefix="/long",
    size=config.SizeClass.LONG,
    deadline_ms=20_000,
)
_TREATMENTS_BY_KIND = {"short": SHORT, "long": LONG}


class Policy(enum.Enum):
    """Policies of placement, queueing and admission that are compared.

    All except `DEFAULT` are baselines, which use a FIFO queue and admit every
    request. They differ in the placement of requests.

    Attributes:
        DEFAULT: The policies that agents use.
        FIFO: The placement policy that agents use.
        RANDOM: A random target.
        ROUND_ROBIN: Each target in turn.
        LEAST_REPORTED: The target with the lowest reported load.
        TWO_CHOICES: The less loaded of two random targets, by reported load.
    """

    DEFAULT = "ours"
    FIFO = "fifo"
    RANDOM = "random"
    ROUND_ROBIN = "round-robin"
    LEAST_REPORTED = "least-reported"
    TWO_CHOICES = "two-choices-reported"


_BASELINE_PLACEMENTS: dict[Policy, _model.PlacementFactory] = {
    Policy.RANDOM: requests.RandomPlacement,
    Policy.ROUND_ROBIN: lambda rng: requests.RoundRobin(rng.randrange(100)),
    Policy.LEAST_REPORTED: requests.LeastReportedLoad,
    Policy.TWO_CHOICES: requests.PowerOfTwoChoices,
}


def _fifo_queue(slot_count: int) -> requests.WorkQueue:
    """Returns the queue of the baselines, which ignores the slot count."""
    del slot_count
    return requests.FifoQueue(max_count=256)


class TargetFault(enum.Enum):
    """Fault of one target during the run.

    Attributes:
        NONE: No fault.
        KILL: The agent and the backend server crash.
        PAUSE: Both stop responding until the end of the run.
        FAIL_FAST: The backend server fails every request immediately.
    """

    NONE = "none"
    KILL = "kill"
    PAUSE = "pause"
    FAIL_FAST = "fail-fast"


@dataclasses.dataclass(frozen=True)
class Plan:
    """Parameters of one run.

    Times count from the start of the load.

    Attributes:
        seed: Seed of all random choices.
        policy: Policies of placement, queueing and admission.
        speeds: Relative speed of each target.
        mean_ms: Mean execution time of short requests on a backend server of
            speed 1.
        long_ratio: Fraction of requests that are long.
        long_factor: Execution time of a long request relative to the mean of
            short ones.
        duration_ms: Time during which requests arrive.
        load_ratio: Offered load outside the peak, relative to the capacity.
        peak_ratio: Offered load at the peak, relative to the capacity; 0 for
            no peak.
        peak_start_ms: Start of the increase to the peak, which takes 1 s.
        peak_end_ms: End of the peak.
        fault: Fault of one target.
        fault_ms: Time of the fault.
        inaccurate_reports: Whether two targets always report a load of 0, in
            addition to the lag that all load reports have in every run.
        second_attempt_ratio: Limit of second attempts, 0 for none.
        slow_ratio: Fraction of executions at each backend server that take
            `slow_factor` times as long, independently of the request.
        slow_factor: See `slow_ratio`.
        finishes_cancelled: Whether backend servers go on with executions whose
            request was cancelled.
    """

    seed: int
    policy: Policy = Policy.DEFAULT
    speeds: tuple[float, ...] = (1.0,) * 7
    mean_ms: float = 20.0
    long_ratio: float = 0.0
    long_factor: float = 50.0
    duration_ms: int = 15_000
    load_ratio: float = 0.7
    peak_ratio: float = 0.0
    peak_start_ms: int = 4_000
    peak_end_ms: int = 15_000
    fault: TargetFault = TargetFault.NONE
    fault_ms: int = 9_000
    inaccurate_reports: bool = False
    second_attempt_ratio: float = 0.0
    slow_ratio: float = 0.0
    slow_factor: float = 10.0
    finishes_cancelled: bool = False

    @property
    def slots(self) -> float:
        """Capacity of the service in slots of speed 1, two for each target."""
        return 2 * sum(self.speeds)

    def rate(self, time_ms: float) -> float:
        """Returns the offered load in requests per second at a time."""
        # Mean execution time of all requests, short and long.
        work_ms = self.mean_ms * (1 + self.long_ratio * (self.long_factor - 1))
        capacity_per_s = self.slots / work_ms * 1000
        load_ratio = self.load_ratio
        if self.peak_ratio and (
            self.peak_start_ms <= time_ms < self.peak_end_ms
        ):
            rise_ratio = min(1.0, (time_ms - self.peak_start_ms) / 1000)
            load_ratio += (self.peak_ratio - self.load_ratio) * rise_ratio
        return capacity_per_s * load_ratio


@dataclasses.dataclass(frozen=True)
class RunResult:
    """Measurements of one run.

    Attributes:
        plan: Parameters of the run.
        samples: Outcome of each request.
        utilization_ratios: One row for each second of the load, with the slot
            utilization of each target.
        attempt_count: Attempts of all requests, including retries.
        second_attempt_count: Second attempts of agents.
        win_count: Second attempts that responded before the first one.
        busy_ms: Time that slots were in use at all backend servers.
    """

    plan: Plan
    samples: tuple[_load.Sample, ...]
    utilization_ratios: tuple[tuple[float, ...], ...]
    attempt_count: int
    second_attempt_count: int = 0
    win_count: int = 0
    busy_ms: float = 0.0

    def imbalances(self, first_second: int) -> list[float]:
        """Returns the highest utilization divided by the mean, by second.

        Args:
            first_second: First second of the load to include.
        """
        end_second = self.plan.duration_ms // 1000
        return [
            max(row) / statistics.mean(row)
            for row in self.utilization_ratios[first_second:end_second]
        ]

    def elapsed_ms(
        self, kind: str, start_ms: float = 0, end_ms: float = 1e9
    ) -> list[float]:
        """Returns the response times of the requests that did not fail.

        Args:
            kind: Kind of the requests, `short` or `long`.
            start_ms: Earliest time of arrival.
            end_ms: Upper bound of the time of arrival, exclusive.
        """
        return [
            sample.elapsed_ms
            for sample in self.samples
            if sample.job.kind == kind
            and sample.failure is None
            and start_ms <= sample.started_ms < end_ms
        ]

    def goodput_ratio(self, start_ms: float, end_ms: float) -> float:
        """Returns the useful work in a period as a fraction of the capacity.

        This is the execution time at speed 1 of the requests that completed in
        the period and within their deadline.

        Args:
            start_ms: Start of the period.
            end_ms: End of the period.
        """
        work_ms = sum(
            sample.job.nominal_ms
            for sample in self.samples
            if sample.within_deadline
            and start_ms <= sample.started_ms + sample.elapsed_ms < end_ms
        )
        return work_ms / (self.plan.slots * (end_ms - start_ms))


def run(plan: Plan) -> RunResult:
    """Runs a plan in virtual time."""
    return _virtual_time.run(_Run(plan).run())


async def run_in_thread(plan: Plan) -> RunResult:
    """Runs a plan in virtual time beside the running event loop."""
    return await asyncio.to_thread(run, plan)


class _Run:
    """Simulated service and callers of one run."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._rng = random.Random(plan.seed)
        # A separate random source, so that every policy sees the same arrivals.
        self._load_rng = random.Random(f"load-{plan.seed}")
        self._clock = _virtual_time.VirtualClock()
        is_baseline = plan.policy is not Policy.DEFAULT
        self._service = _model.ModelService(
            self._clock,
            self._rng,
            _BASELINE_PLACEMENTS.get(
                plan.policy, _model.shortest_expected_delay
            ),
            _fifo_queue if is_baseline else requests.FairQueue,
            requests.AdmitAll
            if is_baseline
            else requests.ExpectedWaitAdmission,
        )
        # Indexed by caller, as are the connected nodes.
        self._retry_budgets = [
            requests.RetryBudget() for _ in range(_CALLER_COUNT)
        ]
        self._connected_nodes: list[_model.ModelNode] = []
        self._attempt_count = 0

    async def run(self) -> RunResult:
        plan = self._plan
        for index, speed in enumerate(plan.speeds):
            node = self._service.start_node(index, speed)
            node.engine.second_attempts.set_limit(plan.second_attempt_ratio)
            node.backend.finishes_cancelled = plan.finishes_cancelled
            if plan.slow_ratio:
                node.backend.slow_executions(
                    random.Random(f"slow-{plan.seed}-{index}"),
                    plan.slow_ratio,
                    plan.slow_factor,
                )
        # Tells every node of its peers.
        self._service.connect()
        nodes = self._service.nodes
        self._connected_nodes = [
            self._rng.choice(nodes) for _ in range(_CALLER_COUNT)
        ]
        await self._clock.sleep(_WARM_UP_MS)
        background_tasks = [
            asyncio.create_task(self._report_load()),
            asyncio.create_task(self._inject_fault()),
        ]
        samples = await _load.run_open_loop(
            self._load_rng,
            plan.rate,
            plan.duration_ms,
            self._make_job,
            self._send,
        )
        for task in background_tasks:
            task.cancel()
        self._service.close()
        return RunResult(
            plan,
            tuple(samples),
            self._utilization_ratios(),
            self._attempt_count,
            sum(n.engine.second_attempts.attempt_count for n in nodes),
            sum(n.engine.second_attempts.win_count for n in nodes),
            sum(sum(b.busy_ms.values()) for b in self._service.backends),
        )

    def _make_job(self, number: int) -> _load.Job:
        plan = self._plan
        if self._load_rng.random() < plan.long_ratio:
            nominal_ms = plan.mean_ms * plan.long_factor
            return _load.Job(number, "long", nominal_ms, LONG.deadline_ms)
        nominal_ms = self._load_rng.gammavariate(
            _ERLANG_SHAPE, plan.mean_ms / _ERLANG_SHAPE
        )
        return _load.Job(number, "short", nominal_ms, SHORT.deadline_ms)

    async def _send(self, job: _load.Job) -> core.Outcome[requests.Response]:
        """Sends a request and retries it within the caller's retry budget."""
        caller_index = job.number % _CALLER_COUNT
        end_ms = self._clock.now_ms() + job.deadline_ms
        while True:
            self._attempt_count += 1
            outcome = await self._attempt(job, caller_index, end_ms)
            if isinstance(outcome, core.Ok):
                self._retry_budgets[caller_index].record_success()
                return outcome
            delay_ms = requests.retry_delay_ms(
                self._rng, outcome.retry_after_ms
            )
            too_late = self._clock.now_ms() + delay_ms >= end_ms
            if too_late or not self._retry_budgets[caller_index].try_spend():
                return outcome
            await self._clock.sleep(delay_ms)

    async def _attempt(
        self, job: _load.Job, caller_index: int, end_ms: int
    ) -> core.Outcome[requests.Response]:
        """Sends a request once, through the node of the caller's connection."""
        treatment = _TREATMENTS_BY_KIND[job.kind]
        work = requests.WorkItem(
            request_id=str(job.number),
            treatment=treatment,
            method=treatment.method,
            path=f"{treatment.path_prefix}?ms={job.nominal_ms}",
            body=b"",
            caller=f"caller-{caller_index}",
            arrived_ms=self._clock.now_ms(),
            deadline_ms=end_ms,
        )
        connected_node = self._connected_nodes[caller_index]
        outcome: core.Outcome[requests.Response]
        try:
            async with asyncio.timeout(job.deadline_ms / 1000):
                outcome = await self._service.network.deliver(
                    connected_node.info.address,
                    lambda node: asyncio.create_task(node.engine.submit(work)),
                )
        except TimeoutError:
            outcome = core.Failure(
                core.ErrorKind.OUTCOME_UNKNOWN,
                "no response before the deadline",
            )
        if connected_node.dead.is_set() or connected_node.paused:
            # The caller reconnects when its connection stops responding.
            self._connected_nodes[caller_index] = self._rng.choice(
                self._live_nodes()
            )
        return outcome

    def _live_nodes(self) -> list[_model.ModelNode]:
        return [
            node
            for node in self._service.nodes
            if not node.dead.is_set() and not node.paused
        ]

    async def _report_load(self) -> None:
        """Updates the load that backend servers report, with a lag."""
        nodes = self._service.nodes
        while True:
            loads = [float(node.backend.running_count) for node in nodes]
            await self._clock.sleep(_REPORT_LAG_MS)
            for index, node in enumerate(nodes):
                reports_idle = self._plan.inaccurate_reports and index in (0, 3)
                node.engine.scheduler.reported_load = (
                    0 if reports_idle else loads[index]
                )

    async def _inject_fault(self) -> None:
        """Causes the fault of the plan at the first node."""
        await self._clock.sleep(self._plan.fault_ms)
        node = self._service.nodes[0]
        if self._plan.fault is TargetFault.KILL:
            node.kill()
            # The peers drop the node after 2 s; failure detection takes at most
            # 3 s.
            await self._clock.sleep(2_000)
            self._service.connect()
        elif self._plan.fault is TargetFault.PAUSE:
            node.paused = node.backend.paused = True
        elif self._plan.fault is TargetFault.FAIL_FAST:
            node.backend.failing = True

    def _utilization_ratios(self) -> tuple[tuple[float, ...], ...]:
        # Busy time is recorded by second from the start of the warm-up.
        first_second = _WARM_UP_MS // 1000
        end_second = first_second + self._plan.duration_ms // 1000
        return tuple(
            tuple(
                backend.busy_ms[second] / (backend.slot_count * 1000)
                for backend in self._service.backends
            )
            for second in range(first_second, end_second)
        )


def ideal_elapsed_ms(result: RunResult) -> list[float]:
    """Returns response times of short requests under an ideal scheduler.

    The ideal scheduler has a single queue and complete knowledge of the slots
    and requests. It never leaves a slot idle while a request waits, and runs
    short requests before long ones.

    Args:
        result: Run whose arrivals are used; all speeds must be 1.
    """
    samples = sorted(result.samples, key=lambda sample: sample.started_ms)
    # Heap of the times at which slots become free.
    free_ms = [0.0] * round(result.plan.slots)
    # Heap of the rank (0 for short requests, 1 for long ones), the time of
    # arrival and the execution time of the waiting requests.
    waiting: list[tuple[int, float, float]] = []
    elapsed_ms: list[float] = []
    index = 0
    while index < len(samples) or waiting:
        start_ms = heapq.heappop(free_ms)
        if not waiting and index < len(samples):
            start_ms = max(start_ms, samples[index].started_ms)
        while index < len(samples) and samples[index].started_ms <= start_ms:
            sample = samples[index]
            rank = int(sample.job.kind == "long")
            item = (rank, sample.started_ms, sample.job.nominal_ms)
            heapq.heappush(waiting, item)
            index += 1
        rank, arrived_ms, nominal_ms = heapq.heappop(waiting)
        heapq.heappush(free_ms, start_ms + nominal_ms)
        if rank == 0:
            elapsed_ms.append(start_ms + nominal_ms - arrived_ms)
    return elapsed_ms
