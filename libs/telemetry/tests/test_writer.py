"""Log lines to a reader that does not read."""

import os
import pathlib

from fireflyford.telemetry import _writer


def test_a_reader_that_does_not_read_stops_nobody() -> None:
    """Guards against a process that waits for its log, and endless memory."""
    reading, writing = os.pipe()
    with open(reading, "rb") as reader, open(writing, "w") as stream:
        writer = _writer.LineWriter(stream)
        for index in range(5_000):
            if writer.admit():
                writer.write(f"event=line index={index} filler={'x' * 200}")
        assert writer.dropped_total > 0
        os.set_blocking(reader.fileno(), False)
        writer._allowance = _writer.BURST_LINES
        read = b""
        # A pipe holds a part of what waits.
        for _ in range(50):
            assert writer.admit()
            writer.write("event=after")
            read += reader.read(1 << 20) or b""
        assert b"event=log-lines-dropped" in read
        assert read.endswith(b"event=after\n")


def test_every_line_of_a_calm_process_is_written(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against lines that are lost without need."""
    path = tmp_path / "log"
    with path.open("w") as stream:
        writer = _writer.LineWriter(stream)
        for index in range(100):
            assert writer.admit()
            writer.write(f"event=line index={index}")
    assert len(path.read_text().splitlines()) == 100
