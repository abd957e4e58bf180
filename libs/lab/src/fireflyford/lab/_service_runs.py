"""Simulation of one service under load in virtual time."""

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
_WARM_UP_MS = 1_000
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
_TREATMENTS = {"short": SHORT, "long": LONG}


class Policy(enum.Enum):
    """Policies of placement, queueing and admission that are compared.

    Attributes:
        DEFAULT: The policies that agents use.
        FIFO: Default placement with a FIFO queue that admits everything, as
            for all policies below.
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


_PLACEMENTS: dict[Policy, _model.PlacementFactory] = {
    Policy.RANDOM: requests.RandomPlacement,
    Policy.ROUND_ROBIN: lambda rng: requests.RoundRobin(rng.randrange(100)),
    Policy.LEAST_REPORTED: requests.LeastReportedLoad,
    Policy.TWO_CHOICES: requests.PowerOfTwoChoices,
}


def _fifo_queue(slot_count: int) -> requests.WorkQueue:
    del slot_count
    return requests.FifoQueue(max_count=256)


class TargetFault(enum.Enum):
    """Fault of one target during the run."""

    NONE = "none"
    KILL = "kill"
    PAUSE = "pause"
    FAIL_FAST = "fail-fast"


@dataclasses.dataclass(frozen=True)
class Plan:
    """Parameters of one run.

    Attributes:
        seed: Seed of all random choices.
        policy: Policies of placement, queueing and admission.
        speeds: Relative speed of each target.
        mean_ms: Mean execution time of short requests at speed 1.
        long_ratio: Fraction of requests that are long.
        long_factor: Execution time of a long request relative to the mean of
            short ones.
        duration_ms: Time during which requests arrive.
        load_ratio: Offered load relative to capacity outside the peak.
        peak_ratio: Offered load relative to capacity at the peak; 0 for no
            peak.
        peak_start_ms: Start of the increase to the peak, which takes 1 s.
        peak_end_ms: End of the peak.
        fault: Fault of one target.
        fault_ms: Time of the fault.
        inaccurate_reports: Whether the load reports of two targets always say
            idle. The reports of the others lag in every run.
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

    @property
    def slots(self) -> float:
        """Capacity of the service in slots of speed 1."""
        return 2 * sum(self.speeds)

    def rate(self, time_ms: float) -> float:
        """Returns the offered load in requests per second."""
        work_ms = self.mean_ms * (1 + self.long_ratio * (self.long_factor - 1))
        capacity = self.slots / work_ms * 1000
        ratio = self.load_ratio
        if self.peak_ratio and (
            self.peak_start_ms <= time_ms < self.peak_end_ms
        ):
            rise = min(1.0, (time_ms - self.peak_start_ms) / 1000)
            ratio += (self.peak_ratio - self.load_ratio) * rise
        return capacity * ratio


@dataclasses.dataclass(frozen=True)
class RunResult:
    """Measurements of one run.

    Attributes:
        plan: Parameters of the run.
        samples: Outcome of each request.
        utilization_ratios: Slot utilization of each target for each second.
        attempt_count: Attempts of all requests, including retries.
    """

    plan: Plan
    samples: tuple[_load.Sample, ...]
    utilization_ratios: tuple[tuple[float, ...], ...]
    attempt_count: int

    def imbalances(self, first_second: int) -> list[float]:
        """Returns the highest utilization over the mean for each second."""
        last = self.plan.duration_ms // 1000
        return [
            max(row) / statistics.mean(row)
            for row in self.utilization_ratios[first_second:last]
        ]

    def elapsed_ms(
        self, kind: str, start_ms: float = 0, end_ms: float = 1e9
    ) -> list[float]:
        """Returns times of complete responses by kind and arrival time."""
        return [
            sample.elapsed_ms
            for sample in self.samples
            if sample.job.kind == kind
            and sample.failure is None
            and start_ms <= sample.started_ms < end_ms
        ]

    def goodput_ratio(self, start_ms: float, end_ms: float) -> float:
        """Returns the work completed within its deadline over the capacity."""
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


