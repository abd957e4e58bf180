"""The path of a request inside an agent, from its ticket to its outcome."""

import asyncio
from collections.abc import Coroutine
from collections.abc import Hashable
from collections.abc import Sequence
import dataclasses
import hashlib
from typing import Any

from fireflyford import core
from fireflyford.requests import _admission
from fireflyford.requests import _peers
from fireflyford.requests import _placement
from fireflyford.requests import _queue
from fireflyford.requests import _records
from fireflyford.requests import _scheduler
from fireflyford.requests import _speed
from fireflyford.requests import _targets
from fireflyford.requests import _tickets
from fireflyford.requests import _work_item

# Argument of a task's cancellation when the connection broke but the caller
# has not asked to stop: ticketed work goes on, so that its outcome is there
# when the ticket comes again.
CONNECTION_LOST = "connection-lost"


class RequestEngine:
    """Decides about the requests of one target."""

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
        """Prepares the engine of one target.

        Args:
            clock: Source of time.
            executor: Runs work on the backend server.
            slot_count: Requests that may run at a time, at least 1.
            placement: Chooses among targets.
            info: What peers see of this target.
            channel: Reaches peers; None for a target alone.
            queue: Order of waiting work; `AdmissionQueue` by default.
            admission: Early refusal; `ExpectedWait` by default.
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
            # An empty queue is false, so `or` would replace it.
            _queue.FairQueue(slot_count) if queue is None else queue,
            admission or _admission.ExpectedWaitAdmission(),
        )
        self.records = _records.RequestRecords(
            clock, _tickets.TICKET_RETENTION_MS
        )
        self.handoff_records = _records.RequestRecords(
            clock, _targets.HANDOFF_WINDOW_MS
        )
        self._tasks: dict[
            Hashable, asyncio.Task[core.Outcome[_work_item.Response]]
        ] = {}
        self.in_flight_count = 0

    @property
    def pending_count(self) -> int:
        """Recorded work without an outcome, that of peers included."""
        return len(self._tasks)

    def drain(self) -> None:
        """Refuses new work from now on."""
        self.scheduler.drain()

    def set_peers(self, infos: Sequence[_targets.PeerInfo]) -> None:
        """Takes the peer targets of a new view."""
        self.scheduler.peers.replace(infos)

    def relative_speed(self) -> float:
        """Returns this target's service rate over its service's median."""
        reports = [
            peer.report
            for peer in self.scheduler.peers.usable()
            if peer.report is not None
        ]
        return _speed.relative_speed(self.scheduler.report(), reports)

    def status(self) -> dict[str, object]:
        """Returns the state of admission for status pages."""
        scheduler = self.scheduler
        return {
            "report": dataclasses.asdict(scheduler.report()),
            "running_count": scheduler.slots.running_count,
            "queued_count": scheduler.slots.queued_count,
            "long_allowance": scheduler.slots.long_slot_limit,
            "admitted_count": scheduler.admission.admitted_count,
            "refused_count": scheduler.admission.refused_count,
            "wait_correction_ratio": scheduler.admission.correction,
            "handed_over_count": scheduler.handed_over_count,
            "record_count": len(self.records),
            "dropped_record_count": self.records.dropped_count,
            "usable_peers": [
                peer.info.target_id for peer in scheduler.peers.usable()
            ],
        }

    async def submit(
        self, work: _work_item.WorkItem, ticket: _tickets.Ticket | None = None
    ) -> core.Outcome[_work_item.Response]:
        """Answers one request of a caller.

        Args:
            work: The request.
            ticket: Its ticket; needed unless the work is idempotent.
        """
        self.in_flight_count += 1
        try:
            if work.treatment.idempotent:
                return await self.scheduler.place(work, _scheduler.Dispatch())
            if ticket is None:
                return core.Failure(
                    core.ErrorKind.TICKET_REQUIRED,
                    "send the request again with the ticket of this answer",
                )
            if self.issuer.is_issuer_of(ticket):
                return await self._submit_own(work, ticket)
            return await self._submit_to_issuer(work, ticket)
        finally:
            self.in_flight_count -= 1

    async def _submit_own(
        self, work: _work_item.WorkItem, ticket: _tickets.Ticket
    ) -> core.Outcome[_work_item.Response]:
        claimed = self.records.begin(
            ticket.serial, ticket.issued_ms, _fingerprint(work)
        )
        if isinstance(claimed, core.Failure):
            return claimed
        record = claimed.value.record
        if claimed.value.first:
            dispatch = _scheduler.Dispatch()
            run = self.scheduler.place(work, dispatch)
            self._start(self.records, record, run, dispatch)
        return await self._follow(record, work, owner=claimed.value.first)

    async def _submit_to_issuer(
        self, work: _work_item.WorkItem, ticket: _tickets.Ticket
    ) -> core.Outcome[_work_item.Response]:
        if ticket.issuer == self.issuer.address:
            return _unknown("the issuer of the ticket has been restarted")
        limit_ms = (
            work.deadline_ms - self._clock.now_ms() + _scheduler.REPLY_GRACE_MS
        )
        try:
            async with asyncio.timeout(max(0, limit_ms) / 1000):
                outcome = await self._channel.present(
                    ticket.issuer, ticket, work
                )
        except TimeoutError:
            return _unknown("the issuer of the ticket did not answer in time")
        if (
            isinstance(outcome, core.Failure)
            and outcome.kind is core.ErrorKind.INSTANCE_UNREACHABLE
        ):
            return _unknown("the issuer of the ticket cannot be reached")
        return outcome

    def accept_report(
        self, report: _targets.TargetReport
    ) -> _targets.TargetReport:
        """Takes a peer's report and returns the own one."""
        self.scheduler.peers.accept(report)
        return self.scheduler.report()

    async def accept_presented(
        self, ticket: _tickets.Ticket, work: _work_item.WorkItem
    ) -> core.Outcome[_work_item.Response]:
        """Answers a ticket that a caller presented at a peer."""
        if not self.issuer.is_issuer_of(ticket):
            return _unknown("the ticket is of another incarnation")
        return await self.submit(work, ticket)

    async def accept_handoff(
        self, handoff: _peers.Handoff
    ) -> core.Outcome[_work_item.Response]:
        """Runs work that a peer hands over, unless it is a copy.

        The answer is that of this incarnation only: work meant for an earlier
        one may have run there.
        """
        if handoff.executor != self.issuer.incarnation:
            return _unknown("the work was meant for another incarnation")
        claimed = self.handoff_records.begin(
            handoff.key, handoff.stamp_ms, _fingerprint(handoff.work)
        )
        if isinstance(claimed, core.Failure):
            return _unknown("the hand-over is too old")
        record = claimed.value.record
        if claimed.value.first:
            work = dataclasses.replace(
                handoff.work,
                arrived_ms=self._clock.now_ms(),
                deadline_ms=handoff.stamp_ms + handoff.remaining_ms,
            )
            dispatch = _scheduler.Dispatch()
            run = self.scheduler.run_here(work, dispatch, handoff.max_wait_ms)
            self._start(self.handoff_records, record, run, dispatch)
        return await record.wait()

    def cancel_handoff(self, key: tuple[int, int]) -> None:
        """Cancels work that a peer handed over."""
        task = self._tasks.get(key)
        if task is not None:
            task.cancel()

    def _start(
        self,
        records: _records.RequestRecords,
        record: _records.RequestRecord,
        run: Coroutine[Any, Any, core.Outcome[_work_item.Response]],
        dispatch: _scheduler.Dispatch,
    ) -> None:
        """Runs recorded work in a task of its own, whoever waits for it."""
        task = asyncio.create_task(run)
        self._tasks[record.key] = task

        # A callback, because a task cancelled before its first step never
        # reaches its own `finally`.
        def settle(
            done: asyncio.Task[core.Outcome[_work_item.Response]],
        ) -> None:
            self._tasks.pop(record.key, None)
            records.finish(record, _settled(done, dispatch))

        task.add_done_callback(settle)

    async def _follow(
        self,
        record: _records.RequestRecord,
        work: _work_item.WorkItem,
        owner: bool,
    ) -> core.Outcome[_work_item.Response]:
        """Waits for a recorded outcome; its owner may cancel the work."""
        limit_ms = (
            work.deadline_ms
            - self._clock.now_ms()
            + 2 * _scheduler.REPLY_GRACE_MS
        )
        try:
            async with asyncio.timeout(max(0, limit_ms) / 1000):
                return await record.wait()
        except TimeoutError:
            return core.Failure(
                core.ErrorKind.DEADLINE_AFTER_START,
                "the first copy of the request is still running",
            )
        except asyncio.CancelledError as error:
            task = self._tasks.get(record.key)
            lost = error.args[:1] == (CONNECTION_LOST,)
            if owner and not lost and task is not None:
                task.cancel()
            raise

    def close(self) -> None:
        """Ends all tasks of the engine."""
        self.scheduler.peers.close()
        for task in list(self._tasks.values()):
            task.cancel()


def _fingerprint(work: _work_item.WorkItem) -> bytes:
    digest = hashlib.blake2s(digest_size=16)
    for part in (work.method.encode(), work.path.encode(), work.body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.digest()


def _settled(
    task: "asyncio.Task[core.Outcome[_work_item.Response]]",
    dispatch: _scheduler.Dispatch,
) -> core.Outcome[_work_item.Response]:
    if not task.cancelled():
        error = task.exception()
        return task.result() if error is None else _unknown(repr(error))
    if dispatch.started:
        return _unknown("cancelled after the work was dispatched")
    return core.Failure(
        core.ErrorKind.CANCELLED_BEFORE_START, "cancelled before a slot"
    )


def _unknown(message: str) -> core.Failure:
    return core.Failure(core.ErrorKind.OUTCOME_UNKNOWN, message)
