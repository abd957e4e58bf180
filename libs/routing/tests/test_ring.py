"""Tests of the ring, weight normalization and the router."""

import collections
import dataclasses
import math

import hypothesis
from hypothesis import strategies

from fireflyford import core
from fireflyford import routing


def make_targets(count: int) -> list[routing.Target]:
    return [
        routing.Target(
            f"target-{number}", core.Address("10.0.1.1", number), number
        )
        for number in range(1, count + 1)
    ]


def choose_routes(router: routing.Router, keys: range) -> list[routing.Route]:
    found = [
        router.choose(
            routing.UnidentifiedFlowHint(routing.hash_flow(b"%d" % key))
        )
        for key in keys
    ]
    assert None not in found
    return [route for route in found if route is not None]


weights = strategies.floats() | strategies.floats(1e-3, 1e3)


@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
@hypothesis.given(strategies.lists(weights, min_size=1, max_size=9))
def test_normalized_weights_are_bounded(values: list[float]) -> None:
    """Guards against a wrong weight that overloads or starves a target."""
    targets = [
        dataclasses.replace(target, weight=weight)
        for target, weight in zip(
            make_targets(len(values)), values, strict=True
        )
    ]
    for target in routing.normalize_weights(targets):
        assert math.isfinite(target.weight)
        assert 0.25 <= target.weight <= 4.0


def test_normalized_weights_are_relative_to_median() -> None:
    """Guards against normalization that loses the ratios between weights."""
    targets = [
        dataclasses.replace(target, weight=weight)
        for target, weight in zip(
            make_targets(5), (10.0, 20.0, 20.0, 40.0, 9_999.0), strict=True
        )
    ]
    found = [target.weight for target in routing.normalize_weights(targets)]
    assert found == [0.5, 1.0, 1.0, 2.0, 4.0]


def test_share_of_keys_follows_target_weight() -> None:
    """Guards against a ring that ignores weights."""
    targets = make_targets(4)
    targets[0] = dataclasses.replace(targets[0], weight=4.0)
    ring = routing.TargetRing(targets)
    counts = collections.Counter(
        target.name
        for key in range(7_000)
        if (target := ring.find(routing.hash_flow(b"%d" % key)))
    )
    assert 3_200 < counts["target-1"] < 4_800


def test_draining_target_is_candidate_but_not_first_choice() -> None:
    """Guards against new flows on a draining target and lost open flows."""
    clock = core.ManualClock()
    router = routing.Router(clock)
    targets = make_targets(5)
    router.replace_targets(targets)
    before = choose_routes(router, range(300))
    draining_target = dataclasses.replace(targets[2], accepts_flows=False)
    router.replace_targets([*targets[:2], draining_target, *targets[3:]])
    after = choose_routes(router, range(300))
    for old, new in zip(before, after, strict=True):
        assert new.address != draining_target.address
        if old.address == draining_target.address:
            assert draining_target.holder in new.candidates


def test_new_balancer_lists_draining_target_as_candidate() -> None:
    """Guards against lost flows at a balancer without previous rings."""
    targets = make_targets(5)
    old = routing.Router(core.ManualClock())
    old.replace_targets(targets)
    draining_target = dataclasses.replace(targets[2], accepts_flows=False)
    new = routing.Router(core.ManualClock())
    new.replace_targets([*targets[:2], draining_target, *targets[3:]])
    for before, after in zip(
        choose_routes(old, range(300)),
        choose_routes(new, range(300)),
        strict=True,
    ):
        if before.address == draining_target.address:
            assert after.candidates[0] == draining_target.holder


def test_ring_history_is_kept_but_bounded() -> None:
    """Guards against unbounded ring history and against keeping none."""
    clock = core.ManualClock()
    router = routing.Router(clock)
    targets = make_targets(6)
    router.replace_targets(targets)
    before = choose_routes(router, range(200))
    reweighted = dataclasses.replace(targets[0], weight=0.25)
    router.replace_targets([reweighted, *targets[1:]])
    for old, new in zip(before, choose_routes(router, range(200)), strict=True):
        known = {new.address, *(item.address for item in new.candidates)}
        assert old.address in known
    for weight in range(1, 40):
        changed = dataclasses.replace(targets[0], weight=weight / 8)
        router.replace_targets([changed, *targets[1:]])
    assert len(router._history) <= 4


def test_unchanged_targets_do_not_rebuild_ring() -> None:
    """Guards against rebuilding a ring when only other services change."""
    router = routing.Router(core.ManualClock())
    assert router.replace_targets(make_targets(3))
    generation = router.generation
    assert not router.replace_targets(reversed(make_targets(3)))
    assert router.generation == generation


def test_holder_hint_is_routed_without_targets() -> None:
    """Guards against a balancer without targets that drops open flows."""
    router = routing.Router(core.ManualClock())
    holder = core.Holder(core.Address("10.0.9.9", 9), 77)
    route = router.choose(routing.HolderHint(holder))
    assert route == routing.Route(holder.address, holder.incarnation)
    assert router.choose(routing.NewFlowHint(1)) is None


@hypothesis.settings(max_examples=100, deadline=None, derandomize=True)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(1, 12),
            strategies.sampled_from(["put", "drain", "heavy", "remove"]),
        ),
        max_size=20,
    )
)
def test_updated_ring_equals_rebuilt_ring(
    changes: list[tuple[int, str]],
) -> None:
    """Guards against instances that disagree on the owner of a flow.

    Some of them have updated their ring and others have built it at once.
    """
    all_targets = {item.name: item for item in make_targets(12)}
    targets = {item.name: item for item in make_targets(6)}
    ring = routing.TargetRing(targets.values())
    for number, kind in changes:
        name = f"target-{number}"
        if kind == "remove":
            targets.pop(name, None)
            ring = ring.updated([], [name])
            continue
        targets[name] = dataclasses.replace(
            all_targets[name],
            accepts_flows=kind != "drain",
            weight=2.0 if kind == "heavy" else 1.0,
        )
        ring = ring.updated([targets[name]], [])
    rebuilt = routing.TargetRing(targets.values())
    for number in range(200):
        key = routing.hash_flow(b"%d" % number)
        assert ring.find(key) == rebuilt.find(key)
        assert ring.walk(key, 4) == rebuilt.walk(key, 4)
