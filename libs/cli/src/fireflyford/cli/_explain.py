"""Explains where a flow or a request would be routed, and why."""

from collections.abc import Iterator

from fireflyford import config
from fireflyford import core
from fireflyford import routing
from fireflyford import settings
from fireflyford import wire
from fireflyford.cli import _instances

_ALIVE_STATE = "alive"


async def explain(
    service: str,
    connection_id: str,
    method: str,
    path: str,
    settings_path: str,
    instance: str,
) -> core.Outcome[str]:
    """Explains the route of a flow, and of a request if `path` is given.

    Args:
        service: Name of the service.
        connection_id: Destination connection ID in hexadecimal, or empty.
        method: HTTP method.
        path: Path of a request, or empty.
        settings_path: Balancer settings with the routing keys, or empty.
        instance: Status port of the balancer whose view is used.
    """
    fetched = await _instances.fetch_balancer(instance)
    if isinstance(fetched, core.Failure):
        return fetched
    address, status = fetched.value
    config_text = await _instances.call(address, "/config")
    if isinstance(config_text, core.Failure):
        return config_text
    parsed = config.parse(config_text.value) if config_text.value else None
    service_config = (
        parsed.value.service(service) if isinstance(parsed, core.Ok) else None
    )
    members = {
        name: member
        for name, member in status.members.items()
        if member.service == service and member.role == core.Role.AGENT.value
    }
    if service_config is None and not members:
        return core.Failure(
            core.ErrorKind.NO_SUCH_SERVICE,
            f"{status.instance_id} has no service {service!r}; see "
            "`fireflyford status`",
        )
    flow = _explain_flow(
        service, connection_id, settings_path, service_config, members
    )
    if isinstance(flow, core.Failure):
        return flow
    lines = [f"as {status.instance_id} sees it:", *flow.value]
    if path:
        lines += _explain_request(service_config, method, path)
    return core.Ok("\n".join(lines))


def _explain_flow(
    service: str,
    connection_id: str,
    settings_path: str,
    service_config: config.Service | None,
    members: dict[str, _instances.MemberStatus],
) -> core.Outcome[list[str]]:
    try:
        identifier = bytes.fromhex(connection_id)
    except ValueError:
        return core.Failure(
            core.ErrorKind.BAD_REQUEST,
            f"--connection-id is {connection_id!r}, expected hexadecimal",
        )
    if settings_path:
        loaded = settings.load(settings_path, settings.BalancerSettings)
        if isinstance(loaded, core.Failure):
            return loaded
        codec = wire.ConnectionIdCodec(loaded.value.routing_keys, service)
        holder = codec.decode(identifier)
        if holder is not None:
            return core.Ok(list(_explain_holder(holder, members)))
    draining = service_config is not None and service_config.draining
    return core.Ok(list(_explain_new_flow(identifier, draining, members)))


def _explain_holder(
    holder: wire.ConnectionId, members: dict[str, _instances.MemberStatus]
) -> Iterator[str]:
    yield (
        f"flow: to {holder.agent}, because the connection ID names that agent "
        f"with incarnation {holder.incarnation}"
    )
    for name, member in members.items():
        if member.link_address != str(holder.agent):
            continue
        if member.incarnation == holder.incarnation:
            yield f"  this is {name}, {member.state}"
        else:
            yield (
                f"  {name} has that address with another incarnation, so it "
                "drops the packet and the caller opens a new connection"
            )
        return
    yield "  no member in the view has that address; packets still go there"


def _explain_new_flow(
    identifier: bytes,
    draining: bool,
    members: dict[str, _instances.MemberStatus],
) -> Iterator[str]:
    targets = []
    for name, member in sorted(members.items()):
        accepts_flows = member.state == _ALIVE_STATE and not draining
        targets.append(
            routing.Target(
                name=name,
                address=core.Address.parse(member.link_address),
                incarnation=member.incarnation,
                weight=member.weight,
                accepts_flows=accepts_flows,
            )
        )
        if not accepts_flows:
            reason = member.state if member.state != _ALIVE_STATE else "alive"
            yield f"  not {name}: {reason}" + (
                ", and the service is draining" if draining else ""
            )
    ring = routing.TargetRing(targets)
    total_weight = sum(item.weight for item in targets if item.accepts_flows)
    chosen = ring.find(routing.hash_flow(identifier)) if identifier else None
    if not total_weight:
        yield "flow: not routable, because no target accepts new flows"
    elif chosen is None:
        yield (
            "flow: to one of the targets below, by the hash of its first "
            "connection ID (give --connection-id to see which)"
        )
        for item in targets:
            if item.accepts_flows:
                yield f"  {item.name}: about {item.weight / total_weight:.0%}"
    else:
        yield (
            f"flow: to {chosen.name} at {chosen.address}, a new flow placed "
            f"on the ring by its connection ID; its weight is "
            f"{chosen.weight:g} of {total_weight:g}"
        )


def _explain_request(
    service: config.Service | None, method: str, path: str
) -> Iterator[str]:
    if service is None:
        yield "request: unknown, because no pushed configuration is in force"
        return
    treatment = service.treatment(method, path)
    if treatment is None:
        yield (
            f"request: refused, because no treatment matches {method} {path}"
        )
        return
    yield (
        f"request: treatment {treatment.name}, the first that matches "
        f"{treatment.method} {treatment.path_prefix}"
    )
    retry_rule = (
        "runs again on a retry"
        if treatment.idempotent
        else "needs a ticket and runs at most once"
    )
    yield f"  {treatment.kind.value}, {treatment.size.value}, {retry_rule}"
    yield (
        f"  deadline {treatment.deadline_ms} ms, priority "
        f"{treatment.priority}, under overload: {treatment.at_crest.value}"
    )
