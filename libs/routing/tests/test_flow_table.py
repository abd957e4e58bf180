"""Tests of the flow table: limits, expiry, and late or conflicting messages."""

from fireflyford import core
from fireflyford import routing

OWN = core.Holder(core.Address("10.0.1.1", 1), 1)
PEER = core.Holder(core.Address("10.0.1.1", 2), 2)
BALANCER = core.Address("10.0.0.1", 1)


class EmptyPlacement(routing.FlowPlacement):
    """Placement without other agents."""

    def first_target(self, flow_key: int) -> core.Holder | None:
        """Returns no agent."""
        return None

    def successor(self, flow_key: int) -> core.Holder | None:
        """Returns no agent."""
        return None


class SettableClock(core.ManualClock):
    """Clock that a test can set without an event loop."""

    def set(self, now_ms: int) -> None:
        """Sets the time."""
        self._now_ms = now_ms


def make_table(**bounds: int) -> tuple[SettableClock, routing.FlowTable]:
    clock = SettableClock(1_000_000)
    limits = routing.FlowTableLimits(**bounds)
    return clock, routing.FlowTable(clock, OWN, EmptyPlacement(), limits)


def test_flood_of_keys_evicts_no_open_flow() -> None:
    """Guards against unbounded memory and against eviction of open flows."""
    _, table = make_table(max_entries=20, max_held_flows=10)
    for key in range(100):
        table.handle_datagram(routing.ForwardedDatagram(key, BALANCER))
        table.handle_datagram(
            routing.ForwardedDatagram(1_000 + key, BALANCER, 0, (PEER,))
        )
        table.handle_notice(routing.Notice(OWN, 2_000 + key, PEER, 5), PEER)
    # Each step adds a held flow, a search and a directory entry, in this order,
    # so the table is full after the seventh flow and the seventh search.
    assert len(table) <= 20
    assert table.held_count == 7
    assert all(table.holds(key) for key in range(7))


def test_held_flows_are_bounded() -> None:
    """Guards against exceeding the process's limit of sockets."""
    _, table = make_table(max_held_flows=10)
    for key in range(100):
        table.handle_datagram(routing.ForwardedDatagram(key, BALANCER))
    assert table.held_count == 10


def test_unused_directory_entries_are_evicted_for_new_flows() -> None:
    """Guards against unused entries that block new flows for minutes."""
    clock, table = make_table(max_entries=20)
    for key in range(100):
        table.handle_datagram(
            routing.ForwardedDatagram(key, BALANCER, 0, (PEER,))
        )
    clock.set(clock.now_ms() + 10_000)
    table.handle_datagram(routing.ForwardedDatagram(500, BALANCER))
    assert table.holds(500)
    assert len(table) <= 20


def test_idle_flow_expires() -> None:
    """Guards against idle flows whose sockets are never closed."""
    clock, table = make_table()
    table.handle_datagram(routing.ForwardedDatagram(1, BALANCER))
    clock.set(1_100_000)
    table.handle_datagram(routing.ForwardedDatagram(2, BALANCER))
    clock.set(1_150_000)
    assert table.expire() == (1,)
    assert table.held_count == 1


def test_late_search_creates_no_flow() -> None:
    """Guards against a delayed search that creates a second holder."""
    clock, table = make_table()
    search = routing.ForwardedDatagram(1, PEER.address, 4, (), clock.wall_ms())
    clock.set(clock.now_ms() + 60_000)
    assert table.handle_datagram(search).action is routing.Action.DROP
    assert not table.holds(1)


def test_resumed_holder_gives_up_flow_claimed_by_peer() -> None:
    """Guards against a flow that returns to a holder after a long pause."""
    clock, table = make_table()
    table.handle_datagram(routing.ForwardedDatagram(1, BALANCER))
    claim = routing.Notice(OWN, 1, PEER, clock.wall_ms() + 30_000)
    clock.set(clock.now_ms() + 60_000)
    assert table.handle_notice(claim, PEER).flow_lost
    assert not table.holds(1)


def test_unresponsive_holder_is_replaced() -> None:
    """Guards against forwarding to a dead agent indefinitely."""
    clock, table = make_table()
    table.handle_notice(routing.Notice(OWN, 1, PEER, 5), PEER)
    first = table.handle_datagram(routing.ForwardedDatagram(1, BALANCER))
    assert (first.action, first.to) == (routing.Action.FORWARD, PEER)
    for _ in range(4):
        clock.set(clock.now_ms() + 1_100)
        decision = table.handle_datagram(routing.ForwardedDatagram(1, BALANCER))
        assert decision.to == PEER
    clock.set(clock.now_ms() + 1_100)
    last = table.handle_datagram(routing.ForwardedDatagram(1, BALANCER))
    assert last.action is routing.Action.DELIVER


def test_infrequent_datagrams_keep_directory_entry() -> None:
    """Guards against dropping an entry after one lost confirmation."""
    clock, table = make_table()
    table.handle_notice(routing.Notice(OWN, 1, PEER, 5), PEER)
    for _ in range(3):
        clock.set(clock.now_ms() + 10_000)
        decision = table.handle_datagram(routing.ForwardedDatagram(1, BALANCER))
        assert decision.to == PEER


def test_duplicate_search_from_holder_keeps_directory_entry() -> None:
    """Guards against a duplicate search that leads to a second holder."""
    clock, table = make_table()
    table.handle_notice(routing.Notice(OWN, 1, PEER, clock.wall_ms()), PEER)
    duplicate_search = routing.ForwardedDatagram(
        1, PEER.address, 1, (PEER,), clock.wall_ms()
    )
    table.handle_datagram(duplicate_search)
    clock.set(clock.now_ms() + 10_000)
    assert (
        table.handle_datagram(routing.ForwardedDatagram(1, BALANCER)).to == PEER
    )
