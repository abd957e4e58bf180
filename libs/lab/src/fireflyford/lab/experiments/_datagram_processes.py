"""Flows without identifier through real balancers and agents."""

import asyncio
import contextlib
import random
import socket

from fireflyford import config
from fireflyford import core
from fireflyford.lab import _fleet
from fireflyford.lab.experiments import _framework

_CALLERS = 200
_INTERVAL_S = 0.1
_STEP_S = 4.0
_TARGETS = 4
_PLACE = config.Region(
    name="visayas",
    availability_zones=(config.AvailabilityZone("cebu"),),
    zone_delay_ms=0.5,
    caller_delay_ms=1.0,
)


def _make_deployment() -> config.Deployment:
    service = config.Service(
        name="gauge",
        address="127.0.0.1:4433",
        target_count=_TARGETS,
        transport=config.Transport.DATAGRAM,
    )
    return config.Deployment("gauges", (_PLACE,), (service,))


class _Caller:
    """One flow: sends numbers and notes which backend server answers."""

    def __init__(self, service: core.Address) -> None:
        self._service = service
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(("127.0.0.1", 0))
        self.sent_count = 0
        self.answers: list[str] = []

    async def run(self, start_s: float) -> None:
        """Sends until cancelled."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(start_s)
        loop.add_reader(self._socket, self._receive)
        try:
            while True:
                self.sent_count += 1
                text = str(self.sent_count).encode()
                self._socket.sendto(text, self._service.pair)
                await asyncio.sleep(_INTERVAL_S)
        finally:
            loop.remove_reader(self._socket)
            self._socket.close()

    def _receive(self) -> None:
        with contextlib.suppress(OSError):
            self.answers.append(self._socket.recv(2_000).decode().split(" ")[0])

    def switches(self) -> int:
        """Returns how often another backend server answered."""
        if not self.answers:
            return 0
        return sum(name != self.answers[0] for name in self.answers)


async def _change_fleet(fleet: _fleet.Fleet) -> None:
    """Makes one planned change after another, and kills a balancer."""
    await asyncio.sleep(_STEP_S)
    fleet.start_target("gauge")
    await asyncio.sleep(_STEP_S)
    leaving = next(iter(fleet.targets.values()))
    leaving.agent.terminate()
    await asyncio.sleep(_STEP_S)
    name, stopped = next(iter(fleet.balancers.items()))
    del fleet.balancers[name]
    fleet.update_fabric()
    await fleet.stop_gracefully(stopped.process)
    name, killed = next(iter(fleet.balancers.items()))
    fleet.kill(killed.process)
    await asyncio.sleep(0.5)
    del fleet.balancers[name]
    fleet.update_fabric()
    await asyncio.sleep(_STEP_S)


async def _run(seed: int) -> list[_Caller]:
    fleet = _fleet.Fleet(_make_deployment(), random.Random(seed))
    try:
        await fleet.start()
        address = core.Address.parse(fleet.deployment.services[0].address)
        callers = [_Caller(address) for _ in range(_CALLERS)]
        tasks = [
            asyncio.create_task(caller.run(number * _INTERVAL_S / _CALLERS))
            for number, caller in enumerate(callers)
        ]
        await _change_fleet(fleet)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return callers
    finally:
        fleet.stop()


class DatagramProcessesExperiment(_framework.Experiment):
    """Join, drain, balancer stopped and balancer killed."""

    @property
    def name(self) -> str:
        """Name on the command line."""
        return "datagram-processes"

    @property
    def summary(self) -> str:
        """One line for the list."""
        return "flows without identifier, real processes, changes and a kill"

    async def run(self, seed: int) -> _framework.Result:
        """Runs once with 4 targets and 3 balancers."""
        callers = await _run(seed)
        sent_count = sum(caller.sent_count for caller in callers)
        answer_count = sum(len(caller.answers) for caller in callers)
        switches = [caller.switches() for caller in callers]
        return _framework.Result(
            self.name,
            seed,
            (
                _framework.Figure(
                    "broken flows",
                    sum(count > 0 for count in switches),
                    "flows",
                    0.0,
                ),
                _framework.Figure("misrouted", sum(switches), "packets", 0.0),
                _framework.Figure(
                    "flows without any answer",
                    sum(not caller.answers for caller in callers),
                    "flows",
                    0.0,
                ),
                _framework.Figure("sent", sent_count, "packets"),
                _framework.Figure(
                    "unanswered", 1 - answer_count / sent_count, "ratio"
                ),
            ),
        )


EXPERIMENTS = (DatagramProcessesExperiment(),)
