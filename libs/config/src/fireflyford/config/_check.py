"""Validation of constraints that the types do not express."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import re

from fireflyford import core
from fireflyford.config import _types

# Names are used in DNS names, certificates and store keys.
_NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
# Request records are retained for 120 s, and no deadline may exceed that.
MAX_DEADLINE_MS = 120_000
MAX_PRIORITY = 9
MAX_DELAY_MS = 10_000
_METHODS = frozenset({"DELETE", "GET", "HEAD", "PATCH", "POST", "PUT"})
# Methods that HTTP defines as not idempotent (RFC 9110, 9.2.2).
_NON_IDEMPOTENT_METHODS = frozenset({"PATCH", "POST"})

# More extra work would cost the other requests more than it saves.
MAX_SECOND_ATTEMPT_RATIO = 0.2


def check(deployment: _types.Deployment) -> tuple[str, ...]:
    """Returns one line per error, empty for a valid deployment."""
    return tuple(_find_errors(deployment))


def _find_errors(deployment: _types.Deployment) -> Iterator[str]:
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
    prefix = f"region {region.name}"
    yield from _check_name("region", region.name)
    if not region.availability_zones:
        yield f"{prefix}: no availability zone; add at least one"
    for zone in region.availability_zones:
        yield from _check_name(f"{prefix}: availability zone", zone.name)
    for field, value in (
        ("zone_delay_ms", region.zone_delay_ms),
        ("caller_delay_ms", region.caller_delay_ms),
    ):
        if not 0 <= value <= MAX_DELAY_MS:
            yield (
                f"{prefix}: `{field}` is {value:g}, expected 0 to "
                f"{MAX_DELAY_MS}"
            )


def _check_service(service: _types.Service) -> Iterator[str]:
    prefix = f"service {service.name}"
    yield from _check_name("service", service.name)
    if _parse_address(service.address) is None:
        yield (
            f"{prefix}: `address` is {service.address!r}, expected `ip:port` "
            "with a port from 1 to 65535"
        )
    for field in ("target_count", "slots_per_target", "connections_per_target"):
        value = getattr(service, field)
        if value < 1:
            yield f"{prefix}: `{field}` is {value}, expected 1 or more"
    ratio = service.second_attempt_ratio
    if not 0 <= ratio <= MAX_SECOND_ATTEMPT_RATIO:
        yield (
            f"{prefix}: `second_attempt_ratio` is {ratio:g}, expected 0 to "
            f"{MAX_SECOND_ATTEMPT_RATIO:g}"
        )
    quic = service.transport is _types.Transport.QUIC
    if ratio and not quic:
        yield (
            f"{prefix}: datagram flows have no second attempts; remove "
            "`second_attempt_ratio`"
        )
    if quic and not service.treatments:
        yield f"{prefix}: no treatment; add one for each kind of request"
    if not quic and service.treatments:
        yield f"{prefix}: datagram flows have no treatments; remove them"
    yield from _find_duplicates(f"{prefix}: caller", service.callers)
    names = (item.name for item in service.treatments)
    yield from _find_duplicates(f"{prefix}: treatment", names)
    for index, treatment in enumerate(service.treatments):
        yield from _check_treatment(prefix, treatment)
        yield from _find_shadowed(prefix, service.treatments[:index], treatment)


def _check_treatment(prefix: str, treatment: _types.Treatment) -> Iterator[str]:
    prefix = f"{prefix}: treatment {treatment.name}"
    if not _NAME_PATTERN.fullmatch(treatment.name):
        yield (
            f"{prefix}: the name must have 1 to 63 characters a-z, 0-9 or "
            "hyphen"
        )
    if treatment.method not in _METHODS:
        expected = ", ".join(sorted(_METHODS))
        yield f"{prefix}: `method` is {treatment.method!r}, expected {expected}"
    if not treatment.path_prefix.startswith("/"):
        yield (
            f"{prefix}: `path_prefix` is {treatment.path_prefix!r}, expected a "
            "path that starts with /"
        )
    if not 1 <= treatment.deadline_ms <= MAX_DEADLINE_MS:
        yield (
            f"{prefix}: `deadline_ms` is {treatment.deadline_ms}, expected "
            f"1 to {MAX_DEADLINE_MS}"
        )
    if not 0 <= treatment.priority <= MAX_PRIORITY:
        yield (
            f"{prefix}: `priority` is {treatment.priority}, expected 0 to "
            f"{MAX_PRIORITY}"
        )
    if treatment.kind is _types.Kind.FEED and treatment.method != "GET":
        yield f"{prefix}: a feed needs method GET, not {treatment.method}"
    if treatment.idempotent and treatment.method in _NON_IDEMPOTENT_METHODS:
        yield (
            f"{prefix}: {treatment.method} is not idempotent; set "
            "`idempotent` to false, so that requests are executed at most once"
        )


def _find_shadowed(
    prefix: str,
    earlier: Iterable[_types.Treatment],
    treatment: _types.Treatment,
) -> Iterator[str]:
    for other in earlier:
        if (
            other.method == treatment.method
            and treatment.path_prefix.startswith(other.path_prefix)
        ):
            yield (
                f"{prefix}: treatment {treatment.name} never applies, because "
                f"{other.name} matches the same paths first; change the order"
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
                f"{address}; use a different address for each"
            )


def _parse_address(text: str) -> core.Address | None:
    try:
        address = core.Address.parse(text)
    except ValueError:
        return None
    return address if address.port else None


def _check_name(label: str, name: str) -> Iterator[str]:
    if not _NAME_PATTERN.fullmatch(name):
        yield (
            f"{label} {name!r}: the name must have 1 to 63 characters a-z, "
            "0-9 or hyphen"
        )


def _find_duplicates(label: str, names: Iterable[str]) -> Iterator[str]:
    for name, count in collections.Counter(names).items():
        if count > 1:
            yield f"{label} {name} appears {count} times; names must be unique"
