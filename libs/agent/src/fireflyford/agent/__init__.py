"""Agent process that runs next to each backend server."""

from fireflyford.agent._authorization import make_token
from fireflyford.agent._process import Agent
from fireflyford.agent._process import run
from fireflyford.agent._tls import load_tls

__all__ = ["Agent", "load_tls", "make_token", "run"]
