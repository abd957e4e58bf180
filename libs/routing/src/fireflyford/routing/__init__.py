"""Selection of a target for each flow."""

import typing

from fireflyford import core

if typing.TYPE_CHECKING:
    from fireflyford.routing._flow_limits import MAX_HOPS
    from fireflyford.routing._flow_limits import MAX_MESSAGE_AGE_MS
    from fireflyford.routing._flow_limits import FlowPlacement
    from fireflyford.routing._flow_limits import FlowTableLimits
    from fireflyford.routing._flow_messages import Action
    from fireflyford.routing._flow_messages import Decision
    from fireflyford.routing._flow_messages import ForwardedDatagram
    from fireflyford.routing._flow_messages import Notice
    from fireflyford.routing._flow_table import FlowTable
    from fireflyford.routing._ring import Target
    from fireflyford.routing._ring import TargetRing
    from fireflyford.routing._ring import hash_flow
    from fireflyford.routing._router import Hint
    from fireflyford.routing._router import HolderHint
    from fireflyford.routing._router import NewFlowHint
    from fireflyford.routing._router import Route
    from fireflyford.routing._router import Router
    from fireflyford.routing._router import UnidentifiedFlowHint
    from fireflyford.routing._targets import group_by_service
    from fireflyford.routing._targets import make_targets
    from fireflyford.routing._weights import normalize_weights

__all__ = [
    "MAX_HOPS",
    "MAX_MESSAGE_AGE_MS",
    "Action",
    "Decision",
    "FlowPlacement",
    "FlowTable",
    "FlowTableLimits",
    "ForwardedDatagram",
    "Hint",
    "HolderHint",
    "NewFlowHint",
    "Notice",
    "Route",
    "Router",
    "Target",
    "TargetRing",
    "UnidentifiedFlowHint",
    "group_by_service",
    "hash_flow",
    "make_targets",
    "normalize_weights",
]

__getattr__ = core.lazy_exports(
    __name__,
    {
        "_flow_limits": (
            "MAX_HOPS",
            "MAX_MESSAGE_AGE_MS",
            "FlowPlacement",
            "FlowTableLimits",
        ),
        "_flow_messages": (
            "Action",
            "Decision",
            "ForwardedDatagram",
            "Notice",
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
            "UnidentifiedFlowHint",
        ),
        "_targets": (
            "group_by_service",
            "make_targets",
        ),
        "_weights": ("normalize_weights",),
    },
)
