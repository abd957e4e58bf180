"""Open flows under planned changes and failures, with real processes."""

import asyncio
import dataclasses

from fireflyford.lab.experiments import _flow_experiment
from fireflyford.lab.experiments import _flows


def missed_targets(experiment: _flow_experiment.FlowExperiment) -> list[str]:
    result = asyncio.run(experiment.run(seed=1))
    return [
        f"{item.name}: {item.value}" for item in result.figures if not item.ok
    ]


def test_open_flows_survive_rolling_replacements() -> None:
    """Guards against flows that a planned change breaks or misroutes."""
    assert (
        missed_targets(_flows.RollingBoth(_flow_experiment.SMALL_SCALE)) == []
    )


def test_flows_recover_from_concurrent_kills_and_silent_path() -> None:
    """Guards against stalled feeds and false "not run" answers."""
    scale = dataclasses.replace(_flow_experiment.SMALL_SCALE, settle_ms=5_000)
    assert missed_targets(_flows.KillAndSilence(scale)) == []
