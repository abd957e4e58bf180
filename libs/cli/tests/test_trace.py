"""Tests of the log lines that `fireflyford trace` selects."""

import pathlib

from fireflyford import core
from fireflyford.cli import _trace

FLOW = "100.64.0.7:4001>198.18.0.1:443"
BALANCER_LOG = f"""\
time=30.010 event=flow-reset flow="{FLOW}" reason=no-holder instance=edge-1
time=12.000 event=store-lost prefix=op/config instance=edge-1
"""
AGENT_LOG = f"""\
time=10.000 event=flow-opened flow="{FLOW}" balancer=10.0.0.1:1 instance=side-1
time=29.900 event=target-down reason="port closed" held=3 instance=side-1
time=29.950 event=flow-opened flow="100.64.0.8:1>198.18.0.1:443" instance=side-1
time=29.960 event=target-down reason="port closed" held=9 instance=side-2
Traceback of something else
"""


def test_trace_shows_events_of_flow_and_cause_of_reset(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against missing the cause in the log of another instance."""
    for name, text in (("edge", BALANCER_LOG), ("side", AGENT_LOG)):
        (tmp_path / name).write_text(text)
    paths = (str(tmp_path / "edge"), str(tmp_path / "side"))
    outcome = _trace.trace(FLOW, paths)
    assert isinstance(outcome, core.Ok)
    events = [line.split()[1] for line in outcome.value.splitlines()]
    assert events == [
        "event=flow-opened",
        "event=target-down",
        "event=flow-reset",
    ]
    assert "side-2" not in outcome.value
    assert "100.64.0.8" not in outcome.value


def test_unknown_flow_or_missing_log_is_reported(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against empty output for an unknown flow or a missing file."""
    (tmp_path / "edge").write_text(BALANCER_LOG)
    outcome = _trace.trace("100.64.9.9:1", (str(tmp_path / "edge"),))
    assert isinstance(outcome, core.Failure)
    outcome = _trace.trace(FLOW, (str(tmp_path / "missing"),))
    assert isinstance(outcome, core.Failure)
