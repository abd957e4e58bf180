"""Peer targets: hand-over of work and exchange of measurements."""

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

# A report each way, with 52 bytes of IP and TCP header for each of three
# segments, as both ends count it.
EXCHANGE_BYTES = 500
# Heartbeats need up to 440 of the 3,000 bytes a second that a node may spend
# on control.
REPORT_BUDGET_BYTES_PER_S = 2_000
# Answers to handed-over work bring reports as well, so that the targets that
# get work are known better than by the exchanges alone.
LEAST_INTERVAL_MS = 50
IDLE_FACTOR = 4
_EXCHANGE_LIMIT_MS = 1_000
# One-way delays of the deployments are below 1 ms; a hand-over costs a
# message each way and a turn of two event loops.
HOP_MS = 2
_OTHER_ZONE_HOP_MS = 4


@dataclasses.dataclass(frozen=True)
class Handoff:
    """Work that one agent hands to another.

    Attributes:
        origin: Incarnation of the agent that hands over.
        serial: Number of the hand-over at the origin.
        executor: Incarnation that shall run it, and no other.
        stamp_ms: Time on the executor's clock that had been reached when the
            work was handed over.
        remaining_ms: Time to the deadline at that moment.
        max_wait_ms: Expected wait above which the peer refuses, because
            the origin has decided on an outdated report.
        work: The work.
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
        """Identity of the hand-over."""
        return (self.origin, self.serial)


class PeerChannel(abc.ABC):
    """Carries work and reports between agents of one service.

    Copies of a message may arrive twice or late. `INSTANCE_UNREACHABLE` means
    that the message has certainly not been sent; every doubt is
    `OUTCOME_UNKNOWN`.
    """

    _report_listener: Callable[[_targets.TargetReport], None] | None = None

    def on_report(
        self, listener: Callable[[_targets.TargetReport], None]
    ) -> None:
        """Calls `listener` with the reports that answers bring."""
        self._report_listener = listener

    def notify_report(self, report: _targets.TargetReport | None) -> None:
        """Passes on the report that came with an answer, if any."""
        if report is not None and self._report_listener is not None:
            self._report_listener(report)

    @abc.abstractmethod
    async def execute(
        self, address: core.Address, handoff: Handoff
    ) -> core.Outcome[_work_item.Response]:
        """Hands work to a peer and waits for the outcome."""

    @abc.abstractmethod
    async def present(
        self,
        address: core.Address,
        ticket: _tickets.Ticket,
        work: _work_item.WorkItem,
    ) -> core.Outcome[_work_item.Response]:
        """Presents a ticket to its issuer and waits for the outcome."""

    @abc.abstractmethod
    async def exchange(
        self, address: core.Address, report: _targets.TargetReport
    ) -> core.Outcome[_targets.TargetReport]:
        """Sends the own report and returns that of the peer."""

    @abc.abstractmethod
    def cancel(self, address: core.Address, key: tuple[int, int]) -> None:
        """Tells a peer that handed-over work is no longer wanted."""


class NullPeerChannel(PeerChannel):
    """Channel of a target that has no peers."""

    async def execute(
        self, address: core.Address, handoff: Handoff
    ) -> core.Outcome[_work_item.Response]:
        """Reaches nobody."""
        return _no_peer(address)

    async def present(
        self,
        address: core.Address,
        ticket: _tickets.Ticket,
        work: _work_item.WorkItem,
    ) -> core.Outcome[_work_item.Response]:
        """Reaches nobody."""
        return _no_peer(address)

    async def exchange(
        self, address: core.Address, report: _targets.TargetReport
    ) -> core.Outcome[_targets.TargetReport]:
        """Reaches nobody."""
        return _no_peer(address)

    def cancel(self, address: core.Address, key: tuple[int, int]) -> None:
        """Reaches nobody."""


def _no_peer(address: core.Address) -> core.Failure:
    return core.Failure(
        core.ErrorKind.INSTANCE_UNREACHABLE, f"no channel to {address}"
    )


class PeerTable:
    """Peers of one target, one exchange task for each."""

    def __init__(
        self,
        clock: core.Clock,
        channel: PeerChannel,
        target_id: str,
        availability_zone: str,
        make_report: Callable[[], _targets.TargetReport],
        is_active: Callable[[], bool],
    ) -> None:
        """Prepares an empty table.

        Args:
            clock: Source of time.
            channel: Carries reports.
            target_id: Name of the own target.
            availability_zone: Zone of the own target.
            make_report: Returns the own report.
            is_active: Whether there is work, so that reports must be fresh.
        """
        self._clock = clock
        self._channel = channel
        self._target_id = target_id
        self._zone = availability_zone
        self._make_report = make_report
        self._is_active = is_active
        self._peers: dict[str, _targets.Peer] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        channel.on_report(self.accept)

    @property
    def interval_ms(self) -> float:
        """Time between two exchanges with one peer, within the budget."""
        bytes_per_round = EXCHANGE_BYTES * len(self._peers)
        budget_ms = bytes_per_round / REPORT_BUDGET_BYTES_PER_S * 1_000
        return max(LEAST_INTERVAL_MS, budget_ms)

    @property
    def stale_ms(self) -> float:
        """Age at which a report says nothing about a queue any more."""
        return max(_targets.STALE_REPORT_MS, 3 * self.interval_ms)

    def replace(self, infos: Sequence[_targets.PeerInfo]) -> None:
        """Takes the peers of a new view; needs a running event loop."""
        wanted = {info.target_id: info for info in infos}
        for target_id in list(self._peers):
            if target_id not in wanted:
                self._remove(target_id)
        for info in infos:
            known = self._peers.get(info.target_id)
            if known is not None and _same_incarnation(known.info, info):
                known.info = info
                continue
            self._remove(info.target_id)
            peer = _targets.Peer(info)
            self._peers[info.target_id] = peer
            self._tasks[info.target_id] = asyncio.create_task(
                self._exchange(peer)
            )

    def _remove(self, target_id: str) -> None:
        self._peers.pop(target_id, None)
        task = self._tasks.pop(target_id, None)
        if task is not None:
            task.cancel()

    def close(self) -> None:
        """Ends all exchanges."""
        self.replace(())

    def get(self, target_id: str) -> _targets.Peer | None:
        """Returns a peer by name."""
        return self._peers.get(target_id)

    def usable(self) -> list[_targets.Peer]:
        """Returns the peers that take new work."""
        now_ms = self._clock.now_ms()
        limit_ms = self.stale_ms
        return [p for p in self._peers.values() if p.usable(now_ms, limit_ms)]

    def candidates(self, size: config.SizeClass) -> list[_targets.Candidate]:
        """Returns the usable peers as placement sees them."""
        now_ms = self._clock.now_ms()
        found = []
        for peer in self.usable():
            same_zone = peer.info.availability_zone == self._zone
            hop_ms = HOP_MS if same_zone else _OTHER_ZONE_HOP_MS
            found.append(peer.candidate(size, now_ms, same_zone, hop_ms))
        return found

    def accept(self, report: _targets.TargetReport) -> None:
        """Takes the report of a peer that asked for the own one."""
        peer = self._peers.get(report.target_id)
        if peer is not None:
            now_ms = self._clock.now_ms()
            peer.update(report, now_ms - HOP_MS, now_ms)

    def _must_ask(self, peer: _targets.Peer) -> bool:
        """Returns whether to ask; one side of each pair is enough."""
        if self._target_id < peer.info.target_id:
            return True
        age_ms = self._clock.now_ms() - peer.received_ms
        return peer.report is None or age_ms > IDLE_FACTOR * self.interval_ms

    async def _exchange(self, peer: _targets.Peer) -> None:
        while True:
            active = self._is_active()
            if not self._must_ask(peer):
                await self._clock.sleep(self.interval_ms)
                continue
            asked_ms = self._clock.now_ms()
            try:
                async with asyncio.timeout(_EXCHANGE_LIMIT_MS / 1000):
                    outcome = await self._channel.exchange(
                        peer.info.address, self._make_report()
                    )
            except TimeoutError:
                continue
            if isinstance(outcome, core.Ok):
                peer.update(outcome.value, asked_ms, self._clock.now_ms())
                active = active or outcome.value.utilization_ratio > 0
            factor = 1 if active else IDLE_FACTOR
            await self._clock.sleep(factor * self.interval_ms)


def _same_incarnation(
    known: _targets.PeerInfo, info: _targets.PeerInfo
) -> bool:
    return known.incarnation == info.incarnation and (
        known.address == info.address
    )
