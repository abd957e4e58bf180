"""Admission, execution and outcomes of requests."""

from fireflyford.requests._engine import Engine
from fireflyford.requests._work import Executor
from fireflyford.requests._work import Response
from fireflyford.requests._work import Work

__all__ = ["Engine", "Executor", "Response", "Work"]
