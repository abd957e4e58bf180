"""Cluster membership: known instances, failure detection and dissemination."""

from fireflyford.membership._bulk import BulkServer
from fireflyford.membership._bulk import fetch_bulk
from fireflyford.membership._channel import Channel
from fireflyford.membership._channel import PullHandler
from fireflyford.membership._channel import UdpChannel
from fireflyford.membership._config_announcements import ConfigAnnouncements
from fireflyford.membership._membership import Membership
from fireflyford.membership._memory_network import MemoryChannel
from fireflyford.membership._memory_network import MemoryNetwork
from fireflyford.membership._observer import FAILURE_TIMEOUT_MS
from fireflyford.membership._observer_sessions import HEARTBEAT_INTERVAL_MS
from fireflyford.membership._rendezvous import select_by_rendezvous
from fireflyford.membership._types import Member
from fireflyford.membership._types import State
from fireflyford.membership._types import View
from fireflyford.membership._types import new_incarnation

__all__ = [
    "FAILURE_TIMEOUT_MS",
    "HEARTBEAT_INTERVAL_MS",
    "BulkServer",
    "Channel",
    "ConfigAnnouncements",
    "Member",
    "Membership",
    "MemoryChannel",
    "MemoryNetwork",
    "PullHandler",
    "State",
    "UdpChannel",
    "View",
    "fetch_bulk",
    "new_incarnation",
    "select_by_rendezvous",
]