class _Run:
    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._rng = random.Random(plan.seed)
        # A separate random source, so that every policy sees the same arrivals.
        self._load_rng = random.Random(f"load-{plan.seed}")
        self._clock = _virtual_time.VirtualClock()
        fifo = plan.policy is not Policy.DEFAULT
        self._service = _model.ModelService(
            self._clock,
            self._rng,
            _PLACEMENTS.get(plan.policy, _model.shortest_expected_delay),
            _fifo_queue if fifo else requests.FairQueue,
            requests.AdmitAll if fifo else requests.ExpectedWaitAdmission,
        )
        self._budgets = [requests.RetryBudget() for _ in range(_CALLER_COUNT)]
        self._connected_nodes: list[_model.ModelNode] = []
        self._attempt_count = 0

    async def run(self) -> RunResult:
        plan = self._plan
        for index, speed in enumerate(plan.speeds):
            self._service.start_node(index, speed)
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
        )

    def _make_job(self, number: int) -> _load.Job:
        plan = self._plan
        if self._load_rng.random() < plan.long_ratio:
            length_ms = plan.mean_ms * plan.long_factor
            return _load.Job(number, "long", length_ms, LONG.deadline_ms)
        length_ms = self._load_rng.gammavariate(
            _ERLANG_SHAPE, plan.mean_ms / _ERLANG_SHAPE
        )
        return _load.Job(number, "short", length_ms, SHORT.deadline_ms)

    async def _send(self, job: _load.Job) -> core.Outcome[requests.Response]:
        caller = job.number % _CALLER_COUNT
        end_ms = self._clock.now_ms() + job.deadline_ms
        while True:
            self._attempt_count += 1
            outcome = await self._attempt(job, caller, end_ms)
            if isinstance(outcome, core.Ok):
                self._budgets[caller].record_success()
                return outcome
            delay_ms = requests.retry_delay_ms(
                self._rng, outcome.retry_after_ms
            )
            late = self._clock.now_ms() + delay_ms >= end_ms
            if late or not self._budgets[caller].try_spend():
                return outcome
            await self._clock.sleep(delay_ms)

    async def _attempt(
        self, job: _load.Job, caller: int, end_ms: int
    ) -> core.Outcome[requests.Response]:
        treatment = _TREATMENTS[job.kind]
        work = requests.WorkItem(
            request_id=str(job.number),
            treatment=treatment,
            method=treatment.method,
            path=f"{treatment.path_prefix}?ms={job.nominal_ms}",
            body=b"",
            caller=f"caller-{caller}",
            arrived_ms=self._clock.now_ms(),
            deadline_ms=end_ms,
        )
        connected_node = self._connected_nodes[caller]
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
            self._connected_nodes[caller] = self._rng.choice(self._live_nodes())
        return outcome

    def _live_nodes(self) -> list[_model.ModelNode]:
        return [
            node
            for node in self._service.nodes
            if not node.dead.is_set() and not node.paused
        ]

    async def _report_load(self) -> None:
        """Updates load reports with a lag of 1 s; two may always say idle."""
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
        await self._clock.sleep(self._plan.fault_ms)
        node = self._service.nodes[0]
        if self._plan.fault is TargetFault.KILL:
            node.kill()
            # Failure detection takes at most 3 s.
            await self._clock.sleep(2_000)
            self._service.connect()
        elif self._plan.fault is TargetFault.PAUSE:
            node.paused = node.backend.paused = True
        elif self._plan.fault is TargetFault.FAIL_FAST:
            node.backend.failing = True

    def _utilization_ratios(self) -> tuple[tuple[float, ...], ...]:
        first = _WARM_UP_MS // 1000
        last = first + self._plan.duration_ms // 1000
        return tuple(
            tuple(
                backend.busy_ms[second] / (backend.slot_count * 1000)
                for backend in self._service.backends
            )
            for second in range(first, last)
        )


def ideal_elapsed_ms(result: RunResult) -> list[float]:
    """Returns response times of short requests under an ideal scheduler.

    The ideal scheduler is a single queue with complete knowledge. It never
    leaves a slot idle while work waits and runs short requests first, on the
    same arrivals.

    Args:
        result: Run whose arrivals are used; all speeds must be 1.
    """
    jobs = sorted(result.samples, key=lambda sample: sample.started_ms)
    free_ms = [0.0] * round(result.plan.slots)
    waiting: list[tuple[int, float, float]] = []
    elapsed: list[float] = []
    index = 0
    while index < len(jobs) or waiting:
        start_ms = heapq.heappop(free_ms)
        if not waiting and index < len(jobs):
            start_ms = max(start_ms, jobs[index].started_ms)
        while index < len(jobs) and jobs[index].started_ms <= start_ms:
            sample = jobs[index]
            rank = int(sample.job.kind == "long")
            item = (rank, sample.started_ms, sample.job.nominal_ms)
            heapq.heappush(waiting, item)
            index += 1
        rank, arrived_ms, length_ms = heapq.heappop(waiting)
        heapq.heappush(free_ms, start_ms + length_ms)
        if rank == 0:
            elapsed.append(start_ms + length_ms - arrived_ms)
    return elapsed
