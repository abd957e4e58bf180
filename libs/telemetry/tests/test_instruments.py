"""Counts and histograms of a process."""

from collections.abc import Iterator
import io

import eliot
import pytest

from fireflyford.telemetry import _instruments
from fireflyford.telemetry import _logs


def test_reasons_of_other_programs_share_one_series() -> None:
    """Guards against a series for each text of a foreign error."""
    instruments = _instruments.Instruments()
    for index in range(10):
        instruments.count("store-lost", f"connection {index} refused")
    lines = instruments.expose().decode().splitlines()
    expected = 'fireflyford_events_total{event="store-lost",reason="other"} 10'
    assert lines[1:] == [expected]


def test_the_number_of_series_is_bounded() -> None:
    """Guards against memory that grows with the names."""
    instruments = _instruments.Instruments()
    for index in range(_instruments.MAX_SERIES + 50):
        instruments.count(f"event-{index}")
    lines = instruments.expose().decode().splitlines()
    # The type line, the series, and the one for all that exceed the bound.
    assert len(lines) == _instruments.MAX_SERIES + 2
    assert 'fireflyford_events_total{event="other",reason=""} 50' in lines


def test_buckets_are_cumulative() -> None:
    """Guards against quantiles that readers compute from wrong buckets."""
    instruments = _instruments.Instruments()
    for duration_ms in (0.5, 5, 5.1, 9_000):
        instruments.observe("store_call", duration_ms, "read-ok")
    text = instruments.expose().decode()
    name = 'fireflyford_store_call_ms_bucket{kind="read-ok",le='
    assert f'{name}"1"}} 1' in text
    assert f'{name}"5"}} 2' in text
    assert f'{name}"10"}} 3' in text
    assert f'{name}"5000"}} 3' in text
    assert f'{name}"+Inf"}} 4' in text
    assert 'fireflyford_store_call_ms_count{kind="read-ok"} 4' in text


@pytest.fixture
def log_stream(monkeypatch: pytest.MonkeyPatch) -> Iterator[io.StringIO]:
    """Logs of this process; later tests log as if it had never been used."""
    added = []
    add_destinations = eliot.add_destinations

    def add(*destinations: object) -> None:
        added.extend(destinations)
        add_destinations(*destinations)

    monkeypatch.setattr(eliot, "add_destinations", add)
    monkeypatch.setattr(eliot, "add_global_fields", lambda **fields: None)
    monkeypatch.setattr(_logs, "_active_writer", None)
    stream = io.StringIO()
    _logs.configure_logs(stream, "agent-1")
    yield stream
    for destination in added:
        eliot.remove_destination(destination)


def test_events_count_also_when_their_lines_are_dropped(
    log_stream: io.StringIO,
) -> None:
    """Guards against counters that miss what the log could not hold."""
    for _ in range(1_000):
        _logs.log("flow-opened")
    assert log_stream.getvalue().count("event=flow-opened") < 1_000
    text = _instruments.expose_instruments().decode()
    (line,) = [item for item in text.splitlines() if "flow-opened" in item]
    assert int(line.rsplit(" ", 1)[1]) >= 1_000
