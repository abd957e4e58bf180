"""Heartbeat sessions of a member with its observers."""

import asyncio
from collections.abc import Sequence
import random

from fireflyford import core
from fireflyford.membership import _channel
from fireflyford.membership import _config_versions
from fireflyford.membership import _messages
from fireflyford.membership import _rendezvous
from fireflyford.membership import _table
from fireflyford.membership import _types

HEARTBEAT_INTERVAL_MS = 500
# Observers answer at least every fourth heartbeat, so two consecutive answers
# are lost before a member switches to another observer.
ANSWER_TIMEOUT_MS = 5_000
# Delay before an unresponsive observer is tried again.
_UNRESPONSIVE_BACKOFF_MS = 10_000
# Delay before an observer that refused this member is tried again.
_REFUSED_BACKOFF_MS = 20_000
_SELECTION_INTERVAL_MS = 250
_SEED_INTERVAL_MS = 1_000
# Seeds missing from the view may belong to the other side of a partition that
# has healed.
_SEED_RECHECK_INTERVAL_MS = 30_000
# When instances start together, some do not listen yet; during this time seeds
# are contacted at the shorter interval.
_STARTUP_PERIOD_MS = 30_000
# Minimum age of every session before an agent drops the records that no
# observer sends it.
_PRUNE_DELAY_MS = 5_000


class _Session:
    """State of the session with one observer."""

    def __init__(self, now_ms: int) -> None:
        self.start_ms = now_ms
        self.last_received_ms = now_ms
        self.acknowledged = 0
        self.send_full_record = True
        self.received_names: set[str] = set()


