"""Balancer and agent processes that forward packets by flow.

A front end supplies the packet encoding; packets must mark the opening of a
flow.
"""

from fireflyford.runtime._agent import Agent
from fireflyford.runtime._agent import run_agent
from fireflyford.runtime._balancer import Balancer
from fireflyford.runtime._balancer import run_balancer
from fireflyford.runtime._front_end import ConfigFormat
from fireflyford.runtime._front_end import FrontEnd
from fireflyford.runtime._front_end import PacketCodec
from fireflyford.runtime._http import make_http_client
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
