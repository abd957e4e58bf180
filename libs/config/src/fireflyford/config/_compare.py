"""Differences between two deployments, and services left stranded."""

from collections.abc import Iterator
from typing import Any

import msgspec

from fireflyford.config import _types

# Lists of these elements are matched by name, so that an inserted element
# does not show every later one as changed.
_KEY = "name"


def compare(
    old: _types.Deployment | None, new: _types.Deployment
) -> tuple[str, ...]:
    """Returns one line for each difference, for review.

    >>> region = _types.Region("north", (), 1.0, 1.0)
    >>> old = _types.Deployment("shop", (region,), ())
    >>> new = _types.Deployment("shop", (), ())
    >>> compare(old, new)
    ('- regions.north',)
    """
    if old is None:
        return (f"+ deployment {new.name}",)
    return tuple(_walk(msgspec.to_builtins(old), msgspec.to_builtins(new), ""))


def find_stranded(
    old: _types.Deployment, new: _types.Deployment
) -> tuple[str, ...]:
    """Returns one line for each service whose flows would be lost.

    Flows live on the address and the transport of their service, so a service
    may lose either only after a configuration in which it was draining.
    """
    lines = []
    for service in old.services:
        after = new.service(service.name)
        reason = _reason(service, after)
        if reason and not service.draining:
            lines.append(
                f"service {service.name} would {reason} while it may hold "
                "flows; first push it with `draining: true` and wait until "
                "`fireflyford targets` shows no connections"
            )
    return tuple(lines)


def _reason(old: _types.Service, new: _types.Service | None) -> str:
    if new is None:
        return "be removed"
    if new.address != old.address:
        return f"move from {old.address} to {new.address}"
    if new.transport is not old.transport:
        return f"change its transport to {new.transport.value}"
    return ""


def _walk(old: Any, new: Any, path: str) -> Iterator[str]:
    old, new = _by_name(old), _by_name(new)
    if not (isinstance(old, dict) and isinstance(new, dict)):
        if old != new:
            yield f"~ {path}: {_show(old)} -> {_show(new)}"
        return
    for key in old:
        if key not in new:
            yield f"- {_join(path, key)}"
    for key, value in new.items():
        if key not in old:
            yield f"+ {_join(path, key)}"
        else:
            yield from _walk(old[key], value, _join(path, key))
    kept = [key for key in old if key in new]
    if kept != [key for key in new if key in old]:
        yield f"~ {path}: order is now {', '.join(new)}"


def _by_name(value: Any) -> Any:
    if not isinstance(value, list | tuple) or not value:
        return {} if value in ([], ()) else value
    if all(isinstance(item, dict) and _KEY in item for item in value):
        return {item[_KEY]: item for item in value}
    return value


def _show(value: Any) -> str:
    return msgspec.json.encode(value).decode()


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key
