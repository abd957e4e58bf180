"""Peer targets: handoff of requests and exchange of reports."""

import abc
import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

from fireflyford import config
from fireflyford import core
from fireflyford.requests import _targets
from fireflyford.requests import _tickets
from fireflyford.requests import _work_item

# One report in each direction plus 52 bytes of IP and TCP headers for each of
# three segments, counted at both ends.
EXCHANGE_BYTES = 500
# Heartbeats use up to 440 of the 3,000 bytes per second that a node may spend
# on control traffic.
REPORT_BUDGET_BYTES_PER_S = 2_000
# Exchanges need not be more frequent: responses to handoffs carry reports too,
# so the targets that receive requests are known more precisely than from the
# exchanges alone.
MIN_EXCHANGE_INTERVAL_MS = 50
# Exchanges are less frequent by this factor while both targets are idle.
IDLE_INTERVAL_FACTOR = 4
_EXCHANGE_TIMEOUT_MS = 1_000
# One-way delays in the deployments are below 1 ms; a handoff costs a message in
# each direction and one iteration of two event loops.
SAME_ZONE_HOP_MS = 2
_CROSS_ZONE_HOP_MS = 4


@dataclasses.dataclass(frozen=True)
class Handoff:
    """A request that one agent hands off to another.

    Attributes:
        origin: Incarnation of the agent that sends the handoff.
        serial: Sequence number of the handoff at the origin.
        executor: The only incarnation that may run the request.
        stamp_ms: Lower bound of the time of the handoff, on the executor's
            clock.
        remaining_ms: Time from the handoff to the deadline.
        max_wait_ms: Expected wait above which the peer refuses, because the
            origin decided on an outdated report.
        work: The request.
    """

    origin: int
    serial: int
    executor: int
    stamp_ms: int
    remaining_ms: int
    max_wait_ms: float
    work: _work_item.WorkItem

    @property
    def key(self) -> tuple[int, int]:
        """Unique key of the handoff."""
        return (self.origin, self.serial)


class PeerChannel(abc.ABC):
    """Carries handoffs and reports between agents of one service.

    Messages may be duplicated or delayed. `INSTANCE_UNREACHABLE` means that the
    message was certainly not sent; every uncertain case is `OUTCOME_UNKNOWN`.
    """

    _report_listener: Callable[[_targets.TargetReport], None] | None = None

    def on_report(
        self, listener: Callable[[_targets.TargetReport], None]
    ) -> None:
        """Registers the listener for reports carried by responses."""
        self._report_listener = listener

    def notify_report(self, report: _targets.TargetReport | None) -> None:
        """Notifies the listener of the report in a response, if any."""
        if report is not None and self._report_listener is not None:
            self._report_listener(report)

    @abc.abstractmethod
    async def execute(
        self, address: core.Address, handoff: Handoff
    ) -> core.Outcome[_work_item.Response]:
        """Hands off a request to a peer and waits for the outcome."""

    @abc.abstractmethod
    async def present(
        self,
        address: core.Address,
        ticket: _tickets.Ticket,
        work: _work_item.WorkItem,
    ) -> core.Outcome[_work_item.Response]:
        """Forwards a request to the issuer of its ticket and waits."""

    @abc.abstractmethod
    async def exchange(
        self, address: core.Address, report: _targets.TargetReport
    ) -> core.Outcome[_targets.TargetReport]:
        """Sends the report of this agent and returns that of the peer."""

    @abc.abstractmethod
    def cancel(self, address: core.Address, key: tuple[int, int]) -> None:
        """Cancels a handoff at a peer."""


class NullPeerChannel(PeerChannel):
    """Channel of a target without peers; every call fails."""

    async def execute(
        self, address: core.Address, handoff: Handoff
    ) -> core.Outcome[_work_item.Response]:
        """Returns `INSTANCE_UNREACHABLE`."""
        return _unreachable(address)

    async def present(
        self,
        address: core.Address,
        ticket: _tickets.Ticket,
        work: _work_item.WorkItem,
    ) -> core.Outcome[_work_item.Response]:
        """Returns `INSTANCE_UNREACHABLE`."""
        return _unreachable(address)

    async def exchange(
        self, address: core.Address, report: _targets.TargetReport
    ) -> core.Outcome[_targets.TargetReport]:
        """Returns `INSTANCE_UNREACHABLE`."""
        return _unreachable(address)

    def cancel(self, address: core.Address, key: tuple[int, int]) -> None:
        """Does nothing."""


def _unreachable(address: core.Address) -> core.Failure:
    return core.Failure(
        core.ErrorKind.INSTANCE_UNREACHABLE,
        f"this target has no channel to the peer at {address}",
    )


