"""Control of the caller processes of an experiment."""

import asyncio

import msgspec

from fireflyford import config
from fireflyford.lab import _callers
from fireflyford.lab import _fleet

_READY_TIMEOUT_S = 60.0
_FINISH_TIMEOUT_S = 15.0
# The statistics, with all latencies, are a single line of JSON.
_MAX_LINE_BYTES = 64 << 20


class CallerProcess:
    """Handle of one process that runs callers."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        """Takes the running process."""
        self._process = process

    async def wait_ready(self) -> None:
        """Waits until all feeds deliver events or their opening times out.

        Raises:
            TimeoutError: The process did not print `ready` within 60 s.
            RuntimeError: The process exited or printed something else.
        """
        async with asyncio.timeout(_READY_TIMEOUT_S):
            if await self._read_line() != b"ready":
                raise RuntimeError(
                    "caller process exited or printed something other than "
                    "`ready`"
                )

    async def finish(self) -> _callers.CallerStatistics:
        """Stops the callers and returns their statistics."""
        assert self._process.stdin is not None
        self._process.stdin.close()
        async with asyncio.timeout(_FINISH_TIMEOUT_S):
            line = await self._read_line()
        # A graceful close of a thousand connections would take many seconds.
        self.kill()
        return msgspec.json.decode(line, type=_callers.CallerStatistics)

    def kill(self) -> None:
        """Kills the process if it is still running."""
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
    """Starts a process with callers of one service.

    Args:
        fleet: Running fleet.
        service: Service to call.
        load: Load that the callers generate.
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
