"""Runs of one service in virtual time: load in, samples and use out."""

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
from fireflyford.lab import _virtual

_CALLER_COUNT = 40
_SETTLE_MS = 1_000
_REPORT_LAG_MS = 1_000
# Erlang-4 service times: some spread, as real work of one kind has.
_SHAPE = 4

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
    """What decides about placement, order and admission."""

    DEFAULT = "ours"
    FIFO = "fifo"
    RANDOM = "random"
    ROUND_ROBIN = "round-robin"
    LEAST_REPORTED = "least-reported"
    TWO_CHOICES = "two-choices-reported"


_PLACEMENTS: dict[Policy, _model.MakePlacement] = {
    Policy.RANDOM: requests.RandomPlacement,
    Policy.ROUND_ROBIN: lambda rng: requests.RoundRobin(rng.randrange(100)),
    Policy.LEAST_REPORTED: requests.LeastReportedLoad,
    Policy.TWO_CHOICES: requests.PowerOfTwoChoices,
}


def _fifo_queue(slot_count: int) -> requests.WorkQueue:
    del slot_count
    return requests.FifoQueue(max_count=256)


class TargetFault(enum.Enum):
    """What happens to one target at the peak."""

    NONE = "none"
    KILL = "kill"
    PAUSE = "pause"
    FAIL_FAST = "fail-fast"


