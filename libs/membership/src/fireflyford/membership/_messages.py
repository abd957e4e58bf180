"""Messages between members, as typed values without their encoding."""

import dataclasses
import enum

from fireflyford.membership import _types


class Answer(enum.Enum):
    """What an observer says to a heartbeat without other content."""

    HEARD = 0
    # The observer lacks the record of the sender or has an older one.
    UNKNOWN = 1
    # The observer watches its share of members already.
    REFUSED = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """New state of a member whose record the receiver has.

    Attributes:
        fingerprint: Fingerprint of the member.
        version: Version of the record.
        state: Life of the member.
        weight: Capacity of the member.
    """

    fingerprint: int
    version: int
    state: _types.State
    weight: float

    @classmethod
    def of(cls, member: _types.Member) -> "Change":
        """Returns the part of a record that changes within an incarnation."""
        return cls(
            member.fingerprint, member.version, member.state, member.weight
        )

    def apply(self, member: _types.Member) -> _types.Member:
        """Returns `member` with this change."""
        return dataclasses.replace(
            member, version=self.version, state=self.state, weight=self.weight
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A sign of life, from a member to an observer that has its record.

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
    """A heartbeat with the sender's whole record."""

    member: _types.Member
    acknowledged: int


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Answer to a heartbeat when there is nothing new to tell."""

    answer: Answer


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """Answer to a heartbeat with what that member needs.

    Attributes:
        sequence: Returned by the next heartbeat.
        config_version: Configuration version in force at the observer.
        member_count: Members that the observer knows.
        members: Whole records.
        changes: Changes of records sent before.
    """

    sequence: int
    config_version: int
    member_count: int
    members: tuple[_types.Member, ...]
    changes: tuple[Change, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Gossip:
    """Fresh records, from a balancer to another one.

    Attributes:
        fingerprint: Fingerprint of the sender.
        config_version: Configuration version in force at the sender.
        members: Whole records.
        changes: Changes of records spread before.
    """

    fingerprint: int
    config_version: int
    members: tuple[_types.Member, ...]
    changes: tuple[Change, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """Asks another observer whether it hears a member."""

    fingerprint: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Answer to a query."""

    fingerprint: int
    heard: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """Digest of a whole view, for comparison with another balancer's.

    Attributes:
        fingerprint: Fingerprint of the sender.
        config_version: Configuration version in force at the sender.
        root: Digest over all buckets.
        answer: Whether this answers another digest.
    """

    fingerprint: int
    config_version: int
    root: int
    answer: bool


Message = (
    Heartbeat
    | Announcement
    | Acknowledgement
    | Update
    | Gossip
    | Query
    | Reply
    | Digest
)


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Identity and order of one record, without its content."""

    fingerprint: int
    version: int
    state: _types.State


@dataclasses.dataclass(frozen=True, slots=True)
class PullRequest:
    """Asks for what the asker lacks in some buckets.

    Attributes:
        buckets: Numbers of the buckets.
        summaries: Everything that the asker has in these buckets.
    """

    buckets: tuple[int, ...]
    summaries: tuple[Summary, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PullReply:
    """Records that are newer than the asker's."""

    members: tuple[_types.Member, ...]
    changes: tuple[Change, ...]
