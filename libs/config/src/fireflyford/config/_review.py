"""Review of a configuration text before it is pushed."""

import dataclasses
from typing import Any

import msgspec

from fireflyford import core
from fireflyford.config import _check
from fireflyford.config import _compare
from fireflyford.config import _effects
from fireflyford.config import _faults
from fireflyford.config import _lines
from fireflyford.config import _text
from fireflyford.config import _types


@dataclasses.dataclass(frozen=True)
class Finding:
    """One fault with its position in the text.

    Attributes:
        severity: Whether the fault prevents a push.
        message: What is wrong and what to change.
        path: Position of the value at fault, empty if it is not known.
        line: Line in the text, None if it is not known.
    """

    severity: _faults.Severity
    message: str
    path: str = ""
    line: int | None = None


@dataclasses.dataclass(frozen=True)
class Review:
    """Result of a review.

    Attributes:
        findings: Errors and warnings, by line.
        differences: Differences from the version in force, one text each.
    """

    findings: tuple[Finding, ...]
    differences: tuple[str, ...] = ()

    @property
    def error_count(self) -> int:
        """Number of findings that prevent a push."""
        return sum(
            item.severity is _faults.Severity.ERROR for item in self.findings
        )

    def document(self) -> dict[str, Any]:
        """Returns the review as JSON values."""
        builtins: dict[str, Any] = msgspec.to_builtins(self)
        return builtins


def review_text(
    text: bytes, in_force: _types.Deployment | None = None
) -> Review:
    """Reviews a configuration text.

    Args:
        text: The text.
        in_force: The version in force, for differences and for changes that
            would break flows.
    """
    parsed = _text.parse(text)
    if isinstance(parsed, core.Failure):
        line = _lines.line_of_failure(text, parsed.message)
        return Review(
            (Finding(_faults.Severity.ERROR, parsed.message, line=line),)
        )
    return review_deployment(parsed.value, in_force, text.decode())


def review_deployment(
    deployment: _types.Deployment,
    in_force: _types.Deployment | None = None,
    text: str | None = None,
) -> Review:
    """Reviews a deployment.

    Args:
        deployment: The deployment.
        in_force: The version in force, None if there is none.
        text: The text of the deployment, None if it has none; findings have
            no line then.
    """
    faults = list(_check.find_faults(deployment))
    invalid = {fault.path for fault in faults}
    faults += [
        fault
        for fault in _effects.find_ineffective(deployment)
        if fault.path not in invalid
    ]
    positions = None if text is None else _lines.find_positions(text)
    if positions is not None:
        faults += [
            _faults.Fault(path, "the field appears twice; remove one")
            for path in positions.duplicates
        ]
    differences: tuple[str, ...] = ()
    if in_force is not None:
        differences = _compare.compare(in_force, deployment)
        faults += _breaking_changes(in_force, deployment)
    findings = [
        Finding(
            fault.severity,
            fault.message,
            _faults.format_path(fault.path),
            None
            if positions is None
            else _lines.line_of(positions.lines, fault.path),
        )
        for fault in faults
    ]
    findings.sort(key=lambda item: item.line or 0)
    return Review(tuple(findings), differences)


def _breaking_changes(
    old: _types.Deployment, new: _types.Deployment
) -> list[_faults.Fault]:
    """Returns changes that a push would refuse, as errors."""
    positions = {item.name: index for index, item in enumerate(new.services)}
    faults = []
    for service in old.services:
        only = dataclasses.replace(old, services=(service,))
        path: _faults.Path = ("services",)
        if service.name in positions:
            path = ("services", positions[service.name])
        faults += [
            _faults.Fault(path, message)
            for message in _compare.find_breaking_changes(only, new)
        ]
    return faults
