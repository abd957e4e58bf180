"""Tests of the log writer with slow and fast readers."""

import os
import pathlib

from fireflyford.telemetry import _writer


def test_blocked_reader_does_not_block_writer() -> None:
    """Guards against a process that blocks on its log, and unbounded memory."""
    read_end, write_end = os.pipe()
    with open(read_end, "rb") as reader, open(write_end, "w") as stream:
        writer = _writer.LineWriter(stream)
        for index in range(5_000):
            if writer.admit():
                writer.write(f"event=line index={index} filler={'x' * 200}")
        assert writer.dropped_total > 0
        os.set_blocking(reader.fileno(), False)
        writer._tokens = _writer.BURST_LINES
        read = b""
        # The pipe holds only a part of the buffered lines.
        for _ in range(50):
            assert writer.admit()
            writer.write("event=after")
            read += reader.read(1 << 20) or b""
        assert b"event=log-lines-dropped" in read
        assert read.endswith(b"event=after\n")


def test_lines_below_limits_are_written(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against lines dropped below the limits."""
    path = tmp_path / "log"
    with path.open("w") as stream:
        writer = _writer.LineWriter(stream)
        for index in range(100):
            assert writer.admit()
            writer.write(f"event=line index={index}")
    assert len(path.read_text().splitlines()) == 100
