"""Processes that forward packets of flows whose packets show when they open."""

from fireflyford.runtime._agent import Agent
from fireflyford.runtime._agent import run_agent
from fireflyford.runtime._balancer import Balancer
from fireflyford.runtime._balancer import run_balancer
from fireflyford.runtime._http import make_http_client
from fireflyford.runtime._packets import ConfigFormat
from fireflyford.runtime._packets import FrontEnd
from fireflyford.runtime._packets import PacketCodec
from fireflyford.runtime._settings import FlowSettings

__all__ = [
    "Agent",
    "Balancer",
    "ConfigFormat",
    "FlowSettings",
    "FrontEnd",
    "PacketCodec",
    "make_http_client",
    "run_agent",
    "run_balancer",
]
