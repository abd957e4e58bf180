"""Tests of event counters and duration histograms."""

from collections.abc import Iterator
import io

import eliot
import pytest

from fireflyford.telemetry import _instruments
from fireflyford.telemetry import _logs


def test_free_text_reasons_share_one_series() -> None:
    """Guards against one series per error message of an external program."""
    instruments = _instruments.Instruments()
    for index in range(10):
        instruments.count("store-lost", f"connection {index} refused")
    lines = instruments.expose().decode().splitlines()
    expected = 'fireflyford_events_total{event="store-lost",reason="other"} 10'
    assert lines[1:] == [expected]


def test_series_count_is_bounded() -> None:
    """Guards against unbounded memory with many event names."""
    instruments = _instruments.Instruments()
    for index in range(_instruments.MAX_SERIES + 50):
        instruments.count(f"event-{index}")
    lines = instruments.expose().decode().splitlines()
    # The type line, the limit, and one overflow series.
    assert len(lines) == _instruments.MAX_SERIES + 2
    assert 'fireflyford_events_total{event="other",reason=""} 50' in lines


def test_histogram_buckets_are_cumulative() -> None:
    """Guards against wrong quantiles from non-cumulative buckets."""
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
    """Log stream of this process; restores the unconfigured state."""
    added_destinations = []
    add_destinations = eliot.add_destinations

    def add(*destinations: object) -> None:
        added_destinations.extend(destinations)
        add_destinations(*destinations)

    monkeypatch.setattr(eliot, "add_destinations", add)
    monkeypatch.setattr(eliot, "add_global_fields", lambda **fields: None)
    monkeypatch.setattr(_logs, "_active_writer", None)
    stream = io.StringIO()
    _logs.configure_logs(stream, "agent-1")
    yield stream
    for destination in added_destinations:
        eliot.remove_destination(destination)


def test_events_with_dropped_lines_are_counted(
    log_stream: io.StringIO,
) -> None:
    """Guards against counters that miss events with dropped lines."""
    for _ in range(1_000):
        _logs.log("flow-opened")
    assert log_stream.getvalue().count("event=flow-opened") < 1_000
    text = _instruments.expose_instruments().decode()
    (line,) = [item for item in text.splitlines() if "flow-opened" in item]
    assert int(line.rsplit(" ", 1)[1]) >= 1_000
