"""Validation rules for the fields of the settings."""

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
MAX_CAPACITY_WEIGHT = 1_000
MAX_SLOT_COUNT = 10_000
_IDENTIFIER_PATTERN = re.compile(
    r"[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?"
)
# BLAKE2s accepts keys of up to 32 bytes; keys below 16 bytes can be guessed.
_KEY_BYTES = range(16, 33)

Validator = Callable[[Any], bool]


@dataclasses.dataclass(frozen=True)
class Rule:
    """Validation rule for a value.

    Attributes:
        is_valid: Returns whether a value is valid.
        expected: Description of valid values for error messages.
    """

    is_valid: Validator
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
# Connection IDs have space only for an IPv4 address.
_IPV4_ADDRESS = Rule(_is_ipv4_address, "`ip:port` with an IPv4 address")
_KEY = Rule(_is_key, "hexadecimal digits of 16 to 32 bytes")
_FILE = Rule(_is_file, "the path of a file that exists")
_IDENTIFIER = Rule(
    lambda value: _IDENTIFIER_PATTERN.fullmatch(value) is not None,
    "1 to 63 letters, digits, `.`, `_` or `-`",
)


def _optional(rule: Rule) -> Rule:
    return Rule(
        lambda value: value == "" or rule.is_valid(value),
        f"{rule.expected}, or empty",
    )


def _in_range(low: float, high: float) -> Rule:
    return Rule(
        lambda value: math.isfinite(value) and low <= value <= high,
        f"a number from {low:g} to {high:g}",
    )


# A rule also applies to each element of a list and each value of an object.
_RULES = {
    "instance_id": _IDENTIFIER,
    "region": _IDENTIFIER,
    "availability_zone": _IDENTIFIER,
    "service": _IDENTIFIER,
    "link_address": _IPV4_ADDRESS,
    "link_bind_address": _optional(_IPV4_ADDRESS),
    "control_address": _ADDRESS,
    "control_bind_address": _optional(_ADDRESS),
    "bulk_address": _ADDRESS,
    "status_address": _ADDRESS,
    "backend_address": _ADDRESS,
    "seeds": _ADDRESS,
    "store_addresses": _ADDRESS,
    "listeners": _ADDRESS,
    "routing_keys_hex": _KEY,
    "link_key_hex": _KEY,
    "caller_key_hex": _optional(_KEY),
    "config_path": _optional(_FILE),
    "certificate_path": _FILE,
    "private_key_path": _FILE,
    "drain_limit_ms": _in_range(0, MAX_DRAIN_LIMIT_MS),
    "capacity_weight": _in_range(0.01, MAX_CAPACITY_WEIGHT),
    "slot_count": _in_range(1, MAX_SLOT_COUNT),
}
_NON_EMPTY_FIELDS = ("routing_keys_hex", "listeners")
# Sockets of the same protocol must have different addresses.
_UDP_FIELDS = ("link_address", "control_address", "listeners")
_TCP_FIELDS = ("bulk_address", "status_address", "backend_address")


def find_error(values: dict[str, Any]) -> str | None:
    """Returns a message for the first invalid field, or None."""
    for field, value in values.items():
        if field in _NON_EMPTY_FIELDS and not value:
            return f"`{field}` is empty, expected at least one element"
        rule = _RULES.get(field)
        for path, element in _flatten(field, value):
            if rule is not None and not rule.is_valid(element):
                value_text = (
                    "an invalid key"
                    if field.endswith("_hex")
                    else repr(element)
                )
                return f"`{path}` is {value_text}, expected {rule.expected}"
    if "service" in values and not values["config_path"]:
        return f"`config_path` is empty, expected {_FILE.expected}"
    for name in values.get("listeners", {}):
        if not _IDENTIFIER.is_valid(name):
            return (
                f"`listeners.{name}`: expected a key of {_IDENTIFIER.expected}"
            )
    for fields in (_UDP_FIELDS, _TCP_FIELDS):
        error = _find_shared_address(values, fields)
        if error is not None:
            return error
    return None


def _flatten(field: str, value: Any) -> Iterator[tuple[str, Any]]:
    if isinstance(value, dict):
        for key, element in value.items():
            yield f"{field}.{key}", element
    elif isinstance(value, tuple):
        for index, element in enumerate(value):
            yield f"{field}[{index}]", element
    else:
        yield field, value


def _find_shared_address(
    values: dict[str, Any], fields: tuple[str, ...]
) -> str | None:
    owners: dict[str, str] = {}
    for field in fields:
        for path, address in _flatten(field, values.get(field, "")):
            owner = owners.setdefault(address, path) if address else path
            if owner != path:
                return (
                    f"`{path}` is {address!r}, expected a different address "
                    f"than `{owner}`"
                )
    return None
