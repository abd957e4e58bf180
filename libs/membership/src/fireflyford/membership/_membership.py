"""Which members exist: heartbeats, failure detection and spread of records."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

from fireflyford import core
from fireflyford.membership import _channel
from fireflyford.membership import _types

HEARTBEAT_INTERVAL_MS = 500
# Three lost heartbeats; a backend server that pauses for a second is no
# failure.
FAILURE_TIMEOUT_MS = 1_500


class Membership:
    """One instance's part in membership."""

    def __init__(
        self,
        clock: core.Clock,
        channel: _channel.Channel,
        member: _types.Member,
        seeds: Sequence[core.Address],
    ) -> None:
        """Prepares the instance's part.

        Args:
            clock: Source of time.
            channel: Carries messages to other members.
            member: Record of this instance.
            seeds: Control addresses to join through.
        """
        self._clock = clock
        self._channel = channel
        self._member = member
        self._seeds = tuple(seeds)
        self._members = {member.instance_id: member}
        self._heard_ms: dict[str, int] = {}
        self._view = _types.View([member])
        self._listeners: list[Callable[[_types.View], None]] = []

    def view(self) -> _types.View:
        """Returns the current view."""
        return self._view

    def on_change(self, listener: Callable[[_types.View], None]) -> None:
        """Calls `listener` with each new view."""
        self._listeners.append(listener)

    def update(
        self,
        state: _types.State | None = None,
        weight: float | None = None,
        config_version: int | None = None,
    ) -> None:
        """Changes this instance's own record."""
        own = self._member
        self._member = dataclasses.replace(
            own,
            version=own.version + 1,
            state=own.state if state is None else state,
            weight=own.weight if weight is None else weight,
            config_version=(
                own.config_version if config_version is None else config_version
            ),
        )
        self._merge([self._member])
        self._send_heartbeats()

    async def run(self) -> None:
        """Runs until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._send_loop())
            tasks.create_task(self._receive_loop())

    async def _send_loop(self) -> None:
        while True:
            self._send_heartbeats()
            self._declare_dead()
            await self._clock.sleep(HEARTBEAT_INTERVAL_MS)

    def _send_heartbeats(self) -> None:
        observers = {
            member.control_address for member in self._view.balancers()
        }
        observers.update(self._seeds)
        observers.discard(self._member.control_address)
        envelope = _channel.Envelope(heartbeat=_channel.Heartbeat(self._member))
        for address in observers:
            self._channel.send(address, envelope)

    async def _receive_loop(self) -> None:
        while True:
            address, envelope = await self._channel.receive()
            if envelope.heartbeat is not None:
                self._receive_heartbeat(address, envelope.heartbeat)
            if envelope.acknowledgement is not None:
                self._merge(envelope.acknowledgement.members)

    def _receive_heartbeat(
        self, address: core.Address, heartbeat: _channel.Heartbeat
    ) -> None:
        member = heartbeat.member
        self._heard_ms[member.instance_id] = self._clock.now_ms()
        known = self._members.get(member.instance_id)
        self._merge([member])
        if known is not None and known.order > member.order:
            self._acknowledge(address, [known])
        elif member.role is core.Role.AGENT:
            peers = self._view.targets(member.service)
            self._acknowledge(address, [*peers, *self._view.balancers()])
        else:
            self._acknowledge(address, list(self._members.values()))

    def _acknowledge(
        self, address: core.Address, members: Sequence[_types.Member]
    ) -> None:
        acknowledgement = _channel.Acknowledgement(tuple(members))
        self._channel.send(
            address, _channel.Envelope(acknowledgement=acknowledgement)
        )

    def _merge(self, members: Sequence[_types.Member]) -> None:
        changed = False
        for member in members:
            if member.instance_id == self._member.instance_id:
                changed |= self._refute(member)
                continue
            known = self._members.get(member.instance_id)
            if known is None or member.order > known.order:
                self._members[member.instance_id] = member
                changed = True
        if changed:
            self._publish()

    def _refute(self, member: _types.Member) -> bool:
        own = self._member
        if member.order > own.order and member.incarnation == own.incarnation:
            self._member = dataclasses.replace(own, version=member.version + 1)
        changed = self._members[own.instance_id] != self._member
        self._members[own.instance_id] = self._member
        return changed

    def _declare_dead(self) -> None:
        limit_ms = self._clock.now_ms() - FAILURE_TIMEOUT_MS
        dead = [
            dataclasses.replace(member, state=_types.State.DEAD)
            for member in self._members.values()
            if self._heard_ms.get(member.instance_id, limit_ms) < limit_ms
            and member.state in (_types.State.ALIVE, _types.State.DRAINING)
        ]
        self._merge(dead)

    def _publish(self) -> None:
        self._view = _types.View(self._members.values())
        for listener in self._listeners:
            listener(self._view)
