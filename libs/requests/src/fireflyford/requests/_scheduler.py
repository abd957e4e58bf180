"""Admission, placement and execution of requests."""

import asyncio
import itertools

from fireflyford import config
from fireflyford import core
from fireflyford.requests import _admission
from fireflyford.requests import _peers
from fireflyford.requests import _placement
from fireflyford.requests import _queue
from fireflyford.requests import _service_times
from fireflyford.requests import _slot_limits
from fireflyford.requests import _slots
from fireflyford.requests import _targets
from fireflyford.requests import _work_item

# Time after the deadline in which the response of a peer is still accepted.
RESPONSE_GRACE_MS = 200
# Each refusal costs a round trip of about 2 ms.
_MAX_PEER_REFUSALS = 2
_UNLIMITED_WAIT_MS = 1e9
# Additional waits up to this fraction of the service time do not justify
# another round trip.
_WAIT_TOLERANCE_RATIO = 0.3


class DispatchState:
    """Whether a request may have run.

    `started` is set before the first byte of the request is sent.
    """

    def __init__(self) -> None:
        """Creates the state of a request that has not been sent."""
        self.started = False


class Scheduler:
    """Runs requests on the slots of one target or hands them off to peers."""

    def __init__(
        self,
        clock: core.Clock,
        executor: _work_item.Executor,
        slot_count: int,
        placement: _placement.Placement,
        info: _targets.PeerInfo,
        channel: _peers.PeerChannel,
        queue: _queue.WorkQueue,
        admission: _admission.AdmissionPolicy,
    ) -> None:
        """Creates the scheduler of one target.

        Args:
            clock: Source of time.
            executor: Runs requests on the backend server.
            slot_count: Maximum number of concurrent requests, at least 1.
            placement: Policy that chooses the target of a request.
            info: Identity of this target as its peers see it.
            channel: Channel to the peers.
            queue: Queue of waiting requests.
            admission: Policy that refuses requests which would wait too long.
        """
        self._clock = clock
        self._executor = executor
        self._placement = placement
        self._target_id = info.target_id
        self._incarnation = info.incarnation
        self._channel = channel
        self._queue = queue
        self.slots = _slots.SlotPool(clock, queue, slot_count)
        self.admission = admission
        self.service_times = _service_times.ServiceTimeEstimates()
        self.peers = _peers.PeerTable(
            clock,
            channel,
            info.target_id,
            info.availability_zone,
            self.report,
            lambda: self.slots.running_count > 0,
        )
        self._handoff_serial = itertools.count(1)
        self._draining = False
        self.reported_load = 0.0
        self.handed_over_count = 0

    def drain(self) -> None:
        """Refuses new requests from now on."""
        self._draining = True

    def report(self) -> _targets.TargetReport:
        """Returns the current measurements of this target."""
        times = self.service_times
        short_ms = times.mean_ms(config.SizeClass.SHORT)
        long_ms = times.mean_ms(config.SizeClass.LONG)
        return _targets.TargetReport(
            target_id=self._target_id,
            incarnation=self._incarnation,
            clock_ms=self._clock.now_ms(),
            slot_count=self.slots.slot_count,
            idle_count=self.slots.idle_count,
            short_wait_ms=self._wait_ms(config.SizeClass.SHORT, short_ms),
            long_wait_ms=self._wait_ms(config.SizeClass.LONG, long_ms),
            short_ms=short_ms,
            long_ms=long_ms,
            failure_ratio=times.failure_ratio,
            utilization_ratio=self.slots.utilization(),
            short_load=self.slots.load(config.SizeClass.SHORT),
            long_load=self.slots.load(config.SizeClass.LONG),
            completed_count=times.completed_count,
            draining=self._draining,
            reported_load=self.reported_load,
        )

    def _wait_ms(self, size: config.SizeClass, service_ms: float) -> float:
        """Returns the expected wait of a request that arrives now."""
        now_ms = self._clock.now_ms()
        treatment = config.Treatment(
            name="", method="", path_prefix="", size=size
        )
        work = _work_item.WorkItem(
            "", treatment, "", "", b"", "", now_ms, now_ms
        )
        entry = self._queue.make_entry(work, service_ms, now_ms)
        return self.slots.expected_wait_ms(entry)

    async def place(
        self, work: _work_item.WorkItem, dispatch: DispatchState
    ) -> core.Outcome[_work_item.Response]:
        """Runs a request at the target that the placement policy chooses.

        A peer that is busier than it reported refuses immediately, and the
        policy chooses again. After `_MAX_PEER_REFUSALS` refusals the next
        choice is final.
        """
        refused: set[str] = set()
        while True:
            candidates = self._candidates(work, refused)
            if not candidates:
                return _draining_failure()
            chosen = self._placement.choose(candidates)
            peer = self.peers.get(chosen.target_id)
            if chosen.is_local or peer is None:
                return await self.run_locally(work, dispatch)
            is_final = len(refused) >= _MAX_PEER_REFUSALS
            outcome = await self._run_at_peer(
                peer, chosen, work, dispatch, is_final
            )
            if dispatch.started or is_final or not _may_run_elsewhere(outcome):
                return outcome
            refused.add(chosen.target_id)

    def _candidates(
        self, work: _work_item.WorkItem, refused: set[str]
    ) -> list[_targets.Candidate]:
        local = [] if self._draining else [self._local_candidate(work)]
        peers = self.peers.candidates(work.treatment.size)
        return local + [c for c in peers if c.target_id not in refused]

    def _local_candidate(self, work: _work_item.WorkItem) -> _targets.Candidate:
        times = self.service_times
        size = work.treatment.size
        entry = self._queue.make_entry(
            work, times.expected_ms(work.treatment), self._clock.now_ms()
        )
        return _targets.Candidate(
            target_id=self._target_id,
            is_local=True,
            same_zone=True,
            hop_ms=0,
            slot_count=self.slots.slot_count,
            wait_ms=self.slots.expected_wait_ms(entry),
            service_ms=times.mean_ms(size),
            failure_ratio=times.failure_ratio,
            utilization_ratio=self.slots.utilization(),
            completed_count=times.completed_count,
            reported_load=self.reported_load,
        )

    async def _run_at_peer(
        self,
        peer: _targets.Peer,
        chosen: _targets.Candidate,
        work: _work_item.WorkItem,
        dispatch: DispatchState,
        is_final: bool,
    ) -> core.Outcome[_work_item.Response]:
        now_ms = self._clock.now_ms()
        refusal = self.admission.check(
            work, chosen.wait_ms, chosen.service_ms, now_ms
        )
        if refusal is not None:
            return refusal
        handoff = _peers.Handoff(
            origin=self._incarnation,
            serial=next(self._handoff_serial),
            executor=peer.info.incarnation,
            stamp_ms=peer.clock_ms(now_ms),
            remaining_ms=work.deadline_ms - now_ms,
            max_wait_ms=_UNLIMITED_WAIT_MS
            if is_final
            else _wait_limit_ms(chosen),
            work=work,
        )
        peer.record_handoff(now_ms, chosen.service_ms)
        self.handed_over_count += 1
        dispatch.started = True
        limit_ms = handoff.remaining_ms + RESPONSE_GRACE_MS
        try:
            async with asyncio.timeout(limit_ms / 1000):
                outcome = await self._channel.execute(
                    peer.info.address, handoff
                )
        except TimeoutError:
            self._channel.cancel(peer.info.address, handoff.key)
            return core.Failure(
                core.ErrorKind.DEADLINE_AFTER_START,
                "the peer target did not respond before the deadline",
            )
        except asyncio.CancelledError:
            self._channel.cancel(peer.info.address, handoff.key)
            raise
        if _is_not_run(outcome):
            dispatch.started = False
            if isinstance(outcome, core.Failure) and outcome.retry_after_ms:
                peer.record_refusal(
                    self._clock.now_ms(), outcome.retry_after_ms
                )
        return outcome

    async def run_locally(
        self,
        work: _work_item.WorkItem,
        dispatch: DispatchState,
        max_wait_ms: float = _UNLIMITED_WAIT_MS,
    ) -> core.Outcome[_work_item.Response]:
        """Runs a request at this target if it is admitted."""
        if self._draining:
            return _draining_failure()
        now_ms = self._clock.now_ms()
        expected_ms = self.service_times.expected_ms(work.treatment)
        entry = self._queue.make_entry(work, expected_ms, now_ms)
        wait_ms = self.slots.expected_wait_ms(entry)
        if wait_ms > max_wait_ms:
            return core.Failure(
                core.ErrorKind.OVERLOADED,
                "the target is busier than it last reported",
                retry_after_ms=round(wait_ms),
            )
        refusal = self.admission.check(work, wait_ms, expected_ms, now_ms)
        if refusal is None:
            refusal = await self.slots.acquire(entry)
        if refusal is not None:
            return refusal
        self.admission.record_wait(wait_ms, self._clock.now_ms() - now_ms)
        try:
            return await self._execute(work, dispatch)
        finally:
            self.slots.release(entry)
            self._update_long_slot_limit()

    async def _execute(
        self, work: _work_item.WorkItem, dispatch: DispatchState
    ) -> core.Outcome[_work_item.Response]:
        start_ms = self._clock.now_ms()
        dispatch.started = True
        try:
            async with asyncio.timeout((work.deadline_ms - start_ms) / 1000):
                outcome = await self._executor.execute(work)
        except TimeoutError:
            self.service_times.record_failure()
            return core.Failure(
                core.ErrorKind.DEADLINE_AFTER_START,
                "the backend server did not respond before the deadline",
            )
        if isinstance(outcome, core.Ok):
            elapsed_ms = self._clock.now_ms() - start_ms
            self.service_times.record_success(work.treatment, elapsed_ms)
        else:
            self.service_times.record_failure()
        if _is_not_run(outcome):
            dispatch.started = False
        return outcome

    def _update_long_slot_limit(self) -> None:
        reports = {self._target_id: self.report()}
        for peer in self.peers.usable():
            if peer.report is not None:
                reports[peer.info.target_id] = peer.report
        self.slots.long_slot_limit = _slot_limits.long_slot_limit(
            self._target_id, reports
        )


def _wait_limit_ms(chosen: _targets.Candidate) -> float:
    return chosen.wait_ms + chosen.service_ms * _WAIT_TOLERANCE_RATIO


def _may_run_elsewhere(outcome: core.Outcome[_work_item.Response]) -> bool:
    """Returns whether another target may run a request with this outcome."""
    return isinstance(outcome, core.Failure) and outcome.kind in (
        core.ErrorKind.OVERLOADED,
        core.ErrorKind.DRAINING,
        core.ErrorKind.INSTANCE_UNREACHABLE,
        core.ErrorKind.BACKEND_REFUSED,
    )


def _is_not_run(outcome: core.Outcome[_work_item.Response]) -> bool:
    return (
        isinstance(outcome, core.Failure)
        and outcome.spec.execution is core.Execution.NOT_RUN
    )


def _draining_failure() -> core.Failure:
    return core.Failure(
        core.ErrorKind.DRAINING,
        "the target is draining and accepts no new requests",
    )
