"""Parser of the scenario language."""

import pytest

from fireflyford import core
from fireflyford.lab import scenarios

SCENARIO = """
# Two failures at once.
deployment bantay with 3 balancers
20 feeds on tahian
10 orders per second on tahian taking 10 ms   # patch orders
wait 2 s
together kill a balancer and kill an agent of tahian
sometime within 4 s pause an agent of tahian for 1 s
expect p99 of orders at most 0.5 s
"""


def test_parse_returns_all_steps_in_order() -> None:
    """Guards against steps that are missing or misinterpreted."""
    outcome = scenarios.parse(SCENARIO, "two.scenario")
    assert isinstance(outcome, core.Ok)
    names = [type(step).__name__ for step in outcome.value]
    assert names == [
        "Deploy",
        "Feeds",
        "Requests",
        "Wait",
        "Together",
        "Sometime",
        "Check",
    ]
    assert getattr(outcome.value[-1], "target", None) == 500.0


@pytest.mark.parametrize(
    ("invalid_step", "position", "nearest_step"),
    [
        ("kil a balancer", "3:1", "kill a balancer"),
        ("kill a balancr", "3:8", "kill a balancer"),
        ("wait 2 seconds", "3:9", "wait NUMBER s"),
        (
            "expect feed gap at most 0",
            "3:13",
            "expect feed gaps at most NUMBER",
        ),
    ],
)
def test_error_for_invalid_step_gives_position_and_nearest_step(
    invalid_step: str, position: str, nearest_step: str
) -> None:
    """Guards against errors without the position and the closest valid step."""
    text = f"deployment bantay with 3 balancers\n\n{invalid_step}\nwait 1 s\n"
    outcome = scenarios.parse(text, "bad.scenario")
    assert isinstance(outcome, core.Failure)
    assert outcome.message.startswith(f"bad.scenario:{position}: ")
    assert outcome.message.endswith(f"`{nearest_step}`")
