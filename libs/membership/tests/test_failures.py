"""Failures of members, network paths and observers, in virtual time."""

import dataclasses

from fireflyford import core
from fireflyford import membership

ALIVE = membership.State.ALIVE
DRAINING = membership.State.DRAINING
DEAD = membership.State.DEAD
LEFT = membership.State.LEFT
# Time within which a change must reach all balancers.
PROPAGATION_LIMIT_MS = 3_000
# Time after which the members of a new fleet know each other.
SETTLE_MS = 8_000


def test_dead_target_is_detected_by_all_balancers_in_time(simulate) -> None:
    """Guards against a dead target that stays alive in a balancer's view."""

    async def scenario(fleet) -> None:
        fleet.start_many(balancers=8, agents=6)
        await fleet.run(SETTLE_MS)
        assert fleet.states("tahian-0") == {ALIVE}
        await fleet.kill("tahian-0")
        await fleet.run(PROPAGATION_LIMIT_MS)
        assert fleet.states("tahian-0") == {DEAD}

    for seed in range(5):
        simulate(scenario, seed)


def test_datagram_loss_declares_no_member_dead(simulate) -> None:
    """Guards against deaths declared because of lost datagrams."""

    async def scenario(fleet) -> None:
        deaths = []
        fleet.start_many(balancers=5, agents=4)
        await fleet.run(SETTLE_MS)
        for member in fleet.members.values():
            member.on_change(
                lambda view: deaths.extend(
                    name
                    for name, record in view.members.items()
                    if record.state is DEAD
                )
            )
        await fleet.run(60_000)
        assert deaths == []

    simulate(scenario, loss_ratio=0.1)


def test_brief_pause_declares_no_member_dead(simulate) -> None:
    """Guards against declaring a briefly paused backend server dead."""

    async def scenario(fleet) -> None:
        fleet.start_many(balancers=5, agents=4)
        await fleet.run(SETTLE_MS)
        for step_ms in range(0, 500, 50):
            await fleet.run(1_500 + step_ms)
            fleet.pause("tahian-1")
            await fleet.run(1_000)
            fleet.resume("tahian-1")
            await fleet.run(1_500)
            assert fleet.states("tahian-1") == {ALIVE}
            record = fleet.members["balancer-0"].view().members["tahian-1"]
            assert record.version == 0

    simulate(scenario)


def test_resumed_member_refutes_its_death(simulate) -> None:
    """Guards against a member that stays dead after it has resumed."""

    async def scenario(fleet) -> None:
        fleet.start_many(balancers=5, agents=4)
        await fleet.run(SETTLE_MS)
        fleet.pause("tahian-1")
        await fleet.run(PROPAGATION_LIMIT_MS)
        assert fleet.states("tahian-1") == {DEAD}
        fleet.resume("tahian-1")
        await fleet.run(PROPAGATION_LIMIT_MS)
        assert fleet.states("tahian-1") == {ALIVE}

    simulate(scenario)


def test_resumed_observer_declares_no_member_dead(simulate) -> None:
    """Guards against an observer that mistakes its own pause for silence."""

    async def scenario(fleet) -> None:
        fleet.start_many(balancers=4, agents=6)
        await fleet.run(SETTLE_MS)
        fleet.pause("balancer-1")
        await fleet.run(5_000)
        assert fleet.states("balancer-1") == {DEAD}
        fleet.resume("balancer-1")
        await fleet.run(2 * PROPAGATION_LIMIT_MS)
        for name in fleet.records:
            assert fleet.states(name) == {ALIVE}
            record = fleet.members["balancer-0"].view().members[name]
            assert (record.version > 0) == (name == "balancer-1")

    simulate(scenario)


def test_one_way_cut_to_single_observer_declares_no_member_dead(
    simulate,
) -> None:
    """Guards against a death declared by a single observer."""

    async def scenario(fleet) -> None:
        fleet.start_many(balancers=5, agents=3)
        await fleet.run(SETTLE_MS)
        observers = fleet.members["tahian-0"].observers()
        for observer in observers:
            fleet.cut({"tahian-0"}, {observer.instance_id})
            await fleet.run(10_000)
            assert fleet.states("tahian-0") == {ALIVE}
            fleet.cut({observer.instance_id}, {"tahian-0"})
            await fleet.run(10_000)
            assert fleet.states("tahian-0") == {ALIVE}
            record = fleet.members["balancer-0"].view().members["tahian-0"]
            assert record.version == 0

    simulate(scenario)


