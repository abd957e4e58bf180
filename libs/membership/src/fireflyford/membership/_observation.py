"""What an observer keeps for one member that it hears."""

from collections.abc import Iterable
import dataclasses
import random

from fireflyford import core
from fireflyford.membership import _messages
from fireflyford.membership import _types

_SEQUENCE_BITS = 16
# Confirmations in a row without a heartbeat between them.
_PROBE_LIMIT = 2
# Together these stay under 1,200 bytes, so that no datagram is fragmented.
_MEMBERS_PER_UPDATE = 10
_CHANGES_PER_UPDATE = 20


@dataclasses.dataclass(frozen=True)
class News:
    """What one update carries."""

    members: tuple[_types.Member, ...]
    changes: tuple[_messages.Change, ...]


class Observation:
    """Signs of life of one member, and what it has acknowledged."""

    def __init__(
        self,
        instance_id: str,
        address: core.Address,
        heard_ms: int,
        rng: random.Random,
    ) -> None:
        """Starts with nothing acknowledged.

        Args:
            instance_id: The member.
            address: Where it sends from.
            heard_ms: Time from which its silence counts.
            rng: Gives the first sequence number, so that numbers of an
                earlier observer at this address are not taken for ours.
        """
        self.instance_id = instance_id
        self.address = address
        self.heard_ms = heard_ms
        self.heard = False
        self.beat_count = 0
        self._probe_count = 0
        self._probed_beat_count = 0
        self.replies: dict[core.Address, bool] = {}
        self._sequence = rng.getrandbits(_SEQUENCE_BITS) + 1
        self._acknowledged: dict[str, tuple[int, int, int]] = {}
        self._in_flight: dict[str, tuple[int, int, int]] = {}
        self._in_flight_version = 0
        self._checked = -1
        self._config_version = 0

    def hear(self, now_ms: int, acknowledged: int) -> None:
        """Takes a sign of life and what it acknowledges."""
        self.heard_ms = now_ms
        self.heard = True
        self.beat_count += 1
        if not acknowledged:
            # The member has started a new conversation and knows nothing.
            self._acknowledged.clear()
            self._config_version = 0
            self._checked = -1
        if acknowledged == self._sequence:
            self._acknowledged.update(self._in_flight)
            self._config_version = max(
                self._config_version, self._in_flight_version
            )
            self._in_flight = {}

    def only_answers_probes(self) -> bool:
        """Returns whether the member sends its heartbeats to others.

        Called after each confirmation that found the member alive.
        """
        beat_count = self.beat_count - self._probed_beat_count
        self._probed_beat_count = self.beat_count
        self._probe_count = 0 if beat_count > 1 else self._probe_count + 1
        return self._probe_count >= _PROBE_LIMIT

    def is_current(self, change_count: int, config_version: int) -> bool:
        """Returns whether nothing can be missing at the member.

        Args:
            change_count: Count of the observer's changes.
            config_version: Configuration version at the observer.
        """
        return (
            self._checked == change_count
            and not self._in_flight
            and self._config_version >= config_version
        )

    def missing(
        self, needed: Iterable[_types.Member], change_count: int
    ) -> News:
        """Returns the part of `needed` that is not acknowledged."""
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
            self._checked = change_count
        del members[_MEMBERS_PER_UPDATE:], changes[_CHANGES_PER_UPDATE:]
        self._in_flight = {
            member.instance_id: member.order for member in (*members, *changes)
        }
        return News(
            tuple(members),
            tuple(_messages.Change.of(member) for member in changes),
        )

    def next_sequence(self, config_version: int) -> int:
        """Returns the number of the next update.

        Args:
            config_version: Version that the update carries.
        """
        self._sequence += 1
        self._in_flight_version = config_version
        return self._sequence

    @property
    def told(self) -> Iterable[str]:
        """Names of the members that this member has records of."""
        return self._acknowledged.keys()

    def needs_version(self, config_version: int) -> bool:
        """Returns whether the member lacks a configuration version."""
        return self._config_version < config_version
