"""Settings classes and the loader for JSON with comments."""

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
    """Settings common to all instances.

    Attributes:
        instance_id: ID of the instance, unique among running instances.
        region: Region of the instance.
        availability_zone: Availability zone of the instance.
        link_address: `ip:port` of the forwarding socket (UDP, IPv4).
        link_bind_address: Bind address of the forwarding socket if address
            translation makes it differ from `link_address`.
        control_address: `ip:port` of the membership socket (UDP).
        control_bind_address: Bind address of the membership socket if it
            differs from `control_address`.
        bulk_address: `ip:port` of the bulk transfer socket (TCP).
        status_address: `ip:port` of the status endpoints (HTTP).
        seeds: Control addresses of instances to join.
        store_addresses: `ip:port` of the gateways of the key-value store.
        routing_keys_hex: Keys for connection IDs; the last one signs new IDs.
        link_key_hex: Key for forwarding headers and control messages.
        config_path: Configuration file used until a version is received.
        drain_limit_ms: Maximum duration of a graceful shutdown.
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
        """Decoded keys for connection IDs."""
        return tuple(bytes.fromhex(key) for key in self.routing_keys_hex)

    @property
    def link_listen(self) -> core.Address:
        """Bind address of the forwarding socket."""
        return core.Address.parse(self.link_bind_address or self.link_address)

    @property
    def control_listen(self) -> core.Address:
        """Bind address of the membership socket."""
        return core.Address.parse(
            self.control_bind_address or self.control_address
        )

    @property
    def link_key(self) -> bytes:
        """Decoded key for forwarding headers and control messages."""
        return bytes.fromhex(self.link_key_hex)


@dataclasses.dataclass(frozen=True, kw_only=True)
class BalancerSettings(_InstanceSettings):
    """Settings of a balancer.

    Attributes:
        listeners: Listening `ip:port` for each service name.
        capacity_weight: Capacity relative to other balancers.
    """

    listeners: dict[str, str]
    capacity_weight: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class AgentSettings(_InstanceSettings):
    """Settings of an agent.

    Attributes:
        service: Service of the backend server.
        backend_address: `ip:port` of the backend server (HTTP).
        certificate_path: PEM file with the certificate chain of the service.
        private_key_path: PEM file with the private key of the certificate.
        caller_key_hex: Key for caller tokens, empty if the service requires no
            token.
        slot_count: Maximum number of concurrent requests at the backend
            server.
    """

    service: str
    backend_address: str
    certificate_path: str
    private_key_path: str
    caller_key_hex: str = dataclasses.field(default="", repr=False)
    slot_count: int = 2

    @property
    def caller_key(self) -> bytes:
        """Decoded key for caller tokens, empty if none are required."""
        return bytes.fromhex(self.caller_key_hex)


def load(path: str, kind: type[S]) -> core.Outcome[S]:
    """Loads and validates a settings file.

    Args:
        path: Path of a file of JSON with comments.
        kind: `BalancerSettings` or `AgentSettings`.

    Returns:
        The settings, or `BAD_SETTINGS` with file, field and expected value.
    """
    try:
        raw = json5.loads(
            pathlib.Path(path).read_text(), allow_duplicate_keys=False
        )
    except (OSError, ValueError) as error:
        return _failure(path, str(error))
    if not isinstance(raw, dict):
        return _failure(path, "expected a JSON object")
    names = {field.name for field in dataclasses.fields(kind)}
    for name in sorted(set(raw) - names):
        return _failure(path, _format_unknown_field(name, names))
    try:
        settings: S = msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        return _failure(path, _format_type_error(str(error)))
    error_message = _checks.find_error(
        {name: getattr(settings, name) for name in names}
    )
    return (
        core.Ok(settings)
        if error_message is None
        else _failure(path, error_message)
    )


def _format_unknown_field(name: str, names: set[str]) -> str:
    matches = difflib.get_close_matches(name, names, n=1)
    hint = f"expected `{matches[0]}`?" if matches else "remove it"
    return f"unknown field `{name}`, {hint}"


def _format_type_error(message: str) -> str:
    """Moves the field name to the front of a msgspec error message.

    >>> _format_type_error("Expected `int`, got `str` - at `$.slot_count`")
    '`slot_count`: expected `int`, got `str`'
    """
    reason, _, field = message.partition(" - at ")
    reason = reason[:1].lower() + reason[1:]
    return f"{field.replace('$.', '')}: {reason}" if field else reason


def _failure(path: str, message: str) -> core.Failure:
    return core.Failure(core.ErrorKind.BAD_SETTINGS, f"{path}: {message}")
