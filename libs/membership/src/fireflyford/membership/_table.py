"""Records of all members that an instance knows, merged by their order."""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

import xxhash

from fireflyford import core
from fireflyford.membership import _messages
from fireflyford.membership import _types

BUCKET_COUNT = 64
# Dead balancers stay known for longer than partitions last, so that the two
# sides find each other again.
FORGET_MS = 3_600_000
# A forgotten record cannot come back from a member that was paused for less.
TOMBSTONE_MS = 86_400_000

# Takes the old record, the new one, and whether to spread it further.
AcceptListener = Callable[[_types.Member | None, _types.Member, bool], None]


@dataclasses.dataclass(frozen=True)
class _Tombstone:
    """Order of a forgotten record; older records are refused."""

    member: _types.Member
    until_ms: int


class MemberTable:
    """The one place where records are accepted or refused."""

    def __init__(self, clock: core.Clock, own: _types.Member) -> None:
        """Starts with this instance's own record."""
        self._clock = clock
        self.own = own
        self.withdrawn = False
        self.change_count = 0
        self._members: dict[str, _types.Member] = {}
        self._names: dict[int, str] = {}
        self._addresses: dict[core.Address, str] = {}
        self._services: dict[str, set[str]] = {}
        self._balancers: set[str] = set()
        self._ended_ms: dict[str, int] = {}
        self._tombstones: dict[str, _Tombstone] = {}
        self._digests = [0] * BUCKET_COUNT
        self._accept_listeners: list[AcceptListener] = []
        self._batch_listeners: list[Callable[[], None]] = []
        self._own_listeners: list[Callable[[], None]] = []
        self._store(own)

    @property
    def members(self) -> Mapping[str, _types.Member]:
        """Records by instance name."""
        return self._members

    def on_accept(self, listener: AcceptListener) -> None:
        """Calls `listener` for each accepted record."""
        self._accept_listeners.append(listener)

    def on_batch(self, listener: Callable[[], None]) -> None:
        """Calls `listener` after records were accepted together."""
        self._batch_listeners.append(listener)

    def on_own(self, listener: Callable[[], None]) -> None:
        """Calls `listener` after this instance's record was changed."""
        self._own_listeners.append(listener)

    def find(self, fingerprint: int) -> _types.Member | None:
        """Returns the member with a fingerprint."""
        name = self._names.get(fingerprint)
        return None if name is None else self._members[name]

    @property
    def live_count(self) -> int:
        """Members that are alive or draining."""
        return len(self._members) - len(self._ended_ms)

    def at_address(self, address: core.Address) -> _types.Member | None:
        """Returns the member with a control address."""
        name = self._addresses.get(address)
        return None if name is None else self._members.get(name)

    def service_members(self, service: str) -> list[_types.Member]:
        """Returns every known agent of a service, dead ones included."""
        return [self._members[name] for name in self._services.get(service, ())]

    def balancers(self) -> list[_types.Member]:
        """Returns every known balancer, dead ones included."""
        return [self._members[name] for name in self._balancers]

    def observing_balancers(self) -> list[_types.Member]:
        """Returns the balancers that members choose their observers from.

        Draining balancers serve only when no other one is left.
        """
        live = [member for member in self.balancers() if member.is_live]
        alive = [
            member for member in live if member.state is _types.State.ALIVE
        ]
        return alive or live

    def merge(
        self,
        members: Iterable[_types.Member],
        changes: Iterable[_messages.Change] = (),
        spread: bool = True,
    ) -> list[_messages.Change]:
        """Accepts the records that are newer than the known ones.

        Args:
            members: Whole records.
            changes: Changes of records, dropped when the record is unknown.
            spread: Whether the news may be told to others.

        Returns:
            Corrections for the sender, where it has a forgotten record.
        """
        count = self.change_count
        corrections = []
        for member in members:
            tombstone = self._merge_one(member, spread)
            if tombstone is not None:
                corrections.append(tombstone)
        for change in changes:
            known = self.find(change.fingerprint)
            if known is not None:
                self._merge_one(change.apply(known), spread)
        if self.change_count > count:
            self._notify_batch()
        return corrections

    def set_own(self, own: _types.Member) -> None:
        """Replaces this instance's own record."""
        old, self.own = self.own, own
        self._store(own)
        if own.order != old.order:
            self._notify(old, own, True)
        for listener in self._own_listeners:
            listener()
        self._notify_batch()

    def buried(self, member: _types.Member) -> _messages.Change | None:
        """Returns the tombstone that refuses a record, if there is one."""
        tombstone = self._tombstones.get(member.instance_id)
        if tombstone is None or member.order > tombstone.member.order:
            return None
        return _messages.Change.of(tombstone.member)

    def burials(self, fingerprints: Container[int]) -> list[_messages.Change]:
        """Returns the tombstones of some fingerprints."""
        return [
            _messages.Change.of(tombstone.member)
            for tombstone in self._tombstones.values()
            if tombstone.member.fingerprint in fingerprints
        ]

    def drop(self, names: Iterable[str]) -> None:
        """Removes records that this instance no longer needs."""
        dropped = [self._members[name] for name in names]
        for member in dropped:
            self._remove(member)
        if dropped:
            self.change_count += 1
            self._notify_batch()

    def forget_ended(self) -> None:
        """Replaces records that ended long ago by tombstones."""
        now_ms = self._clock.now_ms()
        old = [
            name
            for name, ended_ms in self._ended_ms.items()
            if now_ms - ended_ms >= FORGET_MS and name != self.own.instance_id
        ]
        for name in old:
            self._tombstones[name] = _Tombstone(
                self._members[name], now_ms + TOMBSTONE_MS
            )
        self.drop(old)
        for name, tombstone in list(self._tombstones.items()):
            if tombstone.until_ms <= now_ms:
                del self._tombstones[name]

    def digests(self) -> tuple[int, ...]:
        """Returns the digest of each bucket."""
        return tuple(self._digests)

    def root(self) -> int:
        """Returns the digest over all buckets."""
        data = b"".join(digest.to_bytes(8) for digest in self._digests)
        return xxhash.xxh64_intdigest(data)

    def in_buckets(self, buckets: Iterable[int]) -> list[_types.Member]:
        """Returns the records in some buckets."""
        wanted = frozenset(buckets)
        return [
            member
            for member in self._members.values()
            if _bucket(member) in wanted
        ]

    def _merge_one(
        self, member: _types.Member, spread: bool
    ) -> _messages.Change | None:
        if self._concerns_own(member):
            return None
        tombstone = self.buried(member)
        if tombstone is not None:
            return tombstone
        known = self._members.get(member.instance_id)
        if known is None or member.order > known.order:
            self._store(member)
            self._notify(known, member, spread)
        elif (
            member.order == known.order
            and member.config_version > known.config_version
        ):
            self._members[member.instance_id] = member
        return None

    def _concerns_own(self, member: _types.Member) -> bool:
        own = self.own
        same_name = member.instance_id == own.instance_id
        same_address = member.control_address == own.control_address
        if member.is_live and member.incarnation > own.incarnation:
            self.withdrawn |= same_name or same_address
        if (
            same_name
            and member.incarnation == own.incarnation
            and member.order > own.order
        ):
            self.set_own(dataclasses.replace(own, version=member.version + 1))
        return same_name

    def _store(self, member: _types.Member) -> None:
        known = self._members.get(member.instance_id)
        if known is not None:
            self._remove(known)
        name = member.instance_id
        self._members[name] = member
        self._names[member.fingerprint] = name
        if member.is_live or member.control_address not in self._addresses:
            self._addresses[member.control_address] = name
        if member.role is core.Role.BALANCER:
            self._balancers.add(name)
        else:
            self._services.setdefault(member.service, set()).add(name)
        if not member.is_live:
            self._ended_ms[name] = self._clock.now_ms()
        self._tombstones.pop(name, None)
        self._digests[_bucket(member)] ^= _item_digest(member)

    def _remove(self, member: _types.Member) -> None:
        name = member.instance_id
        del self._members[name]
        del self._names[member.fingerprint]
        if self._addresses.get(member.control_address) == name:
            del self._addresses[member.control_address]
        self._balancers.discard(name)
        if member.role is core.Role.AGENT:
            names = self._services[member.service]
            names.discard(name)
            if not names:
                del self._services[member.service]
        self._ended_ms.pop(name, None)
        self._digests[_bucket(member)] ^= _item_digest(member)

    def _notify(
        self, old: _types.Member | None, new: _types.Member, spread: bool
    ) -> None:
        self.change_count += 1
        for listener in self._accept_listeners:
            listener(old, new, spread)

    def _notify_batch(self) -> None:
        for listener in self._batch_listeners:
            listener()


def _bucket(member: _types.Member) -> int:
    return xxhash.xxh64_intdigest(member.instance_id.encode()) % BUCKET_COUNT


def _item_digest(member: _types.Member) -> int:
    # Records that ended count as absent, so that an instance which joined
    # later need not learn them and nothing keeps them alive for ever. The
    # configuration version is left out: every member changes it at each push,
    # and it spreads by itself.
    if not member.is_live:
        return 0
    return xxhash.xxh64_intdigest(
        f"{member.instance_id}/{member.order}".encode()
    )
