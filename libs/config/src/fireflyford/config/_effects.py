"""Parts of a valid deployment that have no effect or cannot hold."""

from collections.abc import Iterator
import re

from fireflyford.config import _faults
from fireflyford.config import _types

# Characters of a request path as callers send it. Others are percent-encoded,
# and a fragment is not sent.
_PATH_PATTERN = re.compile(r"[!\"$-~]*")


def find_ineffective(
    deployment: _types.Deployment,
) -> Iterator[_faults.Fault]:
    """Returns warnings about a deployment."""
    for index, service in enumerate(deployment.services):
        path: _faults.Path = ("services", index)
        for number, name in enumerate(service.callers):
            if not name.strip():
                yield _warning(
                    (*path, "callers", number),
                    f"service {service.name}: caller {name!r} never matches a "
                    "certificate; remove it",
                )
        for number, treatment in enumerate(service.treatments):
            yield from _check_treatment(
                deployment, service, treatment, (*path, "treatments", number)
            )


def _check_treatment(
    deployment: _types.Deployment,
    service: _types.Service,
    treatment: _types.Treatment,
    path: _faults.Path,
) -> Iterator[_faults.Fault]:
    prefix = f"service {service.name}: treatment {treatment.name}"
    if not _PATH_PATTERN.fullmatch(treatment.path_prefix):
        yield _warning(
            (*path, "path_prefix"),
            f"{prefix} never applies, because no request path contains "
            f"{treatment.path_prefix!r} unencoded; percent-encode it",
        )
    for region in deployment.regions:
        network_ms = 2 * (region.caller_delay_ms + region.zone_delay_ms)
        if treatment.deadline_ms <= network_ms:
            yield _warning(
                (*path, "deadline_ms"),
                f"{prefix}: `deadline_ms` is {treatment.deadline_ms}, but the "
                f"network of region {region.name} alone takes {network_ms:g} "
                "ms; raise it",
            )
    if treatment.size is not _types.SizeClass.LONG:
        return
    for other in service.treatments:
        if (
            other.size is _types.SizeClass.SHORT
            and other.kind is treatment.kind
            and other.deadline_ms > treatment.deadline_ms
        ):
            yield _warning(
                (*path, "deadline_ms"),
                f"{prefix}: `deadline_ms` is {treatment.deadline_ms} for long "
                f"requests, but {other.name} allows short ones "
                f"{other.deadline_ms}; raise it or correct `size`",
            )
            return


def _warning(path: _faults.Path, message: str) -> _faults.Fault:
    return _faults.Fault(path, message, _faults.Severity.WARNING)
