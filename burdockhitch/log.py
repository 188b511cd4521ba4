"""Structured logging: loguru records as JSON lines on standard output.

The line rate is limited, and a reader that stops reading never blocks the process.
Lines above the rate are dropped, and so are lines while the pipe to a slow reader is
full; the next line that is written states how many were dropped.
"""

import os
import traceback
from typing import Any

import msgspec
from loguru import logger

from burdockhitch.clock import Clock

# A VM serves about 150 requests per second at the design peak and logs only some of
# them; the limit lies above that, so that it cuts off only a flood of refusals.
LINES_PER_S = 200.0
LINES_BURST = 400.0
STDOUT_FD = 1


class BoundedWriter:
    """Writes JSON lines to a file descriptor within a rate limit, without blocking.

    The rate limit is a token bucket with one token per line.

    Args:
        clock: Source of time.
        descriptor: Open file descriptor; it is set to non-blocking mode.
        lines_per_s: Rate at which the bucket refills, in lines per second.
        burst: Size of the bucket, in lines.

    Attributes:
        n_dropped_lines: Lines dropped since the last line written.
    """

    def __init__(
        self,
        clock: Clock,
        descriptor: int = STDOUT_FD,
        lines_per_s: float = LINES_PER_S,
        burst: float = LINES_BURST,
    ) -> None:
        self._clock = clock
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._burst = burst
        self._n_tokens = burst
        self._refilled_at_s = clock.now().monotonic_s
        self._unwritten = b""
        self.n_dropped_lines = 0
        os.set_blocking(descriptor, False)

    def write(self, line: dict[str, Any]) -> None:
        """Write a line, or drop and count it."""
        if not self._consume_token() or not self._flush():
            self.n_dropped_lines += 1
            return
        if self.n_dropped_lines:
            line["n_lines_left_out"] = self.n_dropped_lines
            self.n_dropped_lines = 0
        self._unwritten = msgspec.json.encode(line, enc_hook=str) + b"\n"
        self._flush()

    def _consume_token(self) -> bool:
        """Refill the bucket and remove a token; return whether there was one."""
        now_s = self._clock.now().monotonic_s
        n_refilled = (now_s - self._refilled_at_s) * self._lines_per_s
        self._n_tokens = min(self._burst, self._n_tokens + n_refilled)
        self._refilled_at_s = now_s
        if self._n_tokens < 1.0:
            return False
        self._n_tokens -= 1.0
        return True

    def _flush(self) -> bool:
        """Write the rest of the last line; return whether all of it is written."""
        while self._unwritten:
            try:
                n_written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return False
            except OSError:
                # The reader closed the pipe; the process continues without a log.
                self._unwritten = b""
                return False
            self._unwritten = self._unwritten[n_written:]
        return True


def configure_log(level: str, vm_id: str, clock: Clock) -> BoundedWriter:
    """Set up loguru to write one JSON line per event to standard output.

    Args:
        level: Lowest loguru level that is written.
        vm_id: Name of the VM or other process, added to each line as ``vm``.
        clock: Source of time for the rate limit.

    Returns:
        The writer of the lines.
    """
    writer = BoundedWriter(clock)

    def write(message: Any) -> None:
        writer.write(_make_line(message.record))

    logger.remove()
    logger.configure(extra={"vm": vm_id})
    logger.add(write, level=level, enqueue=False)
    return writer


def _make_line(record: Any) -> dict[str, Any]:
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "event": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        line["traceback"] = "".join(traceback.format_exception(record["exception"][1]))
    return line


def write_event(level: str, event: str, fields: dict[str, Any]) -> None:
    """Log one event.

    Args:
        level: Name of a loguru level.
        event: Name of the event.
        fields: Values by field name.
    """
    logger.bind(**fields).log(level, event)
