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


def make_evacuations(*zones: str) -> tuple[Clock, flows.Evacuations]:
    clock = Clock(START_MS)
    evacuations = flows.Evacuations(clock)
    evacuations.learn(flows.EvacuationView(1, 90, zones), "store")
    return clock, evacuations


def test_zone_missing_from_the_copy_stays_evacuated_for_a_while() -> None:
    """Guards against new flows to an evacuated zone after a restore."""
    clock, evacuations = make_evacuations("a", "b")
    view = flows.EvacuationView(2, 40, ("b",))
    evacuations.learn(view, "store")
    clock.set(START_MS + RETENTION_MS - 1)
    assert evacuations.zones == ("a", "b")
    clock.set(START_MS + RETENTION_MS)
    assert evacuations.zones == ("b",)
    assert evacuations.view == view


def test_zone_that_was_written_again_ends_with_its_key() -> None:
    """Guards against a zone that stays evacuated against the store."""
    clock, evacuations = make_evacuations("a")
    for number, zones in ((40, ()), (41, ("a",)), (42, ())):
        clock.set(START_MS + 100)
        evacuations.learn(flows.EvacuationView(2, number, zones), "store")
    assert evacuations.zones == ()


def test_second_restore_retains_zones_again() -> None:
    """Guards against a retention that ends with the first restore."""
    clock, evacuations = make_evacuations("a")
    evacuations.learn(flows.EvacuationView(2, 40), "store")
    second_ms = START_MS + RETENTION_MS - 1
    clock.set(second_ms)
    evacuations.learn(flows.EvacuationView(3, 30), "store")
    clock.set(second_ms + RETENTION_MS - 1)
    assert evacuations.zones == ("a",)
    clock.set(second_ms + RETENTION_MS)
    assert evacuations.zones == ()


def test_view_of_an_earlier_position_is_ignored() -> None:
    """Guards against a view of an earlier era that arrives late."""
    clock, evacuations = make_evacuations("a")
    view = flows.EvacuationView(2, 40, ("b",))
    evacuations.learn(view, "store")
    assert not evacuations.learn(flows.EvacuationView(1, 95), "peer")
    assert not evacuations.learn(flows.EvacuationView(2, 40), "peer")
    clock.set(START_MS + RETENTION_MS)
    assert evacuations.view == view
    assert evacuations.zones == ("b",)
