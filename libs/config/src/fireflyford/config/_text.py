"""Deterministic, indented JSON text of a deployment."""

import dataclasses
from typing import Any

import msgspec

from fireflyford import core
from fireflyford.config import _types


@dataclasses.dataclass(frozen=True)
class _FormatHeader:
    """The field that all format versions have in common."""

    format: int = _types.FORMAT


def render(deployment: _types.Deployment) -> str:
    """Returns the configuration text for review and push."""
    data = msgspec.json.encode(to_fields(deployment))
    return msgspec.json.format(data, indent=2).decode() + "\n"


def to_fields(deployment: _types.Deployment) -> dict[str, Any]:
    """Returns the fields of the configuration text.

    Those that instances of the last release do not know, and reject, are left
    out unless they are set. A parsed deployment lacks them anyway: msgspec does
    not set the defaults of fields that a text leaves out.
    """
    fields: dict[str, Any] = msgspec.to_builtins(deployment)
    for service in fields["services"]:
        if not service.get("second_attempt_ratio"):
            service.pop("second_attempt_ratio", None)
    return fields


def parse(text: str | bytes) -> core.Outcome[_types.Deployment]:
    """Parses a configuration text completely.

    Returns:
        The deployment, or `BAD_CONFIG` with the path of the invalid field.
        Newer formats and unknown fields are rejected, because ignoring them
        would apply the configuration partially.
    """
    try:
        format_version = msgspec.json.decode(text, type=_FormatHeader).format
        if format_version != _types.FORMAT:
            return _failure(
                f"format {format_version} is not supported, expected format "
                f"{_types.FORMAT}; use the release that wrote the text"
            )
        deployment = msgspec.json.decode(text, type=_types.Deployment)
        raw = msgspec.json.decode(text)
    except (msgspec.DecodeError, ValueError) as error:
        return _failure(str(error))
    unknown = _find_unknown_field(raw, msgspec.to_builtins(deployment), "$")
    if unknown is not None:
        return _failure(f"unknown field `{unknown}`; check its spelling")
    return core.Ok(deployment)


def _find_unknown_field(raw: Any, known: Any, path: str) -> str | None:
    if isinstance(raw, dict):
        for key, value in raw.items():
            if key not in known:
                return f"{path}.{key}"
            found = _find_unknown_field(value, known[key], f"{path}.{key}")
            if found is not None:
                return found
    elif isinstance(raw, list):
        for index, value in enumerate(raw):
            found = _find_unknown_field(value, known[index], f"{path}[{index}]")
            if found is not None:
                return found
    return None


def _failure(message: str) -> core.Failure:
    return core.Failure(core.ErrorKind.BAD_CONFIG, message)
