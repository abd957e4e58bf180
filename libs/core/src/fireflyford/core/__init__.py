"""Clocks, error kinds, outcomes and other types shared by all libraries."""

from fireflyford.core._clock import Clock
from fireflyford.core._clock import ManualClock
from fireflyford.core._clock import SystemClock
from fireflyford.core._errors import ERROR_SPECS
from fireflyford.core._errors import ErrorKind
from fireflyford.core._errors import ErrorSpec
from fireflyford.core._errors import Execution
from fireflyford.core._errors import Failure
from fireflyford.core._errors import Ok
from fireflyford.core._errors import Outcome
from fireflyford.core._lazy import lazy_exports
from fireflyford.core._quantile import RecentQuantile
from fireflyford.core._types import Address
from fireflyford.core._types import Holder
from fireflyford.core._types import Role
from fireflyford.core._types import service_tag

__all__ = [
    "ERROR_SPECS",
    "Address",
    "Clock",
    "ErrorKind",
    "ErrorSpec",
    "Execution",
    "Failure",
    "Holder",
    "ManualClock",
    "Ok",
    "Outcome",
    "RecentQuantile",
    "Role",
    "SystemClock",
    "lazy_exports",
    "service_tag",
]
