"""Draws the plan of a run from its seed."""

import random

from tools.soak.faults import faults
from tools.soak.records import Plan, PlanStep

# The fleet needs this time without new faults at the end, to show that it recovers.
CALM_END_S = 4.0
FIRST_FAULT_S = 1.0
# Faults last longer than the pause before the next one, so that they overlap.
PAUSE_RANGE_S = (0.3, 2.2)
N_TARGETS = 3


def draw_plan(seed: int, duration_s: float) -> Plan:
    """Return the plan of a seed; accounts are used in half of the runs."""
    rng = random.Random(seed)
    has_accounts = rng.random() < 0.5
    names = [name for name in faults if has_accounts or not faults[name].needs_accounts]
    steps = []
    at_s = FIRST_FAULT_S
    while at_s < duration_s - CALM_END_S:
        name = rng.choice(names)
        length_s = rng.uniform(*faults[name].length_range_s)
        target = rng.randrange(N_TARGETS)
        steps.append(PlanStep(round(at_s, 3), name, target, round(length_s, 3)))
        at_s += rng.uniform(*PAUSE_RANGE_S)
    return Plan(seed, duration_s, has_accounts, steps)
