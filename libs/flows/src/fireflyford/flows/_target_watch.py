"""What a backend server says of itself, in the order in which it said it."""

import dataclasses
import enum

from fireflyford import core
from fireflyford import telemetry
from fireflyford.flows import _keeper
from fireflyford.flows import _types

# A backend server that has been silent for this many report intervals is not
# offered new flows; a report may be lost and the next one late.
MISSED_REPORTS = 3.5


class TargetLiveness(enum.Enum):
    """What is known of a backend server when its agent is to end.

    ALIVE: it has reported since; another process of the agent follows.
    GONE: it has left, its port is closed, or it has been silent since. Silence
        before does not count: after a freeze, reports wait to be read.
    UNKNOWN: neither.
    """

    ALIVE = "lives"
    GONE = "gone"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class TargetReport:
    """One report of a backend server.

    Attributes:
        target_id: Name of the backend server; a new start may keep it.
        service: Its service.
        state: `READY` or `DRAINING`.
        slot_count: Requests that it works on at the same time.
        started_ms: Its start in ms since the Unix epoch.
        sequence: Increases with each report of one start.
    """

    target_id: str
    service: str
    state: _types.TargetState
    slot_count: int
    started_ms: int
    sequence: int


class TargetMonitor:
    """Follows the state of the backend server beside an agent."""

    def __init__(
        self,
        clock: core.Clock,
        service: str,
        forwarder: _keeper.TargetForwarder,
        report_interval_ms: int,
    ) -> None:
        """Starts without a report.

        Args:
            clock: Source of time.
            service: Service that the backend server must name.
            forwarder: Told of each change.
            report_interval_ms: How often the backend server reports.
        """
        self._clock = clock
        self._service = service
        self._keeper = forwarder
        self._silence_limit_ms = report_interval_ms * MISSED_REPORTS
        self._last: TargetReport | None = None
        self._heard_ms = clock.now_ms()
        self.has_left = False

    def record_report(self, report: TargetReport) -> None:
        """Takes a report, unless a later one is known."""
        last = self._last
        if report.service != self._service:
            telemetry.log(
                "foreign-report",
                target=report.target_id,
                service=report.service,
            )
            return
        order = (report.started_ms, report.sequence)
        if last is not None and order <= (last.started_ms, last.sequence):
            telemetry.log(
                "late-report",
                target=report.target_id,
                started_ms=report.started_ms,
                sequence=report.sequence,
            )
            return
        if last is not None and report.started_ms != last.started_ms:
            telemetry.log(
                "target-restarted",
                target=report.target_id,
                started_ms=report.started_ms,
            )
        elif last is not None and last.state is _types.TargetState.DRAINING:
            # A backend server does not come back from draining.
            report = dataclasses.replace(
                report, state=_types.TargetState.DRAINING
            )
        self._last = report
        self._keeper.record_keepalive()
        self._heard_ms = self._clock.now_ms()
        self.has_left = False
        self._keeper.update_state(report.state, report.slot_count)

    def record_leave(self, target_id: str) -> None:
        """Takes the backend server's word that it ends now."""
        if self._last is not None and target_id != self._last.target_id:
            telemetry.log("late-leave", target=target_id)
            return
        telemetry.log("target-left", target=target_id)
        self.has_left = True
        self._keeper.update_state(
            _types.TargetState.DRAINING, self._keeper.tracker.slot_count
        )

    def liveness(self, since_ms: int) -> TargetLiveness:
        """Returns what is known of the backend server.

        Args:
            since_ms: Reports before this time of the clock show nothing: the
                backend server may have ended after them.
        """
        if self.has_left or self._keeper.state is _types.TargetState.DOWN:
            return TargetLiveness.GONE
        if self._last is not None and self._heard_ms > since_ms:
            return TargetLiveness.ALIVE
        if self._clock.now_ms() - since_ms > self._silence_limit_ms:
            return TargetLiveness.GONE
        return TargetLiveness.UNKNOWN

    def sweep(self) -> None:
        """Offers no new flows to a backend server that is silent."""
        silent_ms = self._clock.now_ms() - self._heard_ms
        if (
            silent_ms > self._silence_limit_ms
            and self._keeper.state is _types.TargetState.READY
        ):
            telemetry.log("target-silent", silent_ms=silent_ms)
            self._keeper.update_state(
                _types.TargetState.UNKNOWN, self._keeper.tracker.slot_count
            )
