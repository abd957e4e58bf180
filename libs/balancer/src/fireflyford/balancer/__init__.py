"""The balancer process: forwards datagrams and holds no state of flows."""

from fireflyford.balancer._configuration import is_config_reader
from fireflyford.balancer._forwarder import Counters
from fireflyford.balancer._forwarder import DatagramHintReader
from fireflyford.balancer._forwarder import HintReader
from fireflyford.balancer._forwarder import Link
from fireflyford.balancer._forwarder import QuicHintReader
from fireflyford.balancer._forwarder import ServiceListener
from fireflyford.balancer._forwarding import Known
from fireflyford.balancer._forwarding import follow_view
from fireflyford.balancer._process import Balancer
from fireflyford.balancer._process import run
from fireflyford.balancer._socket import DatagramSocket

__all__ = [
    "Balancer",
    "Counters",
    "DatagramHintReader",
    "DatagramSocket",
    "HintReader",
    "Known",
    "Link",
    "QuicHintReader",
    "ServiceListener",
    "follow_view",
    "is_config_reader",
    "run",
]
