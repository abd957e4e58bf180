"""Processing of requests in an agent, from the ticket to the outcome.

A request that may run only once needs a ticket. The agent that issued the
ticket keeps a record of the request and answers repetitions from it; any other
agent forwards the request to the issuer. Independently of that, the scheduler
runs a request at the local target or hands it off to a peer, another target of
the service, which keeps a record of the handoff.
"""

import asyncio
from collections.abc import Coroutine
from collections.abc import Hashable
from collections.abc import Sequence
import dataclasses
import hashlib
from typing import Any

from fireflyford import core
from fireflyford.requests import _admission
from fireflyford.requests import _hedging
from fireflyford.requests import _peers
from fireflyford.requests import _placement
from fireflyford.requests import _queue
from fireflyford.requests import _records
from fireflyford.requests import _scheduler
from fireflyford.requests import _second_attempts
from fireflyford.requests import _speed
from fireflyford.requests import _targets
from fireflyford.requests import _tickets
from fireflyford.requests import _work_item

# Argument of `task.cancel` for a request whose connection was lost. The caller
# has not cancelled it, so a request with a ticket keeps running and its outcome
# is available when the ticket is presented again.
CONNECTION_LOST = "connection-lost"


class RequestEngine:
    """Deduplicates, admits, places and runs the requests of one target."""

    def __init__(
        self,
        clock: core.Clock,
        executor: _work_item.Executor,
        slot_count: int,
        placement: _placement.Placement,
        info: _targets.PeerInfo,
        channel: _peers.PeerChannel | None = None,
        queue: _queue.WorkQueue | None = None,
        admission: _admission.AdmissionPolicy | None = None,
    ) -> None:
        """Creates the engine of one target.

        Args:
            clock: Source of time.
            executor: Runs requests on the backend server.
            slot_count: Maximum number of concurrent requests, at least 1.
            placement: Policy that chooses the target of a request.
            info: Identity of this target as its peers see it.
            channel: Channel to the peers; None for a target without peers.
            queue: Queue of waiting requests; `FairQueue` by default.
            admission: Admission policy; `ExpectedWaitAdmission` by default.
        """
        self._clock = clock
        self._channel = _peers.NullPeerChannel() if channel is None else channel
        self.issuer = _tickets.TicketIssuer(
            clock, info.address, info.incarnation
        )
        self.scheduler = _scheduler.Scheduler(
            clock,
            executor,
            slot_count,
            placement,
            info,
            self._channel,
            # An empty queue is falsy, so `or` would replace it.
            _queue.FairQueue(slot_count) if queue is None else queue,
            admission or _admission.ExpectedWaitAdmission(),
        )
        # Decides about second attempts of requests that may be repeated.
        self.second_attempts = _hedging.SecondAttempts()
        self._attempt_runner = _second_attempts.AttemptRunner(
            clock, self.scheduler, self.second_attempts
        )
        # Requests with tickets of this agent, by serial number of the ticket.
        self.records = _records.RequestRecords(
            clock, _tickets.TICKET_RETENTION_MS
        )
        # Requests that peers have handed off to this target, by handoff key.
        self.handoff_records = _records.RequestRecords(
            clock, _targets.HANDOFF_WINDOW_MS
        )
        # Tasks of the recorded requests that have no outcome yet.
        self._tasks_by_key: dict[
            Hashable, asyncio.Task[core.Outcome[_work_item.Response]]
        ] = {}
        # Number of requests in `submit`.
        self.in_flight_count = 0

    @property
    def pending_count(self) -> int:
        """Number of recorded requests without an outcome, handoffs included."""
        return len(self._tasks_by_key)

    def drain(self) -> None:
        """Refuses new requests from now on."""
        self.scheduler.drain()

    def set_peers(self, infos: Sequence[_targets.PeerInfo]) -> None:
        """Sets the peers to those of a new membership view."""
        self.scheduler.peers.replace(infos)

    def relative_speed(self) -> float:
        """Returns the service rate relative to the median of all targets."""
        reports = [
            peer.report
            for peer in self.scheduler.peers.usable()
            if peer.report is not None
        ]
        return _speed.relative_speed(self.scheduler.report(), reports)

    def status(self) -> dict[str, object]:
        """Returns the `admission` section of the status page."""
        scheduler = self.scheduler
        return {
            "report": dataclasses.asdict(scheduler.report()),
            "running_count": scheduler.slots.running_count,
            "queued_count": scheduler.slots.queued_count,
            "long_allowance": scheduler.slots.long_slot_limit,
            "admitted_count": scheduler.admission.admitted_count,
            "refused_count": scheduler.admission.refused_count,
            "wait_correction_ratio": scheduler.admission.wait_correction_ratio,
            "handed_over_count": scheduler.handed_over_count,
            "second_attempts": self.second_attempts.status(),
            "record_count": len(self.records),
            "dropped_record_count": self.records.dropped_count,
            "usable_peers": [
                peer.info.target_id for peer in scheduler.peers.usable()
            ],
        }

    async def submit(
        self, work: _work_item.WorkItem, ticket: _tickets.Ticket | None = None
    ) -> core.Outcome[_work_item.Response]:
        """Processes one request of a caller and returns its outcome.

        Args:
            work: The request.
            ticket: Its ticket, issued by this or another agent; required
                unless the request is idempotent.
        """
        self.in_flight_count += 1
        try:
            if work.treatment.idempotent:
                return await self._attempt_runner.run(work)
            if ticket is None:
                return core.Failure(
                    core.ErrorKind.TICKET_REQUIRED,
                    "repeat the request with the ticket of this response",
                )
            if self.issuer.is_issuer_of(ticket):
                return await self._submit_as_issuer(work, ticket)
            return await self._submit_to_issuer(work, ticket)
        finally:
            self.in_flight_count -= 1

    async def _submit_as_issuer(
        self, work: _work_item.WorkItem, ticket: _tickets.Ticket
    ) -> core.Outcome[_work_item.Response]:
        """Starts a request, or waits for the outcome if it is a repetition."""
        claimed = self.records.begin(
            ticket.serial, ticket.issued_ms, _fingerprint(work)
        )
        if isinstance(claimed, core.Failure):
            return claimed
        record = claimed.value.record
        if claimed.value.first:
            dispatch_state = _scheduler.DispatchState()
            run = self.scheduler.place(work, dispatch_state)
            self._start_task(self.records, record, run, dispatch_state)
        return await self._await_outcome(
            record, work, is_first=claimed.value.first
        )

    async def _submit_to_issuer(
        self, work: _work_item.WorkItem, ticket: _tickets.Ticket
    ) -> core.Outcome[_work_item.Response]:
        """Forwards a request to the agent that issued its ticket."""
        if ticket.issuer == self.issuer.address:
            return _unknown_outcome(
                "the agent that issued the ticket has restarted"
            )
        timeout_ms = (
            work.deadline_ms
            - self._clock.now_ms()
            + _scheduler.RESPONSE_GRACE_MS
        )
        try:
            async with asyncio.timeout(max(0, timeout_ms) / 1000):
                outcome = await self._channel.present(
                    ticket.issuer, ticket, work
                )
        except TimeoutError:
            return _unknown_outcome(
                "the agent that issued the ticket did not respond in time"
            )
        if (
            isinstance(outcome, core.Failure)
            and outcome.kind is core.ErrorKind.INSTANCE_UNREACHABLE
        ):
            return _unknown_outcome(
                "the agent that issued the ticket is unreachable"
            )
        return outcome

    def accept_report(
        self, report: _targets.TargetReport
    ) -> _targets.TargetReport:
        """Records the report of a peer and returns that of this target."""
        self.scheduler.peers.record_report(report)
        return self.scheduler.report()

    async def accept_presented(
        self, ticket: _tickets.Ticket, work: _work_item.WorkItem
    ) -> core.Outcome[_work_item.Response]:
        """Processes a request that a peer forwards to its ticket's issuer."""
        if not self.issuer.is_issuer_of(ticket):
            return _unknown_outcome(
                "the ticket was issued by another incarnation of the agent"
            )
        return await self.submit(work, ticket)

    async def accept_handoff(
        self, handoff: _peers.Handoff
    ) -> core.Outcome[_work_item.Response]:
        """Runs a request that a peer hands off, unless it is a duplicate.

        A handoff to another incarnation has an unknown outcome, since the
        request may have run there.
        """
        if handoff.executor != self.issuer.incarnation:
            return _unknown_outcome(
                "the handoff was sent to another incarnation of the agent"
            )
        claimed = self.handoff_records.begin(
            handoff.key, handoff.stamp_ms, _fingerprint(handoff.work)
        )
        if isinstance(claimed, core.Failure):
            return _unknown_outcome(
                "the handoff is too old to tell whether it ran"
            )
        record = claimed.value.record
        if claimed.value.first:
            work = dataclasses.replace(
                handoff.work,
                arrived_ms=self._clock.now_ms(),
                # The stamp is the peer's estimate of this agent's clock.
                deadline_ms=handoff.stamp_ms + handoff.remaining_ms,
            )
            dispatch_state = _scheduler.DispatchState()
            run = self.scheduler.run_locally(
                work, dispatch_state, handoff.max_wait_ms
            )
            self._start_task(self.handoff_records, record, run, dispatch_state)
        return await record.wait()

    def cancel_handoff(self, key: tuple[int, int]) -> None:
        """Cancels a request that a peer handed off.

        Args:
            key: Key of the handoff.
        """
        task = self._tasks_by_key.get(key)
        if task is not None:
            task.cancel()

    def _start_task(
        self,
        records: _records.RequestRecords,
        record: _records.RequestRecord,
        run: Coroutine[Any, Any, core.Outcome[_work_item.Response]],
        dispatch_state: _scheduler.DispatchState,
    ) -> None:
        """Runs a recorded request in a task independent of its waiters.

        Args:
            records: Table that the record belongs to.
            record: Record of the request, which receives the outcome.
            run: Runs the request.
            dispatch_state: Updated by `run`; tells after a cancellation
                whether the request may have run.
        """
        task = asyncio.create_task(run)
        self._tasks_by_key[record.key] = task

        # Set in a callback because a task that is cancelled before its first
        # step never reaches a `finally` block.
        def record_outcome(
            finished: asyncio.Task[core.Outcome[_work_item.Response]],
        ) -> None:
            self._tasks_by_key.pop(record.key, None)
            records.finish(record, _task_outcome(finished, dispatch_state))

        task.add_done_callback(record_outcome)

    async def _await_outcome(
        self,
        record: _records.RequestRecord,
        work: _work_item.WorkItem,
        is_first: bool,
    ) -> core.Outcome[_work_item.Response]:
        """Waits for a recorded outcome.

        Args:
            record: Record of the request.
            work: The request, or a repetition of it.
            is_first: Whether `work` is the request itself. If so, cancelling
                the wait cancels the request, unless only the connection was
                lost.
        """
        # A run at a peer may itself take a grace period beyond the deadline.
        timeout_ms = (
            work.deadline_ms
            - self._clock.now_ms()
            + 2 * _scheduler.RESPONSE_GRACE_MS
        )
        try:
            async with asyncio.timeout(max(0, timeout_ms) / 1000):
                return await record.wait()
        except TimeoutError:
            return core.Failure(
                core.ErrorKind.DEADLINE_AFTER_START,
                "the original request is still running",
            )
        except asyncio.CancelledError as error:
            task = self._tasks_by_key.get(record.key)
            connection_lost = error.args[:1] == (CONNECTION_LOST,)
            if is_first and not connection_lost and task is not None:
                task.cancel()
            raise

    def close(self) -> None:
        """Cancels all tasks of the engine."""
        self.scheduler.peers.close()
        for task in list(self._tasks_by_key.values()):
            task.cancel()


def _fingerprint(work: _work_item.WorkItem) -> bytes:
    """Returns a digest of the content, which repetitions must match."""
    digest = hashlib.blake2s(digest_size=16)
    for part in (work.method.encode(), work.path.encode(), work.body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.digest()


def _task_outcome(
    task: "asyncio.Task[core.Outcome[_work_item.Response]]",
    dispatch_state: _scheduler.DispatchState,
) -> core.Outcome[_work_item.Response]:
    """Returns the outcome of a request whose task has ended."""
    if not task.cancelled():
        error = task.exception()
        return task.result() if error is None else _unknown_outcome(repr(error))
    if dispatch_state.may_have_run:
        return _unknown_outcome("cancelled after the request was dispatched")
    return core.Failure(
        core.ErrorKind.CANCELLED_BEFORE_START,
        "cancelled before the request got a slot",
    )


def _unknown_outcome(message: str) -> core.Failure:
    return core.Failure(core.ErrorKind.OUTCOME_UNKNOWN, message)
