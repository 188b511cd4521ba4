"""Limits of the answers that this VM receives, and the memory of those in progress.

A server may send bytes without end, and more than one answer may arrive at a time, so
single answers are limited as well as all of them together.
"""

from typing import NamedTuple, Protocol

# Head of an answer with the interim answers before it, and also a chunk's size line
# and the trailers.
HEAD_MAX_BYTES = 64 * 1024
# Size of the objects of a parsed header line, besides its bytes.
HEADER_LINE_BYTES = 128
# Chunk framing, which a server can send without end beside a small body, and which
# takes more time to parse than the body.
FRAMING_MAX_BYTES = 64 * 1024
FRAMING_PER_BODY_BYTE_MAX = 0.25
INTERIM_ANSWERS_MAX = 16
SKIPPED_ANSWERS_MAX = 4
# Limits what the kernel holds of a connection. Linux doubles it for its own use, and
# would otherwise let it grow to megabytes while a fast server sends.
RECEIVE_BUFFER_BYTES = 64 * 1024
# Larger than any answer of the store or of another VM.
INTERNAL_ANSWER_MAX_BYTES = 16 * 1024 * 1024


class AnswerLimits(NamedTuple):
    """Limits of the answers on the connections of a pool.

    Attributes:
        body_max_bytes: Size limit of a body.
        open_max_bytes: Limit of the bytes held in all answers in progress.
        head_max_bytes: Size limit of a head.
    """

    body_max_bytes: int
    open_max_bytes: int
    head_max_bytes: int = HEAD_MAX_BYTES

    def framing_max_bytes(self, n_body_bytes: int) -> float:
        """Return the limit of the chunk framing of a body."""
        return FRAMING_MAX_BYTES + FRAMING_PER_BODY_BYTE_MAX * n_body_bytes


class OpenAnswer(Protocol):
    """An answer in progress that can be given up."""

    def reject(self, detail: str) -> None:
        """Close the connection, and release its memory."""


class OpenAnswers:
    """Answers in progress on the connections of a pool, and the bytes held in them.

    Args:
        limits: Limits of each answer and of all together.
    """

    def __init__(self, limits: AnswerLimits) -> None:
        self.limits = limits
        self._n_bytes_by_answer: dict[OpenAnswer, int] = {}
        self._n_bytes = 0

    @property
    def n_bytes(self) -> int:
        """Bytes held in all answers in progress."""
        return self._n_bytes

    def resize(self, answer: OpenAnswer, n_bytes: int) -> None:
        """Record the bytes held in an answer; reject the largest above the limit.

        The largest is the one that most likely has no end.
        """
        self._n_bytes += n_bytes - self._n_bytes_by_answer.get(answer, 0)
        self._n_bytes_by_answer[answer] = n_bytes
        while self._n_bytes > self.limits.open_max_bytes:
            sizes = self._n_bytes_by_answer
            largest = max(sizes, key=lambda key: sizes[key])
            self.release(largest)
            largest.reject("largest of the answers that together exceed their limit")

    def release(self, answer: OpenAnswer) -> None:
        """Forget an answer that is complete or given up."""
        self._n_bytes -= self._n_bytes_by_answer.pop(answer, 0)
