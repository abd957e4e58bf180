"""The agent process beside each backend server."""

from fireflyford.agent._process import Agent
from fireflyford.agent._process import load_tls
from fireflyford.agent._process import run

__all__ = ["Agent", "load_tls", "run"]
