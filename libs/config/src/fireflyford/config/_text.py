"""The printed form of a deployment: stable, indented JSON."""

import dataclasses
from typing import Any

import msgspec

from fireflyford import core
from fireflyford.config import _types


@dataclasses.dataclass(frozen=True)
class _FormatOnly:
    """The one field that every format has."""

    format: int = _types.FORMAT


def render(deployment: _types.Deployment) -> str:
    """Returns the configuration text that operators review and push."""
    data = msgspec.json.encode(deployment, order="deterministic")
    return msgspec.json.format(data, indent=2).decode() + "\n"


def parse(text: str | bytes) -> core.Outcome[_types.Deployment]:
    """Reads a configuration text back, whole or not at all.

    Returns:
        The deployment, or `BAD_CONFIG` with the path of the wrong field. A
        newer format and unknown fields are refused, because leaving them out
        would apply the configuration in part.
    """
    try:
        number = msgspec.json.decode(text, type=_FormatOnly).format
        if number != _types.FORMAT:
            return _bad(
                f"format {number} is not readable here, which reads format "
                f"{_types.FORMAT}; use the version that wrote it"
            )
        deployment = msgspec.json.decode(text, type=_types.Deployment)
        raw = msgspec.json.decode(text)
    except (msgspec.DecodeError, ValueError) as error:
        return _bad(str(error))
    unknown = _find_unknown(raw, msgspec.to_builtins(deployment), "$")
    if unknown is not None:
        return _bad(f"unknown field `{unknown}`; check its spelling")
    return core.Ok(deployment)


def _find_unknown(raw: Any, known: Any, path: str) -> str | None:
    if isinstance(raw, dict):
        for key, value in raw.items():
            if key not in known:
                return f"{path}.{key}"
            found = _find_unknown(value, known[key], f"{path}.{key}")
            if found is not None:
                return found
    elif isinstance(raw, list):
        for index, value in enumerate(raw):
            found = _find_unknown(value, known[index], f"{path}[{index}]")
            if found is not None:
                return found
    return None


def _bad(message: str) -> core.Failure:
    return core.Failure(core.ErrorKind.BAD_CONFIG, message)
