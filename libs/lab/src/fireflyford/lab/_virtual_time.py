"""Virtual time for unmodified asyncio code."""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any
from typing import TypeVar

from fireflyford import core

T = TypeVar("T")


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances the virtual time instead of waiting for I/O."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError(
                "deadlock in virtual time: all tasks are waiting and no timer "
                "is scheduled"
            )
        self.now_s += max(0.0, timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose time advances only when no callback is ready."""

    def __init__(self) -> None:
        """Starts at time zero."""
        self._time_selector = _VirtualTimeSelector()
        super().__init__(self._time_selector)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._time_selector.now_s


class VirtualClock(core.Clock):
    """Clock that reads the time of the running event loop."""

    def now_ms(self) -> int:
        """Returns the virtual time."""
        # Corrects rounding errors: timers add up binary fractions of a second.
        return int(asyncio.get_running_loop().time() * 1000 + 1e-6)

    def wall_ms(self) -> int:
        """Returns the same value as `now_ms`."""
        return self.now_ms()

    async def sleep(self, duration_ms: float) -> None:
        """Waits for a duration in virtual time."""
        await asyncio.sleep(duration_ms / 1000)


def run(main: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine in virtual time, starting at time zero.

    >>> run(asyncio.sleep(3600, "an hour later"))
    'an hour later'
    """
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
