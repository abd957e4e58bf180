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
# Number of balancers that receive a message in each round.
FAN_OUT = 3
# A change of weight alone is not urgent. Balancers missed by these few
# transmissions are updated by anti-entropy.
WEIGHT_TRANSMISSION_COUNT = 6
# Minimum time between the last round and one that does not wait for the gossip
# interval.
_MIN_FLUSH_INTERVAL_MS = 50
# Together these limits keep a message below 1,200 bytes, which avoids IP
# fragmentation.
_MAX_MEMBERS_PER_MESSAGE = 6
_MAX_CHANGES_PER_MESSAGE = 20


class _PendingRecord:
    """Transmission state of one record.

    Attributes:
        max_transmissions: Number of times that the record is sent.
        full: Whether to send the full record instead of the fields that change
            within an incarnation.
        sent_count: Number of transmissions so far.
    """

    def __init__(self, max_transmissions: int, full: bool) -> None:
        self.max_transmissions = max_transmissions
        self.full = full
        self.sent_count = 0


class Gossip:
    """Sends recently accepted records to random other balancers.

    Each message also carries the configuration version in force.
    """

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
        self._announced_config_version = 0
        # Messages still to be sent with a new configuration version, even if no
        # record is pending.
        self._remaining_config_transmissions = 0
        self._last_round_ms = -_MIN_FLUSH_INTERVAL_MS
        # Agents know only part of the members and do not gossip.
        self._is_balancer = table.own.role is core.Role.BALANCER
        table.on_accept(self._enqueue)

    async def run(self) -> None:
        """Sends a round at every interval until cancelled."""
        while True:
            await self._clock.sleep(GOSSIP_INTERVAL_MS)
            self._send_round()

    def flush(self) -> None:
        """Sends a round now, unless one was sent very recently.

        Does nothing at an agent.
        """
        elapsed_ms = self._clock.now_ms() - self._last_round_ms
        if self._is_balancer and elapsed_ms >= _MIN_FLUSH_INTERVAL_MS:
            self._send_round()

    def receive(self, address: core.Address, gossip: _messages.Gossip) -> None:
        """Merges records from another balancer."""
        count = self._table.change_count
        corrections = self._table.merge(gossip.members, gossip.changes)
        if self._table.change_count > count:
            # The first transmissions do not wait for the interval, because
            # the delays would add up over the hops to 590 balancers.
            self.flush()
        # Tombstones for records that this balancer has removed and the sender
        # has not.
        if corrections:
            self._channel.send(
                address, self._make_message((), tuple(corrections))
            )
        sender = self._table.find_by_fingerprint(gossip.fingerprint)
        self._versions.handle_version(sender, gossip.config_version)

    def _enqueue(
        self, old: _types.Member | None, new: _types.Member, propagate: bool
    ) -> None:
        if not propagate or not self._is_balancer:
            return
        max_transmissions = self._transmission_limit()
        full = old is None or old.incarnation != new.incarnation
        if not full and old is not None and old.state is new.state:
            # A member that refutes its death sends a new version with the same
            # state and weight, which is urgent.
            is_refutation = new.weight == old.weight
            max_transmissions = (
                max_transmissions
                if is_refutation
                else WEIGHT_TRANSMISSION_COUNT
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
        """Returns how often to send an urgent record or configuration version.

        The number of rounds until gossip has reached all balancers grows with
        the logarithm of their number.
        """
        count = len(self._table.balancers())
        return math.ceil(3 * math.log2(max(count, 2)))

    def _send_round(self) -> None:
        self._last_round_ms = self._clock.now_ms()
        self._announce_config_version()
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

    def _announce_config_version(self) -> None:
        """Starts to announce the version in force, if that has increased."""
        version = self._table.own.config_version
        if version > self._announced_config_version:
            self._announced_config_version = version
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
        least_sent_first = sorted(
            self._pending_records.items(), key=lambda pair: pair[1].sent_count
        )
        for name, pending in least_sent_first:
            member = self._table.members.get(name)
            if member is None:
                del self._pending_records[name]
            elif pending.full and len(members) < _MAX_MEMBERS_PER_MESSAGE:
                members.append(member)
                self._count_transmission(name, pending)
            elif not pending.full and len(changes) < _MAX_CHANGES_PER_MESSAGE:
                changes.append(_messages.RecordChange.from_member(member))
                self._count_transmission(name, pending)
        return self._make_message(tuple(members), tuple(changes))

    def _count_transmission(self, name: str, pending: _PendingRecord) -> None:
        pending.sent_count += 1
        if pending.sent_count >= pending.max_transmissions:
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
