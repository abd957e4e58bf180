"""What each field of the settings must look like."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import ipaddress
import math
import pathlib
import re
from typing import Any

from fireflyford import core

MAX_DRAIN_LIMIT_MS = 3_600_000
MAX_WEIGHT = 1_000
MAX_SLOT_COUNT = 10_000
_NAME = re.compile(r"[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?")
# BLAKE2s takes keys up to 32 bytes; below 16 they can be guessed.
_KEY_BYTES = range(16, 33)

Check = Callable[[Any], bool]


@dataclasses.dataclass(frozen=True)
class Rule:
    """A condition on a value, in code and in words.

    Attributes:
        holds: Whether the value is right.
        expected: What the value must be.
    """

    holds: Check
    expected: str


def _is_address(value: str) -> bool:
    try:
        return core.Address.parse(value).port > 0
    except ValueError:
        return False


def _is_ipv4_address(value: str) -> bool:
    if not _is_address(value):
        return False
    host = ipaddress.ip_address(core.Address.parse(value).host)
    return host.version == 4


def _is_key(value: str) -> bool:
    try:
        return len(bytes.fromhex(value)) in _KEY_BYTES
    except ValueError:
        return False


def _is_file(value: str) -> bool:
    return pathlib.Path(value).is_file()


_ADDRESS = Rule(_is_address, "`ip:port` with a port from 1 to 65535")
# A connection ID has room for an IPv4 address only.
_IPV4_ADDRESS = Rule(_is_ipv4_address, "`ip:port` with an IPv4 address")
_KEY = Rule(_is_key, "hexadecimal digits of 16 to 32 bytes")
_FILE = Rule(_is_file, "the path of a file that exists")
_NAMED = Rule(
    lambda value: _NAME.fullmatch(value) is not None,
    "1 to 63 letters, digits, `.`, `_` or `-`",
)


def _or_empty(rule: Rule) -> Rule:
    return Rule(
        lambda value: value == "" or rule.holds(value),
        f"{rule.expected}, or empty",
    )


def _between(low: float, high: float) -> Rule:
    return Rule(
        lambda value: math.isfinite(value) and low <= value <= high,
        f"a number from {low:g} to {high:g}",
    )


# Elements of lists and values of objects have the rule of their field.
_RULES = {
    "instance_id": _NAMED,
    "region": _NAMED,
    "availability_zone": _NAMED,
    "service": _NAMED,
    "link_address": _IPV4_ADDRESS,
    "link_bind_address": _or_empty(_IPV4_ADDRESS),
    "control_address": _ADDRESS,
    "control_bind_address": _or_empty(_ADDRESS),
    "bulk_address": _ADDRESS,
    "status_address": _ADDRESS,
    "backend_address": _ADDRESS,
    "seeds": _ADDRESS,
    "store_addresses": _ADDRESS,
    "listeners": _ADDRESS,
    "routing_keys_hex": _KEY,
    "link_key_hex": _KEY,
    "caller_key_hex": _or_empty(_KEY),
    "config_path": _or_empty(_FILE),
    "certificate_path": _FILE,
    "private_key_path": _FILE,
    "drain_limit_ms": _between(0, MAX_DRAIN_LIMIT_MS),
    "capacity_weight": _between(0.01, MAX_WEIGHT),
    "slot_count": _between(1, MAX_SLOT_COUNT),
}
_NOT_EMPTY = ("routing_keys_hex", "listeners")
# Two sockets of one protocol cannot share an address.
_UDP_FIELDS = ("link_address", "control_address", "listeners")
_TCP_FIELDS = ("bulk_address", "status_address", "backend_address")


def find_fault(values: dict[str, Any]) -> str | None:
    """Returns the first wrong field and what was expected, or None."""
    for field, value in values.items():
        if field in _NOT_EMPTY and not value:
            return f"`{field}` is empty, expected at least one element"
        rule = _RULES.get(field)
        for path, element in _elements(field, value):
            if rule is not None and not rule.holds(element):
                shown = (
                    "a wrong key" if field.endswith("_hex") else repr(element)
                )
                return f"`{path}` is {shown}, expected {rule.expected}"
    if "service" in values and not values["config_path"]:
        return f"`config_path` is empty, expected {_FILE.expected}"
    for name in values.get("listeners", {}):
        if not _NAMED.holds(name):
            return f"`listeners.{name}`: expected a key of {_NAMED.expected}"
    for fields in (_UDP_FIELDS, _TCP_FIELDS):
        fault = _find_shared(values, fields)
        if fault is not None:
            return fault
    return None


def _elements(field: str, value: Any) -> Iterator[tuple[str, Any]]:
    if isinstance(value, dict):
        for key, element in value.items():
            yield f"{field}.{key}", element
    elif isinstance(value, tuple):
        for index, element in enumerate(value):
            yield f"{field}[{index}]", element
    else:
        yield field, value


def _find_shared(values: dict[str, Any], fields: tuple[str, ...]) -> str | None:
    owners: dict[str, str] = {}
    for field in fields:
        for path, address in _elements(field, values.get(field, "")):
            owner = owners.setdefault(address, path) if address else path
            if owner != path:
                return (
                    f"`{path}` is {address!r}, expected another address than "
                    f"`{owner}`"
                )
    return None
