"""Checked settings of one process, read from JSON with comments."""

from fireflyford.settings._settings import AgentSettings
from fireflyford.settings._settings import BalancerSettings
from fireflyford.settings._settings import load

__all__ = ["AgentSettings", "BalancerSettings", "load"]
