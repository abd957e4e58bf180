"""Scenarios: a small language for changes, faults and assertions."""

from fireflyford.lab.scenarios._language import Step
from fireflyford.lab.scenarios._language import parse
from fireflyford.lab.scenarios._language import templates
from fireflyford.lab.scenarios._play import play
from fireflyford.lab.scenarios._world import World

__all__ = ["Step", "World", "parse", "play", "templates"]
