"""The closed list of error kinds, and the answer that each one gives."""

import dataclasses
import enum
import types
from typing import Generic
from typing import TypeVar

T = TypeVar("T")


class ErrorKind(enum.Enum):
    """Every kind of error that crosses a library boundary."""

    BAD_REQUEST = "bad-request"
    FORBIDDEN = "forbidden"
    NO_SUCH_SERVICE = "no-such-service"
    TICKET_REQUIRED = "ticket-required"
    TICKET_INVALID = "ticket-invalid"
    OVERLOADED = "overloaded"
    DRAINING = "draining"
    DEADLINE_BEFORE_START = "deadline-before-start"
    CANCELLED_BEFORE_START = "cancelled-before-start"
    NO_TARGET = "no-target"
    BACKEND_REFUSED = "backend-refused"
    BACKEND_FAILED = "backend-failed"
    DEADLINE_AFTER_START = "deadline-after-start"
    OUTCOME_UNKNOWN = "outcome-unknown"
    TICKET_TOO_OLD = "ticket-too-old"
    BAD_SETTINGS = "bad-settings"
    BAD_CONFIG = "bad-config"
    CONFIG_CONFLICT = "config-conflict"
    CONFIG_TOO_LARGE = "config-too-large"
    CONFIG_STALE = "config-stale"
    STORE_UNAVAILABLE = "store-unavailable"
    STORE_OUTCOME_UNKNOWN = "store-outcome-unknown"
    INSTANCE_UNREACHABLE = "instance-unreachable"
    BAD_CERTIFICATE = "bad-certificate"
    BAD_MESSAGE = "bad-message"


class Execution(enum.Enum):
    """Whether the work of a request reached a backend server."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Answer:
    """How one error kind is answered.

    Attributes:
        status_code: HTTP status towards callers.
        execution: Whether the work ran.
        exit_code: Exit status of the command line.
        retry_allowed: Whether the same request may be sent again.
    """

    status_code: int
    execution: Execution
    exit_code: int
    retry_allowed: bool


@dataclasses.dataclass(frozen=True)
class Ok(Generic[T]):
    """A successful outcome."""

    value: T


@dataclasses.dataclass(frozen=True)
class Failure:
    """A failed outcome.

    Attributes:
        kind: Member of the closed list.
        message: One line that says what to do.
        retry_after_ms: Earliest useful retry, 0 when unknown.
    """

    kind: ErrorKind
    message: str
    retry_after_ms: int = 0

    @property
    def answer(self) -> Answer:
        """Answer of the table for this kind."""
        return ANSWERS[self.kind]


Outcome = Ok[T] | Failure

_NOT_RUN = Execution.NOT_RUN
_RAN = Execution.RAN
_UNKNOWN = Execution.UNKNOWN

ANSWERS = types.MappingProxyType(
    {
        ErrorKind.BAD_REQUEST: Answer(400, _NOT_RUN, 2, False),
        ErrorKind.FORBIDDEN: Answer(403, _NOT_RUN, 3, False),
        ErrorKind.NO_SUCH_SERVICE: Answer(404, _NOT_RUN, 2, False),
        ErrorKind.TICKET_REQUIRED: Answer(428, _NOT_RUN, 2, True),
        ErrorKind.TICKET_INVALID: Answer(400, _NOT_RUN, 2, False),
        ErrorKind.OVERLOADED: Answer(503, _NOT_RUN, 4, True),
        ErrorKind.DRAINING: Answer(503, _NOT_RUN, 4, True),
        ErrorKind.DEADLINE_BEFORE_START: Answer(504, _NOT_RUN, 4, True),
        ErrorKind.CANCELLED_BEFORE_START: Answer(499, _NOT_RUN, 4, True),
        ErrorKind.NO_TARGET: Answer(503, _NOT_RUN, 4, True),
        ErrorKind.BACKEND_REFUSED: Answer(503, _NOT_RUN, 4, True),
        ErrorKind.BACKEND_FAILED: Answer(502, _RAN, 5, False),
        ErrorKind.DEADLINE_AFTER_START: Answer(504, _UNKNOWN, 6, False),
        ErrorKind.OUTCOME_UNKNOWN: Answer(502, _UNKNOWN, 6, False),
        ErrorKind.TICKET_TOO_OLD: Answer(409, _UNKNOWN, 6, False),
        ErrorKind.BAD_SETTINGS: Answer(500, _NOT_RUN, 2, False),
        ErrorKind.BAD_CONFIG: Answer(400, _NOT_RUN, 2, False),
        ErrorKind.CONFIG_CONFLICT: Answer(409, _NOT_RUN, 7, False),
        ErrorKind.CONFIG_TOO_LARGE: Answer(413, _NOT_RUN, 2, False),
        ErrorKind.CONFIG_STALE: Answer(409, _NOT_RUN, 7, False),
        ErrorKind.STORE_UNAVAILABLE: Answer(503, _NOT_RUN, 8, True),
        ErrorKind.STORE_OUTCOME_UNKNOWN: Answer(504, _UNKNOWN, 6, False),
        ErrorKind.INSTANCE_UNREACHABLE: Answer(503, _NOT_RUN, 8, True),
        ErrorKind.BAD_CERTIFICATE: Answer(500, _NOT_RUN, 2, False),
        ErrorKind.BAD_MESSAGE: Answer(400, _NOT_RUN, 2, False),
    }
)
