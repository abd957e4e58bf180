"""Tests of the example programs and their rendered configurations."""

import pathlib
import runpy

import pytest

from fireflyford import config
from fireflyford import core
from fireflyford.lab import _deployments

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


@pytest.mark.parametrize("name", ["bantay", "hanul"])
def test_committed_example_matches_program_output(
    name: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a committed text that differs from the program output."""
    runpy.run_path(str(EXAMPLES / f"{name}.py"), run_name="__main__")
    printed = capsys.readouterr().out
    assert printed == (EXAMPLES / f"{name}.json").read_text()
    deployment = _deployments.DEPLOYMENTS[name]
    assert config.parse(printed) == core.Ok(deployment)
    assert config.check(deployment) == ()
