"""Commands of the `fireflyford` binary, except those of the group `config`."""

import hashlib
import sys

import fire

from fireflyford import agent
from fireflyford import balancer
from fireflyford import core
from fireflyford import settings
from fireflyford.cli import _config_commands
from fireflyford.cli import _explain
from fireflyford.cli import _job
from fireflyford.cli import _targets
from fireflyford.cli import _trace

VERSION = "0.1.0"


class Commands:
    """Layer-4 load balancer for services with long-lived flows.

    Commands about instances take --instance, the address of the status port of
    a balancer (or FIREFLYFORD_INSTANCE); commands about configurations take
    --store, the addresses of the gateways of the store (or FIREFLYFORD_STORE).
    """

    def __init__(self) -> None:
        """Adds the command group `config`."""
        self.config = _config_commands.ConfigCommands()

    def balancer(self, settings_path: str) -> _job.Job:
        """Runs a balancer.

        Args:
            settings_path: Settings file, JSON with comments.
        """
        return _job.Job(lambda: _run_balancer(settings_path))

    def agent(self, settings_path: str) -> _job.Job:
        """Runs the agent beside a backend server.

        Args:
            settings_path: Settings file, JSON with comments.
        """
        return _job.Job(lambda: _run_agent(settings_path))

    def status(self, instance: str = "") -> _job.Job:
        """Shows a balancer and the instances in its view.

        Args:
            instance: Status port of a balancer, ip:port.
        """
        return _job.make_async_job(lambda: _targets.describe_status(instance))

    def targets(self, service: str = "", instance: str = "") -> _job.Job:
        """Shows the targets with their connections and requests in flight.

        Args:
            service: Show only the targets of this service.
            instance: Status port of a balancer, ip:port.
        """
        return _job.make_async_job(
            lambda: _targets.describe_targets(service, instance)
        )

    def drain(self, target: str, instance: str = "") -> _job.Job:
        """Starts the graceful shutdown of an instance.

        Args:
            target: Name of the instance, or ip:port of its status port.
            instance: Status port of a balancer that knows the name.
        """
        return _job.make_async_job(
            lambda: _targets.drain(str(target), instance)
        )

    def audit(self, limit: int = 20, store: str = "") -> _job.Job:
        """Shows the audit trail: author, time, versions and changes.

        Args:
            limit: Maximum number of entries, newest first.
            store: Gateways of the store, ip:port,...
        """
        return _job.make_async_job(
            lambda: _config_commands.read_audit(limit, store, details=True)
        )

    def explain(
        self,
        service: str,
        connection_id: str = "",
        method: str = "GET",
        path: str = "",
        settings_path: str = "",
        instance: str = "",
    ) -> _job.Job:
        """Explains where a flow or a request would be routed, and why.

        Args:
            service: Name of the service.
            connection_id: Destination connection ID of a packet, hexadecimal.
            method: HTTP method of a request.
            path: Path of a request.
            settings_path: Balancer settings, for the routing keys that decode
                the connection ID of an established flow.
            instance: Status port of a balancer, ip:port.
        """
        return _job.make_async_job(
            lambda: _explain.explain(
                service,
                str(connection_id),
                method,
                path,
                settings_path,
                instance,
            )
        )

    def token(
        self, name: str, settings_path: str = "", key_hex: str = ""
    ) -> _job.Job:
        """Issues the token that a caller needs if its service requires one.

        Args:
            name: Name of the caller.
            settings_path: Agent settings that hold `caller_key_hex`.
            key_hex: The key in hexadecimal, instead of a settings file.
        """
        return _job.Job(
            lambda: _issue_token(str(name), settings_path, str(key_hex))
        )

    def trace(self, flow: str, *logs: str) -> _job.Job:
        """Prints the log lines of a flow on the users' platform.

        Also prints events of its instances that may have caused its end.

        Args:
            flow: Client's and route's ip:port as in the logs, or a part of it.
            logs: Log files of the instances.
        """
        return _job.Job(lambda: _trace.trace(str(flow), logs))

    def version(self) -> _job.Job:
        """Prints the version."""
        return _job.Job(lambda: core.Ok(VERSION))


def _run_balancer(path: str) -> core.Outcome[str]:
    loaded = settings.load(path, settings.BalancerSettings)
    if isinstance(loaded, core.Failure):
        return loaded
    outcome = balancer.run(loaded.value)
    return outcome if isinstance(outcome, core.Failure) else core.Ok("")


def _run_agent(path: str) -> core.Outcome[str]:
    loaded = settings.load(path, settings.AgentSettings)
    if isinstance(loaded, core.Failure):
        return loaded
    outcome = agent.run(loaded.value)
    return outcome if isinstance(outcome, core.Failure) else core.Ok("")


def _issue_token(
    name: str, settings_path: str, key_hex: str
) -> core.Outcome[str]:
    if settings_path:
        loaded = settings.load(settings_path, settings.AgentSettings)
        if isinstance(loaded, core.Failure):
            return loaded
        key_hex = loaded.value.caller_key_hex
    try:
        key = bytes.fromhex(key_hex)
    except ValueError:
        key = b""
    if not 16 <= len(key) <= hashlib.blake2s.MAX_KEY_SIZE:
        return _token_error(
            "no usable key; give --settings-path of an agent that has "
            "`caller_key_hex`, or --key-hex of 16 to 32 bytes"
        )
    if not name or "." in name or not name.isprintable() or " " in name:
        return _token_error(
            f"{name!r} is not a valid name; use one without `.` or spaces"
        )
    return core.Ok(agent.make_token(key, name))


def _token_error(message: str) -> core.Failure:
    return core.Failure(core.ErrorKind.BAD_REQUEST, message)


def main() -> None:
    """Runs the command line."""
    fire.Fire(
        Commands(),
        command=[_job.quote_lossy_number(item) for item in sys.argv[1:]],
        name="fireflyford",
        serialize=_job.run_result,
    )