class ObserverSessions:
    """Maintains a heartbeat session with each observer of this instance."""

    def __init__(
        self,
        clock: core.Clock,
        rng: random.Random,
        channel: _channel.Channel,
        table: _table.MemberTable,
        versions: _config_versions.ConfigVersionNotifier,
        seeds: Sequence[core.Address],
    ) -> None:
        """Creates the sessions' state; `run` starts the sessions."""
        self._clock = clock
        self._rng = rng
        self._start_ms = clock.now_ms()
        self._channel = channel
        self._table = table
        self._versions = versions
        self._seeds = tuple(
            seed for seed in seeds if seed != table.own.control_address
        )
        self._sessions: dict[core.Address, _Session] = {}
        self._retry_after_ms: dict[core.Address, int] = {}
        self._last_seed_contact_ms = -_SEED_RECHECK_INTERVAL_MS
        self._last_answer_ms = -ANSWER_TIMEOUT_MS
        self.member_count = 1
        table.on_own_change(self.announce)

    async def run(self) -> None:
        """Selects observers and runs a session with each until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            while not self._table.withdrawn:
                for observer in self.observers():
                    address = observer.control_address
                    if address not in self._sessions:
                        self._sessions[address] = _Session(self._clock.now_ms())
                        tasks.create_task(self._run_session(address))
                self._contact_seeds()
                self._prune()
                await self._clock.sleep(_SELECTION_INTERVAL_MS)

    def observers(self) -> tuple[_types.Member, ...]:
        """Returns the balancers that this instance sends heartbeats to."""
        now_ms = self._clock.now_ms()
        own = self._table.own.instance_id
        usable = [
            member
            for member in self._table.observing_balancers()
            if member.instance_id != own
        ]
        available = [
            member
            for member in usable
            if self._retry_after_ms.get(member.control_address, 0) <= now_ms
        ]
        chosen = _rendezvous.select_by_rendezvous(
            own, available, _rendezvous.OBSERVER_COUNT
        )
        missing_count = _rendezvous.OBSERVER_COUNT - len(chosen)
        if not missing_count:
            return chosen
        # If too few are available, those backed off first are retried.
        backed_off = [member for member in usable if member not in available]
        backed_off.sort(
            key=lambda member: self._retry_after_ms[member.control_address]
        )
        return (*chosen, *backed_off[:missing_count])

    def announce(self) -> None:
        """Sends this instance's full record to its observers immediately."""
        if self._table.withdrawn:
            return
        for address, session in self._sessions.items():
            self._send_record(address, session.acknowledged)

    def receive_acknowledgement(
        self, address: core.Address, message: _messages.Acknowledgement
    ) -> None:
        """Handles an answer without records."""
        session = self._record_answer(address)
        if message.status is _messages.HeartbeatStatus.UNKNOWN_MEMBER:
            acknowledged = session.acknowledged if session else 0
            self._send_record(address, acknowledged)
        elif message.status is _messages.HeartbeatStatus.REFUSED:
            self._back_off(address, _REFUSED_BACKOFF_MS)

    def receive_update(
        self, address: core.Address, update: _messages.Update
    ) -> None:
        """Handles an answer with records."""
        session = self._record_answer(address)
        names = {member.instance_id for member in update.members}
        if session is not None:
            session.received_names |= names
            # Corrections have sequence number 0 and are not acknowledged.
            session.acknowledged = update.sequence or session.acknowledged
        self.member_count = max(update.member_count, 1)
        self._table.merge(update.members, update.changes)
        observer = self._table.find_by_address(address)
        self._versions.handle_version(observer, update.config_version)

    async def _run_session(self, address: core.Address) -> None:
        session = self._sessions[address]
        while self._is_selected(address) and not self._table.withdrawn:
            silent_ms = self._clock.now_ms() - session.last_received_ms
            if silent_ms > ANSWER_TIMEOUT_MS:
                self._back_off(address, _UNRESPONSIVE_BACKOFF_MS)
                break
            self._send_heartbeat(address, session)
            await self._clock.sleep(HEARTBEAT_INTERVAL_MS)
        del self._sessions[address]

    @property
    def _is_balancer(self) -> bool:
        return self._table.own.role is core.Role.BALANCER

    def _is_selected(self, address: core.Address) -> bool:
        return any(
            observer.control_address == address for observer in self.observers()
        )

    def _send_heartbeat(self, address: core.Address, session: _Session) -> None:
        own = self._table.own
        if session.send_full_record:
            session.send_full_record = False
            self._send_record(address, session.acknowledged)
            return
        heartbeat = _messages.Heartbeat(
            own.fingerprint, own.version, session.acknowledged
        )
        self._channel.send(address, heartbeat)

    def _send_record(self, address: core.Address, acknowledged: int) -> None:
        if not self._table.withdrawn:
            self._channel.send(
                address,
                _messages.Announcement(self._table.own, acknowledged),
            )

    def _record_answer(self, address: core.Address) -> _Session | None:
        session = self._sessions.get(address)
        if session is not None:
            self._last_answer_ms = self._clock.now_ms()
            session.last_received_ms = self._last_answer_ms
        return session

    def _back_off(self, address: core.Address, duration_ms: int) -> None:
        self._retry_after_ms[address] = self._clock.now_ms() + duration_ms

    def _contact_seeds(self) -> None:
        now_ms = self._clock.now_ms()
        isolated = now_ms - self._last_answer_ms > ANSWER_TIMEOUT_MS
        starting = now_ms - self._start_ms < _STARTUP_PERIOD_MS
        interval_ms = (
            _SEED_INTERVAL_MS
            if isolated or starting
            else _SEED_RECHECK_INTERVAL_MS
        )
        if now_ms - self._last_seed_contact_ms < interval_ms:
            return
        self._last_seed_contact_ms = now_ms
        for seed in self._seeds:
            known = self._table.find_by_address(seed)
            missing = known is None or not known.is_live
            # An agent with observers does not need to know every seed.
            if isolated or (missing and self._is_balancer):
                self._send_record(seed, 0)
        if isolated:
            self._contact_any_member()

    def _contact_any_member(self) -> None:
        """Contacts a random live member; an agent answers with balancers."""
        own = self._table.own.instance_id
        live = [
            member
            for member in self._table.members.values()
            if member.is_live and member.instance_id != own
        ]
        if live:
            self._send_record(self._rng.choice(live).control_address, 0)

    def _prune(self) -> None:
        """Drops an agent's records that no observer keeps up to date.

        Runs only while all sessions are established and answered.
        """
        now_ms = self._clock.now_ms()
        own = self._table.own
        stable = self._sessions and all(
            now_ms - session.start_ms > _PRUNE_DELAY_MS
            and now_ms - session.last_received_ms < ANSWER_TIMEOUT_MS
            for session in self._sessions.values()
        )
        if self._is_balancer or not stable:
            return
        kept = {own.instance_id}
        for session in self._sessions.values():
            kept |= session.received_names
        self._table.drop(set(self._table.members) - kept)
