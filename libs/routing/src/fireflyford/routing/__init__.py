"""Choice of a target for each flow."""

import typing

from fireflyford import core

if typing.TYPE_CHECKING:
    from fireflyford.routing._claims import Action
    from fireflyford.routing._claims import Arrival
    from fireflyford.routing._claims import Decision
    from fireflyford.routing._claims import Notice
    from fireflyford.routing._flow_bounds import LATE_MS
    from fireflyford.routing._flow_bounds import MAX_HOPS
    from fireflyford.routing._flow_bounds import Limits
    from fireflyford.routing._flow_bounds import Peers
    from fireflyford.routing._flow_table import FlowTable
    from fireflyford.routing._ring import Target
    from fireflyford.routing._ring import TargetRing
    from fireflyford.routing._ring import hash_flow
    from fireflyford.routing._router import Hint
    from fireflyford.routing._router import HolderHint
    from fireflyford.routing._router import NewFlowHint
    from fireflyford.routing._router import Route
    from fireflyford.routing._router import Router
    from fireflyford.routing._router import UnnamedFlowHint
    from fireflyford.routing._targets import group_members
    from fireflyford.routing._targets import make_targets
    from fireflyford.routing._weights import clamp_weights

__all__ = [
    "LATE_MS",
    "MAX_HOPS",
    "Action",
    "Arrival",
    "Decision",
    "FlowTable",
    "Hint",
    "HolderHint",
    "Limits",
    "NewFlowHint",
    "Notice",
    "Peers",
    "Route",
    "Router",
    "Target",
    "TargetRing",
    "UnnamedFlowHint",
    "clamp_weights",
    "group_members",
    "hash_flow",
    "make_targets",
]

__getattr__ = core.lazy_exports(
    __name__,
    {
        "_claims": (
            "Action",
            "Arrival",
            "Decision",
            "Notice",
        ),
        "_flow_bounds": (
            "LATE_MS",
            "MAX_HOPS",
            "Limits",
            "Peers",
        ),
        "_flow_table": ("FlowTable",),
        "_ring": (
            "Target",
            "TargetRing",
            "hash_flow",
        ),
        "_router": (
            "Hint",
            "HolderHint",
            "NewFlowHint",
            "Route",
            "Router",
            "UnnamedFlowHint",
        ),
        "_targets": (
            "group_members",
            "make_targets",
        ),
        "_weights": ("clamp_weights",),
    },
)
