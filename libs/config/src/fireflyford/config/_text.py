"""The printed form of a deployment: stable, indented JSON."""

import msgspec

from fireflyford import core
from fireflyford.config import _types


def render(deployment: _types.Deployment) -> str:
    """Returns the configuration text that operators review and push."""
    data = msgspec.json.encode(deployment, order="deterministic")
    return msgspec.json.format(data, indent=2).decode() + "\n"


def parse(text: str | bytes) -> core.Outcome[_types.Deployment]:
    """Reads a configuration text back.

    Returns:
        The deployment, or `BAD_CONFIG` with the path of the wrong field.
    """
    try:
        return core.Ok(msgspec.json.decode(text, type=_types.Deployment))
    except (msgspec.DecodeError, ValueError) as error:
        return core.Failure(core.ErrorKind.BAD_CONFIG, str(error))
