"""Settings of one process, read from JSON with comments."""

import dataclasses
import difflib
import pathlib
from typing import TypeVar

import json5
import msgspec

from fireflyford import core
from fireflyford.settings import _checks

S = TypeVar("S", "BalancerSettings", "AgentSettings")


@dataclasses.dataclass(frozen=True, kw_only=True)
class _InstanceSettings:
    """Settings that every instance has.

    Attributes:
        instance_id: Name of the instance, unique while it lives.
        region: Region of the instance.
        availability_zone: Availability zone of the instance.
        link_address: `ip:port` of the forwarding socket (UDP, IPv4).
        link_bind_address: Where that socket listens, when address
            translation makes it differ from what others send to.
        control_address: `ip:port` of the membership socket (UDP).
        control_bind_address: Where that socket listens, likewise.
        bulk_address: `ip:port` of the bulk transfer socket (TCP).
        status_address: `ip:port` of metrics and health (HTTP).
        seeds: Control addresses of instances to join through.
        store_addresses: `ip:port` of the key-value service's gateways.
        routing_keys_hex: Keys of connection IDs; the last one signs.
        link_key_hex: Key of forwarding headers and control messages.
        config_path: Configuration file used until the store has one.
        drain_limit_ms: Longest graceful shutdown.
    """

    instance_id: str
    region: str
    availability_zone: str
    link_address: str
    control_address: str
    bulk_address: str
    status_address: str
    routing_keys_hex: tuple[str, ...] = dataclasses.field(repr=False)
    link_key_hex: str = dataclasses.field(repr=False)
    seeds: tuple[str, ...] = ()
    store_addresses: tuple[str, ...] = ()
    config_path: str = ""
    drain_limit_ms: int = 30_000
    link_bind_address: str = ""
    control_bind_address: str = ""

    @property
    def routing_keys(self) -> tuple[bytes, ...]:
        """Keys of connection IDs."""
        return tuple(bytes.fromhex(key) for key in self.routing_keys_hex)

    @property
    def link_listen(self) -> core.Address:
        """Where the forwarding socket listens."""
        return core.Address.parse(self.link_bind_address or self.link_address)

    @property
    def control_listen(self) -> core.Address:
        """Where the membership socket listens."""
        return core.Address.parse(
            self.control_bind_address or self.control_address
        )

    @property
    def link_key(self) -> bytes:
        """Key of forwarding headers and control messages."""
        return bytes.fromhex(self.link_key_hex)


@dataclasses.dataclass(frozen=True, kw_only=True)
class BalancerSettings(_InstanceSettings):
    """Settings of a balancer.

    Attributes:
        listeners: Service name to `ip:port` on which the fabric delivers.
        capacity_weight: Size of this instance against the others.
    """

    listeners: dict[str, str]
    capacity_weight: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class AgentSettings(_InstanceSettings):
    """Settings of an agent.

    Attributes:
        service: Service of the backend server.
        backend_address: `ip:port` of the backend server (HTTP).
        certificate_path: PEM file with the service's certificate chain.
        private_key_path: PEM file with its key.
        caller_key_hex: Key of the tokens that callers present; empty when
            the service is open to everyone.
        slot_count: Requests that the backend server runs at a time.
    """

    service: str
    backend_address: str
    certificate_path: str
    private_key_path: str
    caller_key_hex: str = dataclasses.field(default="", repr=False)
    slot_count: int = 2

    @property
    def caller_key(self) -> bytes:
        """Key of caller tokens, empty when the service is open."""
        return bytes.fromhex(self.caller_key_hex)


def load(path: str, kind: type[S]) -> core.Outcome[S]:
    """Reads and checks a settings file.

    Args:
        path: File of JSON with comments.
        kind: `BalancerSettings` or `AgentSettings`.

    Returns:
        The settings, or `BAD_SETTINGS` with file, field and what was expected.
    """
    try:
        raw = json5.loads(
            pathlib.Path(path).read_text(), allow_duplicate_keys=False
        )
    except (OSError, ValueError) as error:
        return _bad(path, str(error))
    if not isinstance(raw, dict):
        return _bad(path, "expected one object")
    names = {field.name for field in dataclasses.fields(kind)}
    for name in sorted(set(raw) - names):
        return _bad(path, _describe_unknown(name, names))
    try:
        settings: S = msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        return _bad(path, _describe_type(str(error)))
    fault = _checks.find_fault(
        {name: getattr(settings, name) for name in names}
    )
    return core.Ok(settings) if fault is None else _bad(path, fault)


def _describe_unknown(name: str, names: set[str]) -> str:
    similar = difflib.get_close_matches(name, names, n=1)
    hint = f"expected `{similar[0]}`?" if similar else "remove it"
    return f"unknown field `{name}`, {hint}"


def _describe_type(message: str) -> str:
    """Puts the field of a message of msgspec first.

    >>> _describe_type("Expected `int`, got `str` - at `$.slot_count`")
    '`slot_count`: expected `int`, got `str`'
    """
    reason, _, place = message.partition(" - at ")
    reason = reason[:1].lower() + reason[1:]
    return f"{place.replace('$.', '')}: {reason}" if place else reason


def _bad(path: str, message: str) -> core.Failure:
    return core.Failure(core.ErrorKind.BAD_SETTINGS, f"{path}: {message}")
