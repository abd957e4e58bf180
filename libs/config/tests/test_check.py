"""Tests of validation, comparison and parsing of deployments."""

import dataclasses
from typing import Any

import pytest

from fireflyford import config
from fireflyford import core
from fireflyford.lab import _deployments

BASE = _deployments.BANTAY
FIRST, SECOND = BASE.services
REGION = BASE.regions[0]
ORDER, SHEET, FEED = FIRST.treatments


def with_service(**fields: Any) -> config.Deployment:
    service = dataclasses.replace(FIRST, **fields)
    return dataclasses.replace(BASE, services=(service, SECOND))


def with_region(**fields: Any) -> config.Deployment:
    region = dataclasses.replace(REGION, **fields)
    return dataclasses.replace(BASE, regions=(region,))


def with_order(**fields: Any) -> config.Deployment:
    order = dataclasses.replace(ORDER, **fields)
    return with_service(treatments=(order, SHEET, FEED))


@pytest.mark.parametrize(
    ("deployment", "expected"),
    [
        (dataclasses.replace(BASE, name="A b"), "deployment 'A b': the name"),
        (dataclasses.replace(BASE, regions=()), "the deployment has no region"),
        (dataclasses.replace(BASE, services=()), "the deployment has no serv"),
        (with_service(name="padron"), "service padron appears 2 times"),
        (with_service(name=""), "service '': the name must have"),
        (with_service(address="127.0.0.1:4434"), "tahian and padron share"),
        (with_service(address="host:1"), "`address` is 'host:1', expected"),
        (with_service(target_count=0), "`target_count` is 0, expected 1 or"),
        (with_service(slots_per_target=0), "`slots_per_target` is 0"),
        (with_service(connections_per_target=-1), "`connections_per_target` i"),
        (
            with_service(second_attempt_ratio=0.5),
            "`second_attempt_ratio` is 0.5, expected 0 to 0.2",
        ),
        (
            with_service(
                transport=config.Transport.DATAGRAM, second_attempt_ratio=0.1
            ),
            "datagram flows have no second attempts",
        ),
        (with_service(treatments=()), "no treatment; add one for each kind"),
        (with_service(callers=("a", "a")), "caller a appears 2 times"),
        (
            with_service(transport=config.Transport.DATAGRAM),
            "datagram flows have no treatments",
        ),
        (
            with_service(treatments=(ORDER, ORDER)),
            "treatment patch-order appears 2 times",
        ),
        (
            with_service(
                treatments=(
                    dataclasses.replace(SHEET, path_prefix="/"),
                    FEED,
                )
            ),
            "treatment queue-feed never applies, because work-sheet",
        ),
        (with_region(availability_zones=()), "visayas: no availability zone"),
        (
            with_region(availability_zones=REGION.availability_zones * 2),
            "availability zone cebu appears 2 times",
        ),
        (with_region(zone_delay_ms=-1), "`zone_delay_ms` is -1, expected 0"),
        (
            with_region(caller_delay_ms=float("nan")),
            "`caller_delay_ms` is nan, expected 0",
        ),
        (with_order(deadline_ms=0), "`deadline_ms` is 0, expected 1 to 120000"),
        (with_order(deadline_ms=120_001), "`deadline_ms` is 120001"),
        (with_order(priority=10), "`priority` is 10, expected 0 to 9"),
        (with_order(method="post"), "`method` is 'post', expected DELETE"),
        (with_order(path_prefix="x"), "`path_prefix` is 'x', expected a path"),
        (with_order(name="A"), "treatment A: the name must have"),
        (with_order(idempotent=True), "POST is not idempotent; set"),
        (with_order(kind=config.Kind.FEED), "a feed needs method GET"),
    ],
)
def test_each_error_is_reported_once(
    deployment: config.Deployment, expected: str
) -> None:
    """Guards against an invalid configuration that passes validation."""
    lines = [line for line in config.check(deployment) if expected in line]
    assert len(lines) == 1, config.check(deployment)
    assert "\n" not in lines[0]


def test_comparison_lists_changed_elements() -> None:
    """Guards against a diff that reports unrelated elements as changed."""
    added = dataclasses.replace(SHEET, name="index", path_prefix="/index")
    new = with_service(target_count=9, treatments=(ORDER, added, SHEET, FEED))
    assert config.compare(BASE, new) == (
        "~ services.tahian.target_count: 7 -> 9",
        "+ services.tahian.treatments.index",
    )
    swapped = with_service(treatments=(SHEET, ORDER, FEED))
    assert config.compare(BASE, swapped) == (
        "~ services.tahian.treatments: order is now work-sheet, patch-order, "
        "queue-feed",
    )


@pytest.mark.parametrize(
    ("new", "expected"),
    [
        (dataclasses.replace(BASE, services=(SECOND,)), "be removed"),
        (with_service(address="127.0.0.1:9"), "move from 127.0.0.1:4433 to"),
        (
            with_service(transport=config.Transport.DATAGRAM),
            "change its transport to datagram",
        ),
        (with_service(target_count=1), ""),
    ],
)
def test_breaking_change_requires_draining(
    new: config.Deployment, expected: str
) -> None:
    """Guards against a change that breaks the flows of a service."""
    lines = config.find_breaking_changes(BASE, new)
    assert [expected in line for line in lines] == [True] * bool(expected)
    assert config.find_breaking_changes(with_service(draining=True), new) == ()


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ('"format": 1', '"format": 2', "format 2 is not supported, expected"),
        ('"target_count"', '"target_cuont"', "missing required field"),
        ('"priority"', '"priorty"', "treatments[0].priorty"),
        ('"kind": "feed"', '"kind": "food"', "services[0].treatments[2].kind"),
        ("{", "[", "Expected `object`, got `array`"),
        ('"name"', "name", "JSON is malformed"),
    ],
)
def test_invalid_configuration_text_is_rejected(
    old: str, new: str, expected: str
) -> None:
    """Guards against a text that is parsed partially."""
    text = config.render(BASE).replace(old, new, 1)
    outcome = config.parse(text)
    assert isinstance(outcome, core.Failure)
    assert expected in outcome.message


def test_text_without_second_attempts_is_readable_by_last_release() -> None:
    """Guards against a field that instances of the last release reject."""
    assert "second_attempt_ratio" not in config.render(BASE)
    limited = with_service(second_attempt_ratio=0.05)
    assert config.parse(config.render(limited)) == core.Ok(limited)


def test_unset_second_attempt_ratio_is_no_difference() -> None:
    """Guards against a difference between a text and its deployment."""
    parsed = config.parse(config.render(BASE))
    assert isinstance(parsed, core.Ok)
    assert config.render(parsed.value) == config.render(BASE)
    assert config.compare(parsed.value, BASE) == ()
    assert config.compare(BASE, with_service(second_attempt_ratio=0.05)) == (
        "+ services.tahian.second_attempt_ratio",
    )
