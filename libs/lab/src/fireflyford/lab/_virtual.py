"""Virtual time: unchanged asyncio code, without waiting."""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any
from typing import TypeVar

from fireflyford import core

T = TypeVar("T")


class _JumpingSelector(selectors.SelectSelector):
    """Moves the time forward instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("all tasks wait and no timer is set")
        self.now_s += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time moves when nothing is left to do."""

    def __init__(self) -> None:
        """Starts at time zero."""
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._jumping.now_s


class VirtualClock(core.Clock):
    """Clock of the running event loop."""

    def now_ms(self) -> int:
        """Returns the virtual time."""
        # Rounds, since timers sum up binary fractions of a second.
        return int(asyncio.get_running_loop().time() * 1000 + 1e-6)

    def wall_ms(self) -> int:
        """Returns the same value as `now_ms`."""
        return self.now_ms()

    async def sleep(self, duration_ms: float) -> None:
        """Waits for virtual time."""
        await asyncio.sleep(duration_ms / 1000)


def run(main: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine in virtual time, from time zero.

    >>> run(asyncio.sleep(3600, "an hour later"))
    'an hour later'
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