class PeerTable:
    """Peers of one target, with one report exchange task for each."""

    def __init__(
        self,
        clock: core.Clock,
        channel: PeerChannel,
        target_id: str,
        availability_zone: str,
        make_report: Callable[[], _targets.TargetReport],
        is_active: Callable[[], bool],
    ) -> None:
        """Creates an empty table.

        Args:
            clock: Source of time.
            channel: Carries reports.
            target_id: Name of the local target.
            availability_zone: Availability zone of the local target.
            make_report: Returns the report of the local target.
            is_active: Returns whether requests are running, which needs
                recent reports.
        """
        self._clock = clock
        self._channel = channel
        self._target_id = target_id
        self._zone = availability_zone
        self._make_report = make_report
        self._is_active = is_active
        self._peers: dict[str, _targets.Peer] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        channel.on_report(self.record_report)

    @property
    def interval_ms(self) -> float:
        """Interval of exchanges with one peer that fits the byte budget."""
        bytes_per_round = EXCHANGE_BYTES * len(self._peers)
        budget_ms = bytes_per_round / REPORT_BUDGET_BYTES_PER_S * 1_000
        return max(MIN_EXCHANGE_INTERVAL_MS, budget_ms)

    @property
    def max_report_age_ms(self) -> float:
        """Age at which a report no longer describes the queue of a peer."""
        return max(_targets.STALE_REPORT_MS, 3 * self.interval_ms)

    def replace(self, infos: Sequence[_targets.PeerInfo]) -> None:
        """Sets the peers to those of a new view; needs a running event loop."""
        infos_by_id = {info.target_id: info for info in infos}
        for target_id in list(self._peers):
            if target_id not in infos_by_id:
                self._remove(target_id)
        for info in infos:
            current = self._peers.get(info.target_id)
            if current is not None and _same_incarnation(current.info, info):
                current.info = info
                continue
            self._remove(info.target_id)
            peer = _targets.Peer(info)
            self._peers[info.target_id] = peer
            self._tasks[info.target_id] = asyncio.create_task(
                self._exchange_reports(peer)
            )

    def _remove(self, target_id: str) -> None:
        self._peers.pop(target_id, None)
        task = self._tasks.pop(target_id, None)
        if task is not None:
            task.cancel()

    def close(self) -> None:
        """Cancels all exchange tasks."""
        self.replace(())

    def get(self, target_id: str) -> _targets.Peer | None:
        """Returns the peer of that name, if there is one."""
        return self._peers.get(target_id)

    def usable(self) -> list[_targets.Peer]:
        """Returns the peers that accept new requests."""
        now_ms = self._clock.now_ms()
        max_age_ms = self.max_report_age_ms
        return [
            p for p in self._peers.values() if p.is_usable(now_ms, max_age_ms)
        ]

    def candidates(self, size: config.SizeClass) -> list[_targets.Candidate]:
        """Returns the placement input for the usable peers."""
        now_ms = self._clock.now_ms()
        candidates = []
        for peer in self.usable():
            same_zone = peer.info.availability_zone == self._zone
            hop_ms = SAME_ZONE_HOP_MS if same_zone else _CROSS_ZONE_HOP_MS
            candidates.append(peer.candidate(size, now_ms, same_zone, hop_ms))
        return candidates

    def record_report(self, report: _targets.TargetReport) -> None:
        """Records a report received from a peer."""
        peer = self._peers.get(report.target_id)
        if peer is not None:
            now_ms = self._clock.now_ms()
            peer.update(report, now_ms - SAME_ZONE_HOP_MS, now_ms)

    def _should_request(self, peer: _targets.Peer) -> bool:
        """Returns whether this side of the pair starts the exchange.

        The target with the lower name does; the other one takes over when no
        report has arrived for `IDLE_INTERVAL_FACTOR` intervals.
        """
        if self._target_id < peer.info.target_id:
            return True
        age_ms = self._clock.now_ms() - peer.received_ms
        return (
            peer.report is None
            or age_ms > IDLE_INTERVAL_FACTOR * self.interval_ms
        )

    async def _exchange_reports(self, peer: _targets.Peer) -> None:
        while True:
            active = self._is_active()
            if not self._should_request(peer):
                await self._clock.sleep(self.interval_ms)
                continue
            requested_ms = self._clock.now_ms()
            try:
                async with asyncio.timeout(_EXCHANGE_TIMEOUT_MS / 1000):
                    outcome = await self._channel.exchange(
                        peer.info.address, self._make_report()
                    )
            except TimeoutError:
                continue
            if isinstance(outcome, core.Ok):
                peer.update(outcome.value, requested_ms, self._clock.now_ms())
                active = active or outcome.value.utilization_ratio > 0
            factor = 1 if active else IDLE_INTERVAL_FACTOR
            await self._clock.sleep(factor * self.interval_ms)


def _same_incarnation(
    current: _targets.PeerInfo, info: _targets.PeerInfo
) -> bool:
    return current.incarnation == info.incarnation and (
        current.address == info.address
    )
