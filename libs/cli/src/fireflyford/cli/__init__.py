"""Command line of the `fireflyford` binary."""

from fireflyford.cli._commands import main

__all__ = ["main"]
