"""Stand-ins, fault injection, load and experiments."""

from fireflyford.lab._commands import main

__all__ = ["main"]
