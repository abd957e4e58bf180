"""Push gossip of fresh records among balancers."""

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
# A change of weight alone is not urgent; what these few transmissions miss is
# found by anti-entropy.
WEIGHT_TRANSMISSION_COUNT = 6
# Shortest time between two rounds when news does not wait for the interval.
_FLUSH_INTERVAL_MS = 50
# Together these stay under 1,200 bytes, so that no datagram is fragmented.
_MEMBERS_PER_MESSAGE = 6
_CHANGES_PER_MESSAGE = 20


class _Item:
    """One fresh record and what is left to send of it."""

    def __init__(self, limit: int, whole: bool) -> None:
        self.limit = limit
        self.whole = whole
        self.sent_count = 0


class Gossip:
    """Sends what this balancer has learned lately to random others."""

    def __init__(
        self,
        clock: core.Clock,
        rng: random.Random,
        channel: _channel.Channel,
        table: _table.MemberTable,
        versions: _config_versions.ConfigVersions,
    ) -> None:
        """Prepares the gossip; `run` sends it."""
        self._clock = clock
        self._rng = rng
        self._channel = channel
        self._table = table
        self._versions = versions
        self._items: dict[str, _Item] = {}
        self._config_version = 0
        self._config_left_count = 0
        self._last_round_ms = -_FLUSH_INTERVAL_MS
        # Agents know a part of the members and pass on nothing.
        self._active = table.own.role is core.Role.BALANCER
        table.on_accept(self._enqueue)

    async def run(self) -> None:
        """Sends rounds until cancelled."""
        while True:
            await self._clock.sleep(GOSSIP_INTERVAL_MS)
            self._send_round()

    def flush(self) -> None:
        """Sends news now, unless a round has just been sent."""
        elapsed_ms = self._clock.now_ms() - self._last_round_ms
        if self._active and elapsed_ms >= _FLUSH_INTERVAL_MS:
            self._send_round()

    def receive(self, address: core.Address, gossip: _messages.Gossip) -> None:
        """Merges news of another balancer."""
        count = self._table.change_count
        corrections = self._table.merge(gossip.members, gossip.changes)
        if self._table.change_count > count:
            # The first transmissions do not wait for the interval, which
            # would add up over the hops to 590 balancers.
            self.flush()
        if corrections:
            self._channel.send(address, self._message((), tuple(corrections)))
        sender = self._table.find(gossip.fingerprint)
        self._versions.hear(sender, gossip.config_version)

    def _enqueue(
        self, old: _types.Member | None, new: _types.Member, spread: bool
    ) -> None:
        if not spread or not self._active:
            return
        limit = self._transmission_limit()
        whole = old is None or old.incarnation != new.incarnation
        if not whole and old is not None and old.state is new.state:
            refuted = new.weight == old.weight
            limit = limit if refuted else WEIGHT_TRANSMISSION_COUNT
        waiting = self._items.get(new.instance_id)
        if waiting is not None:
            whole |= waiting.whole
            limit = max(limit, waiting.limit - waiting.sent_count)
        self._items[new.instance_id] = _Item(limit, whole)

    def _transmission_limit(self) -> int:
        count = len(self._table.balancers())
        return math.ceil(3 * math.log2(max(count, 2)))

    def _send_round(self) -> None:
        self._last_round_ms = self._clock.now_ms()
        self._check_config_version()
        if not self._items and not self._config_left_count:
            return
        peers = self._choose_peers()
        if not peers:
            self._items.clear()
            return
        for peer in peers:
            self._channel.send(peer.control_address, self._next_message())
        self._config_left_count = max(0, self._config_left_count - len(peers))

    def _check_config_version(self) -> None:
        version = self._table.own.config_version
        if version > self._config_version:
            self._config_version = version
            self._config_left_count = self._transmission_limit()

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
        changes: list[_messages.Change] = []
        fresh = sorted(self._items.items(), key=lambda pair: pair[1].sent_count)
        for name, item in fresh:
            member = self._table.members.get(name)
            if member is None:
                del self._items[name]
            elif item.whole and len(members) < _MEMBERS_PER_MESSAGE:
                members.append(member)
                self._count_transmission(name, item)
            elif not item.whole and len(changes) < _CHANGES_PER_MESSAGE:
                changes.append(_messages.Change.of(member))
                self._count_transmission(name, item)
        return self._message(tuple(members), tuple(changes))

    def _count_transmission(self, name: str, item: _Item) -> None:
        item.sent_count += 1
        if item.sent_count >= item.limit:
            del self._items[name]

    def _message(
        self,
        members: tuple[_types.Member, ...],
        changes: tuple[_messages.Change, ...],
    ) -> _messages.Gossip:
        own = self._table.own
        return _messages.Gossip(
            own.fingerprint, own.config_version, members, changes
        )
