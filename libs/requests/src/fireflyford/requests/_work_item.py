"""A request to run, its response, and the interface that runs it."""

import abc
import dataclasses

from fireflyford import config
from fireflyford import core


@dataclasses.dataclass(frozen=True)
class WorkItem:
    """A request to run at one of the targets.

    Attributes:
        request_id: Identity of the request at this agent.
        treatment: Configured treatment of this kind of request.
        method: HTTP method.
        path: HTTP path with query.
        body: Request body.
        caller: Identity of the caller, for fairness between callers.
        arrived_ms: Time of arrival, on the clock of the agent.
        deadline_ms: Deadline of the response, on the clock of the agent.
    """

    request_id: str
    treatment: config.Treatment
    method: str
    path: str
    body: bytes
    caller: str
    arrived_ms: int
    deadline_ms: int


@dataclasses.dataclass(frozen=True)
class Response:
    """A complete response of a backend server."""

    status_code: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Executor(abc.ABC):
    """Runs requests on a backend server."""

    @abc.abstractmethod
    async def execute(self, work: WorkItem) -> core.Outcome[Response]:
        """Runs the request once.

        Once called, the request may have run, unless the outcome says that it
        did not. Cancelling the task cancels the request.
        """
