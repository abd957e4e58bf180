"""Membership of one instance in the cluster."""

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
from fireflyford.membership import _gossip
from fireflyford.membership import _mass_failure
from fireflyford.membership import _messages
from fireflyford.membership import _observer
from fireflyford.membership import _observer_sessions
from fireflyford.membership import _table
from fireflyford.membership import _types
from fireflyford.membership import _weight_throttle

_CHECK_INTERVAL_MS = 250
# Limits how often views are published, because listeners rebuild their rings,
# which takes longer than merging a batch of records.
_PUBLISH_INTERVAL_MS = 50


class Membership:
    """Membership of one instance: announces it and tracks other members."""

    def __init__(
        self,
        clock: core.Clock,
        channel: _channel.Channel,
        member: _types.Member,
        seeds: Sequence[core.Address],
        rng: random.Random | None = None,
    ) -> None:
        """Creates the membership; `run` starts it.

        Args:
            clock: Source of time.
            channel: Channel for messages to other members.
            member: Record of this instance.
            seeds: Control addresses of members to join through.
            rng: Random source; seeded with the incarnation if not given.
        """
        self._clock = clock
        self._channel = channel
        rng = rng or random.Random(member.incarnation)
        table = _table.MemberTable(clock, member)
        self._table = table
        self._versions = _config_versions.ConfigVersionNotifier(clock, table)
        self._mass_failure = _mass_failure.MassFailureDetector(clock, table)
        self._observer_sessions = _observer_sessions.ObserverSessions(
            clock, rng, channel, table, self._versions, seeds
        )
        self._gossip = _gossip.Gossip(
            clock, rng, channel, table, self._versions
        )
        self._anti_entropy = _anti_entropy.AntiEntropy(
            clock, rng, channel, table, self._versions
        )
        self._observer = _observer.Observer(
            clock, rng, channel, table, self._gossip, self._mass_failure
        )
        self._weight_throttle = _weight_throttle.WeightThrottle(
            clock, member.weight
        )
        self._view = _types.View([member])
        self._listeners: list[Callable[[_types.View], None]] = []
        self._withdrawal_listeners: list[Callable[[], None]] = []
        self._published_ms = clock.now_ms() - _PUBLISH_INTERVAL_MS
        self._publishing = False
        self._tasks: asyncio.TaskGroup | None = None
        table.on_batch(self._schedule_publication)

    def view(self) -> _types.View:
        """Returns the view that was published last."""
        return self._view

    def observers(self) -> tuple[_types.Member, ...]:
        """Returns the balancers that observe this instance."""
        return self._observer_sessions.observers()

    @property
    def observed_count(self) -> int:
        """Number of members that this instance observes."""
        return self._observer.observed_count

    def on_change(self, listener: Callable[[_types.View], None]) -> None:
        """Registers a listener for new views."""
        self._listeners.append(listener)

    def on_config_version(
        self, listener: Callable[[_types.Member, int], None]
    ) -> None:
        """Registers a listener for higher configuration versions.

        The listener is called with a member and the version in force there, if
        that version is higher than the one last passed to `update`. Calls are
        repeated, with the same or another member, until `update` reports that
        the version is in force at this instance.
        """
        self._versions.on_version(listener)

    def on_withdrawal(self, listener: Callable[[], None]) -> None:
        """Registers a listener for the start of a successor of this instance.

        A successor has the same name or control address and a later
        incarnation.
        """
        self._withdrawal_listeners.append(listener)

    def update(
        self,
        state: _types.State | None = None,
        weight: float | None = None,
        config_version: int | None = None,
    ) -> None:
        """Updates this instance's own record.

        `state` and `config_version` are announced immediately; `weight` is
        subject to a rate limit and a minimum change.
        """
        if weight is not None:
            self._weight_throttle.set_weight(weight)
        if state is not None and state is not self._table.own.state:
            self._set_own(state=state)
        if config_version is not None:
            # The record keeps its version. Otherwise every push would change
            # the records of all members, which exceeds gossip's capacity.
            own = dataclasses.replace(
                self._table.own, config_version=config_version
            )
            self._table.set_own(own)
            self._gossip.flush()
        self._announce_weight()

    async def run(self) -> None:
        """Runs until cancelled; logs an error before raising it."""
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
            tasks.create_task(self._observer_sessions.run())
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
            self._table.expire_ended()
            if self._mass_failure.confirm_expired():
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
        count = max(
            self._observer_sessions.member_count, len(self._table.members)
        )
        weight = self._weight_throttle.take_due(count)
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
            case _messages.LivenessQuery():
                self._observer.receive_query(address, message)
            case _messages.LivenessReply():
                self._observer.receive_reply(address, message)
            case _messages.Gossip():
                self._gossip.receive(address, message)
            case _messages.ViewDigest():
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
                self._observer_sessions.receive_acknowledgement(
                    address, message
                )
            case _messages.Update():
                self._observer_sessions.receive_update(address, message)

    def _introduce(self, address: core.Address) -> None:
        """Sends a joining member the balancers that this agent knows."""
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
            self._table.members.values(), self._mass_failure.unconfirmed()
        )
        for listener in self._listeners:
            listener(self._view)
