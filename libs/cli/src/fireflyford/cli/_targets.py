"""Commands about instances: status, targets and drain."""

import collections
from collections.abc import Sequence

from fireflyford import config
from fireflyford import core
from fireflyford.cli import _instances


async def describe_status(instance: str) -> core.Outcome[str]:
    """Describes one balancer and the members in its view."""
    fetched = await _instances.fetch_balancer(instance)
    if isinstance(fetched, core.Failure):
        return fetched
    _, status = fetched.value
    state = "draining" if status.draining else "running"
    lines = [
        f"{status.instance_id}: {state}, configuration version "
        f"{status.config.version}"
        + (f" by {status.config.author}" if status.config.author else "")
    ]
    if status.config.alarm:
        lines.append(f"alarm: {status.config.alarm}")
    rows = [("INSTANCE", "ROLE", "SERVICE", "ZONE", "STATE", "CONFIG")]
    for name, member in sorted(status.members.items()):
        rows.append(
            (
                name,
                member.role,
                member.service or "-",
                member.availability_zone,
                member.state,
                str(member.config_version),
            )
        )
    return core.Ok("\n".join(lines + _format_table(rows)))


async def describe_targets(service: str, instance: str) -> core.Outcome[str]:
    """Describes the targets of a service, or of all services."""
    fetched = await _fetch_agents(service, instance)
    if isinstance(fetched, core.Failure):
        return fetched
    rows = [("TARGET", "SERVICE", "STATE", "CONNECTIONS", "FEEDS", "RUNNING")]
    for name, (member, status) in sorted(fetched.value.items()):
        counts = ("?", "?", "?")
        if status is not None:
            counts = (
                str(status.connections),
                str(status.feeds),
                str(status.in_flight),
            )
        state = member.state if status is not None else "no-answer"
        rows.append((name, member.service, state, *counts))
    if len(rows) == 1:
        return core.Failure(
            core.ErrorKind.NO_SUCH_SERVICE,
            f"no targets of service {service!r}; see `fireflyford status`",
        )
    return core.Ok("\n".join(_format_table(rows)))


async def drain(target: str, instance: str) -> core.Outcome[str]:
    """Starts the graceful shutdown of an instance by name or address."""
    try:
        address = core.Address.parse(target)
    except ValueError:
        fetched = await _instances.fetch_balancer(instance)
        if isinstance(fetched, core.Failure):
            return fetched
        member = fetched.value[1].members.get(target)
        if member is None:
            return core.Failure(
                core.ErrorKind.BAD_REQUEST,
                f"no instance {target!r}; see `fireflyford status`",
            )
        address = core.Address.parse(member.status_address)
    response = await _instances.call(address, "/drain", method="POST")
    if isinstance(response, core.Failure):
        return response
    return core.Ok(f"{target} is draining; see `fireflyford targets`")


async def check_removed_services(
    new: config.Deployment, instance: str
) -> core.Outcome[None]:
    """Refuses a change that removes a service which still has connections.

    Compares with the configuration and the connections of running instances.

    Args:
        new: Deployment that an operator wants to push.
        instance: Status port of a balancer.
    """
    current = await _fetch_deployment(instance)
    if isinstance(current, core.Failure):
        return current
    if current.value is not None:
        lines = config.find_breaking_changes(current.value, new)
        if lines:
            return core.Failure(core.ErrorKind.BAD_CONFIG, "; ".join(lines))
    fetched = await _fetch_agents("", instance)
    if isinstance(fetched, core.Failure):
        return fetched
    counts: collections.Counter[str] = collections.Counter()
    for name, (member, status) in fetched.value.items():
        if new.service(member.service) is not None:
            continue
        if status is None:
            return core.Failure(
                core.ErrorKind.INSTANCE_UNREACHABLE,
                f"service {member.service} would be removed, but {name} does "
                "not answer and may hold connections; drain it first",
            )
        counts[member.service] += status.connections
    for service, count in counts.items():
        if count:
            return core.Failure(
                core.ErrorKind.BAD_CONFIG,
                f"service {service} would be removed, but holds {count} "
                "connections; wait until `fireflyford targets` shows none",
            )
    return core.Ok(None)


async def _fetch_deployment(
    instance: str,
) -> core.Outcome[config.Deployment | None]:
    fetched = await _instances.fetch_balancer(instance)
    if isinstance(fetched, core.Failure):
        return fetched
    text = await _instances.call(fetched.value[0], "/config")
    if isinstance(text, core.Failure):
        return text
    if not text.value:
        return core.Ok(None)
    parsed = config.parse(text.value)
    return parsed if isinstance(parsed, core.Failure) else core.Ok(parsed.value)


_AgentStatus = tuple[_instances.MemberStatus, _instances.InstanceStatus | None]


async def _fetch_agents(
    service: str, instance: str
) -> core.Outcome[dict[str, _AgentStatus]]:
    fetched = await _instances.fetch_balancer(instance)
    if isinstance(fetched, core.Failure):
        return fetched
    agents = {
        name: member
        for name, member in fetched.value[1].members.items()
        if member.role == core.Role.AGENT.value
        and member.state in ("alive", "draining")
        and service in ("", member.service)
    }
    statuses = await _instances.fetch_statuses(
        member.status_address for member in agents.values()
    )
    return core.Ok(
        {
            name: (
                member,
                status.value if isinstance(status, core.Ok) else None,
            )
            for (name, member), status in zip(
                agents.items(), statuses, strict=True
            )
        }
    )


def _format_table(rows: Sequence[tuple[str, ...]]) -> list[str]:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]
