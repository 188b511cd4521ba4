"""Tests direct mode on random sequences; ``tools/sequences.py`` runs more."""

import random

import pytest

from burdockhitch.tests.direct_steps import draw_direct_steps, run_direct_sequence

N_STEPS = 30


@pytest.mark.parametrize("seed", range(60))
def test_a_random_sequence_has_no_violations(seed):
    steps = draw_direct_steps(random.Random(seed), N_STEPS)
    assert run_direct_sequence(seed, steps) == []
