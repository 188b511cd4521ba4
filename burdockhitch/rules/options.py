"""Parses the words of one rule: positional words, options and values with units."""

import difflib
import re
from collections.abc import Sequence
from typing import NamedTuple

from burdockhitch.errors import InvalidValueError, RulesError
from burdockhitch.rules.lines import RuleLine, Word
from burdockhitch.settings import SECONDS_BY_UNIT, convert_address

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s|min|h)")
_SLOTS = re.compile(r"(\d+)slots")
_RATE = re.compile(r"(\d+(?:\.\d+)?)/(s|min)")
_NAME = re.compile(r"[A-Za-z0-9_.-]{1,64}")


def _closest_match(text: str, known: Sequence[str]) -> str:
    matches = difflib.get_close_matches(text, known, n=1)
    return matches[0] if matches else ""


def unexpected_word(
    line: int, word: Word, expected: str, known: Sequence[str] = ()
) -> RulesError:
    """Return the error for an invalid word, suggesting the closest known word."""
    return RulesError(
        line, word.column, word.text, expected, _closest_match(word.text, known)
    )


def read_choice(line: int, word: Word, known: Sequence[str]) -> str:
    """Return the text of a word that must be one of ``known``.

    Raises:
        RulesError: If the word is none of them.
    """
    if word.text not in known:
        raise unexpected_word(line, word, f"one of {', '.join(known)}", known)
    return word.text


def read_name(line: int, word: Word) -> str:
    """Return a name of up to 64 letters, digits, dots, hyphens and underscores."""
    if not _NAME.fullmatch(word.text):
        raise unexpected_word(line, word, "a name of letters, digits, '.', '-' and '_'")
    return word.text


def read_address(line: int, word: Word) -> str:
    """Return an address written as ``ip:port``."""
    try:
        return convert_address(word.text)
    except InvalidValueError:
        raise unexpected_word(line, word, "an address as ip:port") from None


def read_duration_s(line: int, word: Word) -> float:
    """Return a duration in seconds, written as ``300ms``, ``2s`` or ``1h``."""
    match = _DURATION.fullmatch(word.text)
    if match is None:
        raise unexpected_word(line, word, "a duration with a unit (ms, s, min, h)")
    return float(match[1]) * SECONDS_BY_UNIT[match[2]]


def read_slots(line: int, word: Word) -> int:
    """Return a number of slots written as ``8slots``."""
    match = _SLOTS.fullmatch(word.text)
    if match is None:
        raise unexpected_word(line, word, "slots, as in 8slots")
    return int(match[1])


def read_count(line: int, word: Word) -> int:
    """Return a positive integer."""
    if not word.text.isdecimal() or int(word.text) == 0:
        raise unexpected_word(line, word, "a whole number above zero")
    return int(word.text)


def read_rate_per_s(line: int, word: Word) -> float:
    """Return a rate per second written as ``20/s`` or ``90/min``."""
    match = _RATE.fullmatch(word.text)
    if match is None or float(match[1]) == 0:
        raise unexpected_word(line, word, "a rate with a unit, as in 20/s or 90/min")
    return float(match[1]) / SECONDS_BY_UNIT[match[2]]


class Options(NamedTuple):
    """The ``name=value`` words of one rule.

    Attributes:
        line: Line number of the rule, from 1.
        end: Position after the last word, for errors about missing options.
        values: Value by option name; the column is that of the value.
    """

    line: int
    end: Word
    values: dict[str, Word]

    def get_required(self, name: str, example: str) -> Word:
        """Return the value of a required option.

        Raises:
            RulesError: If the rule does not have the option.
        """
        if name not in self.values:
            raise unexpected_word(
                self.line, self.end, f"{name}=, as in {name}={example}"
            )
        return self.values[name]

    def get_optional(self, name: str, default: str) -> Word:
        """Return the value of an option, or the default if the rule lacks it."""
        return self.values.get(name, Word(default, self.end.column))


def split_options(rule: RuleLine, n_positional: int, known: Sequence[str]) -> Options:
    """Return the options that follow the positional words.

    Args:
        rule: The rule.
        n_positional: Number of positional words, including the kind of the rule.
        known: Names of the accepted options.

    Raises:
        RulesError: If a positional word is missing, or an option is unknown or
            repeated.
    """
    last = rule.words[-1]
    end = Word("end of rule", last.column + len(last.text))
    if len(rule.words) < n_positional:
        raise unexpected_word(
            rule.line, end, f"{n_positional} words before the options"
        )
    values: dict[str, Word] = {}
    for word in rule.words[n_positional:]:
        name, equals_sign, value = word.text.partition("=")
        key = Word(name, word.column)
        if not equals_sign or name not in known:
            expected = f"one of {', '.join(f'{name}=' for name in known)}"
            raise unexpected_word(rule.line, key, expected, known)
        if name in values:
            raise unexpected_word(rule.line, key, f"{name}= only once")
        values[name] = Word(value, word.column + len(name) + 1)
    return Options(rule.line, end, values)