@dataclasses.dataclass(frozen=True)
class Plan:
    """One run.

    Attributes:
        seed: Seed of everything random.
        policy: What decides.
        speeds: Speed of each target.
        mean_ms: Mean duration of short work at speed 1.
        long_ratio: Part of the requests that are stragglers.
        long_factor: Length of a straggler against short work.
        duration_ms: Length of the load.
        load_ratio: Demand against capacity outside the peak.
        peak_ratio: Demand against capacity at the peak; 0 for no peak.
        peak_start_ms: Start of the rise, which takes 1 s.
        peak_end_ms: End of the peak.
        fault: What happens to one target.
        fault_ms: When it happens.
        inaccurate_reports: Whether load endpoints lag, and two of them always
            report idle.
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
        """Slots of the service at speed 1."""
        return 2 * sum(self.speeds)

    def rate(self, time_ms: float) -> float:
        """Returns the demand in requests per second."""
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
    """What one run gave.

    Attributes:
        plan: The run.
        samples: One for each request.
        use_ratios: Use of each target's slots, second by second.
        attempt_count: Attempts of all requests.
    """

    plan: Plan
    samples: tuple[_load.Sample, ...]
    use_ratios: tuple[tuple[float, ...], ...]
    attempt_count: int

    def imbalances(self, first_second: int) -> list[float]:
        """Returns the highest over the mean use, second by second."""
        last = self.plan.duration_ms // 1000
        return [
            max(row) / statistics.mean(row)
            for row in self.use_ratios[first_second:last]
        ]

    def elapsed_ms(
        self, name: str, start_ms: float = 0, end_ms: float = 1e9
    ) -> list[float]:
        """Returns the times of complete answers by arrival."""
        return [
            sample.elapsed_ms
            for sample in self.samples
            if sample.job.name == name
            and sample.failure is None
            and start_ms <= sample.started_ms < end_ms
        ]

    def goodput_ratio(self, start_ms: float, end_ms: float) -> float:
        """Returns the work completed in time over the capacity."""
        work_ms = sum(
            sample.job.nominal_ms
            for sample in self.samples
            if sample.within_deadline
            and start_ms <= sample.started_ms + sample.elapsed_ms < end_ms
        )
        return work_ms / (self.plan.slots * (end_ms - start_ms))


def run(plan: Plan) -> RunResult:
    """Runs a plan in virtual time."""
    return _virtual.run(_Run(plan).run())


class _Run:
    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._rng = random.Random(plan.seed)
        # Apart, so that every policy sees the same arrivals.
        self._load_rng = random.Random(f"load-{plan.seed}")
        self._clock = _virtual.VirtualClock()
        fifo = plan.policy is not Policy.DEFAULT
        self._service = _model.ModelService(
            self._clock,
            self._rng,
            _PLACEMENTS.get(plan.policy, _model.expected_completion),
            _fifo_queue if fifo else requests.FairQueue,
            requests.AdmitAll if fifo else requests.ExpectedWaitAdmission,
        )
        self._budgets = [requests.RetryBudget() for _ in range(_CALLER_COUNT)]
        self._homes: list[_model.ModelNode] = []
        self._attempt_count = 0

    async def run(self) -> RunResult:
        plan = self._plan
        for index, speed in enumerate(plan.speeds):
            self._service.start_node(index, speed)
        self._service.connect()
        nodes = self._service.nodes
        self._homes = [self._rng.choice(nodes) for _ in range(_CALLER_COUNT)]
        await self._clock.sleep(_SETTLE_MS)
        helpers = [
            asyncio.create_task(self._report_load()),
            asyncio.create_task(self._cause_fault()),
        ]
        samples = await _load.run_open_loop(
            self._load_rng,
            plan.rate,
            plan.duration_ms,
            self._make_job,
            self._send,
        )
        for task in helpers:
            task.cancel()
        self._service.close()
        return RunResult(
            plan, tuple(samples), self._use_ratios(), self._attempt_count
        )

    def _make_job(self, number: int) -> _load.Job:
        plan = self._plan
        if self._load_rng.random() < plan.long_ratio:
            length_ms = plan.mean_ms * plan.long_factor
            return _load.Job(number, "long", length_ms, LONG.deadline_ms)
        length_ms = self._load_rng.gammavariate(_SHAPE, plan.mean_ms / _SHAPE)
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
        treatment = _TREATMENTS[job.name]
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
        home = self._homes[caller]
        outcome: core.Outcome[requests.Response]
        try:
            async with asyncio.timeout(job.deadline_ms / 1000):
                outcome = await self._service.network.deliver(
                    home.info.address,
                    lambda node: asyncio.create_task(node.engine.submit(work)),
                )
        except TimeoutError:
            outcome = core.Failure(core.ErrorKind.OUTCOME_UNKNOWN, "no answer")
        if home.dead.is_set() or home.paused:
            # The caller opens a new connection when the old one is silent.
            self._homes[caller] = self._rng.choice(self._living())
        return outcome

    def _living(self) -> list[_model.ModelNode]:
        return [
            node
            for node in self._service.nodes
            if not node.dead.is_set() and not node.paused
        ]

    async def _report_load(self) -> None:
        """Load endpoints lag by a second; two of them always say idle."""
        nodes = self._service.nodes
        while True:
            loads = [float(node.backend.running_count) for node in nodes]
            await self._clock.sleep(_REPORT_LAG_MS)
            for index, node in enumerate(nodes):
                lies = self._plan.inaccurate_reports and index in (0, 3)
                node.engine.scheduler.reported_load = (
                    0 if lies else loads[index]
                )

    async def _cause_fault(self) -> None:
        await self._clock.sleep(self._plan.fault_ms)
        node = self._service.nodes[0]
        if self._plan.fault is TargetFault.KILL:
            node.kill()
            await self._clock.sleep(2_000)  # Bound of failure detection: 3 s.
            self._service.connect()
        elif self._plan.fault is TargetFault.PAUSE:
            node.paused = node.backend.paused = True
        elif self._plan.fault is TargetFault.FAIL_FAST:
            node.backend.failing = True

    def _use_ratios(self) -> tuple[tuple[float, ...], ...]:
        first = _SETTLE_MS // 1000
        last = first + self._plan.duration_ms // 1000
        return tuple(
            tuple(
                backend.busy_ms[second] / (backend.slot_count * 1000)
                for backend in self._service.backends
            )
            for second in range(first, last)
        )


def ideal_elapsed_ms(result: RunResult) -> list[float]:
    """Returns times of short work under an ideal scheduler.

    The bound is a single queue for all slots that knows everything, never
    leaves a slot idle and runs short work first, on the same arrivals.

    Args:
        result: Run whose arrivals are used; all speeds are 1.
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
            rank = int(sample.job.name == "long")
            item = (rank, sample.started_ms, sample.job.nominal_ms)
            heapq.heappush(waiting, item)
            index += 1
        rank, arrived_ms, length_ms = heapq.heappop(waiting)
        heapq.heappush(free_ms, start_ms + length_ms)
        if rank == 0:
            elapsed.append(start_ms + length_ms - arrived_ms)
    return elapsed
