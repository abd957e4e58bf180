"""Push gossip of recently accepted records among balancers."""

import math
import random

from fireflyford import core
from fireflyford.membership import _channel
from fireflyford.membership import _config_versions
from fireflyford.membership import _messages
from fireflyford.membership import _table
from fireflyford.membership import _types

GOSSIP_INTERVAL_MS = 200
FAN_OUT = 3
# A change of weight alone is not urgent. Balancers missed by these few
# transmissions are updated by anti-entropy.
WEIGHT_TRANSMISSION_COUNT = 6
# Minimum time between rounds when updates do not wait for the gossip interval.
_FLUSH_INTERVAL_MS = 50
# Together these limits keep a message below 1,200 bytes, which avoids
# fragmentation.
_MEMBERS_PER_MESSAGE = 6
_CHANGES_PER_MESSAGE = 20


class _PendingRecord:
    """Transmission state of one record.

    Attributes:
        max_transmissions: Number of times that the record is sent.
        full: Whether to send the full record instead of the change.
        sent_count: Number of transmissions so far.
    """

    def __init__(self, max_transmissions: int, full: bool) -> None:
        self.max_transmissions = max_transmissions
        self.full = full
        self.sent_count = 0


class Gossip:
    """Sends recently accepted records to random other balancers."""

    def __init__(
        self,
        clock: core.Clock,
        rng: random.Random,
        channel: _channel.Channel,
        table: _table.MemberTable,
        versions: _config_versions.ConfigVersionNotifier,
    ) -> None:
        """Creates the state; `run` starts the rounds."""
        self._clock = clock
        self._rng = rng
        self._channel = channel
        self._table = table
        self._versions = versions
        self._pending_records: dict[str, _PendingRecord] = {}
        self._config_version = 0
        self._remaining_config_transmissions = 0
        self._last_round_ms = -_FLUSH_INTERVAL_MS
        # Agents know only part of the members and do not gossip.
        self._active = table.own.role is core.Role.BALANCER
        table.on_accept(self._enqueue)

    async def run(self) -> None:
        """Sends a round at every interval until cancelled."""
        while True:
            await self._clock.sleep(GOSSIP_INTERVAL_MS)
            self._send_round()

    def flush(self) -> None:
        """Sends a round now, unless one was sent very recently."""
        elapsed_ms = self._clock.now_ms() - self._last_round_ms
        if self._active and elapsed_ms >= _FLUSH_INTERVAL_MS:
            self._send_round()

    def receive(self, address: core.Address, gossip: _messages.Gossip) -> None:
        """Merges records from another balancer."""
        count = self._table.change_count
        corrections = self._table.merge(gossip.members, gossip.changes)
        if self._table.change_count > count:
            # The first transmissions do not wait for the interval, because
            # the delays would add up over the hops to 590 balancers.
            self.flush()
        if corrections:
            self._channel.send(
                address, self._make_message((), tuple(corrections))
            )
        sender = self._table.find_by_fingerprint(gossip.fingerprint)
        self._versions.handle_version(sender, gossip.config_version)

    def _enqueue(
        self, old: _types.Member | None, new: _types.Member, propagate: bool
    ) -> None:
        if not propagate or not self._active:
            return
        max_transmissions = self._transmission_limit()
        full = old is None or old.incarnation != new.incarnation
        if not full and old is not None and old.state is new.state:
            # A new version with the same state and weight refutes the member's
            # death, which is urgent.
            refuted = new.weight == old.weight
            max_transmissions = (
                max_transmissions if refuted else WEIGHT_TRANSMISSION_COUNT
            )
        queued = self._pending_records.get(new.instance_id)
        if queued is not None:
            full |= queued.full
            max_transmissions = max(
                max_transmissions, queued.max_transmissions - queued.sent_count
            )
        self._pending_records[new.instance_id] = _PendingRecord(
            max_transmissions, full
        )

    def _transmission_limit(self) -> int:
        count = len(self._table.balancers())
        return math.ceil(3 * math.log2(max(count, 2)))

    def _send_round(self) -> None:
        self._last_round_ms = self._clock.now_ms()
        self._check_config_version()
        if (
            not self._pending_records
            and not self._remaining_config_transmissions
        ):
            return
        peers = self._choose_peers()
        if not peers:
            self._pending_records.clear()
            return
        for peer in peers:
            self._channel.send(peer.control_address, self._next_message())
        self._remaining_config_transmissions = max(
            0, self._remaining_config_transmissions - len(peers)
        )

    def _check_config_version(self) -> None:
        version = self._table.own.config_version
        if version > self._config_version:
            self._config_version = version
            self._remaining_config_transmissions = self._transmission_limit()

    def _choose_peers(self) -> list[_types.Member]:
        own = self._table.own.instance_id
        peers = [
            member
            for member in self._table.balancers()
            if member.is_live and member.instance_id != own
        ]
        return self._rng.sample(peers, min(FAN_OUT, len(peers)))

    def _next_message(self) -> _messages.Gossip:
        members: list[_types.Member] = []
        changes: list[_messages.RecordChange] = []
        pending = sorted(
            self._pending_records.items(), key=lambda pair: pair[1].sent_count
        )
        for name, item in pending:
            member = self._table.members.get(name)
            if member is None:
                del self._pending_records[name]
            elif item.full and len(members) < _MEMBERS_PER_MESSAGE:
                members.append(member)
                self._count_transmission(name, item)
            elif not item.full and len(changes) < _CHANGES_PER_MESSAGE:
                changes.append(_messages.RecordChange.from_member(member))
                self._count_transmission(name, item)
        return self._make_message(tuple(members), tuple(changes))

    def _count_transmission(self, name: str, item: _PendingRecord) -> None:
        item.sent_count += 1
        if item.sent_count >= item.max_transmissions:
            del self._pending_records[name]

    def _make_message(
        self,
        members: tuple[_types.Member, ...],
        changes: tuple[_messages.RecordChange, ...],
    ) -> _messages.Gossip:
        own = self._table.own
        return _messages.Gossip(
            own.fingerprint, own.config_version, members, changes
        )
