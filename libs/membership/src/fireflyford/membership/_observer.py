"""The part of a balancer that observes members."""

import asyncio
from collections.abc import Sequence
import dataclasses
import enum
import random

from fireflyford import core
from fireflyford import telemetry
from fireflyford.membership import _channel
from fireflyford.membership import _gossip
from fireflyford.membership import _messages
from fireflyford.membership import _needs
from fireflyford.membership import _observation
from fireflyford.membership import _panic
from fireflyford.membership import _rendezvous
from fireflyford.membership import _table
from fireflyford.membership import _types

# Three lost heartbeats; a backend server that pauses for a second is no
# failure.
FAILURE_TIMEOUT_MS = 1_500
# Answers between regions arrive within tens of milliseconds.
_QUERY_INTERVAL_MS = 150
_QUERY_COUNT = 3
_ASSIGNMENT_INTERVAL_MS = 500
# An answer to every heartbeat would take a third more of the control traffic.
_BEATS_PER_ANSWER = 4
# Rendezvous hash alone gives the busiest of 590 balancers 27 members, 1.7 times
# the mean. With this bound a member goes on to its next candidate instead.
_LOAD_BOUND_RATIO = 1.25
_LOAD_BOUND_SLACK = 1
# A member needs this long to notice that its observers are gone and to turn to
# the next ones.
_ORPHAN_GRACE_MS = 3_000
# Ranking 590 balancers takes about 0.3 ms; a joining balancer spreads the
# work for 4,000 agents over about 30 s.
_RANKINGS_PER_ROUND = 64
# A sleep that ends this late means that this process was paused or starved,
# and the silence it sees is its own.
_LATE_MS = 250
_PROBE_INTERVAL_MS = 1_000


class _Verdict(enum.Enum):
    """What the confirmation of a silence has shown."""

    HEARD = enum.auto()
    HEARD_ELSEWHERE = enum.auto()
    SILENT = enum.auto()


