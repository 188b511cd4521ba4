"""Splits a rules file into lines, words and requesters."""

import re
from typing import NamedTuple

from burdockhitch.errors import RulesError, RulesUnreadableError

_WORD = re.compile(r"\S+")


class Word(NamedTuple):
    """One word of a rule.

    Attributes:
        text: The word.
        column: Column of its first character, from 1.
    """

    text: str
    column: int


class RuleLine(NamedTuple):
    """One rule, split into words that are not yet interpreted.

    Attributes:
        line: Line number, from 1.
        words: Words before the comment; at least one.
        requester: Person or team that asked for the rule, from the comment.
    """

    line: int
    words: tuple[Word, ...]
    requester: str


def split_line(line: int, text: str) -> RuleLine | None:
    """Split one line into words and requester.

    Args:
        line: Line number, from 1.
        text: The line.

    Returns:
        The rule, or None for a blank line or one with only a comment.

    Raises:
        RulesError: If a rule has no comment that names the requester.
    """
    body, hash_sign, comment = text.partition("#")
    words = tuple(Word(match[0], match.start() + 1) for match in _WORD.finditer(body))
    if not words:
        return None
    requester = comment.strip()
    if not requester:
        column = len(body.rstrip()) + 1
        expected = "a comment saying who asked for the rule, as in '# Name'"
        raise RulesError(line, column, hash_sign or "end of line", expected)
    return RuleLine(line, words, requester)


def decode_rules(body: bytes) -> str:
    """Decode a rules file.

    Raises:
        RulesUnreadableError: If the file is empty or is not UTF-8 text.
    """
    try:
        text = body.decode("utf-8")
    except UnicodeDecodeError as error:
        found = f"byte {body[error.start]:#04x}"
        line = body.count(b"\n", 0, error.start) + 1
        raise RulesUnreadableError(line, 1, found, "UTF-8 text") from None
    if "\0" in text:
        line = text.count("\n", 0, text.index("\0")) + 1
        raise RulesUnreadableError(line, 1, "byte 0x00", "UTF-8 text")
    if not text.strip():
        raise RulesUnreadableError(0, 1, "empty file", "at least one rule")
    return text
