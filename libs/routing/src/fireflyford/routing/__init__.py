"""Choice of a target for each flow."""

from fireflyford.routing._ring import Target
from fireflyford.routing._ring import TargetRing
from fireflyford.routing._ring import hash_flow
from fireflyford.routing._router import Hint
from fireflyford.routing._router import HolderHint
from fireflyford.routing._router import NewFlowHint
from fireflyford.routing._router import Route
from fireflyford.routing._router import Router

__all__ = [
    "Hint",
    "HolderHint",
    "NewFlowHint",
    "Route",
    "Router",
    "Target",
    "TargetRing",
    "hash_flow",
]
