"""Plots and comparisons of experiment results."""

import pathlib
from typing import Any

import matplotlib
import msgspec

matplotlib.use("Agg")

from matplotlib import pyplot


def load_result(path: str) -> dict[str, Any]:
    """Reads a result written by `run --output`.

    Raises:
        OSError: The file cannot be read.
        msgspec.DecodeError: The file is not valid JSON.
    """
    fields: dict[str, Any] = msgspec.json.decode(
        pathlib.Path(path).read_bytes()
    )
    return fields


def plot_result(path: str) -> pathlib.Path:
    """Plots a result to a PNG file next to the result file.

    Args:
        path: File written by `run --output`.

    Returns:
        Path of the PNG file. It has one panel for each series or, without
        series, a bar chart of the figures relative to their targets.
    """
    result = load_result(path)
    series = result.get("series", [])
    count = max(1, len(series))
    figure, axes = pyplot.subplots(
        count, 1, figsize=(8, 3.2 * count), squeeze=False
    )
    if series:
        for axis, item in zip(axes[:, 0], series, strict=True):
            _draw_series(axis, item)
    else:
        _draw_figures(axes[0, 0], result["figures"])
    figure.suptitle(f"{result['name']}, seed {result['seed']}")
    figure.tight_layout()
    plot_path = pathlib.Path(path).with_suffix(".png")
    figure.savefig(plot_path)
    pyplot.close(figure)
    return plot_path


def _draw_series(axis: Any, item: dict[str, Any]) -> None:
    points = item["points"]
    axis.plot(
        [point[0] for point in points],
        [point[1] for point in points],
        marker="o",
        markersize=3,
    )
    axis.set_title(item["name"])
    axis.set_xlabel(item["x_label"])
    axis.set_ylabel(item["y_label"])
    axis.set_ylim(bottom=0)


def _draw_figures(axis: Any, figures: list[dict[str, Any]]) -> None:
    shown = [item for item in figures if item["target"]]
    ratios = [item["value"] / item["target"] for item in shown]
    axis.barh([item["name"] for item in shown], ratios)
    axis.axvline(1.0, color="red", label="target")
    axis.set_xlabel("value / target")
    axis.legend()


def compare_results(first: str, second: str) -> list[str]:
    """Compares the figures of two results of one experiment.

    Args:
        first: File of the earlier version.
        second: File of the later version.

    Returns:
        One line for each figure, with both values and their ratio.

    Raises:
        ValueError: The files are results of different experiments.
    """
    before, after = load_result(first), load_result(second)
    if before["name"] != after["name"]:
        raise ValueError(
            f"{first} has results of `{before['name']}`, but {second} of "
            f"`{after['name']}`"
        )
    old = {item["name"]: item["value"] for item in before["figures"]}
    return [
        _compare_figure(item, old.get(item["name"]))
        for item in after["figures"]
    ]


def _compare_figure(item: dict[str, Any], old: float | None) -> str:
    if old is None:
        return f"{item['name']:40} {'new':>12} {item['value']:12.4g}"
    ratio = f"{item['value'] / old:8.3f}" if old else "     n/a"
    return (
        f"{item['name']:40} {old:12.4g} {item['value']:12.4g} {ratio} "
        f"{item['unit']}"
    )
