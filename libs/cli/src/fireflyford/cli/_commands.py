"""Commands of the `fireflyford` binary."""

import sys
from typing import TypeVar

import fire

from fireflyford import agent
from fireflyford import balancer
from fireflyford import core
from fireflyford import settings

VERSION = "0.1.0"

T = TypeVar("T")


class Commands:
    """Layer-4 load balancer for services with long-lived flows."""

    def balancer(self, settings_path: str) -> None:
        """Runs a balancer.

        Args:
            settings_path: Settings file, JSON with comments.
        """
        options = _require(
            settings.load(settings_path, settings.BalancerSettings)
        )
        balancer.run(options)

    def agent(self, settings_path: str) -> None:
        """Runs the agent beside a backend server.

        Args:
            settings_path: Settings file, JSON with comments.
        """
        options = _require(settings.load(settings_path, settings.AgentSettings))
        _require(agent.run(options))

    def version(self) -> None:
        """Prints the version."""
        print(VERSION)


def _require(outcome: core.Outcome[T]) -> T:
    if isinstance(outcome, core.Failure):
        print(f"fireflyford: {outcome.message}", file=sys.stderr)
        sys.exit(outcome.answer.exit_code)
    return outcome.value


def main() -> None:
    """Runs the command line."""
    fire.Fire(Commands, name="fireflyford")
