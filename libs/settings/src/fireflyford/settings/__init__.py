"""Settings of one process, loaded from JSON with comments and validated."""

from fireflyford.settings._settings import AgentSettings
from fireflyford.settings._settings import BalancerSettings
from fireflyford.settings._settings import load

__all__ = ["AgentSettings", "BalancerSettings", "load"]
