"""Describe, validate, compare and render the configuration of a deployment."""

from fireflyford.config._check import check
from fireflyford.config._compare import compare
from fireflyford.config._compare import find_breaking_changes
from fireflyford.config._faults import Severity
from fireflyford.config._review import Finding
from fireflyford.config._review import Review
from fireflyford.config._review import review_deployment
from fireflyford.config._review import review_text
from fireflyford.config._text import parse
from fireflyford.config._text import render
from fireflyford.config._types import FORMAT
from fireflyford.config._types import AvailabilityZone
from fireflyford.config._types import CrestPolicy
from fireflyford.config._types import Deployment
from fireflyford.config._types import Kind
from fireflyford.config._types import MovePolicy
from fireflyford.config._types import Region
from fireflyford.config._types import Service
from fireflyford.config._types import SizeClass
from fireflyford.config._types import Transport
from fireflyford.config._types import Treatment

__all__ = [
    "FORMAT",
    "AvailabilityZone",
    "CrestPolicy",
    "Deployment",
    "Finding",
    "Kind",
    "MovePolicy",
    "Region",
    "Review",
    "Service",
    "Severity",
    "SizeClass",
    "Transport",
    "Treatment",
    "check",
    "compare",
    "find_breaking_changes",
    "parse",
    "render",
    "review_deployment",
    "review_text",
]
