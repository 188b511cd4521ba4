"""Concurrent pushes of rules by operators, against a fleet of real processes."""

import pytest

from tools import fleet as tool

RULES = "service s floor=0slots # Karin\n"


def read_head(fleet):
    """Return the number and body hash of the latest revision on the platform."""
    return tool.get_json(fleet.platform_address, "/tables/revisions/rows/head")["value"]


def read_rules(fleet):
    """Return the rules of the latest revision on the platform."""
    path = f"/objects/{read_head(fleet)['body_hash']}"
    return tool.send_request(fleet.platform_address, "GET", path).body.decode()


def limit(name, rate, requester):
    return f"limit {name} rate={rate}/s burst=9 # {requester}\n"


@pytest.mark.parametrize("n_lost_replies", [0, 2])
def test_racing_pushes_lose_no_rule_and_repeat_no_number(n_lost_replies):
    names = ["eva", "ari", "jonas", "karin"]
    with tool.run_fleet([], [], RULES) as fleet:
        base = f"# revision 1 {read_head(fleet)['body_hash']}\n{RULES}"
        faults = {"n_lost_replies": n_lost_replies}
        tool.put_json(fleet.platform_address, "/faults", faults)
        pushes = [
            tool.start_push(fleet, base + limit(name, 1, name), name) for name in names
        ]
        error_outputs = [push.communicate(timeout=30)[1] for push in pushes]
        exit_codes = [push.returncode for push in pushes]
        merged_rules = read_rules(fleet)
        rows = tool.get_json(fleet.platform_address, "/tables/revisions/rows")
    assert exit_codes == [0, 0, 0, 0], error_outputs
    assert all(limit(name, 1, name) in merged_rules for name in names)
    assert sorted(rows, key=str) == ["1", "2", "3", "4", "5", "head"]


@pytest.mark.parametrize(
    ("first", "second", "code", "texts"),
    [
        (limit("a", 1, "Eva"), limit("a", 2, "Ari"), 3, ("Eva", "Ari", "rate=1/s")),
        (limit("a", 1, "Eva"), limit("a", 1, "Eva"), 0, ()),
        (limit("a", 1, "Eva"), limit("b", 2, "Ari"), 0, ()),
        (limit("a", 1, "Eva"), "limit c rate=1/s # Ari\n", 2, ("burst=",)),
    ],
)
def test_second_push_merges_or_fails_without_changes(first, second, code, texts):
    with tool.run_fleet([], [], RULES) as fleet:
        base = f"# revision 1 {read_head(fleet)['body_hash']}\n{RULES}"
        assert tool.start_push(fleet, base + first, "one").wait(30) == 0
        rules_after_first = read_rules(fleet)
        push = tool.start_push(fleet, base + second, "two")
        error_output = push.communicate(timeout=30)[1]
        rules_after_second = read_rules(fleet)
    assert push.returncode == code
    assert all(part in error_output for part in texts)
    assert (rules_after_second == rules_after_first) is (code != 0 or first == second)


@pytest.mark.parametrize(
    ("text", "code"),
    [
        ("", 2),
        (RULES, 1),
        ("{base}" + limit("a", 1, "K"), 2),
    ],
    ids=["empty", "no base", "rule without its service"],
)
def test_rejected_push_changes_nothing(text, code):
    rules = RULES + "route s GET /a # Karin\n"
    with tool.run_fleet([], [], rules) as fleet:
        head_before = read_head(fleet)
        base = f"# revision 1 {head_before['body_hash']}\nroute s GET /a # Karin\n"
        push = tool.start_push(fleet, text.replace("{base}", base))
        push.communicate(timeout=30)
        assert push.returncode == code
        assert read_head(fleet) == head_before
