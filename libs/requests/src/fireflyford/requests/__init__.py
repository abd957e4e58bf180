"""Admission, execution and outcomes of requests."""

from fireflyford.requests._admission import AdmissionPolicy
from fireflyford.requests._admission import AdmitAll
from fireflyford.requests._admission import ExpectedWaitAdmission
from fireflyford.requests._budget import RetryBudget
from fireflyford.requests._budget import retry_delay_ms
from fireflyford.requests._engine import CONNECTION_LOST
from fireflyford.requests._engine import RequestEngine
from fireflyford.requests._hedging import SecondAttempts
from fireflyford.requests._peers import Handoff
from fireflyford.requests._peers import NullPeerChannel
from fireflyford.requests._peers import PeerChannel
from fireflyford.requests._placement import LeastReportedLoad
from fireflyford.requests._placement import LocalOnly
from fireflyford.requests._placement import Placement
from fireflyford.requests._placement import PowerOfTwoChoices
from fireflyford.requests._placement import RandomPlacement
from fireflyford.requests._placement import RoundRobin
from fireflyford.requests._placement import ShortestExpectedDelay
from fireflyford.requests._queue import FairQueue
from fireflyford.requests._queue import FifoQueue
from fireflyford.requests._queue import QueueEntry
from fireflyford.requests._queue import WorkQueue
from fireflyford.requests._records import Claim
from fireflyford.requests._records import RequestRecord
from fireflyford.requests._records import RequestRecords
from fireflyford.requests._service_times import ServiceTimeEstimates
from fireflyford.requests._slot_limits import long_slot_limit
from fireflyford.requests._slots import SlotPool
from fireflyford.requests._targets import Candidate
from fireflyford.requests._targets import PeerInfo
from fireflyford.requests._targets import TargetReport
from fireflyford.requests._tickets import TICKET_RETENTION_MS
from fireflyford.requests._tickets import Ticket
from fireflyford.requests._tickets import TicketIssuer
from fireflyford.requests._work_item import Executor
from fireflyford.requests._work_item import Response
from fireflyford.requests._work_item import WorkItem

__all__ = [
    "CONNECTION_LOST",
    "TICKET_RETENTION_MS",
    "AdmissionPolicy",
    "AdmitAll",
    "Candidate",
    "Claim",
    "Executor",
    "ExpectedWaitAdmission",
    "FairQueue",
    "FifoQueue",
    "Handoff",
    "LeastReportedLoad",
    "LocalOnly",
    "NullPeerChannel",
    "PeerChannel",
    "PeerInfo",
    "Placement",
    "PowerOfTwoChoices",
    "QueueEntry",
    "RandomPlacement",
    "RequestEngine",
    "RequestRecord",
    "RequestRecords",
    "Response",
    "RetryBudget",
    "RoundRobin",
    "SecondAttempts",
    "ServiceTimeEstimates",
    "ShortestExpectedDelay",
    "SlotPool",
    "TargetReport",
    "Ticket",
    "TicketIssuer",
    "WorkItem",
    "WorkQueue",
    "long_slot_limit",
    "retry_delay_ms",
]
