"""Differences between deployments, and changes that would break flows."""

from collections.abc import Iterator
from typing import Any

import msgspec

from fireflyford.config import _text
from fireflyford.config import _types

# List elements are matched by this field, so that an insertion does not report
# all later elements as changed.
_NAME_FIELD = "name"


def compare(
    old: _types.Deployment | None, new: _types.Deployment
) -> tuple[str, ...]:
    """Returns one line per difference, for review.

    >>> region = _types.Region("north", (), 1.0, 1.0)
    >>> old = _types.Deployment("shop", (region,), ())
    >>> new = _types.Deployment("shop", (), ())
    >>> compare(old, new)
    ('- regions.north',)
    """
    if old is None:
        return (f"+ deployment {new.name}",)
    return tuple(_diff(_text.to_fields(old), _text.to_fields(new), ""))


def find_breaking_changes(
    old: _types.Deployment, new: _types.Deployment
) -> tuple[str, ...]:
    """Returns one line per service whose flows the change would break.

    Flows are bound to the address and transport of their service, so either
    may change only after a configuration in which the service is draining.
    """
    lines = []
    for service in old.services:
        replacement = new.service(service.name)
        change = _describe_breaking_change(service, replacement)
        if change and not service.draining:
            lines.append(
                f"service {service.name} would {change} while it may hold "
                "flows; first push it with `draining: true` and wait until "
                "`fireflyford targets` shows no connections"
            )
    return tuple(lines)


def _describe_breaking_change(
    old: _types.Service, new: _types.Service | None
) -> str:
    if new is None:
        return "be removed"
    if new.address != old.address:
        return f"move from {old.address} to {new.address}"
    if new.transport is not old.transport:
        return f"change its transport to {new.transport.value}"
    return ""


def _diff(old: Any, new: Any, path: str) -> Iterator[str]:
    old, new = _index_by_name(old), _index_by_name(new)
    if not (isinstance(old, dict) and isinstance(new, dict)):
        if old != new:
            yield f"~ {path}: {_format_value(old)} -> {_format_value(new)}"
        return
    for key in old:
        if key not in new:
            yield f"- {_join_path(path, key)}"
    for key, value in new.items():
        if key not in old:
            yield f"+ {_join_path(path, key)}"
        else:
            yield from _diff(old[key], value, _join_path(path, key))
    common = [key for key in old if key in new]
    if common != [key for key in new if key in old]:
        yield f"~ {path}: order is now {', '.join(new)}"


def _index_by_name(value: Any) -> Any:
    if not isinstance(value, list | tuple) or not value:
        return {} if value in ([], ()) else value
    if all(isinstance(item, dict) and _NAME_FIELD in item for item in value):
        return {item[_NAME_FIELD]: item for item in value}
    return value


def _format_value(value: Any) -> str:
    return msgspec.json.encode(value).decode()


def _join_path(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key
