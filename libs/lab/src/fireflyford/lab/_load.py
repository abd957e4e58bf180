"""Open-loop load: arrivals do not wait for answers."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import random
from typing import Any

from fireflyford import core


@dataclasses.dataclass(frozen=True)
class Job:
    """One request of the load.

    Attributes:
        number: Number of the request in the run.
        name: Kind of the request, for the figures.
        nominal_ms: Duration at speed 1.
        deadline_ms: Longest useful time.
    """

    number: int
    name: str
    nominal_ms: float
    deadline_ms: int


@dataclasses.dataclass(frozen=True)
class Sample:
    """Outcome of one request.

    Attributes:
        job: The request.
        started_ms: When it arrived, from the start of the load.
        elapsed_ms: Time to the answer.
        failure: Kind of the failure, or None for a complete answer.
    """

    job: Job
    started_ms: float
    elapsed_ms: float
    failure: core.ErrorKind | None

    @property
    def within_deadline(self) -> bool:
        """Whether the answer is complete and within the deadline."""
        return self.failure is None and self.elapsed_ms <= self.job.deadline_ms


Send = Callable[[Job], Awaitable[core.Outcome[Any]]]


async def run_open_loop(
    rng: random.Random,
    rate: Callable[[float], float],
    duration_ms: float,
    make_job: Callable[[int], Job],
    send: Send,
) -> list[Sample]:
    """Sends requests at random times and waits for all answers.

    Args:
        rng: Random source of the arrivals.
        rate: Requests per second at a time in ms from the start.
        duration_ms: Length of the load.
        make_job: Returns the request of a number.
        send: Sends one request and returns its outcome.
    """
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    samples: list[Sample] = []
    tasks: set[asyncio.Task[None]] = set()

    async def one(job: Job, started_ms: float) -> None:
        outcome = await send(job)
        elapsed_ms = (loop.time() - start_s) * 1000 - started_ms
        kind = outcome.kind if isinstance(outcome, core.Failure) else None
        samples.append(Sample(job, started_ms, elapsed_ms, kind))

    next_ms = 0.0
    number = 0
    while True:
        next_ms += rng.expovariate(rate(next_ms)) * 1000
        if next_ms >= duration_ms:
            break
        await asyncio.sleep(max(0.0, start_s + next_ms / 1000 - loop.time()))
        number += 1
        task = asyncio.create_task(one(make_job(number), next_ms))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    while tasks:
        await asyncio.wait(tasks)
    return samples


def percentile(values: Sequence[float], ratio: float) -> float:
    """Returns a percentile by nearest rank; 0 for no values.

    >>> percentile([1, 2, 3, 4], 0.5)
    2
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = max(1, -int(-ratio * len(ordered) // 1))
    return ordered[rank - 1]
