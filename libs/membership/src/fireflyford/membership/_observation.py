"""State that an observer keeps for one observed member."""

from collections.abc import Iterable
import dataclasses
import random

from fireflyford import core
from fireflyford.membership import _messages
from fireflyford.membership import _types

_SEQUENCE_BITS = 16
# After this many consecutive confirmations with no other heartbeat in between,
# the member is considered to send its heartbeats to other observers.
_MAX_CONSECUTIVE_PROBES = 2
# Together these limits keep an update below 1,200 bytes, which avoids
# fragmentation.
_MEMBERS_PER_UPDATE = 10
_CHANGES_PER_UPDATE = 20


@dataclasses.dataclass(frozen=True)
class UpdateContent:
    """Records that one update carries."""

    members: tuple[_types.Member, ...]
    changes: tuple[_messages.RecordChange, ...]


class Observation:
    """Heartbeats of one member and the records that it has acknowledged."""

    def __init__(
        self,
        instance_id: str,
        address: core.Address,
        silent_since_ms: int,
        rng: random.Random,
    ) -> None:
        """Creates the state of a member that has acknowledged nothing.

        Args:
            instance_id: Name of the member.
            address: Control address that the member sends from.
            silent_since_ms: Time from which the failure timeout counts.
            rng: Source of the first sequence number. A random start keeps
                acknowledgements meant for an earlier observer at this address
                from being taken for those of this one.
        """
        self.instance_id = instance_id
        self.address = address
        self.silent_since_ms = silent_since_ms
        self.received_heartbeat = False
        self.heartbeat_count = 0
        self._probe_count = 0
        self._probed_heartbeat_count = 0
        self.replies: dict[core.Address, bool] = {}
        self._sequence = rng.getrandbits(_SEQUENCE_BITS) + 1
        self._acknowledged: dict[str, tuple[int, int, int]] = {}
        self._in_flight: dict[str, tuple[int, int, int]] = {}
        self._in_flight_version = 0
        self._checked_change_count = -1
        self._config_version = 0

    def apply_heartbeat(self, now_ms: int, acknowledged: int) -> None:
        """Applies a heartbeat and the sequence number that it acknowledges."""
        self.silent_since_ms = now_ms
        self.received_heartbeat = True
        self.heartbeat_count += 1
        if not acknowledged:
            # The member has started a new session and has no records yet.
            self._acknowledged.clear()
            self._config_version = 0
            self._checked_change_count = -1
        if acknowledged == self._sequence:
            self._acknowledged.update(self._in_flight)
            self._config_version = max(
                self._config_version, self._in_flight_version
            )
            self._in_flight = {}

    def only_answers_probes(self) -> bool:
        """Returns whether the member sends its heartbeats to other observers.

        Must be called after each confirmation that found the member alive.
        """
        heartbeat_count = self.heartbeat_count - self._probed_heartbeat_count
        self._probed_heartbeat_count = self.heartbeat_count
        self._probe_count = 0 if heartbeat_count > 1 else self._probe_count + 1
        return self._probe_count >= _MAX_CONSECUTIVE_PROBES

    def is_up_to_date(self, change_count: int, config_version: int) -> bool:
        """Returns whether the member has acknowledged everything it needs.

        Args:
            change_count: Number of changes that the observer's table has had.
            config_version: Configuration version in force at the observer.
        """
        return (
            self._checked_change_count == change_count
            and not self._in_flight
            and self._config_version >= config_version
        )

    def find_missing(
        self, needed: Iterable[_types.Member], change_count: int
    ) -> UpdateContent:
        """Returns unacknowledged records of `needed`, up to the limits.

        The caller sends them in the next update. They count as acknowledged
        when a heartbeat acknowledges its sequence number.
        """
        members = []
        changes = []
        for member in needed:
            order = self._acknowledged.get(member.instance_id)
            if order is not None and order >= member.order:
                continue
            if order is not None and order[0] == member.incarnation:
                changes.append(member)
            elif order is not None or member.is_live:
                members.append(member)
        if not members and not changes:
            self._checked_change_count = change_count
        del members[_MEMBERS_PER_UPDATE:], changes[_CHANGES_PER_UPDATE:]
        self._in_flight = {
            member.instance_id: member.order for member in (*members, *changes)
        }
        return UpdateContent(
            tuple(members),
            tuple(
                _messages.RecordChange.from_member(member) for member in changes
            ),
        )

    def next_sequence(self, config_version: int) -> int:
        """Returns the sequence number of the next update.

        Args:
            config_version: Configuration version that the update carries.
        """
        self._sequence += 1
        self._in_flight_version = config_version
        return self._sequence

    @property
    def acknowledged_names(self) -> Iterable[str]:
        """Names of the members whose records this member has acknowledged."""
        return self._acknowledged.keys()

    def lacks_config_version(self, config_version: int) -> bool:
        """Returns whether the member has not acknowledged the version."""
        return self._config_version < config_version
