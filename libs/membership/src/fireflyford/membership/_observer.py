"""Observation of members by a balancer: updates and failure detection.

Members are agents and balancers. Rendezvous hashing ranks the balancers for
each member. The highest are its candidates, and the first of these are its
observers, to which it sends heartbeats. An observer answers with updates, which
carry the records of other members that the member needs and lacks. Before it
declares a silent member dead, it asks the other candidates and the member.
"""

import asyncio
from collections.abc import Sequence
import dataclasses
import enum
import random

from fireflyford import core
from fireflyford import telemetry
from fireflyford.membership import _channel
from fireflyford.membership import _gossip
from fireflyford.membership import _mass_failure
from fireflyford.membership import _messages
from fireflyford.membership import _needed_records
from fireflyford.membership import _observation
from fireflyford.membership import _rendezvous
from fireflyford.membership import _table
from fireflyford.membership import _types

# Three heartbeat intervals. A backend server that pauses for a second must not
# be declared dead.
FAILURE_TIMEOUT_MS = 1_500
# Interval of liveness queries about a silent member; replies from other regions
# take tens of milliseconds.
_QUERY_INTERVAL_MS = 150
_QUERY_ATTEMPTS = 3
_ASSIGNMENT_ROUND_INTERVAL_MS = 500
# One in this many heartbeats is acknowledged if no update is due. Answering
# every heartbeat would increase control traffic by a third.
_HEARTBEATS_PER_ANSWER = 4
# Rendezvous hashing alone assigns 27 members to the busiest of 590 balancers,
# 1.7 times the mean. A balancer that observes this ratio of the mean number of
# members, plus the slack, refuses further members, which then use their next
# candidate.
_LOAD_BOUND_RATIO = 1.25
_LOAD_BOUND_SLACK = 1
# Time that a member needs to detect that its observers have failed and to
# switch to the next candidates.
_TAKEOVER_GRACE_MS = 3_000
# Ranking 590 balancers for one member takes about 0.3 ms, so a joining balancer
# spreads the rankings for 4,000 agents over about 30 s.
_RANKINGS_PER_ROUND = 64
# A timer that fires this late shows that this process was paused or starved of
# CPU time; the delay must not count as silence of the observed members.
_LATE_WAKEUP_MS = 250
# Interval of probes of members whose death is not confirmed.
_UNCONFIRMED_PROBE_INTERVAL_MS = 1_000


class _ConfirmationResult(enum.Enum):
    """Result of an attempt to confirm that a member is silent.

    Attributes:
        REACHABLE: The member has sent a heartbeat to this observer.
        REACHABLE_ELSEWHERE: Another candidate receives its heartbeats.
        UNREACHABLE: Neither is the case.
    """

    REACHABLE = enum.auto()
    REACHABLE_ELSEWHERE = enum.auto()
    UNREACHABLE = enum.auto()


