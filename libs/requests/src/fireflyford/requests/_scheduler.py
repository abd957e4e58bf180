"""Admission, placement and execution of requests.

The agent of each target of a service limits the requests that its backend
server runs at a time; a slot is the permission to run one. A request runs at
the target whose agent has received it, or is handed off to a peer, another
target of the service.
"""

import asyncio
from collections.abc import Collection
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
# A peer refuses a handoff whose request would wait longer than the sender
# expected, unless the additional wait is at most this fraction of the service
# time and so does not justify another round trip.
_WAIT_TOLERANCE_RATIO = 0.3


class DispatchState:
    """Whether a request may have run at a backend server.

    `may_have_run` is set before the first byte of the request is sent, and
    cleared if the outcome says that the request did not run.
    """

    def __init__(self) -> None:
        """Creates the state of a request that has not been sent."""
        self.may_have_run = False
        # Target of the latest attempt, empty before the first choice.
        self.target_id = ""


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
            # Reports are exchanged more often while requests run.
            lambda: self.slots.running_count > 0,
        )
        self._handoff_serials = itertools.count(1)
        self._draining = False
        # Load that the backend server reports, for the report to the peers.
        self.reported_load = 0.0
        self.handed_over_count = 0

    def drain(self) -> None:
        """Refuses new requests from now on."""
        self._draining = True

    def report(self) -> _targets.TargetReport:
        """Returns the current measurements of this target."""
        estimates = self.service_times
        short_service_ms = estimates.mean_ms(config.SizeClass.SHORT)
        long_service_ms = estimates.mean_ms(config.SizeClass.LONG)
        return _targets.TargetReport(
            target_id=self._target_id,
            incarnation=self._incarnation,
            clock_ms=self._clock.now_ms(),
            slot_count=self.slots.slot_count,
            idle_count=self.slots.idle_count,
            short_wait_ms=self._expected_wait_ms(
                config.SizeClass.SHORT, short_service_ms
            ),
            long_wait_ms=self._expected_wait_ms(
                config.SizeClass.LONG, long_service_ms
            ),
            short_ms=short_service_ms,
            long_ms=long_service_ms,
            failure_ratio=estimates.failure_ratio,
            utilization_ratio=self.slots.utilization(),
            short_load=self.slots.load(config.SizeClass.SHORT),
            long_load=self.slots.load(config.SizeClass.LONG),
            completed_count=estimates.completed_count,
            draining=self._draining,
            reported_load=self.reported_load,
        )

    def _expected_wait_ms(
        self, size: config.SizeClass, service_ms: float
    ) -> float:
        """Returns the expected wait of a request that arrives now.

        Args:
            size: Size class of the request; its other properties are defaults.
            service_ms: Expected service time of the request.
        """
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
        self, work: _work_item.WorkItem, dispatch_state: DispatchState
    ) -> core.Outcome[_work_item.Response]:
        """Runs a request at the target that the placement policy chooses.

        The local target is a candidate unless it is draining. A peer that is
        busier than it reported refuses immediately, and the policy chooses
        again. After `_MAX_PEER_REFUSALS` refusals the next choice is final.

        Args:
            work: The request.
            dispatch_state: Receives whether the request may have run.
        """
        refused: set[str] = set()
        while True:
            candidates = self.candidates(work, refused)
            if not candidates:
                return _draining_failure()
            chosen = self._placement.choose(candidates)
            dispatch_state.target_id = chosen.target_id
            peer = self.peers.get(chosen.target_id)
            if chosen.is_local or peer is None:
                return await self.run_locally(work, dispatch_state)
            is_final = len(refused) >= _MAX_PEER_REFUSALS
            outcome = await self._run_at_peer(
                peer, chosen, work, dispatch_state, is_final
            )
            if (
                dispatch_state.may_have_run
                or is_final
                or not _may_run_elsewhere(outcome)
            ):
                return outcome
            refused.add(chosen.target_id)

    def choose_idle(
        self, candidates: list[_targets.Candidate], excluded_id: str
    ) -> _targets.Candidate | None:
        """Returns a target where a request would start at once, if any.

        Args:
            candidates: All targets.
            excluded_id: Name of a target that is not chosen.
        """
        idle = [
            item
            for item in candidates
            if item.target_id != excluded_id and item.wait_ms <= 0
        ]
        return self._placement.choose(idle) if idle else None

    async def run_at(
        self, chosen: _targets.Candidate, work: _work_item.WorkItem
    ) -> core.Outcome[_work_item.Response]:
        """Runs a request at one target, which refuses it if it is busy."""
        state = DispatchState()
        peer = self.peers.get(chosen.target_id)
        if chosen.is_local or peer is None:
            return await self.run_locally(work, state, _max_wait_ms(chosen))
        return await self._run_at_peer(peer, chosen, work, state, False)

    def candidates(
        self, work: _work_item.WorkItem, refused: Collection[str] = ()
    ) -> list[_targets.Candidate]:
        """Returns the targets that accept requests.

        Args:
            work: The request.
            refused: Names of peers that have refused it.
        """
        local = [] if self._draining else [self._local_candidate(work)]
        peers = self.peers.candidates(work.treatment.size)
        return local + [c for c in peers if c.target_id not in refused]

    def _local_candidate(self, work: _work_item.WorkItem) -> _targets.Candidate:
        estimates = self.service_times
        size = work.treatment.size
        entry = self._queue.make_entry(
            work, estimates.expected_ms(work.treatment), self._clock.now_ms()
        )
        return _targets.Candidate(
            target_id=self._target_id,
            is_local=True,
            same_zone=True,
            hop_ms=0,
            slot_count=self.slots.slot_count,
            wait_ms=self.slots.expected_wait_ms(entry),
            service_ms=estimates.mean_ms(size),
            failure_ratio=estimates.failure_ratio,
            utilization_ratio=self.slots.utilization(),
            completed_count=estimates.completed_count,
            reported_load=self.reported_load,
        )

    async def _run_at_peer(
        self,
        peer: _targets.Peer,
        chosen: _targets.Candidate,
        work: _work_item.WorkItem,
        dispatch_state: DispatchState,
        is_final: bool,
    ) -> core.Outcome[_work_item.Response]:
        """Hands off a request to a peer if the admission policy allows it.

        Args:
            peer: The peer.
            chosen: State of the peer on which the choice was based.
            work: The request.
            dispatch_state: Receives whether the request may have run.
            is_final: Whether the peer may not refuse because of a longer wait.
        """
        now_ms = self._clock.now_ms()
        refusal = self.admission.check(
            work, chosen.wait_ms, chosen.service_ms, now_ms
        )
        if refusal is not None:
            return refusal
        handoff = _peers.Handoff(
            origin=self._incarnation,
            serial=next(self._handoff_serials),
            executor=peer.info.incarnation,
            stamp_ms=peer.clock_ms(now_ms),
            remaining_ms=work.deadline_ms - now_ms,
            max_wait_ms=_UNLIMITED_WAIT_MS
            if is_final
            else _max_wait_ms(chosen),
            work=work,
        )
        peer.record_handoff(now_ms, chosen.service_ms)
        self.handed_over_count += 1
        dispatch_state.may_have_run = True
        timeout_ms = handoff.remaining_ms + RESPONSE_GRACE_MS
        try:
            async with asyncio.timeout(timeout_ms / 1000):
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
        if _was_not_run(outcome):
            dispatch_state.may_have_run = False
            # The retry delay of a refusal serves as the expected wait there.
            if isinstance(outcome, core.Failure) and outcome.retry_after_ms:
                peer.record_refusal(
                    self._clock.now_ms(), outcome.retry_after_ms
                )
        return outcome

    async def run_locally(
        self,
        work: _work_item.WorkItem,
        dispatch_state: DispatchState,
        max_wait_ms: float = _UNLIMITED_WAIT_MS,
    ) -> core.Outcome[_work_item.Response]:
        """Runs a request at this target if it is admitted.

        Args:
            work: The request.
            dispatch_state: Receives whether the request may have run.
            max_wait_ms: Expected wait above which the request is refused.
        """
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
            return await self._execute(work, dispatch_state)
        finally:
            self.slots.release(entry)
            self._update_long_slot_limit()

    async def _execute(
        self, work: _work_item.WorkItem, dispatch_state: DispatchState
    ) -> core.Outcome[_work_item.Response]:
        """Runs a request that has a slot, and measures its service time."""
        start_ms = self._clock.now_ms()
        dispatch_state.may_have_run = True
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
        if _was_not_run(outcome):
            dispatch_state.may_have_run = False
        return outcome

    def _update_long_slot_limit(self) -> None:
        """Updates the number of slots that long requests may use here."""
        reports = {self._target_id: self.report()}
        for peer in self.peers.usable():
            if peer.report is not None:
                reports[peer.info.target_id] = peer.report
        self.slots.long_slot_limit = _slot_limits.long_slot_limit(
            self._target_id, reports
        )


def _max_wait_ms(chosen: _targets.Candidate) -> float:
    """Returns the expected wait above which a peer is to refuse a handoff."""
    return chosen.wait_ms + chosen.service_ms * _WAIT_TOLERANCE_RATIO


def _may_run_elsewhere(outcome: core.Outcome[_work_item.Response]) -> bool:
    """Returns whether another target may run a request with this outcome."""
    return isinstance(outcome, core.Failure) and outcome.kind in (
        core.ErrorKind.OVERLOADED,
        core.ErrorKind.DRAINING,
        core.ErrorKind.INSTANCE_UNREACHABLE,
        core.ErrorKind.BACKEND_REFUSED,
    )


def _was_not_run(outcome: core.Outcome[_work_item.Response]) -> bool:
    """Returns whether the request has certainly not run."""
    return (
        isinstance(outcome, core.Failure)
        and outcome.spec.execution is core.Execution.NOT_RUN
    )


def _draining_failure() -> core.Failure:
    return core.Failure(
        core.ErrorKind.DRAINING,
        "the target is draining and accepts no new requests",
    )
