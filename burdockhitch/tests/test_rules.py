from pathlib import Path

import pytest

from burdockhitch.errors import (
    LargeDeletionError,
    MergeConflictError,
    RulesContradictionError,
    RulesDuplicateError,
    RulesError,
    RulesFileError,
    RulesUnreadableError,
)
from burdockhitch.rules.document import parse_rules
from burdockhitch.rules.merge import check_deletion, diff_rules, merge_rules

EXAMPLES = Path(__file__).parent.parent.parent / "examples"
RULES = """service booking floor=4slots # Karin
server booking 10.0.0.1:80 zone=a slots=4 # Eva
route booking GET /tours/* # Karin
"""


@pytest.mark.parametrize(
    ("name", "n_servers", "n_slots"),
    [("vastkust.rules", 36, 144), ("sudurland.rules", 38, 76)],
)
def test_examples_have_the_sizes_of_their_deployments(name, n_servers, n_slots):
    document = parse_rules((EXAMPLES / name).read_bytes())
    assert len(document.servers) == n_servers
    assert sum(server.n_slots for server in document.servers) == n_slots


@pytest.mark.parametrize(
    ("line", "error", "column", "text"),
    [
        ("sevice x floor=1slots # K", RulesError, 1, "did you mean 'service'"),
        ("service x flor=1slots # K", RulesError, 11, "did you mean 'floor'"),
        ("service x floor=1 # K", RulesError, 17, "slots, as in 8slots"),
        ("service x floor=1slots", RulesError, 23, "who asked for the rule"),
        ("service x floor=1slots #  ", RulesError, 23, "who asked for the rule"),
        ("service x # K", RulesError, 10, "floor=, as in"),
        ("route booking GET tours # K", RulesError, 19, "a path as /a/b"),
        ("route booking GRAB /x # K", RulesError, 15, "one of GET"),
        ("route booking GET /x once=home # K", RulesError, 27, "idempotent route"),
        ("route booking GET /x timeout=2 # K", RulesError, 30, "a duration"),
        ("route boking GET /x # K", RulesError, 1, "did you mean 'booking'"),
        ("route booking GET /tours/* # Eva", RulesDuplicateError, 1, "line 3 (Karin)"),
        ("server booking here zone=a slots=4 # K", RulesError, 16, "ip:port"),
        ("server booking 10.0.0.2:80 zone=a slots=0 # K", RulesError, 41, "above zero"),
        ("limit school rate=5 burst=9 # K", RulesError, 19, "a rate with a unit"),
        ("service big floor=9slots # K", RulesContradictionError, 1, "at most the 0"),
        (
            "window booking 17:30-21:00 tz=Europe/Stokholm floor=4slots load=1/s # K",
            RulesError,
            31,
            "did you mean 'Europe/Stockholm'",
        ),
        (
            "window booking 17:30-21:00 tz=Europe/Stockholm floor=2slots load=1/s # K",
            RulesContradictionError,
            1,
            "at least the floor of line 1",
        ),
    ],
)
def test_invalid_lines_report_position_and_expectation(line, error, column, text):
    with pytest.raises(RulesFileError) as caught:
        parse_rules((RULES + line + "\n").encode())
    [rules_error] = caught.value.errors
    assert type(rules_error) is error
    assert (rules_error.line, rules_error.column) == (4, column)
    assert text in str(rules_error)


@pytest.mark.parametrize("body", [b"", b"  \n", b"\xff\xfe", b"service \0x"])
def test_files_that_are_not_text_are_rejected(body):
    with pytest.raises(RulesFileError) as caught:
        parse_rules(body)
    assert type(caught.value.errors[0]) is RulesUnreadableError


LIMIT = "limit school rate={}/s burst=9 # {}\n"


@pytest.mark.parametrize(
    ("base", "ours", "theirs", "merged"),
    [
        ("", LIMIT.format(1, "Eva"), "", LIMIT.format(1, "Eva")),
        ("", "", LIMIT.format(1, "Eva"), LIMIT.format(1, "Eva")),
        (LIMIT.format(1, "Eva"), LIMIT.format(1, "Eva"), "", ""),
        (LIMIT.format(1, "Eva"), LIMIT.format(2, "Ari"), LIMIT.format(1, "Eva"),
         LIMIT.format(2, "Ari")),
        (LIMIT.format(1, "Eva"), LIMIT.format(1, "Eva"), LIMIT.format(3, "Ari"),
         LIMIT.format(3, "Ari")),
        (LIMIT.format(1, "Eva"), LIMIT.format(2, "Ari"), LIMIT.format(2, "Ari"),
         LIMIT.format(2, "Ari")),
    ],
)  # fmt: skip
def test_concurrent_changes_are_merged_rule_by_rule(base, ours, theirs, merged):
    assert merge_rules(RULES + base, RULES + ours, RULES + theirs) == RULES + merged


@pytest.mark.parametrize(
    ("ours", "theirs"),
    [(LIMIT.format(2, "Eva"), LIMIT.format(3, "Ari")), ("", LIMIT.format(3, "Ari"))],
)
def test_conflicts_report_both_rules_and_the_other_requester(ours, theirs):
    with pytest.raises(MergeConflictError) as caught:
        merge_rules(RULES + LIMIT.format(1, "K"), RULES + ours, RULES + theirs)
    assert caught.value.ours == ours.strip()
    assert caught.value.theirs == theirs.strip()
    assert caught.value.their_requester == "Ari"


def test_a_push_that_deletes_most_rules_needs_confirmation():
    six_rules = RULES + "".join(
        LIMIT.replace("school", f"s{n}").format(1, "K") for n in "123"
    )
    with pytest.raises(LargeDeletionError) as caught:
        check_deletion(six_rules, RULES.splitlines()[0])
    assert (caught.value.n_rules_before, caught.value.n_rules_deleted) == (6, 5)


def test_diff_shows_changed_rules():
    changes = diff_rules(RULES, RULES.replace("floor=4slots", "floor=3slots"))
    assert [change.before[:28] for change in changes] == [
        "service booking floor=4slots"
    ]
