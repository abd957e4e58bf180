"""Non-blocking, rate-limited writer for log lines."""

import collections
import os
import time
from typing import TextIO

# Limit of buffered lines while the reader is slow; about 200 KB.
MAX_BUFFERED_LINES = 1_000
# Rate limit of lines of one process; a summary line replaces excess lines. A
# line takes about 0.1 ms of CPU time, so the limit is 0.5 % of a core.
LINES_PER_S = 50.0
BURST_LINES = 300.0


class LineWriter:
    """Writes lines to a stream and drops lines above its limits.

    Dropped lines are counted, and the count is logged before the next line.
    """

    def __init__(self, stream: TextIO) -> None:
        """Sets the stream's file descriptor, if any, to non-blocking mode."""
        self._stream = stream
        self._buffer: collections.deque[bytes] = collections.deque()
        self._tokens = BURST_LINES
        self._refilled_s = time.monotonic()
        self._unreported_count = 0
        self.dropped_total = 0
        self._file_descriptor = _file_descriptor(stream)
        if self._file_descriptor is not None:
            os.set_blocking(self._file_descriptor, False)

    def admit(self) -> bool:
        """Returns whether a line may be written, and counts it if not.

        Callers check this before they format a line, because formatting is the
        most expensive part.
        """
        if self._take_token() and len(self._buffer) < MAX_BUFFERED_LINES:
            return True
        self._unreported_count += 1
        self.dropped_total += 1
        return False

    def write(self, line: str) -> None:
        """Writes a line that was admitted."""
        if self._unreported_count:
            summary = (
                f"event=log-lines-dropped count={self._unreported_count}\n"
            )
            self._buffer.append(summary.encode())
            self._unreported_count = 0
        self._buffer.append(line.encode() + b"\n")
        self._flush()

    def _take_token(self) -> bool:
        now_s = time.monotonic()
        added_tokens = (now_s - self._refilled_s) * LINES_PER_S
        self._refilled_s = now_s
        self._tokens = min(BURST_LINES, self._tokens + added_tokens)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _flush(self) -> None:
        if self._file_descriptor is None:
            while self._buffer:
                self._stream.write(self._buffer.popleft().decode())
            self._stream.flush()
            return
        while self._buffer:
            line = self._buffer.popleft()
            try:
                written_bytes = os.write(self._file_descriptor, line)
            except BlockingIOError:
                self._buffer.appendleft(line)
                return
            if written_bytes < len(line):
                self._buffer.appendleft(line[written_bytes:])
                return


def _file_descriptor(stream: TextIO) -> int | None:
    try:
        return stream.fileno()
    except (AttributeError, OSError):
        return None