def test_target_death_with_both_observers_is_detected(simulate) -> None:
    """Guards against a dead target whose observers died with it."""

    async def scenario(fleet) -> None:
        fleet.start_many(balancers=6, agents=3)
        await fleet.run(SETTLE_MS)
        observers = fleet.members["tahian-0"].observers()
        for name in [*(item.instance_id for item in observers), "tahian-0"]:
            await fleet.kill(name)
        await fleet.run(10_000)
        assert fleet.states("tahian-0") == {DEAD}

    simulate(scenario)


def test_draining_and_left_states_propagate_in_time(simulate) -> None:
    """Guards against new flows on a target that is leaving."""

    async def scenario(fleet) -> None:
        fleet.start_many(balancers=8, agents=4)
        await fleet.run(SETTLE_MS)
        fleet.members["tahian-0"].update(state=DRAINING)
        await fleet.run(PROPAGATION_LIMIT_MS)
        assert fleet.states("tahian-0") == {DRAINING}
        assert fleet.state("tahian-1", "tahian-0") is DRAINING
        fleet.members["tahian-0"].update(state=LEFT)
        await fleet.kill("tahian-0")
        await fleet.run(PROPAGATION_LIMIT_MS)
        assert fleet.states("tahian-0") == {LEFT}

    simulate(scenario, loss_ratio=0.02)


def test_stale_record_does_not_replace_newer_record(simulate) -> None:
    """Guards against an old record that replaces a newer one."""

    async def scenario(fleet) -> None:
        fleet.start_many(balancers=4, agents=2)
        await fleet.run(SETTLE_MS)
        stale = fleet.records["tahian-0"]
        await fleet.kill("tahian-0")
        await fleet.run(PROPAGATION_LIMIT_MS)
        table = fleet.members["balancer-0"]._table
        table.merge([stale])
        table.merge([dataclasses.replace(stale, incarnation=1, version=99)])
        await fleet.run(PROPAGATION_LIMIT_MS)
        assert fleet.states("tahian-0") == {DEAD}

    simulate(scenario)


def test_restart_on_same_address_replaces_record(simulate) -> None:
    """Guards against a view that keeps the earlier incarnation."""

    async def scenario(fleet) -> None:
        fleet.start_many(balancers=4, agents=2)
        await fleet.run(SETTLE_MS)
        first = fleet.records["tahian-0"]
        await fleet.kill("tahian-0")
        await fleet.run(700)
        fleet.start("tahian-0", "tahian", control=first.control_address)
        await fleet.run(PROPAGATION_LIMIT_MS)
        assert fleet.states("tahian-0") == {ALIVE}
        for member in fleet.members.values():
            record = member.view().members["tahian-0"]
            assert record.incarnation > first.incarnation

    simulate(scenario)


def test_earlier_incarnation_withdraws(simulate) -> None:
    """Guards against a resumed process that competes with its successor."""

    async def scenario(fleet) -> None:
        fleet.start_many(balancers=4, agents=1)
        await fleet.run(SETTLE_MS)
        withdrawn = []
        first = fleet.members["tahian-0"]
        first.on_withdrawal(lambda: withdrawn.append(True))
        fleet.start("tahian-0", "tahian")
        successor = fleet.records["tahian-0"]
        await fleet.run(PROPAGATION_LIMIT_MS)
        assert withdrawn == [True]
        assert first.view().members["tahian-0"].state is LEFT
        await fleet.run(PROPAGATION_LIMIT_MS)
        assert fleet.states("tahian-0") == {ALIVE}
        for balancer in fleet.members.values():
            record = balancer.view().members["tahian-0"]
            assert record.incarnation == successor.incarnation

    simulate(scenario)


