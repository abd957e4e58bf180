"""Table of member records, merged by their precedence."""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

import xxhash

from fireflyford import core
from fireflyford.membership import _messages
from fireflyford.membership import _types

# Records are divided into buckets by instance name, so that balancers whose
# tables differ exchange only the buckets with different digests.
BUCKET_COUNT = 64
# Records of ended members, which are dead or have left, are kept for longer
# than partitions last. In a partition each side declares the other dead, and
# its balancers find those of the other side again by these records.
ENDED_RETENTION_MS = 3_600_000
# A member that was paused for less than this cannot reintroduce a removed
# record.
TOMBSTONE_LIFETIME_MS = 86_400_000

# Called with the old record, the new one, and whether to propagate it.
AcceptListener = Callable[[_types.Member | None, _types.Member, bool], None]


@dataclasses.dataclass(frozen=True)
class _Tombstone:
    """Last content of a removed record; only newer records are accepted."""

    member: _types.Member
    until_ms: int


class MemberTable:
    """Accepts or refuses records and notifies listeners of changes.

    Of the records of one instance, the one with the highest `order`, which is
    (incarnation, version, state), is kept.

    Attributes:
        own: Record of this instance.
        withdrawn: Whether an instance that started later has taken this
            instance's name or address, so that this instance has to leave.
        change_count: Number of changes so far.
    """

    def __init__(self, clock: core.Clock, own: _types.Member) -> None:
        """Creates a table that holds this instance's own record."""
        self._clock = clock
        self.own = own
        self.withdrawn = False
        self.change_count = 0
        self._members: dict[str, _types.Member] = {}
        self._names_by_fingerprint: dict[int, str] = {}
        self._names_by_address: dict[core.Address, str] = {}
        self._names_by_service: dict[str, set[str]] = {}
        self._balancer_names: set[str] = set()
        self._ended_ms: dict[str, int] = {}
        self._tombstones: dict[str, _Tombstone] = {}
        # The digest of a bucket is the XOR of its records' digests, so the same
        # operation adds and removes a record.
        self._digests = [0] * BUCKET_COUNT
        self._accept_listeners: list[AcceptListener] = []
        self._batch_listeners: list[Callable[[], None]] = []
        self._own_change_listeners: list[Callable[[], None]] = []
        self._store(own)

    @property
    def members(self) -> Mapping[str, _types.Member]:
        """Records of all known members by instance name."""
        return self._members

    def on_accept(self, listener: AcceptListener) -> None:
        """Registers a listener for each accepted record."""
        self._accept_listeners.append(listener)

    def on_batch(self, listener: Callable[[], None]) -> None:
        """Registers a listener called once after each batch of changes."""
        self._batch_listeners.append(listener)

    def on_own_change(self, listener: Callable[[], None]) -> None:
        """Registers a listener for changes of this instance's record."""
        self._own_change_listeners.append(listener)

    def find_by_fingerprint(self, fingerprint: int) -> _types.Member | None:
        """Returns the member with a fingerprint, if it is known.

        A fingerprint is a hash of the instance name and the incarnation.
        """
        name = self._names_by_fingerprint.get(fingerprint)
        return None if name is None else self._members[name]

    @property
    def live_count(self) -> int:
        """Number of members that are alive or draining."""
        return len(self._members) - len(self._ended_ms)

    def find_by_address(self, address: core.Address) -> _types.Member | None:
        """Returns the member with a control address, if it is known."""
        name = self._names_by_address.get(address)
        return None if name is None else self._members.get(name)

    def service_members(self, service: str) -> list[_types.Member]:
        """Returns all known agents of a service, including ended ones."""
        return [
            self._members[name]
            for name in self._names_by_service.get(service, ())
        ]

    def balancers(self) -> list[_types.Member]:
        """Returns all known balancers, including ended ones."""
        return [self._members[name] for name in self._balancer_names]

    def observing_balancers(self) -> list[_types.Member]:
        """Returns the possible observers, which receive members' heartbeats.

        Draining balancers are used only if no balancer is alive.
        """
        live = [member for member in self.balancers() if member.is_live]
        alive = [
            member for member in live if member.state is _types.State.ALIVE
        ]
        return alive or live

    def merge(
        self,
        members: Iterable[_types.Member],
        changes: Iterable[_messages.RecordChange] = (),
        propagate: bool = True,
    ) -> list[_messages.RecordChange]:
        """Accepts records that are newer than the known ones.

        Args:
            members: Full records.
            changes: Changes of records; ignored if the record is unknown.
            propagate: Whether accepted records may be sent to other members.

        Returns:
            Tombstones that superseded some of `members`, for the sender, which
            still has these records.
        """
        count = self.change_count
        corrections = []
        for member in members:
            tombstone = self._merge_one(member, propagate)
            if tombstone is not None:
                corrections.append(tombstone)
        for change in changes:
            known = self.find_by_fingerprint(change.fingerprint)
            if known is not None:
                self._merge_one(change.apply(known), propagate)
        if self.change_count > count:
            self._notify_batch()
        return corrections

    def set_own(self, own: _types.Member) -> None:
        """Replaces this instance's own record."""
        old, self.own = self.own, own
        self._store(own)
        if own.order != old.order:
            self._notify(old, own, True)
        for listener in self._own_change_listeners:
            listener()
        self._notify_batch()

    def find_tombstone(
        self, member: _types.Member
    ) -> _messages.RecordChange | None:
        """Returns the tombstone that supersedes a record, if there is one."""
        tombstone = self._tombstones.get(member.instance_id)
        if tombstone is None or member.order > tombstone.member.order:
            return None
        return _messages.RecordChange.from_member(tombstone.member)

    def find_tombstones(
        self, fingerprints: Container[int]
    ) -> list[_messages.RecordChange]:
        """Returns the tombstones with the given fingerprints."""
        return [
            _messages.RecordChange.from_member(tombstone.member)
            for tombstone in self._tombstones.values()
            if tombstone.member.fingerprint in fingerprints
        ]

    def drop(self, names: Iterable[str]) -> None:
        """Removes records without creating tombstones."""
        dropped = [self._members[name] for name in names]
        for member in dropped:
            self._remove(member)
        if dropped:
            self.change_count += 1
            self._notify_batch()

    def expire_ended(self) -> None:
        """Replaces old records of ended members by tombstones.

        Also removes tombstones at the end of their lifetime.
        """
        now_ms = self._clock.now_ms()
        old = [
            name
            for name, ended_ms in self._ended_ms.items()
            if now_ms - ended_ms >= ENDED_RETENTION_MS
            and name != self.own.instance_id
        ]
        for name in old:
            self._tombstones[name] = _Tombstone(
                self._members[name], now_ms + TOMBSTONE_LIFETIME_MS
            )
        self.drop(old)
        for name, tombstone in list(self._tombstones.items()):
            if tombstone.until_ms <= now_ms:
                del self._tombstones[name]

    def digests(self) -> tuple[int, ...]:
        """Returns the digest of each bucket."""
        return tuple(self._digests)

    def root_digest(self) -> int:
        """Returns the digest over all buckets."""
        data = b"".join(digest.to_bytes(8) for digest in self._digests)
        return xxhash.xxh64_intdigest(data)

    def in_buckets(self, buckets: Iterable[int]) -> list[_types.Member]:
        """Returns the records in the given buckets."""
        wanted = frozenset(buckets)
        return [
            member
            for member in self._members.values()
            if _bucket(member) in wanted
        ]

    def _merge_one(
        self, member: _types.Member, propagate: bool
    ) -> _messages.RecordChange | None:
        if self._handle_own_record(member):
            return None
        tombstone = self.find_tombstone(member)
        if tombstone is not None:
            return tombstone
        known = self._members.get(member.instance_id)
        if known is None or member.order > known.order:
            self._store(member)
            self._notify(known, member, propagate)
        elif (
            member.order == known.order
            and member.config_version > known.config_version
        ):
            # Not notified, since configuration versions are propagated
            # separately.
            self._members[member.instance_id] = member
        return None

    def _handle_own_record(self, member: _types.Member) -> bool:
        """Refutes a record of this instance, or withdraws for a later start.

        A record of this incarnation that is newer than the own one was made by
        another member, for example to declare this instance dead. The next
        version of the own record refutes it.

        Returns:
            Whether the record has this instance's name, in which case it is
            not merged.
        """
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
        self._names_by_fingerprint[member.fingerprint] = name
        # A live member may reuse the address of an ended one, but an ended one
        # does not replace another member.
        if (
            member.is_live
            or member.control_address not in self._names_by_address
        ):
            self._names_by_address[member.control_address] = name
        if member.role is core.Role.BALANCER:
            self._balancer_names.add(name)
        else:
            self._names_by_service.setdefault(member.service, set()).add(name)
        if not member.is_live:
            self._ended_ms[name] = self._clock.now_ms()
        self._tombstones.pop(name, None)
        self._digests[_bucket(member)] ^= _record_digest(member)

    def _remove(self, member: _types.Member) -> None:
        name = member.instance_id
        del self._members[name]
        del self._names_by_fingerprint[member.fingerprint]
        if self._names_by_address.get(member.control_address) == name:
            del self._names_by_address[member.control_address]
        self._balancer_names.discard(name)
        if member.role is core.Role.AGENT:
            names = self._names_by_service[member.service]
            names.discard(name)
            if not names:
                del self._names_by_service[member.service]
        self._ended_ms.pop(name, None)
        self._digests[_bucket(member)] ^= _record_digest(member)

    def _notify(
        self, old: _types.Member | None, new: _types.Member, propagate: bool
    ) -> None:
        self.change_count += 1
        for listener in self._accept_listeners:
            listener(old, new, propagate)

    def _notify_batch(self) -> None:
        for listener in self._batch_listeners:
            listener()


def _bucket(member: _types.Member) -> int:
    return xxhash.xxh64_intdigest(member.instance_id.encode()) % BUCKET_COUNT


def _record_digest(member: _types.Member) -> int:
    # Ended members count as absent, so that instances which joined later do
    # not have to learn them and their records do not circulate indefinitely.
    # The configuration version is excluded, because every member changes it at
    # each push and it is propagated separately.
    if not member.is_live:
        return 0
    return xxhash.xxh64_intdigest(
        f"{member.instance_id}/{member.order}".encode()
    )
