"""Commands of the lab tool."""

import fire

from fireflyford.lab import _backend
from fireflyford.lab import _demo


def main() -> None:
    """Runs the command line of the lab."""
    fire.Fire(
        {"backend": _backend.run_backend, "demo": _demo.run_demo},
        name="fireflyford-lab",
    )
