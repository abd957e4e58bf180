"""State that an agent keeps about the targets of its service."""

import dataclasses

from fireflyford import config
from fireflyford import core

# Minimum age at which a report no longer describes a queue of short requests.
STALE_REPORT_MS = 600
# Time constant of the average slot utilization: long compared with a request,
# short compared with the 1 s over which imbalance is evaluated.
UTILIZATION_TIME_CONSTANT_MS = 300.0
# Peers refuse handoffs that are older than this.
HANDOFF_WINDOW_MS = 10_000


@dataclasses.dataclass(frozen=True)
class PeerInfo:
    """A peer target of the same service, from the membership view."""

    target_id: str
    address: core.Address
    incarnation: int
    availability_zone: str
    draining: bool = False


@dataclasses.dataclass(frozen=True)
class TargetReport:
    """Measurements of a target by its agent.

    Attributes:
        target_id: Name of the target.
        incarnation: Incarnation of its agent.
        clock_ms: Time of the report on the agent's clock.
        slot_count: Number of slots of the backend server.
        idle_count: Number of free slots.
        short_wait_ms: Expected wait of a new short request.
        long_wait_ms: Expected wait of a new long request.
        short_ms: Mean service time of short requests.
        long_ms: Mean service time of long requests.
        failure_ratio: Recent ratio of failures.
        utilization_ratio: Recent ratio of busy slots.
        short_load: Mean number of slots used by short requests.
        long_load: Mean number of slots used by long requests.
        completed_count: Requests completed since the start.
        draining: Whether it refuses new requests.
        reported_load: Load that the backend server reports itself.
    """

    target_id: str
    incarnation: int
    clock_ms: int
    slot_count: int
    idle_count: int
    short_wait_ms: float
    long_wait_ms: float
    short_ms: float
    long_ms: float
    failure_ratio: float
    utilization_ratio: float
    short_load: float
    long_load: float
    completed_count: int
    draining: bool
    reported_load: float = 0.0

    def service_ms(self, size: config.SizeClass) -> float:
        """Returns the expected service time of a size class."""
        if size is config.SizeClass.LONG:
            return self.long_ms
        return self.short_ms

    def wait_ms(self, size: config.SizeClass) -> float:
        """Returns the expected wait of a size class."""
        if size is config.SizeClass.LONG:
            return self.long_wait_ms
        return self.short_wait_ms


@dataclasses.dataclass(frozen=True)
class Candidate:
    """Input to the placement of one request: the state of one target.

    Attributes:
        target_id: Name of the target.
        is_local: Whether it is the target of this agent.
        same_zone: Whether it is in the availability zone of this agent.
        hop_ms: Round-trip time to the target.
        slot_count: Number of slots.
        wait_ms: Expected wait for a slot.
        service_ms: Mean service time.
        failure_ratio: Recent ratio of failures.
        utilization_ratio: Recent ratio of busy slots.
        completed_count: Requests completed since the start.
        reported_load: Load that the backend server reports itself.
    """

    target_id: str
    is_local: bool
    same_zone: bool
    hop_ms: float
    slot_count: int
    wait_ms: float
    service_ms: float
    failure_ratio: float
    utilization_ratio: float
    completed_count: int
    reported_load: float


class Peer:
    """A peer target, its last report and the handoffs sent to it since."""

    def __init__(self, info: PeerInfo) -> None:
        """Creates a peer that has not reported yet."""
        self.info = info
        self.report: TargetReport | None = None
        self.received_ms = 0
        self.outstanding_count = 0
        self._unreported_handoffs: list[tuple[int, float]] = []

    def update(
        self, report: TargetReport, requested_ms: int, now_ms: int
    ) -> None:
        """Replaces the report of the peer; ignores other incarnations.

        Args:
            report: The report.
            requested_ms: When it was requested; it includes the handoffs sent
                before.
            now_ms: When it arrived.
        """
        if report.incarnation != self.info.incarnation:
            return
        self.report = report
        self.received_ms = now_ms
        self._unreported_handoffs = [
            item
            for item in self._unreported_handoffs
            if item[0] >= requested_ms
        ]

    def record_handoff(self, now_ms: int, service_ms: float) -> None:
        """Records a handoff that the last report does not include."""
        self._unreported_handoffs.append((now_ms, service_ms))

    def record_refusal(self, now_ms: int, wait_ms: float) -> None:
        """Updates the expected wait from the refusal of a handoff."""
        if self.report is None:
            return
        age_ms = now_ms - self.received_ms
        # `candidate` subtracts the age of the report, so it is added here.
        self.report = dataclasses.replace(
            self.report,
            idle_count=0,
            short_wait_ms=wait_ms + age_ms,
            long_wait_ms=max(wait_ms + age_ms, self.report.long_wait_ms),
        )

    def clock_ms(self, now_ms: int) -> int:
        """Returns a lower bound of the current time on the peer's clock."""
        assert self.report is not None
        return self.report.clock_ms + now_ms - self.received_ms

    def is_usable(self, now_ms: int, max_age_ms: float) -> bool:
        """Returns whether new requests may be handed off to the peer.

        Args:
            now_ms: Time on the clock of this agent.
            max_age_ms: Maximum age of the report.
        """
        return (
            self.report is not None
            and not self.report.draining
            and not self.info.draining
            and now_ms - self.received_ms <= max_age_ms
        )

    def candidate(
        self, size: config.SizeClass, now_ms: int, same_zone: bool, hop_ms: int
    ) -> Candidate:
        """Returns the placement input for the peer as of `now_ms`."""
        report = self.report
        assert report is not None
        age_ms = now_ms - self.received_ms
        unreported_ms = sum(
            service_ms for _, service_ms in self._unreported_handoffs
        )
        free_count = max(0, report.idle_count - len(self._unreported_handoffs))
        wait_ms = report.wait_ms(size) - age_ms
        if not free_count:
            wait_ms += unreported_ms / report.slot_count
        # Handoffs that the report does not include yet will raise utilization.
        utilization_ratio = report.utilization_ratio
        utilization_ratio += (
            unreported_ms / report.slot_count / UTILIZATION_TIME_CONSTANT_MS
        )
        return Candidate(
            target_id=self.info.target_id,
            is_local=False,
            same_zone=same_zone,
            hop_ms=hop_ms,
            slot_count=report.slot_count,
            wait_ms=max(0.0, wait_ms),
            service_ms=report.service_ms(size),
            failure_ratio=report.failure_ratio,
            utilization_ratio=utilization_ratio,
            completed_count=report.completed_count,
            reported_load=report.reported_load,
        )
