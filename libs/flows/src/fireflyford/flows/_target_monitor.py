"""State of a backend server from its own reports."""

import dataclasses
import enum

from fireflyford import core
from fireflyford import telemetry
from fireflyford.flows import _target_forwarder
from fireflyford.flows import _types

# Time without a report, in report intervals, after which a backend server gets
# no new flows; a report may be lost and the next one late.
REPORT_TIMEOUT_INTERVALS = 3.5
# A backend server and its agent that start within this time of each other have
# both been lost, by a power cut for example.
JOINT_START_MS = 3_000


class TargetLiveness(enum.Enum):
    """Liveness of a backend server while its agent shuts down.

    ALIVE: it has sent a report since the shutdown began, so another process of
        the agent will follow.
    GONE: it has left, its port is closed, or its reports have timed out since
        the shutdown began. Time before that does not count: after a freeze of
        the agent, reports may still be waiting to be read.
    UNKNOWN: neither is known yet.
    """

    ALIVE = "lives"
    GONE = "gone"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class TargetReport:
    """One report of a backend server.

    Attributes:
        target_id: Name of the backend server, which may survive a restart.
        service: Service of the backend server.
        state: `READY` or `DRAINING`.
        slot_count: Requests that it processes concurrently.
        started_ms: Start time in ms since the Unix epoch.
        sequence: Increases with each report since that start.
        warmup_left_ms: How long it stays cold, 0 if it is warm.
    """

    target_id: str
    service: str
    state: _types.TargetState
    slot_count: int
    started_ms: int
    sequence: int
    warmup_left_ms: int = 0


class TargetMonitor:
    """Tracks the state of the backend server of an agent."""

    def __init__(
        self,
        clock: core.Clock,
        service: str,
        forwarder: _target_forwarder.TargetForwarder,
        report_interval_ms: int,
    ) -> None:
        """Initializes a monitor without a report.

        Args:
            clock: Source of time.
            service: Service that reports must name.
            forwarder: Notified of each change.
            report_interval_ms: Interval between reports.
        """
        self._clock = clock
        self._service = service
        self._forwarder = forwarder
        self._report_timeout_ms = report_interval_ms * REPORT_TIMEOUT_INTERVALS
        self._last: TargetReport | None = None
        self._last_report_ms = clock.now_ms()
        self.has_left = False

    def record_report(self, report: TargetReport) -> None:
        """Records a report, unless a later one is known."""
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
            self._forwarder.record_restart()
        elif last is not None and last.state is _types.TargetState.DRAINING:
            # A backend server cannot leave the draining state.
            report = dataclasses.replace(
                report, state=_types.TargetState.DRAINING
            )
        self._last = report
        self._forwarder.record_keepalive()
        self._last_report_ms = self._clock.now_ms()
        self.has_left = False
        self._forwarder.warm_up.record_report(
            report.warmup_left_ms, report.started_ms
        )
        self._forwarder.update_state(report.state, report.slot_count)

    def record_leave(self, target_id: str) -> None:
        """Records that the backend server announced its shutdown."""
        if self._last is not None and target_id != self._last.target_id:
            telemetry.log("late-leave", target=target_id)
            return
        telemetry.log("target-left", target=target_id)
        self.has_left = True
        self._forwarder.update_state(
            _types.TargetState.DRAINING, self._forwarder.tracker.slot_count
        )

    def liveness(self, since_ms: int) -> TargetLiveness:
        """Returns the liveness of the backend server.

        Args:
            since_ms: Time on the clock before which reports are ignored, as
                the backend server may have stopped after them.
        """
        if self.has_left or self._forwarder.state is _types.TargetState.DOWN:
            return TargetLiveness.GONE
        if self._last is not None and self._last_report_ms > since_ms:
            return TargetLiveness.ALIVE
        if self._clock.now_ms() - since_ms > self._report_timeout_ms:
            return TargetLiveness.GONE
        return TargetLiveness.UNKNOWN

    def has_started_near(self, wall_ms: int) -> bool:
        """Returns whether the backend server started at about a time of day."""
        return (
            self._last is not None
            and abs(self._last.started_ms - wall_ms) <= JOINT_START_MS
        )

    def sweep(self) -> None:
        """Stops new flows to a backend server that no longer sends reports."""
        report_age_ms = self._clock.now_ms() - self._last_report_ms
        if (
            report_age_ms > self._report_timeout_ms
            and self._forwarder.state is _types.TargetState.READY
        ):
            telemetry.log("target-silent", silent_ms=report_age_ms)
            self._forwarder.update_state(
                _types.TargetState.UNKNOWN, self._forwarder.tracker.slot_count
            )
