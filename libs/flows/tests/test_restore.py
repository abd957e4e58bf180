"""Tests of what is retained when the store is restored from a copy."""

from fireflyford import core
from fireflyford import flows
from fireflyford.flows import _evacuation

ADDRESS = core.Address("10.0.1.1", 7_000)
OTHER = core.Address("10.0.1.2", 7_000)
LEASE_MS = 6_000
START_MS = 1_000_000
RETENTION_MS = _evacuation.RESTORE_RETENTION_MS


class Clock(core.ManualClock):
    """Clock whose time a test sets without an event loop."""

    def set(self, now_ms: int) -> None:
        """Sets the time."""
        self._now_ms = now_ms


def instance(address: core.Address, incarnation: int = 1) -> flows.Instance:
    return flows.Instance(
        str(address), core.Role.AGENT, "board", "a", address, incarnation
    )


def make_fleet() -> tuple[Clock, flows.Fleet]:
    clock = Clock(START_MS)
    fleet = flows.Fleet(clock)
    fleet.replace_entries([instance(ADDRESS, 5), instance(OTHER)])
    return clock, fleet


def test_missing_entry_counts_for_one_lease() -> None:
    """Guards against flows lost because the copy lacks an instance."""
    clock, fleet = make_fleet()
    fleet.retain_entries(LEASE_MS)
    fleet.replace_entries([instance(OTHER)])
    clock.set(START_MS + LEASE_MS - 1)
    fleet.refresh()
    assert ADDRESS in fleet
    clock.set(START_MS + LEASE_MS)
    fleet.refresh()
    assert ADDRESS not in fleet
    assert OTHER in fleet


def test_entry_that_comes_back_stays() -> None:
    """Guards against the end of a retention that removes a new entry."""
    clock, fleet = make_fleet()
    fleet.retain_entries(LEASE_MS)
    fleet.replace_entries([])
    fleet.update_entries([instance(ADDRESS, 5)], [])
    clock.set(START_MS + LEASE_MS)
    fleet.refresh()
    assert ADDRESS in fleet
    assert OTHER not in fleet


def test_entry_of_earlier_process_does_not_replace_a_later_one() -> None:
    """Guards against an incarnation that goes back with the copy."""
    _, fleet = make_fleet()
    fleet.retain_entries(LEASE_MS)
    fleet.replace_entries([instance(ADDRESS, 4)])
    fleet.update_entries([instance(ADDRESS, 3)], [])
    found = fleet.find(ADDRESS)
    assert found is not None
    assert found.incarnation == 5


def test_lapsed_lease_of_the_copy_removes_no_instance() -> None:
    """Guards against leases in the copy that end before the new writes."""
    clock, fleet = make_fleet()
    fleet.retain_entries(LEASE_MS)
    fleet.update_entries([], [ADDRESS])
    assert ADDRESS in fleet
    clock.set(START_MS + LEASE_MS)
    fleet.refresh()
    assert ADDRESS not in fleet


def test_leaving_instance_is_not_retained() -> None:
    """Guards against flows placed at an instance that has left."""
    _, fleet = make_fleet()
    fleet.retain_entries(LEASE_MS)
    fleet.replace_entries([])
    fleet.apply_heartbeat(
        flows.Heartbeat(instance(ADDRESS, 5), flows.Load(), 0, True)
    )
    assert ADDRESS not in fleet
    fleet.replace_entries([instance(ADDRESS, 5)])
    assert ADDRESS not in fleet


def test_only_a_recently_silent_agent_counts_as_silent() -> None:
    """Guards against frequent watches because of an agent that is cut off."""
    clock, fleet = make_fleet()
    assert not fleet.has_silent_agents(15_000)
    fleet.record_load(ADDRESS, flows.Load())
    for silence_ms, expected in (
        (2_900, False),
        (3_100, True),
        (16_000, False),
    ):
        clock.set(START_MS + silence_ms)
        assert fleet.has_silent_agents(15_000) is expected


def make_history(*zones: str) -> _evacuation.EvacuationHistory:
    history = flows.EvacuationHistory()
    assert history.apply(flows.EvacuationView(1, 90, zones), START_MS)
    return history


def test_missing_evacuation_stays_for_the_retention() -> None:
    """Guards against flows in an evacuated zone after a restore."""
    history = make_history("a", "b")
    assert history.apply(flows.EvacuationView(2, 40, ("b",)), START_MS)
    assert history.zones(START_MS + RETENTION_MS - 1) == ("a", "b")
    assert history.zones(START_MS + RETENTION_MS) == ("b",)
    assert history.view == flows.EvacuationView(2, 40, ("b",))


def test_evacuation_that_is_seen_again_ends_with_its_key() -> None:
    """Guards against a zone that stays evacuated after its key is removed."""
    history = make_history("a")
    assert history.apply(flows.EvacuationView(2, 40), START_MS)
    assert history.apply(flows.EvacuationView(2, 41, ("a",)), START_MS + 100)
    assert history.apply(flows.EvacuationView(2, 42), START_MS + 200)
    assert history.zones(START_MS + 300) == ()


def test_second_restore_starts_the_retention_again() -> None:
    """Guards against an evacuation lost by two restores in a row."""
    history = make_history("a")
    assert history.apply(flows.EvacuationView(2, 40), START_MS)
    second_ms = START_MS + RETENTION_MS - 1_000
    assert history.apply(flows.EvacuationView(3, 30), second_ms)
    assert history.zones(second_ms + RETENTION_MS - 1) == ("a",)
    assert history.zones(second_ms + RETENTION_MS) == ()


def test_view_of_an_earlier_era_is_ignored() -> None:
    """Guards against a late message that brings back an old view."""
    history = make_history("a")
    assert history.apply(flows.EvacuationView(2, 40, ("b",)), START_MS)
    assert not history.apply(flows.EvacuationView(1, 95, ()), START_MS)
    assert not history.apply(flows.EvacuationView(2, 40, ()), START_MS)
    assert history.zones(START_MS + RETENTION_MS) == ("b",)
