"""Flow table of an agent, by which agents find the holder of a flow.

Used for flows whose datagrams carry no identifier that names the holder.
"""

from collections.abc import Set
import dataclasses

from fireflyford import core
from fireflyford.routing import _entries
from fireflyford.routing import _flow_limits
from fireflyford.routing import _flow_messages


class FlowTable:
    """Flows held by one agent and a directory of flows held by others.

    An agent that receives a datagram of an unknown flow from a balancer starts
    a search: it forwards the datagram along a chain of candidates that may hold
    the flow, with itself as the last one. If the datagram comes back, or all
    attempts time out, the agent adopts the flow and sends notices to the
    candidates, which add directory entries.

    Methods take and return typed values and do no I/O; the code that calls
    them carries the decisions out. Competing claims to a flow are ordered by
    (timestamp, holder) and every agent accepts the lower one, so agents that
    adopt a flow at the same time agree on its holder.
    """

    def __init__(
        self,
        clock: core.Clock,
        own: core.Holder,
        placement: _flow_limits.FlowPlacement,
        limits: _flow_limits.FlowTableLimits | None = None,
    ) -> None:
        """Creates an empty table.

        Args:
            clock: Source of time.
            own: This agent.
            placement: Placement of flows according to this agent's view.
            limits: Capacity limits; the defaults if not given.
        """
        bounds = _flow_limits.FlowTableLimits() if limits is None else limits
        self._clock = clock
        self._own = own
        self._placement = placement
        self._entries = _entries.EntryTable(
            bounds.max_entries, bounds.max_held_flows
        )

    def __len__(self) -> int:
        """Returns the number of held flows, searches and directory entries."""
        return len(self._entries)

    @property
    def held_count(self) -> int:
        """Number of flows that this agent holds."""
        return self._entries.held_count

    def holds(self, flow_key: int) -> bool:
        """Returns whether this agent holds the flow."""
        return isinstance(self._entries.get(flow_key), _entries.HeldEntry)

    def handle_datagram(
        self, datagram: _flow_messages.ForwardedDatagram
    ) -> _flow_messages.Decision:
        """Decides what to do with a forwarded datagram."""
        if datagram.hops > _flow_limits.MAX_HOPS or self._is_stale(
            datagram.timestamp_ms
        ):
            return _drop()
        key = datagram.flow_key
        entry = self._entries.touch(key, self._clock.now_ms())
        if isinstance(entry, _entries.HeldEntry):
            return self._deliver(entry, datagram)
        if isinstance(entry, _entries.DirectoryEntry):
            if self._should_follow(entry, datagram):
                return self._forward_to_holder(entry, datagram)
            entry = None
        search = entry if isinstance(entry, _entries.SearchEntry) else None
        # Only a datagram that comes directly from a balancer has no hops.
        if datagram.hops == 0:
            return self._search(search, datagram)
        if not datagram.chain:
            return self._end_search(search, datagram)
        return self._relay_search(search, datagram)

    def handle_notice(
        self, notice: _flow_messages.Notice, sender: core.Holder
    ) -> _flow_messages.Decision:
        """Applies a notice from another agent.

        Args:
            notice: The notice.
            sender: Agent that sent it, which may differ from
                `notice.holder`.

        Returns:
            Decision with the action `DROP`, since a notice has no datagram to
            handle. It may contain notices to send.
        """
        key = notice.flow_key
        entry = self._entries.touch(key, self._clock.now_ms())
        directory_entry = (
            entry if isinstance(entry, _entries.DirectoryEntry) else None
        )
        if notice.released:
            if (
                directory_entry is not None
                and directory_entry.holder == notice.holder
            ):
                self._entries.remove(key)
            return _drop()
        if notice.holder == self._own:
            return _drop()
        if isinstance(entry, _entries.HeldEntry):
            return self._resolve_claim(entry, notice, sender)
        self._add_directory_entry(key, notice.holder)
        if directory_entry is None or directory_entry.tentative:
            return _drop()
        if directory_entry.holder == notice.holder:
            return _drop()
        # Forwarded to the previous holder, which disputes the claim if it still
        # holds the flow.
        return _drop((dataclasses.replace(notice, to=directory_entry.holder),))

    def remove_holders(self, dead: Set[core.Holder]) -> None:
        """Removes directory entries whose holder is known to be dead."""
        for key, entry in self._entries:
            if (
                isinstance(entry, _entries.DirectoryEntry)
                and entry.holder in dead
            ):
                self._entries.remove(key)

    def announce(self) -> tuple[_flow_messages.Notice, ...]:
        """Announces held flows to the targets on which they are now placed.

        Called after this agent's view has changed. Otherwise a flow could not
        be found again if, while it was idle, the ring changed more often than a
        chain has candidates.
        """
        notices: list[_flow_messages.Notice] = []
        for key, entry in self._entries:
            first = self._placement.first_target(key)
            if first is not None and isinstance(entry, _entries.HeldEntry):
                notices += self._announce(
                    entry, key, (first,), _flow_limits.ANNOUNCE_INTERVAL_MS
                )
        return tuple(notices)

    def expire(self) -> tuple[int, ...]:
        """Removes idle entries; returns the keys of held flows among them."""
        return self._entries.remove_idle(
            self._clock.now_ms() - _flow_limits.FLOW_IDLE_TIMEOUT_MS
        )

    def _deliver(
        self,
        entry: _entries.HeldEntry,
        datagram: _flow_messages.ForwardedDatagram,
    ) -> _flow_messages.Decision:
        entry.last_datagram_timestamp_ms = self._timestamp_ms()
        notices = self._announce(
            entry,
            datagram.flow_key,
            datagram.chain,
            _flow_limits.ANNOUNCE_INTERVAL_MS,
        )
        if datagram.hops:
            notices += self._confirm(entry, datagram)
        return _flow_messages.Decision(
            _flow_messages.Action.DELIVER, notices=notices
        )

    def _confirm(
        self,
        entry: _entries.HeldEntry,
        datagram: _flow_messages.ForwardedDatagram,
    ) -> tuple[_flow_messages.Notice, ...]:
        """Confirms to the forwarding or searching agent that the flow is held.

        Searches are always answered. Confirmations to an agent that follows a
        directory entry are limited to one per interval.
        """
        # A search has a timestamp; the searching agent is last in its chain.
        if datagram.timestamp_ms and datagram.chain:
            return self._announce(
                entry, datagram.flow_key, datagram.chain[-1:], 0
            )
        # Incarnation 0 matches every incarnation of the sender.
        sender = core.Holder(datagram.sender, 0)
        return self._announce(
            entry,
            datagram.flow_key,
            (sender,),
            _flow_limits.CONFIRMATION_INTERVAL_MS,
        )

    def _should_follow(
        self,
        entry: _entries.DirectoryEntry,
        datagram: _flow_messages.ForwardedDatagram,
    ) -> bool:
        """Returns whether to forward to the holder that an entry names.

        If not, the datagram is handled as if there were no entry. The entry
        itself is removed only if it is no longer valid.
        """
        now_ms = self._clock.now_ms()
        if entry.tentative:
            # A search that comes from the searching agent with an empty chain
            # was passed on to this agent, because the searching agent is
            # draining and does not adopt the flow.
            ends_here = datagram.hops > 0 and not datagram.chain
            invalid = (
                now_ms - entry.added_ms > _flow_limits.TENTATIVE_LIFETIME_MS
                or (ends_here and datagram.sender == entry.holder.address)
            )
            bypass = entry.permits_search(datagram)
        else:
            # A late copy of the search by which the holder adopted the flow
            # goes on along its chain and does not invalidate the entry.
            bypass = datagram.timestamp_ms != 0 and datagram.chain[-1:] == (
                entry.holder,
            )
            unresponsive = (
                entry.unconfirmed_count >= _flow_limits.MAX_UNCONFIRMED_COUNT
                and now_ms - entry.last_counted_ms
                >= _flow_limits.CONFIRMATION_INTERVAL_MS
            )
            # A holder delivers datagrams of its flow. If it forwards one, it no
            # longer holds the flow.
            by_holder = datagram.sender == entry.holder.address
            invalid = unresponsive or (by_holder and not bypass)
        if invalid:
            self._entries.remove(datagram.flow_key)
        return not invalid and not bypass

    def _forward_to_holder(
        self,
        entry: _entries.DirectoryEntry,
        datagram: _flow_messages.ForwardedDatagram,
    ) -> _flow_messages.Decision:
        if datagram.hops >= _flow_limits.MAX_HOPS:
            return _drop()
        now_ms = self._clock.now_ms()
        if (
            now_ms - entry.last_counted_ms
            >= _flow_limits.CONFIRMATION_INTERVAL_MS
        ):
            entry.unconfirmed_count += 1
            entry.last_counted_ms = now_ms
        chain = datagram.chain
        if datagram.hops == 0:
            chain = self._make_chain(datagram)
        chain = tuple(item for item in chain if item != entry.holder)
        return _flow_messages.Decision(
            _flow_messages.Action.FORWARD,
            entry.holder,
            chain[-_flow_limits.MAX_CANDIDATES :],
        )

    def _search(
        self,
        search: _entries.SearchEntry | None,
        datagram: _flow_messages.ForwardedDatagram,
    ) -> _flow_messages.Decision:
        """Starts or repeats the search for a datagram sent by a balancer."""
        now_ms = self._clock.now_ms()
        if search is not None and now_ms < search.deadline_ms:
            return _flow_messages.Decision(_flow_messages.Action.HOLD)
        # A search whose last attempt ended long ago is started afresh.
        if search is None or (
            now_ms - search.deadline_ms > _flow_limits.PAUSE_THRESHOLD_MS
        ):
            timestamp_ms = self._timestamp_ms()
            if self._placement.successor(datagram.flow_key) is not None:
                # There is a successor only while this agent is draining and
                # does not adopt flows. The later timestamp gives precedence to
                # the search of any other agent, and is not late enough for
                # others to discard the search as stale.
                timestamp_ms += _flow_limits.MAX_MESSAGE_AGE_MS // 2
            search = _entries.SearchEntry(
                now_ms, timestamp_ms, self._make_chain(datagram), now_ms
            )
            if not self._entries.put(datagram.flow_key, search):
                return _drop()
        else:
            search.attempt_count += 1
            # Rotates the candidates, because the first one may be dead.
            *candidates, own = search.chain
            search.chain = (*candidates[1:], *candidates[:1], own)
        candidate_count = len(search.chain) - 1
        # One attempt more than there are candidates, so that a single lost
        # datagram cannot lead to a second holder.
        if not candidate_count or search.attempt_count > candidate_count:
            return self._adopt(search, datagram)
        search.deadline_ms = now_ms + _flow_limits.SEARCH_TIMEOUT_MS
        to, *rest = search.chain
        return _flow_messages.Decision(
            _flow_messages.Action.FORWARD,
            to,
            tuple(rest),
            search.timestamp_ms,
        )

    def _relay_search(
        self,
        search: _entries.SearchEntry | None,
        datagram: _flow_messages.ForwardedDatagram,
    ) -> _flow_messages.Decision:
        """Handles a forwarded datagram that has candidates left to ask."""
        searcher = datagram.chain[-1]
        notices: tuple[_flow_messages.Notice, ...] = ()
        if search is not None:
            if not datagram.timestamp_ms or (
                (search.timestamp_ms, self._own)
                < (datagram.timestamp_ms, searcher)
            ):
                # This agent's own search takes precedence; the datagram waits
                # for its result.
                if searcher not in search.competing_agents:
                    competing_agents = (*search.competing_agents, searcher)
                    search.competing_agents = competing_agents[
                        -_flow_limits.MAX_COMPETING_AGENTS :
                    ]
                return _flow_messages.Decision(_flow_messages.Action.HOLD)
            self._add_tentative_entry(
                datagram.flow_key, searcher, datagram.timestamp_ms
            )
        elif datagram.timestamp_ms:
            self._add_tentative_entry(
                datagram.flow_key, searcher, datagram.timestamp_ms
            )
        else:
            # Without a timestamp, the datagram follows a directory entry. If
            # the sender's entry names this agent, it is wrong.
            notices = (self._make_release_notice(datagram),)
        if datagram.hops >= _flow_limits.MAX_HOPS:
            return _drop(notices)
        to, *rest = datagram.chain
        return _flow_messages.Decision(
            _flow_messages.Action.FORWARD,
            to,
            tuple(rest),
            datagram.timestamp_ms,
            notices,
        )

    def _end_search(
        self,
        search: _entries.SearchEntry | None,
        datagram: _flow_messages.ForwardedDatagram,
    ) -> _flow_messages.Decision:
        """Handles a search that has asked all candidates without a result."""
        if search is not None and search.timestamp_ms != datagram.timestamp_ms:
            # A draining agent passed its search on to this agent, which runs
            # its own; the datagram waits for the result.
            return _flow_messages.Decision(_flow_messages.Action.HOLD)
        return self._adopt(search, datagram)

    def _adopt(
        self,
        search: _entries.SearchEntry | None,
        datagram: _flow_messages.ForwardedDatagram,
    ) -> _flow_messages.Decision:
        """Adopts a flow, or passes it to the successor while draining."""
        key = datagram.flow_key
        timestamp_ms = (
            self._timestamp_ms() if search is None else search.timestamp_ms
        )
        successor = self._placement.successor(key)
        if successor is not None:
            if datagram.hops >= _flow_limits.MAX_HOPS:
                return _drop()
            self._add_tentative_entry(key, successor, timestamp_ms)
            return _flow_messages.Decision(
                _flow_messages.Action.FORWARD, successor, (), timestamp_ms
            )
        entry = _entries.HeldEntry(self._clock.now_ms(), timestamp_ms)
        entry.last_datagram_timestamp_ms = self._timestamp_ms()
        if not self._entries.put(key, entry):
            self._entries.remove(key)
            return _drop()
        recipients = datagram.chain
        if search is not None:
            recipients = (*search.chain, *search.competing_agents)
        notices = self._announce(entry, key, recipients, 0)
        if datagram.hops and search is None:
            notices += self._confirm(entry, datagram)
        return _flow_messages.Decision(
            _flow_messages.Action.DELIVER, notices=notices
        )

    def _resolve_claim(
        self,
        entry: _entries.HeldEntry,
        notice: _flow_messages.Notice,
        sender: core.Holder,
    ) -> _flow_messages.Decision:
        """Decides between this agent and another that claims a held flow."""
        # This agent handled no datagram of the flow for so long before the
        # other one adopted it that it is treated as paused.
        was_paused = (
            entry.last_datagram_timestamp_ms + _flow_limits.PAUSE_THRESHOLD_MS
            < notice.timestamp_ms
        )
        if was_paused or (notice.timestamp_ms, notice.holder) < (
            entry.timestamp_ms,
            self._own,
        ):
            self._add_directory_entry(notice.flow_key, notice.holder)
            return _flow_messages.Decision(
                _flow_messages.Action.DROP, flow_lost=True
            )
        recipients = [notice.holder]
        if sender.address != notice.holder.address:
            recipients.append(sender)
        return _drop(
            tuple(
                _flow_messages.Notice(
                    to, notice.flow_key, self._own, entry.timestamp_ms
                )
                for to in recipients
            )
        )

    def _make_release_notice(
        self, datagram: _flow_messages.ForwardedDatagram
    ) -> _flow_messages.Notice:
        """Returns a notice to the sender that this agent does not hold a flow.

        The receiver of the notice removes only a directory entry that names
        this agent. Incarnation 0 matches every incarnation of the sender.
        """
        sender = core.Holder(datagram.sender, 0)
        return _flow_messages.Notice(
            sender, datagram.flow_key, self._own, 0, True
        )

    def _announce(
        self,
        entry: _entries.HeldEntry,
        flow_key: int,
        recipients: tuple[core.Holder, ...],
        interval_ms: int,
    ) -> tuple[_flow_messages.Notice, ...]:
        """Returns notices that this agent holds the flow.

        Leaves out recipients that were notified within `interval_ms`.
        """
        now_ms = self._clock.now_ms()
        notices = []
        for recipient in recipients:
            notified_ms = entry.notified_ms.get(recipient, now_ms - interval_ms)
            if recipient == self._own or now_ms - notified_ms < interval_ms:
                continue
            if len(entry.notified_ms) >= _flow_limits.MAX_NOTIFIED_AGENTS:
                del entry.notified_ms[next(iter(entry.notified_ms))]
            entry.notified_ms[recipient] = now_ms
            notices.append(
                _flow_messages.Notice(
                    recipient, flow_key, self._own, entry.timestamp_ms
                )
            )
        return tuple(notices)

    def _make_chain(
        self, datagram: _flow_messages.ForwardedDatagram
    ) -> tuple[core.Holder, ...]:
        """Returns the candidates to ask, followed by this agent."""
        others = [item for item in datagram.chain if item != self._own]
        if self._placement.successor(datagram.flow_key) is not None:
            # While draining, leaves one hop for the successor that adopts the
            # flow.
            others = others[: _flow_limits.MAX_CANDIDATES - 1]
        return (*others, self._own)

    def _add_directory_entry(self, flow_key: int, holder: core.Holder) -> None:
        entry = _entries.DirectoryEntry(self._clock.now_ms(), holder, False)
        if not self._entries.put(flow_key, entry):
            self._entries.remove(flow_key)

    def _add_tentative_entry(
        self, flow_key: int, holder: core.Holder, timestamp_ms: int
    ) -> None:
        known = self._entries.get(flow_key)
        if (
            isinstance(known, _entries.DirectoryEntry)
            and not known.tentative
            and known.holder == holder
        ):
            return
        entry = _entries.DirectoryEntry(
            self._clock.now_ms(), holder, True, timestamp_ms
        )
        if not self._entries.put(flow_key, entry):
            self._entries.remove(flow_key)

    def _timestamp_ms(self) -> int:
        return self._clock.wall_ms() % _flow_limits.TIMESTAMP_RANGE_MS

    def _is_stale(self, timestamp_ms: int) -> bool:
        return (
            timestamp_ms != 0
            and abs(self._timestamp_ms() - timestamp_ms)
            > _flow_limits.MAX_MESSAGE_AGE_MS
        )


def _drop(
    notices: tuple[_flow_messages.Notice, ...] = (),
) -> _flow_messages.Decision:
    return _flow_messages.Decision(_flow_messages.Action.DROP, notices=notices)
