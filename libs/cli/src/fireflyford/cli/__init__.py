"""The command line of the one binary."""

from fireflyford.cli._commands import main

__all__ = ["main"]
