"""Model-based tests of merging records, and of observer selection."""

import random

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from fireflyford import core
from fireflyford import membership
from fireflyford.membership import _messages
from fireflyford.membership import _table

NAMES = ("agent-0", "agent-1", "balancer-0")
OWN = "own"


def make_record(
    name: str, incarnation: int, version: int, state: membership.State
) -> membership.Member:
    port = 1_000 + 10 * [*NAMES, OWN].index(name)
    balancer = not name.startswith("agent")
    return membership.Member(
        instance_id=name,
        role=core.Role.BALANCER if balancer else core.Role.AGENT,
        region="visayas",
        availability_zone="cebu",
        service="" if balancer else "tahian",
        link_address=core.Address("127.0.0.1", port),
        control_address=core.Address("127.0.0.1", port + 1),
        bulk_address=core.Address("127.0.0.1", port + 2),
        status_address=core.Address("127.0.0.1", port + 3),
        incarnation=incarnation,
        version=version,
        state=state,
        weight=version + 1.0,
    )


RECORDS = strategies.builds(
    make_record,
    strategies.sampled_from(NAMES),
    strategies.integers(1, 3),
    strategies.integers(0, 3),
    strategies.sampled_from(membership.State),
)


class MergeMachine(stateful.RuleBasedStateMachine):
    """Merges records and changes into two tables, which exchange records."""

    def __init__(self) -> None:
        """Starts with two empty tables and two empty models."""
        super().__init__()
        clock = core.ManualClock(1_000)
        own = make_record(OWN, 5, 0, membership.State.ALIVE)
        self.clock = clock
        self.tables = [_table.MemberTable(clock, own) for _ in range(2)]
        # The highest record merged for each name, and the names whose records
        # have expired.
        self.models: list[dict[str, membership.Member]] = [{}, {}]
        self.expired: list[set[str]] = [set(), set()]

    def _update_model(self, side: int, member: membership.Member) -> None:
        known = self.models[side].get(member.instance_id)
        if known is None or member.order > known.order:
            self.models[side][member.instance_id] = member
            self.expired[side].discard(member.instance_id)

    @stateful.rule(side=strategies.integers(0, 1), member=RECORDS)
    def merge_record(self, side: int, member: membership.Member) -> None:
        """Merges a full record."""
        self.tables[side].merge([member])
        self._update_model(side, member)

    @stateful.rule(side=strategies.integers(0, 1), member=RECORDS)
    def merge_change(self, side: int, member: membership.Member) -> None:
        """Merges a change, which applies only to the known incarnation."""
        self.tables[side].merge(
            (), [_messages.RecordChange.from_member(member)]
        )
        known = self.models[side].get(member.instance_id)
        if (
            known is not None
            and known.incarnation == member.incarnation
            and member.instance_id not in self.expired[side]
        ):
            self._update_model(side, member)

    @stateful.rule(side=strategies.integers(0, 1))
    def expire(self, side: int) -> None:
        """Expires the records of all ended members."""
        table = self.tables[side]
        table._ended_ms = dict.fromkeys(
            table._ended_ms, self.clock.now_ms() - _table.ENDED_RETENTION_MS
        )
        table.expire_ended()
        self.expired[side] |= {
            name
            for name, member in self.models[side].items()
            if not member.is_live
        }

    @stateful.rule()
    def exchange(self) -> None:
        """Merges all records of each side into the other."""
        all_members = [list(table.members.values()) for table in self.tables]
        for side, other in ((0, 1), (1, 0)):
            self.tables[side].merge(all_members[other])
            for member in all_members[other]:
                if member.instance_id != OWN:
                    self._update_model(side, member)

    @stateful.invariant()
    def tables_match_models(self) -> None:
        """Each table holds the highest records that have not expired."""
        for side, table in enumerate(self.tables):
            expected = {
                name: member
                for name, member in self.models[side].items()
                if name not in self.expired[side]
            }
            found = dict(table.members)
            assert found.pop(OWN).state is membership.State.ALIVE
            assert found == expected

    @stateful.invariant()
    def equal_live_records_have_equal_digests(self) -> None:
        """Root digests are equal if and only if the live records are."""
        live = [
            {
                name: member.order
                for name, member in table.members.items()
                if member.is_live
            }
            for table in self.tables
        ]
        roots = [table.root_digest() for table in self.tables]
        assert (live[0] == live[1]) == (roots[0] == roots[1])


TestMerge = MergeMachine.TestCase
TestMerge.settings = settings(
    max_examples=100, stateful_step_count=30, deadline=None, derandomize=True
)


def test_member_refutes_record_of_its_own_death() -> None:
    """Guards against a live member that accepts a record of its death."""
    own = make_record(OWN, 5, 0, membership.State.ALIVE)
    table = _table.MemberTable(core.ManualClock(1_000), own)
    table.merge([make_record(OWN, 5, 3, membership.State.DEAD)])
    assert table.own.order == (5, 4, membership.State.ALIVE.value)
    assert not table.withdrawn


def test_rendezvous_selection_moves_few_keys_when_balancer_leaves() -> None:
    """Guards against all observers changing when one balancer leaves."""
    rng = random.Random(1)
    balancers = [
        make_record("balancer-0", 1, 0, membership.State.ALIVE),
        *(
            membership.Member(
                **{
                    **vars(
                        make_record("balancer-0", 1, 0, membership.State.ALIVE)
                    ),
                    "instance_id": f"balancer-{rng.getrandbits(32)}",
                }
            )
            for _ in range(19)
        ),
    ]
    moved = 0
    for key in range(1_000):
        before = membership.select_by_rendezvous(f"key-{key}", balancers, 2)
        after = membership.select_by_rendezvous(f"key-{key}", balancers[1:], 2)
        moved += before != after
        assert set(before) - {balancers[0]} <= set(after)
    assert 50 < moved < 150
