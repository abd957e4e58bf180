"""Typed messages between members, independent of their encoding."""

import dataclasses
import enum

from fireflyford.membership import _types


class HeartbeatStatus(enum.Enum):
    """Status in an acknowledgement of a heartbeat."""

    RECEIVED = 0
    # The observer has no record of the sender, or an older version of it.
    UNKNOWN_MEMBER = 1
    # The observer already observes its share of members.
    REFUSED = 2


@dataclasses.dataclass(frozen=True, slots=True)
class RecordChange:
    """Changed fields of a record that the receiver already has.

    Attributes:
        fingerprint: Fingerprint of the member.
        version: New version of the record.
        state: New state of the member.
        weight: New capacity of the member.
    """

    fingerprint: int
    version: int
    state: _types.State
    weight: float

    @classmethod
    def from_member(cls, member: _types.Member) -> "RecordChange":
        """Returns the fields of a record that change within an incarnation."""
        return cls(
            member.fingerprint, member.version, member.state, member.weight
        )

    def apply(self, member: _types.Member) -> _types.Member:
        """Returns a copy of `member` with this change applied."""
        return dataclasses.replace(
            member, version=self.version, state=self.state, weight=self.weight
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Periodic message to an observer that has the sender's record.

    Attributes:
        fingerprint: Fingerprint of the sender.
        version: Version of the sender's record.
        acknowledged: Sequence number of the last update received.
    """

    fingerprint: int
    version: int
    acknowledged: int


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """Heartbeat with the sender's full record."""

    member: _types.Member
    acknowledged: int


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Answer to a heartbeat, with a status instead of records."""

    status: HeartbeatStatus


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """Answer to a heartbeat, with records that the member needs.

    Attributes:
        sequence: Sequence number that the next heartbeat acknowledges; 0 for
            a correction, which is not acknowledged.
        config_version: Configuration version in force at the observer.
        member_count: Number of members that the observer knows.
        members: Full records.
        changes: Changes to records sent before.
    """

    sequence: int
    config_version: int
    member_count: int
    members: tuple[_types.Member, ...]
    changes: tuple[RecordChange, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Gossip:
    """Recently accepted records, from one balancer to another.

    Attributes:
        fingerprint: Fingerprint of the sender.
        config_version: Configuration version in force at the sender.
        members: Full records.
        changes: Changes to records that were disseminated before.
    """

    fingerprint: int
    config_version: int
    members: tuple[_types.Member, ...]
    changes: tuple[RecordChange, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LivenessQuery:
    """Question to another observer whether a member is reachable."""

    fingerprint: int


@dataclasses.dataclass(frozen=True, slots=True)
class LivenessReply:
    """Answer to a `LivenessQuery`.

    Attributes:
        fingerprint: Fingerprint of the member.
        reachable: Whether the sender receives heartbeats of the member.
    """

    fingerprint: int
    reachable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ViewDigest:
    """Digest of all records, for comparison with another balancer's.

    Attributes:
        fingerprint: Fingerprint of the sender.
        config_version: Configuration version in force at the sender.
        root_digest: Digest over all buckets.
        is_reply: Whether this message replies to another digest.
    """

    fingerprint: int
    config_version: int
    root_digest: int
    is_reply: bool


Message = (
    Heartbeat
    | Announcement
    | Acknowledgement
    | Update
    | Gossip
    | LivenessQuery
    | LivenessReply
    | ViewDigest
)


@dataclasses.dataclass(frozen=True, slots=True)
class RecordSummary:
    """Identity and precedence of one record, without its content."""

    fingerprint: int
    version: int
    state: _types.State


@dataclasses.dataclass(frozen=True, slots=True)
class PullRequest:
    """Request for missing or outdated records in some buckets.

    Attributes:
        buckets: Numbers of the buckets.
        summaries: Summaries of all records that the sender has in them.
    """

    buckets: tuple[int, ...]
    summaries: tuple[RecordSummary, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PullReply:
    """Records that are missing or outdated at the requesting balancer."""

    members: tuple[_types.Member, ...]
    changes: tuple[RecordChange, ...]
