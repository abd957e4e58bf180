"""One instance's part in membership, put together from its conversations."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import random
import traceback

from fireflyford import core
from fireflyford import telemetry
from fireflyford.membership import _anti_entropy
from fireflyford.membership import _channel
from fireflyford.membership import _config_versions
from fireflyford.membership import _conversations
from fireflyford.membership import _gossip
from fireflyford.membership import _messages
from fireflyford.membership import _observer
from fireflyford.membership import _panic
from fireflyford.membership import _table
from fireflyford.membership import _types
from fireflyford.membership import _weight

_CHECK_INTERVAL_MS = 250
# Listeners rebuild their rings, which takes longer than a batch of records.
_PUBLISH_INTERVAL_MS = 50


class Membership:
    """One instance's part in membership."""

    def __init__(
        self,
        clock: core.Clock,
        channel: _channel.Channel,
        member: _types.Member,
        seeds: Sequence[core.Address],
        rng: random.Random | None = None,
    ) -> None:
        """Prepares the instance's part.

        Args:
            clock: Source of time.
            channel: Carries messages to other members.
            member: Record of this instance.
            seeds: Control addresses to join through.
            rng: Random source; seeded by the incarnation if not given.
        """
        self._clock = clock
        self._channel = channel
        rng = rng or random.Random(member.incarnation)
        table = _table.MemberTable(clock, member)
        self._table = table
        self._versions = _config_versions.ConfigVersions(clock, table)
        self._panic = _panic.Panic(clock, table)
        self._conversations = _conversations.Conversations(
            clock, rng, channel, table, self._versions, seeds
        )
        self._gossip = _gossip.Gossip(
            clock, rng, channel, table, self._versions
        )
        self._anti_entropy = _anti_entropy.AntiEntropy(
            clock, rng, channel, table, self._versions
        )
        self._observer = _observer.Observer(
            clock, rng, channel, table, self._gossip, self._panic
        )
        self._weight = _weight.WeightPacer(clock, member.weight)
        self._view = _types.View([member])
        self._listeners: list[Callable[[_types.View], None]] = []
        self._withdrawal_listeners: list[Callable[[], None]] = []
        self._published_ms = clock.now_ms() - _PUBLISH_INTERVAL_MS
        self._publishing = False
        self._tasks: asyncio.TaskGroup | None = None
        table.on_batch(self._schedule_publication)

    def view(self) -> _types.View:
        """Returns the current view."""
        return self._view

    def observers(self) -> tuple[_types.Member, ...]:
        """Returns the balancers that observe this instance."""
        return self._conversations.observers()

    @property
    def observed_count(self) -> int:
        """Members that this instance observes."""
        return self._observer.observed_count

    def on_change(self, listener: Callable[[_types.View], None]) -> None:
        """Calls `listener` with each new view."""
        self._listeners.append(listener)

    def on_config_version(
        self, listener: Callable[[_types.Member, int], None]
    ) -> None:
        """Calls `listener` when a higher configuration version is seen.

        Higher means than the one given to `update` last. The listener gets
        the member that has the version in force and the version. It is called
        again, with the same or another member, until `update` says that the
        version is in force here.
        """
        self._versions.on_version(listener)

    def on_withdrawal(self, listener: Callable[[], None]) -> None:
        """Calls `listener` when a later start has taken this one's place."""
        self._withdrawal_listeners.append(listener)

    def update(
        self,
        state: _types.State | None = None,
        weight: float | None = None,
        config_version: int | None = None,
    ) -> None:
        """Changes this instance's own record.

        A change of weight is announced when it is large enough and the last
        one is old enough; `state` and `config_version` are announced at once.
        """
        if weight is not None:
            self._weight.want(weight)
        if state is not None and state is not self._table.own.state:
            self._set_own(state=state)
        if config_version is not None:
            # No new version of the record: at each push every member would
            # have one, which is more than gossip can carry.
            own = dataclasses.replace(
                self._table.own, config_version=config_version
            )
            self._table.set_own(own)
            self._gossip.flush()
        self._announce_weight()

    async def run(self) -> None:
        """Runs until cancelled; an error is logged, then raised."""
        try:
            await self._run()
        except Exception as error:
            telemetry.log(
                "membership-failed",
                error="".join(traceback.format_exception(error)),
            )
            raise

    async def _run(self) -> None:
        async with asyncio.TaskGroup() as tasks:
            self._tasks = tasks
            tasks.create_task(self._receive_loop())
            tasks.create_task(self._conversations.run())
            tasks.create_task(self._check_loop())
            if self._is_balancer:
                tasks.create_task(self._observer.run())
                tasks.create_task(self._gossip.run())
                tasks.create_task(self._anti_entropy.run())

    @property
    def _is_balancer(self) -> bool:
        return self._table.own.role is core.Role.BALANCER

    def _set_own(
        self,
        state: _types.State | None = None,
        weight: float | None = None,
    ) -> None:
        own = self._table.own
        self._table.set_own(
            dataclasses.replace(
                own,
                version=own.version + 1,
                state=own.state if state is None else state,
                weight=own.weight if weight is None else weight,
            )
        )

    async def _check_loop(self) -> None:
        while not self._table.withdrawn:
            self._announce_weight()
            self._table.forget_ended()
            if self._panic.confirm_old():
                self._schedule_publication()
            await self._clock.sleep(_CHECK_INTERVAL_MS)
        telemetry.log(
            "withdrawn",
            member=self._table.own.instance_id,
            incarnation=self._table.own.incarnation,
        )
        self._set_own(state=_types.State.LEFT)
        for listener in self._withdrawal_listeners:
            listener()

    def _announce_weight(self) -> None:
        count = max(self._conversations.member_count, len(self._table.members))
        weight = self._weight.due(count)
        if weight is not None:
            self._set_own(weight=weight)

    async def _receive_loop(self) -> None:
        while True:
            address, message = await self._channel.receive()
            if self._is_balancer:
                self._receive_as_balancer(address, message)
            else:
                self._receive_as_agent(address, message)

    def _receive_as_balancer(
        self, address: core.Address, message: _messages.Message
    ) -> None:
        match message:
            case _messages.Heartbeat():
                self._observer.receive_heartbeat(address, message)
            case _messages.Announcement():
                self._observer.receive_announcement(address, message)
            case _messages.Query():
                self._observer.receive_query(address, message)
            case _messages.Reply():
                self._observer.receive_reply(address, message)
            case _messages.Gossip():
                self._gossip.receive(address, message)
            case _messages.Digest():
                self._anti_entropy.receive(address, message)
            case _:
                self._receive_answer(address, message)

    def _receive_as_agent(
        self, address: core.Address, message: _messages.Message
    ) -> None:
        match message:
            case _messages.Announcement():
                self._introduce(address)
            case _:
                self._receive_answer(address, message)

    def _receive_answer(
        self, address: core.Address, message: _messages.Message
    ) -> None:
        match message:
            case _messages.Acknowledgement():
                self._conversations.receive_acknowledgement(address, message)
            case _messages.Update():
                self._conversations.receive_update(address, message)

    def _introduce(self, address: core.Address) -> None:
        """Tells a joining member the balancers that this agent knows."""
        balancers = tuple(self._table.observing_balancers())
        update = _messages.Update(0, 0, len(self._table.members), balancers, ())
        self._channel.send(address, update)

    def _schedule_publication(self) -> None:
        wait_ms = (
            self._published_ms + _PUBLISH_INTERVAL_MS - self._clock.now_ms()
        )
        if wait_ms <= 0 or self._tasks is None:
            self._publish()
        elif not self._publishing:
            self._publishing = True
            self._tasks.create_task(self._publish_later(wait_ms))

    async def _publish_later(self, wait_ms: int) -> None:
        await self._clock.sleep(wait_ms)
        self._publishing = False
        self._publish()

    def _publish(self) -> None:
        self._published_ms = self._clock.now_ms()
        self._view = _types.View(
            self._table.members.values(), self._panic.unconfirmed()
        )
        for listener in self._listeners:
            listener(self._view)
