"""Load and fault runs of one service end to end, with real processes."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import random
import signal

from fireflyford import caller
from fireflyford import config
from fireflyford import core
from fireflyford.lab import _deployments
from fireflyford.lab import _fleet
from fireflyford.lab import _history
from fireflyford.lab import _load

_SERVICE = "tahian"
_TICKET_HEADER = "fireflyford-ticket"
_WARM_UP_S = 1.5
_ERROR_KINDS = {kind.value: kind for kind in core.ErrorKind}


@contextlib.asynccontextmanager
async def running_service(
    seed: int, speeds: tuple[float, ...], balancer_count: int = 1
) -> AsyncIterator[_fleet.Fleet]:
    """Runs one service with one target per given speed.

    Args:
        seed: Seed of the fabric and of the keys.
        speeds: Relative speed of each target.
        balancer_count: Number of balancers in front of the service.
    """
    service = _deployments.BANTAY.service(_SERVICE)
    assert service is not None
    treatments = (
        *service.treatments,
        config.Treatment(name="short", method="GET", path_prefix="/short"),
    )
    deployment = dataclasses.replace(
        _deployments.BANTAY,
        services=(
            dataclasses.replace(service, target_count=0, treatments=treatments),
        ),
    )
    fleet = _fleet.Fleet(deployment, random.Random(seed), balancer_count)
    try:
        await fleet.start()
        for speed in speeds:
            fleet.start_target(_SERVICE, speed)
        await fleet.wait_for_discovery()
        # Agents discover each other and exchange their first load reports.
        await asyncio.sleep(_WARM_UP_S)
        yield fleet
    finally:
        fleet.stop()


def make_client(fleet: _fleet.Fleet) -> caller.Client:
    """Returns a client of the service."""
    address = core.Address.parse(fleet.deployment.services[0].address)
    return caller.Client(address, _SERVICE, fleet.authorities_path(_SERVICE))


@dataclasses.dataclass(frozen=True)
class LoadProfile:
    """Open-loop load of short requests over several connections.

    Attributes:
        seed: Seed of arrivals and execution times.
        mean_ms: Mean execution time at speed 1.
        connection_count: Number of connections, each with its own client.
        duration_ms: Time during which requests arrive.
        rate: Returns the requests per second at a time in ms.
    """

    seed: int
    mean_ms: float
    connection_count: int
    duration_ms: int
    rate: Callable[[float], float]


async def run_load(
    fleet: _fleet.Fleet, profile: LoadProfile
) -> tuple[list[_load.Sample], int]:
    """Sends the load; returns its samples and the number of attempts."""
    rng = random.Random(profile.seed)
    async with contextlib.AsyncExitStack() as stack:
        connections = []
        for _ in range(profile.connection_count):
            client = make_client(fleet)
            connection = await stack.enter_async_context(client.connect())
            connections.append((client, connection))

        def make_job(number: int) -> _load.Job:
            length_ms = rng.gammavariate(4, profile.mean_ms / 4)
            return _load.Job(number, "short", length_ms, 2_000)

        async def send(job: _load.Job) -> core.Outcome[caller.Response]:
            client, connection = connections[job.number % len(connections)]
            path = f"/short?ms={job.nominal_ms:.2f}"
            return await client.request(
                connection, "GET", path, deadline_ms=job.deadline_ms
            )

        samples = await _load.run_open_loop(
            rng, profile.rate, profile.duration_ms, make_job, send
        )
        return samples, sum(client.attempt_count for client, _ in connections)


async def measure_capacity(
    fleet: _fleet.Fleet, mean_ms: float, worker_count: int, duration_s: float
) -> float:
    """Returns the work completed per ms while all slots are saturated.

    Work is counted by its nominal execution time, without the overhead of the
    path and the machine, as for any other load in the same run.

    Args:
        fleet: Fleet that runs the service.
        mean_ms: Nominal execution time of each request.
        worker_count: Concurrent requests; twice the number of slots keeps
            every slot busy.
        duration_s: Duration of the measurement.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + duration_s
    completed_ms = 0.0

    async def work(connection: caller.Connection) -> None:
        nonlocal completed_ms
        client = make_client(fleet)
        while loop.time() < end_s:
            path = f"/short?ms={mean_ms}"
            outcome = await client.request(connection, "GET", path)
            if isinstance(outcome, core.Ok) and loop.time() < end_s:
                completed_ms += mean_ms

    async with contextlib.AsyncExitStack() as stack:
        connections = [
            await stack.enter_async_context(make_client(fleet).connect())
            for _ in range(worker_count // 4)
        ]
        await asyncio.gather(
            *(
                work(connections[index % len(connections)])
                for index in range(worker_count)
            )
        )
    return completed_ms / (duration_s * 1000)


async def measure_round_trip_ms(fleet: _fleet.Fleet, count: int) -> float:
    """Returns the median response time of requests without work."""
    loop = asyncio.get_running_loop()
    client = make_client(fleet)
    values = []
    async with client.connect() as connection:
        for _ in range(count):
            start_s = loop.time()
            await client.request(connection, "GET", "/short?ms=0")
            values.append((loop.time() - start_s) * 1000)
    return _load.percentile(values, 0.5)


def busy_ms_by_target(
    executions: list[dict[str, object]], speeds: dict[str, float]
) -> dict[tuple[str, int], float]:
    """Returns the busy slot time in ms by target and wall-clock second.

    Args:
        executions: Execution log of the backend servers.
        speeds: Relative speed of each target by name.
    """
    busy: dict[tuple[str, int], float] = {}
    for item in executions:
        name = str(item["backend"])
        query = str(item["path"]).partition("ms=")[2]
        start_ms = float(str(item["wall_ms"]))
        left_ms = float(query) / speeds[name]
        while left_ms > 0:
            second = int(start_ms // 1000)
            part_ms = min(left_ms, (second + 1) * 1000 - start_ms)
            key = (name, second)
            busy[key] = busy.get(key, 0.0) + part_ms
            start_ms += part_ms
            left_ms -= part_ms
    return busy


@dataclasses.dataclass(frozen=True)
class OrderRun:
    """Result of one run of orders under faults."""

    faults: tuple[str, ...]
    violations: tuple[_history.Violation, ...]
    answer_count: int
    execution_count: int
    unknown_count: int


FAULTS = ("kill-agent", "pause-agent", "kill-target", "drain", "kill-balancer")


async def run_orders(seed: int, faults: tuple[str, ...]) -> OrderRun:
    """Sends orders and duplicates under faults, then checks the history.

    Args:
        seed: Seed of the run.
        faults: Faults to inject, members of `FAULTS`.
    """
    rng = random.Random(seed)
    async with running_service(seed, (1.0, 1.0, 1.0), 2) as fleet:
        orders = _OrderCallers(fleet, rng)
        async with asyncio.TaskGroup() as tasks:
            for index in range(4):
                tasks.create_task(orders.run_caller(f"lane{index}"))
            for fault in faults:
                tasks.create_task(_inject_fault(fleet, rng, fault))
        await asyncio.sleep(1.0)
        executions = [
            _history.ExecutionRecord(
                str(item["body"]).partition("/")[0],
                str(item["body"]),
                str(item["backend"]),
            )
            for item in fleet.executions()
        ]
    violations = _history.check(orders.answers, executions, orders.bodies)
    unknown = core.Execution.UNKNOWN
    return OrderRun(
        faults=faults,
        violations=tuple(violations),
        answer_count=len(orders.answers),
        execution_count=len(executions),
        unknown_count=sum(item.execution is unknown for item in orders.answers),
    )


async def _inject_fault(
    fleet: _fleet.Fleet, rng: random.Random, fault: str
) -> None:
    await asyncio.sleep(rng.uniform(0.5, 2.0))
    target = rng.choice(list(fleet.targets.values()))
    if fault == "kill-agent":
        fleet.kill(target.agent)
    elif fault == "pause-agent":
        target.agent.send_signal(signal.SIGSTOP)
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        target.agent.send_signal(signal.SIGCONT)
    elif fault == "kill-target":
        fleet.kill(target.agent)
        fleet.kill(target.backend)
    elif fault == "drain":
        target.agent.send_signal(signal.SIGTERM)
    elif fault == "kill-balancer":
        balancer = next(iter(fleet.balancers.values()))
        fleet.kill(balancer.process)
        del fleet.balancers[balancer.name]
        fleet.update_fabric()


class _OrderCallers:
    """Callers that present each ticket once or twice, on two connections."""

    _ORDERS_PER_CALLER = 40
    _DEADLINE_MS = 2_000

    def __init__(self, fleet: _fleet.Fleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self.answers: list[_history.Answer] = []
        self.bodies: dict[str, bytes] = {}

    async def run_caller(self, caller_name: str) -> None:
        number = 0
        while number < self._ORDERS_PER_CALLER:
            with contextlib.suppress(ConnectionError, TimeoutError):
                client = make_client(self._fleet)
                async with (
                    asyncio.timeout(8),
                    client.connect() as first,
                    client.connect() as second,
                ):
                    # Reconnects every 10 orders, since faults break flows.
                    for _ in range(10):
                        number += 1
                        await self._send_order(
                            f"{caller_name}-{number}", first, second
                        )

    async def _send_order(
        self, name: str, first: caller.Connection, second: caller.Connection
    ) -> None:
        for attempt in range(2):
            ticket_name = f"{name}/{attempt}"
            self.bodies[ticket_name] = ticket_name.encode()
            _, ticket = await self._present_ticket(first, ticket_name, "")
            if not ticket:
                return
            copies = [self._send_copy(name, first, ticket_name, ticket, 0)]
            if self._rng.random() < 0.6:
                delay_s = self._rng.uniform(0, 0.3)
                copies.append(
                    self._send_copy(name, second, ticket_name, ticket, delay_s)
                )
            answers = await asyncio.gather(*copies)
            if any(
                item.execution is not core.Execution.NOT_RUN for item in answers
            ):
                return

    async def _send_copy(
        self,
        name: str,
        connection: caller.Connection,
        ticket_name: str,
        ticket: str,
        delay_s: float,
    ) -> _history.Answer:
        await asyncio.sleep(delay_s)
        outcome, _ = await self._present_ticket(connection, ticket_name, ticket)
        if isinstance(outcome, core.Ok):
            answer = _history.Answer(
                name, ticket_name, core.Execution.RAN, outcome.value
            )
        else:
            answer = _history.Answer(name, ticket_name, outcome.spec.execution)
        self.answers.append(answer)
        return answer

    async def _present_ticket(
        self, connection: caller.Connection, ticket_name: str, ticket: str
    ) -> tuple[core.Outcome[bytes], str]:
        """Sends a request with a ticket, or without one if it is empty.

        Uses the connection directly, because the client library never sends
        duplicates.

        Returns:
            Outcome of the request and the ticket that the agent issued, empty
            if it issued none.
        """
        headers = [("fireflyford-deadline-ms", str(self._DEADLINE_MS))]
        if ticket:
            headers.append((_TICKET_HEADER, ticket))
        # All requests with the same ticket have to be identical.
        length_ms = 20 + len(ticket_name) % 3 * 50
        path = f"/orders?ms={length_ms}"
        stream = connection.send(
            "POST", path, ticket_name.encode(), tuple(headers)
        )
        fields: dict[str, str] = {}
        body = b""
        unknown = core.Failure(
            core.ErrorKind.OUTCOME_UNKNOWN, "no response before the deadline"
        )
        try:
            async with asyncio.timeout(self._DEADLINE_MS / 1000 + 0.5):
                while True:
                    event = await stream.events.get()
                    if hasattr(event, "headers"):
                        fields = event.headers
                    elif hasattr(event, "payload"):
                        body += event.payload
                    else:
                        break
        except TimeoutError:
            stream.cancel()
            return unknown, ""
        if not getattr(event, "complete", False):
            return unknown, ""
        issued_ticket = fields.get(_TICKET_HEADER, "")
        kind = _ERROR_KINDS.get(fields.get("fireflyford-error", ""))
        if kind is None:
            return core.Ok(body), issued_ticket
        return core.Failure(kind, body.decode()), issued_ticket
