"""Real processes of one deployment on loopback, for tests and experiments."""

import dataclasses
import json
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile

from tornado import httpclient

from fireflyford import config
from fireflyford import core
from fireflyford.lab import _certificates
from fireflyford.lab import _fabric

_START_LIMIT_MS = 15_000
_POLL_MS = 50
_CLOCK = core.SystemClock()


@dataclasses.dataclass(frozen=True)
class Target:
    """The processes of one target."""

    name: str
    service: str
    backend: subprocess.Popen[bytes]
    agent: subprocess.Popen[bytes]
    status_address: core.Address


@dataclasses.dataclass(frozen=True)
class BalancerProcess:
    """One balancer and its addresses."""

    name: str
    process: subprocess.Popen[bytes]
    listeners: dict[str, core.Address]
    control_address: core.Address
    status_address: core.Address


class Fleet:
    """Processes of one deployment and the fabric in front of them."""

    def __init__(
        self,
        deployment: config.Deployment,
        rng: random.Random,
        balancer_count: int = 3,
    ) -> None:
        """Prepares a fleet; `start` starts its processes.

        Args:
            deployment: What to run; its service addresses are replaced by
                free ports.
            rng: Random source of the fabric and of the keys.
            balancer_count: Balancers to start.
        """
        self._rng = rng
        self._balancer_count = balancer_count
        self._directory = pathlib.Path(tempfile.mkdtemp(prefix="fireflyford-"))
        self._routing_key = rng.randbytes(16).hex()
        self._link_key = rng.randbytes(16).hex()
        self._sequence = 0
        self._speeds: dict[str, float] = {}
        services = tuple(
            dataclasses.replace(service, address=str(free_address()))
            for service in deployment.services
        )
        self.deployment = dataclasses.replace(deployment, services=services)
        self.fabric = _fabric.Fabric(rng)
        self.balancers: dict[str, BalancerProcess] = {}
        self.targets: dict[str, Target] = {}
        self._config_path = self._directory / "config.json"
        self._config_path.write_text(config.render(self.deployment))

    async def start(self) -> None:
        """Starts all processes and waits until the balancers see them."""
        for service in self.deployment.services:
            _certificates.make_certificate(self._directory, service.name)
        for _ in range(self._balancer_count):
            self.start_balancer()
        for service in self.deployment.services:
            for _ in range(service.target_count):
                self.start_target(service.name)
            await self.fabric.add_service(
                service.name, core.Address.parse(service.address), ()
            )
        await self.settle()

    def start_balancer(self) -> BalancerProcess:
        """Starts one more balancer."""
        name = self._next_name("balancer")
        listeners = {
            service.name: free_address() for service in self.deployment.services
        }
        options = self._common_settings(name) | {
            "listeners": {key: str(value) for key, value in listeners.items()}
        }
        process = self._spawn(name, "balancer", options)
        started = BalancerProcess(
            name=name,
            process=process,
            listeners=listeners,
            control_address=core.Address.parse(str(options["control_address"])),
            status_address=core.Address.parse(str(options["status_address"])),
        )
        self.balancers[name] = started
        return started

    def start_target(self, service: str, speed: float = 1.0) -> Target:
        """Starts one more backend server with its agent."""
        name = self._next_name(service)
        address = free_address()
        backend = subprocess.Popen(
            [
                *_lab_command(),
                "backend",
                f"--address={address}",
                f"--name={name}",
                f"--speed={speed}",
            ],
            stdout=(self._directory / f"{name}.executions").open("wb"),
            stderr=(self._directory / f"{name}.backend.log").open("wb"),
        )
        options = self._common_settings(name) | {
            "service": service,
            "backend_address": str(address),
            "certificate_path": str(self._directory / f"{service}.pem"),
            "private_key_path": str(self._directory / f"{service}.key"),
        }
        agent = self._spawn(name, "agent", options)
        target = Target(
            name=name,
            service=service,
            backend=backend,
            agent=agent,
            status_address=core.Address.parse(str(options["status_address"])),
        )
        self.targets[name] = target
        return target

    async def settle(self) -> None:
        """Waits until each balancer sees each target, then uses them all."""
        limit_ms = _CLOCK.now_ms() + _START_LIMIT_MS
        expected = set(self.targets)
        for balancer in self.balancers.values():
            while not expected <= await self._alive_members(balancer):
                if _CLOCK.now_ms() > limit_ms:
                    raise TimeoutError(f"{balancer.name} does not see all")
                await _CLOCK.sleep(_POLL_MS)
        self.use_balancers()

    def use_balancers(self) -> None:
        """Makes the fabric spray over the balancers that are running."""
        for service in self.deployment.services:
            self.fabric.replace_balancers(
                service.name,
                [
                    item.listeners[service.name]
                    for item in self.balancers.values()
                ],
            )

    async def _alive_members(self, balancer: BalancerProcess) -> set[str]:
        status = await fetch_status(balancer.status_address)
        members = status.get("members", {})
        return {
            name
            for name, member in members.items()
            if member["state"] == "alive"
        }

    def kill(self, process: subprocess.Popen[bytes]) -> None:
        """Kills a process without warning."""
        process.kill()
        process.wait()

    async def stop_gracefully(self, process: subprocess.Popen[bytes]) -> int:
        """Sends SIGTERM and waits for the end; returns the exit status."""
        process.send_signal(signal.SIGTERM)
        while process.poll() is None:
            await _CLOCK.sleep(_POLL_MS)
        return process.returncode

    def executions(self) -> list[dict[str, object]]:
        """Returns what the backend servers have executed, unordered."""
        lines = []
        for path in self._directory.glob("*.executions"):
            for line in path.read_text().splitlines():
                lines.append(json.loads(line))
        return lines

    def log_text(self, name: str) -> str:
        """Returns the log of a balancer or agent."""
        return (self._directory / f"{name}.log").read_text()

    def authorities_path(self, service: str) -> str:
        """Returns the certificate that callers of a service trust."""
        return str(self._directory / f"{service}.pem")

    def stop(self) -> None:
        """Ends every process and removes the files."""
        processes = [item.process for item in self.balancers.values()]
        for target in self.targets.values():
            processes += [target.agent, target.backend]
        for process in processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        shutil.rmtree(self._directory, ignore_errors=True)

    def _next_name(self, prefix: str) -> str:
        self._sequence += 1
        return f"{prefix}-{self._sequence}"

    def _common_settings(self, name: str) -> dict[str, object]:
        zones = self.deployment.regions[0].availability_zones
        return {
            "instance_id": name,
            "region": self.deployment.regions[0].name,
            "availability_zone": zones[self._sequence % len(zones)].name,
            "link_address": str(free_address()),
            "control_address": str(free_address()),
            "bulk_address": str(free_address()),
            "status_address": str(free_address()),
            "routing_keys_hex": [self._routing_key],
            "link_key_hex": self._link_key,
            "seeds": [
                str(item.control_address) for item in self.balancers.values()
            ],
            "config_path": str(self._config_path),
        }

    def _spawn(
        self, name: str, role: str, options: dict[str, object]
    ) -> subprocess.Popen[bytes]:
        path = self._directory / f"{name}.json"
        path.write_text(json.dumps(options, indent=2))
        command = [str(pathlib.Path(sys.executable).parent / "fireflyford")]
        return subprocess.Popen(
            [*command, role, str(path)],
            stderr=(self._directory / f"{name}.log").open("wb"),
        )


# Below the range that the system takes ports of outgoing connections from, so
# that none of them occupies a port before its process has started.
_PORTS = range(10_000, 32_000)


def free_address() -> core.Address:
    """Returns a loopback address with a port free for TCP and UDP."""
    while True:
        port = random.SystemRandom().choice(_PORTS)
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stream,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram,
        ):
            try:
                stream.bind(("127.0.0.1", port))
                datagram.bind(("127.0.0.1", port))
            except OSError:
                continue
            return core.Address("127.0.0.1", port)


async def fetch_status(
    address: core.Address,
) -> dict[str, dict[str, dict[str, str]]]:
    """Returns the status of a process, empty while it does not answer."""
    client = httpclient.AsyncHTTPClient()
    try:
        reply = await client.fetch(f"http://{address}/status")
    except (OSError, httpclient.HTTPError):
        return {}
    status: dict[str, dict[str, dict[str, str]]] = json.loads(reply.body)
    return status


def _lab_command() -> list[str]:
    return [str(pathlib.Path(sys.executable).parent / "fireflyford-lab")]
