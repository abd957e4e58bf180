"""The record of one run: what was sent, answered and run."""

import pathlib
import time


class Record:
    """Writes timestamped lines to `record.txt` of a case."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Starts an empty record."""
        self._started_s = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def now_s(self) -> float:
        """Returns the time since the start of the run."""
        return time.monotonic() - self._started_s

    def write(self, text: str) -> None:
        """Writes one line."""
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Writes one line and prints it."""
        self.write(text)
        print(f"{self.now_s():8.3f} {text}", flush=True)
