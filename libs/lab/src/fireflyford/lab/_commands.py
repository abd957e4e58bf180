"""Command-line interface of the lab."""

import asyncio
import pathlib
import signal
import sys

import fire
import msgspec

from fireflyford import core
from fireflyford.lab import _backend
from fireflyford.lab import _callers
from fireflyford.lab import _capacity
from fireflyford.lab import _demo
from fireflyford.lab import _fault_proxy
from fireflyford.lab import _plot
from fireflyford.lab import _store_server
from fireflyford.lab import experiments
from fireflyford.lab import scenarios


class Commands:
    """Experiments and scenarios, with real processes or in virtual time."""

    def __init__(self) -> None:
        """Adds the commands that other modules implement."""
        self.backend = _backend.run_backend
        self.callers = _callers.run_callers
        self.demo = _demo.run_demo
        self.fault_proxy = _fault_proxy.run_fault_proxy
        self.store = _store_server.run_store

    def list(self) -> None:
        """Lists the experiments."""
        for name, experiment in experiments.find_all().items():
            print(f"{name:20} {experiment.summary}")

    def run(
        self, name: str, seed: int = 1, json: bool = False, output: str = ""
    ) -> None:
        """Runs one experiment; exits with 1 when a target is missed.

        Args:
            name: Name from `list`.
            seed: Seed of all random choices.
            json: Print the result as one JSON object on the last line, not as
                a table.
            output: File to write the result to, for `plot` and `compare`.
        """
        experiment = experiments.find_all().get(name)
        if experiment is None:
            sys.exit(f"fireflyford-lab: no experiment `{name}`; see `list`")
        # Raises SystemExit on SIGTERM, so that the experiment stops the
        # processes that it started.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
        _finish(asyncio.run(experiment.run(seed)), json, output)

    def play(
        self, path: str, seed: int = 1, json: bool = False, output: str = ""
    ) -> None:
        """Plays a scenario; exits with 1 when a check fails.

        Args:
            path: Scenario file, see docs/scenarios.md.
            seed: Seed of all random choices.
            json: Print the result as one JSON object on the last line, not as
                a table.
            output: File to write the result to, for `plot` and `compare`.
        """
        try:
            text = pathlib.Path(path).read_text()
        except OSError as error:
            sys.exit(f"fireflyford-lab: {error}")
        outcome = asyncio.run(scenarios.run(text, path, seed))
        if isinstance(outcome, core.Failure):
            sys.exit(f"fireflyford-lab: {outcome.message}")
        _finish(outcome.value, json, output)

    def capacity(self, seed: int = 1) -> None:
        """Measures the slopes used in docs/CAPACITY.md; takes minutes.

        Args:
            seed: Seed of all random choices.
        """
        results = _capacity.measure_slopes(seed)
        for result in results:
            print(f"== {result.name}, seed {result.seed}")
            _print_table(result)
        if not all(result.ok for result in results):
            sys.exit(1)

    def steps(self) -> None:
        """Lists the steps of the scenario language."""
        print("\n".join(scenarios.step_templates()))

    def plot(self, result: str) -> None:
        """Plots a result to a PNG file next to the result file.

        Args:
            result: File written by `run --output`.
        """
        print(_plot.plot_result(result))

    def compare(self, first: str, second: str) -> None:
        """Compares two results of one experiment.

        Args:
            first: File of the earlier version.
            second: File of the later version.
        """
        try:
            lines = _plot.compare_results(first, second)
        except ValueError as error:
            sys.exit(f"fireflyford-lab: {error}")
        print("\n".join(lines))


def _finish(result: experiments.Result, json: bool, output: str) -> None:
    encoded = _encode(result)
    if output:
        pathlib.Path(output).write_bytes(encoded + b"\n")
    if json:
        print(encoded.decode())
    else:
        _print_table(result)
    if not result.ok:
        sys.exit(1)


def _encode(result: experiments.Result) -> bytes:
    fields = msgspec.to_builtins(result)
    fields["ok"] = result.ok
    for encoded, figure in zip(fields["figures"], result.figures, strict=True):
        encoded["ok"] = figure.ok
    return msgspec.json.encode(fields)


def _print_table(result: experiments.Result) -> None:
    for figure in result.figures:
        target = ""
        if figure.target is not None:
            verdict = "ok" if figure.ok else "MISSED"
            target = f"{figure.bound.value} {figure.target:g} {verdict}"
        print(
            f"{figure.name:40} {figure.value:12.4g} {figure.unit:10} {target}"
        )


def main() -> None:
    """Runs the command-line interface of the lab."""
    fire.Fire(Commands, name="fireflyford-lab")
