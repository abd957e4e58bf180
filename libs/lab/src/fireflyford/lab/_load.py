"""Open-loop load generator: arrivals do not depend on responses."""

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
        number: Sequence number of the request in the run.
        kind: Kind of the request, by which results are grouped.
        nominal_ms: Execution time on a backend server of speed 1.
        deadline_ms: Time after which a response is of no use.
    """

    number: int
    kind: str
    nominal_ms: float
    deadline_ms: int


@dataclasses.dataclass(frozen=True)
class Sample:
    """Outcome of one request.

    Attributes:
        job: The request.
        started_ms: Arrival time, relative to the start of the load.
        elapsed_ms: Response time.
        failure: Kind of the failure, or None for a complete response.
    """

    job: Job
    started_ms: float
    elapsed_ms: float
    failure: core.ErrorKind | None

    @property
    def within_deadline(self) -> bool:
        """Whether the response is complete and met the deadline."""
        return self.failure is None and self.elapsed_ms <= self.job.deadline_ms


Send = Callable[[Job], Awaitable[core.Outcome[Any]]]


async def run_open_loop(
    rng: random.Random,
    rate: Callable[[float], float],
    duration_ms: float,
    make_job: Callable[[int], Job],
    send: Send,
) -> list[Sample]:
    """Sends requests with Poisson arrivals and waits for all responses.

    Args:
        rng: Random source of the arrivals.
        rate: Returns the requests per second at a time in ms from the start.
        duration_ms: Time during which requests arrive.
        make_job: Returns the request with a given sequence number.
        send: Sends one request and returns its outcome.
    """
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    samples: list[Sample] = []
    tasks: set[asyncio.Task[None]] = set()

    async def send_one(job: Job, started_ms: float) -> None:
        outcome = await send(job)
        elapsed_ms = (loop.time() - start_s) * 1000 - started_ms
        failure = outcome.kind if isinstance(outcome, core.Failure) else None
        samples.append(Sample(job, started_ms, elapsed_ms, failure))

    arrival_ms = 0.0
    number = 0
    while True:
        arrival_ms += rng.expovariate(rate(arrival_ms)) * 1000
        if arrival_ms >= duration_ms:
            break
        await asyncio.sleep(max(0.0, start_s + arrival_ms / 1000 - loop.time()))
        number += 1
        task = asyncio.create_task(send_one(make_job(number), arrival_ms))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    while tasks:
        await asyncio.wait(tasks)
    return samples


def percentile(values: Sequence[float], ratio: float) -> float:
    """Returns a percentile by the nearest-rank method; 0 for no values.

    >>> percentile([1, 2, 3, 4], 0.5)
    2
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = max(1, -int(-ratio * len(ordered) // 1))
    return ordered[rank - 1]
