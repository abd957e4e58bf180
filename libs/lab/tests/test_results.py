"""Results of experiments: verdicts, plots and comparisons."""

import json
import pathlib

from fireflyford.lab import _commands
from fireflyford.lab import _plot
from fireflyford.lab import experiments


def make_result(value: float) -> experiments.Result:
    return experiments.Result(
        name="drain",
        seed=1,
        figures=(
            experiments.Figure("delay", value, "ms", target=100.0),
            experiments.Figure(
                "share",
                0.9,
                "ratio",
                target=0.5,
                bound=experiments.Bound.AT_LEAST,
            ),
        ),
        series=(
            experiments.Series("delay", "time (s)", "ms", ((0, 1), (1, 2))),
        ),
    )


def write_result(path: pathlib.Path, value: float) -> str:
    path.write_bytes(_commands._encode(make_result(value)))
    return str(path)


def test_result_with_missed_target_is_not_ok() -> None:
    """Guards against a result that hides a missed target."""
    assert make_result(100.0).ok
    assert not make_result(101.0).ok
    assert json.loads(_commands._encode(make_result(101.0)))["ok"] is False


def test_plot_result_writes_png(tmp_path: pathlib.Path) -> None:
    """Guards against a plot command that writes no image."""
    plot_path = _plot.plot_result(write_result(tmp_path / "a.json", 50.0))
    assert plot_path.read_bytes().startswith(b"\x89PNG")


def test_compare_results_shows_ratio(tmp_path: pathlib.Path) -> None:
    """Guards against a comparison without the ratio."""
    lines = _plot.compare_results(
        write_result(tmp_path / "a.json", 50.0),
        write_result(tmp_path / "b.json", 75.0),
    )
    assert "1.500" in lines[0]
