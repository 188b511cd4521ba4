"""Tests the estimates of which backend servers are failing."""

import math

import pytest

from burdockhitch.clock import Instant
from burdockhitch.systems.direct import server_estimates
from burdockhitch.systems.direct.server_estimates import FAILURE, OVERDUE, SUCCESS
from burdockhitch.tests.direct_fakes import start_fleet


@pytest.fixture
def world():
    return start_fleet(n_vms=1).worlds["vm-0"]


def p_failing_after(world, kinds):
    now = world.clock.now()
    for kind in kinds:
        server_estimates.apply_observation(world, "1", kind, now)
    return server_estimates.p_failing(world.server_estimates.fetch("1"), now)


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
def test_observations_raise_and_lower_p_failing_past_the_suspect_threshold(
    world, kinds, is_suspect
):
    assert (
        p_failing_after(world, kinds) >= server_estimates.P_FAILING_SUSPECT
    ) == is_suspect


@pytest.mark.parametrize("kinds", [[FAILURE, FAILURE], [SUCCESS, SUCCESS, SUCCESS]])
def test_p_failing_returns_to_its_stationary_value(world, kinds):
    p_failing_after(world, kinds)
    row = world.server_estimates.fetch("1")
    now = world.clock.now()
    distances = [
        abs(
            server_estimates.p_failing(row, Instant(now.monotonic_s + wait_s, now.utc))
            - server_estimates.P_FAILING_STATIONARY
        )
        for wait_s in (0.0, 1.0, 3.0, 30.0)
    ]
    assert distances == sorted(distances, reverse=True)
    assert distances[-1] < 1e-3


@pytest.mark.parametrize("kind", list(server_estimates.observation_likelihoods))
def test_each_observation_has_valid_likelihoods_that_distinguish_the_states(kind):
    likelihood = server_estimates.observation_likelihoods[kind]
    assert 0 < likelihood.p_if_failing < 1
    assert 0 < likelihood.p_if_healthy < 1
    assert math.log(likelihood.p_if_failing / likelihood.p_if_healthy) != 0


def test_observations_of_an_unlisted_server_are_ignored(world):
    assert (
        server_estimates.apply_observation(world, "none", FAILURE, world.clock.now())
        is None
    )
    server_estimates.record_unreachable(world, "none", world.clock.now())
    server_estimates.record_reached(world, "none", 1.0, world.clock.now())
