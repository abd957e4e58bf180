"""Measurement of the slopes used in docs/CAPACITY.md."""

import asyncio

from fireflyford.lab import experiments

# Experiments whose results the page's calculations use.
SLOPE_EXPERIMENTS = ("control-cost", "forwarding", "quic-cost", "store-outage")


def measure_slopes(seed: int) -> list[experiments.Result]:
    """Runs the experiments sequentially.

    Args:
        seed: Seed of all random choices.
    """
    known = experiments.find_all()
    return [asyncio.run(known[name].run(seed)) for name in SLOPE_EXPERIMENTS]
