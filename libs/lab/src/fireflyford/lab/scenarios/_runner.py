"""Runs a scenario file."""

import pathlib

from fireflyford import core
from fireflyford.lab import experiments
from fireflyford.lab.scenarios import _language
from fireflyford.lab.scenarios import _process_environment


async def run(
    text: str, path: str, seed: int
) -> core.Outcome[experiments.Result]:
    """Runs a scenario on real processes.

    Args:
        text: Content of the scenario file.
        path: Path of the file, for error messages and the name of the result.
        seed: Seed of all random choices.

    Returns:
        The figures of all checks, or `BAD_CONFIG` if the file is invalid or a
        step cannot be performed.
    """
    parsed = _language.parse(text, path)
    if isinstance(parsed, core.Failure):
        return parsed
    environment = _process_environment.ProcessEnvironment(seed)
    figures = []
    try:
        for step in parsed.value:
            figure = await step.perform(environment)
            if figure is not None:
                figures.append(figure)
    except (RuntimeError, ValueError) as error:
        return core.Failure(core.ErrorKind.BAD_CONFIG, f"{path}: {error}")
    finally:
        environment.close()
    name = pathlib.Path(path).stem
    return core.Ok(experiments.Result(name, seed, tuple(figures)))
