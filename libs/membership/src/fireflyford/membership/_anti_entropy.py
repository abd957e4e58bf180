"""Comparison of whole views, which finds what gossip has missed."""

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
# Until the first pull a joining balancer knows only a part of the members, and
# gossip sent before its socket was open is lost; so it compares often at first.
_JOIN_INTERVAL_MS = 300
_FIRST_INTERVAL_MS = 1_000
_FIRST_COUNT = 10
# Gossip on its way explains most differences of two digests.
_PULL_DELAY_MS = 300


class AntiEntropy(_channel.PullHandler):
    """Compares digests with one random balancer after another."""

    def __init__(
        self,
        clock: core.Clock,
        rng: random.Random,
        channel: _channel.Channel,
        table: _table.MemberTable,
        versions: _config_versions.ConfigVersions,
    ) -> None:
        """Prepares the comparison; `run` starts it."""
        self._clock = clock
        self._rng = rng
        self._channel = channel
        self._table = table
        self._versions = versions
        self._joined = False
        self._differing: list[_types.Member] = []
        self._differs = asyncio.Event()
        channel.register_pull_handler(self)

    async def run(self) -> None:
        """Joins, then compares until cancelled."""
        while not self._joined:
            await self._join()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._compare_loop())
            tasks.create_task(self._pull_loop())

    def receive(self, address: core.Address, digest: _messages.Digest) -> None:
        """Takes the digest of another balancer."""
        sender = self._table.find(digest.fingerprint)
        self._versions.hear(sender, digest.config_version)
        if digest.root == self._table.root():
            return
        if not digest.answer:
            self._send_digest(address, answer=True)
        if sender is not None and sender not in self._differing:
            self._differing.append(sender)
            self._differs.set()

    def differing_buckets(self, digests: tuple[int, ...]) -> tuple[int, ...]:
        """Returns the numbers of the buckets whose digest differs."""
        pairs = zip(self._table.digests(), digests, strict=False)
        return tuple(
            number for number, (own, other) in enumerate(pairs) if own != other
        )

    def pull(self, request: _messages.PullRequest) -> _messages.PullReply:
        """Returns what the asker lacks.

        Records that ended are told only to an asker that may have an older
        one, so that they are not passed on for ever.
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
                changes.append(_messages.Change.of(member))
        changes += self._table.burials(known)
        if known:
            # What is left may be earlier incarnations of those that ended.
            members += ended
        return _messages.PullReply(tuple(members), tuple(changes))

    async def _join(self) -> None:
        await self._clock.sleep(_JOIN_INTERVAL_MS)
        peers = self._live_peers()
        if peers:
            self._joined = await self._pull(self._rng.choice(peers))

    async def _compare_loop(self) -> None:
        for _ in range(_FIRST_COUNT):
            self._compare()
            await self._clock.sleep(_FIRST_INTERVAL_MS)
        while True:
            self._compare()
            await self._clock.sleep(ANTI_ENTROPY_INTERVAL_MS)

    def _compare(self) -> None:
        for peer in self._choose_peers():
            self._send_digest(peer.control_address, answer=False)

    async def _pull_loop(self) -> None:
        while True:
            await self._differs.wait()
            await self._clock.sleep(_PULL_DELAY_MS)
            self._differs.clear()
            differing, self._differing = self._differing, []
            await self._pull(self._rng.choice(differing))

    async def _pull(self, peer: _types.Member) -> bool:
        buckets = await self._channel.fetch_differing(
            peer.bulk_address, self._table.digests()
        )
        if buckets is None:
            return False
        if not buckets:
            return True
        summaries = tuple(
            _messages.Summary(member.fingerprint, member.version, member.state)
            for member in self._table.in_buckets(buckets)
        )
        reply = await self._channel.fetch_records(
            peer.bulk_address, _messages.PullRequest(buckets, summaries)
        )
        if reply is None:
            return False
        # Everyone pulls for itself. After a partition, deaths that are about
        # to be refuted spread no faster this way than the refutations.
        self._table.merge(reply.members, reply.changes, spread=False)
        return True

    def _choose_peers(self) -> Sequence[_types.Member]:
        """Returns a live peer and a dead one.

        After a partition each side holds the other for dead; the digest that
        reaches a dead balancer makes the two sides compare their views.
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

    def _send_digest(self, address: core.Address, answer: bool) -> None:
        own = self._table.own
        digest = _messages.Digest(
            own.fingerprint, own.config_version, self._table.root(), answer
        )
        self._channel.send(address, digest)