def test_mass_failure_in_zone_keeps_last_resort_targets(simulate) -> None:
    """Guards against a service without targets after a network fault."""

    async def scenario(fleet) -> None:
        fleet.start_many(balancers=4)
        names = [f"tahian-{index}" for index in range(4)]
        for name in names:
            fleet.start(name, "tahian", zone="iloilo")
        fleet.start("tahian-far", "tahian", zone="tacloban")
        await fleet.run(SETTLE_MS)
        for name in names[:2]:
            await fleet.kill(name)
        fleet.pause(names[2])
        await fleet.run(PROPAGATION_LIMIT_MS)
        view = fleet.members["balancer-0"].view()
        unconfirmed = [
            member.instance_id for member in view.last_resort_targets("tahian")
        ]
        assert unconfirmed == names[:3]
        fleet.resume(names[2])
        await fleet.run(PROPAGATION_LIMIT_MS)
        view = fleet.members["balancer-0"].view()
        unconfirmed = [
            member.instance_id for member in view.last_resort_targets("tahian")
        ]
        assert unconfirmed == names[:2]
        assert fleet.states(names[2]) == {ALIVE}
        await fleet.run(40_000)
        view = fleet.members["balancer-0"].view()
        assert view.last_resort_targets("tahian") == ()

    simulate(scenario)


def test_single_death_yields_no_last_resort_targets(simulate) -> None:
    """Guards against last-resort targets after a single death."""

    async def scenario(fleet) -> None:
        fleet.start_many(balancers=3)
        for index in range(4):
            fleet.start(f"tahian-{index}", "tahian", zone="iloilo")
        await fleet.run(SETTLE_MS)
        await fleet.kill("tahian-0")
        await fleet.run(PROPAGATION_LIMIT_MS)
        view = fleet.members["balancer-0"].view()
        assert fleet.states("tahian-0") == {DEAD}
        assert view.last_resort_targets("tahian") == ()

    simulate(scenario)


def test_partitioned_regions_keep_local_members_and_merge_after_healing(
    simulate,
) -> None:
    """Guards against views that still differ after a partition has healed."""

    async def scenario(fleet) -> None:
        sides = []
        for region in ("visayas", "yeongnam"):
            names = {f"balancer-{region}-{index}" for index in range(3)}
            for name in sorted(names):
                fleet.start(name, region=region)
            fleet.start(f"tahian-{region}", "tahian", region=region)
            sides.append({*names, f"tahian-{region}"})
        await fleet.run(SETTLE_MS)
        assert fleet.states("tahian-visayas") == {ALIVE}
        fleet.partition(*sides)
        await fleet.run(120_000)
        for region, other in (("visayas", "yeongnam"), ("yeongnam", "visayas")):
            observer = f"balancer-{region}-0"
            assert fleet.state(observer, f"tahian-{region}") is ALIVE
            assert fleet.state(observer, f"tahian-{other}") is DEAD
        fleet.network.heal()
        await fleet.run(30_000)
        for name in fleet.records:
            assert fleet.states(name) == {ALIVE}

    simulate(scenario)


def test_join_succeeds_with_single_live_seed(simulate) -> None:
    """Guards against joining that depends on one seed or on a balancer."""

    async def scenario(fleet) -> None:
        fleet.start_many(balancers=5, agents=3)
        await fleet.run(SETTLE_MS)
        await fleet.kill("balancer-0")
        await fleet.kill("balancer-1")
        seeds = ["balancer-0", "balancer-1", "tahian-0"]
        fleet.start("balancer-late", seeds=seeds)
        fleet.start("tahian-late", "tahian", seeds=[*seeds[:2], "balancer-2"])
        await fleet.run(SETTLE_MS)
        assert fleet.states("balancer-late") == {ALIVE}
        assert fleet.states("tahian-late") == {ALIVE}
        assert fleet.state("tahian-0", "tahian-late") is ALIVE
        for name in ("balancer-4", "tahian-1", "tahian-2"):
            assert fleet.state("balancer-late", name) is ALIVE

    simulate(scenario)


