"""Placement and tracking of packet flows with an explicit opening packet.

Implements the decisions of balancers and agents for packets that may arrive at
any balancer and do not identify their holder. No module here depends on an
encoding or a socket.
"""

from fireflyford.flows._agent import AgentFlows
from fireflyford.flows._balancer import BalancerFlows
from fireflyford.flows._evacuation import Evacuations
from fireflyford.flows._evacuation import EvacuationView
from fireflyford.flows._fleet import KEEPALIVE_TIMEOUT_MS
from fireflyford.flows._fleet import SILENCE_LIMIT_MS
from fireflyford.flows._fleet import Fleet
from fireflyford.flows._messages import DeclineReason
from fireflyford.flows._messages import FlowAnnouncement
from fireflyford.flows._messages import FlowLocated
from fireflyford.flows._messages import FlowNotFound
from fireflyford.flows._messages import Forward
from fireflyford.flows._messages import Handling
from fireflyford.flows._messages import Heartbeat
from fireflyford.flows._messages import LoadReport
from fireflyford.flows._messages import Message
from fireflyford.flows._messages import NotHeld
from fireflyford.flows._messages import PathReport
from fireflyford.flows._messages import PlacementDeclined
from fireflyford.flows._messages import PlacementQueued
from fireflyford.flows._messages import PlacementRefused
from fireflyford.flows._messages import PlacementWithdrawn
from fireflyford.flows._messages import PlannedRestart
from fireflyford.flows._messages import ProtocolAnnouncement
from fireflyford.flows._messages import Send
from fireflyford.flows._messages import SlotGranted
from fireflyford.flows._placement import Candidate
from fireflyford.flows._placement import EarliestCompletion
from fireflyford.flows._placement import Placement
from fireflyford.flows._placement import Random
from fireflyford.flows._responsiveness import Responsiveness
from fireflyford.flows._routes import Route
from fireflyford.flows._routes import RouteTable
from fireflyford.flows._routes import RouteTerms
from fireflyford.flows._routes import Share
from fireflyford.flows._routes import make_route_table
from fireflyford.flows._startup_packets import StartupPackets
from fireflyford.flows._target_monitor import TargetLiveness
from fireflyford.flows._target_monitor import TargetMonitor
from fireflyford.flows._target_monitor import TargetReport
from fireflyford.flows._types import FLOW_ID_BYTES
from fireflyford.flows._types import Action
from fireflyford.flows._types import Deliver
from fireflyford.flows._types import Instance
from fireflyford.flows._types import Load
from fireflyford.flows._types import Packet
from fireflyford.flows._types import Reply
from fireflyford.flows._types import Reset
from fireflyford.flows._types import TargetState
from fireflyford.flows._types import client_address
from fireflyford.flows._types import describe_flow
from fireflyford.flows._types import route_address
from fireflyford.flows._waiting_list import Deadline
from fireflyford.flows._waiting_list import EarliestLimit
from fireflyford.flows._waiting_list import FirstComeFirstServed
from fireflyford.flows._waiting_list import NewestFirst
from fireflyford.flows._waiting_list import NewestInGroup
from fireflyford.flows._waiting_list import WaitingOrder
from fireflyford.flows._zone_paths import ZonePaths

__all__ = [
    "FLOW_ID_BYTES",
    "KEEPALIVE_TIMEOUT_MS",
    "SILENCE_LIMIT_MS",
    "Action",
    "AgentFlows",
    "BalancerFlows",
    "Candidate",
    "Deadline",
    "DeclineReason",
    "Deliver",
    "EarliestCompletion",
    "EarliestLimit",
    "EvacuationView",
    "Evacuations",
    "FirstComeFirstServed",
    "Fleet",
    "FlowAnnouncement",
    "FlowLocated",
    "FlowNotFound",
    "Forward",
    "Handling",
    "Heartbeat",
    "Instance",
    "Load",
    "LoadReport",
    "Message",
    "NewestFirst",
    "NewestInGroup",
    "NotHeld",
    "Packet",
    "PathReport",
    "Placement",
    "PlacementDeclined",
    "PlacementQueued",
    "PlacementRefused",
    "PlacementWithdrawn",
    "PlannedRestart",
    "ProtocolAnnouncement",
    "Random",
    "Reply",
    "Reset",
    "Responsiveness",
    "Route",
    "RouteTable",
    "RouteTerms",
    "Send",
    "Share",
    "SlotGranted",
    "StartupPackets",
    "TargetLiveness",
    "TargetMonitor",
    "TargetReport",
    "TargetState",
    "WaitingOrder",
    "ZonePaths",
    "client_address",
    "describe_flow",
    "make_route_table",
    "route_address",
]
