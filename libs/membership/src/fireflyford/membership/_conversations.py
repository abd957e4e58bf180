"""A member's conversations with its observers."""

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
# Observers answer at least every fourth heartbeat, so that two answers in a
# row are lost before a member uses another observer.
ANSWER_TIMEOUT_MS = 5_000
# Time before an observer that did not answer is tried again.
_AVOID_MS = 10_000
# Time before an observer that watches enough members is tried again.
_REFUSED_MS = 20_000
_CHOICE_INTERVAL_MS = 250
_SEED_INTERVAL_MS = 1_000
# Seeds that are not in the view may be the other side of a healed partition.
_SEED_CHECK_MS = 30_000
# Instances that start together do not all listen at once.
_START_MS = 30_000
# An agent keeps records only while an observer sends them.
_PRUNE_MS = 5_000


class _Conversation:
    """What a member knows of one observer."""

    def __init__(self, now_ms: int) -> None:
        self.start_ms = now_ms
        self.heard_ms = now_ms
        self.acknowledged = 0
        self.whole = True
        self.names: set[str] = set()


class Conversations:
    """Keeps a conversation with each observer of this instance."""

    def __init__(
        self,
        clock: core.Clock,
        rng: random.Random,
        channel: _channel.Channel,
        table: _table.MemberTable,
        versions: _config_versions.ConfigVersions,
        seeds: Sequence[core.Address],
    ) -> None:
        """Prepares the conversations; `run` starts them."""
        self._clock = clock
        self._rng = rng
        self._start_ms = clock.now_ms()
        self._channel = channel
        self._table = table
        self._versions = versions
        self._seeds = tuple(
            seed for seed in seeds if seed != table.own.control_address
        )
        self._open: dict[core.Address, _Conversation] = {}
        self._avoided_ms: dict[core.Address, int] = {}
        self._seeds_ms = -_SEED_CHECK_MS
        self._answered_ms = -ANSWER_TIMEOUT_MS
        self.member_count = 1
        table.on_own(self.announce)

    async def run(self) -> None:
        """Chooses observers and talks to them until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            while not self._table.withdrawn:
                for observer in self.observers():
                    address = observer.control_address
                    if address not in self._open:
                        self._open[address] = _Conversation(
                            self._clock.now_ms()
                        )
                        tasks.create_task(self._converse(address))
                self._call_seeds()
                self._prune()
                await self._clock.sleep(_CHOICE_INTERVAL_MS)

    def observers(self) -> tuple[_types.Member, ...]:
        """Returns the balancers that this instance sends heartbeats to."""
        now_ms = self._clock.now_ms()
        own = self._table.own.instance_id
        usable = [
            member
            for member in self._table.observing_balancers()
            if member.instance_id != own
        ]
        answering = [
            member
            for member in usable
            if self._avoided_ms.get(member.control_address, 0) <= now_ms
        ]
        chosen = _rendezvous.select_by_rendezvous(
            own, answering, _rendezvous.OBSERVER_COUNT
        )
        missing_count = _rendezvous.OBSERVER_COUNT - len(chosen)
        if not missing_count:
            return chosen
        # Too few are left: those that were avoided first are tried again.
        avoided = [member for member in usable if member not in answering]
        avoided.sort(
            key=lambda member: self._avoided_ms[member.control_address]
        )
        return (*chosen, *avoided[:missing_count])

    def announce(self) -> None:
        """Sends this instance's whole record to its observers now."""
        if self._table.withdrawn:
            return
        for address, conversation in self._open.items():
            self._send_record(address, conversation.acknowledged)

    def receive_acknowledgement(
        self, address: core.Address, message: _messages.Acknowledgement
    ) -> None:
        """Takes an answer without news."""
        conversation = self._hear(address)
        if message.answer is _messages.Answer.UNKNOWN:
            acknowledged = conversation.acknowledged if conversation else 0
            self._send_record(address, acknowledged)
        elif message.answer is _messages.Answer.REFUSED:
            self._avoid(address, _REFUSED_MS)

    def receive_update(
        self, address: core.Address, update: _messages.Update
    ) -> None:
        """Takes an answer with records."""
        conversation = self._hear(address)
        names = {member.instance_id for member in update.members}
        if conversation is not None:
            conversation.names |= names
            # Corrections carry no sequence number.
            conversation.acknowledged = (
                update.sequence or conversation.acknowledged
            )
        self.member_count = max(update.member_count, 1)
        self._table.merge(update.members, update.changes)
        observer = self._table.at_address(address)
        self._versions.hear(observer, update.config_version)

    async def _converse(self, address: core.Address) -> None:
        conversation = self._open[address]
        while self._is_chosen(address) and not self._table.withdrawn:
            silent_ms = self._clock.now_ms() - conversation.heard_ms
            if silent_ms > ANSWER_TIMEOUT_MS:
                self._avoid(address, _AVOID_MS)
                break
            self._send_heartbeat(address, conversation)
            await self._clock.sleep(HEARTBEAT_INTERVAL_MS)
        del self._open[address]

    @property
    def _is_balancer(self) -> bool:
        return self._table.own.role is core.Role.BALANCER

    def _is_chosen(self, address: core.Address) -> bool:
        return any(
            observer.control_address == address for observer in self.observers()
        )

    def _send_heartbeat(
        self, address: core.Address, conversation: _Conversation
    ) -> None:
        own = self._table.own
        if conversation.whole:
            conversation.whole = False
            self._send_record(address, conversation.acknowledged)
            return
        heartbeat = _messages.Heartbeat(
            own.fingerprint, own.version, conversation.acknowledged
        )
        self._channel.send(address, heartbeat)

    def _send_record(self, address: core.Address, acknowledged: int) -> None:
        if not self._table.withdrawn:
            self._channel.send(
                address,
                _messages.Announcement(self._table.own, acknowledged),
            )

    def _hear(self, address: core.Address) -> _Conversation | None:
        conversation = self._open.get(address)
        if conversation is not None:
            self._answered_ms = self._clock.now_ms()
            conversation.heard_ms = self._answered_ms
        return conversation

    def _avoid(self, address: core.Address, duration_ms: int) -> None:
        self._avoided_ms[address] = self._clock.now_ms() + duration_ms

    def _call_seeds(self) -> None:
        now_ms = self._clock.now_ms()
        alone = now_ms - self._answered_ms > ANSWER_TIMEOUT_MS
        starting = now_ms - self._start_ms < _START_MS
        interval_ms = _SEED_INTERVAL_MS if alone or starting else _SEED_CHECK_MS
        if now_ms - self._seeds_ms < interval_ms:
            return
        self._seeds_ms = now_ms
        for seed in self._seeds:
            known = self._table.at_address(seed)
            missing = known is None or not known.is_live
            # An agent that has observers need not know every seed.
            if alone or (missing and self._is_balancer):
                self._send_record(seed, 0)
        if alone:
            self._call_anyone()

    def _call_anyone(self) -> None:
        """Asks some known member, since an agent knows balancers too."""
        own = self._table.own.instance_id
        live = [
            member
            for member in self._table.members.values()
            if member.is_live and member.instance_id != own
        ]
        if live:
            self._send_record(self._rng.choice(live).control_address, 0)

    def _prune(self) -> None:
        """Drops an agent's records that no observer keeps up to date."""
        now_ms = self._clock.now_ms()
        own = self._table.own
        settled = self._open and all(
            now_ms - conversation.start_ms > _PRUNE_MS
            and now_ms - conversation.heard_ms < ANSWER_TIMEOUT_MS
            for conversation in self._open.values()
        )
        if self._is_balancer or not settled:
            return
        kept = {own.instance_id}
        for conversation in self._open.values():
            kept |= conversation.names
        self._table.drop(set(self._table.members) - kept)
