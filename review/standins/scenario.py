"""What all scenarios share: set-up, clean-up and the exit status."""

import abc
import asyncio
import os
import pathlib
import signal
import sys

from standins import client
from standins import fleet
from standins import record
from standins import server
from standins import store

EXIT_HELD, EXIT_BROKEN, EXIT_CANNOT_RUN = 0, 1, 2
LIMIT_S = 110


class Scenario(abc.ABC):
    """One case: a deployment, a course of events and a check.

    Attributes:
        balancer_count: Number of balancers.
        agents: Number of backend servers of each service, each with an agent.
    """

    balancer_count = 2
    agents: dict[str, int]

    def __init__(self, folder: pathlib.Path) -> None:
        """Prepares a run that writes its record to a folder."""
        self.log = record.Record(folder)
        # Whether the disruption takes place.
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.deployment = fleet.Deployment(
            self.balancer_count, self.agents, self.log
        )
        ports = self.deployment.ports
        self.store = store.Store()
        self.servers = {
            name: server.Server(name, service, host, ports, self.log)
            for name, (service, host) in self.deployment.agents.items()
        }
        self.router = client.Router(
            list(self.deployment.balancers.values()), ports
        )
        self.client = client.ClientHost(
            self.deployment.client_host, ports, self.router, self.log
        )
        # What broke the rule.
        self.findings: list[str] = []

    @abc.abstractmethod
    def first_config(self) -> bytes:
        """Returns the configuration that precedes the traffic."""

    @abc.abstractmethod
    async def play(self) -> None:
        """Plays the case and adds to `findings` what broke the rule."""

    def address(self, port: int) -> tuple[str, int]:
        """Returns the address of a route."""
        return (self.deployment.route_host, port)

    def write_config(self, document: bytes, text: str) -> None:
        """Writes a configuration as the operator does."""
        self.store.put("op/config", document)
        self.log.say(f"operator: {text}; confirmed by the store")

    async def run(self) -> int:
        """Runs the case and returns the exit status."""
        task = asyncio.current_task()
        assert task is not None
        # The processes are ended also if the script is stopped.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel
        )
        deployment = self.deployment
        names = [*deployment.balancers, *deployment.agents]
        try:
            async with asyncio.timeout(LIMIT_S):
                await self.store.start(
                    deployment.store_host, deployment.ports["store"]
                )
                self.store.put("op/config", self.first_config())
                await self.client.start()
                for name in names:
                    deployment.start(name)
                for item in self.servers.values():
                    await item.start()
                await deployment.wait_until_ready(*names)
                self.router.start()
                # Every machine is calm for the whole stable window.
                await asyncio.sleep(
                    fleet.BOUNDS["stable_window_ms"] / 1_000 + 0.5
                )
                await self.play()
        except Exception as error:
            # Whatever fails here is no verdict on the programs under review.
            self.log.say(f"the case could not run: {error!r}")
            return EXIT_CANNOT_RUN
        finally:
            self.router.stop()
            for item in self.servers.values():
                item.stop()
            self.client.stop()
            self.store.stop()
            deployment.stop()
        for text in self.findings:
            self.log.say(f"BROKEN: {text}")
        self.log.say(
            f"result: {len(self.findings)} findings, "
            f"{'with' if self.trouble else 'without'} the disruption"
        )
        return EXIT_BROKEN if self.findings else EXIT_HELD


def main(scenario: type[Scenario], file: str) -> None:
    """Runs a scenario as a program."""
    folder = pathlib.Path(file).resolve().parent
    try:
        status = asyncio.run(scenario(folder).run())
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case cannot run: {error!r}")
        status = EXIT_CANNOT_RUN
    sys.exit(status)
