"""Tests that writing the log is bounded and never blocks."""

import json
import os

import pytest

from burdockhitch.log import BoundedWriter
from burdockhitch.tests.fakes import FakeClock


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_lines(reader):
    """Return the log lines that are in the pipe now, decoded."""
    os.set_blocking(reader, False)
    data = b""
    while True:
        try:
            data += os.read(reader, 1 << 20)
        except BlockingIOError:
            return [json.loads(line) for line in data.splitlines()]


@pytest.mark.parametrize(("n_lines", "n_written"), [(3, 3), (10, 10), (25, 10)])
def test_log_lines_above_the_rate_are_dropped_and_counted(pipe, n_lines, n_written):
    clock = FakeClock()
    writer = BoundedWriter(clock, pipe[1], lines_per_s=10.0, burst=10.0)
    for number in range(n_lines):
        writer.write({"n": number})
    assert len(read_lines(pipe[0])) == n_written
    clock.elapsed_s += 1.0
    writer.write({"n": -1})
    (line,) = read_lines(pipe[0])
    assert line.get("n_lines_left_out", 0) == n_lines - n_written


def test_a_full_pipe_drops_log_lines_instead_of_blocking(pipe):
    n_lines = 2000
    writer = BoundedWriter(FakeClock(), pipe[1], burst=1e9)
    for number in range(n_lines):
        writer.write({"n": number, "text": "x" * 100})
    n_dropped = writer.n_dropped_lines
    lines = read_lines(pipe[0])
    writer.write({"n": n_lines})
    lines += read_lines(pipe[0])
    assert n_dropped > 0
    assert lines[-1] == {"n": n_lines, "n_lines_left_out": n_dropped}
    assert len(lines) + n_dropped == n_lines + 1


def test_writing_to_a_closed_pipe_raises_no_error():
    reader, descriptor = os.pipe()
    os.close(reader)
    writer = BoundedWriter(FakeClock(), descriptor)
    writer.write({"n": 1})
    writer.write({"n": 2})
    os.close(descriptor)
