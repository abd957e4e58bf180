"""What an agent knows of the targets of its service."""

import dataclasses

from fireflyford import config
from fireflyford import core

# The least age at which a report says nothing about a queue of short work.
STALE_REPORT_MS = 600
# Use of slots is averaged over this period: long against a request, short
# against the second in which imbalance is judged.
UTILIZATION_PERIOD_MS = 300.0
# The peer handles handed-over work in this time or not at all.
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
    """An agent's own measurements.

    Attributes:
        target_id: Name of the target.
        incarnation: Incarnation of its agent.
        clock_ms: The agent's clock when it wrote the report.
        slot_count: Slots of the backend server.
        idle_count: Free slots.
        short_wait_ms: Expected wait of new short work.
        long_wait_ms: Expected wait of new long work.
        short_ms: Mean service time of short work.
        long_ms: Mean service time of long work.
        failure_ratio: Recent ratio of failures.
        utilization_ratio: Recent ratio of busy slots.
        short_load: Mean number of slots that short work holds.
        long_load: Mean number of slots that long work holds.
        completed_count: Requests completed since the start.
        draining: Whether it refuses new work.
        reported_load: What the backend server's own load endpoint says.
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
    """One target as placement sees it for one request.

    Attributes:
        target_id: Name of the target.
        is_local: Whether it is the agent's own target.
        same_zone: Whether it is in the agent's availability zone.
        hop_ms: Time for the way there and back.
        slot_count: Slots.
        wait_ms: Expected wait there.
        service_ms: Mean service time there.
        failure_ratio: Recent ratio of failures.
        utilization_ratio: Recent ratio of busy slots.
        completed_count: Requests completed since its start.
        reported_load: What the backend server's own load endpoint says.
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
    """A peer target: its last report and the work sent there since."""

    def __init__(self, info: PeerInfo) -> None:
        """Starts without a report."""
        self.info = info
        self.report: TargetReport | None = None
        self.received_ms = 0
        self.outstanding_count = 0
        self._sent_ms: list[tuple[int, float]] = []

    def update(self, report: TargetReport, asked_ms: int, now_ms: int) -> None:
        """Takes a newer report.

        Args:
            report: The report.
            asked_ms: When it was asked for; work handed over before that is
                part of it.
            now_ms: When it arrived.
        """
        if report.incarnation != self.info.incarnation:
            return
        self.report = report
        self.received_ms = now_ms
        self._sent_ms = [item for item in self._sent_ms if item[0] >= asked_ms]

    def record_sent(self, now_ms: int, service_ms: float) -> None:
        """Notes work that the last report does not include."""
        self._sent_ms.append((now_ms, service_ms))

    def record_refused(self, now_ms: int, wait_ms: float) -> None:
        """Takes the wait that the peer stated when it refused work."""
        if self.report is None:
            return
        age_ms = now_ms - self.received_ms
        # Reports are aged by the time since they came, so it is added here.
        self.report = dataclasses.replace(
            self.report,
            idle_count=0,
            short_wait_ms=wait_ms + age_ms,
            long_wait_ms=max(wait_ms + age_ms, self.report.long_wait_ms),
        )

    def clock_ms(self, now_ms: int) -> int:
        """Returns a time on the peer's clock that it has reached already."""
        assert self.report is not None
        return self.report.clock_ms + now_ms - self.received_ms

    def usable(self, now_ms: int, limit_ms: float) -> bool:
        """Returns whether new work may be handed over.

        Args:
            now_ms: Time on the own clock.
            limit_ms: Age at which a report is too old.
        """
        return (
            self.report is not None
            and not self.report.draining
            and not self.info.draining
            and now_ms - self.received_ms <= limit_ms
        )

    def candidate(
        self, size: config.SizeClass, now_ms: int, same_zone: bool, hop_ms: int
    ) -> Candidate:
        """Returns the peer as placement sees it, aged to `now_ms`."""
        report = self.report
        assert report is not None
        age_ms = now_ms - self.received_ms
        unseen_ms = sum(service_ms for _, service_ms in self._sent_ms)
        free = max(0, report.idle_count - len(self._sent_ms))
        wait_ms = report.wait_ms(size) - age_ms
        if not free:
            wait_ms += unseen_ms / report.slot_count
        # Work handed over since the report adds to the use that it will show.
        busy = report.utilization_ratio
        busy += unseen_ms / report.slot_count / UTILIZATION_PERIOD_MS
        return Candidate(
            target_id=self.info.target_id,
            is_local=False,
            same_zone=same_zone,
            hop_ms=hop_ms,
            slot_count=report.slot_count,
            wait_ms=max(0.0, wait_ms),
            service_ms=report.service_ms(size),
            failure_ratio=report.failure_ratio,
            utilization_ratio=busy,
            completed_count=report.completed_count,
            reported_load=report.reported_load,
        )
