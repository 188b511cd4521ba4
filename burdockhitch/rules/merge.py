"""Three-way merge, rule by rule, of rules files that operators edited concurrently."""

from typing import NamedTuple

from burdockhitch.errors import LargeDeletionError, MergeConflictError, RulesError
from burdockhitch.rules.lines import split_line

# Number of leading words that identify a rule, including its kind, by kind.
N_KEY_WORDS = {"service": 2, "server": 3, "route": 4, "limit": 2, "window": 3}
# A push may delete any share of the rules if fewer than this many are in force.
DELETION_CHECK_RULES_MIN = 4
# Largest share of the rules that a push may delete without confirmation.
DELETED_RATIO_MAX = 0.5


class KeyedLine(NamedTuple):
    """A line of a rules file with the identity of its rule.

    Attributes:
        key: Words that identify the rule; empty for blank lines, comments and
            rules without a requester.
        text: The line.
        requester: Person or team that asked for the rule.
    """

    key: str
    text: str
    requester: str


def identify_line(number: int, text: str) -> KeyedLine:
    """Return a line with the identity of its rule.

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


def identify_lines(text: str) -> list[KeyedLine]:
    """Return the lines of a rules file with the identities of their rules."""
    return [
        identify_line(number, line)
        for number, line in enumerate(text.splitlines(), start=1)
    ]


def _index_by_key(lines: list[KeyedLine]) -> dict[str, KeyedLine]:
    return {line.key: line for line in lines if line.key}


def _text_of(line: KeyedLine | None) -> str:
    return line.text if line else ""


def _requester_of(line: KeyedLine | None) -> str:
    return line.requester if line else ""


def _merge_rule(
    base: KeyedLine | None, ours: KeyedLine | None, theirs: KeyedLine | None
) -> KeyedLine | None:
    """Return the merged line of one rule; None if the rule is deleted.

    Each argument is the rule's line in one file, None if the file lacks the rule.

    Raises:
        MergeConflictError: If both sides changed the rule differently.
    """
    if _text_of(ours) == _text_of(theirs) or _text_of(theirs) == _text_of(base):
        return ours
    if _text_of(ours) == _text_of(base):
        return theirs
    raise MergeConflictError(
        _text_of(ours), _text_of(theirs), _requester_of(ours), _requester_of(theirs)
    )


def merge_rules(base: str, ours: str, theirs: str) -> str:
    """Merge the changes of both sides since their common base.

    The result has the order of ``ours``; rules that only ``theirs`` has follow at the
    end. Blank lines and comments are those of ``ours``.

    Args:
        base: Text that both sides are based on.
        ours: Text that is pushed.
        theirs: Text in force.

    Raises:
        MergeConflictError: If both sides changed the same rule differently.
    """
    our_lines = identify_lines(ours)
    base_rules, our_rules = (
        _index_by_key(identify_lines(base)),
        _index_by_key(our_lines),
    )
    their_rules = _index_by_key(identify_lines(theirs))
    keys = list(dict.fromkeys([*our_rules, *their_rules, *base_rules]))
    merged_rules = {
        key: _merge_rule(base_rules.get(key), our_rules.get(key), their_rules.get(key))
        for key in keys
    }
    merged_texts = [
        _text_of(merged_rules[line.key]) if line.key else line.text
        for line in our_lines
    ]
    kept_texts = [
        text
        for line, text in zip(our_lines, merged_texts, strict=True)
        if not line.key or text
    ]
    added_texts = [
        _text_of(merged_rules[key])
        for key in keys
        if key not in our_rules and merged_rules[key]
    ]
    return "\n".join(kept_texts + added_texts) + "\n"


def check_deletion(before: str, after: str) -> None:
    """Check that a push deletes no more than half of the rules.

    With fewer than ``DELETION_CHECK_RULES_MIN`` rules in force, any push is allowed.

    Args:
        before: Text in force.
        after: Text that the push puts in force.

    Raises:
        LargeDeletionError: If the push deletes more than half.
    """
    rules_before = _index_by_key(identify_lines(before))
    n_deleted = len(rules_before.keys() - _index_by_key(identify_lines(after)).keys())
    is_small = len(rules_before) < DELETION_CHECK_RULES_MIN
    if not is_small and n_deleted > len(rules_before) * DELETED_RATIO_MAX:
        raise LargeDeletionError(len(rules_before), n_deleted)


class LineChange(NamedTuple):
    """A rule that differs between two files; a text is empty if its file lacks it."""

    before: str
    after: str


def diff_rules(before: str, after: str) -> list[LineChange]:
    """Return the rules that differ, in the order of ``after``, then of ``before``."""
    rules_before, rules_after = (
        _index_by_key(identify_lines(before)),
        _index_by_key(identify_lines(after)),
    )
    keys = list(dict.fromkeys([*rules_after, *rules_before]))
    return [
        LineChange(_text_of(rules_before.get(key)), _text_of(rules_after.get(key)))
        for key in keys
        if _text_of(rules_before.get(key)) != _text_of(rules_after.get(key))
    ]
