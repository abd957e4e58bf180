"""Test lab: stand-ins, fault injection, load generation and experiments."""

from fireflyford.lab._commands import main

__all__ = ["main"]
