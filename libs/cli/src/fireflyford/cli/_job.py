"""Deferred execution of commands until the whole command line is parsed.

`fire` calls a command before it detects that a later argument is unknown.
Commands therefore return a `Job`, which runs only if all arguments are known;
with a mistyped flag, `config push` pushes nothing.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
import os
import sys
from typing import Any

from fireflyford import core

STORE_VARIABLE = "FIREFLYFORD_STORE"
INSTANCE_VARIABLE = "FIREFLYFORD_INSTANCE"


@dataclasses.dataclass(frozen=True)
class Job:
    """Deferred work of a command, which returns the text to print."""

    _work: Callable[[], core.Outcome[str]]

    def __str__(self) -> str:
        """Describes the job in error messages of `fire`."""
        return "the command"


def make_async_job(
    work: Callable[[], Coroutine[Any, Any, core.Outcome[str]]],
) -> Job:
    """Returns a job that runs a coroutine."""
    return Job(lambda: asyncio.run(work()))


def run_result(result: object) -> object:
    """Runs the job that a command returned; prints its text or its error.

    Other results, such as a command group, are returned unchanged, so that
    `fire` prints their help.
    """
    if not isinstance(result, Job):
        return result
    outcome = result._work()
    if isinstance(outcome, core.Failure):
        print(f"fireflyford: {outcome.message}", file=sys.stderr)
        sys.exit(outcome.spec.exit_code)
    if outcome.value:
        print(outcome.value.rstrip("\n"))
    return None


def quote_lossy_number(argument: str) -> str:
    """Quotes an argument whose text `fire` would change by parsing a number.

    >>> quote_lossy_number("--connection-id=00e1"), quote_lossy_number("7")
    ("--connection-id='00e1'", '7')
    """
    flag, equals, value = "", "", argument
    if argument.startswith("-"):
        flag, equals, value = argument.partition("=")
    is_number = value.isdecimal() and str(int(value)) == value
    if is_number or not value[:1].isdecimal():
        return argument
    return f"{flag}{equals}{value!r}"


def parse_addresses(
    text: str, variable: str, flag: str
) -> core.Outcome[tuple[core.Address, ...]]:
    """Parses addresses from a flag, or else from an environment variable.

    Args:
        text: `ip:port` items, separated by commas; may be empty.
        variable: Environment variable used when `text` is empty.
        flag: Name of the flag, for error messages.
    """
    text = text or os.environ.get(variable, "")
    if not text:
        return core.Failure(
            core.ErrorKind.BAD_REQUEST,
            f"no address; give {flag} ip:port or set {variable}",
        )
    try:
        addresses = [core.Address.parse(item) for item in text.split(",")]
    except ValueError:
        return core.Failure(
            core.ErrorKind.BAD_REQUEST,
            f"{text!r} is not a list of `ip:port`; correct {flag} or "
            f"{variable}",
        )
    return core.Ok(tuple(addresses))
