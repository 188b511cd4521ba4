import math

import pytest

from burdockhitch.clock import Instant
from burdockhitch.systems.direct import belief
from burdockhitch.systems.direct.belief import FAILURE, OVERDUE, SUCCESS
from burdockhitch.tests.direct_fakes import start_fleet


@pytest.fixture
def world():
    return start_fleet(n_vms=1).worlds["vm-0"]


def observe_all(world, kinds):
    now = world.clock.now()
    for kind in kinds:
        belief.observe(world, "1", kind, now)
    return belief.p_failing(world.beliefs.fetch("1"), now)


@pytest.mark.parametrize(
    ("kinds", "is_suspect"),
    [
        ([], False),
        ([SUCCESS], False),
        ([FAILURE], True),
        ([FAILURE, FAILURE], True),
        ([FAILURE, SUCCESS, SUCCESS], False),
        ([SUCCESS] * 20 + [FAILURE], False),
        ([SUCCESS] * 20 + [FAILURE, FAILURE, FAILURE], True),
        ([OVERDUE], True),
        ([SUCCESS, SUCCESS, OVERDUE], False),
    ],
)
def test_evidence_makes_and_clears_suspects(world, kinds, is_suspect):
    assert (observe_all(world, kinds) >= belief.P_SUSPECT) == is_suspect


@pytest.mark.parametrize("kinds", [[FAILURE, FAILURE], [SUCCESS, SUCCESS, SUCCESS]])
def test_what_was_seen_fades(world, kinds):
    observe_all(world, kinds)
    row = world.beliefs.fetch("1")
    now = world.clock.now()
    gaps = [
        abs(
            belief.p_failing(row, Instant(now.monotonic_s + wait_s, now.utc))
            - belief.P_FAILING_STATIONARY
        )
        for wait_s in (0.0, 1.0, 3.0, 30.0)
    ]
    assert gaps == sorted(gaps, reverse=True)
    assert gaps[-1] < 1e-3


@pytest.mark.parametrize("kind", list(belief.observation_kinds))
def test_likelihoods_are_probabilities_of_different_states(kind):
    likelihood = belief.observation_kinds[kind]
    assert 0 < likelihood.p_if_failing < 1
    assert 0 < likelihood.p_if_sound < 1
    assert math.log(likelihood.p_if_failing / likelihood.p_if_sound) != 0


def test_an_unknown_server_is_no_fault(world):
    assert belief.observe(world, "none", FAILURE, world.clock.now()) is None
    belief.note_unreachable(world, "none", world.clock.now())
    belief.note_reached(world, "none", 1.0, world.clock.now())
