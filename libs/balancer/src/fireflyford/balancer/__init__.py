"""Balancer process: forwards datagrams and holds no flow state."""

from fireflyford.balancer._configuration import is_config_reader
from fireflyford.balancer._forwarder import Counters
from fireflyford.balancer._forwarder import DatagramHintReader
from fireflyford.balancer._forwarder import HintReader
from fireflyford.balancer._forwarder import Link
from fireflyford.balancer._forwarder import QuicHintReader
from fireflyford.balancer._forwarder import ServiceListener
from fireflyford.balancer._forwarding import RouterInput
from fireflyford.balancer._forwarding import update_routers
from fireflyford.balancer._process import Balancer
from fireflyford.balancer._process import run
from fireflyford.balancer._socket import DatagramSocket

__all__ = [
    "Balancer",
    "Counters",
    "DatagramHintReader",
    "DatagramSocket",
    "HintReader",
    "Link",
    "QuicHintReader",
    "RouterInput",
    "ServiceListener",
    "is_config_reader",
    "run",
    "update_routers",
]
