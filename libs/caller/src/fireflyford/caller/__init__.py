"""Caller library: requests with retries and feeds that resume."""

from fireflyford.caller._client import Client
from fireflyford.caller._connection import CALLER_HEADER
from fireflyford.caller._connection import Connection
from fireflyford.caller._connection import open_connection
from fireflyford.caller._feeds import RESUME_JITTER_HEADER
from fireflyford.caller._feeds import FeedEvent
from fireflyford.caller._feeds import FeedRefusedError
from fireflyford.caller._feeds import FeedStatistics
from fireflyford.caller._requests import Response
from fireflyford.caller._session import Session

__all__ = [
    "CALLER_HEADER",
    "RESUME_JITTER_HEADER",
    "Client",
    "Connection",
    "FeedEvent",
    "FeedRefusedError",
    "FeedStatistics",
    "Response",
    "Session",
    "open_connection",
]