class Observer:
    """Hears members, tells them news, and declares silent ones dead."""

    def __init__(
        self,
        clock: core.Clock,
        rng: random.Random,
        channel: _channel.Channel,
        table: _table.MemberTable,
        gossip: _gossip.Gossip,
        panic: _panic.Panic,
    ) -> None:
        """Prepares the observer; `run` starts it."""
        self._clock = clock
        self._rng = rng
        self._channel = channel
        self._table = table
        self._gossip = gossip
        self._panic = panic
        self._assignments = _rendezvous.Assignments()
        self._observed: dict[str, _observation.Observation] = {}
        # Candidates of members that another observer was found to hear.
        self._elsewhere: dict[str, tuple[str, ...]] = {}
        self._tasks: asyncio.TaskGroup | None = None
        self._assigned_count = -1
        table.on_accept(self._react)

    async def run(self) -> None:
        """Watches the members assigned to this balancer until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            self._tasks = tasks
            for observation in self._observed.values():
                tasks.create_task(self._watch(observation))
            tasks.create_task(self._probe_unconfirmed())
            while True:
                self._assign()
                await self._clock.sleep(_ASSIGNMENT_INTERVAL_MS)

    def receive_heartbeat(
        self, address: core.Address, heartbeat: _messages.Heartbeat
    ) -> None:
        """Answers a short heartbeat."""
        member = self._table.find(heartbeat.fingerprint)
        if member is None or member.version < heartbeat.version:
            self._answer(address, _messages.Answer.UNKNOWN)
            return
        if member.version > heartbeat.version or not member.is_live:
            self._send_correction(address, (), (_messages.Change.of(member),))
        if member.is_live:
            self._serve(member, address, heartbeat.acknowledged)

    def receive_announcement(
        self, address: core.Address, announcement: _messages.Announcement
    ) -> None:
        """Answers a heartbeat with a record."""
        member = announcement.member
        buried = self._table.buried(member)
        known = self._table.members.get(member.instance_id)
        if buried is not None:
            self._send_correction(address, (), (buried,))
        elif known is not None and known.order > member.order:
            same = known.incarnation == member.incarnation
            self._send_correction(
                address,
                () if same else (known,),
                (_messages.Change.of(known),) if same else (),
            )
        else:
            self._table.merge([member])
            self._gossip.flush()
            if member.is_live:
                self._serve(member, address, announcement.acknowledged)

    def receive_query(
        self, address: core.Address, query: _messages.Query
    ) -> None:
        """Tells another observer whether a member is heard here."""
        member = self._table.find(query.fingerprint)
        heard = member is not None and self._hears(member.instance_id)
        self._channel.send(address, _messages.Reply(query.fingerprint, heard))

    def receive_reply(
        self, address: core.Address, reply: _messages.Reply
    ) -> None:
        """Takes the answer to a query."""
        member = self._table.find(reply.fingerprint)
        if member is not None and member.instance_id in self._observed:
            replies = self._observed[member.instance_id].replies
            replies[address] = reply.heard

    @property
    def observed_count(self) -> int:
        """Members that this balancer watches."""
        return len(self._observed)

    def _serve(
        self, member: _types.Member, address: core.Address, acknowledged: int
    ) -> None:
        if member.instance_id not in self._observed and self._is_full():
            self._answer(address, _messages.Answer.REFUSED)
            return
        observation = self._hear(member, address, acknowledged)
        self._tell(observation, member)

    def _is_full(self) -> bool:
        balancer_count = len(self._table.observing_balancers())
        if balancer_count <= _rendezvous.CANDIDATE_COUNT:
            return False
        mean_count = (
            _rendezvous.OBSERVER_COUNT * self._table.live_count / balancer_count
        )
        bound = _LOAD_BOUND_RATIO * mean_count + _LOAD_BOUND_SLACK
        return len(self._observed) >= bound

    def _hears(self, instance_id: str) -> bool:
        observation = self._observed.get(instance_id)
        if observation is None or not observation.heard:
            return False
        silent_ms = self._clock.now_ms() - observation.heard_ms
        return silent_ms < FAILURE_TIMEOUT_MS

    def _hear(
        self, member: _types.Member, address: core.Address, acknowledged: int
    ) -> _observation.Observation:
        now_ms = self._clock.now_ms()
        observation = self._observe(member, now_ms)
        observation.address = address
        observation.hear(now_ms, acknowledged)
        self._elsewhere.pop(member.instance_id, None)
        return observation

    def _observe(
        self, member: _types.Member, heard_ms: int
    ) -> _observation.Observation:
        name = member.instance_id
        observation = self._observed.get(name)
        if observation is None:
            observation = _observation.Observation(
                name, member.control_address, heard_ms, self._rng
            )
            self._observed[name] = observation
            if self._tasks is not None:
                self._tasks.create_task(self._watch(observation))
        return observation

    async def _watch(self, observation: _observation.Observation) -> None:
        """Follows one member until it ends or is heard elsewhere."""
        name = observation.instance_id
        while self._is_live(name):
            silent_ms = self._clock.now_ms() - observation.heard_ms
            if silent_ms < FAILURE_TIMEOUT_MS:
                await self._sleep(observation, FAILURE_TIMEOUT_MS - silent_ms)
                continue
            verdict = await self._confirm(observation)
            if verdict is _Verdict.SILENT:
                self._declare_dead(observation)
            elif (
                verdict is _Verdict.HEARD_ELSEWHERE
                or observation.only_answers_probes()
            ):
                self._elsewhere[name] = self._assignments.candidates(name)
                break
        if self._observed.get(name) is observation:
            del self._observed[name]

    async def _sleep(
        self, observation: _observation.Observation, duration_ms: int
    ) -> None:
        start_ms = self._clock.now_ms()
        await self._clock.sleep(duration_ms)
        late_ms = self._clock.now_ms() - start_ms - duration_ms
        if late_ms > _LATE_MS:
            observation.heard_ms += late_ms

    async def _confirm(self, observation: _observation.Observation) -> _Verdict:
        """Asks the other candidates and the member itself."""
        others = self._other_candidates(observation.instance_id)
        observation.replies.clear()
        heard_ms = observation.heard_ms
        for _ in range(_QUERY_COUNT):
            member = self._table.members.get(observation.instance_id)
            if member is None:
                return _Verdict.HEARD
            for address in others - observation.replies.keys():
                self._channel.send(address, _messages.Query(member.fingerprint))
            self._answer(member.control_address, _messages.Answer.UNKNOWN)
            await self._sleep(observation, _QUERY_INTERVAL_MS)
            # A member that has moved to other observers answers as well.
            if any(observation.replies.values()):
                return _Verdict.HEARD_ELSEWHERE
            if observation.heard_ms > heard_ms:
                return _Verdict.HEARD
            if others <= observation.replies.keys():
                break
        return _Verdict.SILENT

    def _other_candidates(self, instance_id: str) -> set[core.Address]:
        own = self._table.own.instance_id
        return {
            self._table.members[name].control_address
            for name in self._assignments.candidates(instance_id)
            if name != own and self._is_live(name)
        }

    def _declare_dead(self, observation: _observation.Observation) -> None:
        member = self._table.members.get(observation.instance_id)
        if member is None or not member.is_live:
            return
        telemetry.log(
            "member-dead",
            member=member.instance_id,
            silent_ms=self._clock.now_ms() - observation.heard_ms,
        )
        self._table.merge(
            [dataclasses.replace(member, state=_types.State.DEAD)]
        )
        self._gossip.flush()

    def _assign(self) -> None:
        """Starts to watch the members that this balancer is to observe."""
        if self._assigned_count == self._table.change_count:
            return
        count = self._table.change_count
        self._assignments.replace_balancers(
            frozenset(
                member.instance_id
                for member in self._table.observing_balancers()
            )
        )
        left = _RANKINGS_PER_ROUND
        for member in list(self._table.members.values()):
            name = member.instance_id
            if not member.is_live:
                self._assignments.forget(name)
                self._elsewhere.pop(name, None)
                continue
            left -= not self._assignments.has(name)
            if left < 0:
                return
            self._adopt(member)
        self._assigned_count = count

    def _adopt(self, member: _types.Member) -> None:
        own = self._table.own.instance_id
        name = member.instance_id
        candidates = self._assignments.candidates(name)
        if (
            name != own
            and name not in self._observed
            and own in candidates[: _rendezvous.OBSERVER_COUNT]
            and self._elsewhere.get(name) != candidates
        ):
            grace_ms = _ORPHAN_GRACE_MS - FAILURE_TIMEOUT_MS
            self._observe(member, self._clock.now_ms() + grace_ms)

    def _tell(
        self, observation: _observation.Observation, member: _types.Member
    ) -> None:
        version = self._table.own.config_version
        if not observation.is_current(self._table.change_count, version):
            news = observation.missing(
                _needs.find_needed(
                    self._table,
                    member,
                    self._assignments.candidates(member.instance_id),
                    observation.told,
                ),
                self._table.change_count,
            )
            if (
                news.members
                or news.changes
                or observation.needs_version(version)
            ):
                self._send_update(observation, news.members, news.changes)
                return
        if observation.beat_count % _BEATS_PER_ANSWER == 1:
            self._answer(observation.address, _messages.Answer.HEARD)

    def _send_update(
        self,
        observation: _observation.Observation,
        members: Sequence[_types.Member],
        changes: Sequence[_messages.Change],
    ) -> None:
        version = self._table.own.config_version
        self._channel.send(
            observation.address,
            _messages.Update(
                observation.next_sequence(version),
                version,
                len(self._table.members),
                tuple(members),
                tuple(changes),
            ),
        )

    def _send_correction(
        self,
        address: core.Address,
        members: Sequence[_types.Member],
        changes: Sequence[_messages.Change],
    ) -> None:
        update = _messages.Update(
            0, 0, len(self._table.members), tuple(members), tuple(changes)
        )
        self._channel.send(address, update)

    def _answer(self, address: core.Address, answer: _messages.Answer) -> None:
        self._channel.send(address, _messages.Acknowledgement(answer))

    def _is_live(self, instance_id: str) -> bool:
        member = self._table.members.get(instance_id)
        return member is not None and member.is_live

    def _react(
        self, old: _types.Member | None, new: _types.Member, spread: bool
    ) -> None:
        """Lets a member that is heard here refute its death at once."""
        del old, spread
        if new.state is _types.State.DEAD and self._hears(new.instance_id):
            self._send_correction(
                new.control_address, (), (_messages.Change.of(new),)
            )

    async def _probe_unconfirmed(self) -> None:
        """Lets doubted members that are alive refute, one by one."""
        while True:
            await self._clock.sleep(_PROBE_INTERVAL_MS)
            own = self._table.own.instance_id
            for name in self._panic.unconfirmed():
                member = self._table.members.get(name)
                candidates = self._assignments.candidates(name)
                if (
                    member is not None
                    and own in candidates[: _rendezvous.OBSERVER_COUNT]
                ):
                    self._send_correction(
                        member.control_address,
                        (),
                        (_messages.Change.of(member),),
                    )
