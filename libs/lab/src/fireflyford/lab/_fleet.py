"""Processes of one deployment on loopback, for tests and experiments."""

import asyncio
import dataclasses
import json
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
from typing import Any

from tornado import httpclient

from fireflyford import config
from fireflyford import core
from fireflyford.lab import _certificates
from fireflyford.lab import _fabric
from fireflyford.lab import _fault_links
from fireflyford.lab import _fault_proxy
from fireflyford.lab import _ports

_START_TIMEOUT_MS = 60_000
_POLL_MS = 50
# Health checks of the fabric. A balancer that fails two in a row gets no more
# datagrams.
_HEALTH_INTERVAL_MS = 500
_UNHEALTHY_THRESHOLD = 2
_STATUS_TIMEOUT_S = 1.0
_CLOCK = core.SystemClock()


@dataclasses.dataclass(frozen=True)
class Target:
    """Processes and addresses of one target."""

    name: str
    service: str
    backend: subprocess.Popen[bytes]
    agent: subprocess.Popen[bytes]
    status_address: core.Address
    control_listen: core.Address


@dataclasses.dataclass(frozen=True)
class BalancerProcess:
    """Process and addresses of one balancer."""

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
        proxied: frozenset[str] = frozenset(),
        drain_limit_ms: int = 30_000,
    ) -> None:
        """Prepares a fleet; `start` starts its processes.

        Args:
            deployment: Deployment to run. Its service addresses are replaced
                by loopback addresses with free ports.
            rng: Random source of the fabric and of the keys.
            balancer_count: Number of balancers to start.
            proxied: Traffic that passes through the fault proxy: `fabric` (to
                the balancers), `link` (between balancers and agents),
                `control` (membership) and `backend` (agents to backend
                servers). The links of the proxy are named
                `fabric/BALANCER/SERVICE`, `link/INSTANCE`,
                `control/INSTANCE` and `backend/TARGET`.
            drain_limit_ms: Time limit of the graceful shutdown of each
                process.
        """
        self._rng = rng
        self._balancer_count = balancer_count
        self._directory = pathlib.Path(tempfile.mkdtemp(prefix="fireflyford-"))
        self._routing_key = rng.randbytes(16).hex()
        self._link_key = rng.randbytes(16).hex()
        self._sequence = 0
        self._processes: list[subprocess.Popen[bytes]] = []
        self._failed_check_counts: dict[str, int] = {}
        self._in_service: set[str] = set()
        services = tuple(
            dataclasses.replace(service, address=str(_ports.free_address()))
            for service in deployment.services
        )
        self.proxy: _fault_proxy.FaultProxyClient | None = None
        self._proxied = proxied
        self._drain_limit_ms = drain_limit_ms
        self.deployment = dataclasses.replace(deployment, services=services)
        self.fabric = _fabric.Fabric(rng)
        self.store_address = _ports.free_address()
        self.balancers: dict[str, BalancerProcess] = {}
        self.targets: dict[str, Target] = {}
        self._config_path = self._directory / "config.json"
        self._config_path.write_text(config.render(self.deployment))

    async def start(self) -> None:
        """Starts all processes and waits until the balancers know them."""
        for service in self.deployment.services:
            _certificates.make_certificate(self._directory, service.name)
        if self._proxied:
            await self._start_proxy()
        await self._start_store()
        for _ in range(self._balancer_count):
            self.start_balancer()
        for service in self.deployment.services:
            for _ in range(service.target_count):
                self.start_target(service.name)
            await self.fabric.add_service(
                service.name, core.Address.parse(service.address), ()
            )
        await self.wait_for_discovery()

    def _spawn_proxy(self) -> None:
        address = _ports.free_address()
        command = [
            *lab_command(),
            "fault-proxy",
            f"--control={address}",
            f"--seed={self._rng.getrandbits(32)}",
        ]
        log = (self._directory / "fault-proxy.log").open("wb")
        self._processes.append(subprocess.Popen(command, stderr=log))
        self.proxy = _fault_proxy.FaultProxyClient(address)

    async def _start_proxy(self) -> None:
        self._spawn_proxy()
        deadline_ms = _CLOCK.now_ms() + _START_TIMEOUT_MS
        while "ready" not in self.log_text("fault-proxy"):
            if _CLOCK.now_ms() > deadline_ms:
                raise TimeoutError("fault proxy did not become ready in time")
            await _CLOCK.sleep(_POLL_MS)

    def _through_proxy(
        self, name: str, kind: _fault_links.LinkKind, target: core.Address
    ) -> core.Address:
        """Returns the address to use for `target`.

        It is that of a new proxy link if traffic of this kind is proxied.
        """
        if self.proxy is None or name.split("/")[0] not in self._proxied:
            return target
        listen = _ports.free_address()
        self.proxy.add_link(
            _fault_proxy.LinkRequest(name, kind, str(listen), str(target))
        )
        return listen

    def _spawn_store(self) -> None:
        self._processes.append(
            subprocess.Popen(
                [*lab_command(), "store", str(self.store_address)],
                stderr=(self._directory / "store.log").open("wb"),
            )
        )

    async def _start_store(self) -> None:
        self._spawn_store()
        deadline_ms = _CLOCK.now_ms() + _START_TIMEOUT_MS
        while not await _accepts_connections(self.store_address):
            if _CLOCK.now_ms() > deadline_ms:
                raise TimeoutError("store accepted no connection in time")
            await _CLOCK.sleep(_POLL_MS)

    def start_balancer(self) -> BalancerProcess:
        """Starts an additional balancer."""
        name = self._next_name("balancer")
        listeners = {
            service.name: _ports.free_address()
            for service in self.deployment.services
        }
        settings = self._common_settings(name) | {
            "listeners": {key: str(value) for key, value in listeners.items()}
        }
        process = self._spawn(name, "balancer", settings)
        started = BalancerProcess(
            name=name,
            process=process,
            listeners={
                service: self._through_proxy(
                    f"fabric/{name}/{service}",
                    _fault_links.LinkKind.DATAGRAM,
                    address,
                )
                for service, address in listeners.items()
            },
            control_address=core.Address.parse(
                str(settings["control_address"])
            ),
            status_address=core.Address.parse(str(settings["status_address"])),
        )
        self.balancers[name] = started
        return started

    def start_target(self, service: str, speed: float = 1.0) -> Target:
        """Starts an additional backend server with its agent."""
        name = self._next_name(service)
        address = _ports.free_address()
        backend = subprocess.Popen(
            [
                *lab_command(),
                "backend",
                f"--address={address}",
                f"--name={name}",
                f"--speed={speed}",
            ],
            stdout=(self._directory / f"{name}.executions").open("wb"),
            stderr=(self._directory / f"{name}.backend.log").open("wb"),
        )
        self._processes.append(backend)
        settings = self._common_settings(name) | {
            "service": service,
            "backend_address": str(
                self._through_proxy(
                    f"backend/{name}", _fault_links.LinkKind.STREAM, address
                )
            ),
            "certificate_path": str(self._directory / f"{service}.pem"),
            "private_key_path": str(self._directory / f"{service}.key"),
        }
        agent = self._spawn(name, "agent", settings)
        target = Target(
            name=name,
            service=service,
            backend=backend,
            agent=agent,
            status_address=core.Address.parse(str(settings["status_address"])),
            control_listen=core.Address.parse(
                str(settings["control_bind_address"])
            ),
        )
        self.targets[name] = target
        return target

    async def wait_for_discovery(self) -> None:
        """Waits until each balancer knows each target.

        Then puts all balancers into service.
        """
        deadline_ms = _CLOCK.now_ms() + _START_TIMEOUT_MS
        expected = set(self.targets)
        running = [
            item
            for item in self.balancers.values()
            if item.process.poll() is None
        ]
        for balancer in running:
            # Skips balancers that exit and targets that are removed during the
            # wait.
            while balancer.process.poll() is None and (
                missing := (expected - await self._alive_members(balancer))
                & self.targets.keys()
            ):
                if _CLOCK.now_ms() > deadline_ms:
                    logs = "".join(map(self.log_text, sorted(missing)))
                    raise TimeoutError(
                        f"{balancer.name} did not discover targets "
                        f"{sorted(missing)} in time; "
                        f"balancer exit status {balancer.process.poll()}; "
                        f"end of the targets' logs:\n{logs[-2000:]}"
                    )
                await _CLOCK.sleep(_POLL_MS)
        self._in_service.update(self.balancers)
        self.update_fabric()

    async def check_health(self) -> None:
        """Runs the fabric's health checks of the balancers until cancelled."""
        while True:
            for balancer in list(self.balancers.values()):
                await self._check_balancer(balancer)
            await _CLOCK.sleep(_HEALTH_INTERVAL_MS)

    async def _check_balancer(self, balancer: BalancerProcess) -> None:
        ready = await fetch_ready(balancer.status_address)
        count = self._failed_check_counts.get(balancer.name, 0)
        self._failed_check_counts[balancer.name] = 0 if ready else count + 1
        # A balancer that answers "not ready" is shutting down gracefully and
        # leaves service at once.
        if ready:
            self._in_service.add(balancer.name)
        elif ready is False or count + 1 >= _UNHEALTHY_THRESHOLD:
            self._in_service.discard(balancer.name)
        self.update_fabric()

    async def replace_balancer(self, balancer: BalancerProcess) -> int:
        """Starts a new balancer, then stops this one gracefully.

        Requires `check_health` to run. Returns the exit status of the stopped
        balancer.
        """
        self.start_balancer()
        await self.wait_for_discovery()
        exit_status = await self.stop_gracefully(balancer.process)
        self.balancers.pop(balancer.name, None)
        return exit_status

    async def replace_target(self, target: Target) -> int:
        """Starts a new target, then stops this one gracefully."""
        self.start_target(target.service)
        await self.wait_for_discovery()
        return await self.remove_target(target)

    async def remove_target(self, target: Target) -> int:
        """Stops a target gracefully: first its agent, then its server."""
        self.targets.pop(target.name, None)
        exit_status = await self.stop_gracefully(target.agent)
        await self.stop_gracefully(target.backend)
        return exit_status

    def kill_target(self, target: Target) -> None:
        """Kills the agent and the backend server of a target."""
        self.targets.pop(target.name, None)
        target.agent.kill()
        target.backend.kill()

    def update_fabric(self) -> None:
        """Configures the fabric to use the balancers in service."""
        for service in self.deployment.services:
            self.fabric.replace_balancers(
                service.name,
                [
                    item.listeners[service.name]
                    for item in self.balancers.values()
                    if item.name in self._in_service
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
        """Kills a process with SIGKILL."""
        process.kill()
        process.wait()

    async def stop_gracefully(self, process: subprocess.Popen[bytes]) -> int:
        """Sends SIGTERM, waits for the exit and returns the exit status."""
        process.send_signal(signal.SIGTERM)
        while process.poll() is None:
            await _CLOCK.sleep(_POLL_MS)
        return process.returncode

    def executions(self) -> list[dict[str, object]]:
        """Returns the execution logs of the backend servers, unordered."""
        lines = []
        for path in self._directory.glob("*.executions"):
            for line in path.read_text().splitlines():
                lines.append(json.loads(line))
        return lines

    def log_text(self, name: str) -> str:
        """Returns the log of a balancer, an agent or the fault proxy."""
        return (self._directory / f"{name}.log").read_text()

    def authorities_path(self, service: str) -> str:
        """Returns the certificate that callers of a service trust."""
        return str(self._directory / f"{service}.pem")

    def stop(self) -> None:
        """Kills all processes and removes their files."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()
        for process in self._processes:
            process.wait()
        shutil.rmtree(self._directory, ignore_errors=True)

    def _next_name(self, prefix: str) -> str:
        self._sequence += 1
        return f"{prefix}-{self._sequence}"

    def _common_settings(self, name: str) -> dict[str, object]:
        zones = self.deployment.regions[0].availability_zones
        link = _ports.free_address()
        advertised = self._through_proxy(
            f"link/{name}", _fault_links.LinkKind.FORWARDED, link
        )
        control = _ports.free_address()
        advertised_control = self._through_proxy(
            f"control/{name}", _fault_links.LinkKind.DATAGRAM, control
        )
        return {
            "instance_id": name,
            "region": self.deployment.regions[0].name,
            "availability_zone": zones[self._sequence % len(zones)].name,
            "link_address": str(advertised),
            "link_bind_address": str(link),
            "control_address": str(advertised_control),
            "control_bind_address": str(control),
            "bulk_address": str(_ports.free_address()),
            "status_address": str(_ports.free_address()),
            "routing_keys_hex": [self._routing_key],
            "link_key_hex": self._link_key,
            "drain_limit_ms": self._drain_limit_ms,
            "seeds": [
                str(item.control_address) for item in self.balancers.values()
            ],
            "store_addresses": [str(self.store_address)],
            "config_path": str(self._config_path),
        }

    def _spawn(
        self, name: str, role: str, settings: dict[str, object]
    ) -> subprocess.Popen[bytes]:
        path = self._directory / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        command = [str(pathlib.Path(sys.executable).parent / "fireflyford")]
        process = subprocess.Popen(
            [*command, role, str(path)],
            stderr=(self._directory / f"{name}.log").open("wb"),
        )
        self._processes.append(process)
        return process


async def _accepts_connections(address: core.Address) -> bool:
    try:
        _, writer = await asyncio.open_connection(address.host, address.port)
    except OSError:
        return False
    writer.close()
    return True


async def fetch_ready(address: core.Address) -> bool | None:
    """Returns whether a process is ready, None if it does not respond."""
    client = httpclient.AsyncHTTPClient()
    try:
        reply = await client.fetch(
            f"http://{address}/readyz",
            request_timeout=_STATUS_TIMEOUT_S,
            raise_error=False,
        )
    except OSError:
        return None
    return None if reply.code == 599 else reply.code == 200


async def fetch_status(address: core.Address) -> dict[str, Any]:
    """Returns the status of a process, empty if it does not respond."""
    client = httpclient.AsyncHTTPClient()
    try:
        reply = await client.fetch(
            f"http://{address}/status", request_timeout=_STATUS_TIMEOUT_S
        )
    except (OSError, httpclient.HTTPError):
        return {}
    status: dict[str, Any] = json.loads(reply.body)
    return status


def lab_command() -> list[str]:
    """Returns the command of the lab tool, to be followed by arguments."""
    return [str(pathlib.Path(sys.executable).parent / "fireflyford-lab")]
