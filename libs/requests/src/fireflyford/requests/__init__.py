"""Admission, execution and outcomes of requests."""

from fireflyford.requests._admission import Admission
from fireflyford.requests._admission import AdmitAll
from fireflyford.requests._admission import ExpectedWait
from fireflyford.requests._allowance import long_allowance
from fireflyford.requests._budget import RetryBudget
from fireflyford.requests._budget import retry_delay_ms
from fireflyford.requests._engine import CONNECTION_LOST
from fireflyford.requests._engine import Engine
from fireflyford.requests._peers import Handoff
from fireflyford.requests._peers import NoPeers
from fireflyford.requests._peers import PeerChannel
from fireflyford.requests._placement import ExpectedCompletion
from fireflyford.requests._placement import LeastReported
from fireflyford.requests._placement import Own
from fireflyford.requests._placement import Placement
from fireflyford.requests._placement import Random
from fireflyford.requests._placement import RoundRobin
from fireflyford.requests._placement import TwoChoicesReported
from fireflyford.requests._queue import AdmissionQueue
from fireflyford.requests._queue import Entry
from fireflyford.requests._queue import FifoQueue
from fireflyford.requests._queue import WorkQueue
from fireflyford.requests._records import Claim
from fireflyford.requests._records import Record
from fireflyford.requests._records import RequestRecords
from fireflyford.requests._service_times import ServiceTimes
from fireflyford.requests._slots import SlotPool
from fireflyford.requests._targets import Candidate
from fireflyford.requests._targets import PeerInfo
from fireflyford.requests._targets import TargetReport
from fireflyford.requests._tickets import RETENTION_MS
from fireflyford.requests._tickets import Ticket
from fireflyford.requests._tickets import TicketIssuer
from fireflyford.requests._work import Executor
from fireflyford.requests._work import Response
from fireflyford.requests._work import Work

__all__ = [
    "CONNECTION_LOST",
    "RETENTION_MS",
    "Admission",
    "AdmissionQueue",
    "AdmitAll",
    "Candidate",
    "Claim",
    "Engine",
    "Entry",
    "Executor",
    "ExpectedCompletion",
    "ExpectedWait",
    "FifoQueue",
    "Handoff",
    "LeastReported",
    "NoPeers",
    "Own",
    "PeerChannel",
    "PeerInfo",
    "Placement",
    "Random",
    "Record",
    "RequestRecords",
    "Response",
    "RetryBudget",
    "RoundRobin",
    "ServiceTimes",
    "SlotPool",
    "TargetReport",
    "Ticket",
    "TicketIssuer",
    "TwoChoicesReported",
    "Work",
    "WorkQueue",
    "long_allowance",
    "retry_delay_ms",
]
