"""A revision from a peer must not put older, damaged or invalid rules in force."""

import pytest

from burdockhitch import events
from burdockhitch.messages import RevisionDelta, RevisionPush
from burdockhitch.rules.document import hash_rules
from burdockhitch.systems.revision_exchange import apply_delta, make_delta
from burdockhitch.tests import fleets
from burdockhitch.tests.fleets import VASTKUST
from burdockhitch.world import current_revision

RULES = fleets.make_rules_text(VASTKUST).encode()
NEXT_RULES = RULES + b"limit visitor rate=5/s burst=9 # Karin\n"
DELTA = make_delta(2, RULES, NEXT_RULES)


@pytest.mark.parametrize(
    ("parent", "body", "n_replaced"),
    [
        (b"", b"abc", 0),
        (b"abc", b"abc", 0),
        (b"abc", b"", 3),
        (b"aaaa", b"aa", 2),
        (b"aa", b"aaaa", 0),
        (b"one two three", b"one 2 three", 3),
        (b"head tail", b"tail", 5),
    ],
)
def test_delta_replaces_one_range(parent, body, n_replaced):
    delta = make_delta(2, parent, body)
    assert delta.end - delta.start == n_replaced
    assert apply_delta(parent, delta) == body


@pytest.mark.parametrize(
    ("message", "number"),
    [
        (DELTA, 2),
        (DELTA._replace(number=1), 1),
        (DELTA._replace(parent_hash="other"), 1),
        (DELTA._replace(body_hash="other"), 1),
        (DELTA._replace(start=3, end=5), 1),
        (RevisionPush(2, hash_rules(NEXT_RULES), b"\0"), 1),
        (RevisionPush(2, hash_rules(NEXT_RULES), b"not compressed"), 1),
        (make_delta(2, RULES, b"nonsense"), 1),
    ],
    ids=[
        "newer",
        "not newer",
        "other parent",
        "wrong body hash",
        "wrong range",
        "one NUL byte",
        "not compressed",
        "invalid rules",
    ],
)
def test_only_newer_intact_valid_revisions_are_applied(message, number):
    fleet = fleets.start_fleet(VASTKUST)
    fleet.cut_routes = {(a, b) for a in fleet.worlds for b in fleet.worlds if a != b}
    fleet.post("vk-a-0", events.VmMessageArrived("vk-b-0", message))
    fleet.run(0.5)
    assert current_revision(fleet.worlds["vk-a-0"]) == number


def test_changes_are_sent_as_deltas():
    fleet = fleets.start_fleet(VASTKUST)
    fleet.commit_rules(NEXT_RULES.decode())
    fleet.delivered_messages.clear()
    fleet.run(3.0)
    kinds = {type(event.message) for _vm_id, event in fleet.delivered_messages}
    assert RevisionDelta in kinds
    assert RevisionPush not in kinds
    assert {current_revision(world) for world in fleet.worlds.values()} == {2}
