"""Client of the status ports of instances."""

import asyncio
from collections.abc import Iterable
import dataclasses

import msgspec
from tornado import httpclient

from fireflyford import core
from fireflyford.cli import _job

_TIMEOUT_S = 2.0
# Limit of concurrent calls when all targets are queried.
_MAX_PARALLEL_CALLS = 20


@dataclasses.dataclass(frozen=True)
class MemberStatus:
    """Status of a member in the view of a balancer."""

    role: str
    service: str
    state: str
    weight: float
    link_address: str
    status_address: str
    availability_zone: str = ""
    incarnation: int = 0
    config_version: int = 0


@dataclasses.dataclass(frozen=True)
class ConfigStatus:
    """Status of the configuration of an instance."""

    version: int = 0
    highest_version: int = 0
    identity: str = ""
    author: str = ""
    alarm: str = ""


@dataclasses.dataclass(frozen=True)
class InstanceStatus:
    """Status that an instance reports; agents report no members."""

    instance_id: str
    role: str
    draining: bool
    service: str = ""
    connections: int = 0
    feeds: int = 0
    in_flight: int = 0
    config: ConfigStatus = ConfigStatus()
    members: dict[str, MemberStatus] = dataclasses.field(default_factory=dict)


async def fetch_status(address: core.Address) -> core.Outcome[InstanceStatus]:
    """Fetches the status of one instance."""
    body = await call(address, "/status")
    if isinstance(body, core.Failure):
        return body
    try:
        status = msgspec.json.decode(body.value, type=InstanceStatus)
    except msgspec.DecodeError as error:
        return _unreachable(address, f"unreadable status: {error}")
    return core.Ok(status)


async def fetch_balancer(
    instance: str,
) -> core.Outcome[tuple[core.Address, InstanceStatus]]:
    """Fetches the status of the balancer given by `--instance`.

    If several addresses are given, returns the first balancer that responds.
    """
    parsed = _job.parse_addresses(
        instance, _job.INSTANCE_VARIABLE, "--instance"
    )
    if isinstance(parsed, core.Failure):
        return parsed
    failure: core.Failure | None = None
    for address in parsed.value:
        status = await fetch_status(address)
        if isinstance(status, core.Ok):
            if status.value.role == core.Role.BALANCER.value:
                return core.Ok((address, status.value))
            status = _unreachable(
                address, "expected a balancer, found another role"
            )
        failure = status
    return failure or _unreachable("--instance", "no address")


async def fetch_statuses(
    addresses: Iterable[str],
) -> list[core.Outcome[InstanceStatus]]:
    """Fetches the status of instances, with limited concurrency."""
    semaphore = asyncio.Semaphore(_MAX_PARALLEL_CALLS)

    async def fetch(text: str) -> core.Outcome[InstanceStatus]:
        async with semaphore:
            return await fetch_status(core.Address.parse(text))

    return await asyncio.gather(*(fetch(item) for item in addresses))


async def call(
    address: core.Address, path: str, method: str = "GET"
) -> core.Outcome[bytes]:
    """Sends an HTTP request to the status port of an instance."""
    request = httpclient.HTTPRequest(
        f"http://{address}{path}",
        method=method,
        body=b"" if method == "POST" else None,
        connect_timeout=_TIMEOUT_S,
        request_timeout=_TIMEOUT_S,
    )
    try:
        response = await httpclient.AsyncHTTPClient().fetch(request)
    except (OSError, httpclient.HTTPError) as error:
        return _unreachable(address, str(error))
    return core.Ok(response.body)


def _unreachable(address: object, reason: str) -> core.Failure:
    return core.Failure(
        core.ErrorKind.INSTANCE_UNREACHABLE,
        f"instance {address}: {reason}; check the address and the instance",
    )