class Observer:
    """Receives heartbeats, sends updates, and declares silent members dead."""

    def __init__(
        self,
        clock: core.Clock,
        rng: random.Random,
        channel: _channel.Channel,
        table: _table.MemberTable,
        gossip: _gossip.Gossip,
        mass_failure: _mass_failure.MassFailureDetector,
    ) -> None:
        """Prepares the observer; `run` starts it.

        Args:
            clock: Source of time.
            rng: Source of the first sequence number of each observation.
            channel: Sends messages to members.
            table: Records of all members that this balancer knows.
            gossip: Sends newly accepted records to other balancers.
            mass_failure: Names the members whose death is not confirmed,
                because many targets were declared dead at once.
        """
        self._clock = clock
        self._rng = rng
        self._channel = channel
        self._table = table
        self._gossip = gossip
        self._mass_failure = mass_failure
        self._assignments = _rendezvous.ObserverAssignments()
        self._observations: dict[str, _observation.Observation] = {}
        # Candidates of each member found to be reachable elsewhere. It is not
        # observed again until it sends a heartbeat or its candidates change.
        self._observed_elsewhere: dict[str, tuple[str, ...]] = {}
        # None until `run`, which starts the tasks of earlier observations.
        self._task_group: asyncio.TaskGroup | None = None
        # Change count of the table for which the assignment is complete.
        self._assigned_change_count = -1
        table.on_accept(self._handle_accepted_record)

    async def run(self) -> None:
        """Observes the members assigned to this balancer until cancelled."""
        async with asyncio.TaskGroup() as task_group:
            self._task_group = task_group
            for observation in self._observations.values():
                task_group.create_task(self._monitor(observation))
            task_group.create_task(self._probe_unconfirmed())
            while True:
                self._assign_members()
                await self._clock.sleep(_ASSIGNMENT_ROUND_INTERVAL_MS)

    def receive_heartbeat(
        self, address: core.Address, heartbeat: _messages.Heartbeat
    ) -> None:
        """Handles a heartbeat with only the fingerprint and record version."""
        member = self._table.find_by_fingerprint(heartbeat.fingerprint)
        if member is None or member.version < heartbeat.version:
            self._acknowledge(address, _messages.HeartbeatStatus.UNKNOWN_MEMBER)
            return
        if member.version > heartbeat.version or not member.is_live:
            # The sender then replaces the known record by a higher version.
            self._send_correction(
                address, (), (_messages.RecordChange.from_member(member),)
            )
        if member.is_live:
            self._observe_or_refuse(member, address, heartbeat.acknowledged)

    def receive_announcement(
        self, address: core.Address, announcement: _messages.Announcement
    ) -> None:
        """Handles a heartbeat with the sender's full record."""
        member = announcement.member
        tombstone = self._table.find_tombstone(member)
        known = self._table.members.get(member.instance_id)
        if tombstone is not None:
            self._send_correction(address, (), (tombstone,))
        elif known is not None and known.order > member.order:
            # A change applies only to the incarnation that it was made for, so
            # an older incarnation is sent the full record of its successor.
            same_incarnation = known.incarnation == member.incarnation
            self._send_correction(
                address,
                () if same_incarnation else (known,),
                (_messages.RecordChange.from_member(known),)
                if same_incarnation
                else (),
            )
        else:
            self._table.merge([member])
            self._gossip.flush()
            if member.is_live:
                self._observe_or_refuse(
                    member, address, announcement.acknowledged
                )

    def receive_query(
        self, address: core.Address, query: _messages.LivenessQuery
    ) -> None:
        """Replies to another observer whether a member is reachable here."""
        member = self._table.find_by_fingerprint(query.fingerprint)
        reachable = member is not None and self._is_reachable(
            member.instance_id
        )
        self._channel.send(
            address, _messages.LivenessReply(query.fingerprint, reachable)
        )

    def receive_reply(
        self, address: core.Address, reply: _messages.LivenessReply
    ) -> None:
        """Records the reply to a query of this observer."""
        member = self._table.find_by_fingerprint(reply.fingerprint)
        if member is not None and member.instance_id in self._observations:
            replies = self._observations[member.instance_id].replies
            replies[address] = reply.reachable

    @property
    def observed_count(self) -> int:
        """Number of members that this balancer observes."""
        return len(self._observations)

    def _observe_or_refuse(
        self,
        member: _types.Member,
        address: core.Address,
        acknowledged_sequence: int,
    ) -> None:
        """Records and answers a heartbeat; refuses new members at capacity."""
        if (
            member.instance_id not in self._observations
            and self._is_at_capacity()
        ):
            self._acknowledge(address, _messages.HeartbeatStatus.REFUSED)
            return
        observation = self._record_heartbeat(
            member, address, acknowledged_sequence
        )
        self._answer_heartbeat(observation, member)

    def _is_at_capacity(self) -> bool:
        """Returns whether this balancer refuses to observe further members."""
        balancer_count = len(self._table.observing_balancers())
        # With so few balancers, each is a candidate of every member.
        if balancer_count <= _rendezvous.CANDIDATE_COUNT:
            return False
        mean_count = (
            _rendezvous.OBSERVER_COUNT * self._table.live_count / balancer_count
        )
        bound = _LOAD_BOUND_RATIO * mean_count + _LOAD_BOUND_SLACK
        return len(self._observations) >= bound

    def _is_reachable(self, instance_id: str) -> bool:
        """Returns whether a heartbeat has arrived within the timeout."""
        observation = self._observations.get(instance_id)
        if observation is None or not observation.received_heartbeat:
            return False
        silent_ms = self._clock.now_ms() - observation.silent_since_ms
        return silent_ms < FAILURE_TIMEOUT_MS

    def _record_heartbeat(
        self,
        member: _types.Member,
        address: core.Address,
        acknowledged_sequence: int,
    ) -> _observation.Observation:
        now_ms = self._clock.now_ms()
        observation = self._observe(member, now_ms)
        observation.address = address
        observation.apply_heartbeat(now_ms, acknowledged_sequence)
        self._observed_elsewhere.pop(member.instance_id, None)
        return observation

    def _observe(
        self, member: _types.Member, silent_since_ms: int
    ) -> _observation.Observation:
        """Returns the observation of a member; starts it if there is none.

        Args:
            member: The member.
            silent_since_ms: Time from which the failure timeout of a new
                observation counts.
        """
        name = member.instance_id
        observation = self._observations.get(name)
        if observation is None:
            observation = _observation.Observation(
                name, member.control_address, silent_since_ms, self._rng
            )
            self._observations[name] = observation
            if self._task_group is not None:
                self._task_group.create_task(self._monitor(observation))
        return observation

    async def _monitor(self, observation: _observation.Observation) -> None:
        """Monitors a member until it is not live or is observed elsewhere."""
        name = observation.instance_id
        while self._is_live(name):
            silent_ms = self._clock.now_ms() - observation.silent_since_ms
            if silent_ms < FAILURE_TIMEOUT_MS:
                await self._sleep(observation, FAILURE_TIMEOUT_MS - silent_ms)
                continue
            result = await self._confirm_silence(observation)
            if result is _ConfirmationResult.UNREACHABLE:
                self._declare_dead(observation)
            # A member that only answers probes has switched to other observers.
            elif (
                result is _ConfirmationResult.REACHABLE_ELSEWHERE
                or observation.only_answers_probes()
            ):
                self._observed_elsewhere[name] = self._assignments.candidates(
                    name
                )
                break
        if self._observations.get(name) is observation:
            del self._observations[name]

    async def _sleep(
        self, observation: _observation.Observation, duration_ms: int
    ) -> None:
        """Sleeps; does not count a late wake-up as silence of the member."""
        start_ms = self._clock.now_ms()
        await self._clock.sleep(duration_ms)
        late_ms = self._clock.now_ms() - start_ms - duration_ms
        if late_ms > _LATE_WAKEUP_MS:
            observation.silent_since_ms += late_ms

    async def _confirm_silence(
        self, observation: _observation.Observation
    ) -> _ConfirmationResult:
        """Queries the other candidates and probes the member itself.

        Returns:
            Whether and where the member is reachable.
        """
        others = self._other_candidate_addresses(observation.instance_id)
        observation.replies.clear()
        silent_since_ms = observation.silent_since_ms
        for _ in range(_QUERY_ATTEMPTS):
            member = self._table.members.get(observation.instance_id)
            if member is None:
                # The record was removed, which ends the observation.
                return _ConfirmationResult.REACHABLE
            for address in others - observation.replies.keys():
                self._channel.send(
                    address, _messages.LivenessQuery(member.fingerprint)
                )
            # This status prompts the member to send its record.
            self._acknowledge(
                member.control_address, _messages.HeartbeatStatus.UNKNOWN_MEMBER
            )
            await self._sleep(observation, _QUERY_INTERVAL_MS)
            # Checked first, because a member that has switched to other
            # observers also answers the probe.
            if any(observation.replies.values()):
                return _ConfirmationResult.REACHABLE_ELSEWHERE
            if observation.silent_since_ms > silent_since_ms:
                return _ConfirmationResult.REACHABLE
            if others <= observation.replies.keys():
                break
        return _ConfirmationResult.UNREACHABLE

    def _other_candidate_addresses(self, instance_id: str) -> set[core.Address]:
        """Returns the addresses of the candidates except this balancer."""
        own_name = self._table.own.instance_id
        return {
            self._table.members[name].control_address
            for name in self._assignments.candidates(instance_id)
            if name != own_name and self._is_live(name)
        }

    def _declare_dead(self, observation: _observation.Observation) -> None:
        """Replaces the record of a live member by one in state `DEAD`."""
        member = self._table.members.get(observation.instance_id)
        if member is None or not member.is_live:
            return
        telemetry.log(
            "member-dead",
            member=member.instance_id,
            silent_ms=self._clock.now_ms() - observation.silent_since_ms,
        )
        self._table.merge(
            [dataclasses.replace(member, state=_types.State.DEAD)]
        )
        self._gossip.flush()

    def _assign_members(self) -> None:
        """Starts to observe the members that are newly assigned.

        At most `_RANKINGS_PER_ROUND` members are ranked in one round; the next
        round continues.
        """
        if self._assigned_change_count == self._table.change_count:
            return
        change_count = self._table.change_count
        self._assignments.replace_balancers(
            frozenset(
                member.instance_id
                for member in self._table.observing_balancers()
            )
        )
        remaining_rankings = _RANKINGS_PER_ROUND
        for member in list(self._table.members.values()):
            name = member.instance_id
            if not member.is_live:
                self._assignments.remove(name)
                self._observed_elsewhere.pop(name, None)
                continue
            remaining_rankings -= not self._assignments.is_ranked(name)
            if remaining_rankings < 0:
                return
            self._observe_if_assigned(member)
        self._assigned_change_count = change_count

    def _observe_if_assigned(self, member: _types.Member) -> None:
        own_name = self._table.own.instance_id
        name = member.instance_id
        candidates = self._assignments.candidates(name)
        if (
            name != own_name
            and name not in self._observations
            and own_name in candidates[: _rendezvous.OBSERVER_COUNT]
            and self._observed_elsewhere.get(name) != candidates
        ):
            # Silence counts from a future time, so that the failure timeout
            # and the grace period end together.
            grace_ms = _TAKEOVER_GRACE_MS - FAILURE_TIMEOUT_MS
            self._observe(member, self._clock.now_ms() + grace_ms)

    def _answer_heartbeat(
        self, observation: _observation.Observation, member: _types.Member
    ) -> None:
        """Sends an update if one is due, else possibly an acknowledgement."""
        config_version = self._table.own.config_version
        if not observation.is_up_to_date(
            self._table.change_count, config_version
        ):
            content = observation.find_missing(
                _needed_records.find_needed_records(
                    self._table,
                    member,
                    self._assignments.candidates(member.instance_id),
                    observation.acknowledged_names,
                ),
                self._table.change_count,
            )
            if (
                content.members
                or content.changes
                or observation.lacks_config_version(config_version)
            ):
                self._send_update(observation, content.members, content.changes)
                return
        if observation.heartbeat_count % _HEARTBEATS_PER_ANSWER == 1:
            self._acknowledge(
                observation.address, _messages.HeartbeatStatus.RECEIVED
            )

    def _send_update(
        self,
        observation: _observation.Observation,
        members: Sequence[_types.Member],
        changes: Sequence[_messages.RecordChange],
    ) -> None:
        """Sends records that the next heartbeat is to acknowledge."""
        config_version = self._table.own.config_version
        self._channel.send(
            observation.address,
            _messages.Update(
                observation.next_sequence(config_version),
                config_version,
                len(self._table.members),
                tuple(members),
                tuple(changes),
            ),
        )

    def _send_correction(
        self,
        address: core.Address,
        members: Sequence[_types.Member],
        changes: Sequence[_messages.RecordChange],
    ) -> None:
        """Sends records that are newer than those of the receiver.

        Sequence number 0 marks a correction, which is not acknowledged.
        """
        update = _messages.Update(
            0, 0, len(self._table.members), tuple(members), tuple(changes)
        )
        self._channel.send(address, update)

    def _acknowledge(
        self, address: core.Address, status: _messages.HeartbeatStatus
    ) -> None:
        self._channel.send(address, _messages.Acknowledgement(status))

    def _is_live(self, instance_id: str) -> bool:
        """Returns whether a member is known and alive or draining."""
        member = self._table.members.get(instance_id)
        return member is not None and member.is_live

    def _handle_accepted_record(
        self, old: _types.Member | None, new: _types.Member, propagate: bool
    ) -> None:
        """Prompts a reachable member to refute its death immediately.

        The death was declared by another observer.
        """
        del old, propagate
        if new.state is _types.State.DEAD and self._is_reachable(
            new.instance_id
        ):
            self._send_correction(
                new.control_address,
                (),
                (_messages.RecordChange.from_member(new),),
            )

    async def _probe_unconfirmed(self) -> None:
        """Prompts members whose death is not confirmed to refute it.

        Each is probed by the balancers that are to observe it.
        """
        while True:
            await self._clock.sleep(_UNCONFIRMED_PROBE_INTERVAL_MS)
            own_name = self._table.own.instance_id
            for name in self._mass_failure.unconfirmed():
                member = self._table.members.get(name)
                candidates = self._assignments.candidates(name)
                if (
                    member is not None
                    and own_name in candidates[: _rendezvous.OBSERVER_COUNT]
                ):
                    self._send_correction(
                        member.control_address,
                        (),
                        (_messages.RecordChange.from_member(member),),
                    )
