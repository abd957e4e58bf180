"""Measures the slopes behind docs/CAPACITY.md again."""

import asyncio

from fireflyford.lab import experiments

# Experiments whose figures the page is worked out from.
SLOPES = ("control-cost", "forwarding", "quic-cost", "store-outage")


def measure_slopes(seed: int) -> list[experiments.Result]:
    """Runs the experiments one after another.

    Args:
        seed: Seed of everything random.
    """
    known = experiments.find_all()
    return [asyncio.run(known[name].run(seed)) for name in SLOPES]
