"""Random sequences of requests and faults; ``tools/sequences.py`` runs more of them."""

import random

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from burdockhitch.tests.fleets import SUDURLAND, VASTKUST, Deployment
from burdockhitch.tests.steps import Step, draw_steps, run_sequence, step_kinds

N_STEPS = 40
DEPLOYMENTS = (VASTKUST, SUDURLAND)

step_strategy = st.builds(
    Step,
    st.sampled_from(step_kinds.names()),
    st.integers(0, 11),
    st.integers(0, 11),
)


@pytest.mark.parametrize(
    ("fault", "seed"),
    [
        pytest.param(
            "a later attempt was reported as not run after an earlier one ran", 13
        ),
        pytest.param(
            "a duplicated message ran after the refusal of the first one", 3025
        ),
        pytest.param("a stop interrupted requests that arrived in the same tick", 99),
        pytest.param(
            "a delayed message ran after the record of its outcome expired", 349
        ),
        pytest.param("evidence grew without bound while no permit was free", 21240),
        pytest.param("repetitions shared ids with requests", 20057),
        pytest.param("an idempotent request was refused after it ran", 1331),
    ],
)
def test_fixed_fault_does_not_recur(fault, seed):
    drawn = draw_steps(random.Random(seed), N_STEPS)
    assert run_sequence(DEPLOYMENTS[seed % 2], seed, drawn) == []


# Hypothesis derives the examples from the source and name of this test function.
@pytest.mark.parametrize("deployment", DEPLOYMENTS, ids=["vastkust", "sudurland"])
@settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
@given(
    drawn=st.lists(step_strategy, min_size=5, max_size=40), seed=st.integers(0, 1 << 16)
)
def test_promises_hold(deployment: Deployment, drawn: list[Step], seed: int):
    assert run_sequence(deployment, seed, drawn) == []
