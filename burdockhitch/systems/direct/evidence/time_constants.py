"""Chooses how long evidence of a healthy server lasts, for services with long work.

With 1.9 s of work, a success would lose half of its weight before the next answer.
"""

import math

from burdockhitch.systems.direct.evidence.run_times import (
    DECAY_S,
    mean_run_time_s,
)
from burdockhitch.tables.server_estimates import RELAXATION_S
from burdockhitch.world import World

# Time constant as a multiple of the time between two answers of a server.
ANSWERS_FACTOR = 2.5
# A server that was healthy so long ago may have changed its state since.
FAVOURABLE_MAX_S = 10.0


def favourable_relaxation_s(world: World, service: str) -> float:
    """Return the time constant with which evidence for a server decays.

    It spans several answers: a run, and the pause until the next. A pause counts only
    as long as a run does, so that services with short work keep ``RELAXATION_S``.
    """
    mean_s = mean_run_time_s(world, service)
    total = world.run_time_totals.get((service, ""))
    n_servers = world.backend_servers.count("service", service)
    pause_s = n_servers * DECAY_S / total.sums.n_runs if total else math.inf
    between_s = mean_s + min(mean_s, pause_s)
    return min(FAVOURABLE_MAX_S, max(RELAXATION_S, ANSWERS_FACTOR * between_s))
