"""Anti-entropy between balancers, which repairs what gossip has missed."""

import asyncio
from collections.abc import Sequence
import random

from fireflyford import core
from fireflyford.membership import _channel
from fireflyford.membership import _config_versions
from fireflyford.membership import _messages
from fireflyford.membership import _table
from fireflyford.membership import _types

ANTI_ENTROPY_INTERVAL_MS = 5_000
# Before its first pull a joining balancer knows only part of the members, and
# gossip sent before its socket was open is lost. It therefore compares more
# often at first.
_JOIN_INTERVAL_MS = 300
_STARTUP_INTERVAL_MS = 1_000
_STARTUP_COMPARISON_COUNT = 10
# Most digest differences are due to gossip in flight and vanish within this
# time.
_PULL_DELAY_MS = 300


class AntiEntropy(_channel.PullHandler):
    """Compares digests with random balancers and pulls differing records."""

    def __init__(
        self,
        clock: core.Clock,
        rng: random.Random,
        channel: _channel.Channel,
        table: _table.MemberTable,
        versions: _config_versions.ConfigVersionNotifier,
    ) -> None:
        """Registers the pull handler; `run` starts the comparisons."""
        self._clock = clock
        self._rng = rng
        self._channel = channel
        self._table = table
        self._versions = versions
        self._joined = False
        self._differing_peers: list[_types.Member] = []
        self._difference_found = asyncio.Event()
        channel.register_pull_handler(self)

    async def run(self) -> None:
        """Pulls all records once, then compares until cancelled."""
        while not self._joined:
            await self._join()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._compare_loop())
            tasks.create_task(self._pull_loop())

    def receive(
        self, address: core.Address, digest: _messages.ViewDigest
    ) -> None:
        """Handles the digest of another balancer."""
        sender = self._table.find_by_fingerprint(digest.fingerprint)
        self._versions.handle_version(sender, digest.config_version)
        if digest.root_digest == self._table.root_digest():
            return
        if not digest.is_reply:
            self._send_digest(address, is_reply=True)
        if sender is not None and sender not in self._differing_peers:
            self._differing_peers.append(sender)
            self._difference_found.set()

    def differing_buckets(self, digests: tuple[int, ...]) -> tuple[int, ...]:
        """Returns the numbers of the buckets whose digests differ."""
        pairs = zip(self._table.digests(), digests, strict=False)
        return tuple(
            number for number, (own, other) in enumerate(pairs) if own != other
        )

    def pull(self, request: _messages.PullRequest) -> _messages.PullReply:
        """Returns the records that the requesting balancer lacks.

        Records of ended members are sent only if the requesting balancer may
        have an older record. Otherwise they would circulate indefinitely.
        """
        known = {
            summary.fingerprint: (summary.version, summary.state.value)
            for summary in request.summaries
        }
        members: list[_types.Member] = []
        changes = []
        ended: list[_types.Member] = []
        for member in self._table.in_buckets(request.buckets):
            order = known.pop(member.fingerprint, None)
            if order is None:
                (members if member.is_live else ended).append(member)
            elif order < member.order[1:]:
                changes.append(_messages.RecordChange.from_member(member))
        changes += self._table.find_tombstones(known)
        if known:
            # The remaining summaries may belong to earlier incarnations of
            # ended members.
            members += ended
        return _messages.PullReply(tuple(members), tuple(changes))

    async def _join(self) -> None:
        await self._clock.sleep(_JOIN_INTERVAL_MS)
        peers = self._live_peers()
        if peers:
            self._joined = await self._pull(self._rng.choice(peers))

    async def _compare_loop(self) -> None:
        for _ in range(_STARTUP_COMPARISON_COUNT):
            self._send_digests()
            await self._clock.sleep(_STARTUP_INTERVAL_MS)
        while True:
            self._send_digests()
            await self._clock.sleep(ANTI_ENTROPY_INTERVAL_MS)

    def _send_digests(self) -> None:
        for peer in self._choose_peers():
            self._send_digest(peer.control_address, is_reply=False)

    async def _pull_loop(self) -> None:
        while True:
            await self._difference_found.wait()
            await self._clock.sleep(_PULL_DELAY_MS)
            self._difference_found.clear()
            peers, self._differing_peers = self._differing_peers, []
            await self._pull(self._rng.choice(peers))

    async def _pull(self, peer: _types.Member) -> bool:
        buckets = await self._channel.fetch_differing_buckets(
            peer.bulk_address, self._table.digests()
        )
        if buckets is None:
            return False
        if not buckets:
            return True
        summaries = tuple(
            _messages.RecordSummary(
                member.fingerprint, member.version, member.state
            )
            for member in self._table.in_buckets(buckets)
        )
        reply = await self._channel.fetch_records(
            peer.bulk_address, _messages.PullRequest(buckets, summaries)
        )
        if reply is None:
            return False
        # Pulled records are not propagated, because every balancer pulls for
        # itself. After a partition, deaths that are about to be refuted would
        # otherwise spread faster than their refutations.
        self._table.merge(reply.members, reply.changes, propagate=False)
        return True

    def _choose_peers(self) -> Sequence[_types.Member]:
        """Returns a random live balancer and a random dead one, if any.

        After a partition each side considers the other dead. A digest that
        reaches a supposedly dead balancer makes the sides compare their views.
        """
        live = self._live_peers()
        dead = [
            member
            for member in self._table.balancers()
            if member.state is _types.State.DEAD
        ]
        return [self._rng.choice(group) for group in (live, dead) if group]

    def _live_peers(self) -> list[_types.Member]:
        own = self._table.own.instance_id
        return [
            member
            for member in self._table.balancers()
            if member.is_live and member.instance_id != own
        ]

    def _send_digest(self, address: core.Address, is_reply: bool) -> None:
        own = self._table.own
        digest = _messages.ViewDigest(
            own.fingerprint,
            own.config_version,
            self._table.root_digest(),
            is_reply,
        )
        self._channel.send(address, digest)
