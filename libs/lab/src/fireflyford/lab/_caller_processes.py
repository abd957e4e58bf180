"""Caller processes of an experiment."""

import asyncio

import msgspec

from fireflyford import config
from fireflyford.lab import _callers
from fireflyford.lab import _fleet

_READY_LIMIT_S = 60.0
_FINISH_LIMIT_S = 15.0
# The figures with all latencies come in one line.
_MAX_LINE_BYTES = 64 << 20


class CallerProcess:
    """One process that runs callers."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        """Takes the running process."""
        self._process = process

    async def wait_ready(self) -> None:
        """Waits until all feeds deliver.

        Raises:
            TimeoutError: They do not.
        """
        async with asyncio.timeout(_READY_LIMIT_S):
            if await self._read_line() != b"ready":
                raise RuntimeError("the callers have ended early")

    async def finish(self) -> _callers.CallerStatistics:
        """Stops the callers and returns their figures."""
        assert self._process.stdin is not None
        self._process.stdin.close()
        async with asyncio.timeout(_FINISH_LIMIT_S):
            line = await self._read_line()
        # Closing a thousand connections properly would take many seconds.
        self.kill()
        return msgspec.json.decode(line, type=_callers.CallerStatistics)

    def kill(self) -> None:
        """Ends the process at once if it is still running."""
        if self._process.returncode is None:
            self._process.kill()

    async def _read_line(self) -> bytes:
        assert self._process.stdout is not None
        return (await self._process.stdout.readline()).strip()


async def start_callers(
    fleet: _fleet.Fleet,
    service: config.Service,
    load: _callers.CallerLoad,
    name: str,
) -> CallerProcess:
    """Starts callers of one service.

    Args:
        fleet: The running fleet.
        service: Service to call.
        load: What the callers do.
        name: Prefix of order bodies, unique in the run.
    """
    process = await asyncio.create_subprocess_exec(
        *_fleet.lab_command(),
        "callers",
        f"--address={service.address}",
        f"--service={service.name}",
        f"--authorities={fleet.authorities_path(service.name)}",
        f"--name={name}",
        f"--feeds={load.feed_count}",
        f"--orders={load.order_count}",
        f"--sheets={load.sheet_count}",
        f"--feed_interval_ms={load.feed_interval_ms}",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        limit=_MAX_LINE_BYTES,
    )
    return CallerProcess(process)
