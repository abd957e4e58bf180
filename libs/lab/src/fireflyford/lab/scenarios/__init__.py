"""Scenarios: a small language for fleet changes, faults and assertions."""

from fireflyford.lab.scenarios._environment import Environment
from fireflyford.lab.scenarios._language import Step
from fireflyford.lab.scenarios._language import parse
from fireflyford.lab.scenarios._language import step_templates
from fireflyford.lab.scenarios._runner import run

__all__ = ["Environment", "Step", "parse", "run", "step_templates"]
