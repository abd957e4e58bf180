"""Commands that run only after the whole command line was understood.

`fire` calls a command before it finds out that a later argument is unknown.
Commands therefore return a `Job`, which runs when nothing is left over; a
mistyped flag of `config push` thus pushes nothing.
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
    """Work of one command, which gives the text to print."""

    _work: Callable[[], core.Outcome[str]]

    def __str__(self) -> str:
        """Describes the job in error messages of `fire`."""
        return "the command"


def make_job(
    work: Callable[[], Coroutine[Any, Any, core.Outcome[str]]],
) -> Job:
    """Returns a job that runs a coroutine."""
    return Job(lambda: asyncio.run(work()))


def run_result(result: object) -> object:
    """Runs the job that a command returned; prints its text or its failure.

    Other results, such as a group of commands, are returned for `fire` to
    describe.
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


def keep_text(argument: str) -> str:
    """Quotes an argument that `fire` would read as a number with a loss.

    >>> keep_text("--connection-id=00e1"), keep_text("7")
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
    """Reads addresses from a flag, or else from the environment.

    Args:
        text: `ip:port` items, separated by commas; may be empty.
        variable: Environment variable used when `text` is empty.
        flag: Name of the flag, for messages.
    """
    text = text or os.environ.get(variable, "")
    if not text:
        return core.Failure(
            core.ErrorKind.BAD_REQUEST,
            f"no address; give {flag} ip:port or set {variable}",
        )
    try:
        items = [core.Address.parse(item) for item in text.split(",")]
    except ValueError:
        return core.Failure(
            core.ErrorKind.BAD_REQUEST,
            f"{text!r} is not a list of `ip:port`; correct {flag} or "
            f"{variable}",
        )
    return core.Ok(tuple(items))
