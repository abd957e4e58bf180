"""The balancer process: forwards datagrams and holds no state of flows."""

from fireflyford.balancer._configuration import is_config_reader
from fireflyford.balancer._forwarder import Counters
from fireflyford.balancer._forwarder import Link
from fireflyford.balancer._forwarder import ServiceListener
from fireflyford.balancer._process import Balancer
from fireflyford.balancer._process import run

__all__ = [
    "Balancer",
    "Counters",
    "Link",
    "ServiceListener",
    "is_config_reader",
    "run",
]
