"""Merges the rules of racing operators, rule by rule."""

from typing import NamedTuple

from burdockhitch.errors import LargeDeletionError, MergeConflictError, RulesError
from burdockhitch.rules.lines import split_line

N_KEY_WORDS = {"service": 2, "server": 3, "route": 4, "limit": 2, "window": 3}
N_RULES_SMALL = 4
DELETION_RATIO_MAX = 0.5


class KeyedLine(NamedTuple):
    """A line of a rules file and what it defines.

    Attributes:
        key: Kind and identity of the rule, empty for other lines.
        text: The line.
        requester: Who asked for the rule.
    """

    key: str
    text: str
    requester: str


def key_line(number: int, text: str) -> KeyedLine:
    """Return the identity of a line.

    Args:
        number: Line number, from 1.
        text: The line.
    """
    try:
        rule = split_line(number, text)
    except RulesError:
        rule = None
    if rule is None:
        return KeyedLine("", text, "")
    n_words = N_KEY_WORDS.get(rule.words[0].text, len(rule.words))
    key = " ".join(word.text for word in rule.words[:n_words])
    return KeyedLine(key, text, rule.requester)


def key_lines(text: str) -> list[KeyedLine]:
    """Return the lines of a rules file with their identities."""
    return [
        key_line(number, line) for number, line in enumerate(text.splitlines(), start=1)
    ]


def _by_key(lines: list[KeyedLine]) -> dict[str, KeyedLine]:
    return {line.key: line for line in lines if line.key}


def _text(line: KeyedLine | None) -> str:
    return line.text if line else ""


def _requester(line: KeyedLine | None) -> str:
    return line.requester if line else ""


def _choose(
    base: KeyedLine | None, ours: KeyedLine | None, theirs: KeyedLine | None
) -> KeyedLine | None:
    if _text(ours) == _text(theirs) or _text(theirs) == _text(base):
        return ours
    if _text(ours) == _text(base):
        return theirs
    raise MergeConflictError(
        _text(ours), _text(theirs), _requester(ours), _requester(theirs)
    )


def merge_rules(base: str, ours: str, theirs: str) -> str:
    """Return a rules file with the changes of both sides.

    Args:
        base: Text that both sides started from.
        ours: Text that is pushed.
        theirs: Text in force.

    Raises:
        MergeConflictError: If both changed the same rule differently.
    """
    our_lines = key_lines(ours)
    bases, olds = _by_key(key_lines(base)), _by_key(our_lines)
    news = _by_key(key_lines(theirs))
    keys = list(dict.fromkeys([*olds, *news, *bases]))
    chosen = {
        key: _choose(bases.get(key), olds.get(key), news.get(key)) for key in keys
    }
    merged = [_text(chosen[line.key]) if line.key else line.text for line in our_lines]
    kept = [
        text
        for line, text in zip(our_lines, merged, strict=True)
        if not line.key or text
    ]
    added = [_text(chosen[key]) for key in keys if key not in olds and chosen[key]]
    return "\n".join(kept + added) + "\n"


def check_deletion(before: str, after: str) -> None:
    """Check that a push keeps most of the rules.

    Raises:
        LargeDeletionError: If it deletes more than half of them.
    """
    old = _by_key(key_lines(before))
    n_deleted = len(old.keys() - _by_key(key_lines(after)).keys())
    is_small = len(old) < N_RULES_SMALL
    if not is_small and n_deleted > len(old) * DELETION_RATIO_MAX:
        raise LargeDeletionError(len(old), n_deleted)


class LineChange(NamedTuple):
    """A rule that differs between two files; empty texts stand for none."""

    before: str
    after: str


def diff_rules(before: str, after: str) -> list[LineChange]:
    """Return the rules that differ, in the order of the later file."""
    old, new = _by_key(key_lines(before)), _by_key(key_lines(after))
    keys = list(dict.fromkeys([*new, *old]))
    return [
        LineChange(_text(old.get(key)), _text(new.get(key)))
        for key in keys
        if _text(old.get(key)) != _text(new.get(key))
    ]
