"""Faults of a deployment that types cannot express."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import re

from fireflyford import core
from fireflyford.config import _types

# Names appear in DNS names, certificates and keys of the store.
_NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
# Records of requests are kept for 120 s, so no deadline may outlive them.
MAX_DEADLINE_MS = 120_000
MAX_PRIORITY = 9
MAX_DELAY_MS = 10_000
_METHODS = frozenset({"DELETE", "GET", "HEAD", "PATCH", "POST", "PUT"})
# Methods that HTTP defines as not idempotent (RFC 9110, 9.2.2).
_REPEATING_METHODS = frozenset({"PATCH", "POST"})


def check(deployment: _types.Deployment) -> tuple[str, ...]:
    """Returns one line for each fault; empty when there is none."""
    return tuple(_find_faults(deployment))


def _find_faults(deployment: _types.Deployment) -> Iterator[str]:
    yield from _check_name("deployment", deployment.name)
    if not deployment.regions:
        yield "the deployment has no region; add at least one"
    if not deployment.services:
        yield "the deployment has no service; add at least one"
    names = [region.name for region in deployment.regions]
    yield from _find_duplicates("region", names)
    for region in deployment.regions:
        yield from _check_region(region)
    zones = [
        zone.name
        for region in deployment.regions
        for zone in region.availability_zones
    ]
    yield from _find_duplicates("availability zone", zones)
    services = deployment.services
    yield from _find_duplicates("service", (item.name for item in services))
    for service in services:
        yield from _check_service(service)
    yield from _find_shared_addresses(services)


def _check_region(region: _types.Region) -> Iterator[str]:
    where = f"region {region.name}"
    yield from _check_name("region", region.name)
    if not region.availability_zones:
        yield f"{where}: no availability zone; add at least one"
    for zone in region.availability_zones:
        yield from _check_name(f"{where}: availability zone", zone.name)
    for field, value in (
        ("zone_delay_ms", region.zone_delay_ms),
        ("caller_delay_ms", region.caller_delay_ms),
    ):
        if not 0 <= value <= MAX_DELAY_MS:
            yield (
                f"{where}: `{field}` is {value:g}, expected 0 to {MAX_DELAY_MS}"
            )


def _check_service(service: _types.Service) -> Iterator[str]:
    where = f"service {service.name}"
    yield from _check_name("service", service.name)
    if _parse_address(service.address) is None:
        yield (
            f"{where}: `address` is {service.address!r}, expected `ip:port` "
            "with a port from 1 to 65535"
        )
    for field in ("target_count", "slots_per_target", "connections_per_target"):
        value = getattr(service, field)
        if value < 1:
            yield f"{where}: `{field}` is {value}, expected 1 or more"
    quic = service.transport is _types.Transport.QUIC
    if quic and not service.treatments:
        yield f"{where}: no treatment; add one for each kind of work"
    if not quic and service.treatments:
        yield f"{where}: datagram flows have no treatments; remove them"
    yield from _find_duplicates(f"{where}: caller", service.callers)
    names = (item.name for item in service.treatments)
    yield from _find_duplicates(f"{where}: treatment", names)
    for index, treatment in enumerate(service.treatments):
        yield from _check_treatment(where, treatment)
        yield from _find_hidden(where, service.treatments[:index], treatment)


def _check_treatment(where: str, item: _types.Treatment) -> Iterator[str]:
    where = f"{where}: treatment {item.name}"
    if not _NAME.fullmatch(item.name):
        yield f"{where}: the name needs a-z, 0-9 and hyphens, 1 to 63 of them"
    if item.method not in _METHODS:
        expected = ", ".join(sorted(_METHODS))
        yield f"{where}: `method` is {item.method!r}, expected {expected}"
    if not item.path_prefix.startswith("/"):
        yield (
            f"{where}: `path_prefix` is {item.path_prefix!r}, expected a "
            "path that starts with /"
        )
    if not 1 <= item.deadline_ms <= MAX_DEADLINE_MS:
        yield (
            f"{where}: `deadline_ms` is {item.deadline_ms}, expected 1 to "
            f"{MAX_DEADLINE_MS}"
        )
    if not 0 <= item.priority <= MAX_PRIORITY:
        yield (
            f"{where}: `priority` is {item.priority}, expected 0 to "
            f"{MAX_PRIORITY}"
        )
    if item.kind is _types.Kind.FEED and item.method != "GET":
        yield f"{where}: a feed needs method GET, not {item.method}"
    if item.idempotent and item.method in _REPEATING_METHODS:
        yield (
            f"{where}: {item.method} is not idempotent; set `idempotent` to "
            "false, so that the work runs at most once"
        )


def _find_hidden(
    where: str,
    earlier: Iterable[_types.Treatment],
    treatment: _types.Treatment,
) -> Iterator[str]:
    for other in earlier:
        if (
            other.method == treatment.method
            and treatment.path_prefix.startswith(other.path_prefix)
        ):
            yield (
                f"{where}: treatment {treatment.name} never applies, because "
                f"{other.name} before it matches the same paths; put it first"
            )
            return


def _find_shared_addresses(
    services: tuple[_types.Service, ...],
) -> Iterator[str]:
    owners: dict[core.Address, str] = {}
    for service in services:
        address = _parse_address(service.address)
        if address is None:
            continue
        owner = owners.setdefault(address, service.name)
        if owner != service.name:
            yield (
                f"services {owner} and {service.name} share the address "
                f"{address}; give each its own"
            )


def _parse_address(text: str) -> core.Address | None:
    try:
        address = core.Address.parse(text)
    except ValueError:
        return None
    return address if address.port else None


def _check_name(what: str, name: str) -> Iterator[str]:
    if not _NAME.fullmatch(name):
        yield (
            f"{what} {name!r}: the name needs a-z, 0-9 and hyphens, 1 to 63 "
            "of them"
        )


def _find_duplicates(what: str, names: Iterable[str]) -> Iterator[str]:
    for name, count in collections.Counter(names).items():
        if count > 1:
            yield f"{what} {name} appears {count} times; names must differ"
