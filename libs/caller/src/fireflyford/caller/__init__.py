"""Caller library: requests and feeds that resume."""

from fireflyford.caller._client import Client
from fireflyford.caller._client import FeedEvent
from fireflyford.caller._connection import Connection
from fireflyford.caller._connection import open_connection
from fireflyford.caller._requests import Reply

__all__ = ["Client", "Connection", "FeedEvent", "Reply", "open_connection"]
