"""Validation of constraints that the types do not express."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import re

from fireflyford import core
from fireflyford.config import _faults
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
    return tuple(fault.message for fault in find_faults(deployment))


def find_faults(
    deployment: _types.Deployment,
) -> Iterator[_faults.Fault]:
    """Returns the errors of a deployment, none for a valid one."""
    yield from _check_name(("name",), "deployment", deployment.name)
    if not deployment.regions:
        yield _faults.Fault(
            ("regions",), "the deployment has no region; add at least one"
        )
    if not deployment.services:
        yield _faults.Fault(
            ("services",), "the deployment has no service; add at least one"
        )
    regions = [
        (("regions", index, "name"), region.name)
        for index, region in enumerate(deployment.regions)
    ]
    yield from _find_duplicates("region", regions)
    for index, region in enumerate(deployment.regions):
        yield from _check_region(("regions", index), region)
    zones = [
        (("regions", index, "availability_zones", number, "name"), zone.name)
        for index, region in enumerate(deployment.regions)
        for number, zone in enumerate(region.availability_zones)
    ]
    yield from _find_duplicates("availability zone", zones)
    services = [
        (("services", index, "name"), service.name)
        for index, service in enumerate(deployment.services)
    ]
    yield from _find_duplicates("service", services)
    for index, service in enumerate(deployment.services):
        yield from _check_service(("services", index), service)
    yield from _find_shared_addresses(deployment.services)


def _check_region(
    path: _faults.Path, region: _types.Region
) -> Iterator[_faults.Fault]:
    prefix = f"region {region.name}"
    yield from _check_name((*path, "name"), "region", region.name)
    zones_path = (*path, "availability_zones")
    if not region.availability_zones:
        yield _faults.Fault(
            zones_path, f"{prefix}: no availability zone; add at least one"
        )
    for index, zone in enumerate(region.availability_zones):
        yield from _check_name(
            (*zones_path, index, "name"),
            f"{prefix}: availability zone",
            zone.name,
        )
    for field, value in (
        ("zone_delay_ms", region.zone_delay_ms),
        ("caller_delay_ms", region.caller_delay_ms),
    ):
        if not 0 <= value <= MAX_DELAY_MS:
            yield _faults.Fault(
                (*path, field),
                f"{prefix}: `{field}` is {value:g}, expected 0 to "
                f"{MAX_DELAY_MS}",
            )


def _check_service(
    path: _faults.Path, service: _types.Service
) -> Iterator[_faults.Fault]:
    prefix = f"service {service.name}"
    yield from _check_name((*path, "name"), "service", service.name)
    if _parse_address(service.address) is None:
        yield _faults.Fault(
            (*path, "address"),
            f"{prefix}: `address` is {service.address!r}, expected `ip:port` "
            "with a port from 1 to 65535",
        )
    for field in ("target_count", "slots_per_target", "connections_per_target"):
        value = getattr(service, field)
        if value < 1:
            yield _faults.Fault(
                (*path, field),
                f"{prefix}: `{field}` is {value}, expected 1 or more",
            )
    ratio = service.second_attempt_ratio
    ratio_path = (*path, "second_attempt_ratio")
    if not 0 <= ratio <= MAX_SECOND_ATTEMPT_RATIO:
        yield _faults.Fault(
            ratio_path,
            f"{prefix}: `second_attempt_ratio` is {ratio:g}, expected 0 to "
            f"{MAX_SECOND_ATTEMPT_RATIO:g}",
        )
    quic = service.transport is _types.Transport.QUIC
    if ratio and not quic:
        yield _faults.Fault(
            ratio_path,
            f"{prefix}: datagram flows have no second attempts; remove "
            "`second_attempt_ratio`",
        )
    treatments_path = (*path, "treatments")
    if quic and not service.treatments:
        yield _faults.Fault(
            treatments_path,
            f"{prefix}: no treatment; add one for each kind of request",
        )
    if not quic and service.treatments:
        yield _faults.Fault(
            treatments_path,
            f"{prefix}: datagram flows have no treatments; remove them",
        )
    callers = [
        ((*path, "callers", index), name)
        for index, name in enumerate(service.callers)
    ]
    yield from _find_duplicates(f"{prefix}: caller", callers)
    names = [
        ((*treatments_path, index, "name"), item.name)
        for index, item in enumerate(service.treatments)
    ]
    yield from _find_duplicates(f"{prefix}: treatment", names)
    for index, treatment in enumerate(service.treatments):
        position = (*treatments_path, index)
        yield from _check_treatment(position, prefix, treatment)
        yield from _find_shadowed(
            position, prefix, service.treatments[:index], treatment
        )


def _check_treatment(
    path: _faults.Path, prefix: str, treatment: _types.Treatment
) -> Iterator[_faults.Fault]:
    prefix = f"{prefix}: treatment {treatment.name}"
    if not _NAME_PATTERN.fullmatch(treatment.name):
        yield _faults.Fault(
            (*path, "name"),
            f"{prefix}: the name must have 1 to 63 characters a-z, 0-9 or "
            "hyphen",
        )
    if treatment.method not in _METHODS:
        expected = ", ".join(sorted(_METHODS))
        yield _faults.Fault(
            (*path, "method"),
            f"{prefix}: `method` is {treatment.method!r}, expected {expected}",
        )
    if not treatment.path_prefix.startswith("/"):
        yield _faults.Fault(
            (*path, "path_prefix"),
            f"{prefix}: `path_prefix` is {treatment.path_prefix!r}, expected a "
            "path that starts with /",
        )
    if not 1 <= treatment.deadline_ms <= MAX_DEADLINE_MS:
        yield _faults.Fault(
            (*path, "deadline_ms"),
            f"{prefix}: `deadline_ms` is {treatment.deadline_ms}, expected "
            f"1 to {MAX_DEADLINE_MS}",
        )
    if not 0 <= treatment.priority <= MAX_PRIORITY:
        yield _faults.Fault(
            (*path, "priority"),
            f"{prefix}: `priority` is {treatment.priority}, expected 0 to "
            f"{MAX_PRIORITY}",
        )
    if treatment.kind is _types.Kind.FEED and treatment.method != "GET":
        yield _faults.Fault(
            (*path, "method"),
            f"{prefix}: a feed needs method GET, not {treatment.method}",
        )
    if treatment.idempotent and treatment.method in _NON_IDEMPOTENT_METHODS:
        yield _faults.Fault(
            (*path, "idempotent"),
            f"{prefix}: {treatment.method} is not idempotent; set "
            "`idempotent` to false, so that requests are executed at most once",
        )


def _find_shadowed(
    path: _faults.Path,
    prefix: str,
    earlier: Iterable[_types.Treatment],
    treatment: _types.Treatment,
) -> Iterator[_faults.Fault]:
    for other in earlier:
        if (
            other.method == treatment.method
            and treatment.path_prefix.startswith(other.path_prefix)
        ):
            yield _faults.Fault(
                path,
                f"{prefix}: treatment {treatment.name} never applies, because "
                f"{other.name} matches the same paths first; change the order",
            )
            return


def _find_shared_addresses(
    services: tuple[_types.Service, ...],
) -> Iterator[_faults.Fault]:
    owners: dict[core.Address, str] = {}
    for index, service in enumerate(services):
        address = _parse_address(service.address)
        if address is None:
            continue
        owner = owners.setdefault(address, service.name)
        if owner != service.name:
            yield _faults.Fault(
                ("services", index, "address"),
                f"services {owner} and {service.name} share the address "
                f"{address}; use a different address for each",
            )


def _parse_address(text: str) -> core.Address | None:
    try:
        address = core.Address.parse(text)
    except ValueError:
        return None
    return address if address.port else None


def _check_name(
    path: _faults.Path, label: str, name: str
) -> Iterator[_faults.Fault]:
    if not _NAME_PATTERN.fullmatch(name):
        yield _faults.Fault(
            path,
            f"{label} {name!r}: the name must have 1 to 63 characters a-z, "
            "0-9 or hyphen",
        )


def _find_duplicates(
    label: str, names: Sequence[tuple[_faults.Path, str]]
) -> Iterator[_faults.Fault]:
    """Returns one fault for each name that appears again, at the last one."""
    counts = collections.Counter(name for _, name in names)
    paths = {name: path for path, name in names}
    for name, count in counts.items():
        if count > 1:
            yield _faults.Fault(
                paths[name],
                f"{label} {name} appears {count} times; names must be unique",
            )
