"""One request as the policy sees it, and the interface that runs it."""

import abc
import dataclasses

from fireflyford import config
from fireflyford import core


@dataclasses.dataclass(frozen=True)
class WorkItem:
    """One request.

    Attributes:
        request_id: Identity of the request at this agent.
        treatment: How this kind of work is treated.
        method: HTTP method.
        path: HTTP path with query.
        body: Request body.
        caller: Who asked, for fairness between callers.
        arrived_ms: Arrival at the agent, on the agent's clock.
        deadline_ms: Last useful moment, on the agent's clock.
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
    """A whole answer of a backend server."""

    status_code: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Executor(abc.ABC):
    """Runs work on a backend server."""

    @abc.abstractmethod
    async def execute(self, work: WorkItem) -> core.Outcome[Response]:
        """Runs the work once.

        From the call on, the work may have run, unless the outcome says
        otherwise. Cancelling the task cancels the work.
        """
