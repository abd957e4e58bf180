"""Error kinds with their protocol mapping, and the outcome types."""

import dataclasses
import enum
import types
from typing import Generic
from typing import TypeVar

T = TypeVar("T")


class ErrorKind(enum.Enum):
    """Closed set of errors that cross library boundaries."""

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
    STORE_HISTORY_GONE = "store-history-gone"
    INSTANCE_UNREACHABLE = "instance-unreachable"
    BAD_CERTIFICATE = "bad-certificate"
    BAD_MESSAGE = "bad-message"


class Execution(enum.Enum):
    """Whether a backend server executed a request."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class ErrorSpec:
    """Protocol mapping of an error kind.

    Attributes:
        status_code: HTTP status code for callers.
        execution: Whether the request was executed.
        exit_code: Exit code of the command line.
        retry_allowed: Whether the same request may be retried.
    """

    status_code: int
    execution: Execution
    exit_code: int
    retry_allowed: bool


@dataclasses.dataclass(frozen=True)
class Ok(Generic[T]):
    """Successful outcome with its value."""

    value: T


@dataclasses.dataclass(frozen=True)
class Failure:
    """Failed outcome.

    Attributes:
        kind: Kind of the error.
        message: One-line description with the action to take.
        retry_after_ms: Recommended delay before a retry, 0 if unknown.
    """

    kind: ErrorKind
    message: str
    retry_after_ms: int = 0

    @property
    def spec(self) -> ErrorSpec:
        """Protocol mapping of this error kind."""
        return ERROR_SPECS[self.kind]


Outcome = Ok[T] | Failure

_NOT_RUN = Execution.NOT_RUN
_RAN = Execution.RAN
_UNKNOWN = Execution.UNKNOWN

ERROR_SPECS = types.MappingProxyType(
    {
        ErrorKind.BAD_REQUEST: ErrorSpec(400, _NOT_RUN, 2, False),
        ErrorKind.FORBIDDEN: ErrorSpec(403, _NOT_RUN, 3, False),
        ErrorKind.NO_SUCH_SERVICE: ErrorSpec(404, _NOT_RUN, 2, False),
        ErrorKind.TICKET_REQUIRED: ErrorSpec(428, _NOT_RUN, 2, True),
        ErrorKind.TICKET_INVALID: ErrorSpec(400, _NOT_RUN, 2, False),
        ErrorKind.OVERLOADED: ErrorSpec(503, _NOT_RUN, 4, True),
        ErrorKind.DRAINING: ErrorSpec(503, _NOT_RUN, 4, True),
        ErrorKind.DEADLINE_BEFORE_START: ErrorSpec(504, _NOT_RUN, 4, True),
        ErrorKind.CANCELLED_BEFORE_START: ErrorSpec(499, _NOT_RUN, 4, True),
        ErrorKind.NO_TARGET: ErrorSpec(503, _NOT_RUN, 4, True),
        ErrorKind.BACKEND_REFUSED: ErrorSpec(503, _NOT_RUN, 4, True),
        ErrorKind.BACKEND_FAILED: ErrorSpec(502, _RAN, 5, False),
        ErrorKind.DEADLINE_AFTER_START: ErrorSpec(504, _UNKNOWN, 6, False),
        ErrorKind.OUTCOME_UNKNOWN: ErrorSpec(502, _UNKNOWN, 6, False),
        ErrorKind.TICKET_TOO_OLD: ErrorSpec(409, _UNKNOWN, 6, False),
        ErrorKind.BAD_SETTINGS: ErrorSpec(500, _NOT_RUN, 2, False),
        ErrorKind.BAD_CONFIG: ErrorSpec(400, _NOT_RUN, 2, False),
        ErrorKind.CONFIG_CONFLICT: ErrorSpec(409, _NOT_RUN, 7, False),
        ErrorKind.CONFIG_TOO_LARGE: ErrorSpec(413, _NOT_RUN, 2, False),
        ErrorKind.CONFIG_STALE: ErrorSpec(409, _NOT_RUN, 7, False),
        ErrorKind.STORE_UNAVAILABLE: ErrorSpec(503, _NOT_RUN, 8, True),
        ErrorKind.STORE_OUTCOME_UNKNOWN: ErrorSpec(504, _UNKNOWN, 6, False),
        ErrorKind.STORE_HISTORY_GONE: ErrorSpec(503, _NOT_RUN, 8, True),
        ErrorKind.INSTANCE_UNREACHABLE: ErrorSpec(503, _NOT_RUN, 8, True),
        ErrorKind.BAD_CERTIFICATE: ErrorSpec(500, _NOT_RUN, 2, False),
        ErrorKind.BAD_MESSAGE: ErrorSpec(400, _NOT_RUN, 2, False),
    }
)
