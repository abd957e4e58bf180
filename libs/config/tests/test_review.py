"""Tests of lines, warnings and differences in the review of a text."""

import dataclasses
import json

from hypothesis import given
from hypothesis import strategies
import pytest

from fireflyford import config
from fireflyford.config import _lines
from fireflyford.lab import _deployments

BASE = _deployments.BANTAY
TEXT = config.render(BASE)


def line_with(text: str, part: str) -> int:
    """Returns the number of the only line that contains a part."""
    (number,) = (
        number
        for number, line in enumerate(text.splitlines(), 1)
        if part in line
    )
    return number


def review(
    old: str, new: str, against: config.Deployment | None = None
) -> tuple[str, config.Review]:
    """Reviews the text after one change of it."""
    assert old in TEXT
    text = TEXT.replace(old, new, 1)
    return text, config.review_text(text.encode(), against)


def test_valid_text_has_no_findings() -> None:
    """Guards against warnings about configurations in use."""
    for deployment in (BASE, _deployments.HANUL):
        text = config.render(deployment).encode()
        assert config.review_text(text, deployment) == config.Review(())


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ('"127.0.0.1:4434"', '"host:1"', "`address` is 'host:1'"),
        ('"deadline_ms": 20000', '"deadline_ms": 0', "`deadline_ms` is 0"),
        ('"path_prefix": "/feed"', '"path_prefix": "feed"', "starts with /"),
        ('"target_count": 7', '"target_count": "7"', "Expected `int`"),
        ('"size": "long"', '"size": "huge"', "Invalid enum value"),
        ('"name": "work-sheet"', '"nam": "work-sheet"', "missing required"),
        ('"size": "long"', '"length": "long"', "unknown field"),
        ('"name": "tahian",', '"name": "tahian"', "malformed"),
        ('"size": "long"', '"size": "long", "size": "long"', "appears twice"),
    ],
)
def test_error_has_the_line_of_its_value(
    old: str, new: str, message: str
) -> None:
    """Guards against faults that operators have to search for."""
    text, result = review(old, new)
    assert result.error_count >= 1
    found = [item for item in result.findings if message in item.message]
    (finding,) = found
    line = line_with(text, new)
    # A missing field has the line of its object, malformed text that of the
    # first unexpected character.
    assert finding.line is not None
    assert abs(finding.line - line) <= (message[0] == "m")


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        (
            '"path_prefix": "/feed"',
            '"path_prefix": "/f eed"',
            "never applies, because no request path contains",
        ),
        (
            '"path_prefix": "/feed"',
            '"path_prefix": "/feed#top"',
            "never applies, because no request path contains",
        ),
        ('"deadline_ms": 20000', '"deadline_ms": 3', "network of region"),
        (
            '"deadline_ms": 20000',
            '"deadline_ms": 1999',
            "is 1999 for long requests, but patch-order allows short ones 2000",
        ),
        ('"callers": []', '"callers": [" "]', "never matches a certificate"),
    ],
)
def test_entry_without_effect_is_a_warning(
    old: str, new: str, message: str
) -> None:
    """Guards against limits that contradict and entries that never match."""
    text, result = review(old, new)
    assert not result.error_count
    assert any(message in item.message for item in result.findings)
    first_line = next(
        number
        for number, line in enumerate(text.splitlines(), 1)
        if new in line
    )
    assert {item.line for item in result.findings} == {first_line}


def test_shadowed_treatment_is_an_error_at_its_line() -> None:
    """Guards against entries that can never match."""
    text, result = review('"/sheets"', '"/"')
    (finding,) = result.findings
    assert finding.severity is config.Severity.ERROR
    assert "queue-feed never applies" in finding.message
    assert finding.path == "$.services[0].treatments[2]"
    assert finding.line == line_with(text, '"queue-feed"') - 1


def test_differences_and_breaking_changes_are_listed() -> None:
    """Guards against a push that is refused only when it is made."""
    text, result = review('"127.0.0.1:4434"', '"127.0.0.1:4999"', BASE)
    assert result.differences == (
        '~ services.padron.address: "127.0.0.1:4434" -> "127.0.0.1:4999"',
    )
    (finding,) = result.findings
    assert "padron would move" in finding.message
    assert finding.line == line_with(text, '"padron"') - 1
    removed = dataclasses.replace(BASE, services=BASE.services[:1])
    result = config.review_deployment(removed, BASE)
    assert "- services.padron" in result.differences
    assert [item.line for item in result.findings] == [None]


VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(), inner, max_size=4)
    ),
)


@given(VALUES, strategies.sampled_from([None, 0, 2]))
def test_every_value_of_a_text_has_a_line(
    value: object, indent: int | None
) -> None:
    """Guards against strings that are taken for the structure of the text."""
    text = json.dumps(value, indent=indent)
    lines = _lines.find_positions(text).lines
    pending: list[tuple[tuple[str | int, ...], object]] = [((), value)]
    count = 0
    while pending:
        path, item = pending.pop()
        count += 1
        assert 1 <= lines[path] <= text.count("\n") + 1
        if isinstance(item, dict):
            pending += [((*path, name), part) for name, part in item.items()]
        elif isinstance(item, list):
            pending += [
                ((*path, index), part) for index, part in enumerate(item)
            ]
    assert len(lines) == count
    assert not _lines.find_positions(text).duplicates


@given(strategies.binary(max_size=200))
def test_any_bytes_are_reviewed(text: bytes) -> None:
    """Guards against exceptions on files of another kind."""
    assert config.review_text(text).error_count