def test_initially_unreachable_seed_is_discovered(simulate) -> None:
    """Guards against missing a seed that was contacted before it listened."""

    async def scenario(fleet) -> None:
        fleet.start_many(balancers=3, agents=3)
        others = set(fleet.records) - {"balancer-0"}
        fleet.cut(others, {"balancer-0"})
        await fleet.run(5_000)
        fleet.network.heal()
        await fleet.run(PROPAGATION_LIMIT_MS)
        assert len(fleet.members["balancer-0"].view().members) == 6
        assert fleet.states("balancer-0") == {ALIVE}

    simulate(scenario)


def test_removed_member_does_not_reappear(simulate) -> None:
    """Guards against a stale record that reintroduces a removed member."""

    async def scenario(fleet) -> None:
        fleet.start_many(balancers=3, agents=2)
        await fleet.run(SETTLE_MS)
        stale = fleet.records["tahian-0"]
        await fleet.kill("tahian-0")
        await fleet.run(PROPAGATION_LIMIT_MS)
        for member in fleet.members.values():
            table = member._table
            table._ended_ms = dict.fromkeys(table._ended_ms, -(1 << 40))
        await fleet.run(12_000)
        assert fleet.states("tahian-0") == {None}
        # A balancer that joins later has no tombstone of the member.
        fleet.start("balancer-late")
        await fleet.run(SETTLE_MS)
        fleet.members["balancer-late"]._table.merge([stale])
        assert fleet.state("balancer-late", "tahian-0") is ALIVE
        await fleet.run(12_000)
        assert fleet.state("balancer-0", "tahian-0") is None
        assert fleet.state("balancer-late", "tahian-0") is DEAD

    simulate(scenario)


def test_config_version_reaches_all_instances_in_time(simulate) -> None:
    """Guards against an instance that misses a configuration version."""

    async def scenario(fleet) -> None:
        fleet.start_many(balancers=10, agents=6)
        await fleet.run(SETTLE_MS)
        announcers = {}

        def subscribe(name: str, member: membership.Membership) -> None:
            def record_announcer(
                announcer: membership.Member, version: int
            ) -> None:
                announcers.setdefault(name, announcer)
                member.update(config_version=version)

            member.on_config_version(record_announcer)

        for name, member in fleet.members.items():
            subscribe(name, member)
        fleet.members["balancer-3"].update(config_version=7)
        await fleet.run(PROPAGATION_LIMIT_MS)
        assert set(announcers) == set(fleet.members) - {"balancer-3"}
        assert all(
            announcer.role is core.Role.BALANCER
            for announcer in announcers.values()
        )

    simulate(scenario, loss_ratio=0.02)


def test_observed_members_are_balanced_across_balancers(simulate) -> None:
    """Guards against a balancer with far more control traffic than others."""

    async def scenario(fleet) -> None:
        fleet.start_many(balancers=6)
        await fleet.run(SETTLE_MS)
        fleet.start_many(balancers=0, agents=30)
        await fleet.run(12_000)
        counts = [
            fleet.members[f"balancer-{index}"].observed_count
            for index in range(6)
        ]
        assert max(counts) <= 1.25 * 12 + 2
        assert sum(counts) >= 2 * 36
        await fleet.kill("tahian-7")
        await fleet.run(PROPAGATION_LIMIT_MS)
        assert fleet.states("tahian-7") == {DEAD}

    simulate(scenario)


def test_small_and_frequent_weight_changes_are_suppressed(simulate) -> None:
    """Guards against control traffic dominated by weight changes."""

    async def scenario(fleet) -> None:
        fleet.start_many(balancers=3, agents=2)
        await fleet.run(SETTLE_MS)
        agent = fleet.members["tahian-0"]
        agent.update(weight=2.0)
        for step in range(100):
            agent.update(weight=1.0 + step % 2)
            await fleet.run(100)
        agent.update(weight=3.0)
        agent.update(weight=2.95)
        await fleet.run(PROPAGATION_LIMIT_MS)
        record = fleet.members["balancer-0"].view().members["tahian-0"]
        assert record.weight == 2.95
        assert record.version <= 12

    simulate(scenario)
