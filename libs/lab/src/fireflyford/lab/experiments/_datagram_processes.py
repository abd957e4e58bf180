"""Experiment on flows without identifier with real balancers and agents."""

import asyncio
import contextlib
import random
import socket

from fireflyford import config
from fireflyford import core
from fireflyford.lab import _fleet
from fireflyford.lab.experiments import _framework

_CALLER_COUNT = 200
_SEND_INTERVAL_S = 0.1
_CHANGE_INTERVAL_S = 4.0
_TARGET_COUNT = 4
_REGION = config.Region(
    name="visayas",
    availability_zones=(config.AvailabilityZone("cebu"),),
    zone_delay_ms=0.5,
    caller_delay_ms=1.0,
)


def _make_deployment() -> config.Deployment:
    service = config.Service(
        name="gauge",
        address="127.0.0.1:4433",
        target_count=_TARGET_COUNT,
        transport=config.Transport.DATAGRAM,
    )
    return config.Deployment("gauges", (_REGION,), (service,))


class _Caller:
    """Sends numbered datagrams and records which backend server answers."""

    def __init__(self, service: core.Address) -> None:
        self._service = service
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(("127.0.0.1", 0))
        self.sent_count = 0
        self.responders: list[str] = []

    async def run(self, delay_s: float) -> None:
        """Sends datagrams on one flow until cancelled."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(delay_s)
        loop.add_reader(self._socket, self._receive)
        try:
            while True:
                self.sent_count += 1
                text = str(self.sent_count).encode()
                self._socket.sendto(text, self._service.pair)
                await asyncio.sleep(_SEND_INTERVAL_S)
        finally:
            loop.remove_reader(self._socket)
            self._socket.close()

    def _receive(self) -> None:
        with contextlib.suppress(OSError):
            self.responders.append(
                self._socket.recv(2_000).decode().split(" ")[0]
            )

    def count_switches(self) -> int:
        """Counts the answers of other backend servers than the first one."""
        if not self.responders:
            return 0
        return sum(name != self.responders[0] for name in self.responders)


async def _change_fleet(fleet: _fleet.Fleet) -> None:
    """Adds and drains a target, then stops and kills a balancer."""
    await asyncio.sleep(_CHANGE_INTERVAL_S)
    fleet.start_target("gauge")
    await asyncio.sleep(_CHANGE_INTERVAL_S)
    drained = next(iter(fleet.targets.values()))
    drained.agent.terminate()
    await asyncio.sleep(_CHANGE_INTERVAL_S)
    name, stopped = next(iter(fleet.balancers.items()))
    del fleet.balancers[name]
    fleet.update_fabric()
    await fleet.stop_gracefully(stopped.process)
    name, killed = next(iter(fleet.balancers.items()))
    fleet.kill(killed.process)
    await asyncio.sleep(0.5)
    del fleet.balancers[name]
    fleet.update_fabric()
    await asyncio.sleep(_CHANGE_INTERVAL_S)


async def _run(seed: int) -> list[_Caller]:
    fleet = _fleet.Fleet(_make_deployment(), random.Random(seed))
    try:
        await fleet.start()
        address = core.Address.parse(fleet.deployment.services[0].address)
        callers = [_Caller(address) for _ in range(_CALLER_COUNT)]
        tasks = [
            asyncio.create_task(
                caller.run(index * _SEND_INTERVAL_S / _CALLER_COUNT)
            )
            for index, caller in enumerate(callers)
        ]
        await _change_fleet(fleet)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return callers
    finally:
        fleet.stop()


class DatagramProcessesExperiment(_framework.Experiment):
    """Measures broken flows while targets and balancers change."""

    @property
    def name(self) -> str:
        """Name on the command line."""
        return "datagram-processes"

    @property
    def summary(self) -> str:
        """One-line description that `list` prints."""
        return "flows without identifier, real processes, changes and a kill"

    async def run(self, seed: int) -> _framework.Result:
        """Runs once with 4 targets and 3 balancers."""
        callers = await _run(seed)
        sent_count = sum(caller.sent_count for caller in callers)
        answer_count = sum(len(caller.responders) for caller in callers)
        switch_counts = [caller.count_switches() for caller in callers]
        return _framework.Result(
            self.name,
            seed,
            (
                _framework.Figure(
                    "broken flows",
                    sum(count > 0 for count in switch_counts),
                    "flows",
                    0.0,
                ),
                _framework.Figure(
                    "misrouted", sum(switch_counts), "packets", 0.0
                ),
                _framework.Figure(
                    "flows without any answer",
                    sum(not caller.responders for caller in callers),
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
