"""Checks the heads of answers, which the HTTP libraries read leniently.

A server in trouble may send a status such as 000. A library that passes it on lets it
reach the caller as an answer; ``h11`` takes statuses up to 999, and Twisted takes all
that Python reads as a number. Twisted also keeps header lines without limit.
"""

import re

from burdockhitch.adapters.answer_limits import HEAD_MAX_BYTES
from burdockhitch.errors import AnswerLimitError, StatusLineError

# Statuses outside of these classes are invalid (RFC 9110, 15).
STATUS_MIN = 100
STATUS_MAX = 599
FINAL_STATUS_MIN = 200
HTTP_VERSIONS = frozenset({b"1.0", b"1.1"})
STATUS_LINE = re.compile(rb"HTTP/(1\.[01]) ([1-5][0-9]{2})(?: .*)?", re.DOTALL)
LINE_MAX_BYTES = 8 * 1024
DETAIL_MAX_BYTES = 100


def check_status(http_version: bytes, status: int) -> None:
    """Check the parsed status line of an answer.

    Raises:
        StatusLineError: If its version isn't 1.0 or 1.1, or its status is invalid.
    """
    if http_version not in HTTP_VERSIONS or not STATUS_MIN <= status <= STATUS_MAX:
        raise StatusLineError(f"HTTP/{http_version.decode('latin-1')} {status}")


class HeadChecker:
    """Finds the status lines in the bytes of one answer, and the end of its head.

    Interim answers, with a status below 200, end at an empty line and count as parts of
    the head of the final one.

    Attributes:
        is_done: Whether the head is complete.
    """

    def __init__(self) -> None:
        self._buffer = b""
        self._n_bytes = 0
        self._is_at_status_line = True
        self._is_interim = False
        self.is_done = False

    def feed(self, data: bytes) -> None:
        """Check what has arrived.

        Raises:
            StatusLineError: If a status line is malformed, or longer than 8 KiB.
            AnswerLimitError: If the head is too large.
        """
        buffer = self._buffer + data
        begin = 0
        while not self.is_done:
            end = buffer.find(b"\n", begin)
            n_line_bytes = (end if end >= 0 else len(buffer)) - begin
            if self._n_bytes + n_line_bytes > HEAD_MAX_BYTES:
                raise AnswerLimitError(f"head of {HEAD_MAX_BYTES} bytes or more")
            if end < 0:
                if self._is_at_status_line and n_line_bytes > LINE_MAX_BYTES:
                    raise StatusLineError("a line without end")
                break
            self._n_bytes += n_line_bytes + 1
            self._check_line(buffer[begin:end].removesuffix(b"\r"))
            begin = end + 1
        self._buffer = b"" if self.is_done else buffer[begin:]

    def _check_line(self, line: bytes) -> None:
        if not self._is_at_status_line:
            self._is_at_status_line = not line
            self.is_done = not line and not self._is_interim
            return
        match = STATUS_LINE.fullmatch(line)
        if match is None:
            raise StatusLineError(repr(line[:DETAIL_MAX_BYTES]))
        self._is_at_status_line = False
        self._is_interim = int(match[2]) < FINAL_STATUS_MIN
