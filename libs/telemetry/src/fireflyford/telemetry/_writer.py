"""Writing log lines without waiting for the reader."""

import collections
import os
import time
from typing import TextIO

# Lines kept while the reader is slow; some 200 KB.
MAX_WAITING_LINES = 1_000
# Rate and burst of lines of one process: a summary replaces what exceeds it.
# A line costs some 0.1 ms of a core, so this is half a percent of one.
LINES_PER_S = 50.0
BURST_LINES = 300.0


class LineWriter:
    """Writes lines to a stream and drops what exceeds its bounds.

    Dropped lines are counted, and the count is written before the next line.
    """

    def __init__(self, stream: TextIO) -> None:
        """Takes a stream; one with a descriptor is no longer waited for."""
        self._stream = stream
        self._waiting: collections.deque[bytes] = collections.deque()
        self._allowance = BURST_LINES
        self._refilled_s = time.monotonic()
        self._dropped_count = 0
        self.dropped_total = 0
        self._descriptor = _descriptor(stream)
        if self._descriptor is not None:
            os.set_blocking(self._descriptor, False)

    def admit(self) -> bool:
        """Returns whether a line may be written now; counts one that may not.

        Asked before a line is made, since making it costs most.
        """
        if self._may_write() and len(self._waiting) < MAX_WAITING_LINES:
            return True
        self._dropped_count += 1
        self.dropped_total += 1
        return False

    def write(self, line: str) -> None:
        """Writes a line that was admitted."""
        if self._dropped_count:
            summary = f"event=log-lines-dropped count={self._dropped_count}\n"
            self._waiting.append(summary.encode())
            self._dropped_count = 0
        self._waiting.append(line.encode() + b"\n")
        self._flush()

    def _may_write(self) -> bool:
        now_s = time.monotonic()
        earned = (now_s - self._refilled_s) * LINES_PER_S
        self._refilled_s = now_s
        self._allowance = min(BURST_LINES, self._allowance + earned)
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    def _flush(self) -> None:
        if self._descriptor is None:
            while self._waiting:
                self._stream.write(self._waiting.popleft().decode())
            self._stream.flush()
            return
        while self._waiting:
            line = self._waiting.popleft()
            try:
                written_bytes = os.write(self._descriptor, line)
            except BlockingIOError:
                self._waiting.appendleft(line)
                return
            if written_bytes < len(line):
                self._waiting.appendleft(line[written_bytes:])
                return


def _descriptor(stream: TextIO) -> int | None:
    try:
        return stream.fileno()
    except (AttributeError, OSError):
        return None
