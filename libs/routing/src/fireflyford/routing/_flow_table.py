"""Search among agents for the holder of a flow without identifier."""

from collections.abc import Set
import dataclasses

from fireflyford import core
from fireflyford.routing import _claims
from fireflyford.routing import _entries
from fireflyford.routing import _flow_bounds


class FlowTable:
    """Flows of one agent: those that it holds and a directory of others.

    Every method is a decision on typed values; the caller carries it out. Two
    claims to one flow are ordered by (stamp, holder), and the lower one wins
    at both ends, so agents that adopt a flow at the same time agree.
    """

    def __init__(
        self,
        clock: core.Clock,
        own: core.Holder,
        peers: _flow_bounds.FlowPlacement,
        limits: _flow_bounds.FlowTableLimits | None = None,
    ) -> None:
        """Starts without flows.

        Args:
            clock: Source of time.
            own: This agent.
            peers: Where this agent's view places flows.
            limits: Bounds of the table.
        """
        bounds = _flow_bounds.FlowTableLimits() if limits is None else limits
        self._clock = clock
        self._own = own
        self._peers = peers
        self._entries = _entries.Entries(
            bounds.max_entries, bounds.max_held_flows
        )

    def __len__(self) -> int:
        """Returns the number of flows and directory entries."""
        return len(self._entries)

    @property
    def held_count(self) -> int:
        """Flows that this agent holds."""
        return self._entries.held_count

    def holds(self, flow_key: int) -> bool:
        """Returns whether this agent holds the flow."""
        return isinstance(self._entries.get(flow_key), _entries.Held)

    def handle_datagram(
        self, datagram: _claims.ForwardedDatagram
    ) -> _claims.Decision:
        """Decides about a forwarded datagram."""
        if datagram.hops > _flow_bounds.MAX_HOPS or self._is_late(
            datagram.timestamp_ms
        ):
            return _drop()
        key = datagram.flow_key
        entry = self._entries.use(key, self._clock.now_ms())
        if isinstance(entry, _entries.Held):
            return self._deliver(entry, datagram)
        if isinstance(entry, _entries.Listed):
            if self._is_useful(entry, datagram):
                return self._follow(entry, datagram)
            entry = None
        searching = entry if isinstance(entry, _entries.Searching) else None
        if datagram.hops == 0:
            return self._search(searching, datagram)
        if not datagram.chain:
            return self._end_chain(searching, datagram)
        return self._pass_on(searching, datagram)

    def handle_notice(
        self, notice: _claims.Notice, sender: core.Holder
    ) -> _claims.Decision:
        """Decides about a notice of another agent."""
        key = notice.flow_key
        entry = self._entries.use(key, self._clock.now_ms())
        listed = entry if isinstance(entry, _entries.Listed) else None
        if notice.released:
            if listed is not None and listed.holder == notice.holder:
                self._entries.remove(key)
            return _drop()
        if notice.holder == self._own:
            return _drop()
        if isinstance(entry, _entries.Held):
            return self._settle(entry, notice, sender)
        self._list(key, notice.holder)
        if listed is None or listed.tentative:
            return _drop()
        if listed.holder == notice.holder:
            return _drop()
        # The earlier holder, if it lives, answers the claim itself.
        return _drop((dataclasses.replace(notice, to=listed.holder),))

    def remove_holders(self, dead: Set[core.Holder]) -> None:
        """Removes the directory entries of agents known to be dead."""
        for key, entry in self._entries:
            if isinstance(entry, _entries.Listed) and entry.holder in dead:
                self._entries.remove(key)

    def announce(self) -> tuple[_claims.Notice, ...]:
        """Tells new first targets of the flows held here.

        Called after a change of this agent's view. It covers flows that are
        idle while the ring changes more often than a chain has candidates.
        """
        notices: list[_claims.Notice] = []
        for key, entry in self._entries:
            first = self._peers.first_target(key)
            if first is not None and isinstance(entry, _entries.Held):
                notices += self._announce(
                    entry, key, (first,), _flow_bounds.ANNOUNCE_INTERVAL_MS
                )
        return tuple(notices)

    def expire(self) -> tuple[int, ...]:
        """Removes idle entries; returns the flows no longer held."""
        return self._entries.remove_idle(
            self._clock.now_ms() - _flow_bounds.FLOW_IDLE_MS
        )

    # Datagrams.

    def _deliver(
        self, entry: _entries.Held, datagram: _claims.ForwardedDatagram
    ) -> _claims.Decision:
        entry.heard_stamp = self._stamp()
        notices = self._announce(
            entry,
            datagram.flow_key,
            datagram.chain,
            _flow_bounds.ANNOUNCE_INTERVAL_MS,
        )
        if datagram.hops:
            notices += self._confirm(entry, datagram)
        return _claims.Decision(_claims.Action.DELIVER, notices=notices)

    def _confirm(
        self, entry: _entries.Held, datagram: _claims.ForwardedDatagram
    ) -> tuple[_claims.Notice, ...]:
        """Answers the agent that follows a directory entry or searches."""
        if datagram.timestamp_ms and datagram.chain:
            return self._announce(
                entry, datagram.flow_key, datagram.chain[-1:], 0
            )
        # Any incarnation of the sender may know it.
        sender = core.Holder(datagram.sender, 0)
        return self._announce(
            entry,
            datagram.flow_key,
            (sender,),
            _flow_bounds.CONFIRM_INTERVAL_MS,
        )

    def _is_useful(
        self, entry: _entries.Listed, datagram: _claims.ForwardedDatagram
    ) -> bool:
        """Returns whether to follow an entry; removes it when it is wrong."""
        now_ms = self._clock.now_ms()
        if entry.tentative:
            # A search that ends here means that the other agent, which
            # sends it, is draining and does not adopt.
            ends_here = datagram.hops > 0 and not datagram.chain
            wrong = now_ms - entry.listed_ms > _flow_bounds.TENTATIVE_MS or (
                ends_here and datagram.sender == entry.holder.address
            )
            again = entry.lets_pass(datagram)
        else:
            # A stray copy of the search by which the holder adopted the flow
            # says nothing about the flow.
            again = datagram.timestamp_ms != 0 and datagram.chain[-1:] == (
                entry.holder,
            )
            silent = (
                entry.unanswered_count >= _flow_bounds.MAX_UNANSWERED
                and now_ms - entry.counted_ms
                >= _flow_bounds.CONFIRM_INTERVAL_MS
            )
            by_holder = datagram.sender == entry.holder.address
            wrong = silent or (by_holder and not again)
        if wrong:
            self._entries.remove(datagram.flow_key)
        return not wrong and not again

    def _follow(
        self, entry: _entries.Listed, datagram: _claims.ForwardedDatagram
    ) -> _claims.Decision:
        if datagram.hops >= _flow_bounds.MAX_HOPS:
            return _drop()
        now_ms = self._clock.now_ms()
        if now_ms - entry.counted_ms >= _flow_bounds.CONFIRM_INTERVAL_MS:
            entry.unanswered_count += 1
            entry.counted_ms = now_ms
        chain = datagram.chain
        if datagram.hops == 0:
            chain = self._make_chain(datagram)
        chain = tuple(item for item in chain if item != entry.holder)
        return _claims.Decision(
            _claims.Action.FORWARD,
            entry.holder,
            chain[-_flow_bounds.MAX_CANDIDATES :],
        )

    def _search(
        self,
        searching: _entries.Searching | None,
        datagram: _claims.ForwardedDatagram,
    ) -> _claims.Decision:
        """Handles a datagram of which this agent is the first target."""
        now_ms = self._clock.now_ms()
        if searching is not None and now_ms < searching.deadline_ms:
            return _claims.Decision(_claims.Action.HOLD)
        if searching is None or (
            now_ms - searching.deadline_ms > _flow_bounds.PAUSE_LIMIT_MS
        ):
            timestamp_ms = self._stamp()
            if self._peers.successor(datagram.flow_key) is not None:
                # It cannot adopt, so any other agent's search goes first.
                timestamp_ms += _flow_bounds.MAX_MESSAGE_AGE_MS // 2
            searching = _entries.Searching(
                now_ms, timestamp_ms, self._make_chain(datagram), now_ms
            )
            if not self._entries.put(datagram.flow_key, searching):
                return _drop()
        else:
            searching.attempt_count += 1
            # Another candidate goes first, in case the first one is dead.
            *others, own = searching.chain
            searching.chain = (*others[1:], *others[:1], own)
        others_count = len(searching.chain) - 1
        # One search more than candidates, so that one lost datagram cannot
        # make a second holder.
        if not others_count or searching.attempt_count > others_count:
            return self._adopt(searching, datagram)
        searching.deadline_ms = now_ms + _flow_bounds.SEARCH_TIMEOUT_MS
        to, *rest = searching.chain
        return _claims.Decision(
            _claims.Action.FORWARD, to, tuple(rest), searching.timestamp_ms
        )

    def _pass_on(
        self,
        searching: _entries.Searching | None,
        datagram: _claims.ForwardedDatagram,
    ) -> _claims.Decision:
        """Handles a datagram that another agent passed on."""
        first = datagram.chain[-1]
        notices: tuple[_claims.Notice, ...] = ()
        if searching is not None:
            if not datagram.timestamp_ms or (
                (searching.timestamp_ms, self._own)
                < (datagram.timestamp_ms, first)
            ):
                if first not in searching.rivals:
                    rivals = (*searching.rivals, first)
                    searching.rivals = rivals[-_flow_bounds.MAX_RIVALS :]
                return _claims.Decision(_claims.Action.HOLD)
            self._reserve(datagram.flow_key, first, datagram.timestamp_ms)
        elif datagram.timestamp_ms:
            self._reserve(datagram.flow_key, first, datagram.timestamp_ms)
        else:
            notices = (self._release(datagram),)
        if datagram.hops >= _flow_bounds.MAX_HOPS:
            return _drop(notices)
        to, *rest = datagram.chain
        return _claims.Decision(
            _claims.Action.FORWARD,
            to,
            tuple(rest),
            datagram.timestamp_ms,
            notices,
        )

    def _end_chain(
        self,
        searching: _entries.Searching | None,
        datagram: _claims.ForwardedDatagram,
    ) -> _claims.Decision:
        """Handles a datagram whose chain ends here without a holder."""
        if (
            searching is not None
            and searching.timestamp_ms != datagram.timestamp_ms
        ):
            # It came from a draining agent while this one is searching.
            return _claims.Decision(_claims.Action.HOLD)
        return self._adopt(searching, datagram)

    def _adopt(
        self,
        searching: _entries.Searching | None,
        datagram: _claims.ForwardedDatagram,
    ) -> _claims.Decision:
        key = datagram.flow_key
        timestamp_ms = (
            self._stamp() if searching is None else searching.timestamp_ms
        )
        successor = self._peers.successor(key)
        if successor is not None:
            if datagram.hops >= _flow_bounds.MAX_HOPS:
                return _drop()
            self._reserve(key, successor, timestamp_ms)
            return _claims.Decision(
                _claims.Action.FORWARD, successor, (), timestamp_ms
            )
        entry = _entries.Held(self._clock.now_ms(), timestamp_ms)
        entry.heard_stamp = self._stamp()
        if not self._entries.put(key, entry):
            self._entries.remove(key)
            return _drop()
        told = datagram.chain
        if searching is not None:
            told = (*searching.chain, *searching.rivals)
        notices = self._announce(entry, key, told, 0)
        if datagram.hops and searching is None:
            notices += self._confirm(entry, datagram)
        return _claims.Decision(_claims.Action.DELIVER, notices=notices)

    # Notices.

    def _settle(
        self,
        entry: _entries.Held,
        notice: _claims.Notice,
        sender: core.Holder,
    ) -> _claims.Decision:
        """Resolves the claim of another agent to a flow held here."""
        # An agent that was paused gives way to the one that took its flow.
        slept = (
            entry.heard_stamp + _flow_bounds.PAUSE_LIMIT_MS
            < notice.timestamp_ms
        )
        if slept or (notice.timestamp_ms, notice.holder) < (
            entry.timestamp_ms,
            self._own,
        ):
            self._list(notice.flow_key, notice.holder)
            return _claims.Decision(_claims.Action.DROP, flow_lost=True)
        told = [notice.holder]
        if sender.address != notice.holder.address:
            told.append(sender)
        return _drop(
            tuple(
                _claims.Notice(
                    to, notice.flow_key, self._own, entry.timestamp_ms
                )
                for to in told
            )
        )

    def _release(self, datagram: _claims.ForwardedDatagram) -> _claims.Notice:
        # It only removes a directory entry that names this agent, whichever
        # incarnation of the sender has it.
        sender = core.Holder(datagram.sender, 0)
        return _claims.Notice(sender, datagram.flow_key, self._own, 0, True)

    def _announce(
        self,
        entry: _entries.Held,
        flow_key: int,
        candidates: tuple[core.Holder, ...],
        interval_ms: int,
    ) -> tuple[_claims.Notice, ...]:
        now_ms = self._clock.now_ms()
        notices = []
        for candidate in candidates:
            told_ms = entry.told_ms.get(candidate, now_ms - interval_ms)
            if candidate == self._own or now_ms - told_ms < interval_ms:
                continue
            if len(entry.told_ms) >= _flow_bounds.MAX_TOLD:
                del entry.told_ms[next(iter(entry.told_ms))]
            entry.told_ms[candidate] = now_ms
            notices.append(
                _claims.Notice(
                    candidate, flow_key, self._own, entry.timestamp_ms
                )
            )
        return tuple(notices)

    # Entries and time.

    def _make_chain(
        self, datagram: _claims.ForwardedDatagram
    ) -> tuple[core.Holder, ...]:
        """Returns the candidates to ask, and this agent at the end."""
        others = [item for item in datagram.chain if item != self._own]
        if self._peers.successor(datagram.flow_key) is not None:
            # One hop is left for the agent that adopts the flow.
            others = others[: _flow_bounds.MAX_CANDIDATES - 1]
        return (*others, self._own)

    def _list(self, flow_key: int, holder: core.Holder) -> None:
        entry = _entries.Listed(self._clock.now_ms(), holder, False)
        if not self._entries.put(flow_key, entry):
            self._entries.remove(flow_key)

    def _reserve(
        self, flow_key: int, holder: core.Holder, timestamp_ms: int
    ) -> None:
        known = self._entries.get(flow_key)
        if (
            isinstance(known, _entries.Listed)
            and not known.tentative
            and known.holder == holder
        ):
            return
        entry = _entries.Listed(
            self._clock.now_ms(), holder, True, timestamp_ms
        )
        if not self._entries.put(flow_key, entry):
            self._entries.remove(flow_key)

    def _stamp(self) -> int:
        return self._clock.wall_ms() % _flow_bounds.STAMP_RANGE_MS

    def _is_late(self, timestamp_ms: int) -> bool:
        return (
            timestamp_ms != 0
            and abs(self._stamp() - timestamp_ms)
            > _flow_bounds.MAX_MESSAGE_AGE_MS
        )


def _drop(notices: tuple[_claims.Notice, ...] = ()) -> _claims.Decision:
    return _claims.Decision(_claims.Action.DROP, notices=notices)
